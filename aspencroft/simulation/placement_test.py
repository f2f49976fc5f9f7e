"""Tests of where a simulated fleet keeps its replicas: evenly from its founding on, and again after losses."""

import asyncio
import collections

from aspencroft.simulation import groups, simulated_cluster

SIZE = simulated_cluster.Size(edges=1, storages=10, cores=3, apart=True)
GROUPS, COPIES = 4, 3
MORE = {"witnesses": "core", "talk_pairs": GROUPS, "losses": COPIES - 1}
FEWEST_AT_MOST = 2
"""Twelve replicas on ten disks, one of a group in each area of three or four disks: two on a disk are enough."""


def replicas(stage: groups.Stage) -> collections.Counter:
    """How many replicas of session group each storage node holds, by the newest records."""
    found = collections.Counter(dict.fromkeys(stage.scene.storages, 0))
    for group in range(1, GROUPS + 1):
        found.update(stage.members(group))
    return found


def served(stage: groups.Stage) -> bool:
    """Whether every session group is served by as many members as it is to have."""
    return all(
        stage.record(group) is not None and len(stage.members(group)) == COPIES and stage.scene.leader(group)
        for group in range(1, GROUPS + 1)
    )


def test_no_disk_of_a_new_fleet_holds_more_replicas_than_it_must():
    async def acts(stage: groups.Stage) -> None:
        await stage.scene.until(lambda: served(stage), 15, "served")
        assert max(replicas(stage).values()) <= FEWEST_AT_MOST, replicas(stage)

    groups.play(3, acts, SIZE, MORE)


def test_replicas_are_spread_again_once_machines_that_were_lost_are_back():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        await one.until(lambda: served(stage), 15, "served")
        for victims in (one.storages[:2], one.storages[4:6], one.storages[7:9]):
            for name in victims:
                one.kill(name)
            await asyncio.sleep(6)
            for name in victims:
                one.start(name)
            await asyncio.sleep(6)
        await one.until(
            lambda: served(stage) and max(replicas(stage).values()) <= FEWEST_AT_MOST, 30, f"spread {replicas(stage)}"
        )

    groups.play(4, acts, SIZE, MORE)
