"""What primary, backup and askers of a pair say to each other: one family of records."""

import dataclasses
import datetime

from aspencroft.consensus import replica_set
from aspencroft.replication import replica
from aspencroft.transport import codec


@codec.kind(50)
@dataclasses.dataclass(frozen=True)
class Append:
    """Entries for a backup, behind the one it has last."""

    record: replica_set.ReplicaSet
    previous: replica.LogPosition
    entries: tuple[replica.Entry, ...]


@codec.kind(51)
@dataclasses.dataclass(frozen=True)
class Appended:
    """The copy's newest entry once all is synced."""

    last: replica.LogPosition


@codec.kind(52)
@dataclasses.dataclass(frozen=True)
class Compare:
    """Ask a copy for its range digests."""

    group_id: int
    epoch: int


@codec.kind(53)
@dataclasses.dataclass(frozen=True)
class Compared:
    """A copy's identity and range digests."""

    identity: str
    marks: tuple[replica.LogPosition, ...]


@codec.kind(54)
@dataclasses.dataclass(frozen=True)
class Repair:
    """Keep what agrees through a sequence, then add this; the record fences off older primaries."""

    record: replica_set.ReplicaSet
    identity: str
    through: int
    snapshot: replica.Snapshot | None
    entries: tuple[replica.Entry, ...]


@codec.kind(183)
@dataclasses.dataclass(frozen=True)
class BeginRepair:
    """A repair of several messages begins: until the copy holds the goal, it may lack what was acknowledged."""

    record: replica_set.ReplicaSet
    identity: str
    goal: replica.LogPosition


@codec.kind(180)
@dataclasses.dataclass(frozen=True)
class SnapshotChunk:
    """Bytes of a snapshot from an offset on; none of them just asks how many of the transfer are held."""

    record: replica_set.ReplicaSet
    identity: str
    transfer: int
    offset: int
    body: bytes


@codec.kind(181)
@dataclasses.dataclass(frozen=True)
class SnapshotProgress:
    """How many bytes of a transfer a member holds: the next part starts there."""

    held: int


@codec.kind(182)
@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """All parts were sent: become what they show; the record fences off older primaries."""

    record: replica_set.ReplicaSet
    identity: str
    transfer: int
    epoch: int
    sequence: int
    digest: bytes
    size: int


@codec.kind(58)
@dataclasses.dataclass(frozen=True)
class FetchLog:
    """A member that has just started asks another one, known by its identity, for what it holds beyond this."""

    record: replica_set.ReplicaSet
    last: replica.LogPosition
    identity: str


@codec.kind(59)
@dataclasses.dataclass(frozen=True)
class FetchedLog:
    """Entries behind the mark, or a snapshot and the entries behind it; none when there is nothing more.

    ``lost`` says that this is not the copy that was asked for: that one is gone.
    """

    snapshot: replica.Snapshot | None
    entries: tuple[replica.Entry, ...]
    lost: bool


@codec.kind(37)
@dataclasses.dataclass(frozen=True)
class ReplicaSetQuery:
    """Ask a group's primary for the record that stands, and whether it knows that a node is being drained."""

    group_id: int
    address: str


@codec.kind(38)
@dataclasses.dataclass(frozen=True)
class ReplicaSetReply:
    """The record under which a primary serves; ``drained`` tells that it will not take the node in again."""

    record: replica_set.ReplicaSet
    drained: bool


@codec.kind(56)
@dataclasses.dataclass(frozen=True)
class Submit:
    """A command for a pair, to its primary."""

    group_id: int
    within: datetime.timedelta
    body: bytes


@codec.kind(57)
@dataclasses.dataclass(frozen=True)
class Submitted:
    """The reply to a command, once it is synced on all copies."""

    body: bytes
    record: replica_set.ReplicaSet
