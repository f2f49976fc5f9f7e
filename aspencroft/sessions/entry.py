"""What edges and session group say to each other of opaque calls, and the events kept: turns, budgets, keys."""

import dataclasses
import datetime

from aspencroft.sessions import messages
from aspencroft.transport import codec

NOT_KEPT = "not kept"


@dataclasses.dataclass(frozen=True)
class Turn:
    """A kept turn of a chain; ``previous`` is the attempt it goes on from, empty at the start of the chain."""

    attempt: str
    previous: str
    input: bytes
    output: bytes
    worker: str


@dataclasses.dataclass(frozen=True)
class Header:
    """A header of a kept answer."""

    name: bytes
    value: bytes


@codec.kind(141)
@dataclasses.dataclass(frozen=True)
class BeginTurn:
    """Command: start the turn of an attempt behind the one named, under the program's budget (tokens).

    ``most`` is the most tokens it may put out; ``budget`` zero says nothing;
    ``edge`` is the life of the asking edge; ``have``
    names a turn whose chain the edge holds; ``base`` is the chain of ``previous``, found in another group,
    oldest first.
    """

    program: str
    session: str
    attempt: str
    previous: str
    most: int
    budget: int
    retained: bool
    keep: datetime.timedelta
    within: datetime.timedelta
    edge: str
    have: str
    base: tuple[Turn, ...]


@codec.kind(142)
@dataclasses.dataclass(frozen=True)
class TurnBegun:
    """Reply: the turns before it, oldest first, all of them if ``complete``, else those behind the one the edge holds.

    ``worker`` ran the turn before, or the program's last one; it may be empty.
    """

    chain: tuple[Turn, ...]
    worker: str
    complete: bool


@codec.kind(143)
@dataclasses.dataclass(frozen=True)
class EndTurn:
    """Command: how a turn ended; ``used`` are the tokens it put out."""

    program: str
    session: str
    attempt: str
    outcome: str
    input: bytes
    output: bytes
    used: int
    worker: str


@codec.kind(144)
@dataclasses.dataclass(frozen=True)
class FindTurn:
    """Command that only reads: the chain that ends with a turn."""

    attempt: str


@codec.kind(145)
@dataclasses.dataclass(frozen=True)
class TurnFound:
    """Reply: whether the turn is kept here, and its chain, oldest first."""

    found: bool
    chain: tuple[Turn, ...]


@codec.kind(146)
@dataclasses.dataclass(frozen=True)
class ClaimKey:
    """Command: be the one attempt that runs under a key, for a time of at most ``within``.

    The key is held until ``window`` beyond the last moment at which the work could run.
    Whatever the digest, it is the same
    operation.
    """

    key: str
    attempt: str
    digest: bytes
    within: datetime.timedelta
    window: datetime.timedelta
    edge: str


@codec.kind(147)
@dataclasses.dataclass(frozen=True)
class KeyHeld:
    """Reply: ``mine`` if the asking attempt is the one to run.

    Else the outcome, empty while it is at work, and the answer.

    The outcome NOT_KEPT says that it is done and that its answer was too large to keep.
    """

    mine: bool
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.kind(148)
@dataclasses.dataclass(frozen=True)
class CloseKey:
    """Command: how the attempt under a key ended; not run frees the key."""

    key: str
    attempt: str
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.kind(149)
@dataclasses.dataclass(frozen=True)
class TurnBegan:
    """Event: a turn is under way; with a budget (the one that stands) its most is reserved.

    ``base`` is kept from now on.

    It also is what a ledger holds of a turn under way, then without ``base``.
    """

    program: str
    session: str
    attempt: str
    previous: str
    most: int
    budget: int
    retained: bool
    keep: datetime.timedelta
    within: datetime.timedelta
    edge: str
    worker: str
    base: tuple[Turn, ...]

    def reserved(self) -> int:
        """Tokens that are kept free for it; none without a budget."""
        return self.most if self.budget else 0


@codec.kind(154)
@dataclasses.dataclass(frozen=True)
class TurnEnded:
    """Event: a turn ended, or an attempt that never began must not begin any more."""

    attempt: str
    outcome: str
    input: bytes
    output: bytes
    used: int
    worker: str


@codec.kind(155)
@dataclasses.dataclass(frozen=True)
class KeyClaimed:
    """Event: an attempt holds a key."""

    key: str
    attempt: str
    within: datetime.timedelta
    window: datetime.timedelta
    edge: str


