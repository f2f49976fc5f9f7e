"""Retention periods of a session group, the group's own time, and the bounded scan for expired records."""

import collections
import collections.abc
import datetime
import itertools
import typing

from aspencroft.runtime import clock
from aspencroft.sessions import entry, messages

MIN_RETENTION = clock.seconds(60)
"""Programs, finished attempts and released keys are retained at least this long, whatever the caller asked for."""
RETENTION_MARGIN = clock.seconds(10)
"""Added to every retention period: a message may still arrive this long after its sender gave up on it."""
SCAN_INTERVAL = clock.seconds(2)
"""Minimum time between the starts of two scans of all tables."""
TICK_SPAN = clock.seconds(2)
"""Resolution of the group's own time."""
SCAN_LIMIT = 4000
"""Maximum number of records checked in one scan step, so that it never blocks the event loop for long."""
DUE_LIMIT = 256
"""Bound on the commands for work in flight, and on the expired records, that one step yields."""


class GroupClock:
    """The group's own time, which advances by logged ticks while any turn is retained.

    It continues after a takeover or a restart. Time without a primary and the delay of late ticks are not counted, so
    that no turn is ever considered older than it is.
    """

    def __init__(self, time: datetime.timedelta = clock.ZERO):
        self.time = time
        self.last_tick_at: datetime.timedelta | None = None

    def reset(self) -> None:
        """Forget when this primary last decided a tick; the group's time stays."""
        self.last_tick_at = None

    def due_ticks(self, now: datetime.timedelta, has_retained_turns: bool) -> tuple[entry.Tick, ...]:
        """Return the tick that is due, if any; none is due while no turn is retained."""
        if not has_retained_turns:
            self.last_tick_at = None
        elif self.last_tick_at is None:
            self.last_tick_at = now
        elif now - self.last_tick_at >= TICK_SPAN:
            return (entry.Tick(TICK_SPAN),)
        return ()

    def decide_tick(self, command: entry.Tick, now: datetime.timedelta) -> entry.Decision:
        """Advance the group's time by one tick if that much has passed since the last one; a late tick adds no more."""
        if self.last_tick_at is None or now - self.last_tick_at < command.span:
            return (), messages.Closed("")
        self.last_tick_at = now
        return (command,), messages.Closed("")

    def apply_tick(self, event: entry.Tick) -> None:
        """Advance the group's time by a tick."""
        self.time += event.span


class ScanTable(typing.NamedTuple):
    """A table to scan: its names, and the function that selects those that have expired at a given time."""

    names: collections.abc.Collection[str]
    find_expired: collections.abc.Callable[[collections.abc.Iterable[str], datetime.timedelta], tuple[str, ...]]


class RetentionScan:
    """Scans all tables in steps of at most SCAN_LIMIT records, starting at most one scan every SCAN_INTERVAL."""

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Abandon the current scan, so that the next step starts a new one."""
        self.remaining: collections.deque[tuple[int, collections.abc.Iterator[str]]] = collections.deque()
        self.next_scan_at = clock.ZERO

    def step(self, now: datetime.timedelta, tables: collections.abc.Sequence[ScanTable]) -> tuple[entry.Forget, ...]:
        """Scan the next records, in bounded number, and return a command that forgets the expired ones, if any.

        :param tables: in the order of the fields of ``entry.Forget``
        """
        if not self.remaining and now >= self.next_scan_at:
            self.next_scan_at = now + SCAN_INTERVAL
            self.remaining.extend((index, iter(list(table.names))) for index, table in enumerate(tables) if table.names)
        expired: list[tuple[str, ...]] = [() for _ in tables]
        remaining_records = SCAN_LIMIT
        while self.remaining and remaining_records > 0 and sum(map(len, expired)) < DUE_LIMIT:
            index, names = self.remaining[0]
            batch = tuple(itertools.islice(names, min(remaining_records, DUE_LIMIT)))
            remaining_records -= len(batch)
            if batch:
                expired[index] += tables[index].find_expired(batch, now)
            else:
                self.remaining.popleft()
        return (entry.Forget(*expired),) if any(expired) else ()
