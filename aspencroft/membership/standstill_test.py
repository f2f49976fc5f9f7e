"""Tests that a node detects a pause of its own process, and does not take time spent waiting for others for a pause."""

import asyncio

from aspencroft.membership import cluster_member, failure_detector, suspicion
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

SIZE = simulated_cluster.Size(4, 3, 5, apart=True)
SETTINGS = {"witnesses": "core", "confirm": clock.seconds(0.25), "currency": clock.seconds(12)}
SETTLE_SECONDS = 5.0
FROZEN_SECONDS = 10.0
CHECK_SECONDS = 0.05


def play(scenario) -> None:
    """Run a scenario on a cluster that is formed and stable."""

    async def form_and_run(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        await asyncio.sleep(SETTLE_SECONDS)
        await scenario(cluster)

    simulated_cluster.play(11, form_and_run, SIZE, weather=wire.Weather(jitter=0.002), more=SETTINGS)


def detector_of(cluster: simulated_cluster.SimulatedCluster, name: str) -> failure_detector.FailureDetector:
    return cluster.nodes[name].failure_detector


async def suspected_after_thaw(cluster: simulated_cluster.SimulatedCluster, name: str) -> set[str]:
    """Freeze a node for a while and return all members that it suspects in the seconds after that."""
    cluster.loop.freeze(name)
    await asyncio.sleep(FROZEN_SECONDS)
    cluster.loop.thaw(name)
    suspected: set[str] = set()
    for _ in range(round(4 * suspicion.SUSPICION_TIMEOUT.total_seconds() / CHECK_SECONDS)):
        await asyncio.sleep(CHECK_SECONDS)
        suspected |= detector_of(cluster, name).view.suspected
    return suspected


def test_a_node_that_was_frozen_suspects_nobody_when_it_goes_on():
    async def freeze_one(cluster: simulated_cluster.SimulatedCluster) -> None:
        edge = cluster.edges[0]
        before = detector_of(cluster, edge).counts["suspicions"]
        assert await suspected_after_thaw(cluster, edge) == set()
        assert detector_of(cluster, edge).counts["suspicions"] == before

    play(freeze_one)


def test_a_node_that_was_frozen_while_it_asked_about_a_member_suspects_no_other_when_it_goes_on():
    async def freeze_while_asking(cluster: simulated_cluster.SimulatedCluster) -> None:
        edge = cluster.edges[0]
        view = detector_of(cluster, edge).view
        silent = detector_of(cluster, edge).exchange.watched()[0]
        cluster.power_off(silent.split(":")[0])
        await cluster.until(lambda: silent in view.suspected, 5, "suspected")
        assert view.state(silent) == cluster_member.LIVE
        assert await suspected_after_thaw(cluster, edge) <= {silent}
        assert view.state(silent) == cluster_member.DOWN

    play(freeze_while_asking)


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
