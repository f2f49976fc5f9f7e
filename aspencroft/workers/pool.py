"""Connections to workers: one request at a time on each, kept for the next, and never trusted longer than is safe."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import re

from aspencroft.errors import result
from aspencroft.proxy import call
from aspencroft.runtime import clock, environment

CONNECT = clock.seconds(0.5)
SILENCE = clock.seconds(4)
SWEEP = clock.seconds(0.25)
IDLE = clock.seconds(4)
MARGIN = clock.seconds(1)
EARLIER = 0.7
SHORTEST = clock.seconds(0.05)
DISTRUST = clock.seconds(30)
MOST_OPEN = 1500
READ = 1 << 16
LARGEST_HEAD = 1 << 16
LARGEST_BODY = 64 << 20
LARGEST_LINE = 4096
MOST_INTERIM = 8
AT_ONCE = 1 << 15
BODIED = frozenset(("POST", "PUT", "PATCH"))
FRAMING = frozenset((b"content-length", b"transfer-encoding", b"connection"))
STATUS = re.compile(rb"HTTP/1\.1 ([1-9]\d\d)(?: [^\0]*)?")
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\0]*)")
TARGET = re.compile(r"[\x21-\x7e\x80-\xff]+")
METHOD = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
SIZE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\0]*)?")
LENGTH = re.compile(rb"\d{1,15}")
TIMEOUT = re.compile(rb"(?:^|[,;\s])timeout\s*=\s*(\d{1,6})", re.IGNORECASE)

Accepts = collections.abc.Callable[[int, call.Headers], bool]


class Lost(result.RequestError):
    """A connection ended before any byte of an answer; ``reused`` when it had carried another request before."""

    def __init__(self, reused: bool, detail: str):
        super().__init__(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, detail)
        self.reused = reused


class Ended(Exception):
    """The other side closed or reset the connection, or broke the protocol; the text says which."""


@dataclasses.dataclass(frozen=True)
class Head:
    r"""The head of an answer, and how its body is bounded: a length, or none for chunks."""

    status: int
    headers: call.Headers
    length: int | None
    keeps: bool
    idle: datetime.timedelta


def head_of(raw: bytes, bodiless: bool = False) -> Head:
    r"""The head that bytes hold (without the empty line); Ended when they are none or do not bound a body."""
    lines = raw.split(b"\r\n")
    status = STATUS.fullmatch(lines[0])
    if status is None or raw.count(b"\n") != len(lines) - 1 or raw.count(b"\r") != len(lines) - 1:
        raise Ended("what came is no HTTP/1.1 head")
    code, headers = int(status[1]), []
    lengths, encodings, options, kept = set(), [], b"", b""
    for line in lines[1:]:
        field = FIELD.fullmatch(line)
        if field is None:
            raise Ended("what came is no HTTP/1.1 header")
        name, value = field[1], field[2].rstrip(b" \t")
        headers.append((name, value))
        low = name.lower()
        if low == b"content-length":
            lengths.add(value)
        elif low == b"transfer-encoding":
            encodings.append(value.lower())
        elif low == b"connection":
            options += b"," + value.lower()
        elif low == b"keep-alive":
            kept += b"," + value
    length = None
    if bodiless or code < 200 or code in (204, 304):
        length = 0
    elif encodings:
        if encodings != [b"chunked"] or lengths:
            raise Ended("the body is bounded in no known way")
    elif len(lengths) == 1 and LENGTH.fullmatch(only := next(iter(lengths))):
        length = int(only)
    else:
        raise Ended("the body is bounded in no known way")
    told = TIMEOUT.search(kept)
    idle = IDLE
    if told is not None:
        whole = clock.seconds(int(told[1]))
        idle = max(whole - MARGIN, whole / 2)
    return Head(code, tuple(headers), length, b"close" not in [one.strip() for one in options.split(b",")], idle)


def request_head(method: str, target: str, headers: call.Headers, size: int) -> bytes:
    """The bytes of a request's head; MALFORMED when it could be read as anything else than what was given."""
    if METHOD.fullmatch(method) is None or TARGET.fullmatch(target) is None:
        raise result.RequestError(result.ResultCode.MALFORMED, detail="no method or target")
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines.extend(name + b": " + value for name, value in headers if name.lower() not in FRAMING)
    if size or method in BODIED:
        lines.append(b"Content-Length: %d" % size)
    lines.extend((b"", b""))
    raw = b"\r\n".join(lines)
    if raw.count(b"\n") != len(lines) - 1 or raw.count(b"\r") != len(lines) - 1 or b"\0" in raw:
        raise result.RequestError(result.ResultCode.MALFORMED, detail="a header holds a line's end")
    return raw


