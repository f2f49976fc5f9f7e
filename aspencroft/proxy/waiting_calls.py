"""Priority order among the calls of an edge that wait for a worker."""

import collections
import collections.abc
import contextlib
import dataclasses


@dataclasses.dataclass(frozen=True)
class WaitingCall:
    """A waiting call: its rank, 0 the most urgent, and the services that may serve it."""

    rank: int
    services: frozenset[str]


class WaitingCalls:
    """Tells whether a more urgent call waits for a service that a call could use.

    Every waiting call checks this each time a slot may be free, so only the number of calls of each rank is kept: the
    cost of a check depends on the number of ranks in use, not on the number of calls.
    """

    def __init__(self) -> None:
        self.counts: dict[str, collections.Counter[int]] = {}
        """The number of waiting calls by service and rank; ranks and services without calls are omitted."""

    @contextlib.contextmanager
    def enter(self, rank: int, services: collections.abc.Iterable[str]) -> collections.abc.Iterator[WaitingCall]:
        """Count a call as waiting while the context is open."""
        waiting = WaitingCall(rank, frozenset(services))
        for service in waiting.services:
            self.counts.setdefault(service, collections.Counter())[rank] += 1
        try:
            yield waiting
        finally:
            for service in waiting.services:
                self.leave(rank, service)

    def leave(self, rank: int, service: str) -> None:
        """Remove a call that no longer waits for a service."""
        counts = self.counts[service]
        counts[rank] -= 1
        if not counts[rank]:
            del counts[rank]
        if not counts:
            del self.counts[service]

    def is_preceded(self, waiting: WaitingCall) -> bool:
        """Whether a more urgent call waits for one of the services that this call could use."""
        return any(min(self.counts[service]) < waiting.rank for service in waiting.services)
