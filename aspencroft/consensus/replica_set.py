"""Who holds a group: the one record that witnesses agree on, and the family of records around it."""

import collections.abc
import dataclasses
import datetime

from aspencroft.transport import codec

VOTER_SET = -1
FOUNDING = 1
CONTROL, TALK = "control", "talk"


def sort_of(group_id: int) -> str:
    """The sort of a group by its number: which disks may hold it.

    Example: ``sort_of(0) == CONTROL``
    """
    return TALK if group_id else CONTROL


@codec.kind(20)
@dataclasses.dataclass(frozen=True)
class ReplicaId:
    """A copy's holder: the node's address and the identity that its store was born with."""

    address: str
    identity: str


@codec.kind(21)
@dataclasses.dataclass(frozen=True)
class ReplicaSet:
    """Primary and backups of a group under an epoch: each of them holds all that was answered."""

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
    """The witnesses: the set in force and, while it changes, the set to come.

    Number zero is what settings name before any voter set is in force,
    number one what they name to witnesses that vote from their
    first start on; later numbers are never used twice.
    """

    number: int
    present: tuple[str, ...]
    coming: tuple[str, ...]

    def everyone(self) -> tuple[str, ...]:
        """All witnesses to ask."""
        return tuple(dict.fromkeys(self.present + self.coming))

    def quorum(self, answered) -> bool:
        """Whether those who answered are a majority of each set."""
        return all(
            2 * len(set(group) & set(answered)) > len(set(group)) for group in (self.present, self.coming) if group
        )

    def losses_left(self, live: collections.abc.Collection[str]) -> int:
        """How many of the live witnesses may be lost before no quorum is left; below zero, how many lack for one.

        Example: ``VoterSet(1, ("a", "b", "c"), ()).losses_left({"a", "b"}) == 0``
        """
        return min(
            (
                len(set(group) & set(live)) - (len(set(group)) // 2 + 1)
                for group in (self.present, self.coming)
                if group
            ),
            default=0,
        )


@codec.kind(23)
@dataclasses.dataclass(frozen=True)
class Ballot:
    """What a witness keeps of a register: the ballot raised, and the value last accepted in one."""

    register: int
    raised: int
    accepted: int
    value: bytes


@codec.kind(24)
@dataclasses.dataclass(frozen=True)
class Prepare:
    """First phase: promise this ballot and tell what was accepted."""

    register: int
    ballot: int
    asker: str
    voter_set: int


@codec.kind(25)
@dataclasses.dataclass(frozen=True)
class BallotReply:
    """Answer to a raise or a record; refused ones tell the ballot or voter set that stands in the way."""

    granted: bool
    incarnation: int
    ballot: Ballot
    voter_set: VoterSet
    wait: datetime.timedelta


@codec.kind(26)
@dataclasses.dataclass(frozen=True)
class Accept:
    """Second phase: accept a value in a ballot that this incarnation of the witness promised."""

    register: int
    ballot: int
    value: bytes
    incarnation: int
    voter_set: int


@codec.kind(27)
@dataclasses.dataclass(frozen=True)
class LeaseRequest:
    """Renew a primary's claim; carries the chosen value so that a witness that missed it learns it."""

    register: int
    ballot: int
    value: bytes
    lease_holder: str
    length: datetime.timedelta
    voter_set: int


@codec.kind(28)
@dataclasses.dataclass(frozen=True)
class WitnessStateRequest:
    """Ask a witness for all that it keeps."""

    asker: str


@codec.kind(29)
@dataclasses.dataclass(frozen=True)
class WitnessState:
    """A witness's state; one that is blank does not vote."""

    voting: bool
    incarnation: int
    voter_set: VoterSet
    ballots: tuple[Ballot, ...]


@codec.kind(30)
@dataclasses.dataclass(frozen=True)
class InstallWitnessState:
    """Give blank witnesses their first state, or the one that the members' disks hold."""

    voter_set: VoterSet
    ballots: tuple[Ballot, ...]


@codec.kind(31)
@dataclasses.dataclass(frozen=True)
class Acknowledged:
    """Plain yes."""


@codec.kind(32)
@dataclasses.dataclass(frozen=True)
class ReplicaReportRequest:
    """Ask a node which copies its disk holds."""


@codec.kind(35)
@dataclasses.dataclass(frozen=True)
class VoterSetChosen:
    """A voter set that the witnesses chose, for those that had no part in the ballot."""

    voter_set: VoterSet


@codec.kind(36)
@dataclasses.dataclass(frozen=True)
class RememberedCluster:
    """What a node's disk remembers of the fleet: the voter set in force and the nodes with disks."""

    voter_set: VoterSet
    disks: tuple[str, ...]


@codec.kind(33)
@dataclasses.dataclass(frozen=True)
class ReplicaReport:
    """One copy on a disk: identity, the newest replica set known, and the last sequence."""

    group_id: int
    identity: str
    record: ReplicaSet | None
    sequence: int


@codec.kind(34)
@dataclasses.dataclass(frozen=True)
class ReplicaReports:
    """All copies on a node's disk; ``first_start`` says that a blank one of them is new, not lost."""

    area: str
    copies: tuple[ReplicaReport, ...]
    known: RememberedCluster
    first_start: bool = True
