"""What a replica's disk and its peers hold: entries, snapshots, positions and the marks of an unfinished repair.

The numbers of the kinds and the order of the fields are the format on disk and on the wire; names may change.
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
"""The digest of an empty log, as long as any other: 8 bytes."""

STORED_CHUNK_BYTES = 1 << 20
"""Bytes of a snapshot in one stored record, and of records in one step of disk work.

More would hold the writer's thread, and the memory of a start, for longer than a lease can bear.
"""

RELEASED_PREFIX = "r"
"""How the identity of a replica begins whose data was released: it is empty though no disk was lost."""


@codec.kind(40)
@dataclasses.dataclass(frozen=True)
class Identity:
    """The name a store gets when it is created; a lost or damaged store gets another."""

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
    """A snapshot in one piece, as messages carry it; it replaces the entries up to its sequence."""

    epoch: int
    sequence: int
    digest: bytes
    body: bytes


@codec.kind(158)
@dataclasses.dataclass(frozen=True)
class StoredChunk:
    """A chunk of a snapshot on disk, so that no snapshot is written or read in one piece."""

    index: int
    body: bytes


@codec.kind(159)
@dataclasses.dataclass(frozen=True)
class StoredSnapshot:
    """The record that ends a snapshot's chunks on disk: without it they count for nothing."""

    epoch: int
    sequence: int
    digest: bytes
    chunk_count: int


@dataclasses.dataclass(frozen=True)
class EncodedSnapshot:
    """A snapshot in memory, in pieces that share their bytes with the state machine.

    On the wire it is a ``Snapshot``.
    """

    epoch: int
    sequence: int
    digest: bytes
    pieces: tuple[bytes, ...]

    @property
    def body(self) -> bytes:
        """All pieces joined: a copy of the whole snapshot."""
        return b"".join(self.pieces)

    def size(self) -> int:
        """Bytes of all pieces."""
        return sum(map(len, self.pieces))

    def stored_records(self) -> collections.abc.Iterator[StoredChunk | StoredSnapshot]:
        """The records of this snapshot on disk, its end last."""
        count, waiting, size = 0, [], 0
        for piece in self.pieces:
            waiting.append(piece)
            size += len(piece)
            if size >= STORED_CHUNK_BYTES:
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
    """A sequence and the chained digest of all entries up to it: logs with equal positions agree up to there."""

    sequence: int
    digest: bytes


@codec.kind(184)
@dataclasses.dataclass(frozen=True)
class RepairGoal:
    """The position that a repair in several steps leads to; before it, acknowledged entries may be missing."""

    sequence: int
    digest: bytes


StoredRecord: typing.TypeAlias = (
    Identity | replica_set.ReplicaSet | RepairGoal | Snapshot | StoredChunk | StoredSnapshot | Entry
)


def digest_after(digest: bytes, entry: Entry) -> bytes:
    """The chained digest of a log once an entry is added.

    SHA-256, as it takes a third of BLAKE2's time where processors help with it.
    """
    chained = hashlib.sha256(digest + struct.pack(">QQ", entry.epoch, entry.sequence))
    chained.update(entry.body)
    return chained.digest()[: len(NO_DIGEST)]


def encode_snapshot(snapshot: Snapshot | EncodedSnapshot) -> EncodedSnapshot:
    """A snapshot in pieces; one that came in a message is a single piece."""
    if isinstance(snapshot, EncodedSnapshot):
        return snapshot
    pieces = (snapshot.body,) if snapshot.body else ()
    return EncodedSnapshot(snapshot.epoch, snapshot.sequence, snapshot.digest, pieces)


def encode_item(record: StoredRecord) -> data_file.Record:
    """A record as the store holds it, under its epoch."""
    return data_file.Record(getattr(record, "epoch", 0), codec.tagged(record))
