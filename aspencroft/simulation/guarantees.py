"""What must never happen, brought about point by point in simulated fleets; each test names its point."""

import httpx

from aspencroft.emulator import shape
from aspencroft.simulation import simulated_cluster, wire


class ClusterHarness:
    """A formed fleet with its plan in force, and callers at hand."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster):
        self.cluster = cluster
        self.client = httpx.AsyncClient(transport=wire.SimTransport(cluster.wire, simulated_cluster.OUTSIDE))
        self.asking = cluster.caller(1)

    async def set(self) -> None:
        """Form and put the plan in force."""
        await self.cluster.until(self.cluster.formed, 30, "formed")
        response = await self.client.put("http://core-1/plan", json=self.cluster.mix.document)
        assert response.status_code == 200, response.text
        await self.cluster.until(self.cluster.ready, 20, "ready")
        await self.cluster.until(
            lambda: all(edge.worker_view.listed for edge in self.cluster.edge_paths.values()), 5, "listed"
        )

    async def ask(self, edge: str, lane: str, given, **more):
        """One request to one edge."""
        asking = self.cluster.caller(len(self.asking.noted) + 7)
        asking.addresses = (f"{edge}:80",)
        noted = await asking.ask(lane, given, **more)
        self.asking.noted.append(noted)
        self.asking.faults.extend(asking.faults)
        return noted

    def runs(self, name: str) -> int:
        """How many runs began for an input of that name."""
        return sum(
            isinstance(body["input"], dict) and body["input"].get("name") == name for body in self.cluster.world.seen()
        )


def play(
    seed: int, scenario, name: str = shape.TILLS, size: simulated_cluster.Size = simulated_cluster.Size()
) -> simulated_cluster.SimulatedCluster:
    """Form a simulated cluster and run a scenario on it."""

    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        harness = ClusterHarness(cluster)
        await harness.set()
        await scenario(harness)
        assert harness.asking.faults == [], harness.asking.faults[:3]

    played = simulated_cluster.play(seed, whole_scenario, name=name, size=size, weather=wire.Weather(jitter=0.002))
    assert played.ended == []
    return played
