"""Messages between edges and session groups about opaque calls, and the logged events: turns, budgets, keys, quotas."""

import dataclasses
import datetime

from aspencroft.sessions import messages
from aspencroft.transport import codec

NOT_KEPT = "not kept"


@dataclasses.dataclass(frozen=True)
class Turn:
    """A retained turn of a chain; ``previous`` is the attempt it continues, empty for the first turn of the chain."""

    attempt: str
    previous: str
    input: bytes
    output: bytes
    worker: str


@dataclasses.dataclass(frozen=True)
class Header:
    """A header of a stored answer."""

    name: bytes
    value: bytes


@codec.kind(141)
@dataclasses.dataclass(frozen=True)
class BeginTurn:
    """Command: start the turn of an attempt that continues ``previous``, within the program's token budget.

    The turn may generate up to ``max_tokens``. A ``budget`` of zero sets none. ``edge`` is the incarnation of the
    requesting edge. ``held_turn`` names a turn whose chain the edge already holds. ``base`` is the chain of
    ``previous``, fetched from another group, oldest turn first.
    """

    program: str
    session: str
    attempt: str
    previous: str
    max_tokens: int
    budget: int
    retained: bool
    retention_period: datetime.timedelta
    time_limit: datetime.timedelta
    edge: str
    held_turn: str
    base: tuple[Turn, ...]


@codec.kind(194)
@dataclasses.dataclass(frozen=True)
class BeginRetainedTurn:
    """Command: start a turn that will be retained and is expected to add so many bytes to the history of its group."""

    begin: BeginTurn
    expected_bytes: int


@codec.kind(142)
@dataclasses.dataclass(frozen=True)
class TurnBegun:
    """Reply: the earlier turns of the chain, oldest first.

    All of them if ``complete``, otherwise only those that follow the turn that the edge holds. ``worker`` ran the
    previous turn, or else the program's last turn; it may be empty.
    """

    chain: tuple[Turn, ...]
    worker: str
    complete: bool


@codec.kind(198)
@dataclasses.dataclass(frozen=True)
class LargeChainBegun:
    """Reply to the start of a retained turn whose chain is large: its size, and the worker as in ``TurnBegun``.

    The edge fetches the chain by ``FindTurn`` once it has the memory for it.
    """

    chain_bytes: int
    worker: str


@codec.kind(143)
@dataclasses.dataclass(frozen=True)
class EndTurn:
    """Command: report the outcome of a turn; ``used`` is the number of tokens it generated."""

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
    """Read-only command: look up the chain that ends with a turn."""

    attempt: str


@codec.kind(145)
@dataclasses.dataclass(frozen=True)
class TurnFound:
    """Reply: whether the group retains the turn, and its chain, oldest turn first."""

    found: bool
    chain: tuple[Turn, ...]


@codec.kind(146)
@dataclasses.dataclass(frozen=True)
class ClaimKey:
    """Command: reserve an operation key for one attempt, which runs for at most ``time_limit``.

    The key is retained for ``window`` after the last moment at which the work could run. The digest is not compared:
    requests with the same key are the same operation.
    """

    key: str
    attempt: str
    digest: bytes
    time_limit: datetime.timedelta
    window: datetime.timedelta
    edge: str


@codec.kind(147)
@dataclasses.dataclass(frozen=True)
class KeyHeld:
    """Reply: ``is_holder`` if the requesting attempt holds the key and is to run.

    Otherwise the outcome of the attempt that holds it, empty while that is in flight, and its answer. The outcome
    NOT_KEPT means that it is done and that its answer was too large to store.
    """

    is_holder: bool
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.kind(148)
@dataclasses.dataclass(frozen=True)
class CloseKey:
    """Command: report the outcome of the attempt that holds a key; NOT_RUN releases the key."""

    key: str
    attempt: str
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.kind(149)
@dataclasses.dataclass(frozen=True)
class TurnBegan:
    """Event: a turn is in flight. If it has a budget (the one in force), ``max_tokens`` are reserved.

    The turns of ``base`` are retained from now on. The same record, without ``base``, is the state of a turn in flight.
    """

    program: str
    session: str
    attempt: str
    previous: str
    max_tokens: int
    budget: int
    retained: bool
    retention_period: datetime.timedelta
    time_limit: datetime.timedelta
    edge: str
    worker: str
    base: tuple[Turn, ...]

    def reserved(self) -> int:
        """Return the tokens reserved for the turn; none without a budget."""
        return self.max_tokens if self.budget else 0


@codec.kind(195)
@dataclasses.dataclass(frozen=True)
class RetainedTurnBegan:
    """Event: a turn is in flight, and room is reserved for the bytes that it is expected to add."""

    began: TurnBegan
    expected_bytes: int


@codec.kind(154)
@dataclasses.dataclass(frozen=True)
class TurnEnded:
    """Event: a turn ended, or an attempt that never began must not begin any longer."""

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
    time_limit: datetime.timedelta
    window: datetime.timedelta
    edge: str


