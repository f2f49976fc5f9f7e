"""Tests of ``aspencroft.residency.keep_plan``."""

import random

from aspencroft.residency import candidate, keep_plan, selection
from aspencroft.runtime import clock
from aspencroft.workers import adapter


def test_offload_ends_before_its_buffer_is_used():
    for seed in range(300):
        chance = random.Random(seed)
        memory, held, wanted = 100, {}, {}
        for number in range(8):
            name = keep_plan.key(chance.choice([candidate.MODEL, candidate.KV]), f"x{number}")
            size = chance.randrange(1, 30)
            place = chance.choice(
                [keep_plan.DEVICE, keep_plan.DEVICE, keep_plan.HOST, keep_plan.OFFLOADING, keep_plan.LOADING]
            )
            if sum(one.size for one in held.values()) + size <= memory and chance.random() < 0.7:
                held[name] = adapter.Kept(name, size, 0, place, chance.random() < 0.2)
            if sum(wanted.values()) + size <= memory and chance.random() < 0.5:
                wanted[name] = size
        protected = frozenset(name for name in held if chance.random() < 0.2)
        one = keep_plan.step(held, wanted, protected, memory)
        moved = {*one.release, *one.offload}
        assert not moved & (protected | set(wanted)) and not any(held[name].busy for name in moved)
        assert not any(name.startswith(candidate.KV) for name in one.release)
        taken = sum(
            kept.size for name, kept in held.items() if kept.place != keep_plan.HOST and name not in one.release
        )
        sizes = {**{name: kept.size for name, kept in held.items()}, **wanted}
        assert taken + sum(sizes[name] for name in (*one.load, *one.restore)) <= memory


def test_plan_reaches_its_target_step_by_step():
    held = {
        "kv:p": adapter.Kept("kv:p", 40, 0, keep_plan.DEVICE, 0),
        "model:a": adapter.Kept("model:a", 50, 0, keep_plan.DEVICE, 0),
    }
    first = keep_plan.step(held, {"model:b": 60}, frozenset(), 100)
    assert first.release == ("model:a",) and first.offload == () and first.load == ("model:b",)
    second = keep_plan.step(held, {"model:b": 70}, frozenset(), 100)
    assert second.offload == ("kv:p",) and second.load == ()
    assert keep_plan.step(held, {"model:b": 10}, frozenset(), 100).release == ()
    chosen = selection.select((candidate.Candidate(candidate.MODEL, "b", 60, 0.5, clock.seconds(1), ""),), 100)
    assert keep_plan.wanted_of(chosen, {"model:a": 50}) == {"model:a": 50, "model:b": 60}
