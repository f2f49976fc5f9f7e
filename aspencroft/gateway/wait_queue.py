"""Calls that wait for a free worker: bounded, in order, refused once they cannot be served before their deadline."""

import collections
import dataclasses
import datetime

from aspencroft.runtime import clock

MAX_CALLS_PER_ROW = 256
SMOOTHING = 8


@dataclasses.dataclass
class Row:
    """Waiting calls that the same workers can serve, first in, first out, and how often capacity came free."""

    urgency: int
    default_interval: datetime.timedelta
    calls: collections.deque = dataclasses.field(default_factory=collections.deque)
    interval: datetime.timedelta | None = None
    last_free_at: datetime.timedelta = clock.ZERO

    def expected(self, position: int, now: datetime.timedelta) -> datetime.timedelta:
        """Return the expected wait of the call at a position in the row.

        It is the mean interval so far for each call up to and including that position. The time of a current stall is
        added, as a stall is assumed to last as long again as it has lasted.
        """
        interval = self.default_interval if self.interval is None else self.interval
        return interval * (position + 1) + max(clock.ZERO, now - self.last_free_at - interval)


class WaitQueue:
    """Rows of waiting calls. Freed capacity costs one check of each row, not of each call."""

    def __init__(self):
        self.rows: dict[tuple[str, str], Row] = {}
        self.counts = collections.Counter()

    def waits(self, key: tuple[str, str]) -> int:
        """Return how many calls wait in a row."""
        return len(self.rows[key].calls) if key in self.rows else 0

    def total(self) -> int:
        """Return how many calls wait in all rows."""
        return sum(len(row.calls) for row in self.rows.values())

    def offer(
        self,
        key: tuple[str, str],
        urgency: int,
        one,
        now: datetime.timedelta,
        default_interval: datetime.timedelta,
        front: bool = False,
    ) -> datetime.timedelta | None:
        """Queue a call.

        Returns None, or the time after which the call may be retried if the row is full or the wait would be too long.
        """
        row = self.rows.setdefault(key, Row(urgency, default_interval))
        row.urgency, row.default_interval = urgency, default_interval
        if not row.calls:
            row.last_free_at = now
        expected = row.expected(0 if front else len(row.calls), now)
        if len(row.calls) >= MAX_CALLS_PER_ROW or now + expected > one.end:
            return max(expected, clock.seconds(1))
        row.calls.appendleft(one) if front else row.calls.append(one)
        self.counts["parked"] += 1
        return None

    def rows_by_urgency(self) -> list[tuple[str, str]]:
        """Return the keys of the rows that contain calls, the most urgent first."""
        return sorted(
            (key for key, row in self.rows.items() if row.calls),
            key=lambda key: (self.rows[key].urgency, key),
        )

    def head(self, key: tuple[str, str]):
        """Return the first call of a row."""
        return self.rows[key].calls[0]

    def pop(self, key: tuple[str, str], now: datetime.timedelta, served: bool) -> None:
        """Remove the first call of a row; if it was served, update the mean interval of the row."""
        row = self.rows[key]
        row.calls.popleft()
        if served:
            since_last = now - row.last_free_at
            row.interval = (
                since_last if row.interval is None else row.interval + (since_last - row.interval) / SMOOTHING
            )
            row.last_free_at = now
        if not row.calls and not served:
            self.rows.pop(key)

    def too_late(self, now: datetime.timedelta) -> list:
        """Remove and return calls at the ends of rows that, at the current rate, would miss their deadline."""
        found = []
        for row in self.rows.values():
            while row.calls:
                expected = row.expected(len(row.calls) - 1, now)
                if now + expected <= row.calls[-1].end:
                    break
                found.append((row.calls.pop(), max(expected, clock.seconds(1))))
        return found


@dataclasses.dataclass(frozen=True)
class SampleCall:
    """A call with the attributes that the test needs."""

    number: int
    end: datetime.timedelta
