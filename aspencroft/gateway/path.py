"""The stages of a request on an edge: accept, select a worker, send, stream; joined by bounded queues."""

import collections
import datetime
import json
import random

import logbook

import aspencroft.residency.messages as residency_messages
import aspencroft.sessions.messages as sessions_messages
from aspencroft.configuration import lane
from aspencroft.errors import result
from aspencroft.gateway import call, closing, priority_queue, selection, wait_queue, worker_view
from aspencroft.membership import cluster_member
from aspencroft.node import node
from aspencroft.residency import tap
from aspencroft.runtime import clock, supervision
from aspencroft.sessions import session_groups
from aspencroft.tracing import sample, trace
from aspencroft.workers import adapter

LOG = logbook.Logger("gateway.path")
QUEUE_BOUND = 64
TOTAL_ACCEPTORS, MIN_ACCEPTORS = 192, 4
SENDERS = {True: 160, False: 64}
LIST_INTERVAL = clock.seconds(0.5)
DISPATCH_INTERVAL = clock.seconds(0.1)
CLOSE_TIMEOUT = clock.seconds(5)
RETRY_SOON = clock.seconds(1)
SHED = clock.seconds(5)
DRAIN_GRACE, UNSENT_GRACE = clock.seconds(7.5), clock.seconds(4)
MAX_ATTEMPTS = 16
CHARACTERS_PER_TOKEN = 4
SMOOTHING = 16
REPEATABLE_RESULTS = (result.ResultCode.WORKER_LOST, result.ResultCode.WORKER_BROKE, result.ResultCode.WORKER_REFUSED)


