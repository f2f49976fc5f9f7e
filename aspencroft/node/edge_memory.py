"""How an edge divides the memory of its process, so that no traffic within the limits exceeds it."""

import dataclasses

PROCESS_BYTES = 85_000_000
"""An edge without calls: the interpreter, the membership table, a configuration of 11,000 routes (docs/CAPACITY.md)."""
MEMORY_PER_BYTE_HELD = 1.5
"""Memory for each byte that is held for callers: the allocator's share, and copies that last for one step only."""
TURN_CACHE_DIVISOR = 8
WAITING_DIVISOR = 8
"""Requests that wait for memory may have sent so much of the budget before they are held up."""
MAX_TURN_CACHE_BYTES = 24 << 20
MIN_CALL_BYTES = 16 << 20
"""Below this an edge could hold no four bodies of the default limit; the memory limit is then too low."""


@dataclasses.dataclass(frozen=True)
class EdgeMemory:
    """Bytes of cached turns and of calls that an edge may hold; calls are not bounded where ``calls`` is 0."""

    turn_cache: int
    calls: int

    def process_bytes(self) -> int:
        """Return the memory of the process when both bounds are reached."""
        waiting = self.calls // WAITING_DIVISOR
        return PROCESS_BYTES + round((self.turn_cache + self.calls + waiting) * MEMORY_PER_BYTE_HELD)


def divide(memory_limit: int) -> EdgeMemory:
    """Divide the bytes that a process may take, 0 where that is not known.

    Example: ``divide(260_000_000) == EdgeMemory(turn_cache=14_583_333, calls=90_740_740)``
    """
    if not memory_limit:
        return EdgeMemory(MAX_TURN_CACHE_BYTES, 0)
    free = max(0, int((memory_limit - PROCESS_BYTES) / MEMORY_PER_BYTE_HELD))
    turn_cache = min(MAX_TURN_CACHE_BYTES, free // TURN_CACHE_DIVISOR)
    calls = (free - turn_cache) * WAITING_DIVISOR // (WAITING_DIVISOR + 1)
    return EdgeMemory(turn_cache, max(MIN_CALL_BYTES, calls))
