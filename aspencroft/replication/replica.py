"""A replica of a replication group on this node: its log, what the disk holds of it, and the state that it gives."""

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
    """What a replica holds in memory, in bytes and entries.

    Snapshot and state share their bytes where the snapshot was encoded here; the log has its own.
    """

    snapshot_bytes: int
    journal_bytes: int
    journal_entries: int
    state_bytes: int
    state_entries: int


class Replica:
    """A replica of one group: what the disk holds and what memory holds never differ, also when callers are cancelled.

    The disk is written first, and the change in memory follows in the same uninterrupted step.
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
        """Read the disk; an empty or damaged store starts empty, under a new identity.

        Raises:
            OSError: The disk failed when the new identity was written.

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
        """Take in the next record of the disk; ``chunks`` are those of a snapshot whose end was not read yet.

        An entry replaces an earlier one with its sequence, and all behind that: whoever wrote it did not hold them.
        Earlier versions left such entries when the caller of a write was cancelled.
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
        """What each generation on disk begins with, in front of the snapshot."""
        return [
            log_records.Identity(self.identity),
            *([self.record] if self.record else []),
            *([self.goal] if self.goal is not None and self.is_incomplete() else []),
        ]

    def create_identity(self) -> str:
        """An identity that no other store has."""
        return format(self.environment.randomness.getrandbits(64), "016x")

    def last(self) -> log_records.LogPosition:
        """The position at the end of the log."""
        return self.log.last_position()

    def digest_at(self, sequence: int) -> bytes | None:
        """The digest of the log at a sequence, where it is still known."""
        return self.log.digest_at(sequence)

    def has_state(self) -> bool:
        """Whether this replica holds anything at all."""
        return bool(self.log.entries or self.log.snapshot.sequence)

    def is_incomplete(self) -> bool:
        """Whether a repair was begun and is not finished: acknowledged entries may be missing here."""
        if self.goal is not None:
            is_past = self.goal.sequence < self.log.snapshot.sequence
            if is_past or self.log.has_position(self.goal):
                LOG.info(
                    "repair finished: group {}, sequence {}, its goal is reached", self.group_id, self.last().sequence
                )
                self.goal = None
        return self.goal is not None

    def memory(self) -> ReplicaMemory:
        """What this replica holds in memory."""
        return ReplicaMemory(
            self.log.snapshot_bytes,
            self.log.entry_bytes,
            len(self.log.entries),
            self.state_machine.payload_bytes(),
            self.state_machine.size(),
        )

    def rebuild_state(self) -> None:
        """Build the state anew from snapshot and entries; the snapshot shares the state's bytes from then on."""
        self.state_machine = self.make_state_machine()
        if self.log.snapshot.pieces:
            self.state_machine.restore(self.log.take_snapshot_body())
            pieces = tuple(self.state_machine.snapshot_parts())
            self.log.set_snapshot(dataclasses.replace(self.log.snapshot, pieces=pieces))
        for entry in self.log.entries:
            self.state_machine.apply(codec.untagged(entry.body))
        self.applied_sequence = self.last().sequence

    def apply(self, entry: log_records.Entry, event: state_machine.Event) -> None:
        """Apply an entry's event to the state, which may run ahead of the log while a primary's entries are synced."""
        self.state_machine.apply(event)
        self.applied_sequence = entry.sequence

    def apply_all(self, entries: tuple[log_records.Entry, ...]) -> None:
        """Apply the events of entries that the log holds."""
        for entry in entries:
            self.apply(entry, codec.untagged(entry.body))

    def reset_after_tenure(self) -> None:
        """As primary no longer: the state shows exactly the log, and its clocks count for nothing."""
        if self.applied_sequence == self.last().sequence:
            self.state_machine.reset_clocks()
        else:
            self.rebuild_state()

    async def write_records(self, *records: log_records.StoredRecord) -> None:
        """Make records durable, all or none; a cancellation takes effect once that is done.

        Raises:
            OSError: The disk failed.

        """
        await uninterrupted.finish(self.storage.write_items(tuple(map(log_records.encode_item, records))))

    async def persist_record(self, record: replica_set.ReplicaSet) -> None:
        """Make a newer replica set durable before anything is done under it.

        Raises:
            OSError: The disk failed; the older replica set stands.

        """
        if self.record is None or record.epoch > self.record.epoch:
            await uninterrupted.finish(self.write_replica_set(record))

    async def write_replica_set(self, record: replica_set.ReplicaSet) -> None:
        """The steps of ``persist_record``.

        Written twice, as a disk may lose its last synced record, and no other replica need hold the same one.
        """
        await self.storage.write_items((log_records.encode_item(record), log_records.encode_item(record)))
        if self.record is None or record.epoch > self.record.epoch:
            self.record = record

    async def append(self, entries: tuple[log_records.Entry, ...]) -> None:
        """As backup: make entries that follow the last one durable, then apply them.

        Raises:
            OSError: The disk failed; the log is what it was.

        """
        await uninterrupted.finish(self.write_and_apply(entries))

    async def write_and_apply(self, entries: tuple[log_records.Entry, ...]) -> None:
        """The steps of ``append``."""
        await self.write_and_remember(entries)
        self.apply_all(entries)

    async def write_entries(self, entries: tuple[log_records.Entry, ...]) -> None:
        """As primary: make entries that follow the last one, and are applied already, durable.

        Raises:
            OSError: The disk failed; the log is what it was.

        """
        await uninterrupted.finish(self.write_and_remember(entries))

    async def write_and_remember(self, entries: tuple[log_records.Entry, ...]) -> None:
        """The steps of ``write_entries``: first the disk, then the log in memory."""
        await self.storage.write_items(tuple(map(log_records.encode_item, entries)))
        for entry in entries:
            self.log.append(entry)

    def begin_snapshot(self) -> bool:
        """Begin a snapshot if one is due and the state shows exactly the log; whether one was begun."""
        return self.applied_sequence == self.last().sequence and self.snapshotter.begin(self.state_machine)

    async def compact(self) -> None:
        """Replace the entries by a snapshot, if one is due."""
        if self.begin_snapshot():
            await self.snapshotter.write_pending()

    async def begin_repair(self, goal: log_records.RepairGoal) -> None:
        """Make it durable that acknowledged entries may be missing here until a position is reached.

        Before the first step of the repair, which may truncate the log: after a crash in between, this replica must
        not take over with what it has left.

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
        """Become like the primary's replica; the position at the end then.

        Args:
            keep_through: The sequence up to which the logs agree; what is behind it is dropped.
            snapshot: In place of all that is held, if the logs agree nowhere.
            entries: Those of the primary behind that.

        Raises:
            RequestError: This log changed since it was compared.
            OSError: The disk failed; this replica is what it was.

        """
        await uninterrupted.finish(self.replace_behind(keep_through, snapshot, entries))
        return self.last()

    async def replace_behind(
        self,
        keep_through: int,
        snapshot: log_records.Snapshot | log_records.EncodedSnapshot | None,
        entries: tuple[log_records.Entry, ...],
    ) -> None:
        """The steps of ``repair``: first the disk, then memory, so that a failed write leaves both as they were."""
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
            agreeing = keep_through - base.sequence
            if not 0 <= agreeing <= len(present):
                raise result.RequestError(
                    result.ResultCode.NOT_PRIMARY, detail="the copy has moved on since it was compared"
                )
            await self.storage.rewrite(base, [*present[:agreeing], *entries])
            if snapshot is not None:
                self.log.replace_with(base)
            self.log.truncate_to(agreeing)
            for entry in entries:
                self.log.append(entry)
        self.rebuild_state()

    async def release(self) -> None:
        """Free all data, under another identity: nobody may take this replica for the one that held it.

        Raises:
            OSError: The disk failed; this replica is what it was.

        """
        await uninterrupted.finish(self.replace_by_empty())

    async def replace_by_empty(self) -> None:
        """The steps of ``release``: first the disk, so that a failed write leaves all as it was."""
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
