"""Scenes of one call in trouble: each kind of call meets each trouble, at every byte where a byte matters.

The edge's forwarder and pool and the group's ledger are the product's own; workers are the emulator's, behind channels
that break at a given byte. ``table()`` writes what callers are told; docs/control-under-trouble-calls.md keeps it, and
a test compares the two.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import random
import types

from aspencroft.configuration import http_route, resources, route_table
from aspencroft.emulator import engine, worker_server
from aspencroft.errors import result
from aspencroft.proxy import call, forwarder, instance, instances
from aspencroft.runtime import clock, environment
from aspencroft.sessions import call_sessions
from aspencroft.simulation import loop, wire
from aspencroft.workers import pool

RESET, SILENCE = "reset", "silence"
NOBODY = ("nobody is there to be told", False, "")
WITHIN, TIMEOUT = 2.0, 1.0
SETTLED = clock.seconds(6)
KEY_WINDOW = clock.seconds(90)
DELIVERED = clock.seconds(0.02)
WORK = worker_server.Work(
    shape=engine.Shape(stride=10, step=clock.seconds(0.001)), answer_bytes=24, event_bytes=24, tells_load=False
)
ROUTE = {
    "host": "h",
    "prefix": "/",
    "targets": [{"service": "tool"}],
    "attempts": 2,
    "timeout": TIMEOUT,
    "aim": 0.4,
}
MOST_EVENTS = 2
TOKENS = ((b"x-tokens", b"10,20"), (b"x-parts", b"own:10"), (b"x-model", b"m"))


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of call: its route, and what its caller sends."""

    name: str
    route: dict
    headers: call.Headers = ()
    key: str = ""
    budget: int = 0
    repeatable: bool = False


KINDS = (
    Kind("safe", {"kind": http_route.SAFE}, repeatable=True),
    Kind("non-idempotent", {"kind": http_route.NON_IDEMPOTENT}),
    Kind("keyed", {"kind": http_route.KEYED}, key="k-1"),
    Kind("streaming", {"kind": http_route.STREAM}, TOKENS),
    Kind("turn of a program", {"kind": http_route.STREAM, "retained": True}, TOKENS, budget=1000),
    Kind("resumable streaming", {"kind": http_route.STREAM, "resumable": True}, TOKENS, repeatable=True),
    Kind(
        "resumable turn of a program",
        {"kind": http_route.STREAM, "retained": True, "resumable": True},
        TOKENS,
        budget=1000,
        repeatable=True,
    ),
)


@dataclasses.dataclass(frozen=True)
class Trouble:
    """What happens to the first connection of the first worker, and to the first worker itself.

    The connection ends in the way of ``ending`` once the worker read ``request_bytes``, or wrote ``answer_bytes``;
    ``unasked`` is written before anything is asked, ``in_place`` instead of the answer to the second request.
    ``status`` stands in the place of the worker's own 500. The group decides ``group_commands`` commands and then
    nothing for a while. ``caller_leaves`` and ``edge_ends`` are milliseconds after the call began.
    """

    request_bytes: int | None = None
    answer_bytes: int | None = None
    ending: str = RESET
    unasked: bytes = b""
    in_place: bytes = b""
    faults: worker_server.Faults = dataclasses.field(default_factory=worker_server.Faults)
    other_instance: bool = False
    full: bool = False
    status: int = 0
    frozen: bool = False
    caller_leaves: int | None = None
    edge_ends: int | None = None
    group_commands: int | None = None


@dataclasses.dataclass(frozen=True)
class Seen:
    """What a scene showed.

    ``told`` is what the caller was told, after ``held`` seconds; ``workers`` and ``runs`` on how many workers and how
    often its call ran; ``next_told`` what the next call of another caller at the same edge was told, ``repeated`` what
    a repeat of the key at another edge was told after a takeover of the group, and ``runs_of_key`` all runs under the
    key.
    """

    told: str
    not_run: bool
    held: float
    workers: int
    runs: int
    next_told: str
    repeated: str
    runs_of_key: int
    wrong: tuple[str, ...]


