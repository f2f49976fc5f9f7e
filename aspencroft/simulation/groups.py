"""Fleets whose cores hold the control group and are the witnesses, and means to look at their groups, for tests."""

import collections.abc

import httpx

from aspencroft.consensus import replica_set
from aspencroft.emulator import shape
from aspencroft.simulation import guarantees, simulated_cluster, wire

SIZE = simulated_cluster.Size(2, 3, 5, apart=True)


class ClusterHarness(guarantees.ClusterHarness):
    """A formed fleet with its plan in force."""

    async def write(self, name: str) -> bool:
        """Write a service through an edge; whether it was acknowledged."""
        try:
            response = await self.client.put(f"http://edge-0/plan/services/{name}", json={"kind": "plain"}, timeout=20)
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def written(self) -> set[str]:
        """The services of the plan as its primary holds it."""
        await self.cluster.until(lambda: bool(self.cluster.leader(0)), 12, "led")
        return set(
            self.cluster.nodes[self.cluster.leader(0)].group_replicas[0].replica.state_machine.document["services"]
        )

    def record(self, group_id: int) -> replica_set.ReplicaSet | None:
        """The newest record of a group that any node knows."""
        known = [
            own.failure_detector.records[group_id]
            for name, own in self.cluster.nodes.items()
            if self.cluster.alive(name) and group_id in own.failure_detector.records
        ]
        return max(known, key=lambda one: one.epoch, default=None)

    def members(self, group_id: int) -> list[str]:
        """The nodes of a group's newest record, the primary first."""
        return [one.address.split(":")[0] for one in self.record(group_id).members()]

    def whole(self) -> bool:
        """Whether every group is served with as many members as it is to have."""
        leaders = {group_id: self.cluster.leader(group_id) for group_id in range(3)}
        return all(
            name and len(self.record(group_id).members()) >= self.cluster.nodes[name].target_replica_count(group_id)
            for group_id, name in leaders.items()
        )

    async def ask_node(self, name: str, work: collections.abc.Coroutine):
        """Do something as a node does it; its result, or the exception that it raised."""
        task = self.cluster.loop.create_task(work, context=self.cluster.loop.context_of(name))
        try:
            return await task
        except Exception as error:
            return error


def play(
    seed: int, scenario, size: simulated_cluster.Size = SIZE, more: dict | None = None
) -> simulated_cluster.SimulatedCluster:
    """Form a fleet whose cores are the witnesses, put its plan in force, wait until it is whole, act."""

    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        harness = ClusterHarness(cluster)
        await harness.set()
        await cluster.until(harness.whole, 15, "whole")
        await scenario(harness)
        assert harness.asking.faults == [], harness.asking.faults[:3]

    played = simulated_cluster.play(
        seed, whole_scenario, size, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core", **(more or {})}
    )
    assert played.ended == []
    return played
