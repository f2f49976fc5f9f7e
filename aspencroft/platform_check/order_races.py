"""Races of operators in simulated fleets that lose most answers, while the control group's primary is hurt."""

import asyncio
import collections
import random

import defopt

from aspencroft.platform_check import operators
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

import settings_file

SIZE = simulated_cluster.Size(edges=2, storages=3, cores=5, apart=True)
AS_DEPLOYED = {"confirm": clock.seconds(settings_file.CONFIRM), "currency": clock.seconds(settings_file.CURRENCY)}
OPERATORS = 8
LOSS = 0.7
TROUBLES = ("kill", "power_off", "freeze", "cut")
ROUNDS = 6


async def hurt(one: simulated_cluster.SimulatedCluster, asking: operators.Operators, chance: random.Random) -> str:
    """Hurt the control group's primary once; what was done.

    Example: ``await hurt(one, asking, random.Random(1))``
    """
    victim, how = one.leader(0) or one.cores[0], chance.choice(TROUBLES)
    asking.hurt.add(victim)
    if how == "freeze":
        one.loop.freeze(victim)
        await asyncio.sleep(chance.random() * 4)
        one.loop.thaw(victim)
    elif how == "cut":
        one.wire.cut([victim], [name for name in one.names() if name != victim])
        await asyncio.sleep(chance.random() * 5)
        one.wire.heal()
    else:
        getattr(one, how)(victim)
        await asyncio.sleep(chance.random() * 2)
        one.start(victim)
    await asyncio.sleep(1)
    asking.hurt.clear()
    return how


def race(seed: int) -> tuple[collections.Counter, list[str]]:
    """One race: what came of the orders, and what broke the rules.

    Once all is calm every order is sent again to nodes drawn by lot: what was taken is acknowledged again, what was
    refused is not, and what got no clear answer gets the one that the final chain of versions allows.

    Example: ``race(1)[1] == []``
    """
    total: collections.Counter = collections.Counter()
    found: list[str] = []

    async def story(one: simulated_cluster.SimulatedCluster) -> None:
        chance = random.Random(seed)
        await one.until(one.formed, 30, "formed")
        points = operators.ControlPoints(one, one.cores)
        points.serve()
        await asyncio.sleep(5)
        asking = operators.Operators(one, random.Random(seed), points, LOSS)
        async with asyncio.TaskGroup() as group:
            for _ in range(OPERATORS):
                group.create_task(asking.operate())
            group.create_task(asking.watch())
            for _ in range(ROUNDS):
                await asyncio.sleep(1 + chance.random() * 2)
                total[await hurt(one, asking, chance)] += 1
            await asyncio.sleep(2)
            asking.over = True
        await one.until(one.formed, 30, "formed")
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


def races(*, first: int = 1, count: int = 20) -> None:
    """Run races over many seeds and print what came of each.

    :param first: the first seed
    :param count: how many seeds
    """
    broken = 0
    for seed in range(first, first + count):
        total, found = race(seed)
        broken += bool(found)
        print(seed, dict(total), found or "whole", flush=True)
    print(f"{count} races, {broken} broken")


if __name__ == "__main__":
    defopt.run(races)
