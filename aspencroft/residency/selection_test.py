"""Tests of ``aspencroft.residency.selection``."""

import math
import random

import aspencroft.residency.selection as selection_module
from aspencroft.residency import candidate
from aspencroft.runtime import clock


def test_selection_is_within_epsilon_of_brute_force():
    worst = 1.0
    for seed in range(500):
        chance = random.Random(seed)
        candidates, budget = selection_module.sample(chance, adapters=seed % 2 == 1), chance.randrange(1, 120)
        selection = selection_module.select(tuple(candidates), budget)
        best = selection_module.optimum(candidates, budget)
        names = {one.name for one in selection.chosen}
        assert sum(one.size for one in selection.chosen) == selection.size <= budget
        assert all(one.kind != candidate.ADAPTER or one.base in names for one in selection.chosen)
        assert math.isclose(selection.value, sum(one.value for one in selection.chosen), abs_tol=1e-9)
        if best:
            worst = min(worst, selection.value / best)
            assert (
                selection.value
                >= (1 - selection_module.COMPRESSION - selection_module.ROUNDING - selection_module.THRESHOLD) * best
            ), (seed, selection, best)
    assert worst < 1.0


def test_protected_bytes_are_never_sold():
    one = candidate.Candidate(candidate.KV, "p", 10, 0.5, clock.seconds(1), "")
    assert selection_module.select((one,), 30, 15, 6).chosen == ()
    assert selection_module.select((one,), 30, 15, 5).chosen == (one,)
    assert selection_module.select((one,), 30, 25, 10).shortfall == 5
