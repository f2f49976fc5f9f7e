"""Sending a large snapshot to another member in bounded chunks, resumed where a connection broke."""

import asyncio
import collections.abc
import dataclasses
import datetime

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import group_state, log_records, messages
from aspencroft.runtime import clock

CHUNK_BYTES = 256 << 10
"""Bytes of a snapshot in one message, so that no message holds up the others of its connection for long."""

CHUNK_TIMEOUT = clock.seconds(3)
CHUNK_ATTEMPTS = 5
"""How long a chunk may take to be acknowledged, and how often it is sent if the member can't be reached."""

INSTALL_TIMEOUT = clock.seconds(5)
INSTALL_BYTES_PER_SECOND = 4 << 20
"""How long an installation may take: so long, and more by the snapshot's size, at what the slowest disk writes."""

DISCARD_AFTER = clock.seconds(30)
"""The memory of an incomplete transfer is freed when no chunk came for so long."""


def split_chunks(pieces: tuple[bytes, ...], offset: int) -> collections.abc.Iterator[bytes]:
    """The bytes of all pieces from an offset on, in chunks of bounded size; nothing is copied that is not sent.

    Example: ``list(split_chunks((b"abc", b"def"), 4)) == [b"ef"]``
    """
    waiting: list[memoryview] = []
    size, piece_offset = 0, 0
    for piece in pieces:
        unsent = memoryview(piece)[max(0, offset - piece_offset) :]
        piece_offset += len(piece)
        while unsent:
            taken, unsent = unsent[: CHUNK_BYTES - size], unsent[CHUNK_BYTES - size :]
            waiting.append(taken)
            size += len(taken)
            if size == CHUNK_BYTES:
                yield b"".join(waiting)
                waiting, size = [], 0
    if waiting:
        yield b"".join(waiting)


class IncomingSnapshot:
    """The chunks that a member has received of a snapshot; its log is what it was until all of them are there."""

    def __init__(self) -> None:
        self.transfer_id = 0
        self.chunks: list[bytes] = []
        self.size = 0
        self.expiry: asyncio.TimerHandle | None = None

    def add_chunk(self, chunk: messages.SnapshotChunk) -> int:
        """Add a chunk if it follows the last one; how many bytes of its transfer were received then."""
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
        """The complete snapshot.

        Raises:
            RequestError: Not all of its bytes were received, or they are another transfer's.

        """
        if end.transfer_id != self.transfer_id or end.size != self.size:
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="parts of the snapshot are missing")
        return log_records.EncodedSnapshot(end.epoch, end.sequence, end.digest, tuple(self.chunks))

    def clear(self) -> None:
        """Free all chunks."""
        self.transfer_id, self.chunks, self.size = 0, [], 0


@dataclasses.dataclass(frozen=True)
class Transfer:
    """A snapshot that is sent, under an id that no other snapshot has."""

    transfer_id: int
    snapshot: log_records.EncodedSnapshot


class SnapshotSender:
    """Sends a primary's snapshots to members that are repaired."""

    def __init__(self, own: group_state.GroupState) -> None:
        self.group = own
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
        """Have a member receive and install a snapshot; the end of its log then.

        Compaction here waits meanwhile, so that the entries behind this snapshot are there to be sent next.

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
        """Send what the member has not received of a transfer yet.

        An empty chunk asks how much that is; whenever the answer is not what was sent, the transfer goes on from there.
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
        """Send one chunk, again after a broken connection; how many bytes the member has received then.

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
        """Have the member replace its log by the snapshot that it received; the end of its log then.

        Raises:
            RequestError: The member can't be reached, or lacks a part of the snapshot.

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
