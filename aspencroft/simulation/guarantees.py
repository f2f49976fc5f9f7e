"""What must never happen, brought about point by point in simulated fleets; each test names its point."""

import httpx

from aspencroft.emulator import shape
from aspencroft.simulation import simulated_cluster, wire


class Stage:
    """A formed fleet with its plan in force, and callers at hand."""

    def __init__(self, one: simulated_cluster.SimulatedCluster):
        self.scene = one
        self.client = httpx.AsyncClient(transport=wire.SimTransport(one.wire, simulated_cluster.OUTSIDE))
        self.asking = one.caller(1)

    async def set(self) -> None:
        """Form and put the plan in force."""
        await self.scene.until(self.scene.formed, 30, "formed")
        response = await self.client.put("http://core-1/plan", json=self.scene.mix.document)
        assert response.status_code == 200, response.text
        await self.scene.until(self.scene.ready, 20, "ready")
        await self.scene.until(lambda: all(edge.sight.listed for edge in self.scene.edge_paths.values()), 5, "listed")

    async def ask(self, edge: str, lane: str, given, **more):
        """One request to one edge."""
        asking = self.scene.caller(len(self.asking.noted) + 7)
        asking.addresses = (f"{edge}:80",)
        noted = await asking.ask(lane, given, **more)
        self.asking.noted.append(noted)
        self.asking.faults.extend(asking.faults)
        return noted

    def runs(self, name: str) -> int:
        """How many runs began for an input of that name."""
        return sum(
            isinstance(body["input"], dict) and body["input"].get("name") == name for body in self.scene.world.seen()
        )


def play(
    seed: int, acts, name: str = shape.TILLS, size: simulated_cluster.Size = simulated_cluster.Size()
) -> simulated_cluster.SimulatedCluster:
    """Set a stage and play acts on it."""

    async def story(one: simulated_cluster.SimulatedCluster) -> None:
        stage = Stage(one)
        await stage.set()
        await acts(stage)
        assert stage.asking.faults == [], stage.asking.faults[:3]

    played = simulated_cluster.play(seed, story, name=name, size=size, weather=wire.Weather(jitter=0.002))
    assert played.ended == []
    return played
