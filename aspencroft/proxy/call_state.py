"""The state of one call while an edge forwards it: its reservations, its attempts, and the stream that it receives."""

import collections.abc
import dataclasses
import datetime

from aspencroft.configuration import http_route
from aspencroft.proxy import call, instance, quota_client
from aspencroft.workers import pool


@dataclasses.dataclass
class Attempts:
    """Counts of the requests sent to workers for one call; a hedge shares them with the attempts it competes with.

    ``possibly_run`` counts requests that neither the pool nor a worker reported as not run. ``in_flight`` counts
    attempts that have not failed, received a complete response or begun a stream so far.

    Example: ``Attempts().sent == 0``
    """

    sent: int = 0
    possibly_run: int = 0
    in_flight: int = 0


@dataclasses.dataclass
class CallState:
    """State of one call in progress: its route, deadline, reservations and attempts."""

    call: call.Call
    route: http_route.HttpRoute
    deadline: datetime.timedelta
    body: bytes
    program: str = ""
    turn_reserved: bool = False
    key_reserved: bool = False
    last_worker: str = ""
    attempts: Attempts = dataclasses.field(default_factory=Attempts)
    tried_workers: frozenset[str] = frozenset()
    current_worker: str = ""
    hedged: bool = False
    quota_grant: quota_client.Grant | None = None
    group_wait_end: datetime.timedelta | None = None
    output_reserved: int = 0

    def keeps_output(self) -> bool:
        """Whether the output of the call becomes a part of a session's history."""
        return self.turn_reserved and self.route.retained

    def attempt_id(self) -> str:
        """The caller's attempt id, qualified by its tenant as session groups store it."""
        return self.call.qualify_name(self.call.attempt)

    def session_id(self) -> str:
        """The session of the call, qualified by its tenant as session groups store it."""
        return self.call.qualify_name(self.call.session)

    def previous_turn(self) -> str:
        """The id of the previous turn, qualified by the tenant, so that no other tenant's turn can be named."""
        return self.call.qualify_name(self.call.previous)

    def is_turn(self) -> bool:
        """Whether the call is a turn that a session group charges to a budget or stores."""
        return self.route.kind == http_route.STREAM and bool(self.call.budget or self.route.retained)

    def is_idempotent(self) -> bool:
        """Whether the request is idempotent, so that it may run more than once."""
        return self.route.kind == http_route.SAFE

    def may_resume(self) -> bool:
        """Whether a broken stream may be resumed at another worker."""
        return self.route.kind == http_route.STREAM and self.route.resumable and self.route.attempts > 1

    def exhausted(self) -> bool:
        """Whether the call has used all attempts that its route allows."""
        return self.attempts.sent >= max(1, self.route.attempts)


@dataclasses.dataclass
class StreamSource:
    """The worker that currently sends a stream, and its response; the worker's slot is released once."""

    worker: instance.Instance
    response: pool.Response
    chunks: collections.abc.AsyncIterator[bytes]
    first: bytes
    is_open: bool = True

    async def read(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the first chunk, which was read already, then the others as they arrive."""
        if self.first:
            yield self.first
            async for chunk in self.chunks:
                yield chunk
