"""What edges and session groups say to each other, and the events kept: one family of records."""

import dataclasses
import datetime

from aspencroft.transport import codec

DONE, NOT_RUN, UNKNOWN = "done", "not run", "unknown"
OUTCOMES = (DONE, NOT_RUN, UNKNOWN)


@codec.kind(100)
@dataclasses.dataclass(frozen=True)
class Past:
    """One finished turn of a chain."""

    number: int
    go: str
    input: str
    output: str
    used: int


@codec.kind(101)
@dataclasses.dataclass(frozen=True)
class OpenTurn:
    """Command: start a turn behind the one named, under the program's budget."""

    program: str
    helper: str
    after: int
    lane: str
    go: str
    reserve: int
    budget: int
    keep: datetime.timedelta
    within: datetime.timedelta
    edge: str


@codec.kind(102)
@dataclasses.dataclass(frozen=True)
class TurnOpened:
    """Event: a turn is under way and its output reserved."""

    program: str
    helper: str
    after: int
    lane: str
    go: str
    reserve: int
    budget: int
    keep: datetime.timedelta
    within: datetime.timedelta
    edge: str


@codec.kind(103)
@dataclasses.dataclass(frozen=True)
class TurnGranted:
    """Reply: the turn's number, its own earlier turns, and how much it may put out."""

    number: int
    past: tuple[Past, ...]
    reserve: int


@codec.kind(104)
@dataclasses.dataclass(frozen=True)
class CloseTurn:
    """Command: how a turn under way ended."""

    program: str
    helper: str
    go: str
    outcome: str
    input: str
    output: str
    used: int


@codec.kind(105)
@dataclasses.dataclass(frozen=True)
class TurnClosed:
    """Event: a turn ended; only a done one is kept as history, an unknown one is charged in full."""

    program: str
    helper: str
    go: str
    outcome: str
    input: str
    output: str
    used: int


@codec.kind(106)
@dataclasses.dataclass(frozen=True)
class ProgramForgotten:
    """Event: the keep time ran out."""

    program: str


@codec.kind(107)
@dataclasses.dataclass(frozen=True)
class ForgetProgram:
    """Clock event: the keep time ran out by the primary's clock."""

    program: str


@codec.kind(110)
@dataclasses.dataclass(frozen=True)
class ClaimOperation:
    """Command: be the one request that runs under this key; the digest tells what is asked."""

    key: str
    lane: str
    go: str
    digest: bytes
    within: datetime.timedelta
    keep: datetime.timedelta


@codec.kind(111)
@dataclasses.dataclass(frozen=True)
class OperationClaimed:
    """Event: a go holds the key."""

    key: str
    lane: str
    go: str
    digest: bytes
    within: datetime.timedelta
    keep: datetime.timedelta


@codec.kind(112)
@dataclasses.dataclass(frozen=True)
class CloseOperation:
    """Command: how the go under the key ended; not run frees the key."""

    key: str
    go: str
    outcome: str
    answer: bytes


@codec.kind(113)
@dataclasses.dataclass(frozen=True)
class OperationClosed:
    """Event: the key's outcome."""

    key: str
    go: str
    outcome: str
    answer: bytes


@codec.kind(114)
@dataclasses.dataclass(frozen=True)
class Operation:
    """Reply: a key's state; ``mine`` when the asking go holds it and has not ended."""

    key: str
    lane: str
    go: str
    digest: bytes
    mine: bool
    outcome: str
    answer: bytes
    within: datetime.timedelta
    keep: datetime.timedelta


@codec.kind(115)
@dataclasses.dataclass(frozen=True)
class ForgetOperation:
    """Clock event: the key was remembered long enough."""

    key: str


@codec.kind(116)
@dataclasses.dataclass(frozen=True)
class OperationForgotten:
    """Event: the key is free."""

    key: str


@codec.kind(117)
@dataclasses.dataclass(frozen=True)
class Closed:
    """Reply: the turn's or operation's end is kept."""

    outcome: str


@codec.kind(118)
@dataclasses.dataclass(frozen=True)
class OpenGo:
    """A turn under way, as a snapshot keeps it."""

    helper: str
    after: int
    go: str
    reserve: int
    within: datetime.timedelta
    edge: str


@codec.kind(119)
@dataclasses.dataclass(frozen=True)
class Chain:
    """The turns of a program's main line or of one helper."""

    helper: str
    past: tuple[Past, ...]


@codec.kind(120)
@dataclasses.dataclass(frozen=True)
class Program:
    """A program: its chains, what it used and what is under way."""

    name: str
    lane: str
    budget: int
    used: int
    keep: datetime.timedelta
    chains: tuple[Chain, ...]
    under_way: tuple[OpenGo, ...]

    def chain(self, helper: str) -> Chain:
        """The chain of a helper; an empty one when it has no turns."""
        for one in self.chains:
            if one.helper == helper:
                return one
        return Chain(helper, ())

    def reserved(self) -> int:
        """What turns under way may still put out."""
        return sum(one.reserve for one in self.under_way)


@codec.kind(121)
@dataclasses.dataclass(frozen=True)
class SessionSnapshot:
    """All programs and operations of a session group."""

    programs: tuple[Program, ...]
    operations: tuple[Operation, ...]
