"""A model worker's engine and a plain service's slots, as the users' pages describe them; time is the loop's."""

import asyncio
import collections
import dataclasses
import datetime

from aspencroft.runtime import clock

WAITING, READING, RUNNING, OVER = "waiting", "reading", "running", "over"


class Full(Exception):
    """The request was turned away: the queue is full, or it is larger than the memory. It did not run."""


class Late(Exception):
    """The request's time passed; ``ran`` tells whether it had begun to run."""

    def __init__(self, ran: bool):
        super().__init__("the time passed")
        self.ran = ran


@dataclasses.dataclass(frozen=True)
class Shape:
    """How an engine works.

    A step puts out one token of each running request; it takes ``step``, ``step_more`` for each request beyond the
    first, and the time for the prompt tokens read within it (at most ``chunk``, ``reading`` of them a second).
    ``memory`` is in tokens; ``stride`` tokens make an event;
    ``at_once`` steps are modelled in one go when nothing is read.
    """

    slots: int = 8
    queue: int = 24
    step: datetime.timedelta = clock.seconds(0.002)
    step_more: datetime.timedelta = clock.seconds(0.0001)
    reading: float = 100_000.0
    chunk: int = 2048
    memory: int = 60_000
    stride: int = 10
    at_once: int = 5


class Job:
    """One request in an engine: its prompt by parts, the tokens that it puts out, and how far it got."""

    def __init__(self, model: str, parts: tuple[tuple[str, int], ...], most: int, end: datetime.timedelta):
        self.parts = tuple((f"{model} {name}", count) for name, count in parts)
        self.prompt = sum(count for _, count in parts)
        self.most = most
        self.end = end
        self.state = WAITING
        self.made = 0
        self.unread = 0
        self.put_back = 0
        self.ran_at: datetime.timedelta | None = None
        self.late = False
        self.news = asyncio.Event()

    def whole(self) -> bool:
        """Whether all tokens were put out."""
        return self.made >= self.most


