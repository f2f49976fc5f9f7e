"""One copy of a pair: journal on disk, entries and digests in memory, a view folded from them."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import hashlib
import itertools
import pathlib
import struct
import typing

import logbook

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.runtime import allocator, clock, environment, uninterrupted
from aspencroft.storage import data_file, store
from aspencroft.transport import codec

LOG = logbook.Logger("replication.replica")
NO_DIGEST = b"\0" * 8
RANGE = 32
DENSE = 1024
COMPACT_ENTRIES = 4000
COMPACT_BYTES = 2 << 20
RESTED_ENTRIES = 512
RESTED_BYTES = 256 << 10
SNAPSHOT_REST = clock.seconds(10)
RELEASED = "r"
"""How the identity of a copy begins that was let go of: it's empty though no disk was lost."""
OF_AN_ENTRY = 250
PART, BREATH = 1 << 20, 64
STALLED = clock.seconds(1.5)
DISK_PAUSE = clock.seconds(2)
WHILE_SENDING = 4


@codec.kind(40)
@dataclasses.dataclass(frozen=True)
class Identity:
    """The name that a store was born with; a lost or damaged store gets another."""

    identity: str


@codec.kind(41)
@dataclasses.dataclass(frozen=True)
class Entry:
    """One event of the journal: epoch and sequence tag it, the body is a tagged record."""

    epoch: int
    sequence: int
    body: bytes


@codec.kind(42)
@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A fold's result; it replaces the events up to its sequence."""

    epoch: int
    sequence: int
    digest: bytes
    body: bytes


@codec.kind(158)
@dataclasses.dataclass(frozen=True)
class StoredChunk:
    """A piece of a snapshot as a disk holds it, so that none is ever written or read as a whole."""

    place: int
    body: bytes


@codec.kind(159)
@dataclasses.dataclass(frozen=True)
class StoredSnapshot:
    """The end of a snapshot's parts: what they show."""

    epoch: int
    sequence: int
    digest: bytes
    parts: int


@dataclasses.dataclass(frozen=True)
class EncodedSnapshot:
    """A snapshot in memory, in pieces: they share their bytes with the view. It is sent like a Picture."""

    epoch: int
    sequence: int
    digest: bytes
    pieces: tuple[bytes, ...]

    @property
    def body(self) -> bytes:
        """All of it, copied together."""
        return b"".join(self.pieces)

    def size(self) -> int:
        """Bytes."""
        return sum(map(len, self.pieces))

    def values(self) -> collections.abc.Iterator[StoredChunk | StoredSnapshot]:
        """The snapshot as a disk holds it."""
        count, waiting, size = 0, [], 0
        for piece in self.pieces:
            waiting.append(piece)
            size += len(piece)
            if size >= PART:
                yield StoredChunk(count, b"".join(waiting))
                count, waiting, size = count + 1, [], 0
        if waiting:
            yield StoredChunk(count, b"".join(waiting))
            count += 1
        yield StoredSnapshot(self.epoch, self.sequence, self.digest, count)


EMPTY_SNAPSHOT = EncodedSnapshot(0, 0, NO_DIGEST, ())


@codec.kind(43)
@dataclasses.dataclass(frozen=True)
class LogPosition:
    """The digest of all events up to a sequence: the end of one range."""

    sequence: int
    digest: bytes


@codec.kind(184)
@dataclasses.dataclass(frozen=True)
class RepairGoal:
    """The copy is being replaced by another's in several steps; it lacks entries until it holds this mark."""

    sequence: int
    digest: bytes


@dataclasses.dataclass(frozen=True)
class ReplicaMemory:
    """What a replica holds in memory, in bytes and entries.

    Snapshot and state share their bytes where the snapshot was drawn here; the journal's are its own.
    """

    snapshot_bytes: int
    journal_bytes: int
    journal_entries: int
    state_bytes: int
    state_entries: int


