"""Replication messages: between the members of a group, and from callers to its primary.

The kind numbers and the order of the fields are the wire format; names may change.
"""

import dataclasses
import datetime

from aspencroft.consensus import replica_set
from aspencroft.replication import log_records
from aspencroft.transport import codec


@codec.kind(50)
@dataclasses.dataclass(frozen=True)
class Append:
    """From a primary: entries for a backup, to follow the position ``previous``."""

    record: replica_set.ReplicaSet
    previous: log_records.LogPosition
    entries: tuple[log_records.Entry, ...]


@codec.kind(51)
@dataclasses.dataclass(frozen=True)
class Appended:
    """The end of a member's log after the sent entries were synced."""

    last: log_records.LogPosition


@codec.kind(52)
@dataclasses.dataclass(frozen=True)
class Compare:
    """Request the positions by which a member's log is compared."""

    group_id: int
    epoch: int


@codec.kind(53)
@dataclasses.dataclass(frozen=True)
class Compared:
    """A member's identity, and positions of its log in ascending order."""

    identity: str
    positions: tuple[log_records.LogPosition, ...]


@codec.kind(54)
@dataclasses.dataclass(frozen=True)
class Repair:
    """Keep the log through a sequence, replace the rest; the replica set's epoch fences off older primaries."""

    record: replica_set.ReplicaSet
    identity: str
    keep_through: int
    snapshot: log_records.Snapshot | None
    entries: tuple[log_records.Entry, ...]


@codec.kind(183)
@dataclasses.dataclass(frozen=True)
class BeginRepair:
    """Start of a repair in several messages: until the goal is reached, acknowledged entries may be missing."""

    record: replica_set.ReplicaSet
    identity: str
    goal: log_records.LogPosition


@codec.kind(180)
@dataclasses.dataclass(frozen=True)
class SnapshotChunk:
    """Bytes of a snapshot at an offset; an empty body only asks how many bytes of the transfer were received."""

    record: replica_set.ReplicaSet
    identity: str
    transfer_id: int
    offset: int
    body: bytes


@codec.kind(181)
@dataclasses.dataclass(frozen=True)
class SnapshotProgress:
    """The number of bytes that a member has received of a transfer: the offset of the next chunk."""

    received_bytes: int


@codec.kind(182)
@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """All ``size`` bytes were sent: replace the log by them; the replica set's epoch fences off older primaries."""

    record: replica_set.ReplicaSet
    identity: str
    transfer_id: int
    epoch: int
    sequence: int
    digest: bytes
    size: int


@codec.kind(58)
@dataclasses.dataclass(frozen=True)
class FetchLog:
    """From a member that has just started: request the entries after a position; ``identity`` is the receiver's."""

    record: replica_set.ReplicaSet
    last: log_records.LogPosition
    identity: str


@codec.kind(59)
@dataclasses.dataclass(frozen=True)
class FetchedLog:
    """Entries after the position, or a snapshot and the entries after it; both empty if there is nothing to take.

    ``is_lost`` tells that the identity does not match: the data of the requested replica is lost.
    """

    snapshot: log_records.Snapshot | None
    entries: tuple[log_records.Entry, ...]
    is_lost: bool


@codec.kind(37)
@dataclasses.dataclass(frozen=True)
class ReplicaSetQuery:
    """Request the replica set in force from a group's primary, and whether it takes a node for draining."""

    group_id: int
    address: str


@codec.kind(38)
@dataclasses.dataclass(frozen=True)
class ReplicaSetReply:
    """The replica set under which a primary serves; ``drained`` tells that it will not add the node again."""

    record: replica_set.ReplicaSet
    drained: bool


@codec.kind(56)
@dataclasses.dataclass(frozen=True)
class Submit:
    """A command for a group, sent to its primary; ``within`` is the caller's time-out."""

    group_id: int
    within: datetime.timedelta
    body: bytes


@codec.kind(57)
@dataclasses.dataclass(frozen=True)
class Submitted:
    """The reply to a command whose entries are synced on all members, and the replica set in force."""

    body: bytes
    record: replica_set.ReplicaSet
