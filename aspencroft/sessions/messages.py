"""Messages between edges and session groups about the turns and operation keys of lanes, and the logged events."""

import dataclasses
import datetime

from aspencroft.transport import codec

DONE, NOT_RUN, UNKNOWN = "done", "not run", "unknown"
OUTCOMES = (DONE, NOT_RUN, UNKNOWN)


@codec.kind(100)
@dataclasses.dataclass(frozen=True)
class Past:
    """A finished turn of a chain."""

    number: int
    attempt: str
    input: str
    output: str
    used: int


@codec.kind(101)
@dataclasses.dataclass(frozen=True)
class OpenTurn:
    """Command: start the turn that follows number ``after`` of its chain, within the program's token budget."""

    program: str
    helper: str
    after: int
    lane: str
    attempt: str
    reserve: int
    budget: int
    retention_period: datetime.timedelta
    time_limit: datetime.timedelta
    edge: str


@codec.kind(102)
@dataclasses.dataclass(frozen=True)
class TurnOpened:
    """Event: a turn is in flight and its output tokens are reserved."""

    program: str
    helper: str
    after: int
    lane: str
    attempt: str
    reserve: int
    budget: int
    retention_period: datetime.timedelta
    time_limit: datetime.timedelta
    edge: str


@codec.kind(103)
@dataclasses.dataclass(frozen=True)
class TurnGranted:
    """Reply: the turn's number, the earlier turns of its chain, and how many tokens it may generate."""

    number: int
    turns: tuple[Past, ...]
    reserve: int


@codec.kind(104)
@dataclasses.dataclass(frozen=True)
class CloseTurn:
    """Command: report the outcome of a turn in flight."""

    program: str
    helper: str
    attempt: str
    outcome: str
    input: str
    output: str
    used: int


@codec.kind(105)
@dataclasses.dataclass(frozen=True)
class TurnClosed:
    """Event: a turn ended. Only the outcome DONE is retained as history; UNKNOWN is charged in full."""

    program: str
    helper: str
    attempt: str
    outcome: str
    input: str
    output: str
    used: int


@codec.kind(106)
@dataclasses.dataclass(frozen=True)
class ProgramForgotten:
    """Event: a program's retention period expired."""

    program: str


@codec.kind(107)
@dataclasses.dataclass(frozen=True)
class ForgetProgram:
    """Timer command: a program's retention period expired by the primary's clock."""

    program: str


@codec.kind(110)
@dataclasses.dataclass(frozen=True)
class ClaimOperation:
    """Command: reserve an operation key for one attempt; ``digest`` identifies the content of the request."""

    key: str
    lane: str
    attempt: str
    digest: bytes
    time_limit: datetime.timedelta
    retention_period: datetime.timedelta


@codec.kind(111)
@dataclasses.dataclass(frozen=True)
class OperationClaimed:
    """Event: an attempt holds the key."""

    key: str
    lane: str
    attempt: str
    digest: bytes
    time_limit: datetime.timedelta
    retention_period: datetime.timedelta


@codec.kind(112)
@dataclasses.dataclass(frozen=True)
class CloseOperation:
    """Command: report the outcome of the attempt that holds the key; NOT_RUN releases the key."""

    key: str
    attempt: str
    outcome: str
    answer: bytes


@codec.kind(113)
@dataclasses.dataclass(frozen=True)
class OperationClosed:
    """Event: the attempt that holds the key ended."""

    key: str
    attempt: str
    outcome: str
    answer: bytes


@codec.kind(114)
@dataclasses.dataclass(frozen=True)
class Operation:
    """Reply: the state of a key; ``is_holder`` if the requesting attempt holds it and has not ended."""

    key: str
    lane: str
    attempt: str
    digest: bytes
    is_holder: bool
    outcome: str
    answer: bytes
    time_limit: datetime.timedelta
    retention_period: datetime.timedelta


@codec.kind(115)
@dataclasses.dataclass(frozen=True)
class ForgetOperation:
    """Timer command: a key's retention period expired."""

    key: str


@codec.kind(116)
@dataclasses.dataclass(frozen=True)
class OperationForgotten:
    """Event: a key is forgotten and can be reserved again."""

    key: str


@codec.kind(117)
@dataclasses.dataclass(frozen=True)
class Closed:
    """Reply: the outcome that is on record for the turn or operation."""

    outcome: str


@codec.kind(118)
@dataclasses.dataclass(frozen=True)
class OpenGo:
    """A turn in flight, as stored in a snapshot."""

    helper: str
    after: int
    attempt: str
    reserve: int
    time_limit: datetime.timedelta
    edge: str


@codec.kind(119)
@dataclasses.dataclass(frozen=True)
class Chain:
    """The turns of one helper of a program; an empty name stands for the program's main chain."""

    helper: str
    turns: tuple[Past, ...]


@codec.kind(120)
@dataclasses.dataclass(frozen=True)
class Program:
    """A program: its chains, the tokens it used and its turns in flight."""

    name: str
    lane: str
    budget: int
    used: int
    retention_period: datetime.timedelta
    chains: tuple[Chain, ...]
    in_flight: tuple[OpenGo, ...]

    def chain(self, helper: str) -> Chain:
        """Return the chain of a helper, empty if it has no turns."""
        for chain in self.chains:
            if chain.helper == helper:
                return chain
        return Chain(helper, ())

    def reserved(self) -> int:
        """Return the tokens reserved by turns in flight."""
        return sum(turn.reserve for turn in self.in_flight)


@codec.kind(121)
@dataclasses.dataclass(frozen=True)
class SessionSnapshot:
    """All programs and operations of a session group."""

    programs: tuple[Program, ...]
    operations: tuple[Operation, ...]
