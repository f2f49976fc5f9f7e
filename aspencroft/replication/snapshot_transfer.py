"""Transfer of a large snapshot to another member in bounded chunks, resumed after a broken connection."""

import asyncio
import collections.abc
import dataclasses
import datetime

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_records, messages
from aspencroft.runtime import clock

CHUNK_BYTES = 256 << 10
"""Maximum bytes of a snapshot in one message, so that no message blocks its connection for long."""

CHUNK_TIMEOUT = clock.seconds(3)
CHUNK_ATTEMPTS = 5
"""Time-out for the acknowledgement of a chunk, and number of attempts while the member can't be reached."""

INSTALL_TIMEOUT = clock.seconds(5)
INSTALL_BYTES_PER_SECOND = 4 << 20
"""Time-out of an installation: a fixed part, and the snapshot's size at the write rate of the slowest disk."""

DISCARD_AFTER = clock.seconds(30)
"""The memory of an incomplete transfer is freed if no chunk arrives for this long."""


def split_chunks(pieces: tuple[bytes, ...], offset: int) -> collections.abc.Iterator[bytes]:
    """Split the bytes of all pieces from an offset on into chunks of bounded size; only bytes to send are copied.

    Example: ``list(split_chunks((b"abc", b"def"), 4)) == [b"ef"]``
    """
    pending: list[memoryview] = []
    size, piece_offset = 0, 0
    for piece in pieces:
        unsent = memoryview(piece)[max(0, offset - piece_offset) :]
        piece_offset += len(piece)
        while unsent:
            taken, unsent = unsent[: CHUNK_BYTES - size], unsent[CHUNK_BYTES - size :]
            pending.append(taken)
            size += len(taken)
            if size == CHUNK_BYTES:
                yield b"".join(pending)
                pending, size = [], 0
    if pending:
        yield b"".join(pending)


class IncomingSnapshot:
    """The received chunks of a snapshot; the member's log is unchanged until all of them have arrived."""

    def __init__(self) -> None:
        self.transfer_id = 0
        self.chunks: list[bytes] = []
        self.size = 0
        self.expiry: asyncio.TimerHandle | None = None

    def add_chunk(self, chunk: messages.SnapshotChunk) -> int:
        """Add a chunk if it follows the last one; return the number of bytes received of its transfer."""
        if chunk.transfer_id != self.transfer_id:
            self.clear()
            self.transfer_id = chunk.transfer_id
        if chunk.body and chunk.offset == self.size:
            self.chunks.append(chunk.body)
            self.size += len(chunk.body)
        if self.expiry is not None:
            self.expiry.cancel()
        self.expiry = asyncio.get_running_loop().call_later(DISCARD_AFTER.total_seconds(), self.clear)
        return self.size

    def assemble(self, end: messages.InstallSnapshot) -> log_records.EncodedSnapshot:
        """Return the complete snapshot.

        Raises:
            RequestError: Not all of its bytes were received, or they belong to another transfer.

        """
        if end.transfer_id != self.transfer_id or end.size != self.size:
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="chunks of the snapshot are missing")
        return log_records.EncodedSnapshot(end.epoch, end.sequence, end.digest, tuple(self.chunks))

    def clear(self) -> None:
        """Free all chunks."""
        self.transfer_id, self.chunks, self.size = 0, [], 0


@dataclasses.dataclass(frozen=True)
class Transfer:
    """A snapshot being sent, under an id that no other snapshot has."""

    transfer_id: int
    snapshot: log_records.EncodedSnapshot


class SnapshotSender:
    """Sends a primary's snapshots to members under repair."""

    def __init__(self, group: group_state.GroupState) -> None:
        self.group = group
        self.current: Transfer | None = None

    def record(self) -> replica_set.ReplicaSet:
        """The replica set under which this primary sends."""
        assert self.group.known is not None, f"a primary of group {self.group.group_id} has a replica set"
        return self.group.known

    def transfer_of(self, snapshot: log_records.EncodedSnapshot) -> Transfer:
        """The transfer of this very snapshot: a retry, or another receiver, resumes it under the same id."""
        if self.current is None or self.current.snapshot is not snapshot:
            transfer_id = self.group.replica.environment.randomness.getrandbits(62) + 1
            self.current = Transfer(transfer_id, snapshot)
        return self.current

    async def send(self, peer: replica_set.ReplicaId, snapshot: log_records.EncodedSnapshot) -> log_records.LogPosition:
        """Have a member receive and install a snapshot; return the end of its log.

        Meanwhile the log here is compacted later than usual, to keep the entries that the member needs next.

        Raises:
            RequestError: The member can't be reached, or rejects the snapshot.

        """
        transfer = self.transfer_of(snapshot)
        replica = self.group.replica
        replica.snapshotter.schedule.begin_transfer()
        try:
            await self.send_chunks(peer, transfer)
            return await self.install(peer, transfer)
        finally:
            is_last = replica.snapshotter.schedule.end_transfer()
            if is_last and replica.log.snapshot is not snapshot:
                self.current = None

    async def send_chunks(self, peer: replica_set.ReplicaId, transfer: Transfer) -> None:
        """Send the part of a transfer that the member has not received yet.

        An empty chunk asks for the number of bytes received. If a reply differs from what was sent, the transfer
        continues from the offset in the reply.
        """
        size = transfer.snapshot.size()
        received = await self.send_chunk(peer, transfer, 0, b"")
        while received < size:
            for body in split_chunks(transfer.snapshot.pieces, received):
                expected = received + len(body)
                received = await self.send_chunk(peer, transfer, received, body)
                if received != expected:
                    break

    async def send_chunk(self, peer: replica_set.ReplicaId, transfer: Transfer, offset: int, body: bytes) -> int:
        """Send one chunk, and again after a broken connection; return the number of bytes that the member has received.

        Raises:
            RequestError: The member can't be reached, or rejects the chunk.

        """
        message = messages.SnapshotChunk(self.record(), peer.identity, transfer.transfer_id, offset, body)
        for _ in range(CHUNK_ATTEMPTS - 1):
            try:
                return (await self.group.link.request(peer.address, message, CHUNK_TIMEOUT)).received_bytes
            except result.RequestError as refusal:
                if refusal.result is not result.ResultCode.UNREACHABLE:
                    raise
            await clock.sleep(group_state.RETRY)
        return (await self.group.link.request(peer.address, message, CHUNK_TIMEOUT)).received_bytes

    async def install(self, peer: replica_set.ReplicaId, transfer: Transfer) -> log_records.LogPosition:
        """Have the member replace its log by the received snapshot; return the end of its log.

        Raises:
            RequestError: The member can't be reached, or lacks a chunk of the snapshot.

        """
        snapshot, size = transfer.snapshot, transfer.snapshot.size()
        message = messages.InstallSnapshot(
            self.record(),
            peer.identity,
            transfer.transfer_id,
            snapshot.epoch,
            snapshot.sequence,
            snapshot.digest,
            size,
        )
        timeout: datetime.timedelta = INSTALL_TIMEOUT + clock.seconds(size / INSTALL_BYTES_PER_SECOND)
        return (await self.group.link.request(peer.address, message, timeout)).last
