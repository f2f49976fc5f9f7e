"""Tests of ``aspencroft.simulation.campaign``."""

import aspencroft.simulation.campaign as campaign_module
from aspencroft.simulation import simulated_cluster


def test_days_of_faults_break_none_of_the_promises():
    for seed in (1, 2, 3, 4):
        assert campaign_module.run_day(seed)["wrong"] == []


def test_days_with_the_control_group_on_the_core_break_none_of_the_promises():
    size = simulated_cluster.Size(2, 3, 5, apart=True)
    for seed in (1, 2, 3):
        assert (
            campaign_module.run_day(seed, campaign_module.APART, size=size, more={"witnesses": "core"})["wrong"] == []
        )


def test_days_with_two_losses_to_be_borne_break_none_of_the_promises():
    size = simulated_cluster.Size(2, 5, 5, apart=True)
    for seed in (1, 2):
        assert (
            campaign_module.run_day(seed, campaign_module.APART, size=size, more={"witnesses": "core", "losses": 2})[
                "wrong"
            ]
            == []
        )
