"""An opaque call: what a caller sent, to be handed to a worker unchanged, and the answer to it."""

import collections.abc
import dataclasses
import datetime

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class Call:
    """One attempt of a caller, read whole; headers are those that go on to the worker, end to end.

    ``within`` is how long the caller waits from ``arrived`` on.
    Token counts are tokens; an empty text or zero means that the caller
    said nothing about it.
    ``key_digest`` is the digest of the caller's API key, which itself is in none of the fields; ``tenant`` is found by
    it at admission, whatever the caller says.
    """

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    attempt: str
    within: datetime.timedelta
    arrived: datetime.timedelta
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
    parts: tuple[tuple[str, int], ...] = ()
    resume_after: str = ""

    def end(self) -> datetime.timedelta:
        """When the caller stops waiting, on the loop's clock."""
        return self.arrived + self.within

    def within_tenant(self, name: str) -> str:
        """A caller's name for a thing, distinct from the same name of any other tenant; an empty name stays empty."""
        return f"{self.tenant}\n{name}" if self.tenant and name else name

    def path(self) -> str:
        """The target without its query."""
        return self.target.split("?", 1)[0]


@dataclasses.dataclass(frozen=True)
class Head:
    """What the head of a worker's answer says, in the product's terms.

    ``not_run`` is the worker's own word that it did not run the request;
    ``misdirected`` that another worker has the address.
    ``load`` is (running, waiting, slots) when it was told.
    """

    status: int
    headers: Headers
    attempt: str
    not_run: bool
    misdirected: bool
    load: tuple[int, int, int] | None
    leaving: bool
    instance: str
    stamped: bool = True


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller gets: a whole body, or parts of a stream as they come.

    A stream that raises was broken off, and must not look complete to the caller.
    """

    status: int
    headers: Headers
    body: bytes
    parts: collections.abc.AsyncIterator[bytes] | None = None
