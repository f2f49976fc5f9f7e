"""Tests of an edge's cache of turns."""

import random

from aspencroft.proxy import turn_cache
from aspencroft.sessions import entry


def turn(name, previous):
    return entry.Turn(name, previous, b"in " + name.encode(), b"out " + name.encode() + b"\n", "w1")


def bytes_of(cache: turn_cache.TurnCache, name: str) -> bytes | None:
    """The inputs and outputs of a turn and its predecessors; none if one of them is not cached."""
    history = cache.history(name)
    return None if history is None else b"".join(turn_cache.parts_of(history))


def test_a_history_is_returned_only_if_it_is_complete():
    cache = turn_cache.TurnCache()
    cache.add((turn("a", ""), turn("c", "b")))
    assert bytes_of(cache, "a") == b"in aout a\n" and cache.history("c") is None
    cache.add((turn("b", "a"),))
    assert bytes_of(cache, "c") == b"in aout a\nin bout b\nin cout c\n"
    assert bytes_of(cache, "unknown") is None


def test_memory_is_bounded_and_branches_share_their_beginning():
    for seed in range(20):
        random_source = random.Random(seed)
        cache, predecessors = turn_cache.TurnCache(2000), {}
        for number in range(400):
            name = f"t{number}"
            previous = random_source.choice(["", *list(predecessors)[-5:]])
            predecessors[name] = previous
            cache.add((turn(name, previous),))
            assert cache.size <= 2000
            assert cache.size == sum(len(one.input) + len(one.output) for one in cache.turns.values())
            chain, attempt = [], name
            while attempt:
                chain.append(attempt)
                attempt = predecessors[attempt]
            found = bytes_of(cache, name)
            assert found is None or found == b"".join(
                turn(one, predecessors[one]).input + turn(one, predecessors[one]).output for one in reversed(chain)
            )


def test_a_chain_larger_than_the_cache_is_not_held():
    """Guards against a cache that grows beyond its bound with a single chain."""
    cache = turn_cache.TurnCache(100)
    cache.add((turn("a", ""),))
    cache.add(tuple(entry.Turn(f"t{number}", "", bytes(60), b"", "w1") for number in range(3)))
    assert cache.size <= 100
    cache.add((entry.Turn("large", "", bytes(200), b"", "w1"),))
    assert cache.size == 0 and not cache.turns
