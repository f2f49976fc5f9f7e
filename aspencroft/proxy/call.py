"""An opaque call: the request of a caller, which is passed to a worker unchanged, and the answer to it."""

import collections.abc
import dataclasses
import datetime

from aspencroft.proxy import memory_budget

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a caller, read completely; ``headers`` are the end-to-end headers that are passed to the worker.

    A ``body`` may be a buffer, which nothing changes. ``time_limit`` is how long the caller waits, counted from
    ``arrived_at``. ``budget``, ``prompt_tokens``, ``reserve`` and the sizes in ``prompt_segments`` are in tokens. An
    empty text or zero means that the caller gave no value.
    ``key_digest`` is the digest of the caller's API key, which itself is in none of the fields; ``tenant`` is looked up
    by it at admission, whatever the caller claims. ``memory`` reserves the bytes that are held for the call; whoever
    made the call releases it.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes | bytearray
    attempt: str
    time_limit: datetime.timedelta
    arrived_at: datetime.timedelta
    key: str = ""
    key_digest: str = ""
    tenant: str = ""
    program: str = ""
    session: str = ""
    program_within: datetime.timedelta | None = None
    budget: int = 0
    prompt_tokens: int = 0
    reserve: int = 0
    previous: str = ""
    model: str = ""
    prompt_segments: tuple[tuple[str, int], ...] = ()
    resume_after: str = ""
    memory: memory_budget.Reservation = dataclasses.field(
        default_factory=memory_budget.unlimited, compare=False, repr=False
    )

    def deadline(self) -> datetime.timedelta:
        """The time at which the caller stops waiting, on the clock of the event loop."""
        return self.arrived_at + self.time_limit

    def qualify_name(self, name: str) -> str:
        """Qualify a name given by the caller with its tenant, so that tenants share no names; "" stays empty."""
        return f"{self.tenant}\n{name}" if self.tenant and name else name

    def path(self) -> str:
        """The request target without its query."""
        return self.target.split("?", 1)[0]


@dataclasses.dataclass(frozen=True)
class Head:
    """The status and headers of a worker's response, parsed.

    ``not_run`` means that the worker reports that it did not run the request, ``misdirected`` that another worker has
    the address now, ``closes_connection`` that the worker closes the connection.
    ``load`` is (running, waiting, slots), or none if the response has no load.
    ``has_seal`` is whether the response carries the worker's seal.
    """

    status: int
    headers: Headers
    attempt: str
    not_run: bool
    misdirected: bool
    load: tuple[int, int, int] | None
    closes_connection: bool
    instance: str
    has_seal: bool = True


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer to a caller: a complete body, or the chunks of a stream as they arrive.

    A stream that raises is broken and must not look complete to the caller.
    """

    status: int
    headers: Headers
    body: bytes | bytearray
    chunks: collections.abc.AsyncIterator[bytes] | None = None
