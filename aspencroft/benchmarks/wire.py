"""Streams between nodes of one process: delays by distance, cuts, silent losses, counted bytes."""

import asyncio
import collections
import contextvars
import dataclasses

HANG = 30.0
BACKLOG = 1024


@dataclasses.dataclass(frozen=True)
class Distance:
    """One-way delays in seconds: within a zone, between zones of a region, between regions."""

    zone: float = 0.00025
    region: float = 0.001
    far: float = 0.04


@dataclasses.dataclass
class Traffic:
    """What a node sent and received: messages (one write each) and bytes, without those of TCP and IP."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


def region_of(zone: str) -> str:
    """The region that a zone's name begins with.

    Example: ``region_of("r2-z1") == "r2"``
    """
    return zone.partition("-")[0]


class Pipe:
    """One direction of a stream; it knows whether it was broken off."""

    def __init__(self, wire: "Wire", source: str, target: str):
        self.wire = wire
        self.source = source
        self.target = target
        self.delay = wire.delay(source, target)
        self.buffer = bytearray()
        self.on_the_way: collections.deque[bytes] = collections.deque()
        self.waiting: asyncio.Future | None = None
        self.broken = False
        self.lost = False

    def send(self, data: bytes) -> None:
        """Let bytes arrive after the delay, in the order in which they were sent: timers of one moment keep none."""
        self.on_the_way.append(data)
        self.wire.later(self.delay, self.arrive)

    def arrive(self) -> None:
        """The next bytes are there."""
        data = self.on_the_way.popleft()
        if self.broken:
            return
        self.buffer += data
        self.wake()

    def wake(self) -> None:
        """Let the reader look again."""
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    def break_off(self) -> None:
        """No more bytes come."""
        self.broken = True
        self.wake()


class Stream:
    """One end of a stream between two nodes, as a channel of the seam."""

    def __init__(self, wire: "Wire", inward: Pipe, outward: Pipe):
        self.wire = wire
        self.inward = inward
        self.outward = outward

    async def read(self, count: int) -> bytes:
        """Exactly so many bytes; EOFError once the stream is broken."""
        pipe = self.inward
        while len(pipe.buffer) < count:
            if pipe.broken:
                raise EOFError("the stream is broken")
            pipe.waiting = self.wire.loop.create_future()
            await pipe.waiting
        data = bytes(memoryview(pipe.buffer)[:count])
        del pipe.buffer[:count]
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes; they are lost without a word where the way is cut or the other machine is gone."""
        pipe, wire = self.outward, self.wire
        if pipe.broken:
            raise ConnectionResetError("the stream is broken")
        count = wire.traffic[pipe.source]
        count.sent += 1
        count.sent_bytes += len(data)
        if pipe.lost or wire.is_cut(pipe.source, pipe.target):
            pipe.lost = True
            return
        count = wire.traffic[pipe.target]
        count.received += 1
        count.received_bytes += len(data)
        pipe.send(data)

    def close(self) -> None:
        """Close both directions; the other end hears of it, unless the way is cut."""
        self.inward.break_off()
        pipe = self.outward
        if not pipe.broken and not pipe.lost and not self.wire.is_cut(pipe.source, pipe.target):
            self.wire.later(pipe.delay, pipe.break_off)
        pipe.lost = True


class Wire:
    """All streams of a virtual cluster."""

    def __init__(self, distance: Distance, zones: dict[str, str]):
        self.loop = asyncio.get_running_loop()
        self.distance = distance
        self.zones = zones
        self.listeners: dict[str, asyncio.Queue] = {}
        self.dark: set[str] = set()
        self.cuts: set[tuple[str, str]] = set()
        self.traffic: dict[str, Traffic] = collections.defaultdict(Traffic)

    def later(self, delay: float, function, *arguments) -> None:
        """Do what the network does, booked to nobody."""
        self.loop.call_later(delay, function, *arguments, context=contextvars.Context())

    def delay(self, source: str, target: str) -> float:
        """The one-way delay between two nodes."""
        one, other = self.zones[source], self.zones[target]
        if one == other:
            return self.distance.zone
        return self.distance.region if region_of(one) == region_of(other) else self.distance.far

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets from one node to another."""
        if source in self.dark or target in self.dark:
            return True
        return bool(self.cuts) and (region_of(self.zones[source]), region_of(self.zones[target])) in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Regions lose each other; streams between them are silent and never come back to life."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Regions find each other again."""
        self.cuts.clear()


class Network:
    """The network as one node sees it."""

    def __init__(self, wire: Wire, address: str):
        self.wire = wire
        self.address = address

    async def listen(self, address: str) -> asyncio.Queue:
        """Accept streams."""
        accepted: asyncio.Queue = asyncio.Queue(BACKLOG)
        self.wire.listeners[address] = accepted
        return accepted

    async def connect(self, address: str) -> Stream:
        """Open a stream; it hangs where the way is cut, and is refused where nobody listens."""
        if address not in self.wire.zones:
            raise ConnectionError(f"{address!r} is no address")
        await asyncio.sleep(2 * self.wire.delay(self.address, address))
        if self.wire.is_cut(self.address, address):
            await asyncio.sleep(HANG)
            raise ConnectionError("no way")
        accepted = self.wire.listeners.get(address)
        if accepted is None or accepted.full():
            raise ConnectionRefusedError(address)
        there, back = Pipe(self.wire, self.address, address), Pipe(self.wire, address, self.address)
        accepted.put_nowait(Stream(self.wire, there, back))
        return Stream(self.wire, back, there)