@codec.kind(156)
@dataclasses.dataclass(frozen=True)
class KeyClosed:
    """Event: the attempt that holds a key ended; NOT_RUN also bars that attempt from reserving it later."""

    key: str
    attempt: str
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.kind(157)
@dataclasses.dataclass(frozen=True)
class Forget:
    """Timer command and event: retention periods expired.

    Turns are named by their attempt; ``released_attempts`` are those that released their key.
    """

    programs: tuple[str, ...]
    turns: tuple[str, ...]
    finished_attempts: tuple[str, ...]
    keys: tuple[str, ...]
    released_attempts: tuple[str, ...]


@codec.kind(187)
@dataclasses.dataclass(frozen=True)
class Tick:
    """Timer command and event: ``span`` has passed under one primary while turns were retained."""

    span: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class CountedStep:
    """Number of granted requests of about the same age."""

    age: datetime.timedelta
    count: int


@codec.kind(189)
@dataclasses.dataclass(frozen=True)
class ReserveRequests:
    """Command: grant up to ``count`` requests of a tenant, so that no window of that length exceeds ``limit``.

    ``run_ahead`` is the maximum number of granted requests that may be missing from the log. ``edge`` is the
    incarnation of the requesting edge, and ``request_number`` counts its requests about this tenant: a retry with the
    same number gets the same reply.
    """

    tenant: str
    edge: str
    request_number: int
    count: int
    limit: int
    run_ahead: int
    window: datetime.timedelta


@codec.kind(190)
@dataclasses.dataclass(frozen=True)
class RequestsReserved:
    """Reply: how many of the requests are granted, in which epoch, when, and the delay until the next one may be.

    ``granted_at`` is a time of the primary's own clock; it is passed back when unused requests are returned.
    """

    granted: int
    retry: datetime.timedelta
    epoch: int
    granted_at: datetime.timedelta


@codec.kind(191)
@dataclasses.dataclass(frozen=True)
class ReturnRequests:
    """Command: return granted requests of a tenant that did not run and never will.

    It is not idempotent and is therefore sent only once. ``epoch`` and ``granted_at`` are those of the reply that
    granted the requests.
    """

    tenant: str
    count: int
    epoch: int
    granted_at: datetime.timedelta


@codec.kind(193)
@dataclasses.dataclass(frozen=True)
class RecordRequests:
    """Timer command: write the grants of a tenant to the log."""

    tenant: str


@codec.kind(192)
@dataclasses.dataclass(frozen=True)
class RequestsCounted:
    """Event: the grants of a tenant within the window that ends now, oldest first; it replaces the previous record."""

    tenant: str
    steps: tuple[CountedStep, ...]


@dataclasses.dataclass(frozen=True)
class QuotaRecords:
    """The newest record of each tenant; it follows the ages of turns in a snapshot."""

    counted: tuple[RequestsCounted, ...]


@dataclasses.dataclass(frozen=True)
class Account:
    """A program: its token budget (zero for none), tokens used and reserved, turns in flight and retained, last worker.

    ``retention_period`` is the longest that any of its turns asked for.
    """

    program: str
    budget: int
    used: int
    reserved: int
    retention_period: datetime.timedelta
    in_flight: int
    retained: int
    worker: str


@dataclasses.dataclass(frozen=True)
class RetainedTurn:
    """A retained turn; ``size`` is the number of bytes of its whole chain."""

    turn: Turn
    program: str
    retention_period: datetime.timedelta
    size: int


@dataclasses.dataclass(frozen=True)
class FinishedAttempt:
    """An attempt that must not begin again; its charge is corrected if its outcome becomes known later."""

    attempt: str
    outcome: str
    program: str
    previous: str
    charged: int
    budget: int
    retained: bool
    retention_period: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class Key:
    """An operation key, the attempt that holds it, and the outcome."""

    key: str
    attempt: str
    time_limit: datetime.timedelta
    window: datetime.timedelta
    edge: str
    outcome: str
    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class CallSessionsSnapshot:
    """The state of the opaque calls of a session group, without the ages of turns and the quotas."""

    accounts: tuple[Account, ...]
    turns: tuple[RetainedTurn, ...]
    in_flight: tuple[TurnBegan, ...]
    finished: tuple[FinishedAttempt, ...]
    keys: tuple[Key, ...]
    released: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class TurnAges:
    """The group's own time, and when each retained turn ended by it, in the order of the turns.

    It follows the ``CallSessionsSnapshot`` in a snapshot.
    """

    time: datetime.timedelta
    ended: tuple[datetime.timedelta, ...]


@dataclasses.dataclass(frozen=True)
class ExpectedBytes:
    """The bytes for which the turns in flight have reserved room, in their order; it ends a snapshot."""

    sizes: tuple[int, ...]


Command = (
    BeginTurn
    | BeginRetainedTurn
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
Event = TurnBegan | RetainedTurnBegan | TurnEnded | KeyClaimed | KeyClosed | RequestsCounted | Forget | Tick
Reply = TurnBegun | LargeChainBegun | TurnFound | KeyHeld | RequestsReserved | messages.Closed
Decision = tuple[tuple[Event, ...], Reply]
"""The events of a command, which must be committed to the log before the reply is sent, and the reply."""