class TroubledChannel:
    """A worker's end of a stream that breaks at a given byte."""

    def __init__(self, channel: environment.Channel, trouble: Trouble):
        self.channel = channel
        self.trouble = trouble
        self.read_bytes = 0
        self.written_bytes = 0
        self.requests = 0

    async def read_some(self, limit: int) -> bytes:
        """What came, up to the byte at which the connection ends."""
        most = self.trouble.request_bytes
        if most is not None and self.read_bytes >= most:
            return await self.end()
        data = await self.channel.read_some(limit if most is None else min(limit, most - self.read_bytes))
        self.read_bytes += len(data)
        return data

    async def write(self, data: bytes) -> None:
        """Write up to the byte at which the connection ends."""
        if self.trouble.status:
            data = data.replace(b"HTTP/1.1 500", b"HTTP/1.1 %d" % self.trouble.status)
        most = self.trouble.answer_bytes
        left = len(data) if most is None else max(0, most - self.written_bytes)
        self.written_bytes += min(left, len(data))
        if data[:left]:
            await self.channel.write(data[:left])
        if left < len(data):
            await self.end()

    async def end(self) -> bytes:
        """End the connection, or go silent for good."""
        if self.trouble.ending == SILENCE:
            await asyncio.Event().wait()
        await clock.sleep(DELIVERED)
        self.channel.abort()
        raise ConnectionResetError("the scene's reset")

    def close(self) -> None:
        """Close the stream."""
        self.channel.close()

    def abort(self) -> None:
        """Reset the stream."""
        self.channel.abort()


class TroubledWorker(worker_server.Worker):
    """The emulator's worker; its first connection meets the trouble of the scene."""

    def __init__(self, name: str, trouble: Trouble):
        super().__init__(name, "tool", "north", WORK, random.Random(2))
        self.trouble = trouble
        self.faults = trouble.faults
        self.connections = 0

    async def converse(self, channel: environment.Channel) -> None:
        """One connection."""
        self.connections += 1
        if self.connections > 1:
            return await super().converse(channel)
        if self.trouble.unasked:
            await channel.write(self.trouble.unasked)
        if self.trouble.in_place:
            return await self.answer_in_place(channel)
        await super().converse(TroubledChannel(channel, self.trouble))

    async def answer_in_place(self, channel: environment.Channel) -> None:
        """Serve the first request, and give another answer in the place of the second one's."""
        conversation = worker_server.Conversation(self, channel)
        conversation.owed = b""
        serve = conversation.serve

        async def serve_owing(asked: worker_server.Asked) -> None:
            await serve(asked)
            conversation.owed = self.trouble.in_place

        conversation.serve = serve_owing
        await conversation.run()


class GroupStandIn:
    """A session group: the product's own ledger, without replicas.

    ``take_over`` makes another primary of what is kept.
    """

    def __init__(self, commands: int | None = None):
        self.sessions = call_sessions.CallSessions()
        self.commands = commands

    async def submit(self, group: int, command, within: datetime.timedelta):
        """Decide a command."""
        await clock.sleep(clock.seconds(0.001))
        if self.commands is not None:
            self.commands -= 1
            if self.commands < 0:
                await clock.sleep(within)
                raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN)
        found, reply = self.sessions.decide(command, clock.now())
        for event in found:
            self.sessions.apply(event)
        return reply

    def take_over(self, gone: str = "") -> None:
        """Another primary goes on from the snapshot, and ends what an edge that is gone left behind."""
        fresh = call_sessions.CallSessions()
        fresh.restore(b"".join(self.sessions.snapshot_parts()), 0)
        self.sessions = fresh
        self.tick(gone)

    def tick(self, gone: str = "") -> None:
        """Decide what the clock asks for."""
        for command in self.sessions.due(clock.now(), lambda edge: edge == gone):
            for event in self.sessions.decide(command, clock.now())[0]:
                self.sessions.apply(event)


