"""The node's links: one task for each peer and each accepted connection."""

import asyncio
import collections
import dataclasses
import datetime
import itertools
import struct
import typing

import logbook

from aspencroft.errors import result
from aspencroft.runtime import clock, environment, supervision
from aspencroft.transport import codec, frame

LOG = logbook.Logger("transport.connections")
WAITING = 1024
SERVED_AT_ONCE = 512
CONNECT = clock.seconds(1)
REST = clock.seconds(0.2)
IDLE = clock.seconds(60)
PING = clock.seconds(0.7)
SILENT = clock.seconds(2)


@codec.kind(2)
@dataclasses.dataclass(frozen=True)
class Ping:
    """Asks for nothing but a sign of life; answered by itself."""


class Server(typing.Protocol):
    """Whoever answers the messages that reach a node."""

    async def answer(self, message):
        """Answer a message, or raise a RequestError."""
        ...


class Fellow:
    """The way to one other node: a bounded queue out, a table of answers awaited."""

    def __init__(self, address: str, link: "Link"):
        self.address = address
        self.link = link
        self.outward: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue(WAITING)
        self.awaited: dict[int, asyncio.Future] = {}
        self.waiting_since: datetime.timedelta | None = None

    async def run(self) -> None:
        """Connect, send and receive until idle for long."""
        while True:
            try:
                async with clock.limit(IDLE):
                    first = await self.outward.get()
            except TimeoutError:
                if self.outward.empty():
                    self.link.peers.pop(self.address, None)
                    return
                continue
            channel = None
            try:
                async with clock.limit(CONNECT):
                    channel = await self.link.environment.network.connect(self.address)
                async with supervision.Group() as group:
                    group.create_task(self.send(channel, first))
                    group.create_task(self.receive(channel))
                    group.create_task(self.watch())
            except* (OSError, EOFError, TimeoutError, frame.BrokenFrame) as group_error:
                if any(isinstance(error, frame.BrokenFrame) for error in group_error.exceptions):
                    self.link.counts["broken frames"] += 1
            except* Exception:
                self.link.counts["internal faults"] += 1
                LOG.exception("the connection to {}", self.address)
            finally:
                if channel is not None:
                    channel.close()
                self.fail()
            supervision.heed()
            await clock.sleep(REST)

    async def send(self, channel: environment.Channel, first: tuple[int, bytes]) -> None:
        """Write frames as they come."""
        way, data = first
        while True:
            await channel.write(data)
            if way == frame.ASK and self.waiting_since is None:
                self.waiting_since = clock.now()
            way, data = await self.outward.get()

    async def receive(self, channel: environment.Channel) -> None:
        """Match answers with whoever awaits them."""
        while True:
            one = await frame.receive(channel)
            self.waiting_since = None
            waiting = self.awaited.pop(one.number, None)
            if waiting is not None and not waiting.done():
                waiting.set_result(one)

    async def watch(self) -> None:
        """Give a silent connection up: its machine may have lost power without a word."""
        self.waiting_since = None
        while True:
            await clock.sleep(PING)
            if self.waiting_since is None:
                continue
            if clock.now() - self.waiting_since > SILENT:
                self.link.counts["silent connections"] += 1
                raise ConnectionResetError("no answer for long")
            if not self.outward.full():
                self.outward.put_nowait((frame.ASK, frame.encode(frame.Frame(frame.ASK, 0, 0, Ping()))))

    def fail(self) -> None:
        """The connection is gone: nobody who waits gets an answer any more."""
        while not self.outward.empty():
            self.outward.get_nowait()
        for waiting in self.awaited.values():
            if not waiting.done():
                waiting.set_exception(
                    result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, self.address)
                )
        self.awaited.clear()


