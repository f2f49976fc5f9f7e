"""Who holds a group: the one record that witnesses agree on, and the family of records around it."""

import dataclasses
import datetime

import aspencroft.link.record as record

ROSTER = -1
FOUNDING = 1
CONTROL, TALK = "control", "talk"


def sort_of(pair: int) -> str:
    """The sort of a group by its number: which disks may hold it.

    Example: ``sort_of(0) == CONTROL``
    """
    return TALK if pair else CONTROL


@record.kind(20)
@dataclasses.dataclass(frozen=True)
class Member:
    """A copy's holder: the node's address and the identity that its store was born with.

    Example: ``Member("127.0.0.1:7001", "5f3a...")``; a store that was lost has another identity.
    """

    address: str
    identity: str


@record.kind(21)
@dataclasses.dataclass(frozen=True)
class Holding:
    """Primary and backups of a group under an epoch: each of them holds all that was answered.

    Example: ``Holding(0, 3, primary, ())``: one copy, no write is taken.
    """

    pair: int
    epoch: int
    primary: Member
    backups: tuple[Member, ...]

    def members(self) -> tuple[Member, ...]:
        """The primary and the backups.

        Example: ``Holding(0, 3, primary, (backup,)).members() == (primary, backup)``
        """
        return (self.primary, *self.backups)


@record.kind(22)
@dataclasses.dataclass(frozen=True)
class Roster:
    """The witnesses: the set in force and, while it changes, the set to come.

    Number zero is what settings name before any roster is in force, number one what they name to witnesses that vote from their
    first start on; later numbers are never used twice.

    Example: ``Roster(1, ("a:1", "b:1", "c:1"), ())``
    """

    number: int
    present: tuple[str, ...]
    coming: tuple[str, ...]

    def everyone(self) -> tuple[str, ...]:
        """All witnesses to ask.

        Example: ``Roster(2, ("a:1",), ("b:1",)).everyone() == ("a:1", "b:1")``
        """
        return tuple(dict.fromkeys(self.present + self.coming))

    def quorum(self, answered) -> bool:
        """Whether those who answered are a majority of each set.

        Example: ``Roster(1, ("a", "b", "c"), ()).quorum({"a", "c"})``
        """
        return all(2 * len(set(group) & set(answered)) > len(set(group))
                   for group in (self.present, self.coming) if group)


@record.kind(23)
@dataclasses.dataclass(frozen=True)
class Ballot:
    """What a witness keeps of a register: the ballot raised, and the value last accepted in one."""

    register: int
    raised: int
    accepted: int
    value: bytes


@record.kind(24)
@dataclasses.dataclass(frozen=True)
class Raise:
    """First phase: promise this ballot and tell what was accepted."""

    register: int
    ballot: int
    asker: str
    roster: int


@record.kind(25)
@dataclasses.dataclass(frozen=True)
class Raised:
    """Answer to a raise or a record; refused ones tell the ballot or roster that stands in the way."""

    granted: bool
    incarnation: int
    ballot: Ballot
    roster: Roster
    wait: datetime.timedelta


@record.kind(26)
@dataclasses.dataclass(frozen=True)
class Accept:
    """Second phase: accept a value in a ballot that this incarnation of the witness promised."""

    register: int
    ballot: int
    value: bytes
    incarnation: int
    roster: int


@record.kind(27)
@dataclasses.dataclass(frozen=True)
class Claim:
    """Renew a primary's claim; carries the chosen value so that a witness that missed it learns it."""

    register: int
    ballot: int
    value: bytes
    claimant: str
    length: datetime.timedelta
    roster: int


@record.kind(28)
@dataclasses.dataclass(frozen=True)
class Survey:
    """Ask a witness for all that it keeps."""

    asker: str


@record.kind(29)
@dataclasses.dataclass(frozen=True)
class Surveyed:
    """A witness's state; one that is blank does not vote."""

    voting: bool
    incarnation: int
    roster: Roster
    ballots: tuple[Ballot, ...]


@record.kind(30)
@dataclasses.dataclass(frozen=True)
class SeedWitness:
    """Give blank witnesses their first state, or the one that the members' disks hold."""

    roster: Roster
    ballots: tuple[Ballot, ...]


@record.kind(31)
@dataclasses.dataclass(frozen=True)
class Okay:
    """Plain yes."""


@record.kind(32)
@dataclasses.dataclass(frozen=True)
class Report:
    """Ask a node which copies its disk holds."""


@record.kind(35)
@dataclasses.dataclass(frozen=True)
class ChosenRoster:
    """A roster that the witnesses chose, for those that had no part in the ballot."""

    roster: Roster


@record.kind(36)
@dataclasses.dataclass(frozen=True)
class Known:
    """What a node's disk remembers of the fleet: the roster in force and the nodes with disks."""

    roster: Roster
    disks: tuple[str, ...]


@record.kind(33)
@dataclasses.dataclass(frozen=True)
class CopyReport:
    """One copy on a disk: identity, the newest record of holders known, and the last sequence."""

    pair: int
    identity: str
    holding: Holding | None
    sequence: int


@record.kind(34)
@dataclasses.dataclass(frozen=True)
class Reported:
    """All copies on a node's disk; ``first_start`` says that a blank one of them is new, not lost."""

    area: str
    copies: tuple[CopyReport, ...]
    known: Known
    first_start: bool = True
