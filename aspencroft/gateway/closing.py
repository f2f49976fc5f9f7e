"""Releases or charges the keys and turns of calls that were given up, after the caller has been answered."""

import collections
import dataclasses

from aspencroft.errors import result
from aspencroft.gateway import priority_queue
from aspencroft.node import node
from aspencroft.runtime import clock

QUEUE_BOUND = 1024
CLOSERS_PER_GROUP = 4
SUBMIT_TIMEOUT = clock.seconds(12)


@dataclasses.dataclass(frozen=True)
class Closing:
    """A command that closes a key or a turn in its session group, with the request that it belongs to."""

    request: str
    command: object


class Closings:
    """One bounded queue and a few workers for each session group, so a group without a primary delays only its own.

    What is not closed here in time is closed by the group itself once the edge is gone or the time is over.
    """

    def __init__(self, own: node.Node):
        self.node = own
        self.queues = {
            group_id: priority_queue.PriorityQueue(QUEUE_BOUND) for group_id in range(1, own.settings.group_count)
        }
        self.open: collections.Counter = collections.Counter()
        self.counts: collections.Counter = collections.Counter()

    def offer(self, group_id: int, one: Closing) -> None:
        """Queue a closing; if there is no room, the group closes the key or turn itself after its time-out."""
        if self.queues[group_id].offer(0, one):
            self.open[one.request] += 1
        else:
            self.counts["left to the pair"] += 1

    def works(self) -> list:
        """Return the closers as names and works of standing tasks."""

        def closer_work(queue: priority_queue.PriorityQueue, group_id: int):
            async def work() -> None:
                await self.close_each(group_id, queue)

            return work

        return [
            (f"closing {group_id}", closer_work(queue, group_id))
            for group_id, queue in self.queues.items()
            for _ in range(CLOSERS_PER_GROUP)
        ]

    async def close_each(self, group_id: int, queue: priority_queue.PriorityQueue) -> None:
        """Submit closings of a group one after the other."""
        while True:
            one = await queue.take()
            try:
                await self.node.submit(group_id, one.command, SUBMIT_TIMEOUT)
                self.counts["closed"] += 1
            except result.RequestError:
                self.counts["left to the pair"] += 1
            finally:
                self.open[one.request] -= 1
                if self.open[one.request] <= 0:
                    del self.open[one.request]
