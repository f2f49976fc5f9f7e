"""Sends commands that complete turns and keys after the answer: a bounded queue and a few senders for each group."""

import asyncio
import collections
import dataclasses

from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.runtime import clock, supervision
from aspencroft.sessions import entry

QUEUE_SIZE = 1024
SENDERS_PER_GROUP = 4
SUBMIT_TIMEOUT = clock.seconds(12)
MAX_ANSWER_BYTES = 4 << 20
"""Bytes of answers that are queued or in flight in all groups; further answers are left out of their commands."""


class CompletionQueue:
    """Queues commands that end turns and keys; the group's own timer ends what no command ends in time."""

    def __init__(self, own: node.Node):
        self.node = own
        self.queues = {group: asyncio.Queue(QUEUE_SIZE) for group in range(1, own.settings.group_count)}
        self.in_flight = 0
        self.answer_bytes = 0
        self.counts: collections.Counter = collections.Counter()

    def offer(self, group: int, command) -> None:
        """Queue a command; if the queue is full the command is dropped, and the group's timer ends the turn or key."""
        if self.queues[group].full():
            self.counts["left to the group"] += 1
            return
        if isinstance(command, entry.CloseKey) and self.answer_bytes + len(command.body) > MAX_ANSWER_BYTES:
            command = without_answer(command)
        self.answer_bytes += size_of_answer(command)
        self.queues[group].put_nowait(command)

    def open(self) -> bool:
        """Whether commands are queued or in flight."""
        return self.in_flight > 0 or any(not queue.empty() for queue in self.queues.values())

    async def run(self) -> None:
        """Run all senders."""
        async with supervision.Group() as group:
            for group_id in self.queues:
                for _ in range(SENDERS_PER_GROUP):
                    group.create_task(
                        supervision.stand(f"endings {group_id}", self.sender(group_id), self.node.standing)
                    )

    def sender(self, group_id: int):
        """Return the work of one sender of a group."""

        async def work() -> None:
            while True:
                command = await self.queues[group_id].get()
                self.in_flight += 1
                try:
                    await self.node.submit(group_id, command, SUBMIT_TIMEOUT)
                    self.counts["told"] += 1
                except result.RequestError:
                    self.counts["left to the group"] += 1
                finally:
                    self.in_flight -= 1
                    self.answer_bytes -= size_of_answer(command)

        return work


def size_of_answer(command) -> int:
    """Return the bytes of the answer that a command brings."""
    return len(command.body) if isinstance(command, entry.CloseKey) else 0


def without_answer(command: entry.CloseKey) -> entry.CloseKey:
    """Return a command that ends its key as done, with an answer that was not kept."""
    return dataclasses.replace(command, status=0, headers=(), body=b"")
