"""Tests of the number of copies of shared segments that fit into the memory of a service's workers."""

import asyncio
import collections.abc
import math
import random

from aspencroft.proxy import working_set
from aspencroft.simulation import loop


def run_scenario(scenario: collections.abc.Callable) -> None:
    """Run a scenario in simulated time."""
    loop.SimLoop().run_until_complete(scenario(working_set.WorkingSet()))


def prompt(subject: int, size: int = 12_600) -> tuple[tuple[str, int], ...]:
    """The segments of a prompt: a shared subject and one of its own."""
    return ((f"subject {subject}", size), (f"own {subject}", 1_680))


def use(tracker: working_set.WorkingSet, segments, programs: int = 2) -> tuple[tuple[str, int], ...]:
    """Have several programs use segments; return the routing segments of the last one."""
    return [tracker.routing_segments(segments, f"program {number}") for number in range(programs)][-1]


def test_segments_of_one_program_are_unshared_and_shared_ones_are_counted_once():
    async def scenario(tracker):
        for _ in range(5):
            assert tracker.routing_segments(prompt(1), "one") == prompt(1)
        assert tracker.all_tokens() == math.inf, "no segment is known to be shared"
        for _ in range(5):
            use(tracker, prompt(1))
            use(tracker, prompt(2, 400))
        assert use(tracker, (("only its own", 9_000),)) == (("only its own", 9_000),)
        assert tracker.tokens == tracker.all_tokens() == 13_000 and len(tracker.segments) == 2
        use(tracker, prompt(2, 500))
        assert tracker.tokens == 13_100, "a segment whose size changed counts with its latest size"

    run_scenario(scenario)


def test_the_last_shared_segment_determines_the_preferred_workers():
    async def scenario(tracker):
        def of_subject(subject: int, program: str):
            return (("system", 300), (f"subject {subject}", 9_000), (f"own {program}", 20))

        assert tracker.routing_segments(of_subject(1, "a"), "a") == of_subject(1, "a"), (
            "nothing is known to be shared yet"
        )
        assert tracker.routing_segments(of_subject(2, "b"), "b") == of_subject(2, "b")
        assert tracker.routing_segments(of_subject(1, "c"), "c") == of_subject(1, "c")[1:]
        helper = (*of_subject(1, "c"), ("helper's own", 5))
        assert tracker.routing_segments(helper, "c") == helper[1:], (
            "routed with its parent, not by the parent's own segment alone"
        )

    run_scenario(scenario)


def test_copies_follow_memory_and_never_leave_the_bounds():
    async def scenario(tracker):
        assert tracker.copies(28, 452_141, 12) == 1, "nothing is known yet"
        for subject in range(16):
            use(tracker, prompt(subject))
        assert tracker.tokens == tracker.all_tokens() == 201_600
        assert tracker.copies(28, 452_141, 12) >= 27, "all segments fit into each worker"
        assert tracker.copies(28, 144_000, 0) == 10
        assert tracker.copies(28, 144_000, 50) < 6, "the tokens of running requests are reserved first"
        assert tracker.copies(28, 144_000, 1000) == 1
        assert tracker.copies(3, 20_000, 1) == 1 and tracker.copies(28, 0, 0) == 1, "no capacity, or unknown memory"

    run_scenario(scenario)


def test_the_estimate_includes_segments_that_were_not_seen_yet():
    async def scenario(tracker):
        random_source = random.Random(5)
        estimates = []
        for number in range(200):
            tracker.routing_segments(prompt(int(40 * random_source.random() ** 2)), f"program {number}")
            estimates.append(tracker.all_tokens())
        assert estimates[0] == math.inf and tracker.copies(28, 452_141, 0) > 1
        actual = 40 * 12_600
        assert all(one > 0.35 * actual for one in estimates[10:]), (
            "an edge that has seen few segments does not take them for all"
        )
        assert 0.8 * actual < estimates[-1] < 1.3 * actual

    run_scenario(scenario)


def test_unused_segments_are_removed_and_their_number_is_bounded():
    async def scenario(tracker):
        for subject in range(working_set.MAX_SEGMENTS + 100):
            use(tracker, prompt(subject, 1))
        assert tracker.tokens == len(tracker.segments) == working_set.MAX_SEGMENTS
        await asyncio.sleep(working_set.SEGMENT_TIMEOUT.total_seconds() + 1)
        use(tracker, prompt(1, 700))
        assert tracker.tokens == 700 and len(tracker.segments) == 1

    run_scenario(scenario)


def test_unused_services_are_evicted():
    tracker = working_set.WorkingSets(max_services=2)
    first = tracker.of("a")
    tracker.of("b")
    assert tracker.of("a") is first
    tracker.of("c")
    assert list(tracker.services) == ["a", "c"] and tracker.of("a") is first
