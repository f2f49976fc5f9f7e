"""The outgoing connection of a node to one peer: backlog, keepalive, requests in flight."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime

import logbook

from aspencroft.errors import result
from aspencroft.runtime import clock, environment, supervision
from aspencroft.transport import codec, frame

LOG = logbook.Logger("transport.peer_connection")
BACKLOG_FRAMES = 1024
CONNECT_TIMEOUT = clock.seconds(1)
RECONNECT_PAUSE = clock.seconds(0.2)
IDLE_TIMEOUT = clock.seconds(60)
KEEPALIVE_PERIOD = clock.seconds(0.7)
SILENCE_TIMEOUT = clock.seconds(2)


@codec.kind(2)
@dataclasses.dataclass(frozen=True)
class Ping:
    """A keepalive: asks for nothing but a response, which is the same message."""


@dataclasses.dataclass(eq=False)
class EncodedFrame:
    """A frame's kind and bytes; none once it was withdrawn, so that it takes no memory in a backlog."""

    frame_kind: int
    data: bytes | None

    def withdraw(self) -> None:
        """Drop the bytes of a frame that is not to be sent any more. One that is being written is written whole."""
        self.data = None


class PeerConnection:
    """The outgoing connection to one peer: a bounded backlog of frames, and the requests in flight."""

    def __init__(
        self,
        address: str,
        node_environment: environment.Environment,
        counts: collections.Counter[str],
        forget: collections.abc.Callable[[str], None],
    ) -> None:
        self.address = address
        self.environment = node_environment
        self.counts = counts
        self.forget = forget
        self.backlog: asyncio.Queue[EncodedFrame] = asyncio.Queue(BACKLOG_FRAMES)
        self.in_flight: dict[int, asyncio.Future[frame.Frame]] = {}
        self.unanswered_since: datetime.timedelta | None = None

    async def run(self) -> None:
        """Connect, send and receive, again after each failure, until there was nothing to send for long."""
        while True:
            try:
                async with clock.limit(IDLE_TIMEOUT):
                    first = await self.backlog.get()
            except TimeoutError:
                if self.backlog.empty():
                    self.forget(self.address)
                    return
                continue
            channel = None
            try:
                async with clock.limit(CONNECT_TIMEOUT):
                    channel = await self.environment.network.connect(self.address)
                # Before the tasks below: the first request may be written, and count as unanswered, in the first step.
                self.unanswered_since = None
                async with supervision.Group() as group:
                    group.create_task(self.send(channel, first))
                    group.create_task(self.receive(channel))
                    group.create_task(self.watch_for_silence())
            except* (OSError, EOFError, TimeoutError, frame.FrameError) as group_error:
                if any(isinstance(error, frame.FrameError) for error in group_error.exceptions):
                    self.counts["broken frames"] += 1
            except* Exception:
                # Whatever a peer sends must not end the task that talks to it.
                self.counts["internal faults"] += 1
                LOG.exception("peer {}: the connection met an internal fault and is opened anew", self.address)
            finally:
                if channel is not None:
                    channel.close()
                self.fail_in_flight()
            supervision.heed()
            await clock.sleep(RECONNECT_PAUSE)

    async def send(self, channel: environment.Channel, first: EncodedFrame) -> None:
        """Write frames in the order of the backlog."""
        outgoing = first
        while True:
            data = outgoing.data
            if data is not None:
                await channel.write(data)
                # Neither this task nor the frame keeps the bytes while it waits for the next frame.
                del data
                outgoing.withdraw()
                if outgoing.frame_kind == frame.REQUEST and self.unanswered_since is None:
                    self.unanswered_since = clock.now()
            outgoing = await self.backlog.get()

    async def receive(self, channel: environment.Channel) -> None:
        """Match responses with the requests in flight."""
        while True:
            received = await frame.receive(channel)
            self.unanswered_since = None
            response = self.in_flight.pop(received.request_number, None)
            if response is not None and not response.done():
                response.set_result(received)

    async def watch_for_silence(self) -> None:
        """Send keepalives while a request is unanswered; a peer that lost power closes nothing.

        Raises:
            ConnectionResetError: nothing came for longer than the silence timeout.

        """
        while True:
            await clock.sleep(KEEPALIVE_PERIOD)
            if self.unanswered_since is None:
                continue
            if clock.now() - self.unanswered_since > SILENCE_TIMEOUT:
                self.counts["silent connections"] += 1
                LOG.warning(
                    "peer {}: connection closed for silence; unanswered for={} limit={} in flight={}",
                    self.address,
                    clock.now() - self.unanswered_since,
                    SILENCE_TIMEOUT,
                    len(self.in_flight),
                )
                raise ConnectionResetError("no answer for long")
            if not self.backlog.full():
                keepalive = frame.encode(frame.Frame(frame.REQUEST, 0, 0, Ping()))
                self.backlog.put_nowait(EncodedFrame(frame.REQUEST, keepalive))

    def fail_in_flight(self) -> None:
        """Drop the backlog and fail every request in flight: no response can come on a connection that is gone."""
        while not self.backlog.empty():
            self.backlog.get_nowait()
        for response in self.in_flight.values():
            if not response.done():
                response.set_exception(
                    result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN, self.address)
                )
        self.in_flight.clear()
