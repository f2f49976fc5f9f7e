"""Callers that run programs: turns with histories, helpers, tools, aims, and the rules of trying again."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import random
import typing

from aspencroft.configuration import http_route
from aspencroft.emulator import worker_server
from aspencroft.errors import result
from aspencroft.proxy import call, events
from aspencroft.runtime import clock

ANSWERED, REFUSED, BROKEN, GONE, UNDER_WAY = "answered", "refused", "broken off", "left", "under way"
ENDED, FAILED, SPENT, STOPPED = "ended by itself", "failed", "budget spent", "stopped"
SILENCE = 2.0
FINAL = ("MALFORMED", "UNKNOWN_ROUTE", "UNKNOWN_TURN", "TOO_LARGE", "OUT_OF_BUDGET")
ENDS = (400, 401, 402, 403, 404, 413)


class Gone(Exception):
    """The connection ended without a whole answer; ``read`` tells whether the request may have been read."""

    def __init__(self, read: bool):
        super().__init__("the connection ended")
        self.read = read


class Door(typing.Protocol):
    """A way to one edge.

    ``ask`` gives an answer, raises a Refusal that the edge gave, or Gone;
    parts of a stream raise Gone when it breaks off.
    """

    name: str

    async def ask(self, one: call.Call) -> call.Answer:
        """Answer a call."""
        ...


@dataclasses.dataclass(frozen=True)
class Use:
    """What an agent knows of a route: where it is, what it is for and how long an answer may take, in seconds."""

    name: str
    host: str
    prefix: str
    kind: str
    aim: float
    within: float
    more: int
    retained: bool = False
    resumable: bool = False
    gap: float = 0.25
    work: float = 0.02


@dataclasses.dataclass(frozen=True)
class Habit:
    """How a kind of program behaves: figures are means or shares."""

    turn: Use
    tools: tuple[Use, ...]
    turns: int = 4
    think: float = 0.06
    tool_share: float = 0.6
    helper_share: float = 0.1
    helper_turns: int = 2
    tokens: int = 60
    stride: int = 10
    own: int = 200
    shared: tuple[tuple[str, int], ...] = (("s0", 2000), ("s1", 2000), ("s2", 2000))
    aim_times: float = 2.0
    way: float = 0.06
    runaway: float = 0.02
    leaves: float = 0.02
    repeats: float = 0.2
    tight: float = 0.1


@dataclasses.dataclass
class Try:
    """One try of a caller, as it saw it; times are the loop's seconds, ``chain`` what should go before the input.

    ``heard`` is every byte of the answer that came; ``whole`` that it came to its proper end.
    """

    call: call.Call
    use: Use
    edge: str
    began: float
    outcome: str = UNDER_WAY
    ended: float = 0.0
    first: float | None = None
    status: int = 0
    seal: str = ""
    heard: bytes = b""
    whole: bool = False
    read: bool = True
    refusal: result.RequestError | None = None
    repeat: bool = False

    def good(self) -> bool:
        """Whether a whole answer with a 2xx came."""
        return self.whole and 200 <= self.status < 300

    def promised(self) -> bool:
        """Whether the refusal promises that nothing ran or will run."""
        return self.refusal is not None and self.refusal.ran is result.Ran.NOT_RUN

    def output(self) -> bytes:
        """The data of the events that came, each with a line feed behind."""
        reader = events.Reader()
        reader.feed(self.heard)
        return reader.output()


@dataclasses.dataclass
class Program:
    """One program: what it owes and what became of it; ``aim`` is the loop's second by which it should end."""

    name: str
    habit: Habit
    budget: int
    began: float
    aim: float
    runaway: bool
    outcome: str = UNDER_WAY
    why: str = ""
    ended: float = 0.0
    turns: int = 0


class Stop(Exception):
    """The program is over: its outcome and why."""

    def __init__(self, outcome: str, why: str):
        super().__init__(f"{outcome}: {why}")
        self.outcome = outcome
        self.why = why


