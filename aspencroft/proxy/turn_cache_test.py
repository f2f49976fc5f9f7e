"""Tests of an edge's cache of turns."""

import random

from aspencroft.proxy import turn_cache
from aspencroft.sessions import entry


def turn(name, previous):
    return entry.Turn(name, previous, b"in " + name.encode(), b"out " + name.encode() + b"\n", "w1")


def test_a_history_is_returned_only_if_it_is_complete():
    cache = turn_cache.TurnCache()
    cache.add((turn("a", ""), turn("c", "b")))
    assert cache.bytes_of("a") == b"in aout a\n" and cache.bytes_of("c") is None and not cache.has_history("c")
    cache.add((turn("b", "a"),))
    assert cache.bytes_of("c") == b"in aout a\nin bout b\nin cout c\n"
    assert cache.bytes_of("unknown") is None


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
            found = cache.bytes_of(name)
            assert found is None or found == b"".join(
                turn(one, predecessors[one]).input + turn(one, predecessors[one]).output for one in reversed(chain)
            )
