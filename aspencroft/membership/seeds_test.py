"""Joining by seeds: at a first start in any order, and later by machines that were no seeds at first."""

import pytest

from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster

SIZE = simulated_cluster.Size(cores=5, apart=True)
CORES_HAVE_WITNESSES = {"witnesses": "core"}
WITHIN = 0.3


async def start_all(scene: simulated_cluster.SimulatedCluster) -> None:
    """Start every node at a moment of its own within 0.3 s, in any order."""
    names = scene.names()
    scene.chance.shuffle(names)
    for name in names:
        scene.start(name)
        await clock.sleep(clock.seconds(WITHIN / len(names)))


async def all_know_all(scene: simulated_cluster.SimulatedCluster, within: float) -> float:
    """Wait until all groups are served and each node knows each other one; how long that took."""
    count = len(scene.names())
    return await scene.until(
        lambda: (
            scene.formed()
            and len(scene.nodes) == count
            and all(len(one.failure_detector.live()) == count for one in scene.nodes.values())
        ),
        within,
        "all known to all",
    )


@pytest.mark.parametrize("seed", range(4))
def test_seeds_of_a_first_start_may_begin_in_any_order_and_later_ones_may_be_other_machines(seed):
    async def story(scene: simulated_cluster.SimulatedCluster) -> None:
        for name in scene.names():
            scene.kill(name)
        await start_all(scene)
        await all_know_all(scene, 8)
        scene.seeds = ("gone-0:1", "core-3:1", "core-4:1")
        scene.kill("edge-0")
        scene.start("edge-0")
        await all_know_all(scene, 5)
        for name in scene.names():
            scene.kill(name)
        scene.seeds = ("core-4:1", "gone-0:1", "gone-1:1")
        await start_all(scene)
        await all_know_all(scene, 12)
        assert not scene.ended

    simulated_cluster.play(seed, story, SIZE, more=CORES_HAVE_WITNESSES)
