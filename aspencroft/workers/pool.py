"""HTTP/1.1 connections to workers, one request at a time on each, reused only as long as that is safe."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import re

from aspencroft.errors import result
from aspencroft.proxy import call
from aspencroft.runtime import clock, environment

CONNECT_TIMEOUT = clock.seconds(0.5)
SILENCE_TIMEOUT = clock.seconds(4)
SWEEP_INTERVAL = clock.seconds(0.25)
DEFAULT_IDLE_TIME = clock.seconds(4)
IDLE_TIME_MARGIN = clock.seconds(1)
EARLY_CLOSE_FACTOR = 0.7
MIN_IDLE_TIME = clock.seconds(0.05)
SHORT_IDLE_PERIOD = clock.seconds(30)
MAX_OPEN = 1500
READ_BYTES = 1 << 16
MAX_HEAD_BYTES = 1 << 16
MAX_BODY_BYTES = 64 << 20
MAX_LINE_BYTES = 4096
MAX_INTERIM_RESPONSES = 8
MAX_INLINE_WRITE_BYTES = 1 << 15
WRITE_PART_BYTES = 1 << 16
METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"connection"))
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([1-9]\d\d)(?: [^\0]*)?")
HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\0]*)")
TARGET_PATTERN = re.compile(r"[\x21-\x7e\x80-\xff]+")
METHOD_PATTERN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,12})[ \t]*(?:;[^\0]*)?")
CONTENT_LENGTH = re.compile(rb"\d{1,15}")
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[,;\s])timeout\s*=\s*(\d{1,6})", re.IGNORECASE)

Accepts = collections.abc.Callable[[int, call.Headers], bool]
Reserve = collections.abc.Callable[[int], collections.abc.Awaitable[None]]


class ConnectionLostError(result.RequestError):
    """A connection ended before any byte of a response.

    ``reused`` says that the connection had carried another request before.
    """

    def __init__(self, reused: bool, detail: str):
        super().__init__(result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN, detail)
        self.reused = reused


class ConnectionBrokenError(Exception):
    """The worker closed or reset the connection, or violated the protocol; the message says which."""


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a response. ``length`` is the body's size, None for a chunked body."""

    status: int
    headers: call.Headers
    length: int | None
    keep_alive: bool
    idle: datetime.timedelta


def parse_head(raw: bytes, has_no_body: bool = False) -> Head:
    """Parse the head of a response, without the empty line after it.

    :raises ConnectionBrokenError: the bytes are not a valid head, or the end of the body is unclear
    """
    lines = raw.split(b"\r\n")
    status = STATUS_LINE.fullmatch(lines[0])
    if status is None or raw.count(b"\n") != len(lines) - 1 or raw.count(b"\r") != len(lines) - 1:
        raise ConnectionBrokenError("malformed HTTP/1.1 response head")
    code, headers = int(status[1]), []
    lengths, encodings, options, keep_alive_options = set(), [], b"", b""
    for line in lines[1:]:
        field = HEADER_LINE.fullmatch(line)
        if field is None:
            raise ConnectionBrokenError("malformed HTTP/1.1 header line")
        name, value = field[1], field[2].rstrip(b" \t")
        headers.append((name, value))
        lower_name = name.lower()
        if lower_name == b"content-length":
            lengths.add(value)
        elif lower_name == b"transfer-encoding":
            encodings.append(value.lower())
        elif lower_name == b"connection":
            options += b"," + value.lower()
        elif lower_name == b"keep-alive":
            keep_alive_options += b"," + value
    length = None
    if has_no_body or code < 200 or code in (204, 304):
        length = 0
    elif encodings:
        if encodings != [b"chunked"] or lengths:
            raise ConnectionBrokenError("the end of the response body is unclear")
    elif len(lengths) == 1 and CONTENT_LENGTH.fullmatch(only := next(iter(lengths))):
        length = int(only)
    else:
        raise ConnectionBrokenError("the end of the response body is unclear")
    timeout_option = KEEP_ALIVE_TIMEOUT.search(keep_alive_options)
    idle = DEFAULT_IDLE_TIME
    if timeout_option is not None:
        timeout = clock.seconds(int(timeout_option[1]))
        idle = max(timeout - IDLE_TIME_MARGIN, timeout / 2)
    return Head(code, tuple(headers), length, b"close" not in [one.strip() for one in options.split(b",")], idle)


