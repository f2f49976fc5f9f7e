"""A worker's life behind HTTP/1.1: it serves calls by an engine or by slots, notes what it saw, and has its troubles.

The stand-in speaks a neutral dialect with header names of its own; ``StandDialect`` tells the product what they mean.
"""

import asyncio
import contextlib
import dataclasses
import datetime
import hashlib
import json
import random

import h11

from aspencroft.emulator import engine
from aspencroft.proxy import call
from aspencroft.runtime import clock, environment, supervision

ATTEMPT, SEAL, NOT_RUN, LOAD, INSTANCE = b"x-attempt", b"x-seal", b"x-not-run", b"x-load", b"x-instance"
EXPECT, REMAINING, WORK, TOKENS, PARTS, MODEL = (
    b"x-expect-instance",
    b"x-remaining-ms",
    b"x-work-ms",
    b"x-tokens",
    b"x-parts",
    b"x-model",
)
RESUME, KEY, BUDGET, PREVIOUS, PROGRAM, SESSION = (
    b"x-resume-after",
    b"x-key",
    b"x-budget",
    b"x-previous",
    b"x-program",
    b"x-session",
)
TENANT = b"x-tenant"
HOPS = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"content-length", LOAD, INSTANCE))
READ = 1 << 16
PIECES = clock.seconds(0.05)
STREAM = b"text/event-stream"


class StandDialect:
    """What the stand-in's headers mean to the product."""

    def request_headers(self, one: call.Call, instance_name: str, remaining: datetime.timedelta) -> call.Headers:
        """The headers that a worker gets: the caller's, with the time left, the worker that is meant and the tenant."""
        kept = tuple((name, value) for name, value in one.headers if name.lower() not in (EXPECT, REMAINING, TENANT))
        left = max(1, int(remaining.total_seconds() * 1000))
        tenant = ((TENANT, one.tenant.encode()),) if one.tenant else ()
        return (*kept, (REMAINING, b"%d" % left), (EXPECT, instance_name.encode()), *tenant)

    def resume_headers(self, headers: call.Headers, last_event: str) -> call.Headers:
        """The headers of a request that continues a stream behind an event; unchanged when that is none."""
        kept = tuple((name, value) for name, value in headers if name.lower() != RESUME)
        return (*kept, (RESUME, last_event.encode())) if last_event else headers

    def head(self, status: int, headers: call.Headers, attempt: str) -> call.Head:
        """What the head of an answer says."""
        known = {name.lower(): value for name, value in headers}
        load = tuple(int(one) for one in known[LOAD].split(b",")) if LOAD in known else None
        return call.Head(
            status,
            headers,
            known.get(ATTEMPT, b"").decode(),
            NOT_RUN in known or status == 421,
            status == 421,
            load,
            b"close" in known.get(b"connection", b"").lower(),
            known.get(INSTANCE, b"").decode(),
            SEAL in known,
        )

    def accepts(self, attempt: str):
        """Whether an answer is one to the request with this id, for ``Pool.request``."""

        def accept(status: int, headers: call.Headers) -> bool:
            head = self.head(status, headers, attempt)
            return head.attempt == attempt or (not head.attempt and head.not_run)

        return accept

    def answer_headers(self, headers: call.Headers) -> call.Headers:
        """The headers that go on to the caller."""
        return tuple((name, value) for name, value in headers if name.lower() not in HOPS)


@dataclasses.dataclass
class Faults:
    """A worker's troubles: the share of answers that meet each.

    ``lost`` is run and then reset, ``silent`` is run and never answered, ``cut`` ends in the middle, ``garbage`` is no
    answer, ``surplus`` is followed by an answer in excess at once, ``late`` by one in the place of the next;
    ``failed`` is
    the worker's own 500; ``closes`` ends the connection with a whole answer, which the worker says;
    ``pieces`` brings the
    head a moment before the body.
    """

    lost: float = 0.0
    silent: float = 0.0
    cut: float = 0.0
    garbage: float = 0.0
    surplus: float = 0.0
    late: float = 0.0
    failed: float = 0.0
    closes: float = 0.0
    pieces: float = 0.0