class CallScenario:
    """One edge and another, two workers and a group; the first worker meets the trouble."""

    def __init__(self, kind: Kind, trouble: Trouble):
        self.kind = kind
        self.trouble = trouble
        self.loop = loop.SimLoop()
        self.wire = wire.Wire(self.loop, random.Random(1), wire.Weather(jitter=0.0))
        self.group = GroupStandIn(trouble.group_commands)
        self.lives = [
            TroubledWorker("other" if trouble.other_instance else "i-0", trouble),
            TroubledWorker("i-1", Trouble()),
        ]
        self.asked: dict[str, str] = {}

    def edge(self, name: str) -> forwarder.Forwarder:
        """An edge with its own connections."""
        route = http_route.of("route", {**ROUTE, **self.kind.route})
        around = environment.Environment(wire.SimNetwork(self.wire, name), None, None, random.Random(3), None)
        plan = dataclasses.replace(
            resources.EMPTY,
            http_routes={"route": route},
            route_table=route_table.EMPTY.changed((), (route,)),
            version=1,
        )
        own = types.SimpleNamespace(
            address=name,
            environment=around,
            sample_sources=[],
            status_reporter=types.SimpleNamespace(sections={}),
            stopping=asyncio.Event(),
            standing=None,
            settings=types.SimpleNamespace(
                group_count=2, talk_pairs=1, area="north", address=name, key_window=KEY_WINDOW
            ),
            relay=types.SimpleNamespace(
                configuration=plan,
                current=lambda: True,
                root=False,
                lease_duration=SETTLED * 10,
                lease_expires_at=SETTLED * 10,
            ),
            submit=self.group.submit,
            incarnation_id=lambda: name,
        )
        known = instances.Instances()
        known.update(
            [
                instance.Instance(f"i-{number}", f"w{number}:80", "tool", "north", "v1", 6, False, clock.ZERO)
                for number in range(len(self.lives))
            ],
            clock.now(),
        )
        known.begin_request("i-1")
        return forwarder.Forwarder(own, worker_server.StandDialect(), known, pool.Pool(around, collections.Counter()))

    def call_of(self, attempt: str, key: str = "") -> call.Call:
        """A call of this scene's kind."""
        headers = ((b"host", b"h"), (b"x-attempt", attempt.encode()), (b"x-work-ms", b"5"), *self.kind.headers)
        return call.Call(
            "POST",
            "/x",
            "h",
            headers,
            b"in",
            attempt,
            clock.seconds(WITHIN),
            clock.now(),
            key=key or (f"{self.kind.key}-{attempt}" if self.kind.key else ""),
            program="p" if self.kind.budget else "",
            budget=self.kind.budget,
            reserve=20 if self.kind.budget else 0,
        )

    async def ask(self, edge: forwarder.Forwarder, one: call.Call) -> tuple[str, bool, str]:
        """What a caller is told, whether that promises that nothing ran, and the body if it looks whole."""
        seal = ""
        try:
            answer = await edge.handle(one)
            seal = dict(answer.headers).get(worker_server.SEAL, b"").decode()
            body = answer.body
            if answer.chunks is not None:
                async for part in answer.chunks:
                    body += part
        except result.RequestError as refusal:
            ran = {result.Ran.NOT_RUN: "did not run", result.Ran.UNKNOWN: "may have run", result.Ran.RAN: "ran"}
            begun = "stream broken off, " if seal else ""
            return f"{begun}{refusal.result.name}, {ran[refusal.ran]}", refusal.ran is result.Ran.NOT_RUN, ""
        return f"answer {answer.status}", False, f"{seal} {body.decode()}"

    def runs_of(self, attempt: str) -> list[tuple[str, worker_server.Run]]:
        """All runs of an attempt, with their workers."""
        return [(life.name, run) for life in self.lives for run in life.runs if run.attempt == attempt]

    def check_answer(self, told: str, body: str, *attempts: str) -> list[str]:
        """What is wrong with an answer: it must be the whole answer of one run of these attempts."""
        if not told.startswith("answer"):
            return []
        runs = [run for one in attempts for _, run in self.runs_of(one)]
        if self.kind.route.get("resumable"):
            return self.check_continued(body, runs)
        answers = [f"{run.seal} {run.output.decode()}" for run in runs]
        return [] if body in answers else [f"{attempts[0]} got an answer that none of its runs gave"]

    def check_budget(self, *told: str) -> list[str]:
        """What is wrong with a program's account when all its turns were answered: each is charged once."""
        if not self.kind.budget or set(told) != {"answer 200"}:
            return []
        account = self.group.sessions.budgets.accounts["p"]
        turns = len(told) + bool(self.trouble.in_place)
        if (account.used, account.reserved) == (turns * MOST_EVENTS, 0):
            return []
        return [f"{account.used} tokens are charged and {account.reserved} reserved for {turns} turns"]

    def check_continued(self, body: str, runs: list[worker_server.Run]) -> list[str]:
        """What is wrong with a stream that may have been continued.

        The stamp is that of the first run whose head went out, no later than the run that made the first event; each
        event is one that a run made, and their numbers count up from one without a gap.
        """
        seal, _, text = body.partition(" ")
        events = text.split("\n\n")
        made = {event for run in runs for event in run.output.decode().split("\n\n")}
        numbers = [event.partition("\n")[0] for event in events[:-1]]
        seals = [run.seal for run in runs]
        begun = [run.seal for run in runs if events[0] in run.output.decode().split("\n\n")]
        stamped = seal in seals and bool(begun) and seals.index(seal) <= seals.index(begun[0])
        wrong = [] if stamped else ["a continued stream has not the stamp of its first run"]
        if events[-1] or set(events) - made:
            wrong.append("a stream holds an event that none of its runs made")
        if numbers != [f"id: {number + 1}" for number in range(len(numbers))] or len(numbers) < MOST_EVENTS:
            wrong.append(f"a stream came with the events {numbers}")
        return wrong

    async def start(self) -> None:
        """Begin the workers' lives."""
        for number, life in enumerate(self.lives):
            name = f"w{number}"
            self.loop.begin(name)
            serving = life.serve(wire.SimNetwork(self.wire, name), f"{name}:80")
            self.loop.create_task(serving, context=self.loop.context_of(name))
        if self.trouble.full:
            slots = self.lives[0].slots
            slots.slots = slots.queue = 0
            if self.lives[0].engine is not None:
                self.lives[0].engine.shape = dataclasses.replace(WORK.shape, slots=0, queue=0)
        await clock.sleep(clock.seconds(0.01))

    async def first(self, edge: forwarder.Forwarder) -> tuple[str, bool, str]:
        """The call that meets the trouble."""
        if self.trouble.in_place:
            await self.ask(edge, self.call_of("before"))
            edge.instances.end_request("i-1")
            edge.instances.states["i-1"].running = 3
        if self.trouble.edge_ends is not None:
            return await self.killed_edge(edge)
        if self.trouble.caller_leaves is None and not self.trouble.frozen:
            return await self.ask(edge, self.call_of("a1"))
        asking = asyncio.ensure_future(self.ask(edge, self.call_of("a1")))
        if self.trouble.caller_leaves is not None:
            await clock.sleep(clock.seconds(self.trouble.caller_leaves / 1000))
            asking.cancel()
            await asyncio.wait((asking,))
            return NOBODY
        await clock.sleep(clock.seconds(0.003))
        self.loop.freeze("w0")
        found = await asking
        self.loop.thaw("w0")
        return found

    async def killed_edge(self, edge: forwarder.Forwarder) -> tuple[str, bool, str]:
        """The call at an edge that is killed, and whose end the group learns of."""
        self.loop.create_task(self.ask(edge, self.call_of("a1")), context=self.loop.context_of("edge-1"))
        await clock.sleep(clock.seconds(self.trouble.edge_ends / 1000))
        self.loop.end("edge-1")
        self.wire.drop("edge-1", silent=False)
        await clock.sleep(SETTLED)
        self.group.take_over(gone="edge-1")
        return NOBODY

    async def play(self) -> Seen:
        """The call in trouble, the next call at the same edge, and for a key a repeat at another edge."""
        await self.start()
        edge, other = self.edge("edge-1"), self.edge("edge-2")
        self.loop.begin("edge-1")
        running = self.loop.create_task(drain_endings(edge, self.group), context=self.loop.context_of("edge-1"))
        began = clock.now()
        told, not_run, body = await self.first(edge)
        held = (clock.now() - began).total_seconds()
        self.group.commands = None
        alive = edge if self.trouble.edge_ends is None else other
        next_told, _, next_body = await self.ask(alive, self.call_of("a2"))
        await clock.sleep(SETTLED)
        wrong = self.check_answer(told, body, "a1") + self.check_answer(next_told, next_body, "a2")
        wrong += self.check_budget(told, next_told)
        repeated = ""
        if self.kind.key:
            repeated, repeat_wrong = await self.repeat(other, body)
            wrong += repeat_wrong
        running.cancel()
        runs = self.runs_of("a1")
        return Seen(
            told,
            not_run,
            held,
            len({name for name, _ in runs}),
            len(runs),
            next_told,
            repeated,
            len(runs) + len(self.runs_of("a3")),
            tuple(wrong),
        )

    async def repeat(self, edge: forwarder.Forwarder, first_body: str) -> tuple[str, list[str]]:
        """The same key at another edge, behind a takeover of the group."""
        self.group.take_over()
        told, _, body = await self.ask(edge, self.call_of("a3", f"{self.kind.key}-a1"))
        await clock.sleep(SETTLED)
        if told.startswith("answer") and first_body and body != first_body:
            return told, ["a repeat got another answer than the first"]
        return told, [] if first_body else self.check_answer(told, body, "a3", "a1")