def request_head(method: str, target: str, headers: call.Headers, size: int) -> bytes:
    """Return a request's head as bytes.

    :raises result.RequestError: MALFORMED if the head could be parsed as anything else than these values
    """
    if METHOD_PATTERN.fullmatch(method) is None or TARGET_PATTERN.fullmatch(target) is None:
        raise result.RequestError(result.ResultCode.MALFORMED, detail="invalid HTTP method or target")
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines.extend(name + b": " + value for name, value in headers if name.lower() not in FRAMING_HEADERS)
    if size or method in METHODS_WITH_BODY:
        lines.append(b"Content-Length: %d" % size)
    lines.extend((b"", b""))
    raw = b"\r\n".join(lines)
    if raw.count(b"\n") != len(lines) - 1 or raw.count(b"\r") != len(lines) - 1 or b"\0" in raw:
        raise result.RequestError(result.ResultCode.MALFORMED, detail="a header contains a line break or a NUL byte")
    return raw


async def write_in_parts(channel: environment.Channel, head: bytes, body: bytes | bytearray) -> None:
    """Write a request part by part, so that no second copy of a large body waits in the channel."""
    await channel.write(head)
    view = memoryview(body)
    for start in range(0, len(body), WRITE_PART_BYTES):
        await channel.write(bytes(view[start : start + WRITE_PART_BYTES]))


class Connection:
    """A connection to a worker's address, with the bytes that were received and not yet parsed."""

    def __init__(self, address: str, channel: environment.Channel):
        self.address = address
        self.channel = channel
        self.buffer = bytearray()
        self.idle_until = clock.ZERO
        self.idle_since = clock.ZERO
        self.idle_for = clock.ZERO
        self.requests_sent = 0
        self.deadline_passed = False
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.write_task: asyncio.Task | None = None

    async def fill(self) -> None:
        """Wait for more bytes.

        :raises ConnectionBrokenError: the connection was closed or reset
        """
        try:
            data = await self.channel.read_some(READ_BYTES)
        except (OSError, EOFError) as error:
            raise ConnectionBrokenError(f"reset: {error!r}") from None
        if not data:
            raise ConnectionBrokenError("closed")
        self.buffer += data

    async def line(self) -> bytes:
        """Return the next line without its line break."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            if len(self.buffer) > MAX_LINE_BYTES:
                raise ConnectionBrokenError("line too long")
            await self.fill()
        raw = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return raw

    def expire(self) -> None:
        """Abort the connection because the deadline of its request has passed."""
        self.deadline_passed = True
        self.channel.abort()

    def is_reusable(self, now: datetime.timedelta) -> bool:
        """Whether the idle connection can carry another request now."""
        return now < self.idle_until and not self.buffer and self.channel.quiet()


class Response:
    """A worker's response whose head was read; it must be closed.

    ``status`` and ``headers`` are the worker's own. ``reused`` says that the connection had carried another
    request before.
    """

    def __init__(self, pool: "Pool", connection: Connection, head: Head):
        self.pool = pool
        self.connection = connection
        self.status = head.status
        self.headers = head.headers
        self.reused = connection.requests_sent > 0
        self.head = head
        self.whole = False
        self.closed = False

    async def parts(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the bytes of the body as they arrive.

        :raises result.RequestError: the body was cut off, or the deadline has passed
        """
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
                        raise ConnectionBrokenError("chunk longer than its declared size")
                trailers = 0
                while line := await connection.line():
                    trailers += len(line)
                    if trailers > MAX_HEAD_BYTES or HEADER_LINE.fullmatch(line) is None:
                        raise ConnectionBrokenError("malformed or too large trailer")
            else:
                while left:
                    if not buffer:
                        await connection.fill()
                    part = bytes(buffer[:left])
                    del buffer[:left]
                    left -= len(part)
                    yield part
        except ConnectionBrokenError as error:
            raise self.broken(f"response cut off: {error}") from None
        self.whole = True

    async def chunk_size(self) -> int:
        """Return the size of the next chunk, 0 for the last one."""
        size = CHUNK_SIZE_LINE.fullmatch(await self.connection.line())
        if size is None:
            raise ConnectionBrokenError("malformed chunk size")
        return int(size[1], 16)

    async def discard(self) -> None:
        """Read the whole body and drop it.

        :raises result.RequestError: the body was cut off, or the deadline has passed
        """
        async for _ in self.parts():
            pass

    async def read(self, reserve: Reserve | None = None) -> bytes | bytearray:
        """Return the whole body, at most 64 MiB; a large one as the buffer that it was read into.

        ``reserve`` is awaited with the number of bytes that are to be held next: all where the length is known.

        :raises result.RequestError: the body was cut off or is too large, or the deadline has passed
        """
        length, buffer = self.head.length, self.connection.buffer
        if length is not None and reserve is not None and length <= MAX_BODY_BYTES:
            await reserve(length)
        if length is not None and length <= len(buffer):
            body = bytes(buffer[:length])
            del buffer[:length]
            self.whole = True
            return body
        if length is not None and length > MAX_BODY_BYTES:
            raise self.broken("response body too large")
        body = bytearray()
        async for part in self.parts():
            if length is None and reserve is not None:
                await reserve(len(part))
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise self.broken("response body too large")
        return body if len(body) > READ_BYTES else bytes(body)

    def broken(self, reason: str) -> result.RequestError:
        """Close the connection and return the error for an unusable response."""
        refusal = self.pool.broken(self.connection, reason)
        self.finish(False)
        return refusal

    async def close(self, reuse: bool) -> None:
        """Return the connection to the pool if wanted and safe, else close it. Further calls have no effect."""
        self.finish(reuse)

    def finish(self, reuse: bool) -> None:
        """Do the work of ``close`` without awaiting."""
        if self.closed:
            return
        self.closed = True
        self.pool.end(self.connection, reuse and self.whole and self.head.keep_alive, self.head.idle)


