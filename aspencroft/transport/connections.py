"""A node's link to its peers: accepted connections are served, messages go out by one connection to each peer."""

import asyncio
import collections
import datetime
import itertools
import struct
import typing

import logbook

from aspencroft.errors import result
from aspencroft.runtime import clock, environment, supervision
from aspencroft.transport import frame, peer_connection

LOG = logbook.Logger("transport.connections")
MAX_CONCURRENT_REQUESTS = 512
"""For each accepted connection; further frames wait unread, so that a peer is slowed down."""

MIN_WITHDRAWN_BYTES = 4096
"""Requests from this size on are not sent once they were given up; smaller ones may still tell a peer something."""


class Server(typing.Protocol):
    """Whoever answers the messages that reach a node."""

    async def answer(self, message: typing.Any) -> typing.Any:
        """Answer a message.

        Raises:
            RequestError: it is rejected.

        """
        ...


class QueuedFrame(typing.NamedTuple):
    """A frame in the backlog of a connection to a peer."""

    peer: peer_connection.PeerConnection
    queued: peer_connection.EncodedFrame


class Link:
    """A node's connections: it listens, answers what peers send, and keeps one outgoing connection to each peer."""

    def __init__(self, node_environment: environment.Environment, address: str, server: Server) -> None:
        self.environment = node_environment
        self.address = address
        self.server = server
        self.peers: dict[str, peer_connection.PeerConnection] = {}
        self.request_numbers = itertools.count(1)
        self.counts: collections.Counter[str] = collections.Counter()
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

        A peer numbers its requests upwards: one that is delivered twice is answered once, lest a conditional write
        meet its own first delivery and be rejected as not run.
        """
        slots, newest_request = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS), 0
        responses: asyncio.Queue[bytes] = asyncio.Queue(MAX_CONCURRENT_REQUESTS)
        try:
            async with supervision.Group() as group:
                group.create_task(self.send_responses(channel, responses))
                while True:
                    received = await frame.receive(channel)
                    self.counts["frames in"] += 1
                    if received.request_number and received.request_number <= newest_request:
                        self.counts["doubled frames"] += 1
                        continue
                    newest_request = max(newest_request, received.request_number)
                    await slots.acquire()
                    group.create_task(self.handle(received, responses, slots))
        except* (OSError, EOFError):
            pass
        except* frame.FrameError as error:
            self.counts["broken frames"] += 1
            LOG.warning(
                "{}: closed an accepted connection for frames that cannot be read: {}", self.address, error.exceptions
            )
        except* Exception:
            # Whatever a peer sends must not end the node's link.
            self.counts["internal faults"] += 1
            LOG.exception("{}: closed an accepted connection for an internal fault", self.address)
        finally:
            channel.close()

    async def send_responses(self, channel: environment.Channel, responses: asyncio.Queue[bytes]) -> None:
        """Write a connection's responses in the order in which they come to be."""
        while True:
            await channel.write(await responses.get())

    async def handle(self, received: frame.Frame, responses: asyncio.Queue[bytes], slots: asyncio.Semaphore) -> None:
        """Have one message answered, and give its place among the concurrent ones back."""
        try:
            pinged = isinstance(received.message, peer_connection.Ping)
            reply = received.message if pinged else await self.server.answer(received.message)
            if received.frame_kind == frame.REQUEST:
                await responses.put(encoded(frame.Frame(frame.RESPONSE, received.request_number, 0, reply)))
        except result.RequestError as rejection:
            if received.frame_kind == frame.REQUEST:
                await responses.put(
                    frame.encode(frame.Frame(frame.FAULT, received.request_number, 0, to_fault(rejection)))
                )
        except Exception as error:
            # An unforeseen fault in a handler ends neither the connection nor the other requests on it.
            self.counts["internal faults"] += 1
            LOG.exception("{}: a {} could not be answered", self.address, type(received.message).__name__)
            if received.frame_kind == frame.REQUEST:
                unforeseen = result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN, repr(error))
                fault = frame.Frame(frame.FAULT, received.request_number, 0, to_fault(unforeseen))
                await responses.put(frame.encode(fault))
        finally:
            slots.release()

    def forget_peer(self, address: str) -> None:
        """Drop an idle connection; the next message opens another."""
        self.peers.pop(address, None)

    def queue(self, address: str, outgoing: frame.Frame) -> "QueuedFrame":
        """Put a frame into a peer's bounded backlog.

        Raises:
            RequestError: the backlog is full, the link is not up, or the message cannot be encoded; nothing was sent.

        """
        data = encoded(outgoing)
        peer = self.peers.get(address)
        if peer is None:
            if self.group is None:
                raise result.RequestError(result.ResultCode.UNREACHABLE, detail="the link is not up")
            peer = self.peers[address] = peer_connection.PeerConnection(
                address, self.environment, self.counts, self.forget_peer
            )
            self.group.create_task(peer.run())
        if peer.backlog.full():
            self.counts["refused"] += 1
            raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"queue to {address} is full")
        self.counts["frames out"] += 1
        queued = peer_connection.EncodedFrame(outgoing.frame_kind, data)
        peer.backlog.put_nowait(queued)
        return QueuedFrame(peer, queued)

    def notify(self, address: str, message: object, epoch: int = 0) -> None:
        """Send without awaiting a response; it may be lost."""
        try:
            self.queue(address, frame.Frame(frame.NOTIFICATION, 0, epoch, message))
        except result.RequestError:
            self.counts["tells lost"] += 1

    async def request(self, address: str, message: object, within: datetime.timedelta, epoch: int = 0) -> typing.Any:
        """Send a request and await its response, for so long at most.

        Raises:
            RequestError: what the peer rejected it with; unreachable, with an unknown outcome where it was sent.

        """
        if address == self.address:
            return await self.server.answer(message)
        request_number = next(self.request_numbers)
        response: asyncio.Future[frame.Frame] = asyncio.get_running_loop().create_future()
        peer, queued = self.queue(address, frame.Frame(frame.REQUEST, request_number, epoch, message))
        peer.in_flight[request_number] = response
        try:
            async with clock.limit(within):
                received = await response
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, f"{address} did not answer in time"
            ) from None
        finally:
            peer.in_flight.pop(request_number, None)
            if queued.data is not None and len(queued.data) >= MIN_WITHDRAWN_BYTES:
                queued.withdraw()
            # A future holds its exception, whose traceback holds this frame: without this cycle all is freed at once.
            del response
        if received.frame_kind == frame.FAULT:
            raise from_fault(typing.cast(frame.Fault, received.message))
        return received.message


