"""How many copies of shared parts the memory of a service's workers has room for."""

import asyncio
import collections.abc

from aspencroft.proxy import working_set
from aspencroft.simulation import loop


def play(acts: collections.abc.Callable) -> None:
    """Play a scene in simulated time.

    Example: ``play(acts)`` where ``acts(used)`` is a coroutine function
    """
    loop.SimLoop().run_until_complete(acts(working_set.WorkingSet()))


def prompt(subject: int, size: int = 12_600) -> tuple[tuple[str, int], ...]:
    """A prompt's parts: a shared subject and its own tail.

    Example: ``prompt(3)``
    """
    return ((f"subject {subject}", size), (f"own {subject}", 1_680))


def test_own_parts_are_not_shared_and_a_part_counts_once():
    async def acts(used):
        for _ in range(5):
            used.saw(prompt(1))
            used.saw(prompt(2, 400))
        used.saw((("only its own", 9_000),))
        assert used.tokens == 13_000 and len(used.parts) == 2
        used.saw(prompt(2, 500))
        assert used.tokens == 13_100, "a part whose size changed counts with its newest"

    play(acts)


def test_copies_follow_memory_and_never_leave_the_bounds():
    async def acts(used):
        assert used.copies(28, 452_141) == 1, "nothing is known yet"
        for subject in range(16):
            used.saw(prompt(subject))
        assert used.tokens == 201_600
        assert used.copies(28, 452_141) == 28, "all fit everywhere"
        assert used.copies(28, 144_000) == 10
        assert used.copies(3, 20_000) == 1 and used.copies(28, 0) == 1, "no room, or memory that isn't known"

    play(acts)


def test_what_is_not_asked_for_any_more_is_forgotten_and_the_number_is_bounded():
    async def acts(used):
        for subject in range(working_set.MOST_PARTS + 100):
            used.saw(prompt(subject, 1))
        assert used.tokens == len(used.parts) == working_set.MOST_PARTS
        await asyncio.sleep(working_set.IN_USE.total_seconds() + 1)
        used.saw(prompt(1, 700))
        assert used.tokens == 700 and len(used.parts) == 1

    play(acts)