@dataclasses.dataclass(frozen=True)
class Work:
    """How a worker works: an engine's shape or plain slots, and what bounds its connections."""

    shape: engine.Shape | None = None
    slots: int = 6
    queue: int = 24
    connections: int = 100
    handshake: datetime.timedelta = clock.seconds(0.001)
    idle: datetime.timedelta = clock.seconds(5)
    tells_load: bool = True
    report_lag: datetime.timedelta = clock.seconds(0.2)
    event_bytes: int = 40
    answer_bytes: int = 200

    def places(self) -> int:
        """How many requests are worked on at once.

        Example: ``Work(slots=6).places() == 6``
        """
        return self.shape.slots if self.shape is not None else self.slots


@dataclasses.dataclass
class Arrival:
    """A request that reached a worker; ``taken`` unless it was meant for another. Times are the loop's seconds."""

    at: float
    attempt: str
    taken: bool


@dataclasses.dataclass
class Run:
    """A request that a worker began to work on, and what came of it.

    ``output`` is the whole body that the worker made (of a stream, all events put out); ``whole`` tells whether the
    answer was handed over to its end, ``broke`` that the worker itself broke it off or lost it.
    """

    attempt: str
    method: str
    target: str
    host: str
    headers: call.Headers
    body: bytes
    began: float
    seal: str
    status: int = 0
    output: bytes = b""
    events: int = 0
    first: float | None = None
    ended: float | None = None
    whole: bool = False
    broke: bool = False


class Worker:
    """One life of a worker: a new name each time that it starts."""

    def __init__(self, name: str, service: str, zone: str, work: Work, chance: random.Random, slowness: float = 1.0):
        self.name = name
        self.service = service
        self.zone = zone
        self.work = work
        self.chance = chance
        self.faults = Faults()
        self.leaving = False
        self.ended = False
        self.engine = engine.Engine(work.shape, slowness) if work.shape is not None else None
        self.slots = engine.Slots(work.slots, work.queue, slowness)
        self.arrivals: list[Arrival] = []
        self.runs: list[Run] = []
        self.turned_away = 0
        self.open = 0
        self.report: dict = {}

    # -- what is told ----------------------------------------------------------------------------

    def load(self) -> tuple[int, int, int]:
        """Requests running and waiting, and slots."""
        if self.engine is not None:
            return len(self.engine.active), len(self.engine.waiting), self.work.places()
        return self.slots.running, len(self.slots.waiting), self.work.places()

    def look(self) -> dict:
        """What a report tells of this moment."""
        running, waiting, _ = self.load()
        memory = self.work.shape.memory if self.work.shape is not None else 0
        return {
            "active": running,
            "queued": waiting,
            "memory-in-use": self.engine.in_use() if self.engine else 0,
            "memory": memory,
            "instance": self.name,
        }

    async def report_late(self) -> None:
        """Keep a report that lags."""
        while True:
            self.report = self.look()
            await clock.sleep(self.work.report_lag)

    # -- serving ---------------------------------------------------------------------------------

    async def serve(self, network: environment.Network, address: str) -> None:
        """Serve at an address until this life ends."""
        accepted = await network.listen(address)
        async with supervision.Group() as group:
            group.create_task(self.report_late())
            if self.engine is not None:
                group.create_task(self.engine.run())
            while True:
                channel = await accepted.get()
                if self.open >= self.work.connections:
                    channel.abort()
                else:
                    group.create_task(self.converse(channel))

    async def converse(self, channel: environment.Channel) -> None:
        """One connection, from its first byte to its end."""
        self.open += 1
        try:
            await clock.sleep(self.work.handshake)
            await Conversation(self, channel).run()
            channel.close()
        except (OSError, EOFError, Broken, h11.ProtocolError):
            channel.abort()
        finally:
            self.open -= 1

    def seal(self, attempt: str, number: int) -> str:
        """The stamp of a run."""
        digest = hashlib.blake2b(f"{self.name} {number} {attempt}".encode(), digest_size=4)
        return f"{self.name}.{number}.{digest.hexdigest()}"

    def begin(self, request: "Asked") -> Run:
        """Note that work on a request begins."""
        run = Run(
            request.attempt,
            request.method,
            request.target,
            request.host,
            request.headers,
            request.body,
            clock.now().total_seconds(),
            self.seal(request.attempt, len(self.runs)),
        )
        self.runs.append(run)
        return run

    def hit(self, share: float) -> bool:
        """Whether a trouble of this share happens now."""
        return share > 0 and self.chance.random() < share


