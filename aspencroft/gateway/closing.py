"""After the caller has its answer: keys and turns of calls that were given up are released or charged."""

import collections
import dataclasses

from aspencroft.errors import result
from aspencroft.gateway import priority_queue
from aspencroft.node import node
from aspencroft.runtime import clock

BOUND = 1024
CLOSERS = 4
WITHIN = clock.seconds(12)


@dataclasses.dataclass(frozen=True)
class Closing:
    """A command that closes a key or a turn in its session group, and the request that it is for."""

    request: str
    command: object


class Closings:
    """One bounded row and a few closers for each session group: a group without primary holds up only its own.

    What is not closed here in time is closed by the group itself once the edge is gone or the time is over.
    """

    def __init__(self, own: node.Node):
        self.node = own
        self.rows = {group_id: priority_queue.Lineup(BOUND) for group_id in range(1, own.settings.group_count)}
        self.open: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()

    def offer(self, group_id: int, one: Closing) -> None:
        """Queue a closing; what finds no room is left to the group's own clock."""
        if self.rows[group_id].offer(0, one):
            self.open[one.request] += 1
        else:
            self.counts["left to the pair"] += 1

    def works(self) -> list:
        """The closers, as standing tasks' names and works."""

        def closer(row: priority_queue.Lineup, group_id: int):
            async def work() -> None:
                await self.close_each(group_id, row)

            return work

        return [
            (f"closing {group_id}", closer(row, group_id))
            for group_id, row in self.rows.items()
            for _ in range(CLOSERS)
        ]

    async def close_each(self, group_id: int, row: priority_queue.Lineup) -> None:
        """Close one after the other."""
        while True:
            one = await row.take()
            try:
                await self.node.submit(group_id, one.command, WITHIN)
                self.counts["closed"] += 1
            except result.RequestError:
                self.counts["left to the pair"] += 1
            finally:
                self.open[one.request] -= 1
                if self.open[one.request] <= 0:
                    del self.open[one.request]
