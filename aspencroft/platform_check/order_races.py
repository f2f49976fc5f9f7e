"""Races of operators in simulated fleets that lose most answers, while the control group's primary is hurt."""

import asyncio
import collections
import dataclasses
import random

import defopt

from aspencroft.platform_check import operators
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

import settings_file

SIZE = simulated_cluster.Size(edges=2, storages=3, cores=5, apart=True)
AS_DEPLOYED = {
    "confirm": clock.seconds(settings_file.CONFIRM_TIMEOUT_S),
    "currency": clock.seconds(settings_file.CONFIGURATION_LEASE_S),
}
OPERATORS = 8
LOSS = 0.7
TROUBLES = ("kill", "power_off", "freeze", "cut")
ROUNDS = 6


async def hurt(cluster: simulated_cluster.SimulatedCluster, asking: operators.Operators, chance: random.Random) -> str:
    """Hurt the control group's primary once; what was done."""
    victim, how = cluster.leader(0) or cluster.cores[0], chance.choice(TROUBLES)
    asking.hurt.add(victim)
    if how == "freeze":
        cluster.loop.freeze(victim)
        await asyncio.sleep(chance.random() * 4)
        cluster.loop.thaw(victim)
    elif how == "cut":
        cluster.wire.cut([victim], [name for name in cluster.names() if name != victim])
        await asyncio.sleep(chance.random() * 5)
        cluster.wire.heal()
    else:
        getattr(cluster, how)(victim)
        await asyncio.sleep(chance.random() * 2)
        cluster.start(victim)
    await asyncio.sleep(1)
    asking.hurt.clear()
    return how


def race(seed: int) -> tuple[collections.Counter, list[str]]:
    """One race: what came of the orders, and what broke the rules.

    Once all is calm every order is sent again to nodes drawn by lot: what was taken is acknowledged again, what was
    refused is not, and what got no clear answer gets the one that the final chain of versions allows.
    """
    total: collections.Counter = collections.Counter()
    found: list[str] = []

    async def story(cluster: simulated_cluster.SimulatedCluster) -> None:
        chance = random.Random(seed)
        await cluster.until(cluster.formed, 30, "formed")
        points = operators.ControlPoints(cluster, cluster.cores)
        points.serve()
        await asyncio.sleep(5)
        asking = operators.Operators(cluster, random.Random(seed), points, LOSS)
        async with asyncio.TaskGroup() as group:
            for _ in range(OPERATORS // 2):
                group.create_task(asking.operate_in_pairs())
            group.create_task(asking.watch())
            for _ in range(ROUNDS):
                await asyncio.sleep(1 + chance.random() * 2)
                total[await hurt(cluster, asking, chance)] += 1
            await asyncio.sleep(2)
            asking.over = True
        await cluster.until(cluster.formed, 30, "formed")
        found.extend(operators.faults(asking))
        asking.loss, orders, asking.orders = 0.0, asking.orders, []
        for order in orders:
            total[f"unclear {order.valid}" if order.status == 0 else f"{order.status} {order.valid}"] += 1
            order.status = 0
            await asking.send(order)
            if order.status == 0:
                found.append(f"{order.version} on {order.condition} got no clear answer in calm times")
        await asking.read()
        found.extend(operators.faults(asking))
        taken = sum(order.taken() for order in orders)
        total["taken"] = taken
        if asking.reads[-1].document["config-revision"] != max(one.version for one in orders if one.taken()):
            found.append("the last read is not of the newest that was acknowledged")

    played = simulated_cluster.play(seed, story, size=SIZE, weather=wire.Weather(jitter=0.002), more=AS_DEPLOYED)
    found.extend(played.ended)
    return total, found


class DrainOperator:
    """Orders one machine to be drained until it hears a clear answer, and remembers all answers that nodes gave."""

    def __init__(self, asking: operators.Operators, machine: str, loss: float):
        self.asking = asking
        self.machine = machine
        self.loss = loss
        self.answers: list[int] = []

    async def order(self, within: float) -> int:
        """Send the order until a clear answer is heard; 0 when none was."""
        loop = self.asking.cluster.loop
        end = loop.time() + within
        while loop.time() < end:
            response = await self.asking.call("POST", f"/api/retire/{self.machine}", b'{"deadline-s": 10}')
            if response is not None:
                self.answers.append(response.status_code)
                if response.status_code != 503 and self.asking.chance.random() >= self.loss:
                    return response.status_code
            await asyncio.sleep(0.1 + 0.2 * self.asking.chance.random())
        return 0

    async def completed(self, within: float) -> bool:
        """Ask how far the machine is until it may be taken away."""
        loop = self.asking.cluster.loop
        end = loop.time() + within
        while loop.time() < end:
            response = await self.asking.call("GET", f"/api/retire/{self.machine}")
            if response is not None and response.status_code == 200 and response.json()["state"] == "completed":
                return True
            assert response is None or response.status_code in (200, 503), (self.machine, response.text)
            await asyncio.sleep(0.2)
        return False


def drain_race(seed: int) -> list[str]:
    """Orders to drain more machines than may go, at once, while the control primary is hurt; what broke the rules."""
    found: list[str] = []
    size = dataclasses.replace(SIZE, storages=5)

    async def story(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        points = operators.ControlPoints(cluster, cluster.cores)
        points.serve()
        await asyncio.sleep(5)
        copies = cluster.nodes[cluster.cores[0]].settings.copies
        asking = operators.Operators(cluster, random.Random(seed), points)
        draining = [DrainOperator(asking, name, LOSS) for name in cluster.storages]
        chance = random.Random(seed)
        async with asyncio.TaskGroup() as group:
            for each in draining:
                group.create_task(each.order(operators.PATIENCE))
            await asyncio.sleep(chance.random() * 0.2)
            await hurt(cluster, asking, chance)
        await cluster.until(cluster.formed, 30, "formed")
        await asyncio.sleep(5)
        for each in draining:
            each.loss = 0.0
            await each.order(operators.PATIENCE)
        taken = [each for each in draining if 200 in each.answers]
        for each in draining:
            clear = set(each.answers) - {503}
            if clear not in ({200}, {409}):
                found.append(f"{each.machine} got {each.answers}")
        if len(taken) != size.storages - copies:
            found.append(f"{len(taken)} of {size.storages} machines are drained where {copies} must stay")
        for each in taken:
            if not await each.completed(20.0):
                found.append(f"{each.machine} is not drained: {cluster.show()}")
                continue
            cluster.power_off(each.machine)
            cluster.storages.remove(each.machine)
            if await each.order(operators.PATIENCE) != 200 or not await each.completed(1.0):
                found.append(f"{each.machine} was removed and is not known any more: {each.answers}")

    weather = wire.Weather(jitter=0.002)
    played = simulated_cluster.play(seed, story, size=size, weather=weather, more=AS_DEPLOYED)
    found.extend(played.ended)
    return found


def races(*, first: int = 1, count: int = 20) -> None:
    """Run races over many seeds and print what came of each.

    :param first: the first seed
    :param count: how many seeds
    """
    broken = 0
    for seed in range(first, first + count):
        total, found = race(seed)
        found = found + drain_race(seed)
        broken += bool(found)
        print(seed, dict(total), found or "whole", flush=True)
    print(f"{count} races, {broken} broken")


if __name__ == "__main__":
    defopt.run(races)
