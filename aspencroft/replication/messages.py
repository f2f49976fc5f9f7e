"""The messages of replication: between the members of a group, and from callers to its primary.

The numbers of the kinds and the order of the fields are the format on the wire; names may change.
"""

import dataclasses
import datetime

from aspencroft.consensus import replica_set
from aspencroft.replication import log_records
from aspencroft.transport import codec


@codec.kind(50)
@dataclasses.dataclass(frozen=True)
class Append:
    """From a primary: entries for a backup, behind the last that it acknowledged."""

    record: replica_set.ReplicaSet
    previous: log_records.LogPosition
    entries: tuple[log_records.Entry, ...]


@codec.kind(51)
@dataclasses.dataclass(frozen=True)
class Appended:
    """The end of a member's log once all that was sent is synced."""

    last: log_records.LogPosition


@codec.kind(52)
@dataclasses.dataclass(frozen=True)
class Compare:
    """Ask a member for the positions by which its log is compared."""

    group_id: int
    epoch: int


@codec.kind(53)
@dataclasses.dataclass(frozen=True)
class Compared:
    """A member's identity, and positions of its log from the oldest to the end."""

    identity: str
    positions: tuple[log_records.LogPosition, ...]


@codec.kind(54)
@dataclasses.dataclass(frozen=True)
class Repair:
    """Keep the log through a sequence, drop what is behind it, then add this; the record fences off older primaries."""

    record: replica_set.ReplicaSet
    identity: str
    keep_through: int
    snapshot: log_records.Snapshot | None
    entries: tuple[log_records.Entry, ...]


@codec.kind(183)
@dataclasses.dataclass(frozen=True)
class BeginRepair:
    """A repair of several messages begins: before the goal is reached, acknowledged entries may be missing."""

    record: replica_set.ReplicaSet
    identity: str
    goal: log_records.LogPosition


@codec.kind(180)
@dataclasses.dataclass(frozen=True)
class SnapshotChunk:
    """Bytes of a snapshot from an offset on; an empty body only asks how many of the transfer were received."""

    record: replica_set.ReplicaSet
    identity: str
    transfer_id: int
    offset: int
    body: bytes


@codec.kind(181)
@dataclasses.dataclass(frozen=True)
class SnapshotProgress:
    """How many bytes of a transfer a member has received: the next chunk starts there."""

    received_bytes: int


@codec.kind(182)
@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """All ``size`` bytes were sent: replace the log by them; the record fences off older primaries."""

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
    """A member that has just started asks another one, known by its identity, for what follows a position."""

    record: replica_set.ReplicaSet
    last: log_records.LogPosition
    identity: str


@codec.kind(59)
@dataclasses.dataclass(frozen=True)
class FetchedLog:
    """Entries behind the position, or a snapshot and the entries behind it; none when there is nothing more.

    ``is_lost`` says that this is not the replica that was asked for: its data is gone.
    """

    snapshot: log_records.Snapshot | None
    entries: tuple[log_records.Entry, ...]
    is_lost: bool


@codec.kind(37)
@dataclasses.dataclass(frozen=True)
class ReplicaSetQuery:
    """Ask a group's primary for the replica set in force, and whether it knows that a node is draining."""

    group_id: int
    address: str


@codec.kind(38)
@dataclasses.dataclass(frozen=True)
class ReplicaSetReply:
    """The replica set under which a primary serves; ``drained`` tells that it will not take the node in again."""

    record: replica_set.ReplicaSet
    drained: bool


@codec.kind(56)
@dataclasses.dataclass(frozen=True)
class Submit:
    """A command for a group, to its primary; ``within`` is how long the caller waits."""

    group_id: int
    within: datetime.timedelta
    body: bytes


@codec.kind(57)
@dataclasses.dataclass(frozen=True)
class Submitted:
    """The reply to a command, once its entries are synced on all members; and the replica set in force."""

    body: bytes
    record: replica_set.ReplicaSet