class Agents:
    """All callers: they run programs through the edges that take callers, and note what they saw.

    ``doors`` names the edges that take new connections now.
    """

    def __init__(self, doors: collections.abc.Callable[[], list[Door]], chance: random.Random):
        self.doors = doors
        self.chance = chance
        self.tries: list[Try] = []
        self.programs: list[Program] = []
        self.numbers: collections.Counter = collections.Counter()
        self.kept: list[tuple[str, Use, Try]] = []
        self.keyed: list[tuple[Use, call.Call, Try]] = []
        self.background: set[asyncio.Task] = set()

    def now(self) -> float:
        """The loop's seconds."""
        return asyncio.get_running_loop().time()

    def name(self, kind: str) -> str:
        """A fresh name, the same in every run."""
        self.numbers[kind] += 1
        return f"{kind}{self.numbers[kind]}"

    def make(self, use: Use, body: bytes, method: str = "POST", headers: call.Headers = (), **more) -> call.Call:
        """One try's call, with an attempt id of its own."""
        attempt = self.name("a")
        target = f"{use.prefix}{more.pop('leaf', 'x')}"
        held = ((b"Host", use.host.encode()), (worker_server.ATTEMPT, attempt.encode()), *headers)
        for field, name in (
            ("key", worker_server.KEY),
            ("program", worker_server.PROGRAM),
            ("session", worker_server.SESSION),
            ("previous", worker_server.PREVIOUS),
            ("resume_after", worker_server.RESUME),
        ):
            if more.get(field):
                held += ((name, more[field].encode()),)
        return call.Call(
            method,
            target,
            use.host,
            held,
            body,
            attempt,
            clock.seconds(more.pop("within", use.within)),
            clock.now(),
            **more,
        )

    def again(self, one: call.Call, within: float, **more) -> call.Call:
        """The same call as a further try: with another attempt id, and the time that is left."""
        attempt = self.name("a")
        headers = tuple(
            (name, attempt.encode() if name == worker_server.ATTEMPT else value)
            for name, value in one.headers
            if not (more.get("resume_after") and name == worker_server.RESUME)
        )
        if more.get("resume_after"):
            headers += ((worker_server.RESUME, more["resume_after"].encode()),)
        return dataclasses.replace(
            one, attempt=attempt, headers=headers, time_limit=clock.seconds(within), arrived_at=clock.now(), **more
        )

    # -- one request -----------------------------------------------------------------------------

    async def once(self, use: Use, one: call.Call, door: Door | None = None, leaves: float | None = None) -> Try:
        """One try through one edge; a caller that leaves does so after so many seconds."""
        doors = self.doors()
        if door is None and doors:
            door = self.chance.choice(doors)
        found = Try(one, use, door.name if door else "", self.now())
        self.tries.append(found)
        if door is None:
            await clock.sleep(clock.seconds(0.05))
            found.outcome, found.read = BROKEN, False
        else:
            try:
                async with asyncio.timeout(one.time_limit.total_seconds() if leaves is None else leaves):
                    await self.hear(found, door)
            except Gone as gone:
                found.outcome, found.read = BROKEN, gone.read
            except TimeoutError:
                found.outcome = GONE
            except result.RequestError as refusal:
                found.outcome, found.refusal = REFUSED, refusal
        found.ended = self.now()
        return found

    async def hear(self, found: Try, door: Door) -> None:
        """Ask and take in all that comes."""
        use = found.use
        answer = await door.ask(found.call)
        found.status = answer.status
        found.seal = next((value.decode() for name, value in answer.headers if name.lower() == worker_server.SEAL), "")
        if answer.chunks is None:
            found.heard, found.first = answer.body, self.now()
        else:
            silence = max(SILENCE, 4 * use.aim, 8 * use.gap)
            async with contextlib.aclosing(answer.chunks) as parts:
                while True:
                    async with asyncio.timeout(silence):
                        part = await anext(parts, None)
                    if part is None:
                        break
                    found.heard += part
                    if part and found.first is None:
                        found.first = self.now()
        found.whole, found.outcome = True, ANSWERED

    def may_again(self, found: Try) -> bool:
        """Whether a caller may send its request once more after this try."""
        if found.good() or (found.whole and found.status in ENDS) or found.outcome == GONE:
            return False
        if found.refusal is not None and found.refusal.result.name in FINAL:
            return False
        if found.use.kind in (http_route.SAFE, http_route.KEYED) or found.use.resumable:
            return True
        return found.promised() or not found.read

    async def ask(self, use: Use, one: call.Call, leaves: float | None = None) -> Try:
        """A request with its further tries, within its time; the last try."""
        end = self.now() + one.time_limit.total_seconds()
        found = await self.once(use, one, leaves=leaves)
        for _ in range(use.more):
            left = end - self.now()
            if leaves is not None or left <= 0.02 or not self.may_again(found):
                break
            pause = 0.02 + 0.05 * self.chance.random()
            if found.refusal is not None and found.refusal.retry is not None:
                pause = min(found.refusal.retry.total_seconds(), left / 3)
            await clock.sleep(clock.seconds(pause))
            more = {}
            if use.resumable and found.heard:
                reader = events.Reader()
                reader.feed(found.heard)
                if reader.count:
                    more["resume_after"] = str(reader.count + int(found.call.resume_after or 0))
            one = self.again(one, end - self.now(), **more)
            found = await self.once(use, one)
        return found

    # -- programs --------------------------------------------------------------------------------

    async def run(self, habits: tuple[tuple[Habit, float], ...], stopped: collections.abc.Callable[[], bool]) -> None:
        """Begin programs of each habit at its rate a second until stopped, and let them end."""

        async def row(group, habit: Habit, rate: float) -> None:
            while not stopped():
                group.create_task(self.program(habit))
                await clock.sleep(clock.seconds(self.chance.expovariate(rate)))

        async with asyncio.TaskGroup() as group:
            for habit, rate in habits:
                group.create_task(row(group, habit, rate))
        while self.background:
            await asyncio.wait(set(self.background))

    async def program(self, habit: Habit, previous: str = "", lead: bytes = b"") -> Program:
        """One program, from its first turn to its end."""
        chance, now = self.chance, self.now()
        turns = max(1, round(chance.gauss(habit.turns, habit.turns / 3)))
        runaway = chance.random() < habit.runaway
        need = (turns + 4 * habit.helper_turns) * habit.tokens
        budget = (turns * habit.tokens) if chance.random() < habit.tight or runaway else 2 * need
        ideal = (
            turns * (habit.think + habit.way + habit.tokens * 0.0022 + habit.tool_share * 0.1)
            + habit.helper_turns * 0.3
        )
        one = Program(self.name("p"), habit, budget, now, now + habit.aim_times * ideal + habit.turn.aim, runaway)
        self.programs.append(one)
        try:
            await self.line(one, f"{one.name}.0", turns, previous, lead, chance.choice(habit.shared), True)
            one.outcome = ENDED
        except* Stop as group:
            stop = first_of(group)
            one.outcome, one.why = stop.outcome, stop.why
        one.ended = self.now()
        return one

    async def line(
        self,
        one: Program,
        session: str,
        turns: int,
        previous: str,
        lead: bytes,
        shared: tuple[str, int],
        first_line: bool,
    ) -> None:
        """A row of turns, each behind the one before, with tools and helpers between them."""
        chance, habit = self.chance, one.habit
        number = 0
        while number < turns or (one.runaway and first_line):
            number += 1
            found = await self.turn(one, session, previous, lead, shared, number)
            previous = found.call.attempt
            lead += found.call.body if habit.turn.retained else found.call.body[len(lead) :]
            lead += found.output()
            await clock.sleep(clock.seconds(min(4 * habit.think, chance.expovariate(1 / habit.think))))
            if number >= turns and not one.runaway:
                return
            helps = first_line and (one.runaway or chance.random() < habit.helper_share)
            async with asyncio.TaskGroup() as group:
                if helps:
                    for helper in range(1 + chance.randrange(3)):
                        group.create_task(
                            self.line(
                                one,
                                f"{session}.{number}.{helper}",
                                habit.helper_turns,
                                previous,
                                lead,
                                shared,
                                False,
                            )
                        )
                else:
                    for use in habit.tools:
                        if chance.random() < habit.tool_share:
                            group.create_task(self.tool(one, session, use))

    async def turn(
        self, one: Program, session: str, previous: str, lead: bytes, shared: tuple[str, int], number: int
    ) -> Try:
        """One turn; a failed one is sent again from its start, twice at most."""
        habit, use = one.habit, one.habit.turn
        fresh = f"[{session} {number} {self.chance.randrange(1 << 30)}]".encode()
        body = fresh if use.retained else lead + fresh
        prompt = shared[1] + habit.own + len(lead) // 4
        parts = (shared, (session.replace(".", ""), habit.own + len(lead) // 4))
        headers = (
            (worker_server.TOKENS, b"%d,%d" % (prompt, habit.tokens)),
            (worker_server.MODEL, b"m"),
            (worker_server.PARTS, ",".join(f"{name}:{count}" for name, count in parts).encode()),
        )
        for go in range(3):
            if go:
                await clock.sleep(clock.seconds(0.1 + 0.3 * self.chance.random()))
            made = self.make(
                use,
                body,
                headers=headers,
                program=one.name,
                session=session,
                program_within=clock.seconds(max(0.0, one.aim - self.now())),
                budget=one.budget,
                prompt_tokens=prompt,
                reserve=habit.tokens,
                previous=previous if use.retained else "",
                model="m",
                prompt_segments=parts,
            )
            leaves = self.chance.random() * 0.5 if self.chance.random() < habit.leaves else None
            found = await self.ask(use, made, leaves)
            if found.good():
                one.turns += 1
                if use.retained:
                    self.kept.append((one.name, use, found))
                return found
            if found.outcome == GONE and leaves is not None:
                raise Stop(STOPPED, "its caller left")
            if found.refusal is not None and found.refusal.result is result.ResultCode.OUT_OF_BUDGET:
                if not one.runaway or go == 2:
                    raise Stop(SPENT, "the budget is spent")
            elif found.refusal is not None and found.refusal.result.name in FINAL:
                raise Stop(FAILED, f"{found.call.attempt}: {found.refusal}")
            elif found.whole and found.status in ENDS:
                raise Stop(FAILED, f"{found.call.attempt}: {found.status}")
        raise Stop(FAILED, f"turn {found.call.attempt} three times: {found.refusal or found.outcome}")

    async def tool(self, one: Program, session: str, use: Use) -> Try:
        """One tool call of a program; keyed ones are sent again now and then after a good answer."""
        method = "GET" if use.kind == http_route.SAFE else "POST"
        body = b"" if method == "GET" else f"<{self.name('b')}>".encode()
        key = self.name("k") if use.kind == http_route.KEYED else ""
        work = use.work * min(4.0, self.chance.expovariate(1.0))
        made = self.make(
            use,
            body,
            method,
            ((worker_server.WORK, b"%.1f" % (work * 1000)),),
            program=one.name,
            session=session,
            program_within=clock.seconds(max(0.0, one.aim - self.now())),
            key=key,
            leaf="tool?a=1",
        )
        leaves = self.chance.random() * 0.15 if self.chance.random() < one.habit.leaves else None
        found = await self.ask(use, made, leaves)
        if found.outcome == GONE and leaves is not None:
            raise Stop(STOPPED, "its caller left")
        if use.kind == http_route.KEYED:
            self.keyed.append((use, made, found))
            if found.good() and self.chance.random() < one.habit.repeats:
                task = asyncio.ensure_future(self.repeat(use, made))
                self.background.add(task)
                task.add_done_callback(self.background.discard)
        if not found.good() and not (
            found.status in (500, 504) or (found.outcome == BROKEN and use.kind == http_route.NON_IDEMPOTENT)
        ):
            raise Stop(FAILED, f"call {found.call.attempt}: {found.refusal or found.outcome} {found.status}")
        return found

    async def repeat(self, use: Use, made: call.Call, times: int = 1, pause: float = 1.0) -> None:
        """Send a keyed request again, through any edges."""
        for _ in range(times):
            await clock.sleep(clock.seconds(self.chance.random() * pause))
            found = await self.once(use, self.again(made, use.within))
            found.repeat = True

    # -- after a closing fault -------------------------------------------------------------------

    async def go_on(self, span: float, keep: float) -> None:
        """After a closing fault: programs go on from kept turns, asking until the span is over; keys are sent again."""
        end = self.now() + span
        kept = [one for one in self.kept if self.now() - one[2].ended < keep - 2 * span]
        keyed = [one for one in self.keyed if self.now() - one[2].began < 20.0]

        async def ask_for(use: Use, behind: Try) -> None:
            while self.now() < end + 2:
                body = f"[again {self.name('g')}]".encode()
                headers = (
                    (worker_server.TOKENS, b"600,20"),
                    (worker_server.PARTS, b"s0:400,again:200"),
                    (worker_server.MODEL, b"m"),
                )
                made = self.make(
                    use,
                    body,
                    headers=headers,
                    program=self.name("q"),
                    session=self.name("z"),
                    budget=10_000,
                    reserve=20,
                    previous=behind.call.attempt,
                    prompt_tokens=600,
                )
                found = await self.ask(use, made)
                if found.good():
                    return
                await clock.sleep(clock.seconds(0.3))

        async with asyncio.TaskGroup() as group:
            for _, use, behind in self.chance.sample(kept, min(6, len(kept))):
                group.create_task(ask_for(use, behind))
            for use, made, _ in self.chance.sample(keyed, min(6, len(keyed))):
                group.create_task(self.repeat(use, made, 4, 3.0))


def first_of(group: BaseExceptionGroup) -> Stop:
    """The first Stop within groups of groups."""
    for one in group.exceptions:
        if isinstance(one, BaseExceptionGroup):
            return first_of(one)
        return one
