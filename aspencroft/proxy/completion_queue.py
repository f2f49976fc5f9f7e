"""What is told to the session group behind an answer: bounded rows and a few tellers for each group."""

import asyncio
import collections

from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.runtime import clock, supervision

BOUND = 1024
SENDERS_PER_GROUP = 4
WITHIN = clock.seconds(12)


class CompletionQueue:
    """Commands that end turns and keys; what cannot be told in time the group ends by its own timer."""

    def __init__(self, own: node.Node):
        self.node = own
        self.rows = {group: asyncio.Queue(BOUND) for group in range(1, own.settings.group_count)}
        self.under_way = 0
        self.counts: collections.Counter = collections.Counter()

    def offer(self, group: int, command) -> None:
        """Queue a command; what finds no room is left to the group's timer."""
        if self.rows[group].full():
            self.counts["left to the group"] += 1
        else:
            self.rows[group].put_nowait(command)

    def open(self) -> bool:
        """Whether something is still to be told."""
        return self.under_way > 0 or any(not row.empty() for row in self.rows.values())

    async def run(self) -> None:
        """All tellers."""
        async with supervision.Group() as group:
            for number in self.rows:
                for _ in range(SENDERS_PER_GROUP):
                    group.create_task(supervision.stand(f"endings {number}", self.sender(number), self.node.standing))

    def sender(self, number: int):
        """The work of one teller of a group."""

        async def work() -> None:
            while True:
                command = await self.rows[number].get()
                self.under_way += 1
                try:
                    await self.node.submit(number, command, WITHIN)
                    self.counts["told"] += 1
                except result.RequestError:
                    self.counts["left to the group"] += 1
                finally:
                    self.under_way -= 1

        return work
