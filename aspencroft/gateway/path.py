"""The way of a request: accept, draw, send on, stream; stages joined by bounded queues."""

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
BOUND = 64
ACCEPTORS, LEAST_ACCEPTORS = 192, 4
SENDERS = {True: 160, False: 64}
LIST = clock.seconds(0.5)
LOOK = clock.seconds(0.1)
CLOSE = clock.seconds(5)
SOON = clock.seconds(1)
SHED = clock.seconds(5)
GRACE, UNSENT = clock.seconds(7.5), clock.seconds(4)
MOST_GOES = 16
TOKEN_LETTERS = 4
SMOOTH = 16
REPEATED = (result.ResultCode.WORKER_LOST, result.ResultCode.WORKER_BROKE, result.ResultCode.WORKER_REFUSED)


class Path:
    """All stages of one data-plane node.

    Accepting waits for session groups, so each pair has its own queues and tasks; there and among the senders
    signals have places of their own. Thus a group without a primary, or a flood of long streams, holds up
    nothing but itself.
    """

    def __init__(self, own: node.Node, back: adapter.Adapter):
        self.node = own
        self.adapter = back
        self.traces = trace.Traces(own.address)
        group_ids = range(1, own.settings.group_count)
        self.accepting = {
            (group_id, turns): priority_queue.Lineup(BOUND) for group_id in group_ids for turns in (True, False)
        }
        self.accept_mean = {key: clock.seconds(0.02) for key in self.accepting}
        self.acceptors = max(LEAST_ACCEPTORS, ACCEPTORS // len(self.accepting))
        self.drawing = priority_queue.Lineup(BOUND * 8)
        self.sending = {turns: priority_queue.Lineup(count) for turns, count in SENDERS.items()}
        self.parked = wait_queue.Parked()
        self.closings = closing.Closings(own)
        self.sight = worker_view.Sight(own)
        self.active: dict[str, call.Call] = {}
        self.mean = {True: clock.seconds(0.2), False: clock.seconds(0.05)}
        self.woken: dict[str, datetime.timedelta] = {}
        self.counts: collections.Counter = collections.Counter()
        own.sample_sources.append(self.samples)

    # -- taking in -------------------------------------------------------------------------------

    def check_open(self) -> None:
        """Refuse, not run, while this node stops or holds no current plan."""
        if self.node.stopping.is_set():
            raise result.RequestError(result.ResultCode.LEAVING, retry=SOON)
        if not self.node.relay.current():
            raise result.RequestError(result.ResultCode.NO_PLAN, retry=SOON)

    def take_in(self, request: call.Request) -> call.Call:
        """Check a request and queue it, or refuse it at once, not run."""
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
        refusal = self.pass_on(one)
        if refusal is not None:
            raise refusal
        self.active[request.identity] = one
        self.tell(one, "taken in", f"plan {self.node.relay.revision.text()}")
        return one

    def pass_on(self, one: call.Call) -> result.RequestError | None:
        """Queue a call for its next stage: its key's pair, its program's pair, or the drawing."""
        if one.request.operation and not one.claimed:
            group_id = session_groups.group_of(one.request.operation, self.node.settings.talk_pairs)
        elif one.turns() and one.granted is None:
            group_id = session_groups.group_of(one.request.program, self.node.settings.talk_pairs)
        else:
            if self.drawing.offer(one.lane.urgency, one):
                return None
            return result.RequestError(result.ResultCode.OVERLOADED, retry=SOON)
        key = (group_id, one.turns())
        expected = self.accept_mean[key] * self.accepting[key].ahead(one.lane.urgency) / self.acceptors
        if clock.now() + expected > one.end:
            return result.RequestError(
                result.ResultCode.OVERLOADED, detail="the deadline cannot be met", retry=expected
            )
        if self.accepting[key].offer(one.lane.urgency, one):
            return None
        return result.RequestError(result.ResultCode.OVERLOADED, retry=max(SOON, expected))

    def tell(self, one: call.Call, what: str, detail: str = "") -> None:
        """Add a line to the request's trace."""
        self.traces.add(one.request.identity, one.lane.name, clock.now() - one.began, what, detail)

    # -- stages ----------------------------------------------------------------------------------

    async def run(self) -> None:
        """All stages and the reading of the workers' list."""
        works = [
            ("list", self.read_list),
            ("draw", self.draw_stage),
            ("look", self.look_stage),
            *self.closings.works(),
        ]
        works.extend((f"accept {key[0]}", self.acceptor(key)) for key in self.accepting for _ in range(self.acceptors))
        works.extend(("send on", self.sender(turns)) for turns, count in SENDERS.items() for _ in range(count))
        async with supervision.Group() as group:
            for name, work in works:
                group.create_task(supervision.stand(name, work, self.node.standing))

    async def read_list(self) -> None:
        """Read the platform's list of workers again and again; the last one read stays in use."""
        while self.node.settings.workers:
            try:
                self.sight.take_list(await self.adapter.workers(self.node.settings.workers))
                self.look()
            except result.RequestError as refusal:
                self.counts["lists missed"] += 1
                LOG.info("{}", refusal)
            await clock.sleep(LIST)

    def acceptor(self, key: tuple[int, bool]):
        """The work of one acceptor of a pair."""

        async def work() -> None:
            while True:
                one = await self.accepting[key].take()
                began = clock.now()
                try:
                    if self.over(one):
                        raise result.RequestError(result.ResultCode.DEADLINE)
                    if await self.accept(one):
                        refusal = self.pass_on(one)
                        if refusal is not None:
                            raise refusal
                except result.RequestError as refusal:
                    self.finish(one, refusal)
                except Exception:
                    LOG.exception("accepting {}", one.request.identity)
                    self.finish(one, result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN))
                self.accept_mean[key] += (clock.now() - began - self.accept_mean[key]) / SMOOTH

        return work

    def over(self, one: call.Call) -> bool:
        """Whether nobody waits for the call any more, or its deadline passed."""
        return one.abandoned or clock.now() >= one.end

    def within(self, one: call.Call) -> datetime.timedelta:
        """The time that a write may take for this call."""
        return min(CLOSE, max(one.end - clock.now(), clock.seconds(0.05)))

    async def accept(self, one: call.Call) -> bool:
        """Claim the key, or else open the turn; False when the key's record was handed out instead."""
        asked = one.request
        if asked.operation and not one.claimed:
            group_id = session_groups.group_of(asked.operation, self.node.settings.talk_pairs)
            state = await self.node.submit(
                group_id,
                sessions_messages.ClaimOperation(
                    asked.operation,
                    asked.lane,
                    asked.identity,
                    asked.digest(),
                    one.lane.deadline,
                    one.lane.keep,
                ),
                self.within(one),
            )
            if not state.is_holder:
                self.answer_known(one, state)
                return False
            one.claimed = True
            self.tell(one, "key claimed", f"pair {group_id}")
            return True
        group_id = session_groups.group_of(asked.program, self.node.settings.talk_pairs)
        one.granted = await self.node.submit(
            group_id,
            sessions_messages.OpenTurn(
                asked.program,
                asked.helper,
                asked.after,
                asked.lane,
                one.go(),
                asked.most,
                asked.budget,
                one.lane.keep,
                one.lane.deadline,
                self.node.incarnation_id(),
            ),
            self.within(one),
        )
        self.tell(one, "turn opened", f"turn {one.granted.number}, pair {group_id}")
        return True

    def answer_known(self, one: call.Call, state: sessions_messages.Operation) -> None:
        """A second request with a key gets what is known of the first and never runs.

        The count of pieces is that of this response, which hands out the whole text as one.
        """
        if state.outcome == sessions_messages.DONE and state.answer:
            kept = json.loads(state.answer)
            self.tell(one, "answered from the key's record", state.attempt)
            pieces = 1 if one.turns() and kept["text"] else 0
            if pieces:
                one.out.put_nowait(adapter.Piece(0, kept["text"], kept["used"]))
            self.last(one, call.Ended(kept["turn"], pieces, kept["used"], kept["answer"], None))
            return
        refusals = {
            sessions_messages.DONE: (result.ResultCode.ANSWER_NOT_KEPT, result.Ran.RAN),
            sessions_messages.UNKNOWN: (result.ResultCode.OPERATION_UNKNOWN, result.Ran.UNKNOWN),
        }
        code, ran = refusals.get(state.outcome, (result.ResultCode.OPERATION_IN_PROGRESS, result.Ran.UNKNOWN))
        self.last(one, call.Ended(0, 0, 0, None, result.RequestError(code, ran, state.attempt)))

    async def draw_stage(self) -> None:
        """Draw a worker for each call; those that find all full are parked."""
        while True:
            one = await self.drawing.take()
            key = (one.lane.name, one.request.tool)
            if self.parked.waits(key) and not one.goes:
                self.park(one, front=False)
            elif not self.draw_one(one):
                self.park(one, front=one.goes > 0)

    def draw_one(self, one: call.Call) -> bool:
        """Draw a worker, or give the call up; False when it must wait for a place."""
        self.counts["draws"] += 1
        if self.over(one):
            self.finish(one, result.RequestError(result.ResultCode.DEADLINE))
            return True
        current = self.node.relay.configuration
        if one.lane.name not in current.lanes:
            self.finish(one, result.RequestError(result.ResultCode.UNKNOWN_LANE, detail=one.lane.name))
            return True
        allowed = current.allowed(one.lane.name, one.request.tool)
        drawn = selection.draw(
            allowed, one.request.program, self.sight.view(), one.tried, self.node.environment.randomness
        )
        self.wake(drawn.wake)
        if drawn.worker is None:
            unlisted = not self.sight.listed and clock.now() - one.began < SOON
            if not drawn.full and not one.tried and not unlisted:
                self.tell(one, "no worker", str(drawn.reasons))
                self.finish(one, result.RequestError(result.ResultCode.NO_WORKER, detail=", ".join(allowed)))
                return True
            one.tried = frozenset()
            return False
        one.worker, one.service = drawn.worker, drawn.service
        self.sight.demand[drawn.worker.name] += 1
        self.tell(one, "drawn", f"{drawn.worker.name} for {drawn.service}; left out: {dict(drawn.reasons)}")
        if self.sending[one.turns()].offer(one.lane.urgency, one):
            return True
        self.undraw(one)
        return False

    def park(self, one: call.Call, front: bool) -> None:
        """Let a call wait for a place, or give it up at once when its turn cannot come in time."""
        current = self.node.relay.configuration
        services = current.allowed(one.lane.name, one.request.tool) if one.lane.name in current.lanes else ()
        guess = self.mean[one.turns()] / max(1, self.sight.places(services))
        retry = self.parked.offer((one.lane.name, one.request.tool), one.lane.urgency, one, clock.now(), guess, front)
        if retry is not None:
            self.finish(
                one,
                result.RequestError(result.ResultCode.OVERLOADED, detail="the deadline cannot be met", retry=retry),
            )

    def look(self) -> None:
        """Draw for those that wait, the most urgent rows first, each until its first call finds no place."""
        if not self.node.relay.current():
            return
        for key in self.parked.order():
            while self.parked.waits(key):
                one = self.parked.head(key)
                if not self.draw_one(one):
                    break
                self.parked.pop(key, clock.now(), served=one.worker is not None)

    async def look_stage(self) -> None:
        """Look at the rows again and again, for places that others freed; refuse what comes too late now."""
        while True:
            await clock.sleep(LOOK)
            self.look()
            for one, retry in self.parked.too_late(clock.now()):
                self.finish(
                    one,
                    result.RequestError(
                        result.ResultCode.DEADLINE if self.over(one) else result.ResultCode.OVERLOADED,
                        detail="the deadline cannot be met",
                        retry=retry,
                    ),
                )

    def wake(self, names: tuple[str, ...]) -> None:
        """Have resting workers woken; said again once a second while they are needed."""
        now = clock.now()
        for name in names:
            if self.woken.get(name, clock.ZERO) <= now:
                self.woken[name] = now + SOON
                self.tell_duty("quiet", residency_messages.Wanted(name))

    def undraw(self, one: call.Call) -> None:
        """Give a drawn worker's place back without looking who else could use it.

        What stood in the way of this call may stand in the way of the next one: to look at once would go
        round for ever. The next look comes by the clock.
        """
        if one.worker is not None:
            self.sight.demand[one.worker.name] -= 1
            one.worker = None

    def release(self, one: call.Call) -> None:
        """Give a drawn worker's place back; whoever waits for it is drawn at once."""
        if one.worker is not None:
            self.undraw(one)
            self.look()

    def sender(self, turns: bool):
        """The work of one sender."""

        async def work() -> None:
            while True:
                one = await self.sending[turns].take()
                try:
                    await self.send_on(one)
                except result.RequestError as refusal:
                    self.finish(one, refusal)
                except Exception:
                    LOG.exception("sending on {}", one.request.identity)
                    self.finish(one, result.RequestError(result.ResultCode.INTERNAL, one.ran()))
                finally:
                    self.release(one)

        return work

    def sendable(self, one: call.Call) -> str:
        """Why a drawn call must not be sent at this very moment, or nothing."""
        current = self.node.relay
        if not current.current():
            return "no current plan"
        if one.lane.name not in current.configuration.lanes:
            return "the lane is gone"
        if one.service not in current.configuration.allowed(one.lane.name, one.request.tool):
            return "the service is not allowed any more"
        return "the worker is leaving" if self.sight.barred(one.worker.name) else ""

    async def send_on(self, one: call.Call) -> None:
        """One go: checked again, sent once, streamed; a go that surely did not run is drawn anew."""
        if self.over(one):
            raise result.RequestError(result.ResultCode.DEADLINE)
        why = self.sendable(one)
        if why:
            self.tell(one, "not sent", why)
            self.undraw(one)
            self.park(one, front=True)
            return
        asked = one.request
        past = tuple((turn.input, turn.output) for turn in one.granted.turns) if one.granted else ()
        work = adapter.Work(
            one.go(),
            one.service,
            asked.program,
            asked.helper,
            one.granted.number if one.granted else 0,
            past,
            asked.input,
            asked.most,
            one.end - clock.now(),
        )
        drawn = one.worker.name
        one.sent, one.goes, one.sent_at = True, one.goes + 1, clock.now()
        if one.worker.name in self.sight.quiet():
            self.wake((one.worker.name,))
        self.tell(one, "sent on", f"go {one.goes} to {one.worker.name}")
        self.share_story(one)
        self.counts["goes"] += 1
        try:
            async with clock.limit(one.end - clock.now()):
                await self.stream(one, work)
        except TimeoutError:
            raise result.RequestError(result.ResultCode.DEADLINE, result.Ran.UNKNOWN, drawn) from None
        except result.RequestError as refusal:
            await self.after_refusal(one, refusal)

    async def after_refusal(self, one: call.Call, refusal: result.RequestError) -> None:
        """Draw anew after a go that did not run, or whose work may be repeated; else the refusal stands."""
        if one.worker is not None and refusal.result in (
            result.ResultCode.UNREACHABLE,
            result.ResultCode.WORKER_LOST,
        ):
            self.sight.failed(one.worker.name)
        if refusal.result is result.ResultCode.PUT_BACK and one.worker is not None:
            self.sight.put_back(one.worker.name)
        if refusal.ran is result.Ran.NOT_RUN:
            one.sent = False
            self.counts["goes not run"] += 1
            self.tell(one, "not run", str(refusal))
        elif not self.repeatable(one, refusal):
            raise refusal
        if one.worker is not None:
            one.tried |= {one.worker.name}
        self.release(one)
        if self.over(one) or one.goes >= MOST_GOES:
            raise result.RequestError(refusal.result, one.ran(), refusal.detail)
        if refusal.ran is not result.Ran.NOT_RUN:
            await self.repeat(one, refusal)
        if not self.drawing.offer(one.lane.urgency, one, back=True):
            raise refusal

    def repeatable(self, one: call.Call, refusal: result.RequestError) -> bool:
        """Whether work whose outcome is unknown may be done again: the lane says so, the caller got nothing
        of it yet, and no operation key asks for one run.
        """
        return (
            one.lane.repeatable
            and not one.request.operation
            and not one.handed
            and refusal.result in REPEATED
            and not self.over(one)
            and one.goes < MOST_GOES
        )

    async def repeat(self, one: call.Call, refusal: result.RequestError) -> None:
        """Before another go: the one before is charged in full to the program, and the turn opened anew."""
        one.unsure = True
        self.counts["goes repeated"] += 1
        self.tell(one, "repeated", str(refusal))
        if one.granted is not None:
            await self.close_turn(one, sessions_messages.UNKNOWN, "", 0)
        one.sent, one.granted, one.repeats = False, None, one.repeats + 1
        if one.turns():
            await self.accept(one)

    async def stream(self, one: call.Call, work: adapter.Work) -> None:
        """Hand pieces on as they come; the turn is kept before the caller hears of its end."""
        listening, parts = tap.Tap(), []
        async for event in self.adapter.run(one.worker, work):
            if isinstance(event, adapter.Piece):
                if not parts:
                    self.sight.first_token(one.worker.name, one.service, one.request.program)
                parts.append(event.text)
                listening, intents = listening.feed(event.text)
                for intent in intents:
                    self.tell(one, "intent", ", ".join(intent.models))
                    self.tell_duty("keeps", residency_messages.Intended(self.session(one), intent.models))
                await one.put(event)
            else:
                await self.complete(one, event, "".join(parts))

    def session(self, one: call.Call) -> str:
        """The name under which a call's program is known to the residency duty."""
        return one.request.program or one.request.lane

    def tell_duty(self, topic: str, message) -> None:
        """Tell the holder of a duty, as far as its news say who that is."""
        holder = self.sight.topic(topic).get("holder")
        if holder:
            self.node.link.notify(holder, message)

    async def complete(self, one: call.Call, end: adapter.End, text: str) -> None:
        """Keep the turn and the key's answer, then tell the caller the end; the worker's place is free before."""
        asked, turn, used_by = one.request, 0, one.worker.name
        took = clock.now() - one.sent_at
        self.mean[one.turns()] += (took - self.mean[one.turns()]) / SMOOTH
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
                self.tell(one, "key not closed", str(refusal))
        past = sum(len(before.input) + len(before.output) for before in one.granted.turns) if one.granted else 0
        letters = past + len(json.dumps(asked.input)) + len(text)
        called = residency_messages.Called(self.session(one), one.service, used_by, letters // TOKEN_LETTERS, took)
        self.tell_duty("keeps", called)
        self.tell_duty("quiet", called)
        self.last(one, call.Ended(turn, end.pieces, end.used, end.answer, None))

    def closed_turn(self, one: call.Call, outcome: str, text: str, used: int) -> sessions_messages.CloseTurn:
        """The command that tells how the turn ended."""
        asked = one.request
        given = asked.input if isinstance(asked.input, str) else json.dumps(asked.input)
        return sessions_messages.CloseTurn(asked.program, asked.helper, one.go(), outcome, given, text, used)

    async def close_turn(self, one: call.Call, outcome: str, text: str, used: int) -> None:
        """Write how the turn ended."""
        group_id = session_groups.group_of(one.request.program, self.node.settings.talk_pairs)
        await self.node.submit(group_id, self.closed_turn(one, outcome, text, used), CLOSE)

    async def close_operation(self, one: call.Call, answer: bytes) -> None:
        """Write that the work under the key was done, and its answer."""
        asked = one.request
        group_id = session_groups.group_of(asked.operation, self.node.settings.talk_pairs)
        await self.node.submit(
            group_id,
            sessions_messages.CloseOperation(asked.operation, asked.identity, sessions_messages.DONE, answer),
            CLOSE,
        )

    def last(self, one: call.Call, end: call.Ended) -> None:
        """Hand out the final event and forget the call."""
        one.done = True
        word_of_end = str(end.refusal) if end.refusal else "done"
        self.tell(one, "answered", word_of_end)
        self.counts["answered" if end.refusal is None else f"refused {end.refusal.result.number}"] += 1
        one.close(end)
        self.share_story(one)
        self.active.pop(one.request.identity, None)

    def share_story(self, one: call.Call) -> None:
        """Give the request's trace to another edge to keep, as this one may die."""
        edges = sorted(
            (
                each.address
                for each in self.node.failure_detector.peers.values()
                if each.role == "edge" and each.state == cluster_member.LIVE
            ),
            key=cluster_member.position,
        )
        if self.node.address in edges and len(edges) > 1:
            mate = edges[(edges.index(self.node.address) + 1) % len(edges)]
            self.node.link.notify(mate, self.traces.held[one.request.identity])

    def finish(self, one: call.Call, refusal: result.RequestError) -> None:
        """Give a call up: the caller hears it at once; key and turn are released or charged behind it."""
        if one.done:
            return
        ran = one.ran()
        unclear = refusal.ran is result.Ran.UNKNOWN
        self.last(
            one,
            call.Ended(0, 0, 0, None, result.RequestError(refusal.result, ran, refusal.detail, refusal.retry)),
        )
        outcome, asked = (sessions_messages.UNKNOWN if one.sent else sessions_messages.NOT_RUN), one.request
        if one.granted is not None or (one.turns() and unclear):
            self.closings.offer(
                session_groups.group_of(asked.program, self.node.settings.talk_pairs),
                closing.Closing(asked.identity, self.closed_turn(one, outcome, "", 0)),
            )
        if one.claimed or (asked.operation and unclear):
            self.closings.offer(
                session_groups.group_of(asked.operation, self.node.settings.talk_pairs),
                closing.Closing(
                    asked.identity,
                    sessions_messages.CloseOperation(asked.operation, asked.identity, outcome, b""),
                ),
            )

    async def drain(self) -> None:
        """Let what is under way end, within the grace; what was not sent by then is refused as not run, and
        what still streams at the end is told so in its last line.
        """
        began = clock.now()
        while (self.active or self.closings.open) and clock.now() < began + GRACE:
            await clock.sleep(LOOK / 2)
            for one in list(self.active.values()):
                if clock.now() > began + (GRACE - SOON if one.sent else UNSENT):
                    one.abandoned = True
                    self.finish(one, result.RequestError(result.ResultCode.LEAVING))

    def samples(self) -> list[sample.Sample]:
        """What an edge says of itself in numbers."""
        found = [
            sample.sample("aspencroft_parked", self.parked.total()),
            sample.sample("aspencroft_active", len(self.active)),
            sample.sample("aspencroft_asked_total", self.counts["asked"]),
            sample.sample("aspencroft_answered_total", self.counts["answered"]),
            sample.sample("aspencroft_goes_total", self.counts["goes"]),
            sample.sample("aspencroft_workers_listed", len(self.sight.workers)),
            sample.sample("aspencroft_workers_quiet", len(self.sight.quiet())),
        ]
        found.extend(
            sample.sample("aspencroft_refused_total", count, result=name.split()[1])
            for name, count in sorted(self.counts.items())
            if name.startswith("refused ")
        )
        found.extend(
            sample.sample("aspencroft_demand", count, worker=name) for name, count in sorted(self.sight.demand.items())
        )
        return found

    def shown(self) -> dict:
        """What an operator should see of the path."""
        return {
            "counts": dict(self.counts),
            "active": len(self.active),
            "parked": self.parked.total(),
            "accepting": {
                f"pair {group_id} {'turns' if turns else 'signals'}": row.ahead(9)
                for (group_id, turns), row in self.accepting.items()
            },
            "closings": dict(self.closings.counts),
            "workers": [one.name for one in self.sight.workers],
            "demand": {name: count for name, count in self.sight.demand.items() if count},
            "seconds a turn": self.mean[True].total_seconds(),
            "seconds a signal": self.mean[False].total_seconds(),
        }


def new_identity(randomness: random.Random) -> str:
    """A request's identity."""
    return format(randomness.getrandbits(128), "032x")
