"""The replica set of a group, the voter set, and the messages between proposers and voters (witnesses).

The encoding is by position: fields may be renamed, never moved. ``str(ReplicaId)`` names lease holders in messages,
so that the name and the fields of this one type stay.
"""

import collections.abc
import dataclasses
import datetime

from aspencroft.transport import codec

VOTER_SET = -1
"""The register of the voter set; those of replica sets are the groups' numbers, from zero on."""
FIRST_VOTER_SET_NUMBER = 1
CONTROL, TALK = "control", "talk"
"""Kinds of groups, as settings name them: the one of the control state, and those of sessions."""


def group_kind(group_id: int) -> str:
    """The kind of a group by its number: which disks may hold it.

    Example: ``group_kind(0) == CONTROL``
    """
    return TALK if group_id else CONTROL


@codec.kind(20)
@dataclasses.dataclass(frozen=True)
class ReplicaId:
    """A replica: its node's address, and the identity that its store got when it was created."""

    address: str
    identity: str

    def label(self) -> str:
        """The replica in a log line.

        Example: ``ReplicaId("n:1", "abc").label() == "n:1/abc"``
        """
        return f"{self.address}/{self.identity}"


@codec.kind(21)
@dataclasses.dataclass(frozen=True)
class ReplicaSet:
    """Primary and backups of a group under an epoch: each of them has synced all that was acknowledged."""

    group_id: int
    epoch: int
    primary: ReplicaId
    backups: tuple[ReplicaId, ...]

    def members(self) -> tuple[ReplicaId, ...]:
        """The primary and the backups."""
        return (self.primary, *self.backups)


@codec.kind(22)
@dataclasses.dataclass(frozen=True)
class VoterSet:
    """The voters: the set in force and, while it changes, the set to come (a joint voter set).

    Number zero is what settings name before any voter set is in force,
    number one what they name to witnesses that vote from their
    first start on; later numbers are never used twice.
    """

    number: int
    present: tuple[str, ...]
    coming: tuple[str, ...]

    def everyone(self) -> tuple[str, ...]:
        """All present and coming voters."""
        return tuple(dict.fromkeys(self.present + self.coming))

    def has_quorum(self, answered: collections.abc.Collection[str]) -> bool:
        """Whether the voters that answered are a majority of each set."""
        return all(
            2 * len(set(voters) & set(answered)) > len(set(voters)) for voters in (self.present, self.coming) if voters
        )

    def losses_left(self, live: collections.abc.Collection[str]) -> int:
        """How many of the live voters may be lost before no quorum is left; below zero, how many a quorum lacks.

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
    """A voter's state of a register: the ballot promised last, and the ballot and value accepted last."""

    register: int
    promised: int
    accepted: int
    value: bytes


@codec.kind(24)
@dataclasses.dataclass(frozen=True)
class Prepare:
    """First phase: promise this ballot and reply with what was accepted."""

    register: int
    ballot: int
    requester: str
    voter_set: int


@codec.kind(25)
@dataclasses.dataclass(frozen=True)
class BallotReply:
    """Reply to a prepare, accept or lease request; if not granted, with the ballot or voter set in the way.

    ``wait`` is how long a lease in the way may still be in force.
    """

    granted: bool
    incarnation: int
    ballot: Ballot
    voter_set: VoterSet
    wait: datetime.timedelta


@codec.kind(26)
@dataclasses.dataclass(frozen=True)
class Accept:
    """Second phase: accept a value in a ballot that this incarnation of the voter promised."""

    register: int
    ballot: int
    value: bytes
    incarnation: int
    voter_set: int


@codec.kind(27)
@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """Renew a primary's lease; carries the chosen value so that a voter that missed it learns it."""

    register: int
    ballot: int
    value: bytes
    lease_holder: str
    length: datetime.timedelta
    voter_set: int


@codec.kind(28)
@dataclasses.dataclass(frozen=True)
class WitnessStateRequest:
    """Ask a voter for its whole state."""

    requester: str


@codec.kind(29)
@dataclasses.dataclass(frozen=True)
class WitnessStateReply:
    """A voter's state; one that is blank does not vote."""

    voting: bool
    incarnation: int
    voter_set: VoterSet
    ballots: tuple[Ballot, ...]


@codec.kind(30)
@dataclasses.dataclass(frozen=True)
class InstallWitnessState:
    """Give blank voters their first state, or the one that the members' disks hold."""

    voter_set: VoterSet
    ballots: tuple[Ballot, ...]


@codec.kind(31)
@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """A reply without content."""


@codec.kind(32)
@dataclasses.dataclass(frozen=True)
class ReplicaReportRequest:
    """Ask a node which replicas its disk holds."""


@codec.kind(35)
@dataclasses.dataclass(frozen=True)
class VoterSetChosen:
    """A voter set that was chosen, for nodes that had no part in the ballot."""

    voter_set: VoterSet


@codec.kind(36)
@dataclasses.dataclass(frozen=True)
class RememberedCluster:
    """What a node's disk remembers of the cluster: the voter set in force and the nodes with disks."""

    voter_set: VoterSet
    disks: tuple[str, ...]


@codec.kind(33)
@dataclasses.dataclass(frozen=True)
class ReplicaReport:
    """One replica on a disk: identity, the newest replica set known, and the last sequence."""

    group_id: int
    identity: str
    record: ReplicaSet | None
    sequence: int


@codec.kind(34)
@dataclasses.dataclass(frozen=True)
class ReplicaReports:
    """All replicas on a node's disk; ``first_start`` says that a blank one of them is new, not lost."""

    area: str
    copies: tuple[ReplicaReport, ...]
    known: RememberedCluster
    first_start: bool = True


@codec.kind(55)
@dataclasses.dataclass(frozen=True)
class ReplicaSetNotice:
    """A replica set that the voters chose, for a member that had no part in the ballot."""

    record: ReplicaSet
