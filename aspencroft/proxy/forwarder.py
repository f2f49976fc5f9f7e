"""Forwards opaque calls from callers to workers: admission, worker selection, attempts, streaming, completion."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import datetime
import hashlib
import random
import typing

import logbook

from aspencroft.configuration import http_route
from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.proxy import (
    admission_report,
    call,
    call_state,
    caller_access,
    completion_queue,
    event_buffer,
    events,
    instance,
    instances,
    memory_budget,
    outlier_detection,
    quota_client,
    route_counts,
    stream_pace,
    turn_cache,
    waiting_calls,
    worker_selection,
    working_set,
)
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages, operation_keys, session_groups, turn_history
from aspencroft.tracing import sample, trace
from aspencroft.workers import pool

LOG = logbook.Logger("proxy.forwarder")
RETRY_SOON = clock.seconds(0.3)
RETRY_LATER = clock.seconds(1)
TURN_END_GRACE = clock.seconds(0.2)
WORKER_WAIT_AIM_DIVISOR = 4
WAIT_SHARE_OF_TIME_LIMIT = 0.4
MIN_GROUP_WAIT = clock.seconds(0.1)
MIN_RETENTION = clock.seconds(60)
DRAIN_POLL_INTERVAL = clock.seconds(0.05)
WAIT_POLL_INTERVAL = clock.seconds(0.02)
SERVING_TIME_AFTER_STOP = clock.seconds(2.5)
DRAIN_TIMEOUT = clock.seconds(7.2)
MAX_ACTIVE_CALLS = 1024
MAX_SELECTIONS = 12
MAX_CONNECTIONS = 64
EXPECTED_BYTES_PER_TOKEN = 8
TRANSFER_COPIES = 3
"""Copies of a message that there are at once: the command, its frame, and what the socket has not taken yet."""
OUTPUT_STEP_BYTES = 8 << 10
"""Step in which the memory for the output of a retained turn is reserved."""
LOAD_LIMIT = 1.25
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that suggest that a request did not run. A status alone does not prove it: unless the worker states it,
``check_head`` raises an error with an unknown outcome for a request that is not idempotent."""
GROUP_UNAVAILABLE = (
    result.ResultCode.UNREACHABLE,
    result.ResultCode.NOT_PRIMARY,
    result.ResultCode.NO_BACKUP,
    result.ResultCode.OVERLOADED,
    result.ResultCode.OUTCOME_UNKNOWN,
)


class Dialect(typing.Protocol):
    """Translates between the calls of this package and the headers of a worker's HTTP protocol."""

    def request_headers(self, request: call.Call, instance_name: str, remaining: datetime.timedelta) -> call.Headers:
        """Return the headers of a request to a worker."""

    def head(self, status: int, headers: call.Headers, attempt: str) -> call.Head:
        """Parse the status and headers of a response."""

    def resume_headers(self, headers: call.Headers, last_event: str) -> call.Headers:
        """Return the headers of a request that resumes a stream after an event; unchanged if that is empty."""

    def accepts(self, attempt: str) -> pool.Accepts:
        """Return the check whether a response may belong to the request with this attempt id."""

    def answer_headers(self, headers: call.Headers) -> call.Headers:
        """Return the response headers that are passed on to the caller."""


