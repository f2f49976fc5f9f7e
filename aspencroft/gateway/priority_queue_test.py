"""Tests of ``aspencroft.gateway.priority_queue``."""

import asyncio

import aspencroft.gateway.priority_queue as lineup_module


def test_urgent_items_pass_a_full_queue():
    async def scenario():
        lineup = lineup_module.Lineup(2)
        assert lineup.offer(5, "a") and lineup.offer(5, "b") and not lineup.offer(5, "c")
        assert lineup.offer(0, "signal") and lineup.ahead(5) == 3 and lineup.ahead(0) == 1
        return [await lineup.take() for _ in range(3)]

    assert asyncio.run(scenario()) == ["signal", "a", "b"]