class Pool:
    """All connections of a node to workers.

    A connection is reused only after a complete response with no bytes after it, and only for a time in which the
    worker does not yet close it. This time is shorter for addresses whose idle connections were found closed.
    ``max_open`` limits the connections to all addresses together.
    """

    def __init__(
        self, host_environment: environment.Environment, counts: collections.Counter, max_open: int = MAX_OPEN
    ):
        self.environment = host_environment
        self.counts = counts
        self.max_open = max_open
        self.idle_connections: dict[str, list[Connection]] = {}
        self.shortened_idle: dict[str, tuple[datetime.timedelta, datetime.timedelta]] = {}
        self.open_by_address: collections.Counter = collections.Counter()
        self.open_count = 0

    async def run(self) -> None:
        """Close idle connections before the workers do."""
        while True:
            await clock.sleep(SWEEP_INTERVAL)
            self.close_expired()

    def close_expired(self) -> None:
        """Close idle connections whose time has passed, or on which bytes or an end arrived."""
        now = clock.now()
        self.shortened_idle = {address: known for address, known in self.shortened_idle.items() if known[1] > now}
        for address, idle in list(self.idle_connections.items()):
            reusable = []
            for one in idle:
                if one.is_reusable(now):
                    reusable.append(one)
                else:
                    self.close_idle(one, now)
            if reusable:
                self.idle_connections[address] = reusable
            else:
                del self.idle_connections[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle_connections.values():
            for one in idle:
                self.close_connection(one, "worker connections retired")
        self.idle_connections.clear()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: call.Headers,
        body: bytes | bytearray,
        end: datetime.timedelta,
        max_connections: int,
        accepts: Accepts | None = None,
    ) -> Response:
        """Send a request once and read the head of its response.

        ``end`` is on the loop's clock. A response that ``accepts`` rejects belongs to another request; its
        connection is closed.

        :raises result.RequestError: UNREACHABLE, OVERLOADED (no connection is free), MALFORMED, or DEADLINE with
            ``NOT_RUN`` if no byte of the request was sent; WORKER_LOST, WORKER_BROKE, or DEADLINE with an unknown
            outcome if some bytes may have been sent
        """
        head_bytes = request_head(method, target, headers, len(body))
        connection = await self.acquire(address, end, max_connections)
        connection.deadline_timer = asyncio.get_running_loop().call_at(end.total_seconds(), connection.expire)
        try:
            await self.send(connection, head_bytes, body)
            head = await self.receive(connection, method == "HEAD")
            if accepts is not None and not accepts(head.status, head.headers):
                self.counts["worker answers in excess"] += 1
                raise self.broken(connection, "received the response to another request")
            return Response(self, connection, head)
        except BaseException:
            self.end(connection, False, clock.ZERO)
            raise

    async def acquire(self, address: str, end: datetime.timedelta, max_connections: int) -> Connection:
        """Return the most recently used idle connection, or open a new one."""
        now = clock.now()
        idle = self.idle_connections.get(address)
        while idle:
            one = idle.pop()
            if one.is_reusable(now):
                self.counts["worker connections reused"] += 1
                one.idle_for = now - one.idle_since
                return one
            self.close_idle(one, now)
        if now >= end:
            raise result.RequestError(result.ResultCode.DEADLINE)
        if self.open_by_address[address] >= max_connections or (
            self.open_count >= self.max_open and not self.evict_idle()
        ):
            raise result.RequestError(result.ResultCode.OVERLOADED, detail="no connection to the worker is free")
        self.open_by_address[address] += 1
        self.open_count += 1
        self.counts["worker connections"] += 1
        channel = None
        try:
            async with clock.limit(min(CONNECT_TIMEOUT, end - now)):
                channel = await self.environment.network.connect(address)
            channel.watch(SILENCE_TIMEOUT)
        except BaseException as error:
            self.release_slot(address)
            if channel is not None:
                channel.abort()
            if isinstance(error, (OSError, TimeoutError)):
                self.counts["worker connections failed"] += 1
                refused = result.ResultCode.DEADLINE if clock.now() >= end else result.ResultCode.UNREACHABLE
                raise result.RequestError(refused, detail=f"{address}: {error!r}"[:200]) from None
            raise
        if clock.now() >= end:
            channel.abort()
            self.release_slot(address)
            raise result.RequestError(result.ResultCode.DEADLINE)
        return Connection(address, channel)

    async def send(self, connection: Connection, head: bytes, body: bytes | bytearray) -> None:
        """Write a request; a large one while reading, as a worker may respond before it has read everything."""
        if len(head) + len(body) > MAX_INLINE_WRITE_BYTES:
            connection.write_task = asyncio.ensure_future(write_in_parts(connection.channel, head, body))
            connection.write_task.add_done_callback(lambda task: task.cancelled() or task.exception())
            return
        try:
            await connection.channel.write(head + body)
        except OSError as error:
            raise self.lost(connection, f"{error!r}") from None

    async def receive(self, connection: Connection, has_no_body: bool) -> Head:
        """Read the head of the response, skipping interim responses."""
        buffer, interim = connection.buffer, 0
        while True:
            while (end := buffer.find(b"\r\n\r\n")) < 0:
                if len(buffer) > MAX_HEAD_BYTES:
                    raise self.broken(connection, "response head too large")
                try:
                    await connection.fill()
                except ConnectionBrokenError as error:
                    if buffer:
                        raise self.broken(connection, f"response head cut off: {error}") from None
                    raise self.lost(connection, f"{error}") from None
                if not b"HTTP/1.1 ".startswith(buffer[:9]):
                    raise self.broken(connection, "received bytes are not an HTTP/1.1 response")
            try:
                head = parse_head(bytes(buffer[:end]), has_no_body)
            except ConnectionBrokenError as error:
                raise self.broken(connection, f"{error}") from None
            del buffer[: end + 4]
            if head.status >= 200:
                return head
            interim += 1
            if head.status == 101 or interim > MAX_INTERIM_RESPONSES:
                raise self.broken(connection, f"unexpected interim response {head.status}")

    def lost(self, connection: Connection, reason: str) -> result.RequestError:
        """Return the error for a request whose connection ended before any byte of a response."""
        if connection.deadline_passed:
            return result.RequestError(result.ResultCode.DEADLINE, result.Ran.UNKNOWN)
        self.counts["worker connections lost"] += 1
        if connection.requests_sent:
            self.counts["worker connections dead when used again"] += 1
            self.shorten_idle_time(connection.address, connection.idle_for / 2)
        return ConnectionLostError(
            connection.requests_sent > 0,
            f"{connection.address}, request {connection.requests_sent + 1} on the connection: {reason}"[:300],
        )

    def close_idle(self, connection: Connection, now: datetime.timedelta) -> None:
        """Close an idle connection; if the worker closed it first, later ones are kept for a shorter time."""
        if now < connection.idle_until:
            self.counts["worker connections closed while idle"] += 1
            self.shorten_idle_time(connection.address, (now - connection.idle_since) * EARLY_CLOSE_FACTOR)
        self.close_connection(connection, "worker connections retired")

    def shorten_idle_time(self, address: str, span: datetime.timedelta) -> None:
        """Limit the idle time of connections to an address for a while, because the worker closes them early."""
        now = clock.now()
        before, _ = self.shortened_idle.get(address, (DEFAULT_IDLE_TIME, now))
        span = max(MIN_IDLE_TIME, min(before, span))
        self.shortened_idle[address] = (span, now + SHORT_IDLE_PERIOD)
        for one in self.idle_connections.get(address, ()):
            one.idle_until = min(one.idle_until, one.idle_since + span)

    def broken(self, connection: Connection, reason: str) -> result.RequestError:
        """Return the error for an unusable response."""
        if connection.deadline_passed:
            return result.RequestError(result.ResultCode.DEADLINE, result.Ran.UNKNOWN)
        self.counts["worker answers broken"] += 1
        return result.RequestError(
            result.ResultCode.WORKER_BROKE,
            result.Ran.UNKNOWN,
            f"{connection.address}, request {connection.requests_sent + 1} on the connection: {reason}"[:300],
        )

    def end(self, connection: Connection, reuse: bool, idle: datetime.timedelta) -> None:
        """Finish a request: keep its connection for the next one, or close it."""
        if connection.deadline_timer is not None:
            connection.deadline_timer.cancel()
            connection.deadline_timer = None
        write_task, connection.write_task = connection.write_task, None
        if write_task is not None and (not write_task.done() or write_task.cancelled() or write_task.exception()):
            write_task.cancel()
            reuse = False
        connection.requests_sent += 1
        now = clock.now()
        if connection.address in self.shortened_idle:
            span, until = self.shortened_idle[connection.address]
            if now < until:
                idle = min(idle, span)
            else:
                del self.shortened_idle[connection.address]
        connection.idle_since, connection.idle_until = now, now + idle
        if reuse and not connection.deadline_passed and not connection.buffer and now < connection.idle_until:
            self.idle_connections.setdefault(connection.address, []).append(connection)
            return
        if reuse and connection.buffer:
            self.counts["worker bytes in excess"] += 1
        self.close_connection(connection, "worker connections closed")

    def close_connection(self, connection: Connection, reason: str) -> None:
        """Close a connection and count the reason."""
        self.counts[reason] += 1
        connection.channel.abort()
        self.release_slot(connection.address)

    def release_slot(self, address: str) -> None:
        """Count one connection to an address less."""
        self.open_count -= 1
        self.open_by_address[address] -= 1
        if not self.open_by_address[address]:
            del self.open_by_address[address]

    def evict_idle(self) -> bool:
        """Close the idle connection that would expire first; return whether there was one."""
        found = min(
            (idle[0] for idle in self.idle_connections.values() if idle),
            key=lambda one: one.idle_until,
            default=None,
        )
        if found is None:
            return False
        self.idle_connections[found.address].remove(found)
        self.close_connection(found, "worker connections retired")
        return True