class Connection:
    """One stream to a worker's address, and the bytes that came and were not looked at yet."""

    def __init__(self, address: str, channel: environment.Channel):
        self.address = address
        self.channel = channel
        self.buffer = bytearray()
        self.retire = clock.ZERO
        self.since = clock.ZERO
        self.idled = clock.ZERO
        self.uses = 0
        self.expired = False
        self.timer: asyncio.TimerHandle | None = None
        self.writing: asyncio.Task | None = None

    async def fill(self) -> None:
        """Wait for more bytes; Ended when none will come."""
        try:
            data = await self.channel.read_some(READ)
        except (OSError, EOFError) as error:
            raise Ended(f"reset: {error!r}") from None
        if not data:
            raise Ended("closed")
        self.buffer += data

    async def line(self) -> bytes:
        """The next line, without its end."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            if len(self.buffer) > LARGEST_LINE:
                raise Ended("a line without end")
            await self.fill()
        raw = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return raw

    def expire(self) -> None:
        """The time of the request under way is over."""
        self.expired = True
        self.channel.abort()

    def idle(self, now: datetime.timedelta) -> bool:
        """Whether the connection may carry another request at this moment."""
        return now < self.retire and not self.buffer and self.channel.quiet()


class Response:
    """A worker's answer, whose head was read; it must be closed.

    ``status`` and ``headers`` are the worker's own; ``reused`` says that the connection carried another request
    before.
    """

    def __init__(self, pool: "Pool", connection: Connection, head: Head):
        self.pool = pool
        self.connection = connection
        self.status = head.status
        self.headers = head.headers
        self.reused = connection.uses > 0
        self.head = head
        self.whole = False
        self.closed = False

    async def parts(self) -> collections.abc.AsyncIterator[bytes]:
        """The body's bytes as they come; a Refusal when it is cut short or the time is over."""
        connection, left = self.connection, self.head.length
        buffer = connection.buffer
        try:
            if left is None:
                while size := await self.chunk_size():
                    while size:
                        if not buffer:
                            await connection.fill()
                        part = bytes(buffer[:size])
                        del buffer[:size]
                        size -= len(part)
                        yield part
                    if await connection.line():
                        raise Ended("a chunk is longer than it says")
                trailers = 0
                while line := await connection.line():
                    trailers += len(line)
                    if trailers > LARGEST_HEAD or FIELD.fullmatch(line) is None:
                        raise Ended("what came is no trailer")
            else:
                while left:
                    if not buffer:
                        await connection.fill()
                    part = bytes(buffer[:left])
                    del buffer[:left]
                    left -= len(part)
                    yield part
        except Ended as error:
            raise self.broken(f"answer cut off: {error}") from None
        self.whole = True

    async def chunk_size(self) -> int:
        """The size of the next chunk; 0 is the last one's."""
        size = SIZE.fullmatch(await self.connection.line())
        if size is None:
            raise Ended("what came is no chunk")
        return int(size[1], 16)

    async def read(self) -> bytes:
        """The whole body, at most 64 MiB; a Refusal when it is cut short, too large or the time is over."""
        length, buffer = self.head.length, self.connection.buffer
        if length is not None and length <= len(buffer):
            body = bytes(buffer[:length])
            del buffer[:length]
            self.whole = True
            return body
        if length is not None and length > LARGEST_BODY:
            raise self.broken("answer too large")
        found, size = [], 0
        async for part in self.parts():
            found.append(part)
            size += len(part)
            if size > LARGEST_BODY:
                raise self.broken("answer too large")
        return b"".join(found)

    def broken(self, why: str) -> result.RequestError:
        """Close the connection; the refusal for an answer that cannot be used."""
        refusal = self.pool.broken(self.connection, why)
        self.finish(False)
        return refusal

    async def close(self, reuse: bool) -> None:
        """Give the connection back if that is safe and wanted, or close it; saying it again does nothing."""
        self.finish(reuse)

    def finish(self, reuse: bool) -> None:
        """What ``close`` does, at once."""
        if self.closed:
            return
        self.closed = True
        self.pool.end(self.connection, reuse and self.whole and self.head.keeps, self.head.idle)


