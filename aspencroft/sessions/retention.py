"""How long things are remembered: the spans, the group's own time, and the bounded scan for what has expired."""

import collections
import collections.abc
import datetime
import itertools
import typing

from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages

MIN_RETENTION = clock.seconds(60)
"""Programs, finished attempts and released keys are remembered at least so long, whatever the caller asked for."""
RETENTION_MARGIN = clock.seconds(10)
"""Added to every span: a message may be under way so long after its sender gave up on it."""
SCAN_INTERVAL = clock.seconds(2)
"""From the start of one scan of all tables to that of the next."""
TICK_SPAN = clock.seconds(2)
"""The step of the group's own time."""
SCAN_LIMIT = 4000
"""Records that one scan step looks at, so that it never holds the event loop for long."""
DUE_LIMIT = 256
"""Commands for work in flight, and expired records, that one step gives."""


class GroupClock:
    """The group's own time: it goes on by recorded ticks, while any turn is retained.

    A takeover or a restart goes on from there. Time without a primary, and what a tick is late, is not counted, so
    that no turn is taken for older than it is.
    """

    def __init__(self, time: datetime.timedelta = clock.ZERO):
        self.time = time
        self.last_tick_at: datetime.timedelta | None = None

    def reset(self) -> None:
        """Forget when this primary last recorded a tick; the group's time stays."""
        self.last_tick_at = None

    def due_ticks(self, now: datetime.timedelta, has_retained_turns: bool) -> tuple[entry.Tick, ...]:
        """The tick that is to be recorded, if any; none is while no turn is retained."""
        if not has_retained_turns:
            self.last_tick_at = None
        elif self.last_tick_at is None:
            self.last_tick_at = now
        elif now - self.last_tick_at >= TICK_SPAN:
            return (entry.Tick(TICK_SPAN),)
        return ()

    def decide_tick(self, command: entry.Tick, now: datetime.timedelta) -> entry.Decision:
        """The group's time goes on by one tick if that much has passed since the last; a late one counts no more."""
        if self.last_tick_at is None or now - self.last_tick_at < command.span:
            return (), messages.Closed("")
        self.last_tick_at = now
        return (command,), messages.Closed("")

    def apply_tick(self, event: entry.Tick) -> None:
        """A tick was recorded."""
        self.time += event.span


class ScanTable(typing.NamedTuple):
    """A table to scan: the names in it, and what picks those that have expired by a time."""

    names: collections.abc.Collection[str]
    find_expired: collections.abc.Callable[[collections.abc.Iterable[str], datetime.timedelta], tuple[str, ...]]


class RetentionScan:
    """Walks over all tables in steps of at most SCAN_LIMIT records, a scan every SCAN_INTERVAL."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin with a new scan."""
        self.remaining: collections.deque[tuple[int, collections.abc.Iterator[str]]] = collections.deque()
        self.next_scan_at = clock.ZERO

    def step(self, now: datetime.timedelta, tables: collections.abc.Sequence[ScanTable]) -> tuple[entry.Forget, ...]:
        """What the next bounded number of records shows to have expired.

        :param tables: in the order of the fields of ``entry.Forget``
        """
        if not self.remaining and now >= self.next_scan_at:
            self.next_scan_at = now + SCAN_INTERVAL
            self.remaining.extend((index, iter(list(table.names))) for index, table in enumerate(tables) if table.names)
        expired: list[tuple[str, ...]] = [() for _ in tables]
        left = SCAN_LIMIT
        while self.remaining and left > 0 and sum(map(len, expired)) < DUE_LIMIT:
            index, names = self.remaining[0]
            batch = tuple(itertools.islice(names, min(left, DUE_LIMIT)))
            left -= len(batch)
            if batch:
                expired[index] += tables[index].find_expired(batch, now)
            else:
                self.remaining.popleft()
        return (entry.Forget(*expired),) if any(expired) else ()