async def drain_endings(edge: forwarder.Forwarder, group: GroupStandIn) -> None:
    """Bring to the group what an edge tells it behind its answers."""
    row = edge.completions.queues[1]
    while True:
        command = await row.get()
        try:
            await group.submit(1, command, SETTLED)
        except result.RequestError:
            edge.completions.counts["left to the group"] += 1


def play(kind: Kind, trouble: Trouble) -> Seen:
    """Play one scene."""
    call_scenario = CallScenario(kind, trouble)
    try:
        return call_scenario.loop.run_until_complete(call_scenario.play())
    finally:
        call_scenario.loop.bury()


@dataclasses.dataclass(frozen=True)
class Moment:
    """A moment of trouble: the troubles of it, one for each byte where bytes matter."""

    name: str
    troubles: collections.abc.Callable[[Kind], collections.abc.Iterable[Trouble]]


@dataclasses.dataclass(frozen=True)
class Sizes:
    """Bytes of a kind's request, of its answer's head, and of the whole answer."""

    request: int
    head: int
    answer: int


def sizes_of(kind: Kind) -> Sizes:
    """The bytes of a call without trouble, counted at the worker."""
    call_scenario = CallScenario(kind, Trouble())
    read, written = bytearray(), bytearray()

    class Counting(TroubledChannel):
        """A channel that notes the first request and its answer."""

        async def read_some(self, limit: int) -> bytes:
            data = await super().read_some(limit)
            if call_scenario.runs_of("a2") == [] and not done:
                read.extend(data)
            return data

        async def write(self, data: bytes) -> None:
            if not done:
                written.extend(data)
            await super().write(data)

    done: list[bool] = []
    held = call_scenario.lives[0].converse

    async def converse(channel: environment.Channel) -> None:
        await worker_server.Worker.converse(call_scenario.lives[0], Counting(channel, Trouble()))

    async def scenario() -> None:
        await call_scenario.start()
        edge = call_scenario.edge("edge-1")
        await call_scenario.ask(edge, call_scenario.call_of("a1"))
        done.append(True)

    call_scenario.lives[0].converse = converse
    try:
        call_scenario.loop.run_until_complete(scenario())
    finally:
        call_scenario.lives[0].converse = held
        call_scenario.loop.bury()
    return Sizes(len(read), written.index(b"\r\n\r\n") + 4, len(written))


