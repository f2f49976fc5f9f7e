"""Snapshots of a replica: their schedule, their encoding in pieces, and writing them concurrently with appends."""

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
"""Number of entries, or bytes of entries, above which the log is compacted at any time."""

EARLY_COMPACT_ENTRIES = 512
EARLY_COMPACT_BYTES = 256 << 10
EARLY_COMPACT_INTERVAL = clock.seconds(10)
"""Number of entries, or bytes of entries, that suffice once the last snapshot is this old.

Disk use, start time and catch-up then depend on the size of the state, and not on the changes of a whole day.
"""

TRANSFER_FACTOR = 4
"""Factor on the limits of the log while a snapshot is sent: the receiver next needs the entries after it."""

PIECES_PER_YIELD = 64
"""Pieces of a snapshot, or pages of 4 KiB in them, that are encoded before yielding to the event loop."""


@dataclasses.dataclass(frozen=True)
class PendingSnapshot:
    """A snapshot that was begun: the log position of its state, and the pieces still to be encoded."""

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
        """Whether the log is long enough for a snapshot of a state with ``state_size`` entries."""
        if self.is_longer_than(log, state_size, COMPACT_ENTRIES, COMPACT_BYTES):
            return True
        is_early = clock.now() >= self.early_compact_at
        return is_early and self.is_longer_than(log, state_size, EARLY_COMPACT_ENTRIES, EARLY_COMPACT_BYTES)

    def is_longer_than(self, log: replica_log.ReplicaLog, state_size: int, entries: int, size: int) -> bool:
        """Whether the log reaches the given entries or bytes, and half the size of the state.

        The limit grows with the state, so that the cost of snapshots stays proportional to the changes.
        """
        factor = TRANSFER_FACTOR if self.active_transfers else 1
        has_many_entries = len(log.entries) >= factor * max(entries, state_size // 2)
        return has_many_entries or log.entry_bytes >= factor * max(size, log.snapshot_bytes // 2)

    def begin_transfer(self) -> None:
        """Note that a transfer of a snapshot to a member begins."""
        self.active_transfers += 1

    def end_transfer(self) -> bool:
        """Note that a transfer has ended; return whether it was the only one."""
        self.active_transfers -= 1
        return not self.active_transfers

    def note_written(self) -> None:
        """Note a written snapshot: for ``EARLY_COMPACT_INTERVAL`` only a long log requires another one."""
        self.early_compact_at = clock.now() + EARLY_COMPACT_INTERVAL

    def note_failed(self) -> None:
        """Note a disk error: no snapshot is begun until ``DISK_RETRY_DELAY`` has passed."""
        self.retry_at = clock.now() + replica_storage.DISK_RETRY_DELAY


class Snapshotter:
    """Takes snapshots of a replica's state and compacts log and storage with them."""

    def __init__(self, group_id: int, log: replica_log.ReplicaLog, storage: replica_storage.ReplicaStorage) -> None:
        self.group_id = group_id
        self.log = log
        self.storage = storage
        self.schedule = SnapshotSchedule()
        self.is_active = False
        self.pending: PendingSnapshot | None = None
        self.requested = asyncio.Event()

    def begin(self, machine: state_machine.StateMachine) -> bool:
        """Capture a state that matches the log exactly, if a snapshot is due; return whether one was begun.

        It is encoded and written later, while further entries arrive; these are collected and written after it.
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
        """Write each snapshot that is begun, until cancelled."""
        while True:
            await self.requested.wait()
            await self.write_pending()

    async def write_pending(self) -> None:
        """Encode and write the pending snapshot, if there is one; after a disk error a later one is tried."""
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
        """Write a generation with a snapshot and the items written since it was begun, then switch to it.

        Meanwhile entries are appended to the generation in force. Only writing the tail and switching block appends, so
        that no entry is lost between the two generations. A repair or a release in the meantime creates a generation of
        its own; then this one is discarded.

        Raises:
            OSError: The disk failed; the older generation remains in force.

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
    """Encode all pieces of a snapshot, yielding to the event loop after a bounded number of them."""
    pieces, work = [], 0
    for part in parts:
        pieces.append(part)
        work += 1 + len(part) // 4096
        if work >= PIECES_PER_YIELD:
            await clock.sleep(clock.ZERO)
            work = 0
    return tuple(pieces)
