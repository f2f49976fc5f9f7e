"""The way of an opaque call through an edge: admit, choose, forward, stream, close."""

import asyncio
import collections
import collections.abc
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
    caller_access,
    completion_queue,
    event_buffer,
    events,
    instance,
    instances,
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
from aspencroft.sessions import entry, messages, session_groups
from aspencroft.tracing import sample, trace
from aspencroft.workers import pool

LOG = logbook.Logger("proxy.forwarder")
RETRY_SOON = clock.seconds(0.3)
RETRY_LATER = clock.seconds(1)
TURN_END_GRACE = clock.seconds(0.2)
AIM_PARTS_FOR_WAITING = 4
WAITING_SHARE = 0.4
SHORTEST_GROUP_WAIT = clock.seconds(0.1)
LEAST_RETENTION = clock.seconds(60)
DRAIN_POLL_INTERVAL = clock.seconds(0.05)
WAIT_POLL_INTERVAL = clock.seconds(0.02)
SERVED_WHILE_UNREADY = clock.seconds(2.5)
DRAIN_LIMIT = clock.seconds(7.2)
MOST_CALLS = 1024
MOST_SELECTIONS = 12
MOST_CONNECTIONS = 64
LOAD_LIMIT = 1.25
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
GROUP_UNAVAILABLE = (
    result.ResultCode.UNREACHABLE,
    result.ResultCode.NOT_PRIMARY,
    result.ResultCode.NO_BACKUP,
    result.ResultCode.OVERLOADED,
    result.ResultCode.OUTCOME_UNKNOWN,
)


class Dialect(typing.Protocol):
    """How a worker's wire says what the product means; given by whoever translates."""

    def request_headers(self, one: call.Call, instance_name: str, remaining: datetime.timedelta) -> call.Headers:
        """The headers of a request to a worker."""

    def head(self, status: int, headers: call.Headers, attempt: str) -> call.Head:
        """What the head of an answer says."""

    def resume_headers(self, headers: call.Headers, last_event: str) -> call.Headers:
        """The headers of a request that continues a stream behind an event; unchanged when that is none."""

    def accepts(self, attempt: str) -> pool.Accepts:
        """Whether an answer may be one to the request with this id."""

    def answer_headers(self, headers: call.Headers) -> call.Headers:
        """The headers of an answer that go on to the caller."""


@dataclasses.dataclass
class Attempts:
    """What was sent to workers for one call; a hedge shares it with the attempts that it races.

    ``possibly_run`` counts requests whose worker did not say that it did not run them, ``in_flight`` those without a
    whole answer so far.

    Example: ``Attempts().sent == 0``
    """

    sent: int = 0
    possibly_run: int = 0
    in_flight: int = 0


@dataclasses.dataclass
class CallState:
    """One call on its way: its route, its time, what was begun for it and whether a worker was sent it."""

    call: call.Call
    route: http_route.HttpRoute
    end: datetime.timedelta
    body: bytes
    program: str = ""
    turn_reserved: bool = False
    key_reserved: bool = False
    last_worker: str = ""
    attempts: Attempts = dataclasses.field(default_factory=Attempts)
    tried_workers: frozenset[str] = frozenset()
    current_worker: str = ""
    hedged: bool = False
    quota_grant: quota_client.Grant | None = None
    group_wait_end: datetime.timedelta | None = None

    def attempt_id(self) -> str:
        """The caller's id of this try, as session groups know it."""
        return self.call.within_tenant(self.call.attempt)

    def session_id(self) -> str:
        """The line of turns that the call belongs to, as session groups know it."""
        return self.call.within_tenant(self.call.session)

    def previous_turn(self) -> str:
        """The turn that the call goes on from, as session groups know it: none of another tenant's can be named."""
        return self.call.within_tenant(self.call.previous)

    def turn(self) -> bool:
        """Whether the call is a turn that the session group count or keep."""
        return self.route.kind == http_route.STREAM and bool(self.call.budget or self.route.retained)

    def repeatable(self) -> bool:
        """Whether the work may be done more than once."""
        return self.route.kind == http_route.SAFE

    def may_resume(self) -> bool:
        """Whether a stream that breaks off may go on at another worker."""
        return self.route.kind == http_route.STREAM and self.route.resumable and self.route.attempts > 1

    def exhausted(self) -> bool:
        """Whether the call was sent to as many workers as its route allows."""
        return self.attempts.sent >= max(1, self.route.attempts)