def encoded(outgoing: frame.Frame) -> bytes:
    """A frame's bytes; a message that has none is rejected here, where it was made, and harms no connection."""
    try:
        return frame.encode(outgoing)
    except frame.FrameError as error:
        raise result.RequestError(result.ResultCode.TOO_LARGE, detail=str(error)) from None
    except (ValueError, TypeError, AttributeError, struct.error) as error:
        raise result.RequestError(
            result.ResultCode.MALFORMED, detail=f"{type(outgoing.message).__name__}: {error!r}"[:300]
        ) from None


def to_fault(rejection: result.RequestError) -> frame.Fault:
    """A rejection as it is sent."""
    retry = -1 if rejection.retry is None else int(rejection.retry.total_seconds() * 1e6)
    return frame.Fault(
        rejection.result.number, rejection.ran.value, rejection.detail.encode("utf-8", "replace").decode(), retry
    )


def from_fault(fault: frame.Fault) -> result.RequestError:
    """The rejection that was sent."""
    retry = None if fault.retry < 0 else datetime.timedelta(microseconds=fault.retry)
    outcomes = {ran.value: ran for ran in result.Ran}
    return result.RequestError(
        result.by_number(fault.result), outcomes.get(fault.ran, result.Ran.UNKNOWN), fault.detail, retry
    )
