"""More losses at once than are to be borne, while no disk is lost; and all disks full at once.

Service may rest. It is back within the recovery time once all is back, nothing acknowledged is lost and nothing older
than what was acknowledged is ever read.
"""

import asyncio
import collections.abc
import random

import pytest

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.simulation import cutoff, simulated_cluster, wire

SIZE = simulated_cluster.Size(4, 3, 5, apart=True)
RECOVERY_S = 12.0
ANSWER_S = 1.0


class Operator:
    """Sends version after version to any core that runs, and reads; notes what was acknowledged."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster, chance: random.Random):
        self.cluster = cluster
        self.chance = chance
        self.acknowledged = 0
        self.acknowledged_at = 0.0
        self.reads = 0
        self.is_over = False

    async def at_any_core(self, work: collections.abc.Callable) -> object:
        """A node's answer, or none where it refused, did not answer in time or does not run."""
        name = self.chance.choice(self.cluster.cores)
        node = self.cluster.nodes.get(name)
        if node is None or not self.cluster.alive(name):
            return None
        task = self.cluster.loop.create_task(work(node), context=self.cluster.loop.context_of(name))
        done, _ = await asyncio.wait([task], timeout=ANSWER_S)
        if not done or task.cancelled():
            task.cancel()
            return None
        error = task.exception()
        if error is not None and not isinstance(error, result.RequestError | OSError):
            raise error
        return None if error is not None else task.result()

    async def order(self) -> None:
        """Have the next version taken."""
        version = self.acknowledged + 1
        while not self.is_over:
            taken = await self.at_any_core(lambda node: node.apply(cutoff.command_of(version)))
            if taken is not None:
                self.acknowledged, self.acknowledged_at = version, self.cluster.loop.time()
                return
            await asyncio.sleep(0.05)

    async def run(self) -> None:
        """Order and read until it is over; a read is never older than what was acknowledged before it."""
        while not self.is_over:
            await self.order()
            due = self.acknowledged
            read = await self.at_any_core(lambda node: node.read_configuration())
            if read is not None:
                self.reads += 1
                assert read.version >= due, f"read {read.version} after {due} was acknowledged"
            await asyncio.sleep(0.1)


def play(seed: int, trouble: collections.abc.Callable) -> None:
    """Order through a trouble; all groups serve, and an order is acknowledged, within the recovery time of its end."""

    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        operator = Operator(cluster, random.Random(seed))
        ordering = asyncio.ensure_future(operator.run())
        await cluster.until(lambda: operator.acknowledged >= 5, 10, "ordered")
        await trouble(cluster, random.Random(seed))
        back = cluster.loop.time()
        await cluster.until(lambda: cluster.formed() and operator.acknowledged_at > back, RECOVERY_S, "back")
        newest = operator.acknowledged

        def everywhere() -> bool:
            return all(cluster.nodes[name].relay.configuration.version >= newest for name in cluster.edges)

        await cluster.until(everywhere, RECOVERY_S, "in force everywhere")
        operator.is_over = True
        await ordering
        assert operator.reads > 5
        assert not cluster.ended, cluster.ended

    settings = {"witnesses": "core", "confirm": clock.seconds(0.25), "currency": clock.seconds(12)}
    simulated_cluster.play(seed, scenario, SIZE, weather=wire.Weather(jitter=0.002), more=settings)


@pytest.mark.parametrize("space", [0, 40, 900])
def test_all_disks_full_at_once_and_free_again(space):
    async def fill(cluster: simulated_cluster.SimulatedCluster, chance: random.Random) -> None:
        for disk in cluster.disks.values():
            disk.space = chance.randint(0, space)
        await asyncio.sleep(6)
        for disk in cluster.disks.values():
            disk.space = None

    play(31 + space, fill)


@pytest.mark.parametrize("seed", range(6))
def test_losses_that_overlap_beyond_what_is_to_be_borne(seed):
    """Most machines with a disk are down at once, by kills and losses of power that begin and end one by one."""

    async def lose(cluster: simulated_cluster.SimulatedCluster, chance: random.Random) -> None:
        victims = chance.sample(cluster.cores, chance.choice((3, 4, 5)))
        victims += chance.sample(cluster.storages, chance.choice((2, 3)))
        chance.shuffle(victims)
        for name in victims:
            (cluster.kill if chance.random() < 0.5 else cluster.power_off)(name)
            await asyncio.sleep(chance.random() * 0.8)
        chance.shuffle(victims)
        for name in victims:
            await asyncio.sleep(chance.random() * 1.5)
            cluster.start(name)

    play(60 + seed, lose)


@pytest.mark.parametrize("seed", range(3))
def test_all_disk_machines_lose_power_again_while_they_come_back(seed):
    async def lose(cluster: simulated_cluster.SimulatedCluster, chance: random.Random) -> None:
        machines = [*cluster.cores, *cluster.storages]
        for _ in range(3):
            for name in machines:
                cluster.power_off(name)
            await asyncio.sleep(0.2)
            for name in machines:
                cluster.start(name)
                await asyncio.sleep(chance.random() * 0.1)
            await asyncio.sleep(chance.random() * 2)

    play(80 + seed, lose)
