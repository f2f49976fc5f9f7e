"""The replica set of a group, the voter set, and the messages between proposers and voters (witnesses).

Messages are encoded by field position: a field may be renamed, but never moved. ``ReplicaId`` is the exception: its
``str()`` identifies lease holders in messages, so its class name and field names must not change.
"""

import collections.abc
import dataclasses
import datetime

from aspencroft.transport import codec

VOTER_SET = -1
"""The register of the voter set; the register of a replica set is its group number, which starts at 0."""
FIRST_VOTER_SET_NUMBER = 1
CONTROL, SESSION = "control", "talk"
"""Kinds of groups, as named in the settings: the group of the control state, and the groups of sessions."""


def group_kind(group_id: int) -> str:
    """Return the kind of a group; it determines which disks may hold the group's replicas.

    Example: ``group_kind(0) == CONTROL``
    """
    return SESSION if group_id else CONTROL


@codec.kind(20)
@dataclasses.dataclass(frozen=True)
class ReplicaId:
    """A replica: the address of its node, and the identity that its store was given on creation."""

    address: str
    identity: str

    def label(self) -> str:
        """Return the replica as shown in log lines.

        Example: ``ReplicaId("n:1", "abc").label() == "n:1/abc"``
        """
        return f"{self.address}/{self.identity}"


@codec.kind(21)
@dataclasses.dataclass(frozen=True)
class ReplicaSet:
    """The primary and backups of a group in an epoch; each member has synced every acknowledged write."""

    group_id: int
    epoch: int
    primary: ReplicaId
    backups: tuple[ReplicaId, ...]

    def members(self) -> tuple[ReplicaId, ...]:
        """Return the primary and the backups."""
        return (self.primary, *self.backups)


@codec.kind(22)
@dataclasses.dataclass(frozen=True)
class VoterSet:
    """The voters: the set in force and, during a change, the next set (together a joint voter set).

    Number 0 is the set named in the settings, used before any voter set is in force. Number 1 is the same set at
    witnesses that vote from their first start. Later numbers are never reused.
    """

    number: int
    present: tuple[str, ...]
    coming: tuple[str, ...]

    def all_voters(self) -> tuple[str, ...]:
        """Return all present and coming voters."""
        return tuple(dict.fromkeys(self.present + self.coming))

    def has_quorum(self, answered: collections.abc.Collection[str]) -> bool:
        """Return whether the voters that answered are a majority of each set."""
        return all(
            2 * len(set(voters) & set(answered)) > len(set(voters)) for voters in (self.present, self.coming) if voters
        )

    def losses_left(self, live: collections.abc.Collection[str]) -> int:
        """Return how many live voters may be lost while a quorum remains; if negative, how many a quorum lacks.

        Example: ``VoterSet(1, ("a", "b", "c"), ()).losses_left({"a", "b"}) == 0``
        """
        return min(
            (
                len(set(voters) & set(live)) - (len(set(voters)) // 2 + 1)
                for voters in (self.present, self.coming)
                if voters
            ),
            default=0,
        )


@codec.kind(23)
@dataclasses.dataclass(frozen=True)
class Ballot:
    """A voter's state of one register: the last promised ballot, and the last accepted ballot and its value."""

    register: int
    promised: int
    accepted: int
    value: bytes


@codec.kind(24)
@dataclasses.dataclass(frozen=True)
class Prepare:
    """Phase 1: asks for a promise of this ballot and for the last accepted value."""

    register: int
    ballot: int
    requester: str
    voter_set: int


@codec.kind(25)
@dataclasses.dataclass(frozen=True)
class BallotReply:
    """Reply to a prepare, accept or lease request; if not granted, with the ballot or voter set that prevents it.

    ``wait`` is how long a conflicting lease may still be in force.
    """

    granted: bool
    incarnation: int
    ballot: Ballot
    voter_set: VoterSet
    wait: datetime.timedelta


@codec.kind(26)
@dataclasses.dataclass(frozen=True)
class Accept:
    """Phase 2: asks to accept a value in a ballot that this incarnation of the voter promised."""

    register: int
    ballot: int
    value: bytes
    incarnation: int
    voter_set: int


@codec.kind(27)
@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """Asks to renew a primary's lease; carries the chosen value for voters that missed its ballot."""

    register: int
    ballot: int
    value: bytes
    lease_holder: str
    length: datetime.timedelta
    voter_set: int


@codec.kind(28)
@dataclasses.dataclass(frozen=True)
class WitnessStateRequest:
    """Asks a voter for its whole state."""

    requester: str


@codec.kind(29)
@dataclasses.dataclass(frozen=True)
class WitnessStateReply:
    """A voter's state; ``voting`` is false for a blank voter."""

    voting: bool
    incarnation: int
    voter_set: VoterSet
    ballots: tuple[Ballot, ...]


@codec.kind(30)
@dataclasses.dataclass(frozen=True)
class InstallWitnessState:
    """Gives blank voters their state: the very first one, or the one recovered from the disks of replicas."""

    voter_set: VoterSet
    ballots: tuple[Ballot, ...]


@codec.kind(31)
@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """An empty reply."""


@codec.kind(32)
@dataclasses.dataclass(frozen=True)
class ReplicaReportRequest:
    """Asks a node which replicas its disk holds."""


@codec.kind(35)
@dataclasses.dataclass(frozen=True)
class VoterSetChosen:
    """Announces a chosen voter set to nodes that did not take part in its ballot."""

    voter_set: VoterSet


@codec.kind(36)
@dataclasses.dataclass(frozen=True)
class RememberedCluster:
    """The cluster as a node stores it on disk: the voter set in force and the nodes with disks."""

    voter_set: VoterSet
    disks: tuple[str, ...]


@codec.kind(33)
@dataclasses.dataclass(frozen=True)
class ReplicaReport:
    """One replica on a disk: its identity, the newest replica set it knows, and its last sequence number."""

    group_id: int
    identity: str
    record: ReplicaSet | None
    sequence: int


@codec.kind(34)
@dataclasses.dataclass(frozen=True)
class ReplicaReports:
    """All replicas on a node's disk; ``first_start`` tells that an empty replica is new rather than lost."""

    area: str
    replicas: tuple[ReplicaReport, ...]
    known: RememberedCluster
    first_start: bool = True


@codec.kind(55)
@dataclasses.dataclass(frozen=True)
class ReplicaSetNotice:
    """Announces a chosen replica set to a member that did not take part in its ballot."""

    record: ReplicaSet
