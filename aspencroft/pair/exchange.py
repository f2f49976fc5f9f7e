"""What primary, backup and askers of a pair say to each other: one family of records."""

import dataclasses
import datetime

import aspencroft.link.record as record
import aspencroft.pair.copy as copy
import aspencroft.pair.holding as holding


@record.kind(50)
@dataclasses.dataclass(frozen=True)
class Append:
    """Entries for a backup, behind the one it has last."""

    holding: holding.Holding
    previous: copy.Mark
    entries: tuple[copy.Entry, ...]


@record.kind(51)
@dataclasses.dataclass(frozen=True)
class Appended:
    """The copy's newest entry once all is synced."""

    last: copy.Mark


@record.kind(52)
@dataclasses.dataclass(frozen=True)
class Compare:
    """Ask a copy for its range digests."""

    pair: int
    epoch: int


@record.kind(53)
@dataclasses.dataclass(frozen=True)
class Compared:
    """A copy's identity and range digests."""

    identity: str
    marks: tuple[copy.Mark, ...]


@record.kind(54)
@dataclasses.dataclass(frozen=True)
class Mend:
    """Keep what agrees through a sequence, then add this; the record fences off older primaries."""

    holding: holding.Holding
    identity: str
    through: int
    picture: copy.Picture | None
    entries: tuple[copy.Entry, ...]


@record.kind(55)
@dataclasses.dataclass(frozen=True)
class Appoint:
    """The witnesses recorded these holders."""

    holding: holding.Holding


@record.kind(58)
@dataclasses.dataclass(frozen=True)
class Fetch:
    """A member that has just started asks another one, known by its identity, for what it holds beyond this."""

    holding: holding.Holding
    last: copy.Mark
    identity: str


@record.kind(59)
@dataclasses.dataclass(frozen=True)
class Fetched:
    """Entries behind the mark, or a picture and the entries behind it; none when there is nothing more.

    ``lost`` says that this is not the copy that was asked for: that one is gone.
    """

    picture: copy.Picture | None
    entries: tuple[copy.Entry, ...]
    lost: bool


@record.kind(37)
@dataclasses.dataclass(frozen=True)
class Ask:
    """Ask a group's primary for the record that stands, and whether it knows that a node is being emptied."""

    pair: int
    address: str


@record.kind(38)
@dataclasses.dataclass(frozen=True)
class Stands:
    """The record under which a primary serves; ``emptied`` tells that it will not take the node in again."""

    holding: holding.Holding
    emptied: bool


@record.kind(56)
@dataclasses.dataclass(frozen=True)
class Submit:
    """A command for a pair, to its primary."""

    pair: int
    within: datetime.timedelta
    body: bytes


@record.kind(57)
@dataclasses.dataclass(frozen=True)
class Submitted:
    """The reply to a command, once it is synced on all copies."""

    body: bytes
    holding: holding.Holding
