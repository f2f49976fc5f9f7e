"""Tests of ``aspencroft.residency.candidate``."""

from aspencroft.residency import candidate
from aspencroft.runtime import clock


def test_costs_agree_with_the_paper():
    for tokens, seconds in ((2_700, 0.18), (27_500, 2.64), (61_800, 8.89)):
        assert abs(candidate.recompute_cost(tokens).total_seconds() - seconds) / seconds < 0.06
    assert abs(candidate.reload_cost(15_200_000_000, candidate.WEIGHT_STARTUP).total_seconds() - 0.63) < 0.01
    assert candidate.recovery_cost(27_500, True) < clock.seconds(0.2) < candidate.recovery_cost(27_500, False)
