"""The calls of an edge that wait for a worker, in the order of their ranks."""

import collections.abc
import contextlib
import dataclasses


@dataclasses.dataclass(eq=False)
class WaitingCall:
    """A call that waits: its rank, 0 the most urgent, and the services that may serve it."""

    rank: int
    services: frozenset[str]


class WaitingCalls:
    """Tells whether a more urgent call waits for a service that another call could have."""

    def __init__(self) -> None:
        self.waiting: set[WaitingCall] = set()

    @contextlib.contextmanager
    def enter(self, rank: int, services: collections.abc.Iterable[str]) -> collections.abc.Iterator[WaitingCall]:
        """Count a call among the waiting ones for as long as the context lasts."""
        entered = WaitingCall(rank, frozenset(services))
        self.waiting.add(entered)
        try:
            yield entered
        finally:
            self.waiting.discard(entered)

    def is_preceded(self, one: WaitingCall) -> bool:
        """Whether a more urgent call waits for one of the services that this one could have."""
        return any(other.rank < one.rank and other.services & one.services for other in self.waiting)
