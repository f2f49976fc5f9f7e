"""The division of an edge's memory."""

import pytest

from aspencroft.node import edge_memory


@pytest.mark.parametrize("limit", [130_000_000, 200_000_000, 260_000_000, 300_000_000, 2_000_000_000])
def test_all_that_an_edge_may_hold_stays_within_the_memory_of_its_process(limit):
    """Guards against bounds whose sum exceeds the memory limit, so that a full edge is killed."""
    memory = edge_memory.divide(limit)
    assert 0 < memory.process_bytes() <= limit
    assert memory.calls >= edge_memory.MIN_CALL_BYTES


def test_without_a_known_limit_calls_are_not_bounded():
    assert edge_memory.divide(0) == edge_memory.EdgeMemory(edge_memory.MAX_TURN_CACHE_BYTES, 0)
