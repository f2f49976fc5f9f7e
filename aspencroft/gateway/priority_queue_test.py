"""Tests of ``aspencroft.gateway.priority_queue``."""

import asyncio

import aspencroft.gateway.priority_queue as queue_module


def test_urgent_items_pass_a_full_queue():
    async def scenario():
        queue = queue_module.PriorityQueue(2)
        assert queue.offer(5, "a") and queue.offer(5, "b") and not queue.offer(5, "c")
        assert queue.offer(0, "signal") and queue.ahead(5) == 3 and queue.ahead(0) == 1
        return [await queue.take() for _ in range(3)]

    assert asyncio.run(scenario()) == ["signal", "a", "b"]
