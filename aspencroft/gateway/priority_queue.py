"""A bounded queue between two stages: the most urgent first, each urgency with its own bound."""

import asyncio
import collections


class Lineup:
    """Calls that wait, by urgency; zero is the most urgent."""

    def __init__(self, bound: int):
        self.bound = bound
        self.queues: dict[int, collections.deque] = {}
        self.filled = asyncio.Event()

    def offer(self, urgency: int, item, back: bool = False) -> bool:
        """Put an item at the end, or back at the front; False when there is no room."""
        queue = self.queues.setdefault(urgency, collections.deque())
        if len(queue) >= self.bound and not back:
            return False
        queue.appendleft(item) if back else queue.append(item)
        self.filled.set()
        return True

    def ahead(self, urgency: int) -> int:
        """How many items would be taken before a new one of this urgency."""
        return sum(len(queue) for rank, queue in self.queues.items() if rank <= urgency)

    async def take(self):
        """The most urgent item, oldest first."""
        while True:
            for urgency in sorted(self.queues):
                if self.queues[urgency]:
                    return self.queues[urgency].popleft()
            self.filled.clear()
            await self.filled.wait()