class StateMachine(typing.Protocol):
    """What a journal means: decides commands, folds events, draws snapshots of itself."""

    def decide(self, command, now, epoch: int) -> tuple[tuple, object]:
        """Events and reply for a command, or a RequestError."""
        ...

    def apply(self, event) -> None:
        """Take an event in."""
        ...

    def due(self, now, gone) -> tuple:
        """Commands that the clock calls for."""
        ...

    def snapshot(self) -> bytes:
        """All of it as bytes."""
        ...

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """The snapshot in parts."""
        ...

    def size(self) -> int:
        """How much a snapshot holds."""
        ...

    def payload_bytes(self) -> int:
        """Bytes of what callers sent and got that it holds."""
        ...

    def limit_payload(self, most: int) -> None:
        """Bound what callers sent and got, in bytes."""
        ...

    def restore(self, body: bytes) -> None:
        """Become what a snapshot holds."""
        ...

    def reset_clocks(self) -> None:
        """Forget times that were counted as primary."""
        ...


def digest_after(digest: bytes, entry: Entry) -> bytes:
    """The chained digest once an entry is added; SHA-256 takes a third of BLAKE2's time where processors help with
    it.
    """
    tag = struct.pack(">QQ", entry.epoch, entry.sequence)
    found = hashlib.sha256(digest + tag)
    found.update(entry.body)
    return found.digest()[: len(NO_DIGEST)]


