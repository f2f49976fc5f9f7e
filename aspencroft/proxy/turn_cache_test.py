"""Tests of an edge's memory of turns."""

import random

from aspencroft.proxy import turn_cache
from aspencroft.sessions import entry


def turn(name, previous):
    return entry.Turn(name, previous, b"in " + name.encode(), b"out " + name.encode() + b"\n", "w1")


def test_a_chain_is_whole_or_not_there():
    kept = turn_cache.TurnCache()
    kept.keep((turn("a", ""), turn("c", "b")))
    assert kept.bytes_of("a") == b"in aout a\n" and kept.bytes_of("c") is None and not kept.holds("c")
    kept.keep((turn("b", "a"),))
    assert kept.bytes_of("c") == b"in aout a\nin bout b\nin cout c\n"
    assert kept.bytes_of("unknown") is None


def test_memory_is_bounded_and_branches_share_their_beginning():
    for seed in range(20):
        chance = random.Random(seed)
        kept, plain = turn_cache.TurnCache(2000), {}
        for number in range(400):
            name = f"t{number}"
            previous = chance.choice(["", *list(plain)[-5:]])
            plain[name] = previous
            kept.keep((turn(name, previous),))
            assert kept.size <= 2000
            assert kept.size == sum(len(one.input) + len(one.output) for one in kept.turns.values())
            line, place = [], name
            while place:
                line.append(place)
                place = plain[place]
            found = kept.bytes_of(name)
            assert found is None or found == b"".join(
                turn(one, plain[one]).input + turn(one, plain[one]).output for one in reversed(line)
            )
