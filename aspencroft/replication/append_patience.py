"""An adaptive time-out for the replies of backups: a multiple of their recent latency, within bounds.

Every command of a group waits for the slowest backup, so an unresponsive machine delays all callers of its groups until
it is removed from the replica set. A fixed time-out would have to allow for the slowest disk; this one follows the
observed latency.
"""

import asyncio
import collections.abc
import datetime
import math

from aspencroft.runtime import clock

MIN_TIMEOUT = clock.seconds(0.3)
"""Shortest time-out for a backup's reply: a healthy disk may take this long for one sync."""
MAX_TIMEOUT = clock.seconds(0.7)
"""Longest time-out for a backup's reply: every caller of the group may wait this long."""
TIMEOUT_FACTOR = 5
"""Time-out as a multiple of the slowest recent reply."""
BACKOFF_FACTOR = 2
"""Factor on the time-out after it has expired."""
DECAY_TIME = clock.seconds(8)
"""After this time the latency of a slow reply counts only 1/e."""
POLL_PERIOD = clock.seconds(0.05)
"""Longest single wait: a pause of this process counts at most twice this."""


class AdaptiveTimeout:
    """The decaying latency of the slowest recent reply, and the time-out derived from it, initially the longest."""

    def __init__(self) -> None:
        self.slowest_latency = MAX_TIMEOUT / TIMEOUT_FACTOR
        self.recorded_at = clock.ZERO

    def begin(self) -> None:
        """Start a term with the longest time-out: no latency is known, and after an outage all machines are busy."""
        self.slowest_latency, self.recorded_at = MAX_TIMEOUT / TIMEOUT_FACTOR, clock.now()

    def record_latency(self, latency: datetime.timedelta) -> None:
        """Note that all backups replied after this time."""
        self.slowest_latency = max(latency, self.decayed_latency())
        self.recorded_at = clock.now()

    def decayed_latency(self) -> datetime.timedelta:
        """The latency of the slowest recent reply, reduced with its age."""
        return self.slowest_latency * math.exp(-((clock.now() - self.recorded_at) / DECAY_TIME))

    def limit(self) -> datetime.timedelta:
        """The time-out for a reply."""
        return max(MIN_TIMEOUT, min(MAX_TIMEOUT, TIMEOUT_FACTOR * self.decayed_latency()))

    async def wait_for(self, requests: collections.abc.Collection[asyncio.Task]) -> None:
        """Wait until all tasks are done or the time-out expires; then cancel the unfinished ones.

        After an expiry the time-out is doubled for a while, as the slow backup may be healthy and return. A pause of
        this process itself counts as a single poll: the replies may have arrived, unread.
        """
        started, limit = clock.now(), self.limit()
        waited, pending = clock.ZERO, set(requests)
        while pending and waited < limit:
            poll_started = clock.now()
            _, pending = await asyncio.wait(pending, timeout=min(POLL_PERIOD, limit - waited).total_seconds())
            waited += min(clock.now() - poll_started, 2 * POLL_PERIOD)
        for task in pending:
            task.cancel()
        self.record_latency(BACKOFF_FACTOR * limit / TIMEOUT_FACTOR if pending else clock.now() - started)
