"""How long a primary waits for its backups: several times what their answers took lately, within bounds.

All that a group is asked waits for the slowest backup, so a machine that fell silent holds up every caller of its
groups until it is recorded out. A fixed bound has to allow for the slowest disk; this one follows what is observed.
"""

import asyncio
import collections.abc
import datetime
import math

from aspencroft.runtime import clock

LEAST = clock.seconds(0.3)
MOST = clock.seconds(0.7)
FACTOR = 5
BACKOFF = 2
MEMORY = clock.seconds(8)
LOOK = clock.seconds(0.05)


class AppendPatience:
    """The slowest answer of late, fading, and the patience that follows from it; it's the most at the beginning."""

    def __init__(self):
        self.slowest = MOST / FACTOR
        self.at = clock.ZERO

    def begin(self) -> None:
        """A primary begins: nothing is known yet, and after a stop of many machines all of them are busy."""
        self.slowest, self.at = MOST / FACTOR, clock.now()

    def answered(self, took: datetime.timedelta) -> None:
        """All backups answered after this time."""
        self.slowest = max(took, self.remembered())
        self.at = clock.now()

    def remembered(self) -> datetime.timedelta:
        """The slowest answer of late, which counts for less with age."""
        return self.slowest * math.exp(-((clock.now() - self.at) / MEMORY))

    def limit(self) -> datetime.timedelta:
        """How long to wait for an answer."""
        return max(LEAST, min(MOST, FACTOR * self.remembered()))

    async def wait_for(self, asked: collections.abc.Collection[asyncio.Task]) -> None:
        """Wait until all tasks are done or the limit is over; those that are not done then are cancelled.

        After that the limit is doubled for a while, as the one that was too slow may be well and come back. Time in
        which this process itself stood still counts as one look: the answers may be here, unread.
        """
        began, limit = clock.now(), self.limit()
        waited, pending = clock.ZERO, set(asked)
        while pending and waited < limit:
            looked = clock.now()
            _, pending = await asyncio.wait(pending, timeout=min(LOOK, limit - waited).total_seconds())
            waited += min(clock.now() - looked, 2 * LOOK)
        for task in pending:
            task.cancel()
        self.answered(BACKOFF * limit / FACTOR if pending else clock.now() - began)
