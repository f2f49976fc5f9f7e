"""A replica of a replication group on this node: its log, its data on disk, and the state built from them."""

import collections.abc
import dataclasses
import pathlib

import logbook

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import log_records, replica_log, replica_storage, snapshotting, state_machine
from aspencroft.runtime import allocator, environment, uninterrupted
from aspencroft.storage import data_file
from aspencroft.transport import codec

LOG = logbook.Logger("replication.replica")


@dataclasses.dataclass(frozen=True)
class ReplicaMemory:
    """The memory of a replica, in bytes and entries.

    Snapshot and state share their bytes if the snapshot was encoded here; the log has its own.
    """

    snapshot_bytes: int
    journal_bytes: int
    journal_entries: int
    state_bytes: int
    state_entries: int


class Replica:
    """A replica of one group. Disk and log in memory hold the same entries, even if callers are cancelled.

    Entries and replica sets are written to the disk first; the change in memory follows in the same uninterrupted step.
    The state may be ahead of the log while a primary syncs its entries. A cancelled ``begin_repair`` may leave its goal
    only on disk. ``open`` and ``release`` set a new identity in memory before it is written.
    """

    def __init__(
        self,
        node_environment: environment.Environment,
        folder: pathlib.Path,
        group_id: int,
        make_state_machine: collections.abc.Callable[[], state_machine.StateMachine],
    ) -> None:
        self.environment = node_environment
        self.folder = folder
        self.group_id = group_id
        self.make_state_machine = make_state_machine
        self.condition = data_file.Condition.EMPTY
        self.identity = ""
        self.record: replica_set.ReplicaSet | None = None
        self.goal: log_records.RepairGoal | None = None
        self.log = replica_log.ReplicaLog()
        self.storage = replica_storage.ReplicaStorage(node_environment, folder, group_id, self.header_records)
        self.snapshotter = snapshotting.Snapshotter(group_id, self.log, self.storage)
        self.state_machine = make_state_machine()
        self.applied_sequence = 0

    async def open(self) -> None:
        """Read the disk; an empty or damaged store starts empty, with a new identity.

        Raises:
            OSError: The disk failed while the new identity was written.

        """
        unread, self.condition = await self.storage.load()
        self.identity, self.record, self.goal = "", None, None
        self.log.replace_with(log_records.EMPTY_SNAPSHOT)
        chunks: list[bytes] = []
        while unread:
            self.restore_record(codec.untagged(unread.popleft().payload), chunks)
        if self.condition is data_file.Condition.DAMAGED:
            LOG.warning(
                "damaged store found: group {}, folder {}, starts empty under a new identity, to be repaired",
                self.group_id,
                self.folder,
            )
        if not self.identity:
            self.identity = self.create_identity()
            await self.write_records(log_records.Identity(self.identity))
        self.rebuild_state()

    def restore_record(self, record: log_records.StoredRecord, chunks: list[bytes]) -> None:
        """Process the next record of the disk; ``chunks`` belong to a snapshot whose end was not read yet.

        An entry replaces an earlier entry with the same sequence, and all entries after that one, because the replica
        no longer held them in memory when it wrote the later entry. Earlier versions left such entries on disk
        when the caller of a write was cancelled.
        """
        if isinstance(record, log_records.Identity):
            self.identity = record.identity
        elif isinstance(record, replica_set.ReplicaSet):
            self.record = record
        elif isinstance(record, log_records.RepairGoal):
            self.goal = record
        elif isinstance(record, log_records.Snapshot):
            self.log.replace_with(record)
        elif isinstance(record, log_records.StoredChunk):
            chunks.append(record.body)
        elif isinstance(record, log_records.StoredSnapshot):
            self.log.replace_with(
                log_records.EncodedSnapshot(record.epoch, record.sequence, record.digest, tuple(chunks))
            )
            chunks.clear()
        else:
            if record.sequence <= self.last().sequence:
                LOG.warning(
                    "log truncated at recovery: group {}, from sequence {} to {}, replaced by a later write",
                    self.group_id,
                    self.last().sequence,
                    record.sequence - 1,
                )
            self.log.truncate_to(max(0, record.sequence - self.log.snapshot.sequence - 1))
            self.log.append(record)

    def header_records(self) -> list[log_records.StoredRecord]:
        """The records at the start of each data file generation, before the snapshot."""
        return [
            log_records.Identity(self.identity),
            *([self.record] if self.record else []),
            *([self.goal] if self.goal is not None and self.is_incomplete() else []),
        ]

    def create_identity(self) -> str:
        """Create a random identity, unique to this store."""
        return format(self.environment.randomness.getrandbits(64), "016x")

    def last(self) -> log_records.LogPosition:
        """The position at the end of the log."""
        return self.log.last_position()

    def digest_at(self, sequence: int) -> bytes | None:
        """The digest of the log at a sequence, if it is still known."""
        return self.log.digest_at(sequence)

    def has_state(self) -> bool:
        """Whether this replica holds any entry or snapshot."""
        return bool(self.log.entries or self.log.snapshot.sequence)

    def is_incomplete(self) -> bool:
        """Whether an unfinished repair may have left this replica without some acknowledged entries.

        This also ends a repair whose goal is reached.
        """
        if self.goal is not None:
            is_past = self.goal.sequence < self.log.snapshot.sequence
            if is_past or self.log.has_position(self.goal):
                LOG.info(
                    "repair finished: group {}, sequence {}, its goal is reached", self.group_id, self.last().sequence
                )
                self.goal = None
        return self.goal is not None

    def memory(self) -> ReplicaMemory:
        """Measure what this replica holds in memory."""
        return ReplicaMemory(
            self.log.snapshot_bytes,
            self.log.entry_bytes,
            len(self.log.entries),
            self.state_machine.payload_bytes(),
            self.state_machine.size(),
        )

    def rebuild_state(self) -> None:
        """Rebuild the state from snapshot and entries; afterwards the snapshot shares its bytes with the state."""
        self.state_machine = self.make_state_machine()
        if self.log.snapshot.pieces:
            self.state_machine.restore(self.log.take_snapshot_body())
            pieces = tuple(self.state_machine.snapshot_parts())
            self.log.set_snapshot(dataclasses.replace(self.log.snapshot, pieces=pieces))
        for entry in self.log.entries:
            self.state_machine.apply(codec.untagged(entry.body))
        self.applied_sequence = self.last().sequence

    def apply(self, entry: log_records.Entry, event: state_machine.Event) -> None:
        """Apply an entry's event to the state, which may be ahead of the log while a primary syncs its entries."""
        self.state_machine.apply(event)
        self.applied_sequence = entry.sequence

    def apply_all(self, entries: tuple[log_records.Entry, ...]) -> None:
        """Apply the events of entries that are already in the log."""
        for entry in entries:
            self.apply(entry, codec.untagged(entry.body))

    def reset_after_tenure(self) -> None:
        """After a term as primary: make the state match the log exactly, and reset its clocks."""
        if self.applied_sequence == self.last().sequence:
            self.state_machine.reset_clocks()
        else:
            self.rebuild_state()

    async def write_records(self, *records: log_records.StoredRecord) -> None:
        """Make records durable, all or none; a cancellation takes effect after the write.

        Raises:
            OSError: The disk failed.

        """
        await uninterrupted.finish(self.storage.write_items(tuple(map(log_records.encode_item, records))))

    async def persist_record(self, record: replica_set.ReplicaSet) -> None:
        """Make a newer replica set durable before it is acted on.

        Raises:
            OSError: The disk failed; the older replica set remains in force.

        """
        if self.record is None or record.epoch > self.record.epoch:
            await uninterrupted.finish(self.write_replica_set(record))

    async def write_replica_set(self, record: replica_set.ReplicaSet) -> None:
        """Perform the steps of ``persist_record``.

        The record is written twice: a disk may lose its last synced record, and possibly no other replica holds it.
        """
        await self.storage.write_items((log_records.encode_item(record), log_records.encode_item(record)))
        if self.record is None or record.epoch > self.record.epoch:
            self.record = record

    async def append(self, entries: tuple[log_records.Entry, ...]) -> None:
        """As a backup: make entries that follow the last one durable, then apply them.

        Raises:
            OSError: The disk failed; the log is unchanged.

        """
        await uninterrupted.finish(self.write_and_apply(entries))

    async def write_and_apply(self, entries: tuple[log_records.Entry, ...]) -> None:
        """Perform the steps of ``append``."""
        await self.write_and_remember(entries)
        self.apply_all(entries)

    async def write_entries(self, entries: tuple[log_records.Entry, ...]) -> None:
        """As the primary: make durable the entries that follow the log's last one; the state has them already.

        Raises:
            OSError: The disk failed; the log is unchanged.

        """
        await uninterrupted.finish(self.write_and_remember(entries))

    async def write_and_remember(self, entries: tuple[log_records.Entry, ...]) -> None:
        """Perform the steps of ``write_entries``: first the disk, then the log in memory."""
        await self.storage.write_items(tuple(map(log_records.encode_item, entries)))
        for entry in entries:
            self.log.append(entry)

    def begin_snapshot(self) -> bool:
        """Begin a snapshot if one is due and the state matches the log exactly; return whether one was begun."""
        return self.applied_sequence == self.last().sequence and self.snapshotter.begin(self.state_machine)

    async def compact(self) -> None:
        """Replace the entries by a snapshot, if one is due."""
        if self.begin_snapshot():
            await self.snapshotter.write_pending()

    async def begin_repair(self, goal: log_records.RepairGoal) -> None:
        """Mark this replica durably as incomplete until it reaches a position.

        The mark is written before the first step of the repair, which may truncate the log: after a crash during the
        repair, this replica must not take over with the remaining entries.

        Raises:
            OSError: The disk failed; no repair was begun.

        """
        if goal != self.goal and not (self.log.has_position(goal) and self.goal is None):
            await self.write_records(goal)
            self.goal = goal
            LOG.info(
                "repair begun: group {}, from sequence {} to {}", self.group_id, self.last().sequence, goal.sequence
            )

    async def repair(
        self,
        keep_through: int,
        snapshot: log_records.Snapshot | log_records.EncodedSnapshot | None,
        entries: tuple[log_records.Entry, ...],
    ) -> log_records.LogPosition:
        """Make the log match the primary's; return its new end.

        Args:
            keep_through: The last sequence at which the logs match; later entries are dropped. With a snapshot it must
                be the snapshot's sequence.
            snapshot: Replaces the whole log, if the logs match nowhere.
            entries: The primary's entries after that.

        Raises:
            RequestError: This log changed since it was compared.
            OSError: The disk failed; this replica is unchanged.

        """
        await uninterrupted.finish(self.replace_behind(keep_through, snapshot, entries))
        return self.last()

    async def replace_behind(
        self,
        keep_through: int,
        snapshot: log_records.Snapshot | log_records.EncodedSnapshot | None,
        entries: tuple[log_records.Entry, ...],
    ) -> None:
        """Perform the steps of ``repair``: first the disk, then memory, so that a failed write changes neither."""
        if snapshot is None and keep_through == self.last().sequence:
            await self.write_and_remember(entries)
            if self.applied_sequence == keep_through:
                self.apply_all(entries)
            else:
                self.rebuild_state()
            return
        async with self.storage.write_lock:
            base = self.log.snapshot if snapshot is None else log_records.encode_snapshot(snapshot)
            present = self.log.entries if snapshot is None else []
            kept_count = keep_through - base.sequence
            if not 0 <= kept_count <= len(present):
                raise result.RequestError(
                    result.ResultCode.NOT_PRIMARY, detail="the log has changed since it was compared"
                )
            await self.storage.rewrite(base, [*present[:kept_count], *entries])
            if snapshot is not None:
                self.log.replace_with(base)
            self.log.truncate_to(kept_count)
            for entry in entries:
                self.log.append(entry)
        self.rebuild_state()

    async def release(self) -> None:
        """Free all data and take a new identity, so that no node mistakes this replica for the one that held it.

        Raises:
            OSError: The disk failed; this replica is unchanged.

        """
        await uninterrupted.finish(self.replace_by_empty())

    async def replace_by_empty(self) -> None:
        """Perform the steps of ``release``: first the disk, so that a failed write changes nothing."""
        released = self.last()
        async with self.storage.write_lock:
            identity, goal = self.identity, self.goal
            self.identity, self.goal = log_records.RELEASED_PREFIX + self.create_identity(), None
            try:
                await self.storage.rewrite(log_records.EMPTY_SNAPSHOT, [])
            except OSError:
                self.identity, self.goal = identity, goal
                raise
            self.log.replace_with(log_records.EMPTY_SNAPSHOT)
        self.rebuild_state()
        allocator.return_free_pages()
        LOG.info(
            "replica released: group {}, sequence {}, identity {} -> {}",
            self.group_id,
            released.sequence,
            identity,
            self.identity,
        )
