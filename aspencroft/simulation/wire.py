"""The simulated network: streams and HTTP between nodes, with delays, cuts, resets and doubles."""

import asyncio
import collections.abc
import contextvars
import dataclasses
import random

import httpx

from aspencroft.simulation import loop

LATENCY = 0.0005
HANG = 30.0
POLL = 0.25


@dataclasses.dataclass
class Weather:
    """How bad the network is."""

    jitter: float = 0.001
    double: float = 0.0
    reset: float = 0.0


class Pipe:
    """One direction of a stream."""

    def __init__(self, wire: "Wire", source: str, target: str):
        self.wire = wire
        self.source = source
        self.target = target
        self.buffer = bytearray()
        self.filled = asyncio.Event()
        self.broken = False
        self.last = 0.0
        self.held: list[bytes] = []

    def send(self, data: bytes) -> None:
        """Deliver after a delay, in order; held back while the way is cut."""
        if self.wire.is_cut(self.source, self.target):
            self.held.append(data)
            return
        now = self.wire.loop.time()
        self.last = max(self.last, now + self.wire.delay())
        copies = 2 if self.wire.chance.random() < self.wire.weather.double else 1
        for _ in range(copies):
            self.wire.outside(self.last - now, self.arrive, data)

    def arrive(self, data: bytes) -> None:
        """Bytes are there."""
        if not self.broken:
            self.buffer += data
            self.filled.set()

    def break_off(self) -> None:
        """No more bytes come."""
        self.broken = True
        self.filled.set()

    async def read(self, count: int) -> bytes:
        """Exactly so many bytes, or EOFError once the stream is broken."""
        while len(self.buffer) < count:
            if self.broken:
                raise EOFError("the stream is broken")
            self.filled.clear()
            await self.filled.wait()
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    async def read_some(self, limit: int) -> bytes:
        """What has come, at most so many bytes; empty once the stream is broken."""
        while not self.buffer and not self.broken:
            self.filled.clear()
            await self.filled.wait()
        data = bytes(self.buffer[:limit])
        del self.buffer[:limit]
        return data


class SimChannel:
    """One end of a simulated stream."""

    def __init__(self, inward: Pipe, outward: Pipe):
        self.inward = inward
        self.outward = outward

    async def read(self, count: int) -> bytes:
        """Exactly so many bytes."""
        return await self.inward.read(count)

    async def read_some(self, limit: int) -> bytes:
        """What has come, at most so many bytes; empty at the end."""
        return await self.inward.read_some(limit)

    def quiet(self) -> bool:
        """Whether the stream is open and nothing has come that was not read."""
        return not (self.inward.broken or self.outward.broken or self.inward.buffer)

    def watch(self, silence) -> None:
        """No machine of the simulated world breaks streams by itself."""

    async def write(self, data: bytes) -> None:
        """Send bytes; ConnectionResetError on a broken stream."""
        if self.outward.broken:
            raise ConnectionResetError("the stream is broken")
        if self.outward.wire.chance.random() < self.outward.wire.weather.reset:
            self.close()
            raise ConnectionResetError("reset")
        self.outward.send(data)

    def close(self) -> None:
        """Close both directions; the other end hears of it behind all that was sent, unless the way is cut."""
        self.inward.broken = True
        self.inward.filled.set()
        outward, wire = self.outward, self.outward.wire
        if not wire.is_cut(outward.source, outward.target):
            now = wire.loop.time()
            outward.last = max(outward.last, now + wire.delay())
            wire.outside(outward.last - now, outward.break_off)

    def abort(self) -> None:
        """Reset the stream; the other end hears of it, perhaps before the last that was sent, unless the way is cut."""
        self.inward.broken = True
        self.inward.filled.set()
        wire = self.outward.wire
        if not wire.is_cut(self.outward.source, self.outward.target):
            wire.outside(wire.delay(), self.outward.break_off)