@dataclasses.dataclass(frozen=True)
class Asked:
    """A request as a worker read it."""

    method: str
    target: str
    host: str
    headers: call.Headers
    body: bytes

    def text(self, name: bytes) -> str:
        """A header's text; empty when it is not there."""
        return next((value.decode() for held, value in self.headers if held.lower() == name), "")

    @property
    def attempt(self) -> str:
        """The id of the caller's attempt."""
        return self.text(ATTEMPT)


class Broken(Exception):
    """This connection ends here, by the worker's own doing."""


class Conversation:
    """The requests of one connection, one after the other."""

    def __init__(self, worker: Worker, channel: environment.Channel):
        self.worker = worker
        self.channel = channel
        self.connection = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 17)
        self.came = asyncio.Event()
        self.closed = asyncio.Event()
        self.owed = b""

    async def run(self) -> None:
        """Serve until the connection ends, from either side."""
        pumping = asyncio.ensure_future(self.pump())
        try:
            while await self.exchange():
                pass
        finally:
            pumping.cancel()

    async def pump(self) -> None:
        """Take in what comes."""
        while True:
            try:
                data = await self.channel.read_some(READ)
            except (OSError, EOFError):
                data = b""
            if not data:
                self.closed.set()
                self.came.set()
                return
            self.connection.receive_data(data)
            self.came.set()

    async def receive(self) -> Asked | None:
        """The next request; none when the connection ends or stays idle for too long."""
        head, body = None, []
        while True:
            event = self.connection.next_event()
            if event is h11.NEED_DATA:
                if self.closed.is_set():
                    return None
                self.came.clear()
                try:
                    async with clock.limit(self.worker.work.idle):
                        await self.came.wait()
                except TimeoutError:
                    return None
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
                host = next((value.decode("latin-1") for name, value in headers if name == b"host"), "")
                return Asked(head.method.decode(), head.target.decode("latin-1"), host, headers, b"".join(body))
            else:
                return None

    async def exchange(self) -> bool:
        """One request and its answer; whether the connection goes on."""
        asked = await self.receive()
        if asked is None:
            return False
        if self.owed:
            await self.channel.write(self.owed)
            self.owed = b""
        working = asyncio.ensure_future(self.serve(asked))
        closing = asyncio.ensure_future(self.closed.wait())
        try:
            await asyncio.wait((working, closing), return_when=asyncio.FIRST_COMPLETED)
            if not working.done():
                return False
            await working
        finally:
            closing.cancel()
            if not working.done():
                working.cancel()
                with contextlib.suppress(asyncio.CancelledError, Broken, OSError):
                    await working
        if self.connection.our_state is not h11.DONE or self.connection.their_state is not h11.DONE:
            return False
        self.connection.start_next_cycle()
        return True

    async def serve(self, asked: Asked) -> None:
        """Decide on a request and do its work."""
        worker, now = self.worker, clock.now()
        if asked.target == "/report":
            return await self.say(asked, 200, json.dumps(worker.report).encode(), run=None)
        if asked.target == "/health":
            return await self.say(asked, 503 if worker.leaving else 200, b"", run=None)
        wanted = asked.text(EXPECT)
        meant = not wanted or wanted == worker.name
        worker.arrivals.append(Arrival(now.total_seconds(), asked.attempt, meant))
        if not meant:
            return await self.say(asked, 421, b"another worker", run=None)
        if not asked.attempt:
            return await self.say(asked, 400, b"no id", run=None, not_run=True)
        left = float(asked.text(REMAINING) or 30_000)
        end = now + clock.seconds(left / 1000)
        try:
            if worker.engine is not None and asked.text(TOKENS):
                await self.generate(asked, end)
            else:
                await self.work(asked, end)
        except engine.Full:
            worker.turned_away += 1
            await self.say(asked, 503, b"full", run=None, not_run=True)
        except engine.Late as late:
            if not late.ran:
                await self.say(asked, 503, b"late", run=None, not_run=True)

    async def work(self, asked: Asked, end: datetime.timedelta) -> None:
        """A plain service's work: a slot for so many milliseconds."""
        worker = self.worker
        await worker.slots.enter(end)
        try:
            run = worker.begin(asked)
            span = clock.seconds(float(asked.text(WORK) or 10) / 1000) * worker.slots.slowness
            within = end - clock.now()
            await clock.sleep(min(span, within))
        finally:
            worker.slots.leave()
        status = 504 if span > within else 500 if worker.hit(worker.faults.failed) else 200
        text = f"{run.seal} {asked.attempt} ".encode()
        run.output = (text * (1 + worker.work.answer_bytes // len(text)))[: worker.work.answer_bytes]
        await self.say(asked, status, run.output, run)

    async def generate(self, asked: Asked, end: datetime.timedelta) -> None:
        """A model worker's work: a stream of events."""
        worker = self.worker
        most = int(asked.text(TOKENS).split(",")[1])
        after = int(asked.text(RESUME) or 0)
        parts = tuple(
            (name, int(count)) for name, count in (one.split(":") for one in asked.text(PARTS).split(",") if one)
        )
        done = after * worker.work.shape.stride
        if after and done >= most:
            return await self.put_out_nothing(asked)
        job = engine.Job(asked.text(MODEL), parts, max(1, most - done), end)
        worker.engine.offer(job)
        try:
            await self.put_out(asked, job, after)
        finally:
            worker.engine.drop(job)

    async def put_out_nothing(self, asked: Asked) -> None:
        """Answer a stream that is continued behind its last event: just its end is left."""
        run = self.worker.begin(asked)
        run.status = 200
        run.first = run.ended = clock.now().total_seconds()
        more = (b"content-type", STREAM), (b"transfer-encoding", b"chunked")
        await self.send(self.head_of(asked, 200, run, more))
        await self.finish(asked, run)

    async def put_out(self, asked: Asked, job: engine.Job, after: int) -> None:
        """Hand a job's events over as they come."""
        worker, told, run = self.worker, 0, None
        cut_at = self.chance_of_cut(job)
        while True:
            if run is None and job.ran_at is not None:
                run = worker.begin(asked)
                run.status = 200
            while told < worker.engine.events(job):
                if not told:
                    more = (b"content-type", STREAM), (b"transfer-encoding", b"chunked")
                    await self.send(self.head_of(asked, 200, run, more))
                told += 1
                number = after + told
                text = f"{run.seal} {number} ".encode()
                data = (text * (1 + worker.work.event_bytes // len(text)))[: worker.work.event_bytes]
                event = b"id: %d\ndata: %s\n\n" % (number, data)
                run.output += event
                run.events = told
                run.first = run.first or clock.now().total_seconds()
                await self.send(h11.Data(event))
                if told == cut_at:
                    run.broke, run.ended = True, clock.now().total_seconds()
                    raise Broken
            if job.state == engine.OVER:
                break
            job.news.clear()
            await job.news.wait()
        if not job.whole():
            if run is not None:
                run.ended, run.broke = clock.now().total_seconds(), True
            if told:
                raise Broken
            if run is None:
                raise engine.Late(False)
            run.status = 504
            run.output = b"late"
            return await self.say(asked, 504, run.output, run)
        run.ended = clock.now().total_seconds()
        if cut_at:
            run.broke = True
            if worker.hit(0.5):
                await self.closed.wait()
            raise Broken
        await self.finish(asked, run)

    def chance_of_cut(self, job: engine.Job) -> int:
        """After which event a stream breaks off; beyond the last for one whose end is lost, none for 0."""
        worker = self.worker
        if worker.hit(worker.faults.cut):
            return 1 + worker.chance.randrange(max(1, job.most // worker.work.shape.stride))
        if worker.hit(worker.faults.lost + worker.faults.silent):
            return 1 << 30
        return 0

    # -- answers ---------------------------------------------------------------------------------

    def head_of(
        self, asked: Asked, status: int, run: Run | None, more: call.Headers, not_run: bool = False
    ) -> h11.Response:
        """The head of an answer."""
        worker = self.worker
        headers = [(INSTANCE, worker.name.encode()), *more]
        if asked.attempt:
            headers.append((ATTEMPT, asked.attempt.encode()))
        if run is not None:
            headers.append((SEAL, run.seal.encode()))
        if not_run:
            headers.append((NOT_RUN, b"1"))
        if worker.work.tells_load:
            headers.append((LOAD, b"%d,%d,%d" % worker.load()))
        if worker.leaving or worker.hit(worker.faults.closes):
            headers.append((b"connection", b"close"))
        else:
            headers.append((b"keep-alive", b"timeout=%d" % int(worker.work.idle.total_seconds())))
        return h11.Response(status_code=status, headers=headers)

    async def send(self, event) -> None:
        """Write a part of an answer."""
        await self.channel.write(self.connection.send(event))

    async def say(self, asked: Asked, status: int, body: bytes, run: Run | None, not_run: bool = False) -> None:
        """Write a whole answer, or what the worker's troubles make of it."""
        worker = self.worker
        if run is not None:
            run.status, run.first = status, clock.now().total_seconds()
            run.ended = run.first
            if worker.hit(worker.faults.lost):
                run.broke = True
                raise Broken
            if worker.hit(worker.faults.silent):
                run.broke = True
                await self.closed.wait()
                raise Broken
            if worker.hit(worker.faults.garbage):
                run.broke = True
                await self.channel.write(bytes(worker.chance.randrange(1, 256) for _ in range(60)) + b"\r\n\r\n")
                raise Broken
        head = self.connection.send(
            self.head_of(asked, status, run, ((b"content-length", b"%d" % len(body)),), not_run)
        )
        raw = head + (self.connection.send(h11.Data(body)) if body else b"") + self.connection.send(h11.EndOfMessage())
        if run is not None and worker.hit(worker.faults.cut):
            run.broke = True
            await self.channel.write(raw[: len(raw) - 1 - worker.chance.randrange(len(body) or 1)])
            raise Broken
        if run is not None and worker.hit(worker.faults.pieces):
            await self.channel.write(head)
            await clock.sleep(PIECES)
            await self.channel.write(raw[len(head) :])
        else:
            await self.channel.write(raw)
        if run is not None:
            run.whole = True
            await self.exceed(raw)

    async def finish(self, asked: Asked, run: Run) -> None:
        """End a stream."""
        await self.send(h11.EndOfMessage())
        run.whole = True
        await self.exceed(
            b"HTTP/1.1 200 OK\r\nx-attempt: %s\r\nx-seal: %s\r\ncontent-length: 2\r\n\r\nno"
            % (asked.attempt.encode(), run.seal.encode())
        )

    async def exceed(self, raw: bytes) -> None:
        """Send an answer in excess, at once or in the place of the next."""
        worker = self.worker
        if worker.hit(worker.faults.surplus):
            await self.channel.write(raw)
        elif worker.hit(worker.faults.late):
            self.owed = raw