class RequestPath:
    """All stages of requests on one edge.

    Accepting waits for session groups, so each group has its own queues and tasks. There and among the senders,
    signals have separate capacity. Thus a group without a primary delays only its own requests, and many long streams
    do not delay signals.
    """

    def __init__(self, own: node.Node, worker_adapter: adapter.Adapter):
        self.node = own
        self.adapter = worker_adapter
        self.traces = trace.Traces(own.address)
        group_ids = range(1, own.settings.group_count)
        self.accept_queues = {
            (group_id, turns): priority_queue.PriorityQueue(QUEUE_BOUND)
            for group_id in group_ids
            for turns in (True, False)
        }
        self.mean_accept_time = {key: clock.seconds(0.02) for key in self.accept_queues}
        self.acceptors = max(MIN_ACCEPTORS, TOTAL_ACCEPTORS // len(self.accept_queues))
        self.awaiting_worker = priority_queue.PriorityQueue(QUEUE_BOUND * 8)
        self.send_queues = {turns: priority_queue.PriorityQueue(count) for turns, count in SENDERS.items()}
        self.wait_queue = wait_queue.WaitQueue()
        self.closings = closing.Closings(own)
        self.worker_view = worker_view.WorkerView(own)
        self.active: dict[str, call.Call] = {}
        self.mean_duration = {True: clock.seconds(0.2), False: clock.seconds(0.05)}
        self.next_wake: dict[str, datetime.timedelta] = {}
        self.counts: collections.Counter = collections.Counter()
        own.sample_sources.append(self.samples)

    # -- admission -------------------------------------------------------------------------------

    def check_open(self) -> None:
        """Refuse requests while this node is stopping or has no current configuration.

        :raises result.RequestError: LEAVING or NO_PLAN; the request did not run
        """
        if self.node.stopping.is_set():
            raise result.RequestError(result.ResultCode.LEAVING, retry=RETRY_SOON)
        if not self.node.relay.current():
            raise result.RequestError(result.ResultCode.NO_PLAN, retry=RETRY_SOON)

    def admit(self, request: call.Request) -> call.Call:
        """Check a request and queue it.

        :raises result.RequestError: the request is refused; it did not run
        """
        self.counts["asked"] += 1
        self.check_open()
        known = self.node.relay.configuration.lanes.get(request.lane)
        if known is None:
            raise result.RequestError(result.ResultCode.UNKNOWN_LANE, detail=request.lane)
        if known.kind == lane.TURNS and not request.program:
            raise result.RequestError(result.ResultCode.MALFORMED, detail="program: a turn belongs to a program")
        if known.urgency >= self.node.control("shed", 10):
            raise result.RequestError(result.ResultCode.SHED, detail=request.lane, retry=SHED)
        now = clock.now()
        one = call.Call(request, known, now, now + known.deadline)
        refusal = self.enqueue(one)
        if refusal is not None:
            raise refusal
        self.active[request.identity] = one
        self.record_event(one, "taken in", f"plan {self.node.relay.revision.text()}")
        return one

    def enqueue(self, one: call.Call) -> result.RequestError | None:
        """Queue a call for its next stage: the group of its key or of its program, or the selection of a worker.

        Returns the refusal if there is no room or the deadline cannot be met.
        """
        if one.request.operation and not one.claimed:
            group_id = session_groups.group_of(one.request.operation, self.node.settings.talk_pairs)
        elif one.is_turn() and one.granted is None:
            group_id = session_groups.group_of(one.request.program, self.node.settings.talk_pairs)
        else:
            if self.awaiting_worker.offer(one.lane.urgency, one):
                return None
            return result.RequestError(result.ResultCode.OVERLOADED, retry=RETRY_SOON)
        key = (group_id, one.is_turn())
        expected = self.mean_accept_time[key] * self.accept_queues[key].ahead(one.lane.urgency) / self.acceptors
        if clock.now() + expected > one.end:
            return result.RequestError(
                result.ResultCode.OVERLOADED, detail="the deadline cannot be met", retry=expected
            )
        if self.accept_queues[key].offer(one.lane.urgency, one):
            return None
        return result.RequestError(result.ResultCode.OVERLOADED, retry=max(RETRY_SOON, expected))

    def record_event(self, one: call.Call, what: str, detail: str = "") -> None:
        """Add an event to the request's trace."""
        self.traces.add(one.request.identity, one.lane.name, clock.now() - one.started_at, what, detail)

    # -- stages ----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run all stages, and read the list of workers periodically."""
        works = [
            ("list", self.read_list),
            ("draw", self.selection_stage),
            ("look", self.dispatch_stage),
            *self.closings.works(),
        ]
        works.extend(
            (f"accept {key[0]}", self.acceptor(key)) for key in self.accept_queues for _ in range(self.acceptors)
        )
        works.extend(("send on", self.sender(turns)) for turns, count in SENDERS.items() for _ in range(count))
        async with supervision.Group() as group:
            for name, work in works:
                group.create_task(supervision.stand(name, work, self.node.standing))

    async def read_list(self) -> None:
        """Read the platform's list of workers periodically; after a failure the last list stays in use."""
        while self.node.settings.workers:
            try:
                self.worker_view.take_list(await self.adapter.workers(self.node.settings.workers))
                self.dispatch_parked()
            except result.RequestError as refusal:
                self.counts["lists missed"] += 1
                LOG.info("list of workers not read: {}", refusal)
            await clock.sleep(LIST_INTERVAL)

    def acceptor(self, key: tuple[int, bool]):
        """Return the work of one acceptor of a group."""

        async def work() -> None:
            while True:
                one = await self.accept_queues[key].take()
                started_at = clock.now()
                try:
                    if self.is_over(one):
                        raise result.RequestError(result.ResultCode.DEADLINE)
                    if await self.accept(one):
                        refusal = self.enqueue(one)
                        if refusal is not None:
                            raise refusal
                except result.RequestError as refusal:
                    self.give_up(one, refusal)
                except Exception:
                    LOG.exception("unexpected error while accepting request {}", one.request.identity)
                    self.give_up(one, result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN))
                self.mean_accept_time[key] += (clock.now() - started_at - self.mean_accept_time[key]) / SMOOTHING

        return work

    def is_over(self, one: call.Call) -> bool:
        """Whether the caller no longer waits for the call, or its deadline has passed."""
        return one.abandoned or clock.now() >= one.end

    def write_timeout(self, one: call.Call) -> datetime.timedelta:
        """Return the time limit for a write to a session group for this call."""
        return min(CLOSE_TIMEOUT, max(one.end - clock.now(), clock.seconds(0.05)))

    async def accept(self, one: call.Call) -> bool:
        """Claim the operation key, or else open the turn; False if the call was answered from the key's record."""
        request = one.request
        if request.operation and not one.claimed:
            group_id = session_groups.group_of(request.operation, self.node.settings.talk_pairs)
            state = await self.node.submit(
                group_id,
                sessions_messages.ClaimOperation(
                    request.operation,
                    request.lane,
                    request.identity,
                    request.digest(),
                    one.lane.deadline,
                    one.lane.keep,
                ),
                self.write_timeout(one),
            )
            if not state.is_holder:
                self.answer_from_record(one, state)
                return False
            one.claimed = True
            self.record_event(one, "key claimed", f"pair {group_id}")
            return True
        group_id = session_groups.group_of(request.program, self.node.settings.talk_pairs)
        one.granted = await self.node.submit(
            group_id,
            sessions_messages.OpenTurn(
                request.program,
                request.helper,
                request.after,
                request.lane,
                one.attempt_id(),
                request.most,
                request.budget,
                one.lane.keep,
                one.lane.deadline,
                self.node.incarnation_id(),
            ),
            self.write_timeout(one),
        )
        self.record_event(one, "turn opened", f"turn {one.granted.number}, pair {group_id}")
        return True

    def answer_from_record(self, one: call.Call, state: sessions_messages.Operation) -> None:
        """Answer a repeated request from the record of its operation key; it never runs again.

        The number of pieces is that of this response, which contains the whole text as one piece.
        """
        if state.outcome == sessions_messages.DONE and state.answer:
            kept = json.loads(state.answer)
            self.record_event(one, "answered from the key's record", state.attempt)
            pieces = 1 if one.is_turn() and kept["text"] else 0
            if pieces:
                one.events.put_nowait(adapter.Piece(0, kept["text"], kept["used"]))
            self.deliver_end(one, call.Ended(kept["turn"], pieces, kept["used"], kept["answer"], None))
            return
        refusals = {
            sessions_messages.DONE: (result.ResultCode.ANSWER_NOT_KEPT, result.Ran.RAN),
            sessions_messages.UNKNOWN: (result.ResultCode.OPERATION_UNKNOWN, result.Ran.UNKNOWN),
        }
        code, ran = refusals.get(state.outcome, (result.ResultCode.OPERATION_IN_PROGRESS, result.Ran.UNKNOWN))
        self.deliver_end(one, call.Ended(0, 0, 0, None, result.RequestError(code, ran, state.attempt)))

    async def selection_stage(self) -> None:
        """Select a worker for each call; park the calls for which all workers are full."""
        while True:
            one = await self.awaiting_worker.take()
            key = (one.lane.name, one.request.tool)
            if self.wait_queue.waits(key) and not one.attempts:
                self.park(one, front=False)
            elif not self.select_worker(one):
                self.park(one, front=one.attempts > 0)

    def select_worker(self, one: call.Call) -> bool:
        """Select a worker or give the call up; False if the call must wait for free capacity."""
        self.counts["draws"] += 1
        if self.is_over(one):
            self.give_up(one, result.RequestError(result.ResultCode.DEADLINE))
            return True
        current = self.node.relay.configuration
        if one.lane.name not in current.lanes:
            self.give_up(one, result.RequestError(result.ResultCode.UNKNOWN_LANE, detail=one.lane.name))
            return True
        allowed = current.allowed_services(one.lane.name, one.request.tool)
        selected = selection.select_worker(
            allowed, one.request.program, self.worker_view.view(), one.tried_workers, self.node.environment.randomness
        )
        self.wake(selected.wake)
        if selected.worker is None:
            unlisted = not self.worker_view.listed and clock.now() - one.started_at < RETRY_SOON
            if not selected.full and not one.tried_workers and not unlisted:
                self.record_event(one, "no worker", str(selected.reasons))
                self.give_up(one, result.RequestError(result.ResultCode.NO_WORKER, detail=", ".join(allowed)))
                return True
            one.tried_workers = frozenset()
            return False
        one.worker, one.service = selected.worker, selected.service
        self.worker_view.demand[selected.worker.name] += 1
        self.record_event(
            one, "drawn", f"{selected.worker.name} for {selected.service}; left out: {dict(selected.reasons)}"
        )
        if self.send_queues[one.is_turn()].offer(one.lane.urgency, one):
            return True
        self.free_worker(one)
        return False

    def park(self, one: call.Call, front: bool) -> None:
        """Park a call until capacity is free, or give it up at once if that cannot happen before its deadline."""
        current = self.node.relay.configuration
        services = current.allowed_services(one.lane.name, one.request.tool) if one.lane.name in current.lanes else ()
        default_interval = self.mean_duration[one.is_turn()] / max(1, self.worker_view.capacity(services))
        retry = self.wait_queue.offer(
            (one.lane.name, one.request.tool), one.lane.urgency, one, clock.now(), default_interval, front
        )
        if retry is not None:
            self.give_up(
                one,
                result.RequestError(result.ResultCode.OVERLOADED, detail="the deadline cannot be met", retry=retry),
            )

    def dispatch_parked(self) -> None:
        """Select workers for parked calls, most urgent rows first, each row until its first call finds no capacity."""
        if not self.node.relay.current():
            return
        for key in self.wait_queue.rows_by_urgency():
            while self.wait_queue.waits(key):
                one = self.wait_queue.head(key)
                if not self.select_worker(one):
                    break
                self.wait_queue.pop(key, clock.now(), served=one.worker is not None)

    async def dispatch_stage(self) -> None:
        """Dispatch parked calls periodically, as other edges free capacity too; refuse calls that are now too late."""
        while True:
            await clock.sleep(DISPATCH_INTERVAL)
            self.dispatch_parked()
            for one, retry in self.wait_queue.too_late(clock.now()):
                self.give_up(
                    one,
                    result.RequestError(
                        result.ResultCode.DEADLINE if self.is_over(one) else result.ResultCode.OVERLOADED,
                        detail="the deadline cannot be met",
                        retry=retry,
                    ),
                )

    def wake(self, names: tuple[str, ...]) -> None:
        """Ask the holder of the sleep role to wake workers; repeated once a second while they are needed."""
        now = clock.now()
        for name in names:
            if self.next_wake.get(name, clock.ZERO) <= now:
                self.next_wake[name] = now + RETRY_SOON
                self.notify_role_holder("quiet", residency_messages.Wanted(name))

    def free_worker(self, one: call.Call) -> None:
        """Free the capacity of a call's worker without dispatching parked calls to it.

        What prevented this call may prevent the next one too, so dispatching at once could loop without end. Parked
        calls are dispatched at the next interval.
        """
        if one.worker is not None:
            self.worker_view.demand[one.worker.name] -= 1
            one.worker = None

    def release(self, one: call.Call) -> None:
        """Free the capacity of a call's worker and dispatch parked calls at once."""
        if one.worker is not None:
            self.free_worker(one)
            self.dispatch_parked()

    def sender(self, turns: bool):
        """Return the work of one sender."""

        async def work() -> None:
            while True:
                one = await self.send_queues[turns].take()
                try:
                    await self.send_to_worker(one)
                except result.RequestError as refusal:
                    self.give_up(one, refusal)
                except Exception:
                    LOG.exception("unexpected error while sending request {}", one.request.identity)
                    self.give_up(one, result.RequestError(result.ResultCode.INTERNAL, one.ran()))
                finally:
                    self.release(one)

        return work

    def send_obstacle(self, one: call.Call) -> str:
        """Return why a call must not be sent to its worker now, or an empty text."""
        current = self.node.relay
        if not current.current():
            return "no current plan"
        if one.lane.name not in current.configuration.lanes:
            return "the lane is gone"
        if one.service not in current.configuration.allowed_services(one.lane.name, one.request.tool):
            return "the service is not allowed any more"
        return "the worker is leaving" if self.worker_view.is_excluded(one.worker.name) else ""

    async def send_to_worker(self, one: call.Call) -> None:
        """Make one attempt: check again, send once, stream. An attempt that certainly did not run is queued again."""
        if self.is_over(one):
            raise result.RequestError(result.ResultCode.DEADLINE)
        reason = self.send_obstacle(one)
        if reason:
            self.record_event(one, "not sent", reason)
            self.free_worker(one)
            self.park(one, front=True)
            return
        request = one.request
        past = tuple((turn.input, turn.output) for turn in one.granted.turns) if one.granted else ()
        work = adapter.Work(
            one.attempt_id(),
            one.service,
            request.program,
            request.helper,
            one.granted.number if one.granted else 0,
            past,
            request.input,
            request.most,
            one.end - clock.now(),
        )
        worker_name = one.worker.name
        one.sent, one.attempts, one.sent_at = True, one.attempts + 1, clock.now()
        if one.worker.name in self.worker_view.quiet():
            self.wake((one.worker.name,))
        self.record_event(one, "sent on", f"go {one.attempts} to {one.worker.name}")
        self.replicate_trace(one)
        self.counts["goes"] += 1
        try:
            async with clock.limit(one.end - clock.now()):
                await self.stream(one, work)
        except TimeoutError:
            raise result.RequestError(result.ResultCode.DEADLINE, result.Ran.UNKNOWN, worker_name) from None
        except result.RequestError as refusal:
            await self.handle_refusal(one, refusal)

    async def handle_refusal(self, one: call.Call, refusal: result.RequestError) -> None:
        """Queue the call again if its attempt did not run or may be repeated; else raise the refusal."""
        if one.worker is not None and refusal.result in (
            result.ResultCode.UNREACHABLE,
            result.ResultCode.WORKER_LOST,
        ):
            self.worker_view.failed(one.worker.name)
        if refusal.result is result.ResultCode.PUT_BACK and one.worker is not None:
            self.worker_view.put_back(one.worker.name)
        if refusal.ran is result.Ran.NOT_RUN:
            one.sent = False
            self.counts["goes not run"] += 1
            self.record_event(one, "not run", str(refusal))
        elif not self.repeatable(one, refusal):
            raise refusal
        if one.worker is not None:
            one.tried_workers |= {one.worker.name}
        self.release(one)
        if self.is_over(one) or one.attempts >= MAX_ATTEMPTS:
            raise result.RequestError(refusal.result, one.ran(), refusal.detail)
        if refusal.ran is not result.Ran.NOT_RUN:
            await self.repeat(one, refusal)
        if not self.awaiting_worker.offer(one.lane.urgency, one, back=True):
            raise refusal

    def repeatable(self, one: call.Call, refusal: result.RequestError) -> bool:
        """Whether work with an unknown outcome may be repeated.

        The lane must allow it, the caller must not have received any of the output, and there must be no operation
        key, which asks for a single run.
        """
        return (
            one.lane.repeatable
            and not one.request.operation
            and not one.pieces_delivered
            and refusal.result in REPEATABLE_RESULTS
            and not self.is_over(one)
            and one.attempts < MAX_ATTEMPTS
        )

    async def repeat(self, one: call.Call, refusal: result.RequestError) -> None:
        """Prepare another attempt: charge the previous one in full to the program, and open the turn again."""
        one.may_have_run = True
        self.counts["goes repeated"] += 1
        self.record_event(one, "repeated", str(refusal))
        if one.granted is not None:
            await self.close_turn(one, sessions_messages.UNKNOWN, "", 0)
        one.sent, one.granted, one.repetitions = False, None, one.repetitions + 1
        if one.is_turn():
            await self.accept(one)

    async def stream(self, one: call.Call, work: adapter.Work) -> None:
        """Pass pieces on as they arrive; the turn is stored before the caller is told of its end."""
        tap_state, parts = tap.Tap(), []
        async for event in self.adapter.run(one.worker, work):
            if isinstance(event, adapter.Piece):
                if not parts:
                    self.worker_view.first_token(one.worker.name, one.service, one.request.program)
                parts.append(event.text)
                tap_state, intents = tap_state.feed(event.text)
                for intent in intents:
                    self.record_event(one, "intent", ", ".join(intent.models))
                    self.notify_role_holder("keeps", residency_messages.Intended(self.session_name(one), intent.models))
                await one.put(event)
            else:
                await self.complete(one, event, "".join(parts))

    def session_name(self, one: call.Call) -> str:
        """Return the name under which the residency role knows a call's program."""
        return one.request.program or one.request.lane

    def notify_role_holder(self, topic: str, message) -> None:
        """Notify the holder of a singleton role, if its published topic names one."""
        holder = self.worker_view.topic(topic).get("holder")
        if holder:
            self.node.link.notify(holder, message)

    async def complete(self, one: call.Call, end: adapter.End, text: str) -> None:
        """Free the worker, store the turn and the key's answer, then tell the caller the end."""
        request, turn, worker_name = one.request, 0, one.worker.name
        duration = clock.now() - one.sent_at
        self.mean_duration[one.is_turn()] += (duration - self.mean_duration[one.is_turn()]) / SMOOTHING
        self.release(one)
        if one.granted is not None:
            turn = one.granted.number
            try:
                await self.close_turn(one, sessions_messages.DONE, text, end.used)
            except result.RequestError as refusal:
                raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, str(refusal)) from None
        if one.claimed:
            kept = {"turn": turn, "used": end.used, "answer": end.answer, "text": text}
            try:
                await self.close_operation(one, json.dumps(kept).encode())
            except result.RequestError as refusal:
                self.record_event(one, "key not closed", str(refusal))
        past = sum(len(before.input) + len(before.output) for before in one.granted.turns) if one.granted else 0
        characters = past + len(json.dumps(request.input)) + len(text)
        called = residency_messages.Called(
            self.session_name(one), one.service, worker_name, characters // CHARACTERS_PER_TOKEN, duration
        )
        self.notify_role_holder("keeps", called)
        self.notify_role_holder("quiet", called)
        self.deliver_end(one, call.Ended(turn, end.pieces, end.used, end.answer, None))

    def close_turn_command(self, one: call.Call, outcome: str, text: str, used: int) -> sessions_messages.CloseTurn:
        """Return the command that records how the turn ended."""
        request = one.request
        given = request.input if isinstance(request.input, str) else json.dumps(request.input)
        return sessions_messages.CloseTurn(
            request.program, request.helper, one.attempt_id(), outcome, given, text, used
        )

    async def close_turn(self, one: call.Call, outcome: str, text: str, used: int) -> None:
        """Record how the turn ended."""
        group_id = session_groups.group_of(one.request.program, self.node.settings.talk_pairs)
        await self.node.submit(group_id, self.close_turn_command(one, outcome, text, used), CLOSE_TIMEOUT)

    async def close_operation(self, one: call.Call, answer: bytes) -> None:
        """Record that the work of the operation key was done, with its answer."""
        request = one.request
        group_id = session_groups.group_of(request.operation, self.node.settings.talk_pairs)
        await self.node.submit(
            group_id,
            sessions_messages.CloseOperation(request.operation, request.identity, sessions_messages.DONE, answer),
            CLOSE_TIMEOUT,
        )

    def deliver_end(self, one: call.Call, end: call.Ended) -> None:
        """Deliver the final event to the caller and remove the call."""
        one.done = True
        outcome_text = str(end.refusal) if end.refusal else "done"
        self.record_event(one, "answered", outcome_text)
        self.counts["answered" if end.refusal is None else f"refused {end.refusal.result.number}"] += 1
        one.close(end)
        self.replicate_trace(one)
        self.active.pop(one.request.identity, None)

    def replicate_trace(self, one: call.Call) -> None:
        """Copy the request's trace to another edge, as this one may fail."""
        edges = sorted(
            (
                each.address
                for each in self.node.failure_detector.peers.values()
                if each.role == "edge" and each.state == cluster_member.LIVE
            ),
            key=cluster_member.position,
        )
        if self.node.address in edges and len(edges) > 1:
            next_edge = edges[(edges.index(self.node.address) + 1) % len(edges)]
            self.node.link.notify(next_edge, self.traces.held[one.request.identity])

    def give_up(self, one: call.Call, refusal: result.RequestError) -> None:
        """Refuse a call: tell the caller at once; the key and the turn are released or charged afterwards."""
        if one.done:
            return
        ran = one.ran()
        is_outcome_unknown = refusal.ran is result.Ran.UNKNOWN
        self.deliver_end(
            one,
            call.Ended(0, 0, 0, None, result.RequestError(refusal.result, ran, refusal.detail, refusal.retry)),
        )
        outcome, request = (sessions_messages.UNKNOWN if one.sent else sessions_messages.NOT_RUN), one.request
        if one.granted is not None or (one.is_turn() and is_outcome_unknown):
            self.closings.offer(
                session_groups.group_of(request.program, self.node.settings.talk_pairs),
                closing.Closing(request.identity, self.close_turn_command(one, outcome, "", 0)),
            )
        if one.claimed or (request.operation and is_outcome_unknown):
            self.closings.offer(
                session_groups.group_of(request.operation, self.node.settings.talk_pairs),
                closing.Closing(
                    request.identity,
                    sessions_messages.CloseOperation(request.operation, request.identity, outcome, b""),
                ),
            )

    async def drain(self) -> None:
        """Wait for calls in flight within the drain grace.

        Calls not sent by ``UNSENT_GRACE`` are refused as not run; streams still running at the end of the grace get an
        error as their last line.
        """
        started_at = clock.now()
        while (self.active or self.closings.open) and clock.now() < started_at + DRAIN_GRACE:
            await clock.sleep(DISPATCH_INTERVAL / 2)
            for one in list(self.active.values()):
                if clock.now() > started_at + (DRAIN_GRACE - RETRY_SOON if one.sent else UNSENT_GRACE):
                    one.abandoned = True
                    self.give_up(one, result.RequestError(result.ResultCode.LEAVING))

    def samples(self) -> list[sample.Sample]:
        """Return the metrics of the edge."""
        found = [
            sample.sample("aspencroft_parked", self.wait_queue.total()),
            sample.sample("aspencroft_active", len(self.active)),
            sample.sample("aspencroft_asked_total", self.counts["asked"]),
            sample.sample("aspencroft_answered_total", self.counts["answered"]),
            sample.sample("aspencroft_goes_total", self.counts["goes"]),
            sample.sample("aspencroft_workers_listed", len(self.worker_view.workers)),
            sample.sample("aspencroft_workers_quiet", len(self.worker_view.quiet())),
        ]
        found.extend(
            sample.sample("aspencroft_refused_total", count, result=name.split()[1])
            for name, count in sorted(self.counts.items())
            if name.startswith("refused ")
        )
        found.extend(
            sample.sample("aspencroft_demand", count, worker=name)
            for name, count in sorted(self.worker_view.demand.items())
        )
        return found

    def shown(self) -> dict:
        """Return the state of all stages for the operator."""
        return {
            "counts": dict(self.counts),
            "active": len(self.active),
            "parked": self.wait_queue.total(),
            "accepting": {
                f"pair {group_id} {'turns' if turns else 'signals'}": row.ahead(9)
                for (group_id, turns), row in self.accept_queues.items()
            },
            "closings": dict(self.closings.counts),
            "workers": [one.name for one in self.worker_view.workers],
            "demand": {name: count for name, count in self.worker_view.demand.items() if count},
            "seconds a turn": self.mean_duration[True].total_seconds(),
            "seconds a signal": self.mean_duration[False].total_seconds(),
        }


def new_identity(randomness: random.Random) -> str:
    """Return a new request identity."""
    return format(randomness.getrandbits(128), "032x")