@dataclasses.dataclass
class StreamSource:
    """The worker that a stream comes from at the moment, and its answer; it is given back once."""

    chosen: instance.Instance
    response: pool.Response
    parts: collections.abc.AsyncIterator[bytes]
    first: bytes
    is_open: bool = True

    async def read(self) -> collections.abc.AsyncIterator[bytes]:
        """The bytes that came first, and all others as they come."""
        if self.first:
            yield self.first
            async for part in self.parts:
                yield part


class Forwarder:
    """The stages of one edge for opaque calls; each call is walked through them by the task of its connection."""

    def __init__(self, own: node.Node, dialect: Dialect, known: instances.Instances, connections: pool.Pool):
        self.node = own
        self.dialect = dialect
        self.instances = known
        self.pool = connections
        self.access = caller_access.CallerAccess(own)
        self.quotas = quota_client.QuotaClient(own)
        self.traces = trace.Traces(own.address)
        self.completions = completion_queue.CompletionQueue(own)
        self.chains = turn_cache.TurnCache()
        self.working_sets = working_set.WorkingSets()
        self.admission = admission_report.AdmissionReport(own.address)
        self.waiting_calls = waiting_calls.WaitingCalls()
        self.routes = route_counts.RouteCounts()
        self.freed = asyncio.Event()
        self.active = 0
        self.waiting = 0
        self.draining = False
        self.closed = False
        self.counts: collections.Counter = collections.Counter()
        own.sample_sources.append(self.samples)
        own.status_reporter.sections["calls"] = self.status

    async def run(self) -> None:
        """The standing work beside the calls: the ends of calls that nobody waits for."""
        await self.completions.run()

    # -- admit -----------------------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this edge should get new connections."""
        return not self.node.stopping.is_set() and self.node.relay.current() and bool(self.instances.listed)

    def admit(self, one: call.Call) -> CallState:
        """The call's route and time; refused, not run, when there is none or this edge cannot serve it."""
        self.counts["asked"] += 1
        if self.closed:
            raise result.RequestError(result.ResultCode.LEAVING, retry=RETRY_SOON)
        if not self.node.relay.current():
            raise result.RequestError(result.ResultCode.NO_PLAN, retry=RETRY_SOON)
        if self.active >= MOST_CALLS:
            raise result.RequestError(result.ResultCode.OVERLOADED, retry=RETRY_LATER)
        route = self.node.relay.configuration.route_table.match(one.host, one.path())
        if route is None:
            if not self.access.knows_newest_configuration():
                raise result.RequestError(
                    result.ResultCode.NO_PLAN, detail="no route here, but one may be", retry=RETRY_SOON
                )
            raise result.RequestError(result.ResultCode.UNKNOWN_ROUTE, detail=one.path()[:200])
        one = self.access.identify(one, route)
        end = min(one.end(), one.arrived + route.timeout)
        if end <= clock.now():
            raise result.RequestError(result.ResultCode.DEADLINE, retry=RETRY_SOON)
        program = one.within_tenant(one.program or one.session or one.attempt)
        return CallState(one, route, end, one.body, program=program)

    async def wait_for_configuration(self, one: call.Call) -> None:
        """Hold a call for a part of its time while this edge, just started, learns the plan and the workers.

        The time is that of the route, as far as an older plan tells it.
        """
        route = self.node.relay.configuration.route_table.match(one.host, one.path())
        limit = clock.now() + (one.within if route is None else min(one.within, route.timeout)) * WAITING_SHARE
        while not (self.node.relay.current() and self.instances.listed) and clock.now() < limit and not self.closed:
            if self.waiting >= MOST_CALLS:
                return
            self.waiting += 1
            try:
                await clock.sleep(WAIT_POLL_INTERVAL)
            finally:
                self.waiting -= 1

    async def handle(self, one: call.Call) -> call.Answer:
        """Serve a call: an Answer, or a Refusal that says whether anything ran."""
        await self.wait_for_configuration(one)
        try:
            state = self.admit(one)
        except result.RequestError as rejection:
            self.admission.note_rejected(rejection)
            raise
        self.admission.note_admitted()
        self.active += 1
        handed = False
        try:
            await self.reserve_quota(state)
            if state.turn():
                await self.begin_turn(state)
            elif state.route.kind == http_route.KEYED and one.key:
                known = await self.reserve_key(state)
                if known is not None:
                    self.return_quota(state)
                    return known
            answer = await self.forward(state)
            handed = answer.parts is not None
            return answer
        except result.RequestError as refusal:
            self.add_trace(state, "refused", str(refusal))
            self.counts[f"refused {refusal.result.number}"] += 1
            self.routes.note_refused(state.route.name, refusal)
            self.abandon(state)
            if state.attempts.possibly_run and refusal.ran is result.Ran.NOT_RUN:
                raise result.RequestError(refusal.result, result.Ran.UNKNOWN, refusal.detail, refusal.retry) from None
            raise
        except BaseException:
            self.abandon(state)
            raise
        finally:
            if not handed:
                self.active -= 1

    def add_trace(self, state: CallState, what: str, detail: str = "") -> None:
        """Add a line to the call's trace."""
        one = state.call
        self.traces.add(one.attempt, state.route.name, clock.now() - one.arrived, what, detail)

    # -- begin -----------------------------------------------------------------------------------

    async def reserve_quota(self, state: CallState) -> None:
        """Have the call counted for its tenant; one above the tenant's limit is refused, not run."""
        holder = self.access.tenant_of(state.call)
        if holder is not None:
            state.quota_grant = await self.quotas.reserve(holder, self.group_wait_limit(state))

    def return_quota(self, state: CallState) -> None:
        """Let the tenant have another call for one that did not run."""
        if state.quota_grant is not None and not state.attempts.possibly_run:
            self.quotas.give_back(state.quota_grant)
        state.quota_grant = None

    def group_wait_limit(self, state: CallState) -> datetime.timedelta:
        """How long a call waits for the group that it needs: its primary may be changing, which takes a second or so.

        A call that waits is tried all the time and goes on the moment the group serves; it leaves the caller time to
        come again. All waits of a call end at the same time, but for a short one that each group gets.
        """
        now = clock.now()
        left = state.end - now
        if state.group_wait_end is None:
            state.group_wait_end = now + max(state.route.aim, left * WAITING_SHARE)
        return max(min(max(state.group_wait_end - now, SHORTEST_GROUP_WAIT), left), clock.ZERO)

    async def submit_to_group(self, state: CallState, group_key: str, command):
        """Have a session group decide a command; what no group can decide now is refused, not run."""
        began = clock.now()
        try:
            return await self.node.submit(self.group_of(group_key), command, self.group_wait_limit(state))
        except result.RequestError as refusal:
            if refusal.result in GROUP_UNAVAILABLE:
                raise result.RequestError(refusal.result, result.Ran.NOT_RUN, refusal.detail, RETRY_SOON) from None
            raise
        finally:
            self.routes.note_stage(state.route.name, route_counts.Stage.BEGIN, began)

    def group_of(self, key: str) -> int:
        """The session group of a program or operation key."""
        return session_groups.group_of(key, self.node.settings.talk_pairs)

    async def begin_turn(self, state: CallState) -> None:
        """Reserve the turn's output and learn its history; the call's body becomes the chain and the new input."""
        one, route = state.call, state.route
        previous = state.previous_turn() if route.retained else ""
        have = previous if previous and self.chains.holds(previous) else ""
        keep = max(route.keep, LEAST_RETENTION, one.program_within or clock.ZERO)
        command = entry.BeginTurn(
            state.program,
            state.session_id(),
            state.attempt_id(),
            previous,
            one.reserve,
            one.budget,
            route.retained,
            keep,
            state.end - clock.now(),
            self.node.incarnation_id(),
            have,
            (),
        )
        state.turn_reserved = True
        try:
            reply = await self.submit_to_group(state, state.program, command)
        except result.RequestError as refusal:
            if refusal.result is not result.ResultCode.UNKNOWN_TURN:
                if refusal.result is result.ResultCode.OUT_OF_BUDGET:
                    state.turn_reserved = False
                raise
            chain = await self.find_chain_in_other_groups(state, previous)
            reply = await self.submit_to_group(
                state, state.program, dataclasses.replace(command, base=chain, held_turn="")
            )
        state.last_worker = reply.worker
        if previous:
            self.chains.keep(reply.chain)
            whole = self.chains.bytes_of(previous)
            if whole is None:
                raise result.RequestError(result.ResultCode.INTERNAL, detail="a chain came with a gap")
            state.body = whole + one.body
        self.add_trace(state, "turn begun", f"behind {one.previous or 'nothing'}")

    async def find_chain_in_other_groups(self, state: CallState, turn: str) -> tuple[entry.Turn, ...]:
        """A chain that another program's group keeps; unknown only when every group says so."""
        mine = self.group_of(state.program)
        found: list[entry.TurnFound] = []
        missed: list[int] = []

        async def ask(group: int) -> None:
            try:
                found.append(await self.node.submit(group, entry.FindTurn(turn), self.group_wait_limit(state)))
            except result.RequestError:
                missed.append(group)

        async with asyncio.TaskGroup() as tasks:
            for group in range(1, self.node.settings.group_count):
                if group != mine:
                    tasks.create_task(ask(group))
        for reply in found:
            if reply.found:
                self.counts["chains found elsewhere"] += 1
                return reply.chain
        if missed:
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail=f"groups {missed} cannot tell", retry=RETRY_LATER
            )
        raise result.RequestError(result.ResultCode.UNKNOWN_TURN, detail=turn)

    async def reserve_key(self, state: CallState) -> call.Answer | None:
        """Claim the operation's key; the record's answer when it is another's."""
        one = state.call
        digest = hashlib.blake2b(
            b"\0".join([one.method.encode(), one.host.encode(), one.target.encode(), one.body]),
            digest_size=16,
        ).digest()
        state.key_reserved = True
        window = self.node.settings.key_window
        command = entry.ClaimKey(
            self.key_of(one), state.attempt_id(), digest, state.end - clock.now(), window, self.node.incarnation_id()
        )
        held = await self.submit_to_group(state, self.key_of(one), command)
        if held.is_holder:
            self.add_trace(state, "key claimed")
            return None
        state.key_reserved = False
        self.add_trace(state, "key known", held.outcome or "at work")
        if held.outcome == messages.DONE and held.status:
            return call.Answer(held.status, tuple((header.name, header.value) for header in held.headers), held.body)
        raise result.RequestError(result.ResultCode.OPERATION_IN_PROGRESS, result.Ran.UNKNOWN, held.outcome)

    def key_of(self, one: call.Call) -> str:
        """The operation's key within its tenant."""
        return f"{one.tenant}\n{one.key}"

    # -- choose ----------------------------------------------------------------------------------

    def choose(self, state: CallState) -> tuple[instance.Instance | None, str]:
        """A worker for the call among those that the configuration in force allows now, and why."""
        route = self.node.relay.configuration.http_routes.get(state.route.name)
        if route is None or (route.host, route.prefix) != (state.route.host, state.route.prefix):
            raise result.RequestError(result.ResultCode.UNKNOWN_ROUTE, detail=state.route.name)
        self.access.check_unchanged(state.call, route)
        if (route.kind, route.retained) != (state.route.kind, state.route.retained):
            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route changed its kind", retry=RETRY_SOON)
        state.route = route
        service = draw_service(route, self.node.environment.randomness)
        candidates = self.instances.candidates(service, state.tried_workers, state.repeatable())
        used = self.working_sets.of(service)
        chosen = worker_selection.choose(
            candidates,
            used.home_parts(state.call.parts, state.program),
            state.last_worker,
            self.node.settings.area,
            self.node.environment.randomness,
            load_limit=LOAD_LIMIT,
            copies=used.copies(len(self.instances.services.get(service, ())), *self.memory_and_slots(service)),
        )
        return self.instances.listed.get(chosen.name), f"{service}: {chosen.reason}"

    def memory_and_slots(self, service: str) -> tuple[int, int]:
        """The KV memory of one of a service's workers in tokens, and its slots; zeros when they aren't known."""
        facts = self.node.relay.configuration.services.get(service)
        if facts is None or facts.engine is None:
            return 0, 0
        return facts.engine.kv_tokens, facts.engine.slots

    def rank(self, state: CallState) -> int:
        """How urgent a call is, 0 the most: as its tenant says, else its route."""
        holder = self.access.tenant_of(state.call)
        return state.route.rank if holder is None or holder.rank is None else holder.rank

    async def wait_for_worker(self, state: CallState) -> instance.Instance:
        """A worker with a place for the call, waited for during a part of its aim.

        For half of that time more urgent calls that wait here go first; then all are alike, so that none starves.
        """
        now = clock.now()
        span = min(state.route.aim or state.route.timeout, state.end - now) / AIM_PARTS_FOR_WAITING
        limit, yields_until = now + span, now + span / 2
        with self.waiting_calls.enter(self.rank(state), state.route.services()) as entered:
            chosen, why = None, ""
            while chosen is None and (not why or clock.now() < limit):
                if why:
                    await self.wait_for_place(limit)
                if clock.now() < yields_until and self.waiting_calls.is_preceded(entered):
                    why = "more urgent calls wait"
                else:
                    chosen, why = self.choose(state)
        self.routes.note_stage(state.route.name, route_counts.Stage.CHOOSE, now)
        if chosen is None:
            raise result.RequestError(
                result.ResultCode.OVERLOADED if bool(self.instances.listed) else result.ResultCode.NO_WORKER,
                detail=why,
                retry=RETRY_SOON,
            )
        self.add_trace(state, "chosen", f"{chosen.name}: {why}")
        return chosen

    async def wait_for_place(self, limit: datetime.timedelta) -> None:
        """Wait until a place may have become free, for a moment at most."""
        self.freed.clear()
        try:
            async with clock.limit(min(WAIT_POLL_INTERVAL, limit - clock.now())):
                await self.freed.wait()
        except TimeoutError:
            pass

    # -- forward ---------------------------------------------------------------------------------

    async def forward(self, state: CallState) -> call.Answer:
        """Send the call to workers until one answers, as often as its kind and its route allow."""
        if not state.repeatable() or state.route.attempts < 2 or not state.route.aim:
            return await self.try_workers_in_turn(state)
        first = asyncio.ensure_future(self.try_workers_in_turn(state))
        try:
            await asyncio.wait((first,), timeout=state.route.aim.total_seconds())
            if first.done() or state.attempts.in_flight != 1 or state.exhausted():
                return await first
            return await self.hedge(state, first)
        finally:
            await ended(first)

    async def hedge(self, state: CallState, first: asyncio.Task) -> call.Answer:
        """Another attempt beside one that is silent beyond its aim, as its answer may be lost.

        The first to answer counts.

        Only work that may be repeated comes here, and the attempts that the route allows are shared.
        """
        self.counts["hedged"] += 1
        state.hedged = True
        other = dataclasses.replace(state, tried_workers=state.tried_workers | {state.current_worker}, hedged=False)
        self.add_trace(state, "hedged", f"{state.current_worker} is silent")
        second = asyncio.ensure_future(self.try_workers_in_turn(other))
        pending = {first, second}
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if task.exception() is None:
                        return task.result()
            return await first
        finally:
            await ended(second)

    async def try_workers_in_turn(self, state: CallState) -> call.Answer:
        """Attempts one after the other."""
        for _ in range(MOST_SELECTIONS):
            chosen = await self.wait_for_worker(state)
            state.current_worker = chosen.name
            try:
                return await self.attempt(state, chosen)
            except result.RequestError as refusal:
                self.add_trace(state, "attempt failed", f"{chosen.name}: {refusal}")
                self.routes.note_failed_attempt(state.route.name, refusal)
                state.tried_workers |= {chosen.name}
                if refusal.ran is not result.Ran.NOT_RUN and not (state.repeatable() or state.may_resume()):
                    raise
                if state.hedged or state.exhausted() or clock.now() >= state.end:
                    raise
        raise result.RequestError(result.ResultCode.PUT_BACK, retry=RETRY_SOON)

    async def attempt(self, state: CallState, chosen: instance.Instance) -> call.Answer:
        """One attempt at one worker; whatever comes is counted for the choice of later ones."""
        one, began = state.call, clock.now()
        self.instances.begin(chosen.name)
        state.attempts.in_flight += 1
        ended = False
        try:
            if self.instances.is_excluded(chosen.name):
                raise result.RequestError(result.ResultCode.PUT_BACK, detail="the worker is leaving")
            remaining = state.end - clock.now()
            if remaining <= clock.ZERO:
                raise result.RequestError(result.ResultCode.DEADLINE, retry=RETRY_SOON)
            service = self.node.relay.configuration.services.get(chosen.service)
            most = service.max_connections if service is not None and service.max_connections else MOST_CONNECTIONS
            headers = self.dialect.request_headers(one, chosen.name, remaining)
            response = await self.send(state, chosen, headers, most)
            head = self.dialect.head(response.status, response.headers, one.attempt)
            self.record_head(chosen, head)
            await self.check_head(state, response, head)
            if state.route.kind == http_route.STREAM and 200 <= head.status < 300:
                answer = await self.begin_stream(state, chosen, response, head)
                ended = True
                return answer
            return await self.read_answer(state, chosen, response, head)
        finally:
            self.routes.note_stage(state.route.name, route_counts.Stage.FIRST, began)
            state.attempts.in_flight -= 1
            if not ended:
                self.release(chosen)

    async def send(
        self, state: CallState, chosen: instance.Instance, headers: call.Headers, most_connections: int
    ) -> pool.Response:
        """Send the call to a worker once, and wait for the head of the answer.

        The call counts as sent and as possibly run from before its first byte until the pool or the worker says
        otherwise.
        """
        one, attempts = state.call, state.attempts
        if state.exhausted():
            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route allows no more attempts")
        attempts.sent += 1
        attempts.possibly_run += 1
        try:
            return await self.pool.request(
                chosen.address,
                one.method,
                one.target,
                headers,
                state.body,
                state.end,
                most_connections,
                self.dialect.accepts(one.attempt),
            )
        except result.RequestError as refusal:
            if refusal.ran is result.Ran.NOT_RUN:
                attempts.sent -= 1
                attempts.possibly_run -= 1
            self.instances.record_failure(chosen.name, outlier_detection.outcome_of_error(refusal))
            raise

    async def check_head(self, state: CallState, response: pool.Response, head: call.Head) -> None:
        """Raise unless the answer may go on to the caller: a worker declined the call, or it is unclear whether it
        ran.
        """
        declined = head.misdirected or head.not_run
        if declined and (head.attempt or not response.reused or state.repeatable()):
            state.attempts.possibly_run -= 1
            await self.discard_answer(response, reuse=bool(head.attempt))
            raise result.RequestError(result.ResultCode.PUT_BACK, detail=str(head.status), retry=RETRY_SOON)
        unclear = ""
        if declined:
            unclear = "an answer without an id on a connection that carried another request"
        elif not head.stamped and 200 <= head.status < 300:
            unclear = "an answer without its stamp"
        elif head.status in NOT_RUN_STATUSES and not state.repeatable():
            unclear = f"status {head.status} from a worker that does not say that nothing ran"
        if unclear:
            await response.close(False)
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, unclear)

    def release(self, chosen: instance.Instance) -> None:
        """Give a worker's place back, and wake whoever waits for one."""
        self.instances.end(chosen.name)
        self.freed.set()

    async def discard_answer(self, response: pool.Response, reuse: bool) -> None:
        """Read the rest of an answer that is not handed on, so that its connection serves again if that is wanted."""
        try:
            await response.read()
        except result.RequestError:
            return
        finally:
            await response.close(reuse)

    def record_head(self, chosen: instance.Instance, head: call.Head) -> None:
        """Take in what a worker's head tells of it."""
        if head.load is not None:
            self.instances.record_load(chosen.name, *head.load)
        if head.misdirected:
            self.instances.record_misdirection(chosen.name)
        elif head.not_run:
            self.instances.record_rejection(chosen.name)
        else:
            self.instances.record_answer(
                chosen.name, outlier_detection.FAILED if head.status >= 500 else outlier_detection.GOOD
            )
        if head.leaving:
            self.instances.record_connection_close(chosen.name)

    async def read_answer(
        self, state: CallState, chosen: instance.Instance, response: pool.Response, head: call.Head
    ) -> call.Answer:
        """A plain answer, read whole before any of it goes out."""
        try:
            body = await response.read()
        except result.RequestError as refusal:
            self.instances.record_failure(chosen.name, outlier_detection.outcome_of_error(refusal))
            raise
        except BaseException:
            await response.close(False)
            raise
        await response.close(True)
        answer = call.Answer(response.status, self.dialect.answer_headers(response.headers), body)
        if state.key_reserved:
            pairs = tuple(entry.Header(name, value) for name, value in answer.headers)
            key = self.key_of(state.call)
            self.completions.offer(
                self.group_of(key),
                entry.CloseKey(key, state.attempt_id(), messages.DONE, answer.status, pairs, body),
            )
            state.key_reserved = False
        if state.turn_reserved:
            self.finish_turn_later(state, messages.UNKNOWN)
        self.counts["answered"] += 1
        self.add_trace(state, "answered", f"{chosen.name}: {response.status}")
        return answer

    # -- stream ----------------------------------------------------------------------------------

    async def begin_stream(
        self, state: CallState, chosen: instance.Instance, response: pool.Response, head: call.Head
    ) -> call.Answer:
        """Wait for the stream's first bytes, then hand the rest on as it comes."""
        parts = response.parts()
        try:
            first = await anext(parts, b"")
        except result.RequestError as refusal:
            self.instances.record_failure(chosen.name, outlier_detection.outcome_of_error(refusal))
            raise
        except BaseException:
            await response.close(False)
            raise
        self.add_trace(state, "first part", chosen.name)
        return call.Answer(
            response.status,
            self.dialect.answer_headers(response.headers),
            b"",
            self.stream(state, chosen, response, parts, first),
        )

    async def stream(
        self,
        state: CallState,
        chosen: instance.Instance,
        response: pool.Response,
        parts: collections.abc.AsyncIterator[bytes],
        first: bytes,
    ) -> collections.abc.AsyncIterator[bytes]:
        """The parts of a stream; it ends only once the turn is kept, and raises when it was broken off.

        On a route that may be resumed only whole events go out, and a stream that breaks goes on at another worker.
        """
        reader, watch = events.Reader(), stream_pace.Stopwatch()
        whole_events = event_buffer.EventBuffer() if state.may_resume() else None
        source, whole = StreamSource(chosen, response, parts, first), False
        try:
            while not whole:
                try:
                    async for part in source.read():
                        passed = part if whole_events is None else whole_events.feed(part)
                        if passed:
                            reader.feed(passed)
                            watch.saw(reader.count)
                            yield passed
                    whole = True
                except result.RequestError as refusal:
                    await self.close_broken(source, refusal)
                    source = await self.resume(state, source, whole_events, refusal)
                    watch = stream_pace.Stopwatch()
            if whole_events is not None and (rest := whole_events.rest()):
                reader.feed(rest)
                yield rest
            await self.close_whole(source, watch)
            if state.turn_reserved:
                await self.end_turn(state, source.chosen, reader)
            self.counts["answered"] += 1
            self.add_trace(state, "answered", f"{source.chosen.name}: {reader.count} events")
        except result.RequestError as refusal:
            self.counts["streams broken"] += 1
            self.routes.note_failed_attempt(state.route.name, refusal)
            self.add_trace(state, "broken off", str(refusal))
            raise
        finally:
            self.active -= 1
            if source.is_open:
                source.is_open = False
                await source.response.close(False)
                self.release(source.chosen)
            if state.turn_reserved:
                self.finish_turn_later(state, messages.UNKNOWN)

    async def close_whole(self, source: StreamSource, watch: stream_pace.Stopwatch) -> None:
        """Give back the worker and the connection of a stream that came whole."""
        seconds_an_event = watch.pace()
        if seconds_an_event:
            self.instances.record_pace(source.chosen.name, seconds_an_event)
        await source.response.close(True)
        source.is_open = False
        self.release(source.chosen)

    async def close_broken(self, source: StreamSource, refusal: result.RequestError) -> None:
        """Give back the worker of a stream that broke off, and count the failure for it."""
        self.instances.record_failure(source.chosen.name, outlier_detection.outcome_of_error(refusal))
        source.is_open = False
        await source.response.close(False)
        self.release(source.chosen)

    async def resume(
        self,
        state: CallState,
        broken: StreamSource,
        whole_events: event_buffer.EventBuffer | None,
        refusal: result.RequestError,
    ) -> StreamSource:
        """Continue a stream at another worker, behind the last whole event that went out.

        The attempts that the route allows hold for all workers of the call together.

        Raises:
            RequestError: the refusal that broke the stream, where it may not go on; that of the last attempt where no
                worker could continue it.

        """
        if whole_events is None or not whole_events.can_continue():
            raise refusal
        failed = broken.chosen
        while not state.exhausted() and clock.now() < state.end:
            state.tried_workers |= {failed.name}
            self.add_trace(state, "broken, to be continued", f"{failed.name}: {refusal}")
            failed = await self.wait_for_worker(state)
            try:
                source = await self.continue_at(state, failed, whole_events.last_id)
            except result.RequestError as later:
                refusal = later
                continue
            whole_events.begin_again()
            self.counts["streams continued"] += 1
            self.add_trace(state, "continued", f"{failed.name}, behind event {whole_events.last_id or 'none'}")
            return source
        raise refusal

    async def continue_at(self, state: CallState, chosen: instance.Instance, last_event: str) -> StreamSource:
        """Ask one worker to continue a stream; its answer's head was checked and is not passed on.

        Raises:
            RequestError: the worker declined, broke off or gave another answer than a stream.

        """
        self.instances.begin(chosen.name)
        response: pool.Response | None = None
        try:
            if self.instances.is_excluded(chosen.name):
                raise result.RequestError(result.ResultCode.PUT_BACK, detail="the worker is leaving")
            service = self.node.relay.configuration.services.get(chosen.service)
            most = service.max_connections if service is not None and service.max_connections else MOST_CONNECTIONS
            headers = self.dialect.request_headers(state.call, chosen.name, state.end - clock.now())
            response = await self.send(state, chosen, self.dialect.resume_headers(headers, last_event), most)
            head = self.dialect.head(response.status, response.headers, state.call.attempt)
            self.record_head(chosen, head)
            await self.check_head(state, response, head)
            if not 200 <= head.status < 300:
                raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, f"status {head.status}")
            parts = response.parts()
            return StreamSource(chosen, response, parts, await anext(parts, b""))
        except BaseException as error:
            if response is not None:
                await response.close(False)
            if isinstance(error, result.RequestError) and response is not None:
                self.instances.record_failure(chosen.name, outlier_detection.outcome_of_error(error))
            self.release(chosen)
            raise

    async def end_turn(self, state: CallState, chosen: instance.Instance, reader: events.Reader) -> None:
        """Have the turn kept and charged, before its caller hears of its end."""
        one, output = state.call, reader.output()
        service = self.node.relay.configuration.services.get(chosen.service)
        stride = service.engine.stride if service is not None and service.engine is not None else 1
        retained = state.route.retained
        command = entry.EndTurn(
            state.program,
            state.session_id(),
            state.attempt_id(),
            messages.DONE,
            one.body if retained else b"",
            output if retained else b"",
            reader.count * stride,
            chosen.name,
        )
        began = clock.now()
        within = max(state.end - began, TURN_END_GRACE)
        try:
            await self.node.submit(self.group_of(state.program), command, within)
        except result.RequestError as refusal:
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, str(refusal)) from None
        finally:
            self.routes.note_stage(state.route.name, route_counts.Stage.END, began)
        state.turn_reserved = False
        if retained:
            turn = entry.Turn(state.attempt_id(), state.previous_turn(), one.body, output, chosen.name)
            self.chains.keep((turn,))

    # -- close -----------------------------------------------------------------------------------

    def finish_turn_later(self, state: CallState, outcome: str) -> None:
        """Have a turn that nobody waits for ended behind the answer."""
        state.turn_reserved = False
        self.completions.offer(
            self.group_of(state.program),
            entry.EndTurn(state.program, state.session_id(), state.attempt_id(), outcome, b"", b"", 0, ""),
        )

    def abandon(self, state: CallState) -> None:
        """Free or charge what was begun for a call that failed."""
        outcome = messages.UNKNOWN if state.attempts.possibly_run else messages.NOT_RUN
        self.return_quota(state)
        if state.turn_reserved:
            self.finish_turn_later(state, outcome)
        if state.key_reserved:
            state.key_reserved = False
            key = self.key_of(state.call)
            self.completions.offer(self.group_of(key), entry.CloseKey(key, state.attempt_id(), outcome, 0, (), b""))

    async def drain(self) -> None:
        """Serve on while callers are still handed to this edge, then refuse new calls and let the others end."""
        began = clock.now()
        self.draining = True
        while clock.now() < began + DRAIN_LIMIT:
            await clock.sleep(DRAIN_POLL_INTERVAL)
            self.closed = clock.now() > began + SERVED_WHILE_UNREADY
            if self.closed and not self.active and not self.completions.open():
                return

    def samples(self) -> list[sample.Sample]:
        """What the forwarding says of itself in numbers."""
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
        """What an operator should see of the calls here, as a section of ``/status``."""
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


async def ended(task: asyncio.Task) -> None:
    """Cancel a task if it still runs, and wait until it ended; what became of it is of no concern any more."""
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()


def draw_service(route: http_route.HttpRoute, randomness: random.Random) -> str:
    """One of a route's services, by their weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    return randomness.choices([one.service for one in route.targets], [one.weight for one in route.targets])[0]
