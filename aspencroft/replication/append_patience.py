"""How long a primary waits for its backups: several times what their answers took lately, within bounds.

All that a group is asked waits for the slowest backup, so a machine that fell silent holds up every caller of its
groups until it is recorded out. A fixed bound has to allow for the slowest disk; this one follows what is observed.
"""

import asyncio
import collections.abc
import datetime
import math

from aspencroft.runtime import clock

MIN_TIMEOUT = clock.seconds(0.3)
"""Shortest wait for a backup's answer: a disk that is well may take this long for one sync."""
MAX_TIMEOUT = clock.seconds(0.7)
"""Longest wait for a backup's answer: every caller of the group waits as long."""
TIMEOUT_FACTOR = 5
"""How many times the slowest answer of late is waited for."""
BACKOFF_FACTOR = 2
"""How many times the wait grows after one that was too short."""
DECAY_TIME = clock.seconds(8)
"""After this time a slow answer counts for 1/e of what it took."""
POLL_PERIOD = clock.seconds(0.05)
"""Longest single wait: a stop of this process counts as no more than twice this."""


class AppendPatience:
    """The slowest answer of late, fading, and the patience that follows from it; it's the most at the beginning."""

    def __init__(self) -> None:
        self.slowest = MAX_TIMEOUT / TIMEOUT_FACTOR
        self.at = clock.ZERO

    def begin(self) -> None:
        """A primary begins: nothing is known yet, and after a stop of many machines all of them are busy."""
        self.slowest, self.at = MAX_TIMEOUT / TIMEOUT_FACTOR, clock.now()

    def answered(self, took: datetime.timedelta) -> None:
        """All backups answered after this time."""
        self.slowest = max(took, self.remembered())
        self.at = clock.now()

    def remembered(self) -> datetime.timedelta:
        """The slowest answer of late, which counts for less with age."""
        return self.slowest * math.exp(-((clock.now() - self.at) / DECAY_TIME))

    def limit(self) -> datetime.timedelta:
        """How long to wait for an answer."""
        return max(MIN_TIMEOUT, min(MAX_TIMEOUT, TIMEOUT_FACTOR * self.remembered()))

    async def wait_for(self, asked: collections.abc.Collection[asyncio.Task]) -> None:
        """Wait until all tasks are done or the limit is over; those that are not done then are cancelled.

        After that the limit is doubled for a while, as the one that was too slow may be well and come back. Time in
        which this process itself stood still counts as one look: the answers may be here, unread.
        """
        began, limit = clock.now(), self.limit()
        waited, pending = clock.ZERO, set(asked)
        while pending and waited < limit:
            looked = clock.now()
            _, pending = await asyncio.wait(pending, timeout=min(POLL_PERIOD, limit - waited).total_seconds())
            waited += min(clock.now() - looked, 2 * POLL_PERIOD)
        for task in pending:
            task.cancel()
        self.answered(BACKOFF_FACTOR * limit / TIMEOUT_FACTOR if pending else clock.now() - began)
