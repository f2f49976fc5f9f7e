"""How many copies of shared parts the memory of a service's workers has room for."""

import asyncio
import collections.abc
import math
import random

from aspencroft.proxy import working_set
from aspencroft.simulation import loop


def play(scenario: collections.abc.Callable) -> None:
    """Run a scenario in simulated time."""
    loop.SimLoop().run_until_complete(scenario(working_set.WorkingSet()))


def prompt(subject: int, size: int = 12_600) -> tuple[tuple[str, int], ...]:
    """A prompt's parts: a shared subject and its own tail."""
    return ((f"subject {subject}", size), (f"own {subject}", 1_680))


def use(used: working_set.WorkingSet, parts, programs: int = 2) -> tuple[tuple[str, int], ...]:
    """Have several programs use parts; the parts that the last one finds its homes by."""
    return [used.routing_segments(parts, f"program {number}") for number in range(programs)][-1]


def test_what_one_program_uses_is_its_own_and_what_several_use_counts_once():
    async def scenario(used):
        for _ in range(5):
            assert used.routing_segments(prompt(1), "one") == prompt(1)
        assert used.all_tokens() == math.inf, "nobody else shares it, as far as is known"
        for _ in range(5):
            use(used, prompt(1))
            use(used, prompt(2, 400))
        assert use(used, (("only its own", 9_000),)) == (("only its own", 9_000),)
        assert used.tokens == used.all_tokens() == 13_000 and len(used.segments) == 2
        use(used, prompt(2, 500))
        assert used.tokens == 13_100, "a part whose size changed counts with its newest"

    play(scenario)


def test_homes_go_by_the_last_part_that_is_shared():
    async def scenario(used):
        def of_subject(subject: int, program: str):
            return (("system", 300), (f"subject {subject}", 9_000), (f"own {program}", 20))

        assert used.routing_segments(of_subject(1, "a"), "a") == of_subject(1, "a"), "nothing is known to be shared yet"
        assert used.routing_segments(of_subject(2, "b"), "b") == of_subject(2, "b")
        assert used.routing_segments(of_subject(1, "c"), "c") == of_subject(1, "c")[1:]
        helper = (*of_subject(1, "c"), ("helper's own", 5))
        assert used.routing_segments(helper, "c") == helper[1:], "with its parent, not with the parent's own part alone"

    play(scenario)


def test_copies_follow_memory_and_never_leave_the_bounds():
    async def scenario(used):
        assert used.copies(28, 452_141, 12) == 1, "nothing is known yet"
        for subject in range(16):
            use(used, prompt(subject))
        assert used.tokens == used.all_tokens() == 201_600
        assert used.copies(28, 452_141, 12) >= 27, "all fit everywhere"
        assert used.copies(28, 144_000, 0) == 10
        assert used.copies(28, 144_000, 50) < 6, "what requests under way hold of their own comes first"
        assert used.copies(28, 144_000, 1000) == 1
        assert used.copies(3, 20_000, 1) == 1 and used.copies(28, 0, 0) == 1, "no room, or memory that isn't known"

    play(scenario)


def test_parts_that_were_not_met_yet_are_allowed_for():
    async def scenario(used):
        chance = random.Random(5)
        seen = []
        for number in range(200):
            used.routing_segments(prompt(int(40 * chance.random() ** 2)), f"program {number}")
            seen.append(used.all_tokens())
        assert seen[0] == math.inf and used.copies(28, 452_141, 0) > 1
        everything = 40 * 12_600
        assert all(one > 0.35 * everything for one in seen[10:]), "one that met few parts does not think them all"
        assert 0.8 * everything < seen[-1] < 1.3 * everything

    play(scenario)


def test_what_is_not_asked_for_any_more_is_forgotten_and_the_number_is_bounded():
    async def scenario(used):
        for subject in range(working_set.MAX_SEGMENTS + 100):
            use(used, prompt(subject, 1))
        assert used.tokens == len(used.segments) == working_set.MAX_SEGMENTS
        await asyncio.sleep(working_set.SEGMENT_TIMEOUT.total_seconds() + 1)
        use(used, prompt(1, 700))
        assert used.tokens == 700 and len(used.segments) == 1

    play(scenario)


def test_services_that_are_not_used_any_more_are_forgotten():
    used = working_set.WorkingSets(max_services=2)
    first = used.of("a")
    used.of("b")
    assert used.of("a") is first
    used.of("c")
    assert list(used.services) == ["a", "c"] and used.of("a") is first
