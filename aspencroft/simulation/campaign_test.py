"""Tests of ``aspencroft.simulation.campaign``."""

import concurrent.futures
import os
import subprocess
import sys

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


def writes_under(hash_seed: str) -> bytes:
    """The digest of an operators' day, played in a process with a hash seed of its own."""
    script = (
        "from aspencroft.simulation import behaviour_digests, campaign\n"
        "with behaviour_digests.days_made(campaign) as days:\n"
        "    campaign.run_day(1, ('kill',), 1)\n"
        "print(behaviour_digests.digest([list(vars(one).values()) for one in days[0].operators.writes]))\n"
    )
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run([sys.executable, "-c", script], env=environment, check=True, capture_output=True).stdout


def test_the_same_seed_gives_the_same_day_under_any_hash_seed():
    with concurrent.futures.ThreadPoolExecutor() as pool:
        assert len(set(pool.map(writes_under, ("0", "1", "2")))) == 1