@codec.kind(156)
@dataclasses.dataclass(frozen=True)
class KeyClosed:
    """Event: how the attempt under a key ended; not run also keeps an attempt from claiming it any more."""

    key: str
    attempt: str
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.kind(157)
@dataclasses.dataclass(frozen=True)
class Forget:
    """Clock event, command and event alike: keep times ran out.

    Ended turns and freed keys are named by their attempt.
    """

    programs: tuple[str, ...]
    turns: tuple[str, ...]
    ended: tuple[str, ...]
    keys: tuple[str, ...]
    freed: tuple[str, ...]


@codec.kind(187)
@dataclasses.dataclass(frozen=True)
class Tick:
    """Clock event, command and event alike: so much time went by under one primary while turns were kept."""

    span: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class CountedStep:
    """Granted requests of about the same age."""

    age: datetime.timedelta
    count: int


@codec.kind(189)
@dataclasses.dataclass(frozen=True)
class ReserveRequests:
    """Command: count requests of a tenant, as far as no window of that length comes to hold more than ``limit``.

    ``run_ahead`` is how many granted requests may be on no record. ``edge`` is the run of the asking edge, and
    ``question`` the number of its question about this tenant: asked again, it gets the same reply.
    """

    tenant: str
    edge: str
    question: int
    count: int
    limit: int
    run_ahead: int
    window: datetime.timedelta


@codec.kind(190)
@dataclasses.dataclass(frozen=True)
class RequestsReserved:
    """Reply: how many of the requests are granted, in which epoch, when, and after how long the next one may be.

    ``granted_at`` is a time of the primary's own clock, for the return of what was not used.
    """

    granted: int
    retry: datetime.timedelta
    epoch: int
    granted_at: datetime.timedelta


@codec.kind(191)
@dataclasses.dataclass(frozen=True)
class ReturnRequests:
    """Command: granted requests of a tenant did not run and never will; not idempotent, so it is sent once only.

    ``epoch`` and ``granted_at`` are those of the reply that granted them.
    """

    tenant: str
    count: int
    epoch: int
    granted_at: datetime.timedelta


@codec.kind(193)
@dataclasses.dataclass(frozen=True)
class RecordRequests:
    """Command of the clock: put what a tenant was granted on record."""

    tenant: str


@codec.kind(192)
@dataclasses.dataclass(frozen=True)
class RequestsCounted:
    """Event: what a tenant was granted within the window that ends now, oldest first; it replaces the one before."""

    tenant: str
    steps: tuple[CountedStep, ...]


@dataclasses.dataclass(frozen=True)
class QuotaRecords:
    """The newest record of each tenant, behind the ages of turns in a snapshot."""

    counted: tuple[RequestsCounted, ...]


@dataclasses.dataclass(frozen=True)
class Account:
    """A program: its budget (zero if none was said), tokens used and reserved, turns under way and kept.

    And its last worker.
    """

    program: str
    budget: int
    used: int
    reserved: int
    keep: datetime.timedelta
    in_flight: int
    retained: int
    worker: str


@dataclasses.dataclass(frozen=True)
class RetainedTurn:
    """A kept turn; ``size`` are the bytes of its whole chain."""

    turn: Turn
    program: str
    keep: datetime.timedelta
    size: int


@dataclasses.dataclass(frozen=True)
class FinishedAttempt:
    """An attempt that may not begin any more; what it was charged is put right should its outcome become known."""

    attempt: str
    outcome: str
    program: str
    previous: str
    charged: int
    budget: int
    retained: bool
    keep: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Key:
    """A key, the attempt that holds it, and what came of it."""

    key: str
    attempt: str
    within: datetime.timedelta
    window: datetime.timedelta
    edge: str
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class LedgerSnapshot:
    """All that a ledger holds."""

    accounts: tuple[Account, ...]
    turns: tuple[RetainedTurn, ...]
    in_flight: tuple[TurnBegan, ...]
    finished: tuple[FinishedAttempt, ...]
    keys: tuple[Key, ...]
    released: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class TurnAges:
    """The group's own time, and when by it each kept turn ended, in the order of the turns; behind a LedgerSnapshot."""

    time: datetime.timedelta
    ended: tuple[datetime.timedelta, ...]


Command = (
    BeginTurn
    | EndTurn
    | FindTurn
    | ClaimKey
    | CloseKey
    | ReserveRequests
    | ReturnRequests
    | RecordRequests
    | Forget
    | Tick
)
Event = TurnBegan | TurnEnded | KeyClaimed | KeyClosed | RequestsCounted | Forget | Tick
Reply = TurnBegun | TurnFound | KeyHeld | RequestsReserved | messages.Closed
Decision = tuple[tuple[Event, ...], Reply]
"""The events of a command, to be recorded before its reply goes out."""
