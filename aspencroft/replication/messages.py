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

    holding: replica_set.ReplicaSet
    previous: replica.Mark
    entries: tuple[replica.Entry, ...]


@codec.kind(51)
@dataclasses.dataclass(frozen=True)
class Appended:
    """The copy's newest entry once all is synced."""

    last: replica.Mark


@codec.kind(52)
@dataclasses.dataclass(frozen=True)
class Compare:
    """Ask a copy for its range digests."""

    pair: int
    epoch: int


@codec.kind(53)
@dataclasses.dataclass(frozen=True)
class Compared:
    """A copy's identity and range digests."""

    identity: str
    marks: tuple[replica.Mark, ...]


@codec.kind(54)
@dataclasses.dataclass(frozen=True)
class Repair:
    """Keep what agrees through a sequence, then add this; the record fences off older primaries."""

    holding: replica_set.ReplicaSet
    identity: str
    through: int
    snapshot: replica.Picture | None
    entries: tuple[replica.Entry, ...]


@codec.kind(183)
@dataclasses.dataclass(frozen=True)
class BeginRepair:
    """A repair of several messages begins: until the copy holds the goal, it may lack what was acknowledged."""

    holding: replica_set.ReplicaSet
    identity: str
    goal: replica.Mark


@codec.kind(180)
@dataclasses.dataclass(frozen=True)
class SnapshotPart:
    """Bytes of a snapshot from an offset on; none of them just asks how many of the transfer are held."""

    holding: replica_set.ReplicaSet
    identity: str
    transfer: int
    offset: int
    body: bytes


@codec.kind(181)
@dataclasses.dataclass(frozen=True)
class SnapshotHeld:
    """How many bytes of a transfer a member holds: the next part starts there."""

    held: int


@codec.kind(182)
@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """All parts were sent: become what they show; the record fences off older primaries."""

    holding: replica_set.ReplicaSet
    identity: str
    transfer: int
    epoch: int
    sequence: int
    digest: bytes
    size: int


@codec.kind(55)
@dataclasses.dataclass(frozen=True)
class Appoint:
    """The witnesses recorded these holders."""

    holding: replica_set.ReplicaSet


@codec.kind(58)
@dataclasses.dataclass(frozen=True)
class Fetch:
    """A member that has just started asks another one, known by its identity, for what it holds beyond this."""

    holding: replica_set.ReplicaSet
    last: replica.Mark
    identity: str


@codec.kind(59)
@dataclasses.dataclass(frozen=True)
class Fetched:
    """Entries behind the mark, or a picture and the entries behind it; none when there is nothing more.

    ``lost`` says that this is not the copy that was asked for: that one is gone.
    """

    snapshot: replica.Picture | None
    entries: tuple[replica.Entry, ...]
    lost: bool


@codec.kind(37)
@dataclasses.dataclass(frozen=True)
class Ask:
    """Ask a group's primary for the record that stands, and whether it knows that a node is being emptied."""

    pair: int
    address: str


@codec.kind(38)
@dataclasses.dataclass(frozen=True)
class Stands:
    """The record under which a primary serves; ``emptied`` tells that it will not take the node in again."""

    holding: replica_set.ReplicaSet
    emptied: bool


@codec.kind(56)
@dataclasses.dataclass(frozen=True)
class Submit:
    """A command for a pair, to its primary."""

    pair: int
    within: datetime.timedelta
    body: bytes


@codec.kind(57)
@dataclasses.dataclass(frozen=True)
class Submitted:
    """The reply to a command, once it is synced on all copies."""

    body: bytes
    holding: replica_set.ReplicaSet