class Engine:
    """Slots in a batch, prompts read in pieces between others' tokens, memory shared with kept parts.

    ``offer`` and ``drop`` may be called at any time; ``begin_step`` and ``end_step`` are the model itself, driven
    by ``run``.
    """

    def __init__(self, shape: Shape, slowness: float = 1.0):
        self.shape = shape
        self.slowness = slowness
        self.waiting: collections.deque[Job] = collections.deque()
        self.active: list[Job] = []
        self.kept: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.ready: set[str] = set()
        self.pins: collections.Counter = collections.Counter()
        self.hurry = asyncio.Event()
        self.counts: collections.Counter = collections.Counter()

    # -- requests --------------------------------------------------------------------------------

    def offer(self, job: Job) -> None:
        """Take a request in, or raise Full."""
        free = self.shape.slots - len(self.active)
        if job.prompt + job.most > self.shape.memory or len(self.waiting) >= self.shape.queue + free:
            raise Full
        self.waiting.append(job)
        self.hurry.set()

    def drop(self, job: Job) -> None:
        """Forget a request, wherever it is; what it read stays kept."""
        if job in self.active:
            self.active.remove(job)
            self.unpin(job)
        elif job in self.waiting:
            self.waiting.remove(job)
        self.over(job)

    def over(self, job: Job) -> None:
        """A request's work is at an end."""
        job.state = OVER
        job.news.set()

    # -- memory ----------------------------------------------------------------------------------

    def in_use(self) -> int:
        """Tokens of memory that cannot give way."""
        return sum(self.kept[name] for name in self.pins) + sum(one.made for one in self.active)

    def taken(self) -> int:
        """Tokens of memory taken, kept parts included."""
        return sum(self.kept.values()) + sum(one.made for one in self.active)

    def held(self, job: Job) -> int:
        """How many of a prompt's first parts are kept: a part counts only if all before it are kept too."""
        for place, (name, _) in enumerate(job.parts):
            if name not in self.ready:
                return place
        return len(job.parts)

    def unpin(self, job: Job) -> None:
        """A request leaves its parts; those that were not read whole are gone, the others are kept while there is
        room.
        """
        for name, _ in job.parts:
            self.pins[name] -= 1
            if not self.pins[name]:
                del self.pins[name]
                if name in self.ready:
                    self.kept.move_to_end(name)
                else:
                    del self.kept[name]

    def make_room(self, tokens: int) -> bool:
        """Let the parts longest unused give way until so many tokens fit; whether they do."""
        taken = self.taken()
        if taken + tokens <= self.shape.memory:
            return True
        for name in [name for name in self.kept if name not in self.pins]:
            taken -= self.kept.pop(name)
            self.ready.discard(name)
            self.counts["parts gave way"] += 1
            if taken + tokens <= self.shape.memory:
                return True
        return False

    # -- steps -----------------------------------------------------------------------------------

    def admit(self, now: datetime.timedelta) -> None:
        """Let requests in, in the order in which they came, while slots and memory last."""
        for job in [one for one in (*self.waiting, *self.active) if one.end <= now]:
            job.late = True
            self.drop(job)
        while self.waiting and len(self.active) < self.shape.slots:
            job = self.waiting[0]
            held = self.held(job)
            for name, _ in job.parts:
                self.pins[name] += 1
            fresh = [(name, count) for name, count in job.parts if name not in self.kept]
            if not self.make_room(sum(count for _, count in fresh) + job.made + 1):
                for name, _ in job.parts:
                    self.pins[name] -= 1
                    if not self.pins[name]:
                        del self.pins[name]
                return
            self.waiting.popleft()
            self.kept.update(fresh)
            for name, _ in job.parts:
                self.kept.move_to_end(name)
            job.unread = sum(count for _, count in job.parts[held:]) + job.made
            self.counts["tokens read"] += job.unread
            self.counts["tokens found"] += job.prompt + job.made - job.unread
            job.state = READING
            self.active.append(job)

    def put_back(self, tokens: int) -> None:
        """When memory runs out, put the newest request back to the front of the queue, to be read anew."""
        while len(self.active) > 1 and not self.make_room(tokens):
            job = self.active.pop()
            self.unpin(job)
            job.state = WAITING
            job.put_back += 1
            self.waiting.appendleft(job)
            self.counts["put back"] += 1

    def begin_step(self, now: datetime.timedelta) -> tuple[datetime.timedelta, int, list[tuple[Job, int]]] | None:
        """What is done next: how long it takes, tokens for each running request, prompt tokens for reading ones."""
        self.admit(now)
        self.put_back(sum(one.state == RUNNING for one in self.active) * self.shape.at_once)
        if not self.active:
            return None
        running = [one for one in self.active if one.state == RUNNING]
        reads, left = [], self.shape.chunk
        for job in self.active:
            if job.state == READING and (left or not job.unread):
                piece = min(left, job.unread)
                left -= piece
                reads.append((job, piece))
        steps = 1
        if not reads:
            stride = self.shape.stride
            steps = min(self.shape.at_once, *(min(stride - one.made % stride, one.most - one.made) for one in running))
            steps = max(1, steps)
        span = (self.shape.step + self.shape.step_more * max(0, len(self.active) - 1)) * steps
        span += clock.seconds(sum(piece for _, piece in reads) / self.shape.reading)
        return span * self.slowness, steps, reads

    def end_step(self, now: datetime.timedelta, steps: int, reads: list[tuple[Job, int]]) -> None:
        """A step is done: tokens come out, prompts that are read whole put out their first."""
        for job in [one for one in self.active if one.state == RUNNING]:
            job.made = min(job.most, job.made + steps)
            self.progress(job)
        for job, piece in reads:
            if job.state != READING:
                continue
            job.unread -= piece
            if not job.unread:
                job.state = RUNNING
                self.ready.update(name for name, _ in job.parts)
                if job.ran_at is None:
                    job.ran_at = now
                    job.news.set()
                job.made = min(job.most, job.made + 1)
                self.progress(job)

    def progress(self, job: Job) -> None:
        """Tell of a whole event, and let a request that is done go."""
        if job.whole():
            self.active.remove(job)
            self.unpin(job)
            self.over(job)
        elif job.made % self.shape.stride == 0:
            job.news.set()

    async def run(self) -> None:
        """Step for as long as there is work, and wait for more."""
        while True:
            step = self.begin_step(clock.now())
            if step is None:
                self.hurry.clear()
                await self.hurry.wait()
                continue
            span, steps, reads = step
            await clock.sleep(span)
            self.end_step(clock.now(), steps, reads)

    def events(self, job: Job) -> int:
        """How many events of a request are ready."""
        whole, rest = divmod(job.made, self.shape.stride)
        return whole + (job.whole() and rest > 0)


class Slots:
    """A plain service: so many requests at once, a few more in a queue, in the order in which they come."""

    def __init__(self, slots: int, queue: int, slowness: float = 1.0):
        self.slots = slots
        self.queue = queue
        self.slowness = slowness
        self.running = 0
        self.waiting: collections.deque[asyncio.Future] = collections.deque()

    async def enter(self, end: datetime.timedelta) -> None:
        """Wait for a slot; Full or Late when there is none."""
        if self.running < self.slots:
            self.running += 1
            return
        if len(self.waiting) >= self.queue:
            raise Full
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            async with clock.limit(end - clock.now()):
                await turn
        except TimeoutError:
            self.stand_back(turn)
            raise Late(False) from None
        except asyncio.CancelledError:
            self.stand_back(turn)
            raise

    def stand_back(self, turn: asyncio.Future) -> None:
        """Leave the queue, or give a slot back that came in the same moment."""
        if turn in self.waiting:
            self.waiting.remove(turn)
        elif turn.done() and not turn.cancelled():
            self.leave()

    def leave(self) -> None:
        """Give a slot to the next one."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
