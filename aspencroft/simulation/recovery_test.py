"""Tests of recovery as one piece: everything killed or without power at once, again and again, disks lost with it."""

import asyncio
import random

from aspencroft.simulation import groups, simulated_cluster

RECOVERY = 12.0
ROUNDS = 3


class Blows:
    """Faults that strike all machines at once, and how they come back."""

    def __init__(self, harness: groups.ClusterHarness, chance: random.Random, losses: int):
        self.harness = harness
        self.cluster = harness.cluster
        self.chance = chance
        self.losses = losses

    def end_all(self) -> None:
        """Kill all processes, or take the power of all machines, and as many disks as may be lost."""
        power = self.chance.random() < 0.7
        for name in self.cluster.names():
            if power:
                self.cluster.power_off(name)
            elif self.cluster.alive(name):
                self.cluster.kill(name)
        if power and self.chance.random() < 0.6:
            for name in self.chance.sample([*self.cluster.cores, *self.cluster.storages], self.losses):
                self.cluster.disks[name].wipe()
                self.cluster.lost.add(name)

    async def start_all(self) -> None:
        """Start all machines in any order, within 0.3 s or many seconds apart."""
        names = self.cluster.names()
        self.chance.shuffle(names)
        within = 0.3 if self.chance.random() < 0.6 else 40.0
        delays = sorted(self.chance.uniform(0, within) for _ in names)
        before = 0.0
        for name, delay in zip(names, delays, strict=True):
            await asyncio.sleep(delay - before)
            before = delay
            self.cluster.start(name)

    async def strike(self) -> None:
        """One blow; at times a second one while the first is being recovered from, then without another lost disk."""
        self.end_all()
        await asyncio.sleep(self.chance.uniform(0.2, 2))
        await self.start_all()
        if self.chance.random() < 0.4:
            await asyncio.sleep(self.chance.uniform(0, 2))
            for name in self.cluster.names():
                self.cluster.power_off(name)
            await asyncio.sleep(0.5)
            await self.start_all()


async def write_on(harness: groups.ClusterHarness, acknowledged: list[str]) -> None:
    """Write services one after the other, noting those that were acknowledged."""
    while True:
        name = f"w{len(acknowledged)}-{harness.cluster.loop.time():.3f}".replace(".", "-")
        if await harness.write(name):
            acknowledged.append(name)
        await asyncio.sleep(0.05)


def recovered(seed: int, losses: int, size: simulated_cluster.Size) -> None:
    """Strike a fleet several times; each time it serves again in its time and nothing acknowledged is gone."""

    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        blows = Blows(harness, random.Random(seed), losses)
        acknowledged: list[str] = []
        for _ in range(ROUNDS):
            await cluster.until(harness.whole, 20, "whole")
            writing = asyncio.ensure_future(write_on(harness, acknowledged))
            await asyncio.sleep(blows.chance.uniform(0.3, 2))
            writing.cancel()
            await blows.strike()
            await cluster.until(cluster.formed, RECOVERY, "formed")
            await cluster.until(cluster.ready, RECOVERY, "ready")
            assert set(acknowledged) <= await harness.written(), seed
        assert acknowledged

    groups.play(seed, scenario, size, {"losses": losses})


def test_all_killed_or_without_power_again_and_again_with_one_disk_lost():
    for seed in range(1, 5):
        recovered(seed, 1, groups.SIZE)


def test_all_killed_or_without_power_again_and_again_with_two_disks_lost():
    for seed in range(5, 8):
        recovered(seed, 2, simulated_cluster.Size(2, 5, 5, apart=True))
