"""Records of a replica on disk and in messages: entries, snapshots, positions and the goal of an unfinished repair.

The kind numbers and the order of the fields are the format on disk and on the wire; names may change.
"""

import collections.abc
import dataclasses
import hashlib
import struct
import typing

from aspencroft.consensus import replica_set
from aspencroft.storage import data_file
from aspencroft.transport import codec

NO_DIGEST = b"\0" * 8
"""The digest of an empty log: 8 bytes, like every other digest."""

STORED_CHUNK_BYTES = 1 << 20
"""Bytes of a snapshot in one stored record, and of records in one disk operation.

Larger ones would occupy the writer's thread, and memory at a start, for longer than a lease allows.
"""

RELEASED_PREFIX = "r"
"""Prefix of the identity of a replica whose data was released: it is empty, but its disk was not lost."""


@codec.kind(40)
@dataclasses.dataclass(frozen=True)
class Identity:
    """The identity that a store gets when it is created; a lost or damaged store gets a new one."""

    identity: str


@codec.kind(41)
@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of the log; the body is a tagged event of the state machine."""

    epoch: int
    sequence: int
    body: bytes


@codec.kind(42)
@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A snapshot in one piece, as sent in messages; it replaces the entries up to its sequence."""

    epoch: int
    sequence: int
    digest: bytes
    body: bytes


@codec.kind(158)
@dataclasses.dataclass(frozen=True)
class StoredChunk:
    """A chunk of a snapshot on disk: large snapshots are never written or read in one piece."""

    index: int
    body: bytes


@codec.kind(159)
@dataclasses.dataclass(frozen=True)
class StoredSnapshot:
    """The record after the chunks of a snapshot on disk: chunks without it are ignored."""

    epoch: int
    sequence: int
    digest: bytes
    chunk_count: int


@dataclasses.dataclass(frozen=True)
class EncodedSnapshot:
    """A snapshot in memory, in pieces that share their bytes with the state machine.

    It is sent as a ``Snapshot``.
    """

    epoch: int
    sequence: int
    digest: bytes
    pieces: tuple[bytes, ...]

    @property
    def body(self) -> bytes:
        """All pieces joined, as a copy."""
        return b"".join(self.pieces)

    def size(self) -> int:
        """Total bytes of all pieces."""
        return sum(map(len, self.pieces))

    def stored_records(self) -> collections.abc.Iterator[StoredChunk | StoredSnapshot]:
        """The records of this snapshot on disk; the end record comes last."""
        count, pending, size = 0, [], 0
        for piece in self.pieces:
            pending.append(piece)
            size += len(piece)
            if size >= STORED_CHUNK_BYTES:
                yield StoredChunk(count, b"".join(pending))
                count, pending, size = count + 1, [], 0
        if pending:
            yield StoredChunk(count, b"".join(pending))
            count += 1
        yield StoredSnapshot(self.epoch, self.sequence, self.digest, count)


EMPTY_SNAPSHOT = EncodedSnapshot(0, 0, NO_DIGEST, ())


@codec.kind(43)
@dataclasses.dataclass(frozen=True)
class LogPosition:
    """A sequence and the chained digest of all entries up to it: logs with equal positions match up to there."""

    sequence: int
    digest: bytes


@codec.kind(184)
@dataclasses.dataclass(frozen=True)
class RepairGoal:
    """The target position of a repair in several steps; until it is reached, acknowledged entries may be missing."""

    sequence: int
    digest: bytes


StoredRecord: typing.TypeAlias = (
    Identity | replica_set.ReplicaSet | RepairGoal | Snapshot | StoredChunk | StoredSnapshot | Entry
)


def digest_after(digest: bytes, entry: Entry) -> bytes:
    """The chained digest of a log after an entry is appended.

    SHA-256 takes a third of the time of BLAKE2 on processors with SHA instructions.
    """
    chained = hashlib.sha256(digest + struct.pack(">QQ", entry.epoch, entry.sequence))
    chained.update(entry.body)
    return chained.digest()[: len(NO_DIGEST)]


def encode_snapshot(snapshot: Snapshot | EncodedSnapshot) -> EncodedSnapshot:
    """Convert a snapshot to pieces; one from a message becomes a single piece."""
    if isinstance(snapshot, EncodedSnapshot):
        return snapshot
    pieces = (snapshot.body,) if snapshot.body else ()
    return EncodedSnapshot(snapshot.epoch, snapshot.sequence, snapshot.digest, pieces)


def encode_item(record: StoredRecord) -> data_file.Record:
    """Encode a record for the store, under its epoch."""
    return data_file.Record(getattr(record, "epoch", 0), codec.tagged(record))
