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
from aspencroft.gateway import path
from aspencroft.node import node
from aspencroft.proxy import call, chains, choose, endings, events, instance, instances, judgement, pace, working_set
from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages
from aspencroft.tracing import sample, trace
from aspencroft.workers import pool

LOG = logbook.Logger("proxy.forwarder")
SOON = clock.seconds(0.3)
LATER = clock.seconds(1)
OVERTIME = clock.seconds(0.2)
QUARTER = 4
PART = 0.4
WINDOW = clock.seconds(60)
SETTLE = clock.seconds(0.05)
LOOK = clock.seconds(0.02)
UNREADY = clock.seconds(2.5)
GRACE = clock.seconds(7.2)
MOST_CALLS = 1024
MOST_CHOICES = 12
MOST_CONNECTIONS = 64
FULL = 1.25
CONFIRMED = clock.seconds(2)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
NOT_HERE = (
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
class Passage:
    """One call on its way: its route, its time, what was begun for it and whether a worker was sent it."""

    call: call.Call
    route: http_route.HttpRoute
    end: datetime.timedelta
    body: bytes
    program: str = ""
    begun: bool = False
    claimed: bool = False
    last_worker: str = ""
    attempts: Attempts = dataclasses.field(default_factory=Attempts)
    tried: frozenset[str] = frozenset()
    at: str = ""
    hedged: bool = False

    def turn(self) -> bool:
        """Whether the call is a turn that the talk groups count or keep."""
        return self.route.kind == http_route.STREAM and bool(self.call.budget or self.route.retained)

    def repeatable(self) -> bool:
        """Whether the work may be done more than once."""
        return self.route.kind == http_route.SAFE

    def exhausted(self) -> bool:
        """Whether the call was sent to as many workers as its route allows."""
        return self.attempts.sent >= max(1, self.route.attempts)


class Forwarder:
    """The stages of one edge for opaque calls; each call is walked through them by the task of its connection."""

    def __init__(self, own: node.Node, dialect: Dialect, known: instances.Instances, connections: pool.Pool):
        self.node = own
        self.dialect = dialect
        self.instances = known
        self.pool = connections
        self.traces = trace.Traces(own.address)
        self.endings = endings.Endings(own)
        self.chains = chains.Chains()
        self.working_sets = working_set.WorkingSets()
        self.freed = asyncio.Event()
        self.active = 0
        self.waiting = 0
        self.draining = False
        self.closed = False
        self.counts: collections.Counter = collections.Counter()
        own.sample_sources.append(self.samples)

    async def run(self) -> None:
        """The standing work beside the calls: the ends of calls that nobody waits for."""
        await self.endings.run()

    # -- admit -----------------------------------------------------------------------------------

    def ready(self) -> bool:
        """Whether this edge should get new connections."""
        return not self.node.stopping.is_set() and self.node.relay.current() and bool(self.instances.listed)

    def admit(self, one: call.Call) -> Passage:
        """The call's route and time; refused, not run, when there is none or this edge cannot serve it."""
        self.counts["asked"] += 1
        if self.closed:
            raise result.RequestError(result.ResultCode.LEAVING, retry=SOON)
        if not self.node.relay.current():
            raise result.RequestError(result.ResultCode.NO_PLAN, retry=SOON)
        if self.active >= MOST_CALLS:
            raise result.RequestError(result.ResultCode.OVERLOADED, retry=LATER)
        route = self.node.relay.configuration.route_table.match(one.host, one.path())
        if route is None:
            if not self.knows_all_routes():
                raise result.RequestError(result.ResultCode.NO_PLAN, detail="no route here, but one may be", retry=SOON)
            raise result.RequestError(result.ResultCode.UNKNOWN_ROUTE, detail=one.path()[:200])
        end = min(one.end(), one.arrived + route.timeout)
        if end <= clock.now():
            raise result.RequestError(result.ResultCode.DEADLINE, retry=SOON)
        return Passage(one, route, end, one.body, program=one.program or one.session or one.attempt)

    def knows_all_routes(self) -> bool:
        """Whether a route that this edge does not know surely is not there.

        An edge without any configuration cannot tell, nor one whose configuration was not confirmed lately: a newer
        one may have been acknowledged meanwhile.
        """
        relay = self.node.relay
        configured = bool(relay.configuration.version or relay.configuration.http_routes)
        return configured and (relay.root or clock.now() <= relay.currency_end - relay.currency + CONFIRMED)

    async def wait_for_plan(self, one: call.Call) -> None:
        """Hold a call for a part of its time while this edge, just started, learns the plan and the workers.

        The time is that of the route, as far as an older plan tells it.
        """
        route = self.node.relay.configuration.route_table.match(one.host, one.path())
        limit = clock.now() + (one.within if route is None else min(one.within, route.timeout)) * PART
        while not (self.node.relay.current() and self.instances.listed) and clock.now() < limit and not self.closed:
            if self.waiting >= MOST_CALLS:
                return
            self.waiting += 1
            try:
                await clock.sleep(LOOK)
            finally:
                self.waiting -= 1

    async def take(self, one: call.Call) -> call.Answer:
        """Serve a call: an Answer, or a Refusal that says whether anything ran."""
        await self.wait_for_plan(one)
        passage = self.admit(one)
        self.active += 1
        handed = False
        try:
            if passage.turn():
                await self.begin_turn(passage)
            elif passage.route.kind == http_route.KEYED and one.key:
                known = await self.claim_key(passage)
                if known is not None:
                    return known
            answer = await self.forward(passage)
            handed = answer.parts is not None
            return answer
        except result.RequestError as refusal:
            self.tell(passage, "refused", str(refusal))
            self.counts[f"refused {refusal.result.number}"] += 1
            self.give_up(passage)
            if passage.attempts.possibly_run and refusal.ran is result.Ran.NOT_RUN:
                raise result.RequestError(refusal.result, result.Ran.UNKNOWN, refusal.detail, refusal.retry) from None
            raise
        except BaseException:
            self.give_up(passage)
            raise
        finally:
            if not handed:
                self.active -= 1

    def tell(self, passage: Passage, what: str, detail: str = "") -> None:
        """Add a line to the call's story."""
        one = passage.call
        self.traces.add(one.attempt, passage.route.name, clock.now() - one.arrived, what, detail)

    # -- begin -----------------------------------------------------------------------------------

    def patience(self, passage: Passage) -> datetime.timedelta:
        """How long a call waits for the group that it needs: its primary may be changing, which takes a second or so.

        A call that waits is tried all the time and goes on the moment the group serves; it leaves the caller time to
        come again.
        """
        left = passage.end - clock.now()
        return max(min(max(passage.route.aim, left * PART), left), clock.ZERO)

    async def ask_group(self, passage: Passage, group_key: str, command):
        """Have a talk group decide a command; what no group can decide now is refused, not run."""
        try:
            return await self.node.submit(self.group_of(group_key), command, self.patience(passage))
        except result.RequestError as refusal:
            if refusal.result in NOT_HERE:
                raise result.RequestError(refusal.result, result.Ran.NOT_RUN, refusal.detail, SOON) from None
            raise

    def group_of(self, key: str) -> int:
        """The talk group of a program or operation key."""
        return path.pair_of(key, self.node.settings.talk_pairs)

    async def begin_turn(self, passage: Passage) -> None:
        """Reserve the turn's output and learn its history; the call's body becomes the chain and the new input."""
        one, route = passage.call, passage.route
        previous = one.previous if route.retained else ""
        have = previous if previous and self.chains.holds(previous) else ""
        keep = max(route.keep, WINDOW, one.program_within or clock.ZERO)
        command = entry.BeginTurn(
            passage.program,
            one.session,
            one.attempt,
            previous,
            one.reserve,
            one.budget,
            route.retained,
            keep,
            passage.end - clock.now(),
            self.node.incarnation_id(),
            have,
            (),
        )
        passage.begun = True
        try:
            reply = await self.ask_group(passage, passage.program, command)
        except result.RequestError as refusal:
            if refusal.result is not result.ResultCode.UNKNOWN_TURN:
                if refusal.result is result.ResultCode.OUT_OF_BUDGET:
                    passage.begun = False
                raise
            chain = await self.find_elsewhere(passage, previous)
            reply = await self.ask_group(passage, passage.program, dataclasses.replace(command, base=chain, have=""))
        passage.last_worker = reply.worker
        if previous:
            self.chains.keep(reply.chain)
            whole = self.chains.bytes_of(previous)
            if whole is None:
                raise result.RequestError(result.ResultCode.INTERNAL, detail="a chain came with a gap")
            passage.body = whole + one.body
        self.tell(passage, "turn begun", f"behind {previous or 'nothing'}")

    async def find_elsewhere(self, passage: Passage, turn: str) -> tuple[entry.Turn, ...]:
        """A chain that another program's group keeps; unknown only when every group says so."""
        mine = self.group_of(passage.program)
        found: list[entry.TurnFound] = []
        missed: list[int] = []

        async def ask(group: int) -> None:
            try:
                found.append(await self.node.submit(group, entry.FindTurn(turn), self.patience(passage)))
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
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail=f"groups {missed} cannot tell", retry=LATER)
        raise result.RequestError(result.ResultCode.UNKNOWN_TURN, detail=turn)

    async def claim_key(self, passage: Passage) -> call.Answer | None:
        """Claim the operation's key; the record's answer when it is another's."""
        one = passage.call
        digest = hashlib.blake2b(
            b"\0".join([one.method.encode(), one.host.encode(), one.target.encode(), one.body]),
            digest_size=16,
        ).digest()
        passage.claimed = True
        window = self.node.settings.key_window
        command = entry.ClaimKey(
            self.key_of(one), one.attempt, digest, passage.end - clock.now(), window, self.node.incarnation_id()
        )
        held = await self.ask_group(passage, self.key_of(one), command)
        if held.mine:
            self.tell(passage, "key claimed")
            return None
        passage.claimed = False
        self.tell(passage, "key known", held.outcome or "at work")
        if held.outcome == messages.DONE and held.status:
            return call.Answer(
                held.status, tuple((group_id.name, group_id.value) for group_id in held.headers), held.body
            )
        raise result.RequestError(result.ResultCode.OPERATION_IN_PROGRESS, result.Ran.UNKNOWN, held.outcome)

    def key_of(self, one: call.Call) -> str:
        """The operation's key within its tenant."""
        return f"{one.tenant}\n{one.key}"

    # -- choose ----------------------------------------------------------------------------------

    def choose(self, passage: Passage) -> tuple[instance.Instance | None, str]:
        """A worker for the call among those that the configuration in force allows now, and why."""
        route = self.node.relay.configuration.http_routes.get(passage.route.name)
        if route is None or (route.host, route.prefix) != (passage.route.host, passage.route.prefix):
            raise result.RequestError(result.ResultCode.UNKNOWN_ROUTE, detail=passage.route.name)
        if (route.kind, route.retained) != (passage.route.kind, passage.route.retained):
            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route changed its kind", retry=SOON)
        passage.route = route
        service = draw_service(route, self.node.environment.randomness)
        candidates = self.instances.candidates(service, passage.tried, passage.repeatable())
        used = self.working_sets.of(service)
        chosen = choose.choose(
            candidates,
            used.home_parts(passage.call.parts, passage.program),
            passage.last_worker,
            self.node.settings.area,
            self.node.environment.randomness,
            most=FULL,
            copies=used.copies(len(self.instances.services.get(service, ())), *self.memory_and_slots(service)),
        )
        return self.instances.listed.get(chosen.name), f"{service}: {chosen.reason}"

    def memory_and_slots(self, service: str) -> tuple[int, int]:
        """The KV memory of one of a service's workers in tokens, and its slots; zeros when they aren't known."""
        facts = self.node.relay.configuration.services.get(service)
        if facts is None or facts.engine is None:
            return 0, 0
        return facts.engine.kv_tokens, facts.engine.slots

    async def place(self, passage: Passage) -> instance.Instance:
        """A worker with a place for the call, waited for during a part of its aim."""
        limit = clock.now() + min(passage.route.aim or passage.route.timeout, passage.end - clock.now()) / QUARTER
        while True:
            chosen, why = self.choose(passage)
            if chosen is not None:
                self.tell(passage, "chosen", f"{chosen.name}: {why}")
                return chosen
            if clock.now() >= limit:
                raise result.RequestError(
                    result.ResultCode.OVERLOADED if bool(self.instances.listed) else result.ResultCode.NO_WORKER,
                    detail=why,
                    retry=SOON,
                )
            self.freed.clear()
            try:
                async with clock.limit(min(LOOK, limit - clock.now())):
                    await self.freed.wait()
            except TimeoutError:
                pass

    # -- forward ---------------------------------------------------------------------------------

    async def forward(self, passage: Passage) -> call.Answer:
        """Send the call to workers until one answers, as often as its kind and its route allow."""
        if not passage.repeatable() or passage.route.attempts < 2 or not passage.route.aim:
            return await self.in_turn(passage)
        first = asyncio.ensure_future(self.in_turn(passage))
        try:
            await asyncio.wait((first,), timeout=passage.route.aim.total_seconds())
            if first.done() or passage.attempts.in_flight != 1 or passage.exhausted():
                return await first
            return await self.hedge(passage, first)
        finally:
            await ended(first)

    async def hedge(self, passage: Passage, first: asyncio.Task) -> call.Answer:
        """Another attempt beside one that is silent beyond its aim, as its answer may be lost.

        The first to answer counts.

        Only work that may be repeated comes here, and the attempts that the route allows are shared.
        """
        self.counts["hedged"] += 1
        passage.hedged = True
        other = dataclasses.replace(passage, tried=passage.tried | {passage.at}, hedged=False)
        self.tell(passage, "hedged", f"{passage.at} is silent")
        second = asyncio.ensure_future(self.in_turn(other))
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

    async def in_turn(self, passage: Passage) -> call.Answer:
        """Attempts one after the other."""
        for _ in range(MOST_CHOICES):
            chosen = await self.place(passage)
            passage.at = chosen.name
            try:
                return await self.attempt(passage, chosen)
            except result.RequestError as refusal:
                self.tell(passage, "attempt failed", f"{chosen.name}: {refusal}")
                passage.tried |= {chosen.name}
                if refusal.ran is not result.Ran.NOT_RUN and not passage.repeatable():
                    raise
                if passage.hedged or passage.exhausted() or clock.now() >= passage.end:
                    raise
        raise result.RequestError(result.ResultCode.PUT_BACK, retry=SOON)

    async def attempt(self, passage: Passage, chosen: instance.Instance) -> call.Answer:
        """One attempt at one worker; whatever comes is counted for the choice of later ones."""
        one = passage.call
        self.instances.begin(chosen.name)
        passage.attempts.in_flight += 1
        ended = False
        try:
            if self.instances.barred(chosen.name):
                raise result.RequestError(result.ResultCode.PUT_BACK, detail="the worker is leaving")
            remaining = passage.end - clock.now()
            if remaining <= clock.ZERO:
                raise result.RequestError(result.ResultCode.DEADLINE, retry=SOON)
            service = self.node.relay.configuration.services.get(chosen.service)
            most = service.max_connections if service is not None and service.max_connections else MOST_CONNECTIONS
            headers = self.dialect.request_headers(one, chosen.name, remaining)
            response = await self.send(passage, chosen, headers, most)
            head = self.dialect.head(response.status, response.headers, one.attempt)
            self.heed(chosen, head)
            await self.check_head(passage, response, head)
            if passage.route.kind == http_route.STREAM and 200 <= head.status < 300:
                answer = await self.begin_stream(passage, chosen, response, head)
                ended = True
                return answer
            return await self.whole(passage, chosen, response, head)
        finally:
            passage.attempts.in_flight -= 1
            if not ended:
                self.release(chosen)

    async def send(
        self, passage: Passage, chosen: instance.Instance, headers: call.Headers, most_connections: int
    ) -> pool.Response:
        """Send the call to a worker once, and wait for the head of the answer.

        The call counts as sent and as possibly run from before its first byte until the pool or the worker says
        otherwise.
        """
        one, attempts = passage.call, passage.attempts
        if passage.exhausted():
            raise result.RequestError(result.ResultCode.PUT_BACK, detail="the route allows no more attempts")
        attempts.sent += 1
        attempts.possibly_run += 1
        try:
            return await self.pool.request(
                chosen.address,
                one.method,
                one.target,
                headers,
                passage.body,
                passage.end,
                most_connections,
                self.dialect.accepts(one.attempt),
            )
        except result.RequestError as refusal:
            if refusal.ran is result.Ran.NOT_RUN:
                attempts.sent -= 1
                attempts.possibly_run -= 1
            self.instances.failed(chosen.name, judgement.kind_of(refusal))
            raise

    async def check_head(self, passage: Passage, response: pool.Response, head: call.Head) -> None:
        """Raise unless the answer may go on to the caller: a worker declined the call, or it is unclear whether it
        ran.
        """
        declined = head.misdirected or head.not_run
        if declined and (head.attempt or not response.reused or passage.repeatable()):
            passage.attempts.possibly_run -= 1
            await self.dismiss(response, reuse=bool(head.attempt))
            raise result.RequestError(result.ResultCode.PUT_BACK, detail=str(head.status), retry=SOON)
        unclear = ""
        if declined:
            unclear = "an answer without an id on a connection that carried another request"
        elif not head.stamped and 200 <= head.status < 300:
            unclear = "an answer without its stamp"
        elif head.status in NOT_RUN_STATUSES and not passage.repeatable():
            unclear = f"status {head.status} from a worker that does not say that nothing ran"
        if unclear:
            await response.close(False)
            raise result.RequestError(result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN, unclear)

    def release(self, chosen: instance.Instance) -> None:
        """Give a worker's place back, and wake whoever waits for one."""
        self.instances.end(chosen.name)
        self.freed.set()

    async def dismiss(self, response: pool.Response, reuse: bool) -> None:
        """Read the rest of an answer that is not handed on, so that its connection serves again if that is wanted."""
        try:
            await response.read()
        except result.RequestError:
            return
        finally:
            await response.close(reuse)

    def heed(self, chosen: instance.Instance, head: call.Head) -> None:
        """Take in what a worker's head tells of it."""
        if head.load is not None:
            self.instances.told(chosen.name, *head.load)
        if head.misdirected:
            self.instances.misdirected(chosen.name)
        elif head.not_run:
            self.instances.full(chosen.name)
        else:
            self.instances.answered(chosen.name, judgement.FAILED if head.status >= 500 else judgement.GOOD)
        if head.leaving:
            self.instances.leaving(chosen.name)

    async def whole(
        self, passage: Passage, chosen: instance.Instance, response: pool.Response, head: call.Head
    ) -> call.Answer:
        """A plain answer, read whole before any of it goes out."""
        try:
            body = await response.read()
        except result.RequestError as refusal:
            self.instances.failed(chosen.name, judgement.kind_of(refusal))
            raise
        except BaseException:
            await response.close(False)
            raise
        await response.close(True)
        answer = call.Answer(response.status, self.dialect.answer_headers(response.headers), body)
        if passage.claimed:
            pairs = tuple(entry.Header(name, value) for name, value in answer.headers)
            key = self.key_of(passage.call)
            self.endings.offer(
                self.group_of(key),
                entry.CloseKey(key, passage.call.attempt, messages.DONE, answer.status, pairs, body),
            )
            passage.claimed = False
        if passage.begun:
            self.end_turn_later(passage, messages.UNKNOWN)
        self.counts["answered"] += 1
        self.tell(passage, "answered", f"{chosen.name}: {response.status}")
        return answer

    # -- stream ----------------------------------------------------------------------------------

    async def begin_stream(
        self, passage: Passage, chosen: instance.Instance, response: pool.Response, head: call.Head
    ) -> call.Answer:
        """Wait for the stream's first bytes, then hand the rest on as it comes."""
        parts = response.parts()
        try:
            first = await anext(parts, b"")
        except result.RequestError as refusal:
            self.instances.failed(chosen.name, judgement.kind_of(refusal))
            raise
        except BaseException:
            await response.close(False)
            raise
        self.tell(passage, "first part", chosen.name)
        return call.Answer(
            response.status,
            self.dialect.answer_headers(response.headers),
            b"",
            self.stream(passage, chosen, response, parts, first),
        )

    async def stream(
        self,
        passage: Passage,
        chosen: instance.Instance,
        response: pool.Response,
        parts: collections.abc.AsyncIterator[bytes],
        first: bytes,
    ) -> collections.abc.AsyncIterator[bytes]:
        """The parts of a stream; it ends only once the turn is kept, and raises when it was broken off."""
        reader, whole, watch = events.Reader(), False, pace.Stopwatch()
        try:
            reader.feed(first)
            watch.saw(reader.count)
            if first:
                yield first
                async for part in parts:
                    reader.feed(part)
                    watch.saw(reader.count)
                    yield part
            whole = True
            seconds_an_event = watch.pace()
            if seconds_an_event:
                self.instances.paced(chosen.name, seconds_an_event)
            await response.close(True)
            self.release(chosen)
            if passage.begun:
                await self.end_turn(passage, chosen, reader)
            self.counts["answered"] += 1
            self.tell(passage, "answered", f"{chosen.name}: {reader.count} events")
        except result.RequestError as refusal:
            self.counts["streams broken"] += 1
            if not whole:
                self.instances.failed(chosen.name, judgement.kind_of(refusal))
            self.tell(passage, "broken off", str(refusal))
            raise
        finally:
            self.active -= 1
            if not whole:
                await response.close(False)
                self.release(chosen)
            if passage.begun:
                self.end_turn_later(passage, messages.UNKNOWN)

    async def end_turn(self, passage: Passage, chosen: instance.Instance, reader: events.Reader) -> None:
        """Have the turn kept and charged, before its caller hears of its end."""
        one, output = passage.call, reader.output()
        service = self.node.relay.configuration.services.get(chosen.service)
        stride = service.engine.stride if service is not None and service.engine is not None else 1
        retained = passage.route.retained
        command = entry.EndTurn(
            passage.program,
            one.session,
            one.attempt,
            messages.DONE,
            one.body if retained else b"",
            output if retained else b"",
            reader.count * stride,
            chosen.name,
        )
        within = max(passage.end - clock.now(), OVERTIME)
        try:
            await self.node.submit(self.group_of(passage.program), command, within)
        except result.RequestError as refusal:
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, str(refusal)) from None
        passage.begun = False
        if retained:
            self.chains.keep((entry.Turn(one.attempt, one.previous, one.body, output, chosen.name),))

    # -- close -----------------------------------------------------------------------------------

    def end_turn_later(self, passage: Passage, outcome: str) -> None:
        """Have a turn that nobody waits for ended behind the answer."""
        one = passage.call
        passage.begun = False
        self.endings.offer(
            self.group_of(passage.program),
            entry.EndTurn(passage.program, one.session, one.attempt, outcome, b"", b"", 0, ""),
        )

    def give_up(self, passage: Passage) -> None:
        """Free or charge what was begun for a call that failed."""
        outcome = messages.UNKNOWN if passage.attempts.possibly_run else messages.NOT_RUN
        if passage.begun:
            self.end_turn_later(passage, outcome)
        if passage.claimed:
            passage.claimed = False
            key = self.key_of(passage.call)
            self.endings.offer(self.group_of(key), entry.CloseKey(key, passage.call.attempt, outcome, 0, (), b""))

    async def drain(self) -> None:
        """Serve on while callers are still handed to this edge, then refuse new calls and let the others end."""
        began = clock.now()
        self.draining = True
        while clock.now() < began + GRACE:
            await clock.sleep(SETTLE)
            self.closed = clock.now() > began + UNREADY
            if self.closed and not self.active and not self.endings.open():
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
        return found


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