def faults(**named: float) -> collections.abc.Callable[[Kind], list[Trouble]]:
    """A trouble of the emulator's own kinds."""
    return lambda kind: [Trouble(faults=worker_server.Faults(**named))]


def at_request_bytes(ending: str, step: int) -> collections.abc.Callable[[Kind], list[Trouble]]:
    """The connection ends at each byte of the request that is not its last."""
    return lambda kind: [
        Trouble(request_bytes=count, ending=ending) for count in range(0, sizes_of(kind).request, step)
    ]


def at_head_bytes(ending: str, step: int) -> collections.abc.Callable[[Kind], list[Trouble]]:
    """The connection ends at each byte inside the answer's head."""
    return lambda kind: [Trouble(answer_bytes=count, ending=ending) for count in range(0, sizes_of(kind).head, step)]


def at_body_bytes(ending: str, step: int) -> collections.abc.Callable[[Kind], list[Trouble]]:
    """The connection ends at each byte of the answer's body that is not its last."""

    def troubles(kind: Kind) -> list[Trouble]:
        sizes = sizes_of(kind)
        return [Trouble(answer_bytes=count, ending=ending) for count in range(sizes.head, sizes.answer, step)]

    return troubles


def scripted(**named) -> collections.abc.Callable[[Kind], list[Trouble]]:
    """One trouble of the scene's own."""
    return lambda kind: [Trouble(**named)]


def each_millisecond(name: str) -> collections.abc.Callable[[Kind], list[Trouble]]:
    """A trouble at each millisecond of the call's way."""
    return lambda kind: [Trouble(**{name: at}) for at in range(LONGEST_WAY)]


LONGEST_WAY = 40
ANOTHER = b"HTTP/1.1 200 OK\r\nx-attempt: other\r\nx-seal: stale\r\ncontent-length: 2\r\n\r\nno"
BEFORE = b"HTTP/1.1 200 OK\r\nx-attempt: before\r\nx-seal: stale\r\ncontent-length: 2\r\n\r\nno"
NAMELESS = b"HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
WALK, SPARSE = 1, 23

