"""What a node takes from its machine: the one seam between real machines and simulation."""

import asyncio
import concurrent.futures
import dataclasses
import datetime
import importlib
import os
import pathlib
import random
import select
import socket
import typing

from aspencroft.runtime import uninterrupted

if typing.TYPE_CHECKING:
    import httpx


class Channel(typing.Protocol):
    """One byte stream to a peer."""

    async def read(self, count: int) -> bytes:
        """Exactly so many bytes, or IncompleteReadError."""
        ...

    async def read_some(self, limit: int) -> bytes:
        """What has come, at most so many bytes."""
        ...

    async def write(self, data: bytes) -> None:
        """Write and wait while the peer is slow."""
        ...

    def quiet(self) -> bool:
        """Whether the stream is open and holds no unread bytes."""
        ...

    def watch(self, silence: datetime.timedelta) -> None:
        """Break the stream after so long a silence of the other machine."""
        ...

    def close(self) -> None:
        """Close the stream."""
        ...

    def abort(self) -> None:
        """Close the stream and drop what waits to be sent."""
        ...


class Network(typing.Protocol):
    """Streams between nodes."""

    async def listen(self, address: str) -> "asyncio.Queue[Channel]":
        """Accept streams at host:port into a bounded queue."""
        ...

    async def connect(self, address: str) -> Channel:
        """Open a stream to host:port."""
        ...


class Disk(typing.Protocol):
    """Work on files, done off the loop, and the means to make them last."""

    async def perform(self, function: typing.Callable, *arguments):
        """Run file work off the loop."""
        ...

    def synchronise(self, path: pathlib.Path) -> None:
        """Make a file or folder durable."""
        ...


@dataclasses.dataclass(frozen=True)
class Environment:
    """Network, disk, HTTP transport, source of randomness and wall clock of one node."""

    network: Network
    disk: Disk
    transport: "typing.Callable[[], httpx.AsyncBaseTransport]"
    randomness: random.Random
    wall: typing.Callable[[], datetime.datetime]


class StreamChannel:
    """A TCP stream as a channel."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.poll: select.poll | None = None

    async def read(self, count: int) -> bytes:
        """Exactly so many bytes, or IncompleteReadError."""
        return await self.reader.readexactly(count)

    async def read_some(self, limit: int) -> bytes:
        """What has come, at most so many bytes, waiting for the first; empty at the end of the stream."""
        return await self.reader.read(limit)

    def quiet(self) -> bool:
        """Whether the stream is open and nothing has come that was not read, in the machine's own buffer neither."""
        if self.writer.is_closing() or self.reader.exception() or self.reader.at_eof() or self.reader._buffer:
            return False
        if self.poll is None:
            self.poll = select.poll()
            self.poll.register(self.writer.get_extra_info("socket").fileno(), select.POLLIN)
        return not self.poll.poll(0)

    def watch(self, silence: datetime.timedelta) -> None:
        """Have the machine break the stream when the other machine (not its program) is silent for so long."""
        link, whole = self.writer.get_extra_info("socket"), max(1, round(silence.total_seconds() / 4))
        link.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, whole)
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, whole)
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(silence.total_seconds() * 1000))

    async def write(self, data: bytes) -> None:
        """Write and wait while the peer is slow."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Close the stream at once."""
        self.writer.close()

    def abort(self) -> None:
        """Close the stream without sending what still waits to be sent."""
        self.writer.transport.abort()


class SocketNetwork:
    """TCP between machines."""

    def __init__(self):
        self.servers: list[asyncio.Server] = []

    async def listen(self, address: str) -> "asyncio.Queue[Channel]":
        """Accept streams at host:port into a bounded queue."""
        accepted: asyncio.Queue[Channel] = asyncio.Queue(128)

        async def arrive(reader, writer):
            await accepted.put(StreamChannel(reader, writer))

        host, port = address.rsplit(":", 1)
        self.servers.append(await asyncio.start_server(arrive, host, int(port)))
        return accepted

    async def connect(self, address: str) -> Channel:
        """Open a stream to host:port."""
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ConnectionError(f"{address!r} is no address")
        return StreamChannel(*await asyncio.open_connection(host, int(port)))


class FileDisk:
    """The machine's own disk; its work runs in a few threads."""

    def __init__(self):
        self.threads = concurrent.futures.ThreadPoolExecutor(8, "disk")

    async def perform(self, function: typing.Callable, *arguments):
        """Run file work off the loop and hand back its result.

        A cancellation waits for the thread, which can't be called back:
        whoever holds a lock around the work keeps it until nothing is written any more.
        """
        return await uninterrupted.finish(self.in_thread(function, arguments))

    async def in_thread(self, function: typing.Callable, arguments: tuple):
        """Have one of the threads do file work."""
        return await asyncio.get_running_loop().run_in_executor(self.threads, function, *arguments)

    def synchronise(self, path: pathlib.Path) -> None:
        """Make a file or folder last; called inside ``perform``."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def http_transport() -> "httpx.AsyncBaseTransport":
    """HTTP over the machine's network; its library is loaded with the first one, as most processes need none."""
    httpx = importlib.import_module("httpx")
    limits = httpx.Limits(max_connections=512, max_keepalive_connections=64, keepalive_expiry=20)
    return httpx.AsyncHTTPTransport(limits=limits, retries=0)


def machine() -> Environment:
    """The real surroundings of a daemon."""
    return Environment(
        SocketNetwork(),
        FileDisk(),
        http_transport,
        random.SystemRandom(),
        lambda: datetime.datetime.now(datetime.UTC),
    )