class Replica:
    """A group's copy on this node's disk."""

    def __init__(
        self,
        around: environment.Environment,
        folder: pathlib.Path,
        group_id: int,
        make_state_machine: collections.abc.Callable[[], StateMachine],
    ):
        self.environment = around
        self.folder = folder
        self.group_id = group_id
        self.make_state_machine = make_state_machine
        self.kept: store.Store | None = None
        self.condition = data_file.Condition.EMPTY
        self.identity = ""
        self.record: replica_set.ReplicaSet | None = None
        self.goal: RepairGoal | None = None
        self.snapshot = EMPTY_SNAPSHOT
        self.snapshot_size = 0
        self.entries: list[Entry] = []
        self.digests: list[bytes] = []
        self.held = 0
        self.state_machine = make_state_machine()
        self.writing = asyncio.Lock()
        self.drawing = False
        self.newest = 0
        self.meanwhile: list[data_file.Record] | None = None
        self.write_began: datetime.timedelta | None = None
        self.next_snapshot = clock.ZERO
        self.rest_end = clock.ZERO
        self.sending = 0
        self.begun: tuple[LogPosition, int, collections.abc.Iterator[bytes]] | None = None
        self.wanted = asyncio.Event()
        self.applied_sequence = 0

    async def open(self) -> None:
        """Read the journal; an empty or damaged one is born anew under another identity.

        An entry takes the place of an earlier one with its number: whoever wrote it did not hold that one. Earlier
        versions left such pairs when a write's caller was cancelled.
        """
        self.kept, items, self.condition = await self.load()
        if self.condition is data_file.Condition.DAMAGED:
            LOG.warning("pair {}: the copy in {} is damaged; it starts empty and is mended", self.group_id, self.folder)
        self.identity, self.record, self.goal = "", None, None
        self.newest = self.kept.generation
        self.replace_all(EMPTY_SNAPSHOT)
        parts: list[bytes] = []
        unread = collections.deque(items)
        items = ()
        while unread:
            value = codec.untagged(unread.popleft().payload)
            if isinstance(value, Identity):
                self.identity = value.identity
            elif isinstance(value, replica_set.ReplicaSet):
                self.record = value
            elif isinstance(value, RepairGoal):
                self.goal = value
            elif isinstance(value, Snapshot):
                self.replace_all(value)
            elif isinstance(value, StoredChunk):
                parts.append(value.body)
            elif isinstance(value, StoredSnapshot):
                self.replace_all(EncodedSnapshot(value.epoch, value.sequence, value.digest, tuple(parts)))
                parts = []
            else:
                self.cut(slice(max(0, value.sequence - self.snapshot.sequence - 1), None))
                self.remember(value)
        if not self.identity:
            self.identity = self.new_identity()
            await self.write(Identity(self.identity))
        self.rebuild_state()

    async def load(self) -> store.OpenedStore:
        """What the disk holds; tried again while the disk refuses, as there is nothing to be done without it."""
        while True:
            try:
                return await self.environment.disk.perform(store.open_store, self.folder, self.environment.disk)
            except OSError as error:
                LOG.warning("group {}: {} can't be opened: {}", self.group_id, self.folder, error)
            await clock.sleep(DISK_PAUSE)

    def replace_all(self, snapshot: Snapshot | EncodedSnapshot) -> None:
        """Hold a snapshot and nothing else."""
        self.snapshot = as_drawn(snapshot)
        self.snapshot_size = self.snapshot.size()
        self.entries, self.digests, self.held = [], [], 0

    def cut(self, places: slice) -> None:
        """Let entries go."""
        self.held -= sum(len(entry.body) + OF_AN_ENTRY for entry in self.entries[places])
        del self.entries[places], self.digests[places]

    def rebuild_state(self) -> None:
        """Make the view anew from snapshot and entries; the snapshot shares the view's bytes from then on."""
        self.state_machine = self.make_state_machine()
        if self.snapshot.pieces:
            self.state_machine.restore(self.take_snapshot_body())
            self.snapshot = dataclasses.replace(self.snapshot, pieces=tuple(self.state_machine.snapshot_parts()))
            self.snapshot_size = self.snapshot.size()
        for entry in self.entries:
            self.state_machine.apply(codec.untagged(entry.body))
        self.applied_sequence = self.last().sequence

    def take_snapshot_body(self) -> bytes:
        """The snapshot's bytes in one piece; its pieces are let go of, as the view is made anew from these bytes."""
        body = self.snapshot.body
        self.snapshot = dataclasses.replace(self.snapshot, pieces=())
        return body

    def apply(self, entry: Entry, event) -> None:
        """Fold an entry's event into the view, which may run ahead of the entries while they are synced."""
        self.state_machine.apply(event)
        self.applied_sequence = entry.sequence

    def settle_view(self) -> None:
        """At the end of a tenure: the view shows just the entries, and its clocks count for nothing."""
        if self.applied_sequence == self.last().sequence:
            self.state_machine.reset_clocks()
        else:
            self.rebuild_state()

    def remember(self, entry: Entry) -> None:
        """Add an entry and its digest in memory."""
        self.digests.append(digest_after(self.last().digest, entry))
        self.entries.append(entry)
        self.held += len(entry.body) + OF_AN_ENTRY

    def memory(self) -> ReplicaMemory:
        """What this replica holds in memory."""
        return ReplicaMemory(
            self.snapshot_size,
            self.held,
            len(self.entries),
            self.state_machine.payload_bytes(),
            self.state_machine.size(),
        )

    def last(self) -> LogPosition:
        """Sequence and digest of the newest entry."""
        if self.entries:
            return LogPosition(self.entries[-1].sequence, self.digests[-1])
        return LogPosition(self.snapshot.sequence, self.snapshot.digest)

    def digest_at(self, sequence: int) -> bytes | None:
        """The digest at a sequence, when the copy still knows it."""
        place = sequence - self.snapshot.sequence
        if place == 0:
            return self.snapshot.digest
        return self.digests[place - 1] if 0 < place <= len(self.digests) else None

    def beyond(self, previous: LogPosition, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Those entries behind a mark that this copy has not yet; refused when the copies differ."""
        ahead = self.last().sequence - previous.sequence
        present = tuple(self.entries[len(self.entries) - ahead :]) if ahead > 0 else ()
        if ahead < 0 or self.digest_at(previous.sequence) != previous.digest or present != entries[:ahead]:
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="the copies differ")
        return entries[ahead:]

    def marks(self) -> tuple[LogPosition, ...]:
        """Digests at the ends of the ranges, and of the newest entries one by one.

        These are more than a primary has in flight, so that one of them is where two members of a record begin to
        differ:
        a repair never cuts a backup back below what was acknowledged.
        """
        ends = [LogPosition(self.snapshot.sequence, self.snapshot.digest)]
        for place in range(RANGE - 1, len(self.entries), RANGE):
            ends.append(LogPosition(self.entries[place].sequence, self.digests[place]))
        newest = range(max(0, len(self.entries) - DENSE), len(self.entries))
        ends.extend(LogPosition(self.entries[place].sequence, self.digests[place]) for place in newest)
        return tuple(sorted(set(ends), key=lambda mark: mark.sequence))

    def ahead_of(self, mark: LogPosition, most: int) -> tuple[EncodedSnapshot | None, tuple[Entry, ...]]:
        """What this copy holds beyond a mark of another: entries of so many bytes, behind a snapshot if need be."""
        snapshot, place = None, mark.sequence - self.snapshot.sequence
        if place < 0:
            snapshot, place = self.snapshot, 0
        elif self.digest_at(mark.sequence) != mark.digest:
            return None, ()
        chosen, size = [], 0
        for entry in self.entries[place:]:
            if chosen and size + len(entry.body) > most:
                break
            chosen.append(entry)
            size += len(entry.body)
        return snapshot, tuple(chosen)

    async def write(self, *values) -> None:
        """Make values last on this disk, all or none; a cancellation waits until that is done."""
        await uninterrupted.finish(self.write_items(tuple(map(stored, values))))

    async def write_items(self, items: tuple[data_file.Record, ...]) -> None:
        """Append items to the generation in force, and to the one that is being written beside it."""
        async with self.writing:
            self.write_began = clock.now()
            try:
                await self.environment.disk.perform(self.kept.append, items)
            finally:
                self.write_began = None
            if self.meanwhile is not None:
                self.meanwhile.extend(items)

    def stalled(self) -> bool:
        """Whether a write has not come back for so long that another member had better be the primary."""
        return self.write_began is not None and clock.now() - self.write_began > STALLED

    async def write_entries(self, entries: tuple[Entry, ...]) -> None:
        """Make entries that follow the last one last, and remember them in the same step: what the disk holds and what
        memory holds never differ, also when the caller is cancelled.
        """
        await uninterrupted.finish(self.write_and_remember(entries))

    async def write_and_remember(self, entries: tuple[Entry, ...]) -> None:
        """The two steps of ``write_entries``."""
        await self.write_items(tuple(map(stored, entries)))
        for entry in entries:
            self.remember(entry)

    async def rewrite(self, snapshot: EncodedSnapshot, entries: list[Entry]) -> None:
        """Write and use a generation of a snapshot and entries, while the caller holds ``writing``.

        The older one stays in force if that fails. A snapshot that is being drawn is drawn in vain.
        """
        self.meanwhile = None
        fresh = self.successor()
        try:
            await self.fill(fresh, snapshot, entries)
            await self.environment.disk.perform(fresh.put_in_force, self.kept.generation_folder())
        except OSError:
            await self.environment.disk.perform(fresh.discard)
            raise
        self.kept = fresh

    def successor(self) -> store.Store:
        """The store of a new generation, whose number no other has."""
        self.newest = max(self.newest, self.kept.generation) + 1
        return self.kept.successor(self.newest)

    async def fill(self, fresh: store.Store, snapshot: EncodedSnapshot, entries: list[Entry]) -> None:
        """Write a snapshot and the entries behind it into a new generation, a bounded part at a time."""
        await self.environment.disk.perform(fresh.create_empty)
        waiting, size = [], 0
        for value in itertools.chain(
            [Identity(self.identity)],
            [self.record] if self.record else [],
            [self.goal] if self.incomplete() else [],
            snapshot.values(),
            tuple(entries),
        ):
            waiting.append(stored(value))
            size += len(waiting[-1].payload)
            if size >= PART:
                await self.environment.disk.perform(fresh.write_unsynced, waiting)
                waiting, size = [], 0
        await self.environment.disk.perform(fresh.append, waiting)

    async def persist_record(self, fresh: replica_set.ReplicaSet) -> None:
        """Make a newer replica set last before acting under it; written twice, as a disk may lose its
        last synced value and no other copy need hold the same record.
        """
        if self.record is None or fresh.epoch > self.record.epoch:
            await uninterrupted.finish(self.write_record(fresh))

    async def write_record(self, fresh: replica_set.ReplicaSet) -> None:
        """The two steps of ``hold``."""
        await self.write_items((stored(fresh), stored(fresh)))
        if self.record is None or fresh.epoch > self.record.epoch:
            self.record = fresh

    async def append(self, entries: tuple[Entry, ...]) -> None:
        """Take entries that follow the last one, make them last, then fold them."""
        await uninterrupted.finish(self.write_and_fold(entries))

    async def write_and_fold(self, entries: tuple[Entry, ...]) -> None:
        """The steps of ``append``."""
        await self.write_and_remember(entries)
        for entry in entries:
            self.apply(entry, codec.untagged(entry.body))

    async def begin_repair(self, goal: RepairGoal) -> None:
        """Make it last that this copy is not whole before it holds a mark, unless it holds that already."""
        held = self.digest_at(goal.sequence) == goal.digest
        if goal != self.goal and not (held and self.goal is None):
            await self.write(goal)
            self.goal = goal

    def incomplete(self) -> bool:
        """Whether a repair of this copy was begun and is not finished: it may lack what was acknowledged."""
        if self.goal is not None:
            past = self.goal.sequence < self.snapshot.sequence
            if past or self.digest_at(self.goal.sequence) == self.goal.digest:
                self.goal = None
        return self.goal is not None

    def grown(self) -> bool:
        """Whether the entries are many, or many bytes.

        As much as half of what the snapshot holds, so that the cost of a snapshot stays in proportion;
        more while a snapshot
        is being sent, as its receiver needs the entries behind it.
        Where the last snapshot is a while ago, fewer are enough:
        disk, start and catching up follow the state then, and not the changes of a whole day.
        """
        if self.longer_than(COMPACT_ENTRIES, COMPACT_BYTES):
            return True
        return clock.now() >= self.rest_end and self.longer_than(RESTED_ENTRIES, RESTED_BYTES)

    def longer_than(self, entries: int, size: int) -> bool:
        """Whether the entries are more than so many or so many bytes, and than half of the state."""
        times = WHILE_SENDING if self.sending else 1
        many = len(self.entries) >= times * max(entries, self.state_machine.size() // 2)
        return many or self.held >= times * max(size, self.snapshot_size // 2)

    def begin_snapshot(self) -> bool:
        """Take hold of what the view shows now, if the entries are many and the view shows just them.

        It is drawn behind the
        entries that come next, which are written meanwhile.
        """
        end = self.last()
        if self.drawing or not self.grown() or not self.entries or self.applied_sequence != end.sequence:
            return False
        if clock.now() < self.next_snapshot:
            return False
        self.drawing, self.meanwhile = True, []
        self.begun = end, self.entries[-1].epoch, self.state_machine.snapshot_parts()
        self.wanted.set()
        return True

    async def write_snapshots(self) -> None:
        """Draw each snapshot that was begun."""
        while True:
            await self.wanted.wait()
            await self.write_snapshot()

    async def compact(self) -> None:
        """Replace the events by a snapshot when they are many."""
        if self.begin_snapshot():
            await self.write_snapshot()

    async def write_snapshot(self) -> None:
        """Replace events by the snapshot that was begun. It is drawn in parts, between which the loop goes on.

        And written beside
        the generation in force, which takes entries meanwhile; only its end holds them up.
        """
        self.wanted.clear()
        if self.begun is None:
            return
        (end, epoch, parts), meanwhile, self.begun = self.begun, self.meanwhile, None
        try:
            if meanwhile is not None:
                await self.use(EncodedSnapshot(epoch, end.sequence, end.digest, await drawn(parts)), meanwhile)
        except OSError as error:
            self.next_snapshot = clock.now() + DISK_PAUSE
            LOG.warning("group {}: no snapshot could be written: {}", self.group_id, error)
        finally:
            self.drawing = False
            if self.meanwhile is meanwhile:
                self.meanwhile = None

    async def use(self, snapshot: EncodedSnapshot, meanwhile: list[data_file.Record]) -> None:
        """Write a generation that starts with a snapshot and goes on with what was written meanwhile, then use it.

        Unless the copy
        was repair, which makes a generation of its own.
        """
        fresh = self.successor()
        try:
            await self.fill(fresh, snapshot, [])
            async with self.writing:
                if self.meanwhile is not meanwhile:
                    await self.environment.disk.perform(fresh.discard)
                    return
                if meanwhile:
                    await self.environment.disk.perform(fresh.append, tuple(meanwhile))
                await self.environment.disk.perform(fresh.put_in_force, self.kept.generation_folder())
                self.kept = fresh
                self.cut(slice(0, snapshot.sequence - self.snapshot.sequence))
                self.snapshot, self.snapshot_size = snapshot, snapshot.size()
                self.rest_end = clock.now() + SNAPSHOT_REST
        except OSError:
            if self.kept is not fresh:
                await self.environment.disk.perform(fresh.discard)
            raise

    def holds_state(self) -> bool:
        """Whether there is anything in this copy."""
        return bool(self.entries or self.snapshot.sequence)

    async def release(self) -> None:
        """Hold nothing any more, under another identity: nobody may take this copy for one that holds what it held."""
        await uninterrupted.finish(self.begin_anew())

    async def begin_anew(self) -> None:
        """The steps of ``release``: the disk first, so that a failed write leaves all as it was."""
        async with self.writing:
            former, goal = self.identity, self.goal
            self.identity, self.goal = RELEASED + self.new_identity(), None
            try:
                await self.rewrite(EMPTY_SNAPSHOT, [])
            except OSError:
                self.identity, self.goal = former, goal
                raise
            self.replace_all(EMPTY_SNAPSHOT)
        self.rebuild_state()
        allocator.return_free_pages()

    def new_identity(self) -> str:
        """A name that no other store has."""
        return format(self.environment.randomness.getrandbits(64), "016x")

    async def repair(self, through: int, snapshot: Snapshot | None, entries: tuple[Entry, ...]) -> LogPosition:
        """Become like the primary: keep what agrees, drop what does not, add what is missing."""
        await uninterrupted.finish(self.replace_behind(through, snapshot, entries))
        return self.last()

    async def replace_behind(
        self, through: int, snapshot: Snapshot | EncodedSnapshot | None, entries: tuple[Entry, ...]
    ) -> None:
        """The steps of ``repair``: the disk first, then memory, so that a failed write leaves both as they were."""
        if snapshot is None and through == self.last().sequence:
            await self.write_and_remember(entries)
            if self.applied_sequence == through:
                for entry in entries:
                    self.apply(entry, codec.untagged(entry.body))
            else:
                self.rebuild_state()
            return
        async with self.writing:
            base = self.snapshot if snapshot is None else as_drawn(snapshot)
            held = self.entries if snapshot is None else []
            cut = through - base.sequence
            if not 0 <= cut <= len(held):
                raise result.RequestError(
                    result.ResultCode.NOT_PRIMARY, detail="the copy has moved on since it was compared"
                )
            await self.rewrite(base, [*held[:cut], *entries])
            if snapshot is not None:
                self.replace_all(base)
            self.cut(slice(cut, None))
            for entry in entries:
                self.remember(entry)
        self.rebuild_state()


def as_drawn(snapshot: Snapshot | EncodedSnapshot) -> EncodedSnapshot:
    """A snapshot in pieces."""
    if isinstance(snapshot, EncodedSnapshot):
        return snapshot
    pieces = (snapshot.body,) if snapshot.body else ()
    return EncodedSnapshot(snapshot.epoch, snapshot.sequence, snapshot.digest, pieces)


def stored(value) -> data_file.Record:
    """A value as the store holds it."""
    return data_file.Record(getattr(value, "epoch", 0), codec.tagged(value))


async def drawn(parts: collections.abc.Iterator[bytes]) -> tuple[bytes, ...]:
    """The pieces of a snapshot; the loop goes on between bounded numbers of them."""
    pieces, since = [], 0
    for part in parts:
        pieces.append(part)
        since += 1 + len(part) // 4096
        if since >= BREATH:
            await clock.sleep(clock.ZERO)
            since = 0
    return tuple(pieces)
