"""Sending a large snapshot to another member in bounded parts, taken up again where a connection broke."""

import asyncio
import collections.abc
import dataclasses
import datetime

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, messages, replica
from aspencroft.runtime import clock

PART_BYTES = 256 << 10
PART_TIME = clock.seconds(3)
INSTALL_TIME = clock.seconds(5)
INSTALL_BYTES_PER_SECOND = 4 << 20
TRIES = 5
FORGOTTEN_AFTER = clock.seconds(30)


def parts_from(pieces: tuple[bytes, ...], offset: int) -> collections.abc.Iterator[bytes]:
    """The bytes of all pieces from an offset on, in parts of bounded size, none copied that is not sent.

    Example: ``list(parts_from((b"abc", b"def"), 4)) == [b"ef"]``
    """
    waiting, size, place = [], 0, 0
    for piece in pieces:
        rest = memoryview(piece)[max(0, offset - place) :]
        place += len(piece)
        while rest:
            taken, rest = rest[: PART_BYTES - size], rest[PART_BYTES - size :]
            waiting.append(taken)
            size += len(taken)
            if size == PART_BYTES:
                yield b"".join(waiting)
                waiting, size = [], 0
    if waiting:
        yield b"".join(waiting)


class IncomingSnapshot:
    """The parts of a snapshot that a member has received, in memory and apart from its copy until they are
    all there.
    """

    def __init__(self):
        self.transfer = 0
        self.parts: list[bytes] = []
        self.size = 0
        self.expiry: asyncio.TimerHandle | None = None

    def take(self, part: messages.SnapshotChunk) -> int:
        """Add a part that follows the last one; how many bytes of its transfer are held then."""
        if part.transfer != self.transfer:
            self.forget()
            self.transfer = part.transfer
        if part.body and part.offset == self.size:
            self.parts.append(part.body)
            self.size += len(part.body)
        if self.expiry is not None:
            self.expiry.cancel()
        self.expiry = asyncio.get_running_loop().call_later(FORGOTTEN_AFTER.total_seconds(), self.forget)
        return self.size

    def whole(self, end: messages.InstallSnapshot) -> replica.EncodedSnapshot:
        """The snapshot; refused unless all of its bytes are held."""
        if end.transfer != self.transfer or end.size != self.size:
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="parts of the snapshot are missing")
        return replica.EncodedSnapshot(end.epoch, end.sequence, end.digest, tuple(self.parts))

    def forget(self) -> None:
        """Let all parts go."""
        self.transfer, self.parts, self.size = 0, [], 0


@dataclasses.dataclass(frozen=True)
class Transfer:
    """A snapshot that is sent, under a number that no other snapshot has."""

    number: int
    snapshot: replica.EncodedSnapshot


class SnapshotSender:
    """The sending side."""

    def __init__(self, own: group_state.GroupState):
        self.own = own
        self.current: Transfer | None = None

    def transfer_of(self, snapshot: replica.EncodedSnapshot) -> Transfer:
        """The transfer of this very snapshot; a later try or another receiver takes it up under the same number."""
        if self.current is None or self.current.snapshot is not snapshot:
            number = self.own.replica.environment.randomness.getrandbits(62) + 1
            self.current = Transfer(number, snapshot)
        return self.current

    async def send(self, peer: replica_set.ReplicaId, snapshot: replica.EncodedSnapshot) -> replica.LogPosition:
        """Have a member hold the whole snapshot and install it; its newest entry then.

        Snapshots of this copy are held back meanwhile, so that the entries behind this one are there to be sent next.
        """
        transfer = self.transfer_of(snapshot)
        self.own.replica.sending += 1
        try:
            await self.send_parts(peer, transfer)
            return await self.install(peer, transfer)
        finally:
            self.own.replica.sending -= 1
            if not self.own.replica.sending:
                self.current = None if self.own.replica.snapshot is not snapshot else self.current

    async def send_parts(self, peer: replica_set.ReplicaId, transfer: Transfer) -> None:
        """Send what the member does not hold of a transfer yet."""
        size = transfer.snapshot.size()
        held = await self.send_part(peer, transfer, 0, b"")
        while held < size:
            for body in parts_from(transfer.snapshot.pieces, held):
                before, held = held, await self.send_part(peer, transfer, held, body)
                if held != before + len(body):
                    break

    async def send_part(self, peer: replica_set.ReplicaId, transfer: Transfer, offset: int, body: bytes) -> int:
        """Send one part, again after a broken connection; how many bytes the member holds then."""
        message = messages.SnapshotChunk(self.own.known, peer.identity, transfer.number, offset, body)
        for _ in range(TRIES - 1):
            try:
                return (await self.own.link.request(peer.address, message, PART_TIME)).held
            except result.RequestError as refusal:
                if refusal.result is not result.ResultCode.UNREACHABLE:
                    raise
            await clock.sleep(group_state.RETRY)
        return (await self.own.link.request(peer.address, message, PART_TIME)).held

    async def install(self, peer: replica_set.ReplicaId, transfer: Transfer) -> replica.LogPosition:
        """Have the member replace its copy by the snapshot that it holds."""
        snapshot, size = transfer.snapshot, transfer.snapshot.size()
        message = messages.InstallSnapshot(
            self.own.known,
            peer.identity,
            transfer.number,
            snapshot.epoch,
            snapshot.sequence,
            snapshot.digest,
            size,
        )
        within: datetime.timedelta = INSTALL_TIME + clock.seconds(size / INSTALL_BYTES_PER_SECOND)
        return (await self.own.link.request(peer.address, message, within)).last
