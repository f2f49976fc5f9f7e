"""Tests of joining through seeds: a first start in any order, and later seeds that differ from the first ones."""

import pytest

from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster

SIZE = simulated_cluster.Size(cores=5, apart=True)
CORES_HAVE_WITNESSES = {"witnesses": "core"}
START_WITHIN_SECONDS = 0.3


async def start_all(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Start all nodes in random order, spread over 0.3 s."""
    names = cluster.names()
    cluster.chance.shuffle(names)
    for name in names:
        cluster.start(name)
        await clock.sleep(clock.seconds(START_WITHIN_SECONDS / len(names)))


async def all_know_all(cluster: simulated_cluster.SimulatedCluster, within: float) -> float:
    """Wait until all groups are served and all nodes know each other; return how long that took."""
    count = len(cluster.names())
    return await cluster.until(
        lambda: (
            cluster.formed()
            and len(cluster.nodes) == count
            and all(len(node.failure_detector.live()) == count for node in cluster.nodes.values())
        ),
        within,
        "all known to all",
    )


@pytest.mark.parametrize("seed", range(4))
def test_seeds_of_a_first_start_may_begin_in_any_order_and_later_ones_may_be_other_machines(seed):
    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        for name in cluster.names():
            cluster.kill(name)
        await start_all(cluster)
        await all_know_all(cluster, 8)
        cluster.seeds = ("gone-0:1", "core-3:1", "core-4:1")
        cluster.kill("edge-0")
        cluster.start("edge-0")
        await all_know_all(cluster, 5)
        for name in cluster.names():
            cluster.kill(name)
        cluster.seeds = ("core-4:1", "gone-0:1", "gone-1:1")
        await start_all(cluster)
        await all_know_all(cluster, 12)
        assert not cluster.ended

    simulated_cluster.play(seed, scenario, SIZE, more=CORES_HAVE_WITNESSES)