class Pool:
    """All connections of a node to workers.

    A connection is used again only after a whole answer with nothing behind it, before the worker would
    close it by itself; where idle connections were found dead, sooner. ``most_open``
    bounds the connections to all addresses together.
    """

    def __init__(self, around: environment.Environment, counts: collections.Counter, most_open: int = MOST_OPEN):
        self.environment = around
        self.counts = counts
        self.most_open = most_open
        self.resting: dict[str, list[Connection]] = {}
        self.short: dict[str, tuple[datetime.timedelta, datetime.timedelta]] = {}
        self.open: collections.Counter = collections.Counter()
        self.total = 0

    async def run(self) -> None:
        """Close idle connections before workers do."""
        while True:
            await clock.sleep(SWEEP)
            self.sweep()

    def sweep(self) -> None:
        """Close the idle connections whose time is over, or on which something came."""
        now = clock.now()
        self.short = {address: known for address, known in self.short.items() if known[1] > now}
        for address, resting in list(self.resting.items()):
            kept = []
            for one in resting:
                if one.idle(now):
                    kept.append(one)
                else:
                    self.retire(one, now)
            if kept:
                self.resting[address] = kept
            else:
                del self.resting[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for resting in self.resting.values():
            for one in resting:
                self.drop(one, "worker connections retired")
        self.resting.clear()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: call.Headers,
        body: bytes,
        end: datetime.timedelta,
        most_connections: int,
        accepts: Accepts | None = None,
    ) -> Response:
        """Send a request once and read the head of its answer.

        ``end`` is on the loop's clock. An answer that ``accepts`` rejects belongs to another request: the
        connection is closed. Refusals: UNREACHABLE, OVERLOADED (no connection is free), MALFORMED and
        DEADLINE that were not run say that no byte of the request left; WORKER_LOST, WORKER_BROKE and
        DEADLINE of unknown outcome that some may have.
        """
        raw = request_head(method, target, headers, len(body)) + body
        connection = await self.obtain(address, end, most_connections)
        connection.timer = asyncio.get_running_loop().call_at(end.total_seconds(), connection.expire)
        try:
            await self.send(connection, raw)
            head = await self.receive(connection, method == "HEAD")
            if accepts is not None and not accepts(head.status, head.headers):
                self.counts["worker answers in excess"] += 1
                raise self.broken(connection, "an answer to another request came")
            return Response(self, connection, head)
        except BaseException:
            self.end(connection, False, clock.ZERO)
            raise

    async def obtain(self, address: str, end: datetime.timedelta, most_connections: int) -> Connection:
        """An idle connection, the one used last first, or a new one."""
        now = clock.now()
        resting = self.resting.get(address)
        while resting:
            one = resting.pop()
            if one.idle(now):
                self.counts["worker connections reused"] += 1
                one.idled = now - one.since
                return one
            self.retire(one, now)
        if now >= end:
            raise result.RequestError(result.ResultCode.DEADLINE)
        if self.open[address] >= most_connections or (self.total >= self.most_open and not self.make_room()):
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="no connection to the worker is free")
        self.open[address] += 1
        self.total += 1
        self.counts["worker connections"] += 1
        channel = None
        try:
            async with clock.limit(min(CONNECT, end - now)):
                channel = await self.environment.network.connect(address)
            channel.watch(SILENCE)
        except BaseException as error:
            self.forget(address)
            if channel is not None:
                channel.abort()
            if isinstance(error, (OSError, TimeoutError)):
                self.counts["worker connections failed"] += 1
                refused = result.ResultCode.DEADLINE if clock.now() >= end else result.ResultCode.UNREACHABLE
                raise result.RequestError(refused, detail=f"{address}: {error!r}"[:200]) from None
            raise
        if clock.now() >= end:
            channel.abort()
            self.forget(address)
            raise result.RequestError(result.ResultCode.DEADLINE)
        return Connection(address, channel)

    async def send(self, connection: Connection, raw: bytes) -> None:
        """Write a request; a large one beside reading, as a worker may answer before it read all."""
        if len(raw) > AT_ONCE:
            connection.writing = asyncio.ensure_future(connection.channel.write(raw))
            connection.writing.add_done_callback(lambda task: task.cancelled() or task.exception())
            return
        try:
            await connection.channel.write(raw)
        except OSError as error:
            raise self.lost(connection, f"{error!r}") from None

    async def receive(self, connection: Connection, bodiless: bool) -> Head:
        """The head of the answer, after any interim ones."""
        buffer, interim = connection.buffer, 0
        while True:
            while (end := buffer.find(b"\r\n\r\n")) < 0:
                if len(buffer) > LARGEST_HEAD:
                    raise self.broken(connection, "a head without end")
                try:
                    await connection.fill()
                except Ended as error:
                    if buffer:
                        raise self.broken(connection, f"head cut off: {error}") from None
                    raise self.lost(connection, f"{error}") from None
                if not b"HTTP/1.1 ".startswith(buffer[:9]):
                    raise self.broken(connection, "what came is no answer")
            try:
                head = head_of(bytes(buffer[:end]), bodiless)
            except Ended as error:
                raise self.broken(connection, f"{error}") from None
            del buffer[: end + 4]
            if head.status >= 200:
                return head
            interim += 1
            if head.status == 101 or interim > MOST_INTERIM:
                raise self.broken(connection, f"interim answer {head.status}")

    def lost(self, connection: Connection, why: str) -> result.RequestError:
        """The refusal for a request whose connection ended before any byte of an answer."""
        if connection.expired:
            return result.RequestError(result.ResultCode.DEADLINE, result.Ran.UNKNOWN)
        self.counts["worker connections lost"] += 1
        if connection.uses:
            self.counts["worker connections dead when used again"] += 1
            self.distrust(connection.address, connection.idled / 2)
        return Lost(connection.uses > 0, f"{connection.address}, use {connection.uses + 1}: {why}"[:300])

    def retire(self, connection: Connection, now: datetime.timedelta) -> None:
        """Close an idle connection; if the worker closed it first, the next ones are to be quicker."""
        if now < connection.retire:
            self.counts["worker connections closed while idle"] += 1
            self.distrust(connection.address, (now - connection.since) * EARLIER)
        self.drop(connection, "worker connections retired")

    def distrust(self, address: str, span: datetime.timedelta) -> None:
        """Idle connections to an address die early: for a while keep them idle for no longer than this."""
        now = clock.now()
        before, _ = self.short.get(address, (IDLE, now))
        span = max(SHORTEST, min(before, span))
        self.short[address] = (span, now + DISTRUST)
        for one in self.resting.get(address, ()):
            one.retire = min(one.retire, one.since + span)

    def broken(self, connection: Connection, why: str) -> result.RequestError:
        """The refusal for an answer that cannot be used."""
        if connection.expired:
            return result.RequestError(result.ResultCode.DEADLINE, result.Ran.UNKNOWN)
        self.counts["worker answers broken"] += 1
        return result.RequestError(
            result.ResultCode.WORKER_BROKE,
            result.Ran.UNKNOWN,
            f"{connection.address}, use {connection.uses + 1}: {why}"[:300],
        )

    def end(self, connection: Connection, reuse: bool, idle: datetime.timedelta) -> None:
        """A request is over: keep its connection for the next, or close it."""
        if connection.timer is not None:
            connection.timer.cancel()
            connection.timer = None
        writing, connection.writing = connection.writing, None
        if writing is not None and (not writing.done() or writing.cancelled() or writing.exception()):
            writing.cancel()
            reuse = False
        connection.uses += 1
        now = clock.now()
        if connection.address in self.short:
            span, until = self.short[connection.address]
            if now < until:
                idle = min(idle, span)
            else:
                del self.short[connection.address]
        connection.since, connection.retire = now, now + idle
        if reuse and not connection.expired and not connection.buffer and now < connection.retire:
            self.resting.setdefault(connection.address, []).append(connection)
            return
        if reuse and connection.buffer:
            self.counts["worker bytes in excess"] += 1
        self.drop(connection, "worker connections closed")

    def drop(self, connection: Connection, why: str) -> None:
        """Close a connection."""
        self.counts[why] += 1
        connection.channel.abort()
        self.forget(connection.address)

    def forget(self, address: str) -> None:
        """One connection fewer."""
        self.total -= 1
        self.open[address] -= 1
        if not self.open[address]:
            del self.open[address]

    def make_room(self) -> bool:
        """Close the idle connection that would be retired first; whether there was one."""
        found = min(
            (resting[0] for resting in self.resting.values() if resting),
            key=lambda one: one.retire,
            default=None,
        )
        if found is None:
            return False
        self.resting[found.address].remove(found)
        self.drop(found, "worker connections retired")
        return True