class Wire:
    """All streams and pages of a simulated world."""

    def __init__(self, simulated: loop.SimLoop, chance: random.Random, weather: Weather):
        self.loop = simulated
        self.chance = chance
        self.weather = weather
        self.listeners: dict[str, tuple[str, asyncio.Queue]] = {}
        self.pages: dict[str, tuple[str, collections.abc.Callable]] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.refusing: set[tuple[str, str]] = set()
        self.channels: list[tuple[str, str, SimChannel, SimChannel]] = []
        self.trace: list[str] = []

    def outside(self, delay: float, function, *arguments) -> None:
        """Do something that no node does: what the network itself does."""
        self.loop.call_later(delay, function, *arguments, context=contextvars.Context())

    def delay(self) -> float:
        """One way's delay."""
        return LATENCY + self.chance.random() * self.weather.jitter

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets from one node to another."""
        return (source, target) in self.cuts

    def cut(
        self, left: collections.abc.Iterable[str], right: collections.abc.Iterable[str], one_way: bool = False
    ) -> set[tuple[str, str]]:
        """Cut all ways between two groups, or just those from the left one to the right one; what was cut."""
        ways = {(one, other) for one in left for other in right if one != other}
        ways |= set() if one_way else {(other, one) for one, other in ways}
        self.cuts |= ways
        return ways

    def refuse(
        self, left: collections.abc.Iterable[str], right: collections.abc.Iterable[str], reset: bool = False
    ) -> None:
        """Have cut ways between two groups refuse new streams at once until they heal; ``reset`` breaks open ones
        too.
        """
        left, right = set(left), set(right)
        self.refusing |= {way for one in left for other in right for way in ((one, other), (other, one))}
        if not reset:
            return
        for near_node, far_node, near, far in self.channels:
            if (near_node in left and far_node in right) or (near_node in right and far_node in left):
                near.close()
                far.close()

    def heal(self, ways: set[tuple[str, str]] | None = None) -> None:
        """Mend all cuts, or some; held streams go on late or break, by chance."""
        self.cuts -= set(self.cuts) if ways is None else ways
        self.refusing &= self.cuts
        for _, _, near, far in self.channels:
            for channel in (near, far):
                if self.is_cut(channel.outward.source, channel.outward.target):
                    continue
                held, channel.outward.held = channel.outward.held, []
                if not held:
                    continue
                if self.chance.random() < 0.5:
                    near.close()
                    far.close()
                    break
                for data in held:
                    channel.outward.send(data)

    def drop(self, node: str, silent: bool) -> None:
        """A node's process ended: its streams break; silently (no word to the other end) at a power loss."""
        for address in [address for address, (owner, _) in self.listeners.items() if owner == node]:
            del self.listeners[address]
        kept = []
        for near_node, far_node, near, far in self.channels:
            if node in (near_node, far_node):
                other = far if near_node == node else near
                other.outward.broken = not silent
                if not silent:
                    self.outside(self.delay(), other.inward.break_off)
            elif not (near.inward.broken and far.inward.broken):
                kept.append((near_node, far_node, near, far))
        self.channels = kept


class SimNetwork:
    """The network as one node sees it."""

    def __init__(self, wire: Wire, node: str):
        self.wire = wire
        self.node = node

    async def listen(self, address: str) -> asyncio.Queue:
        """Accept streams."""
        accepted: asyncio.Queue = asyncio.Queue(128)
        self.wire.listeners[address] = (self.node, accepted)
        return accepted

    async def connect(self, address: str) -> SimChannel:
        """Open a stream."""
        target = address.split(":", maxsplit=1)[0]
        await asyncio.sleep(self.wire.delay())
        if self.wire.is_cut(self.node, target):
            if (self.node, target) in self.wire.refusing:
                raise ConnectionRefusedError(address)
            await asyncio.sleep(HANG)
            raise ConnectionError("no way")
        if address not in self.wire.listeners:
            raise ConnectionRefusedError(address)
        owner, accepted = self.wire.listeners[address]
        there, back = Pipe(self.wire, self.node, owner), Pipe(self.wire, owner, self.node)
        near, far = SimChannel(back, there), SimChannel(there, back)
        if accepted.full():
            raise ConnectionRefusedError("backlog")
        self.wire.channels.append((self.node, owner, near, far))
        accepted.put_nowait(far)
        self.wire.trace.append(f"{self.wire.loop.time():.6f} {self.node} connects {address}")
        return near


