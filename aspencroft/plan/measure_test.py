"""Tests of ``aspencroft.plan.measure``."""

import aspencroft.plan.measure as measure_module
import aspencroft.plan.plan as plan


def test_a_change_of_one_route_is_learnt_as_a_patch():
    assert measure_module.run(200, 3)["routes"] == 200 and plan.MOST_RESOURCES >= 200_000
