"""Tests of ``aspencroft.benchmarks.configuration_changes``."""

import aspencroft.benchmarks.configuration_changes as measure_module
from aspencroft.configuration import resources


def test_a_change_of_one_route_is_learnt_as_a_patch():
    assert measure_module.run(200, 3)["routes"] == 200 and resources.MAX_RESOURCES >= 200_000