class Forwarder:
    """Forwards the calls of one edge; the task of the caller's connection takes each call through all stages."""

    def __init__(
        self,
        own: node.Node,
        dialect: Dialect,
        view: instances.Instances,
        connections: pool.Pool,
        turn_cache_bytes: int = turn_cache.MAX_BYTES,
    ):
        self.node = own
        self.dialect = dialect
        self.instances = view
        self.pool = connections
        self.access = caller_access.CallerAccess(own)
        self.quotas = quota_client.QuotaClient(own)
        self.traces = trace.Traces(own.address)
        self.completions = completion_queue.CompletionQueue(own)
        self.cached_turns = turn_cache.TurnCache(turn_cache_bytes)
        self.working_sets = working_set.WorkingSets()
        self.admission = admission_report.AdmissionReport(own.address)
        self.waiting_calls = waiting_calls.WaitingCalls()
        self.routes = route_counts.RouteCounts()
        self.slot_freed = asyncio.Event()
        self.active = 0
        self.waiting = 0
        self.draining = False
        self.closed = False
        self.counts: collections.Counter = collections.Counter()
        own.sample_sources.append(self.samples)
        own.status_reporter.sections["calls"] = self.status

    async def run(self) -> None:
        """Run the background work: commands that end turns and keys after the caller has its answer."""
        await self.completions.run()

    # -- admission -------------------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this edge should receive new connections."""
        return not self.node.stopping.is_set() and self.node.relay.current() and bool(self.instances.listed)

    def admit(self, request: call.Call) -> call_state.CallState:
        """Find the call's route, tenant and deadline; raise a RequestError if the call cannot be admitted."""
        self.counts["asked"] += 1
        if self.closed:
            raise result.RequestError(result.ResultCode.LEAVING, retry=RETRY_SOON)
        if not self.node.relay.current():
            raise result.RequestError(result.ResultCode.NO_PLAN, retry=RETRY_SOON)
        if self.active >= MAX_ACTIVE_CALLS:
            raise result.RequestError(result.ResultCode.OVERLOADED, retry=RETRY_LATER)
        route = self.node.relay.configuration.route_table.match(request.host, request.path())
        if route is None:
            if not self.access.knows_newest_configuration():
                raise result.RequestError(
                    result.ResultCode.NO_PLAN,
                    detail="no such route in the configuration of this edge, which may be outdated",
                    retry=RETRY_SOON,
                )
            raise result.RequestError(result.ResultCode.UNKNOWN_ROUTE, detail=request.path()[:200])
        request = self.access.identify(request, route)
        deadline = min(request.deadline(), request.arrived_at + route.timeout)
        if deadline <= clock.now():
            raise result.RequestError(result.ResultCode.DEADLINE, retry=RETRY_SOON)
        program = request.qualify_name(request.program or request.session or request.attempt)
        return call_state.CallState(request, route, deadline, request.body, program=program)

    async def wait_for_configuration(self, request: call.Call) -> None:
        """Delay a call for a part of its time limit while a newly started edge has no configuration or workers.

        The time limit is the caller's, or the route's time-out if that is shorter and an older configuration has the
        route.
        """
        route = self.node.relay.configuration.route_table.match(request.host, request.path())
        limit = (
            clock.now()
            + (request.time_limit if route is None else min(request.time_limit, route.timeout))
            * WAIT_SHARE_OF_TIME_LIMIT
        )
        while not (self.node.relay.current() and self.instances.listed) and clock.now() < limit and not self.closed:
            if self.waiting >= MAX_ACTIVE_CALLS:
                return
            self.waiting += 1
            try:
                await clock.sleep(WAIT_POLL_INTERVAL)
            finally:
                self.waiting -= 1

    async def handle(self, request: call.Call) -> call.Answer:
        """Serve a call: return an Answer, or raise a RequestError that says whether the request may have run."""
        await self.wait_for_configuration(request)
        try:
            state = self.admit(request)
        except result.RequestError as rejection:
            self.admission.record_rejected(rejection)
            raise
        self.admission.record_admitted()
        self.active += 1
        is_streaming = False
        try:
            await self.reserve_quota(state)
            if state.is_turn():
                await self.begin_turn(state)
            elif state.route.kind == http_route.KEYED and request.key:
                recorded = await self.reserve_key(state)
                if recorded is not None:
                    self.return_quota(state)
                    return recorded
            answer = await self.forward(state)
            is_streaming = answer.chunks is not None
            return answer
        except result.RequestError as error:
            self.add_trace(state, "refused", str(error))
            self.counts[f"refused {error.result.number}"] += 1
            self.routes.record_refused(state.route.name, error)
            self.abandon(state)
            if state.attempts.possibly_run and error.ran is result.Ran.NOT_RUN:
                raise result.RequestError(error.result, result.Ran.UNKNOWN, error.detail, error.retry) from None
            raise
        except BaseException:
            self.abandon(state)
            raise
        finally:
            if not is_streaming:
                self.active -= 1

    def add_trace(self, state: call_state.CallState, event: str, detail: str = "") -> None:
        """Add an event to the call's trace."""
        request = state.call
        self.traces.add(request.attempt, state.route.name, clock.now() - request.arrived_at, event, detail)

    # -- reservations ----------------------------------------------------------------------------

    async def reserve_quota(self, state: call_state.CallState) -> None:
        """Count the call towards its tenant's quota; a call above the quota is rejected as not run."""
        holder = self.access.tenant_of(state.call)
        if holder is not None:
            state.quota_grant = await self.quotas.reserve(holder, self.group_wait_limit(state))

    def return_quota(self, state: call_state.CallState) -> None:
        """Drop the call's quota grant; if the call did not run, the grant is returned to the tenant's quota."""
        if state.quota_grant is not None and not state.attempts.possibly_run:
            self.quotas.return_grant(state.quota_grant)
        state.quota_grant = None

    def group_wait_limit(self, state: call_state.CallState) -> datetime.timedelta:
        """How long a call waits for a session group. A change of the group's primary takes about a second.

        A waiting call is retried continuously and proceeds as soon as the group serves. The limit is a share of the
        remaining time, so that the caller can retry, or the latency target if that is longer. All waits of a call
        share one end, but each group gets a short minimum; no wait exceeds the call's deadline.
        """
        now = clock.now()
        left = state.deadline - now
        if state.group_wait_end is None:
            state.group_wait_end = now + max(state.route.aim, left * WAIT_SHARE_OF_TIME_LIMIT)
        return max(min(max(state.group_wait_end - now, MIN_GROUP_WAIT), left), clock.ZERO)

    async def submit_to_group(self, state: call_state.CallState, group_key: str, command):
        """Submit a command to a session group; if the group is unavailable the call is rejected as not run."""
        began = clock.now()
        try:
            return await self.node.submit(self.group_of(group_key), command, self.group_wait_limit(state))
        except result.RequestError as error:
            if error.result in GROUP_UNAVAILABLE:
                raise result.RequestError(error.result, result.Ran.NOT_RUN, error.detail, RETRY_SOON) from None
            raise
        finally:
            self.routes.record_stage(state.route.name, route_counts.Stage.BEGIN, began)

    def group_of(self, key: str) -> int:
        """The session group that holds a program or an operation key."""
        return session_groups.group_of(key, self.node.settings.talk_pairs)

    async def begin_turn(self, state: call_state.CallState) -> None:
        """Reserve the turn's output tokens and fetch its history, which the request body then begins with."""
        request, route = state.call, state.route
        previous = state.previous_turn() if route.retained else ""
        # The turns themselves are kept here, as the cache may evict them before the group replies.
        history = self.cached_turns.history(previous) if previous else None
        keep = max(route.keep, MIN_RETENTION, request.program_within or clock.ZERO)
        command = entry.BeginTurn(
            state.program,
            state.session_id(),
            state.attempt_id(),
            previous,
            request.reserve,
            request.budget,
            route.retained,
            keep,
            state.deadline - clock.now(),
            self.node.incarnation_id(),
            previous if history else "",
            (),
        )
        # Set before the submit, because the command may take effect although its reply is lost.
        state.turn_reserved = True
        try:
            reply = await self.submit_to_group(state, state.program, with_expected_bytes(state, command))
        except result.RequestError as error:
            if error.result is not result.ResultCode.UNKNOWN_TURN:
                if error.result is result.ResultCode.OUT_OF_BUDGET:
                    state.turn_reserved = False
                raise
            history = list(await self.find_chain_in_other_groups(state, previous))
            command = dataclasses.replace(command, base=tuple(history), held_turn=previous)
            async with self.transfer(state, turn_cache.size_of(history)):
                reply = await self.submit_to_group(state, state.program, with_expected_bytes(state, command))
        state.last_worker = reply.worker
        if previous:
            if not history:
                history = await self.receive_chain(state, previous, reply)
            self.cached_turns.add(tuple(history))
            parts = [*turn_cache.parts_of(history), request.body]
            until = clock.now() + self.group_wait_limit(state)
            await request.memory.grow(memory_budget.Purpose.HISTORY, sum(map(len, parts)), until, result.Ran.NOT_RUN)
            state.body = b"".join(parts)
        self.add_trace(state, "turn begun", f"previous turn: {request.previous or 'none'}")

    async def receive_chain(
        self, state: call_state.CallState, previous: str, reply: entry.TurnBegun | entry.LargeChainBegun
    ) -> list[entry.Turn]:
        """Return the chain that a turn continues; a large one is fetched once the memory for it is reserved."""
        if isinstance(reply, entry.TurnBegun):
            return list(reply.chain)
        async with self.transfer(state, reply.chain_bytes):
            found = await self.submit_to_group(state, state.program, entry.FindTurn(previous))
            if not found.found:
                raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="the chain is gone", retry=RETRY_SOON)
            return list(found.chain)

    @contextlib.asynccontextmanager
    async def transfer(
        self, state: call_state.CallState, size: int, ran: result.Ran = result.Ran.NOT_RUN
    ) -> collections.abc.AsyncIterator[None]:
        """Reserve the copies of a large message to or from a session group while it is under way."""
        memory = state.call.memory
        if size > memory_budget.SMALL_REQUEST_BYTES:
            until = clock.now() + self.group_wait_limit(state)
            await memory.grow(memory_budget.Purpose.TRANSFER, TRANSFER_COPIES * size, until, ran)
        try:
            yield
        finally:
            memory.shrink(memory_budget.Purpose.TRANSFER, 0)

    async def find_chain_in_other_groups(self, state: call_state.CallState, turn: str) -> tuple[entry.Turn, ...]:
        """Find a turn's history in the groups of other programs; it is unknown only if every group says so."""
        own_group = self.group_of(state.program)
        found: list[entry.TurnFound] = []
        failed_groups: list[int] = []

        async def ask(group: int) -> None:
            try:
                found.append(await self.node.submit(group, entry.FindTurn(turn), self.group_wait_limit(state)))
            except result.RequestError:
                failed_groups.append(group)

        async with asyncio.TaskGroup() as tasks:
            for group in range(1, self.node.settings.group_count):
                if group != own_group:
                    tasks.create_task(ask(group))
        for reply in found:
            if reply.found:
                self.counts["chains found elsewhere"] += 1
                return reply.chain
        if failed_groups:
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail=f"no reply from session groups {failed_groups}", retry=RETRY_LATER
            )
        raise result.RequestError(result.ResultCode.UNKNOWN_TURN, detail=turn)

    async def reserve_key(self, state: call_state.CallState) -> call.Answer | None:
        """Claim the operation key; return the recorded answer if another attempt has completed the operation."""
        request = state.call
        digest = hashlib.blake2b(
            b"\0".join([request.method.encode(), request.host.encode(), request.target.encode(), request.body]),
            digest_size=16,
        ).digest()
        state.key_reserved = True
        window = self.node.settings.key_window
        command = entry.ClaimKey(
            self.key_of(request),
            state.attempt_id(),
            digest,
            state.deadline - clock.now(),
            window,
            self.node.incarnation_id(),
        )
        claim = await self.submit_to_group(state, self.key_of(request), command)
        if claim.is_holder:
            self.add_trace(state, "key claimed")
            return None
        state.key_reserved = False
        self.add_trace(state, "key known", claim.outcome or "in progress")
        if claim.outcome == messages.DONE and claim.status:
            return call.Answer(claim.status, tuple((header.name, header.value) for header in claim.headers), claim.body)
        raise result.RequestError(result.ResultCode.OPERATION_IN_PROGRESS, result.Ran.UNKNOWN, claim.outcome)

    def key_of(self, request: call.Call) -> str:
        """The operation key, qualified by its tenant."""
        return f"{request.tenant}\n{request.key}"

    # -- worker selection ------------------------------------------------------------------------

    def choose(self, state: call_state.CallState) -> tuple[instance.Instance | None, str]:
        """Choose a worker that the current configuration allows for the call; also return the reason in words.

        This checks the route and the caller's access again and replaces ``state.route`` by the current route.
        """
        route = self.node.relay.configuration.http_routes.get(state.route.name)
        if route is None or (route.host, route.prefix) != (state.route.host, state.route.prefix):
            raise result.RequestError(result.ResultCode.UNKNOWN_ROUTE, detail=state.route.name)
        self.access.check_unchanged(state.call, route)
        if (route.kind, route.retained) != (state.route.kind, state.route.retained):
            raise result.RequestError(
                result.ResultCode.PUT_BACK, detail="the kind of the route has changed", retry=RETRY_SOON
            )
        state.route = route
        service = draw_service(route, self.node.environment.randomness)
        candidates = self.instances.candidates(service, state.tried_workers, state.is_idempotent())
        service_set = self.working_sets.of(service)
        choice = worker_selection.choose(
            candidates,
            service_set.routing_segments(state.call.prompt_segments, state.program),
            state.last_worker,
            self.node.settings.area,
            self.node.environment.randomness,
            load_limit=LOAD_LIMIT,
            copies=service_set.copies(len(self.instances.services.get(service, ())), *self.memory_and_slots(service)),
        )
        return self.instances.listed.get(choice.name), f"{service}: {choice.reason}"

    def memory_and_slots(self, service: str) -> tuple[int, int]:
        """The KV memory in tokens and the slots of one worker of a service; zeros if they are not known."""
        facts = self.node.relay.configuration.services.get(service)
        if facts is None or facts.engine is None:
            return 0, 0
        return facts.engine.kv_tokens, facts.engine.slots

    def rank(self, state: call_state.CallState) -> int:
        """The priority of a call, 0 the most urgent: that of its tenant if set, else that of its route."""
        holder = self.access.tenant_of(state.call)
        return state.route.rank if holder is None or holder.rank is None else holder.rank

    async def wait_for_worker(self, state: call_state.CallState) -> instance.Instance:
        """Wait for a worker with a free slot for the call.

        The limit is a quarter of the route's latency target, or of its time-out if it has no target, and at most a
        quarter of the time that the call has left. For the first half of that wait the call yields to more urgent calls
        that wait on this edge; after that all calls are equal, so that none starves.
        """
        now = clock.now()
        wait = min(state.route.aim or state.route.timeout, state.deadline - now) / WORKER_WAIT_AIM_DIVISOR
        limit, yields_until = now + wait, now + wait / 2
        with self.waiting_calls.enter(self.rank(state), state.route.services()) as entered:
            worker, reason = None, ""
            while worker is None and (not reason or clock.now() < limit):
                if reason:
                    await self.wait_for_place(limit)
                if clock.now() < yields_until and self.waiting_calls.is_preceded(entered):
                    reason = "more urgent calls are waiting"
                else:
                    worker, reason = self.choose(state)
        self.routes.record_stage(state.route.name, route_counts.Stage.CHOOSE, now)
        if worker is None:
            raise result.RequestError(
                result.ResultCode.OVERLOADED if bool(self.instances.listed) else result.ResultCode.NO_WORKER,
                detail=reason,
                retry=RETRY_SOON,
            )
        self.add_trace(state, "chosen", f"{worker.name}: {reason}")
        return worker

    async def wait_for_place(self, limit: datetime.timedelta) -> None:
        """Wait until a slot may have become free, up to the poll interval."""
        self.slot_freed.clear()
        try:
            async with clock.limit(min(WAIT_POLL_INTERVAL, limit - clock.now())):
                await self.slot_freed.wait()
        except TimeoutError:
            pass

    # -- attempts --------------------------------------------------------------------------------

    async def forward(self, state: call_state.CallState) -> call.Answer:
        """Send the call to workers until one answers, as often as the kind of the route and its attempts allow."""
        if not state.is_idempotent() or state.route.attempts < 2 or not state.route.aim:
            return await self.try_workers_in_turn(state)
        first = asyncio.ensure_future(self.try_workers_in_turn(state))
        try:
            await asyncio.wait((first,), timeout=state.route.aim.total_seconds())
            if first.done() or state.attempts.in_flight != 1 or state.exhausted():
                return await first
            return await self.hedge(state, first)
        finally:
            await cancel_and_wait(first)
            # A future holds its exception, whose traceback holds this frame: without this cycle all is freed at once.
            del first

    async def hedge(self, state: call_state.CallState, first: asyncio.Task) -> call.Answer:
        """Start a second attempt because the first has not answered within the latency target.

        The first answer wins. Only idempotent requests are hedged, and both attempts count towards the limit of the
        route.
        """
        self.counts["hedged"] += 1
        state.hedged = True
        other = dataclasses.replace(state, tried_workers=state.tried_workers | {state.current_worker}, hedged=False)
        self.add_trace(state, "hedged", f"no answer from {state.current_worker} so far")
        second = asyncio.ensure_future(self.try_workers_in_turn(other))
        try:
            answer = await first_answer({first, second})
            return await first if answer is None else answer
        finally:
            await cancel_and_wait(second)
            # A future holds its exception, whose traceback holds this frame: without this cycle all is freed at once.
            del first, second

    async def try_workers_in_turn(self, state: call_state.CallState) -> call.Answer:
        """Try one worker after another."""
        for _ in range(MAX_SELECTIONS):
            worker = await self.wait_for_worker(state)
            state.current_worker = worker.name
            try:
                return await self.attempt(state, worker)
            except result.RequestError as error:
                self.add_trace(state, "attempt failed", f"{worker.name}: {error}")
                self.routes.record_failed_attempt(state.route.name, error)
                state.tried_workers |= {worker.name}
                if error.ran is not result.Ran.NOT_RUN and not (state.is_idempotent() or state.may_resume()):
                    raise
                if state.hedged or state.exhausted() or clock.now() >= state.deadline:
                    raise
        raise result.RequestError(result.ResultCode.PUT_BACK, retry=RETRY_SOON)

    async def attempt(self, state: call_state.CallState, worker: instance.Instance) -> call.Answer:
        """Make one attempt at one worker; its outcome is recorded for the selection of workers for later calls."""
        request, began = state.call, clock.now()
        self.instances.begin_request(worker.name)
        state.attempts.in_flight += 1
        is_streaming = False
        try:
            if self.instances.is_excluded(worker.name):
                raise result.RequestError(result.ResultCode.PUT_BACK, detail="the worker is draining or gone")
            remaining = state.deadline - clock.now()
            if remaining <= clock.ZERO:
                raise result.RequestError(result.ResultCode.DEADLINE, retry=RETRY_SOON)
            service = self.node.relay.configuration.services.get(worker.service)
            max_connections = (
                service.max_connections if service is not None and service.max_connections else MAX_CONNECTIONS
            )
            headers = self.dialect.request_headers(request, worker.name, remaining)
            response = await self.send(state, worker, headers, max_connections)
            head = self.dialect.head(response.status, response.headers, request.attempt)
            self.record_head(worker, head)
            await self.check_head(state, response, head)
            if state.route.kind == http_route.STREAM and 200 <= head.status < 300:
                answer = await self.begin_stream(state, worker, response, head)
                is_streaming = True
                return answer
            return await self.read_answer(state, worker, response, head)
        finally:
            self.routes.record_stage(state.route.name, route_counts.Stage.FIRST, began)
            state.attempts.in_flight -= 1
            if not is_streaming:
                self.release(worker)

    async def send(
        self, state: call_state.CallState, worker: instance.Instance, headers: call.Headers, max_connections: int
    ) -> pool.Response:
        """Send the call to a worker once and wait for the head of the response.

        The call counts as sent and as possibly run from before its first byte is written. A report of the pool that it
        did not run undoes both counts; a rejection by the worker undoes only ``possibly_run``, in ``check_head``, so
        that it still uses up an attempt.
        """
        request, attempts = state.call, state.attempts
        if state.exhausted():
            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route allows no more attempts")
        attempts.sent += 1
        attempts.possibly_run += 1
        try:
            return await self.pool.request(
                worker.address,
                request.method,
                request.target,
                headers,
                state.body,
                state.deadline,
                max_connections,
                self.dialect.accepts(request.attempt),
            )
        except result.RequestError as error:
            if error.ran is result.Ran.NOT_RUN:
                attempts.sent -= 1
                attempts.possibly_run -= 1
            self.instances.record_failure(worker.name, outlier_detection.outcome_of_error(error))
            raise

    async def check_head(self, state: call_state.CallState, response: pool.Response, head: call.Head) -> None:
        """Raise if the worker rejected the call or if the response leaves it unclear whether the call ran."""
        declined = head.misdirected or head.not_run
        if declined and (head.attempt or not response.reused or state.is_idempotent()):
            state.attempts.possibly_run -= 1
            await self.discard_answer(response, reuse=bool(head.attempt))
            raise result.RequestError(result.ResultCode.PUT_BACK, detail=str(head.status), retry=RETRY_SOON)
        unclear = ""
        if declined:
            unclear = "a response without an attempt id on a reused connection"
        elif not head.has_seal and 200 <= head.status < 300:
            unclear = "a response without the seal of the worker"
        elif head.status in NOT_RUN_STATUSES and not state.is_idempotent():
            unclear = f"status {head.status} without a statement that the request did not run"
        if unclear:
            await response.close(False)
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, unclear)

    def release(self, worker: instance.Instance) -> None:
        """Release a worker's slot and wake the calls that wait for one."""
        self.instances.end_request(worker.name)
        self.slot_freed.set()

    async def discard_answer(self, response: pool.Response, reuse: bool) -> None:
        """Read the rest of a response that is not passed on, so that the connection can be reused if wanted."""
        try:
            await response.discard()
        except result.RequestError:
            return
        finally:
            await response.close(reuse)

    def record_head(self, worker: instance.Instance, head: call.Head) -> None:
        """Record what the head of a response says about its worker."""
        if head.load is not None:
            self.instances.record_load(worker.name, *head.load)
        if head.misdirected:
            self.instances.record_misdirection(worker.name)
        elif head.not_run:
            self.instances.record_rejection(worker.name)
        else:
            self.instances.record_answer(
                worker.name, outlier_detection.FAILED if head.status >= 500 else outlier_detection.GOOD
            )
        if head.closes_connection:
            self.instances.record_connection_close(worker.name)

    async def read_answer(
        self, state: call_state.CallState, worker: instance.Instance, response: pool.Response, head: call.Head
    ) -> call.Answer:
        """Read the whole body of a response that is not a stream; nothing is passed on before that."""

        async def reserve(size: int) -> None:
            await state.call.memory.grow(memory_budget.Purpose.ANSWER, size, state.deadline)

        try:
            body = await response.read(reserve)
        except result.RequestError as error:
            await response.close(False)
            if error.result is not result.ResultCode.OVERLOADED:
                self.instances.record_failure(worker.name, outlier_detection.outcome_of_error(error))
            raise
        except BaseException:
            await response.close(False)
            raise
        await response.close(True)
        answer = call.Answer(response.status, self.dialect.answer_headers(response.headers), body)
        if state.key_reserved:
            self.finish_key_later(state, answer)
        if state.turn_reserved:
            # The answer to a turn is read here only if its status is not 2xx; its token count is not known.
            self.finish_turn_later(state, messages.UNKNOWN)
        self.counts["answered"] += 1
        self.add_trace(state, "answered", f"{worker.name}: {response.status}")
        return answer

    # -- streams ---------------------------------------------------------------------------------

    async def begin_stream(
        self, state: call_state.CallState, worker: instance.Instance, response: pool.Response, head: call.Head
    ) -> call.Answer:
        """Wait for the first bytes of the stream, then pass on the rest as it arrives."""
        chunks = response.parts()
        try:
            first = await anext(chunks, b"")
        except result.RequestError as error:
            self.instances.record_failure(worker.name, outlier_detection.outcome_of_error(error))
            raise
        except BaseException:
            await response.close(False)
            raise
        self.add_trace(state, "first bytes", worker.name)
        return call.Answer(
            response.status,
            self.dialect.answer_headers(response.headers),
            b"",
            self.stream(state, worker, response, chunks, first),
        )

    async def stream(
        self,
        state: call_state.CallState,
        worker: instance.Instance,
        response: pool.Response,
        chunks: collections.abc.AsyncIterator[bytes],
        first: bytes,
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the chunks of a stream; it ends only after the turn is stored, and raises if the stream is broken.

        On a resumable route only complete events are passed on, and a broken stream is resumed at another worker.
        """
        reader, pace_timer = events.Reader(state.keeps_output()), stream_pace.PaceTimer()
        buffer = event_buffer.EventBuffer() if state.may_resume() else None
        source, is_complete = call_state.StreamSource(worker, response, chunks, first), False
        try:
            while not is_complete:
                try:
                    async for chunk in source.read():
                        complete = chunk if buffer is None else buffer.feed(chunk)
                        if complete:
                            reader.feed(complete)
                            if reader.held_bytes() > state.output_reserved:
                                await self.reserve_output(state, reader)
                            pace_timer.record(reader.count)
                            yield complete
                    is_complete = True
                except result.RequestError as error:
                    await self.close_broken(source, error)
                    source = await self.resume(state, source, buffer, error)
                    pace_timer = stream_pace.PaceTimer()
            if buffer is not None and (rest := buffer.rest()):
                reader.feed(rest)
                yield rest
            await self.close_complete(source, pace_timer)
            if state.turn_reserved:
                await self.end_turn(state, source.worker, reader)
            self.counts["answered"] += 1
            self.add_trace(state, "answered", f"{source.worker.name}: {reader.count} events")
        except result.RequestError as error:
            self.counts["streams broken"] += 1
            self.routes.record_failed_attempt(state.route.name, error)
            self.add_trace(state, "stream broken", str(error))
            raise
        finally:
            self.active -= 1
            if source.is_open:
                source.is_open = False
                await source.response.close(False)
                self.release(source.worker)
            if state.turn_reserved:
                # The stream did not end normally, or its end was not confirmed by the session group.
                self.finish_turn_later(state, messages.UNKNOWN)

    async def reserve_output(self, state: call_state.CallState, reader: events.Reader) -> None:
        """Reserve the memory for the output of a retained turn so far, in steps.

        Raises:
            RequestError: the memory is not free before the call's deadline, or the output is larger than a chain may
                be; the outcome is unknown.

        """
        missing = reader.held_bytes() - state.output_reserved
        if reader.held_bytes() > turn_history.MAX_CHAIN_BYTES:
            raise result.RequestError(
                result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, "the output is larger than a chain may be"
            )
        step = -(-missing // OUTPUT_STEP_BYTES) * OUTPUT_STEP_BYTES
        await state.call.memory.grow(memory_budget.Purpose.OUTPUT, step, state.deadline)
        state.output_reserved += step

    async def close_complete(self, source: call_state.StreamSource, pace_timer: stream_pace.PaceTimer) -> None:
        """Release the worker and the connection of a complete stream, and record its pace."""
        seconds_per_event = pace_timer.pace()
        if seconds_per_event:
            self.instances.record_pace(source.worker.name, seconds_per_event)
        await source.response.close(True)
        source.is_open = False
        self.release(source.worker)

    async def close_broken(self, source: call_state.StreamSource, error: result.RequestError) -> None:
        """Release the worker of a broken stream and record the failure."""
        self.instances.record_failure(source.worker.name, outlier_detection.outcome_of_error(error))
        source.is_open = False
        await source.response.close(False)
        self.release(source.worker)

    async def resume(
        self,
        state: call_state.CallState,
        broken: call_state.StreamSource,
        buffer: event_buffer.EventBuffer | None,
        error: result.RequestError,
    ) -> call_state.StreamSource:
        """Resume a stream at another worker, after the last complete event that was passed on.

        The attempts that the route allows are counted over all workers of the call.

        Raises:
            RequestError: the error that broke the stream if it cannot be resumed; the error of the last attempt if no
                worker could resume it.

        """
        if buffer is None or not buffer.can_resume():
            raise error
        failed = broken.worker
        while not state.exhausted() and clock.now() < state.deadline:
            state.tried_workers |= {failed.name}
            self.add_trace(state, "stream broken, resuming", f"{failed.name}: {error}")
            failed = await self.wait_for_worker(state)
            try:
                source = await self.resume_at(state, failed, buffer.last_id)
            except result.RequestError as next_error:
                error = next_error
                continue
            buffer.start_resumed()
            self.counts["streams continued"] += 1
            self.add_trace(state, "continued", f"{failed.name}, after event {buffer.last_id or 'none'}")
            return source
        raise error

    async def resume_at(
        self, state: call_state.CallState, worker: instance.Instance, last_event: str
    ) -> call_state.StreamSource:
        """Ask one worker to resume a stream; the head of its response is checked here and not passed on.

        Raises:
            RequestError: the worker rejected the request, failed, or did not answer with a stream.

        """
        self.instances.begin_request(worker.name)
        response: pool.Response | None = None
        try:
            if self.instances.is_excluded(worker.name):
                raise result.RequestError(result.ResultCode.PUT_BACK, detail="the worker is draining or gone")
            service = self.node.relay.configuration.services.get(worker.service)
            max_connections = (
                service.max_connections if service is not None and service.max_connections else MAX_CONNECTIONS
            )
            headers = self.dialect.request_headers(state.call, worker.name, state.deadline - clock.now())
            response = await self.send(state, worker, self.dialect.resume_headers(headers, last_event), max_connections)
            head = self.dialect.head(response.status, response.headers, state.call.attempt)
            self.record_head(worker, head)
            await self.check_head(state, response, head)
            if not 200 <= head.status < 300:
                raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"status {head.status}")
            chunks = response.parts()
            return call_state.StreamSource(worker, response, chunks, await anext(chunks, b""))
        except BaseException as error:
            if response is not None:
                await response.close(False)
            if isinstance(error, result.RequestError) and response is not None:
                self.instances.record_failure(worker.name, outlier_detection.outcome_of_error(error))
            self.release(worker)
            raise

    async def end_turn(self, state: call_state.CallState, worker: instance.Instance, reader: events.Reader) -> None:
        """Have the session group store and charge the turn before the caller receives the end of the stream."""
        request, output = state.call, reader.output()
        service = self.node.relay.configuration.services.get(worker.service)
        stride = service.engine.stride if service is not None and service.engine is not None else 1
        retained = state.route.retained
        command = entry.EndTurn(
            state.program,
            state.session_id(),
            state.attempt_id(),
            messages.DONE,
            request.body if retained else b"",
            output if retained else b"",
            reader.count * stride,
            worker.name,
        )
        began = clock.now()
        time_limit = max(state.deadline - began, TURN_END_GRACE)
        try:
            async with self.transfer(state, len(command.input) + len(command.output), result.Ran.UNKNOWN):
                await self.node.submit(self.group_of(state.program), command, time_limit)
        except result.RequestError as error:
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, str(error)) from None
        finally:
            self.routes.record_stage(state.route.name, route_counts.Stage.END, began)
        state.turn_reserved = False
        if retained:
            turn = entry.Turn(state.attempt_id(), state.previous_turn(), request.body, output, worker.name)
            self.cached_turns.add((turn,))

    # -- completion ------------------------------------------------------------------------------

    def finish_turn_later(self, state: call_state.CallState, outcome: str) -> None:
        """Queue the end of a turn whose result the caller does not wait for."""
        state.turn_reserved = False
        self.completions.offer(
            self.group_of(state.program),
            entry.EndTurn(state.program, state.session_id(), state.attempt_id(), outcome, b"", b"", 0, ""),
        )

    def finish_key_later(self, state: call_state.CallState, answer: call.Answer) -> None:
        """Queue the answer under an operation key; one that is too large to be stored is queued without its bytes."""
        state.key_reserved = False
        key = self.key_of(state.call)
        if len(answer.body) > operation_keys.MAX_ANSWER_BYTES:
            answer = call.Answer(0, (), b"")
        pairs = tuple(entry.Header(name, value) for name, value in answer.headers)
        self.completions.offer(
            self.group_of(key),
            entry.CloseKey(key, state.attempt_id(), messages.DONE, answer.status, pairs, answer.body),
        )

    def abandon(self, state: call_state.CallState) -> None:
        """Release or charge the reservations of a failed call."""
        outcome = messages.UNKNOWN if state.attempts.possibly_run else messages.NOT_RUN
        self.return_quota(state)
        if state.turn_reserved:
            self.finish_turn_later(state, outcome)
        if state.key_reserved:
            state.key_reserved = False
            key = self.key_of(state.call)
            self.completions.offer(self.group_of(key), entry.CloseKey(key, state.attempt_id(), outcome, 0, (), b""))

    async def drain(self) -> None:
        """Serve for a fixed time, as callers may still be routed to this edge, then reject new calls.

        Pending calls and completions have until ``DRAIN_TIMEOUT`` after the start to finish.
        """
        began = clock.now()
        self.draining = True
        while clock.now() < began + DRAIN_TIMEOUT:
            await clock.sleep(DRAIN_POLL_INTERVAL)
            self.closed = clock.now() > began + SERVING_TIME_AFTER_STOP
            if self.closed and not self.active and not self.completions.open():
                return

    def samples(self) -> list[sample.Sample]:
        """The metrics of the forwarder."""
        found = [
            sample.sample("aspencroft_calls_active", self.active),
            sample.sample("aspencroft_calls_asked_total", self.counts["asked"]),
            sample.sample("aspencroft_calls_answered_total", self.counts["answered"]),
        ]
        found.extend(
            sample.sample("aspencroft_calls_refused_total", count, result=name.split()[1])
            for name, count in sorted(self.counts.items())
            if name.startswith("refused ")
        )
        outliers = self.instances.outliers
        found.append(sample.sample("aspencroft_workers_ejected", len(outliers.ejected(clock.now()))))
        found.extend(
            sample.sample("aspencroft_worker_ejections_total", count, outcome=outcome)
            for outcome, count in outliers.counts.items()
        )
        return [*found, *self.admission.samples(), *self.quotas.samples(), *self.routes.samples()]

    def status(self) -> dict:
        """The ``calls`` section of ``/status``."""
        outliers = self.instances.outliers
        return {
            "active": self.active,
            "asked": self.counts["asked"],
            "answered": self.counts["answered"],
            "rejected": self.admission.document(),
            "quota": self.quotas.document(),
            "refused": {
                name.split()[1]: count for name, count in sorted(self.counts.items()) if name.startswith("refused ")
            },
            "workers listed": len(self.instances.listed),
            "routes": self.routes.document(),
            "ejected": outliers.ejected(clock.now()),
            "ejections": dict(outliers.counts),
        }


def with_expected_bytes(
    state: call_state.CallState, command: entry.BeginTurn
) -> entry.BeginTurn | entry.BeginRetainedTurn:
    """Tell the session group what a retained turn is expected to add to the history."""
    if not command.retained:
        return command
    expected = len(state.call.body) + state.call.reserve * EXPECTED_BYTES_PER_TOKEN
    return entry.BeginRetainedTurn(command, expected)


async def first_answer(tasks: set[asyncio.Task]) -> call.Answer | None:
    """Return the first answer that one of some tasks comes to; None if all of them fail."""
    pending = tasks
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None:
                return task.result()
    return None


async def cancel_and_wait(task: asyncio.Task) -> None:
    """Cancel a task if it still runs and wait for its end; its result and its exception are ignored."""
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()


def draw_service(route: http_route.HttpRoute, randomness: random.Random) -> str:
    """Draw one of a route's services at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    return randomness.choices(
        [target.service for target in route.targets], [target.weight for target in route.targets]
    )[0]