MOMENTS = (
    Moment("reset at each byte of the request", at_request_bytes(RESET, WALK)),
    Moment("silence at bytes of the request", at_request_bytes(SILENCE, SPARSE)),
    Moment("reset after the work, before the answer", faults(lost=1.0)),
    Moment("silence after the work", faults(silent=1.0)),
    Moment("reset at each byte of the answer's head", at_head_bytes(RESET, WALK)),
    Moment("reset at each byte of the answer's body", at_body_bytes(RESET, WALK)),
    Moment("silence at bytes of the answer's head", at_head_bytes(SILENCE, SPARSE)),
    Moment("silence at bytes of the answer's body", at_body_bytes(SILENCE, SPARSE)),
    Moment("bytes that are no answer", faults(garbage=1.0)),
    Moment("an answer before anything was asked", scripted(unasked=ANOTHER)),
    Moment("an answer in excess at once", faults(surplus=1.0)),
    Moment("an answer in excess in the place of the next", faults(late=1.0)),
    Moment("the answer to the request before, in the place of this one's", scripted(in_place=BEFORE)),
    Moment("a refusal without an id in the place of this one's", scripted(in_place=NAMELESS)),
    Moment("another worker at the address", scripted(other_instance=True)),
    Moment("the worker is full", scripted(full=True)),
    Moment("the worker fails", faults(failed=1.0)),
    Moment(
        "a 503 without the worker's word that nothing ran",
        lambda kind: [Trouble(faults=worker_server.Faults(failed=1.0), status=503)],
    ),
    Moment("the group decides nothing", scripted(group_commands=0)),
    Moment("the group decides nothing after the call began", scripted(group_commands=1)),
    Moment("the caller leaves, at each millisecond", each_millisecond("caller_leaves")),
    Moment("the edge is killed, at each millisecond", each_millisecond("edge_ends")),
    Moment("the worker is frozen and woken after the deadline", scripted(frozen=True)),
)


@dataclasses.dataclass
class Row:
    """What all scenes of a kind and a moment showed together."""

    kind: Kind
    moment: str
    seen: list[Seen]

    def cells(self) -> tuple[str, ...]:
        """The row's cells as text."""
        return (
            self.kind.name,
            self.moment,
            str(len(self.seen)),
            listed(one.told for one in self.seen),
            str(max(one.workers for one in self.seen)),
            str(max(one.runs for one in self.seen)),
            listed(one.repeated for one in self.seen if one.repeated) or "-",
            str(max(one.runs_of_key for one in self.seen)) if self.kind.key else "-",
        )


def listed(texts: collections.abc.Iterable[str]) -> str:
    """Distinct texts in one cell, in order.

    Example: ``listed(["b", "a", "b"]) == "a / b"``
    """
    return " / ".join(sorted(set(texts)))


def rows() -> list[Row]:
    """All scenes."""
    return [
        Row(kind, moment.name, [play(kind, trouble) for trouble in moment.troubles(kind)])
        for kind in KINDS
        for moment in MOMENTS
    ]


INTRODUCTION = """# What callers are told: kind of call by moment of the trouble

Made by `python -m aspencroft.simulation.call_troubles`; `aspencroft/simulation/call_troubles_test.py` plays all scenes
again and compares (a row that differs fails). In each scene the first worker that a call is sent to meets the trouble;
where a byte matters, there is one scene for each byte ("each") or for each 23rd ("at bytes"). The route allows two
attempts and holds a call for a second. "May have run" is no promise: callers of work that is not repeatable do not send
it again. "Did not run" is one. OPERATION_IN_PROGRESS is told to a repeat of a key whose first run has no known end: it
never runs again within its window. "Stream broken off" means that the stream's head went out before.

"""
HEADER = (
    "kind of call",
    "trouble",
    "scenes",
    "what the caller is told",
    "most workers that ran it",
    "most runs",
    "a repeat of the key, after a takeover",
    "runs under the key",
)


def table(found: list[Row]) -> str:
    """The rows as a table for the docs."""
    lines = [HEADER, ("---",) * len(HEADER), *(row.cells() for row in found)]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines) + "\n"


if __name__ == "__main__":
    print(INTRODUCTION + table(rows()), end="")
