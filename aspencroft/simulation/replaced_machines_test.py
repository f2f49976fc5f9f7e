"""Machines that come back or are replaced by empty ones: copies and voters are whole in time for the next loss."""

import asyncio

import pytest

from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

SIZE = simulated_cluster.Size(2, 3, 5, apart=True)
CATCH_UP_S = 4.0
"""The shortest time that a deployment leaves a machine after its return before it may be lost again."""
VOTERS_FOLLOW_S = 10.0
SETTINGS = {"witnesses": "core", "confirm": clock.seconds(0.25), "currency": clock.seconds(12)}


def play(seed: int, scenario) -> None:
    """Run a scenario once the cluster is formed and its copies are whole."""

    async def whole(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(lambda: cluster.formed() and copies_are_whole(cluster), 30, "formed")
        await asyncio.sleep(3)
        await scenario(cluster)
        assert not cluster.ended, cluster.ended

    simulated_cluster.play(seed, whole, SIZE, weather=wire.Weather(jitter=0.002), more=SETTINGS)


def copies_are_whole(cluster: simulated_cluster.SimulatedCluster) -> bool:
    """Whether each group's primary serves under a record of members that all run."""
    for group_id in range(3):
        leader = cluster.leader(group_id)
        if not leader:
            return False
        record = cluster.nodes[leader].group_replicas[group_id].known
        copies = cluster.nodes[leader].settings.copies
        names = [member.address.split(":")[0] for member in record.members()]
        if len(names) < copies or not all(cluster.alive(name) for name in names):
            return False
    return True


def is_voting(cluster: simulated_cluster.SimulatedCluster, name: str) -> bool:
    """Whether a node runs and its voter votes."""
    return name in cluster.nodes and cluster.nodes[name].witness.voting


def voters_are_the_cores(cluster: simulated_cluster.SimulatedCluster) -> bool:
    """Whether just the present cores are voters, by what each of them knows, and all vote."""
    wished = {f"{name}:1" for name in cluster.cores}
    if not all(is_voting(cluster, name) for name in cluster.cores):
        return False
    sets = [cluster.nodes[name].witness.voter_set for name in cluster.cores]
    return all(set(one.present) == wished and not one.coming for one in sets)


@pytest.mark.parametrize("loss", ["kill", "power", "disk"])
@pytest.mark.parametrize("kind", ["storages", "cores"])
@pytest.mark.parametrize("seed", [1, 2])
def test_groups_are_whole_within_the_catch_up_time_of_a_machine_that_comes_back(loss, kind, seed):
    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        for victim in getattr(cluster, kind):
            (cluster.kill if loss == "kill" else cluster.power_off)(victim)
            if loss == "disk":
                cluster.disks[victim].wipe()
                cluster.lost.add(victim)
            await asyncio.sleep(2.5)
            cluster.start(victim)
            await cluster.until(lambda: copies_are_whole(cluster), CATCH_UP_S, f"whole after {victim}")
            assert sum(is_voting(cluster, name) for name in cluster.cores) >= len(cluster.cores) - 1
            await asyncio.sleep(CATCH_UP_S)
            assert all(is_voting(cluster, name) for name in cluster.cores)

    play(seed, scenario)


@pytest.mark.parametrize("graceful", [True, False])
@pytest.mark.parametrize("seed", [3, 4])
def test_the_voter_set_follows_a_core_machine_that_an_empty_one_at_another_address_replaces(graceful, seed):
    """The machine goes with SIGTERM or without; each core in turn, until none of the first voters is left."""

    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        first = list(cluster.cores)
        for number, victim in enumerate(first):
            if graceful:
                await cluster.stop(victim)
            else:
                cluster.power_off(victim)
            cluster.disks[victim].wipe()
            fresh = f"core-{len(first) + number}"
            others = [name for name in cluster.cores if name != victim]
            cluster.cores[cluster.cores.index(victim)] = fresh
            # Its settings name machines that are up when they are written, as the platform's do.
            cluster.seeds = tuple(f"{name}:1" for name in others[:3])
            cluster.start(fresh)

            await cluster.until(
                lambda: voters_are_the_cores(cluster), VOTERS_FOLLOW_S, f"voters follow {victim} -> {fresh}"
            )
            await cluster.until(lambda: copies_are_whole(cluster), CATCH_UP_S, "whole")
            for name in cluster.cores:
                quorum = cluster.nodes[name].status()["quorum"]
                assert quorum["losses_left"] >= 1, (name, quorum)
        assert not set(first) & set(cluster.cores)

    play(seed, scenario)


@pytest.mark.parametrize("seed", [5, 6])
def test_a_spare_machine_that_comes_late_is_taken_as_voter_at_once(seed):
    """Without a spare machine the lost voter stays in the set; the change is begun when one is there."""

    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        victim = cluster.cores[1]
        cluster.power_off(victim)
        cluster.disks[victim].wipe()
        others = [name for name in cluster.cores if name != victim]
        await asyncio.sleep(15)
        assert all(f"{victim}:1" in cluster.nodes[name].witness.voter_set.present for name in others)
        cluster.cores[1] = "core-5"
        cluster.start("core-5")

        await cluster.until(lambda: voters_are_the_cores(cluster), VOTERS_FOLLOW_S, "taken")

    play(seed, scenario)