class Link:
    """All links of one node."""

    def __init__(self, around: environment.Environment, address: str, server: Server):
        self.environment = around
        self.address = address
        self.server = server
        self.peers: dict[str, Fellow] = {}
        self.numbers = itertools.count(1)
        self.counts: collections.Counter = collections.Counter()
        self.group: supervision.Group | None = None

    async def run(self, ready: asyncio.Event) -> None:
        """Listen, and serve every connection in a task of its own."""
        accepted = await self.environment.network.listen(self.address)
        async with supervision.Group() as group:
            self.group = group
            ready.set()
            while True:
                channel = await accepted.get()
                group.create_task(self.serve(channel))

    async def serve(self, channel: environment.Channel) -> None:
        """Answer the frames of one accepted connection until it ends.

        Who asks numbers the questions upwards: one that comes twice is answered once, lest a conditional
        write meet its own first coming and be refused as not run.
        """
        places, newest = asyncio.Semaphore(SERVED_AT_ONCE), 0
        answers: asyncio.Queue[bytes] = asyncio.Queue(SERVED_AT_ONCE)
        try:
            async with supervision.Group() as group:
                group.create_task(self.send_answers(channel, answers))
                while True:
                    one = await frame.receive(channel)
                    self.counts["frames in"] += 1
                    if one.number and one.number <= newest:
                        self.counts["doubled frames"] += 1
                        continue
                    newest = max(newest, one.number)
                    await places.acquire()
                    group.create_task(self.handle(one, answers, places))
        except* (OSError, EOFError):
            pass
        except* frame.BrokenFrame as broken:
            self.counts["broken frames"] += 1
            LOG.warning("closed a connection: {}", broken.exceptions)
        except* Exception:
            self.counts["internal faults"] += 1
            LOG.exception("an accepted connection")
        finally:
            channel.close()

    async def send_answers(self, channel: environment.Channel, answers: asyncio.Queue) -> None:
        """Write a connection's answers in the order in which they come to be."""
        while True:
            await channel.write(await answers.get())

    async def handle(self, one: frame.Frame, answers: asyncio.Queue, places: asyncio.Semaphore) -> None:
        """Have one message answered."""
        try:
            pinged = isinstance(one.message, Ping)
            reply = one.message if pinged else await self.server.answer(one.message)
            if one.way == frame.ASK:
                await answers.put(encoded(frame.Frame(frame.ANSWER, one.number, 0, reply)))
        except result.RequestError as refusal:
            if one.way == frame.ASK:
                await answers.put(frame.encode(frame.Frame(frame.FAULT, one.number, 0, to_fault(refusal))))
        except Exception as error:
            self.counts["internal faults"] += 1
            LOG.exception("a message could not be answered: {}", type(one.message).__name__)
            if one.way == frame.ASK:
                refusal = result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN, repr(error))
                await answers.put(frame.encode(frame.Frame(frame.FAULT, one.number, 0, to_fault(refusal))))
        finally:
            places.release()

    def queue(self, address: str, one: frame.Frame) -> Fellow:
        """Put a frame into a peer's bounded queue; refused at once when it is full."""
        data = encoded(one)
        peer = self.peers.get(address)
        if peer is None:
            if self.group is None:
                raise result.RequestError(result.ResultCode.UNREACHABLE, detail="the link is not up")
            peer = self.peers[address] = Fellow(address, self)
            self.group.create_task(peer.run())
        if peer.outward.full():
            self.counts["refused"] += 1
            raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"queue to {address} is full")
        self.counts["frames out"] += 1
        peer.outward.put_nowait((one.way, data))
        return peer

    def notify(self, address: str, message, epoch: int = 0) -> None:
        """Send without awaiting an answer; it may be lost."""
        try:
            self.queue(address, frame.Frame(frame.TELL, 0, epoch, message))
        except result.RequestError:
            self.counts["tells lost"] += 1

    async def request(self, address: str, message, within: datetime.timedelta, epoch: int = 0):
        """Send and await the answer; a Refusal when there is none in time."""
        if address == self.address:
            return await self.server.answer(message)
        number = next(self.numbers)
        waiting = asyncio.get_running_loop().create_future()
        peer = self.queue(address, frame.Frame(frame.ASK, number, epoch, message))
        peer.awaited[number] = waiting
        try:
            async with clock.limit(within):
                one = await waiting
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, f"{address} did not answer in time"
            ) from None
        finally:
            peer.awaited.pop(number, None)
        if one.way == frame.FAULT:
            raise from_fault(one.message)
        return one.message


def encoded(one: frame.Frame) -> bytes:
    """A frame's bytes; a message that has none is refused here, where it was made, and harms no connection."""
    try:
        return frame.encode(one)
    except frame.BrokenFrame as error:
        raise result.RequestError(result.ResultCode.TOO_LARGE, detail=str(error)) from None
    except (ValueError, TypeError, AttributeError, struct.error) as error:
        raise result.RequestError(
            result.ResultCode.MALFORMED, detail=f"{type(one.message).__name__}: {error!r}"[:300]
        ) from None


def to_fault(refusal: result.RequestError) -> frame.Fault:
    """A refusal as a record."""
    retry = -1 if refusal.retry is None else int(refusal.retry.total_seconds() * 1e6)
    return frame.Fault(
        refusal.result.number, refusal.ran.value, refusal.detail.encode("utf-8", "replace").decode(), retry
    )


def from_fault(fault: frame.Fault) -> result.RequestError:
    """The refusal that a record holds."""
    retry = None if fault.retry < 0 else datetime.timedelta(microseconds=fault.retry)
    known = {ran.value: ran for ran in result.Ran}
    return result.RequestError(
        result.by_number(fault.result), known.get(fault.ran, result.Ran.UNKNOWN), fault.detail, retry
    )
