"""Calls for which no worker has a place now: bounded, in order, refused once their turn comes too late."""

import collections
import dataclasses
import datetime

from aspencroft.runtime import clock

BOUND = 256
SMOOTH = 8


@dataclasses.dataclass
class Row:
    """Calls that the same workers can serve, first come first, and how often a place came free for them."""

    urgency: int
    guess: datetime.timedelta
    calls: collections.deque = dataclasses.field(default_factory=collections.deque)
    interval: datetime.timedelta | None = None
    last: datetime.timedelta = clock.ZERO

    def expected(self, place: int, now: datetime.timedelta) -> datetime.timedelta:
        """How long the call at a place in the row will wait: the pace so far, once a stall that lasts now is
        over; it is taken to last as long again as it lasted.
        """
        interval = self.guess if self.interval is None else self.interval
        return interval * (place + 1) + max(clock.ZERO, now - self.last - interval)


class Parked:
    """Rows of waiting calls; each place that comes free costs one look at each row, not at each call."""

    def __init__(self):
        self.rows: dict[tuple[str, str], Row] = {}
        self.counts = collections.Counter()

    def waits(self, key: tuple[str, str]) -> int:
        """How many calls wait in a row."""
        return len(self.rows[key].calls) if key in self.rows else 0

    def total(self) -> int:
        """How many calls wait in all."""
        return sum(len(row.calls) for row in self.rows.values())

    def offer(
        self,
        key: tuple[str, str],
        urgency: int,
        one,
        now: datetime.timedelta,
        guess: datetime.timedelta,
        front: bool = False,
    ) -> datetime.timedelta | None:
        """Let a call wait; else the time after which it may come back: the row is full, or its turn too late."""
        row = self.rows.setdefault(key, Row(urgency, guess))
        row.urgency, row.guess = urgency, guess
        if not row.calls:
            row.last = now
        expected = row.expected(0 if front else len(row.calls), now)
        if len(row.calls) >= BOUND or now + expected > one.end:
            return max(expected, clock.seconds(1))
        row.calls.appendleft(one) if front else row.calls.append(one)
        self.counts["parked"] += 1
        return None

    def order(self) -> list[tuple[str, str]]:
        """The rows that hold calls, the most urgent first."""
        return sorted(
            (key for key, row in self.rows.items() if row.calls),
            key=lambda key: (self.rows[key].urgency, key),
        )

    def head(self, key: tuple[str, str]):
        """The first call of a row."""
        return self.rows[key].calls[0]

    def pop(self, key: tuple[str, str], now: datetime.timedelta, served: bool) -> None:
        """The first call leaves its row; when it was served the row's pace is noted."""
        row = self.rows[key]
        row.calls.popleft()
        if served:
            gap = now - row.last
            row.interval = gap if row.interval is None else row.interval + (gap - row.interval) / SMOOTH
            row.last = now
        if not row.calls and not served:
            self.rows.pop(key)

    def too_late(self, now: datetime.timedelta) -> list:
        """Calls at the rows' ends whose turn cannot come before their deadline, as the pace is now; they leave."""
        found = []
        for row in self.rows.values():
            while row.calls:
                expected = row.expected(len(row.calls) - 1, now)
                if now + expected <= row.calls[-1].end:
                    break
                found.append((row.calls.pop(), max(expected, clock.seconds(1))))
        return found


@dataclasses.dataclass(frozen=True)
class Waiting:
    """A call as the test needs it."""

    number: int
    end: datetime.timedelta
