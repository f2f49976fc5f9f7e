"""Tests of ``aspencroft.node.voter_selection``."""

import asyncio
import datetime
import types

import pytest

from aspencroft.consensus import replica_set, witness_changes
from aspencroft.membership import cluster_member
from aspencroft.node import voter_selection
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

SIZE = simulated_cluster.Size(1, 3, 11, apart=True)  # nine voters and two spare cores
SETTINGS = {"witnesses": "core", "confirm": clock.seconds(0.25), "currency": clock.seconds(12)}
CALM_S = 20.0
NEXT_LOOK_S = 1.0


def play(scenario) -> None:
    """Run a scenario on a cluster whose voter set is settled."""

    async def whole(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        await asyncio.sleep(CALM_S)
        await scenario(cluster)

    simulated_cluster.play(5, whole, SIZE, weather=wire.Weather(jitter=0.002), more=SETTINGS)


def test_a_voter_lost_while_another_is_replaced_is_replaced_right_after_it():
    async def lose_two(cluster: simulated_cluster.SimulatedCluster) -> None:
        leader = cluster.leader(0)
        node = cluster.nodes[leader]
        first, second = [one for one in node.proposer.voter_set.present if one != node.address][:2]
        cluster.power_off(first.split(":")[0])
        await asyncio.sleep(voter_selection.VOTER_LOST_AFTER.total_seconds() / 2)
        cluster.power_off(second.split(":")[0])
        await cluster.until(lambda: first not in node.proposer.voter_set.present, 15, "the first is replaced")
        assert cluster.leader(0) == leader
        assert node.failure_detector.state(second) == cluster_member.DOWN
        assert second in node.proposer.voter_set.present
        await cluster.until(lambda: node.proposer.voter_set.coming, NEXT_LOOK_S, "the second's replacement begins")
        assert second not in node.proposer.voter_set.coming

    play(lose_two)


def voters_asked_at(monkeypatch, times: list[datetime.timedelta]) -> list[tuple[str, ...]]:
    """What is preferred at each time, while the voter c is not live and the core d is spare."""
    states = dict.fromkeys("abd", cluster_member.LIVE) | {"c": cluster_member.DOWN}
    detector = types.SimpleNamespace(
        state=states.get, live=lambda: tuple("abd"), peers=dict.fromkeys("abd", types.SimpleNamespace(role="core"))
    )
    voters = types.SimpleNamespace(voter_set=replica_set.VoterSet(1, tuple("abc"), ()))
    selection = voter_selection.VoterSelection(None, detector, voters, None)
    found = []
    for time in times:
        monkeypatch.setattr(voter_selection.clock, "now", lambda time=time: time)
        found.append(selection.preferred_core_voters())
    return found


@pytest.mark.parametrize(
    ("pause", "replaced"),
    [(witness_changes.LONGEST_STEP, True), (witness_changes.LONGEST_STEP + clock.seconds(0.1), False)],
    ids=["a step that waited for its answers", "a standstill or another primary"],
)
def test_how_long_a_voter_is_not_live_counts_through_a_step_and_anew_after_a_longer_pause(monkeypatch, pause, replaced):
    start = clock.seconds(100)
    first, second = voters_asked_at(monkeypatch, [start, start + pause])
    assert first == tuple("abc")
    assert second == (tuple("abd") if replaced else tuple("abc"))
