"""Tests of where a simulated fleet keeps its replicas: evenly from its founding on, and again after losses."""

import asyncio
import collections

from aspencroft.simulation import groups, simulated_cluster

SIZE = simulated_cluster.Size(edges=1, storages=10, cores=3, apart=True)
GROUPS, COPIES = 4, 3
MORE = {"witnesses": "core", "talk_pairs": GROUPS, "losses": COPIES - 1}
FEWEST_AT_MOST = 2
"""Twelve replicas on ten disks, one of a group in each area of three or four disks: two on a disk are enough."""


def replicas(harness: groups.ClusterHarness) -> collections.Counter:
    """How many replicas of session group each storage node holds, by the newest records."""
    found = collections.Counter(dict.fromkeys(harness.cluster.storages, 0))
    for group in range(1, GROUPS + 1):
        found.update(harness.members(group))
    return found


def served(harness: groups.ClusterHarness) -> bool:
    """Whether every session group is served by as many members as it is to have."""
    return all(
        harness.record(group) is not None and len(harness.members(group)) == COPIES and harness.cluster.leader(group)
        for group in range(1, GROUPS + 1)
    )


def test_no_disk_of_a_new_fleet_holds_more_replicas_than_it_must():
    async def scenario(harness: groups.ClusterHarness) -> None:
        await harness.cluster.until(lambda: served(harness), 15, "served")
        assert max(replicas(harness).values()) <= FEWEST_AT_MOST, replicas(harness)

    groups.play(3, scenario, SIZE, MORE)


def test_replicas_are_spread_again_once_machines_that_were_lost_are_back():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        await cluster.until(lambda: served(harness), 15, "served")
        for victims in (cluster.storages[:2], cluster.storages[4:6], cluster.storages[7:9]):
            for name in victims:
                cluster.kill(name)
            await asyncio.sleep(6)
            for name in victims:
                cluster.start(name)
            await asyncio.sleep(6)
        await cluster.until(
            lambda: served(harness) and max(replicas(harness).values()) <= FEWEST_AT_MOST,
            30,
            f"spread {replicas(harness)}",
        )

    groups.play(4, scenario, SIZE, MORE)
