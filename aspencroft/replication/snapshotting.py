"""Snapshots of a replica: when one is due, how it is encoded in pieces and written beside the writes that go on."""

import asyncio
import collections.abc
import dataclasses

import logbook

from aspencroft.replication import log_records, replica_log, replica_storage, state_machine
from aspencroft.runtime import clock
from aspencroft.storage import data_file

LOG = logbook.Logger("replication.snapshots")

COMPACT_ENTRIES = 4000
COMPACT_BYTES = 2 << 20
"""Entries, or bytes of entries, above which the log is compacted at any time."""

EARLY_COMPACT_ENTRIES = 512
EARLY_COMPACT_BYTES = 256 << 10
EARLY_COMPACT_INTERVAL = clock.seconds(10)
"""Entries, or bytes of entries, that are enough once the last snapshot is so long ago.

Disk, start and catching up follow the size of the state then, and not the changes of a whole day.
"""

TRANSFER_FACTOR = 4
"""How many times longer the log may grow while a snapshot is sent, as the receiver needs the entries behind it next."""

PIECES_PER_YIELD = 64
"""Pieces of a snapshot, or pages of 4 KiB of them, that are encoded before the loop gets its turn."""


@dataclasses.dataclass(frozen=True)
class PendingSnapshot:
    """A snapshot that was begun: the position whose state it shows, and its pieces still to be encoded."""

    position: log_records.LogPosition
    epoch: int
    parts: collections.abc.Iterator[bytes]


class SnapshotSchedule:
    """When the log is to be compacted."""

    def __init__(self) -> None:
        self.early_compact_at = clock.ZERO
        self.retry_at = clock.ZERO
        self.active_transfers = 0

    def is_due(self, log: replica_log.ReplicaLog, state_size: int) -> bool:
        """Whether the log is long enough, in entries or bytes, for a snapshot of a state of so many entries."""
        if self.is_longer_than(log, state_size, COMPACT_ENTRIES, COMPACT_BYTES):
            return True
        is_early = clock.now() >= self.early_compact_at
        return is_early and self.is_longer_than(log, state_size, EARLY_COMPACT_ENTRIES, EARLY_COMPACT_BYTES)

    def is_longer_than(self, log: replica_log.ReplicaLog, state_size: int, entries: int, size: int) -> bool:
        """Whether the log has more than so many entries or bytes, and than half of what the state has.

        In proportion to the state, so that the cost of snapshots stays in proportion to the changes.
        """
        factor = TRANSFER_FACTOR if self.active_transfers else 1
        has_many_entries = len(log.entries) >= factor * max(entries, state_size // 2)
        return has_many_entries or log.entry_bytes >= factor * max(size, log.snapshot_bytes // 2)

    def begin_transfer(self) -> None:
        """A snapshot begins to be sent to a member."""
        self.active_transfers += 1

    def end_transfer(self) -> bool:
        """A snapshot is no longer sent; whether it was the only one."""
        self.active_transfers -= 1
        return not self.active_transfers

    def note_written(self) -> None:
        """A snapshot was written: for a while only a long log calls for another."""
        self.early_compact_at = clock.now() + EARLY_COMPACT_INTERVAL

    def note_failed(self) -> None:
        """The disk refused a snapshot: none is begun for a while."""
        self.retry_at = clock.now() + replica_storage.DISK_RETRY


class Snapshotter:
    """Takes snapshots of a replica's state and compacts log and storage by them."""

    def __init__(self, group_id: int, log: replica_log.ReplicaLog, storage: replica_storage.ReplicaStorage) -> None:
        self.group_id = group_id
        self.log = log
        self.storage = storage
        self.schedule = SnapshotSchedule()
        self.is_active = False
        self.pending: PendingSnapshot | None = None
        self.requested = asyncio.Event()

    def begin(self, machine: state_machine.StateMachine) -> bool:
        """Take hold of a state that shows exactly the log, if a snapshot is due; whether one was begun.

        It is encoded and written later, while further entries come in; they are noted to be written behind it.
        """
        if self.is_active or not self.schedule.is_due(self.log, machine.size()) or not self.log.entries:
            return False
        if clock.now() < self.schedule.retry_at:
            return False
        self.is_active, self.storage.snapshot_tail = True, []
        epoch = self.log.entries[-1].epoch
        self.pending = PendingSnapshot(self.log.last_position(), epoch, machine.snapshot_parts())
        self.requested.set()
        return True

    async def run(self) -> None:
        """Write each snapshot that is begun, for ever."""
        while True:
            await self.requested.wait()
            await self.write_pending()

    async def write_pending(self) -> None:
        """Encode and write the snapshot that was begun, if there is one; if the disk fails, a later one is tried."""
        self.requested.clear()
        if self.pending is None:
            return
        pending, tail, self.pending = self.pending, self.storage.snapshot_tail, None
        position = pending.position
        try:
            if tail is not None:
                pieces = await encode_pieces(pending.parts)
                snapshot = log_records.EncodedSnapshot(pending.epoch, position.sequence, position.digest, pieces)
                await self.write_beside(snapshot, tail)
        except OSError as error:
            self.schedule.note_failed()
            LOG.warning("snapshot not written: group {}, sequence {}: {}", self.group_id, position.sequence, error)
        finally:
            self.is_active = False
            if self.storage.snapshot_tail is tail:
                self.storage.snapshot_tail = None

    async def write_beside(self, snapshot: log_records.EncodedSnapshot, tail: list[data_file.Record]) -> None:
        """Write a generation of a snapshot and of what was written since it was begun, then switch to it.

        The generation in force takes entries meanwhile; only the tail and the switch hold them up, so that none falls
        between the two. A repair or a release in between makes a generation of its own: then this one is discarded.

        Raises:
            OSError: The disk failed; the older generation stays in force.

        """
        storage = self.storage
        generation = storage.create_generation()
        try:
            await storage.write_generation(generation, snapshot, ())
            async with storage.write_lock:
                if storage.snapshot_tail is not tail:
                    await storage.discard(generation)
                    return
                if tail:
                    await storage.environment.disk.perform(generation.append, tuple(tail))
                await storage.switch_to(generation)
                self.log.compact_to(snapshot)
                self.schedule.note_written()
        except OSError:
            if storage.current is not generation:
                await storage.discard(generation)
            raise


async def encode_pieces(parts: collections.abc.Iterator[bytes]) -> tuple[bytes, ...]:
    """All pieces of a snapshot; the loop gets its turn after a bounded number of them."""
    pieces, work = [], 0
    for part in parts:
        pieces.append(part)
        work += 1 + len(part) // 4096
        if work >= PIECES_PER_YIELD:
            await clock.sleep(clock.ZERO)
            work = 0
    return tuple(pieces)
