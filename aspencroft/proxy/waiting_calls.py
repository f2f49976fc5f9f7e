"""The calls of an edge that wait for a worker, in the order of their ranks."""

import collections
import collections.abc
import contextlib
import dataclasses


@dataclasses.dataclass(frozen=True)
class WaitingCall:
    """A call that waits: its rank, 0 the most urgent, and the services that may serve it."""

    rank: int
    services: frozenset[str]


class WaitingCalls:
    """Tells whether a more urgent call waits for a service that another call could have.

    It counts the calls of each rank, as all that wait ask each time when a place may be free: the cost of an answer
    follows the number of ranks in use, not that of the calls.
    """

    def __init__(self) -> None:
        self.counts: dict[str, collections.Counter[int]] = {}
        """How many calls of each rank wait for a service; ranks and services without any are left out."""

    @contextlib.contextmanager
    def enter(self, rank: int, services: collections.abc.Iterable[str]) -> collections.abc.Iterator[WaitingCall]:
        """Count a call among the waiting ones for as long as the context lasts."""
        entered = WaitingCall(rank, frozenset(services))
        for service in entered.services:
            self.counts.setdefault(service, collections.Counter())[rank] += 1
        try:
            yield entered
        finally:
            for service in entered.services:
                self.leave(rank, service)

    def leave(self, rank: int, service: str) -> None:
        """A call waits no more for a service."""
        counts = self.counts[service]
        counts[rank] -= 1
        if not counts[rank]:
            del counts[rank]
        if not counts:
            del self.counts[service]

    def is_preceded(self, one: WaitingCall) -> bool:
        """Whether a more urgent call waits for one of the services that this one could have."""
        return any(min(self.counts[service]) < one.rank for service in one.services)