class Body(httpx.AsyncByteStream):
    """A response's body as it arrives."""

    def __init__(self, transport: "SimTransport", queue: asyncio.Queue, owner: str, life: int, hung: asyncio.Event):
        self.transport = transport
        self.queue = queue
        self.owner = owner
        self.life = life
        self.hung = hung

    async def __aiter__(self):
        while True:
            kind, data = await self.transport.receive(self.queue, self.owner, self.life, "body")
            if kind == "end":
                return
            if kind == "broken":
                raise httpx.ReadError("the connection is broken")
            yield data

    async def aclose(self) -> None:
        """The caller goes away."""
        self.hung.set()


class SimTransport(httpx.AsyncBaseTransport):
    """HTTP between simulated nodes: the target's ASGI application runs in the target's own life."""

    def __init__(self, wire: Wire, node: str):
        self.wire = wire
        self.node = node

    async def receive(self, queue: asyncio.Queue, owner: str, life: int, what: str):
        """The next part of an answer; ReadError when the target ended or the way stayed cut."""
        waited = 0.0
        while True:
            try:
                async with asyncio.timeout(POLL):
                    return await queue.get()
            except TimeoutError:
                waited += POLL
            if self.wire.loop.lives.get(owner) != life:
                raise httpx.ReadError("the connection is broken")
            if waited > HANG:
                raise httpx.ReadTimeout(f"no {what}")

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Run one request."""
        address = f"{request.url.host}:{request.url.port or 80}"
        await asyncio.sleep(self.wire.delay())
        target = request.url.host
        if self.wire.is_cut(self.node, target):
            await asyncio.sleep(1.0)
            raise httpx.ConnectTimeout("no way")
        if address not in self.wire.pages or self.wire.loop.lives.get(self.wire.pages[address][0], 0) <= 0:
            raise httpx.ConnectError(f"{address} refuses")
        owner, application = self.wire.pages[address]
        life = self.wire.loop.lives[owner]
        given = await request.aread()
        queue: asyncio.Queue = asyncio.Queue()
        hung = asyncio.Event()
        self.wire.trace.append(f"{self.wire.loop.time():.6f} {self.node} asks {address} {request.url.path}")
        self.wire.loop.create_task(
            self.answer(application, request, given, queue, owner, hung),
            context=self.wire.loop.context_of(owner),
        )
        kind, start = await self.receive(queue, owner, life, "answer")
        if kind == "broken":
            raise httpx.ReadError("the connection is broken")
        return httpx.Response(
            start["status"],
            headers=start["headers"],
            stream=Body(self, queue, owner, life, hung),
            request=request,
        )

    async def answer(
        self,
        application,
        request: httpx.Request,
        given: bytes,
        queue: asyncio.Queue,
        owner: str,
        hung: asyncio.Event,
    ) -> None:
        """What the target does with a request."""
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": request.method,
            "headers": [(name.lower(), value) for name, value in request.headers.raw],
            "scheme": "http",
            "path": request.url.path,
            "raw_path": request.url.raw_path.split(b"?")[0],
            "query_string": request.url.query,
            "server": (request.url.host, request.url.port),
            "client": (self.node, 1),
            "root_path": "",
            "state": {},
        }
        told = [False]

        async def receive():
            if not told[0]:
                told[0] = True
                return {"type": "http.request", "body": given, "more_body": False}
            await hung.wait()
            return {"type": "http.disconnect"}

        async def send(message):
            while self.wire.is_cut(owner, self.node):
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.wire.delay())
            if message["type"] == "http.response.start":
                queue.put_nowait(("start", {"status": message["status"], "headers": message.get("headers", [])}))
            elif message["type"] == "http.response.body":
                if message.get("body"):
                    queue.put_nowait(("data", bytes(message["body"])))
                if not message.get("more_body"):
                    queue.put_nowait(("end", b""))

        try:
            await application(scope, receive, send)
        except BaseException:
            queue.put_nowait(("broken", b""))
            raise
