"""What a node takes for a standstill of its own process: its frozen time, and no time spent waiting for others."""

import asyncio

from aspencroft.membership import cluster_member, failure_detector, suspicion
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

SIZE = simulated_cluster.Size(4, 3, 5, apart=True)
SETTINGS = {"witnesses": "core", "confirm": clock.seconds(0.25), "currency": clock.seconds(12)}
CALM_S = 5.0
FROZEN_S = 10.0
LOOK_S = 0.05


def play(scenario) -> None:
    """Run a scenario on a cluster that is formed and calm."""

    async def whole(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        await asyncio.sleep(CALM_S)
        await scenario(cluster)

    simulated_cluster.play(11, whole, SIZE, weather=wire.Weather(jitter=0.002), more=SETTINGS)


def detector_of(cluster: simulated_cluster.SimulatedCluster, name: str) -> failure_detector.FailureDetector:
    return cluster.nodes[name].failure_detector


async def suspected_after_thaw(cluster: simulated_cluster.SimulatedCluster, name: str) -> set[str]:
    """Freeze a node and let it go on; all that it suspects in the seconds after that."""
    cluster.loop.freeze(name)
    await asyncio.sleep(FROZEN_S)
    cluster.loop.thaw(name)
    found: set[str] = set()
    for _ in range(round(4 * suspicion.SUSPICION_TIMEOUT.total_seconds() / LOOK_S)):
        await asyncio.sleep(LOOK_S)
        found |= detector_of(cluster, name).view.suspected
    return found


def test_a_node_that_was_frozen_suspects_nobody_when_it_goes_on():
    async def freeze_one(cluster: simulated_cluster.SimulatedCluster) -> None:
        edge = cluster.edges[0]
        before = detector_of(cluster, edge).counts["suspicions"]
        assert await suspected_after_thaw(cluster, edge) == set()
        assert detector_of(cluster, edge).counts["suspicions"] == before

    play(freeze_one)


def test_a_node_that_was_frozen_while_it_asked_about_a_member_suspects_no_other_when_it_goes_on():
    async def freeze_one_that_asks(cluster: simulated_cluster.SimulatedCluster) -> None:
        edge = cluster.edges[0]
        view = detector_of(cluster, edge).view
        victim = detector_of(cluster, edge).exchange.watched()[0]
        cluster.power_off(victim.split(":")[0])
        await cluster.until(lambda: victim in view.suspected, 5, "suspected")
        assert view.state(victim) == cluster_member.LIVE
        assert await suspected_after_thaw(cluster, edge) <= {victim}
        assert view.state(victim) == cluster_member.DOWN

    play(freeze_one_that_asks)


def test_a_node_that_waits_for_an_answer_about_one_member_still_notices_that_another_falls_silent():
    async def lose_one_after_another(cluster: simulated_cluster.SimulatedCluster) -> None:
        edge = cluster.edges[0]
        view = detector_of(cluster, edge).view
        first, second = detector_of(cluster, edge).exchange.watched()[:2]
        cluster.wire.cut([edge], [name for name in cluster.names() if name not in (edge, second.split(":")[0])])
        await cluster.until(lambda: first in view.suspected, 5, "the first is suspected")
        cluster.power_off(second.split(":")[0])
        limit = suspicion.SUSPICION_TIMEOUT.total_seconds() + 0.5
        await cluster.until(lambda: second in view.suspected, limit, "the second is suspected")

    play(lose_one_after_another)
