"""A bounded priority queue between two stages, with a separate bound for each urgency."""

import asyncio
import collections


class PriorityQueue:
    """Queues of waiting items by urgency; zero is the most urgent."""

    def __init__(self, bound: int):
        self.bound = bound
        self.queues: dict[int, collections.deque] = {}
        self.has_items = asyncio.Event()

    def offer(self, urgency: int, item, back: bool = False) -> bool:
        """Append an item, or put it back at the front; False if there is no room."""
        queue = self.queues.setdefault(urgency, collections.deque())
        if len(queue) >= self.bound and not back:
            return False
        queue.appendleft(item) if back else queue.append(item)
        self.has_items.set()
        return True

    def ahead(self, urgency: int) -> int:
        """Return how many items would be taken before a new one of this urgency."""
        return sum(len(queue) for queue_urgency, queue in self.queues.items() if queue_urgency <= urgency)

    async def take(self):
        """Wait for and return the most urgent item, oldest first."""
        while True:
            for urgency in sorted(self.queues):
                if self.queues[urgency]:
                    return self.queues[urgency].popleft()
            self.has_items.clear()
            await self.has_items.wait()
