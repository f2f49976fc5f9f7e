"""What opaque calls cost each role: the simulated world's own edges, storage and core.

By processor time booked to each node.
"""

import asyncio
import collections
import dataclasses
import random
import sys
import time

import defopt

from aspencroft.benchmarks import slopes
from aspencroft.simulation import forwarding, loop, simulated_cluster

ROLES = ("edge", "storage", "core")
MORE_WORKERS = 6


def book(world: forwarding.World) -> collections.Counter:
    """Book the processor time of every callback to the node in whose life it runs, from now on."""
    booked: collections.Counter = collections.Counter()
    plain = world.loop.run_handle

    def run_handle(handle) -> None:
        life = handle._context.get(loop.LIFE)
        began = time.thread_time()
        plain(handle)
        booked[life.node if life is not None else ""] += time.thread_time() - began

    world.loop.run_handle = run_handle
    return booked


def of_roles(booked: collections.Counter) -> dict[str, float]:
    """Processor seconds by role."""
    return {role: sum(spent for name, spent in booked.items() if name.split("-")[0] == role) for role in ROLES}


def run(seed: int, rate: float, tokens: int, seconds: float) -> dict:
    """A calm world under so many programs a second; counts and processor seconds, those of idling taken off."""
    found: dict = {"rate": rate, "tokens a turn": tokens}

    async def story(world: forwarding.World) -> None:
        booked = book(world)
        day = forwarding.Day(world, random.Random(seed), (), 0, False, rate)
        await world.until(world.formed, 30, "formed")
        await day.operator.first()
        await world.until(world.whole, 20, "ready")
        await asyncio.sleep(3)
        before = of_roles(booked)
        await asyncio.sleep(10)
        idle = {role: (spent - before[role]) / 10 for role, spent in of_roles(booked).items()}
        habits = tuple((dataclasses.replace(habit, tokens=tokens), each * rate) for habit, each in forwarding.HABITS)
        began, before = world.loop.time(), of_roles(booked)
        traffic = asyncio.ensure_future(day.agents.run(habits, lambda: day.over))
        await asyncio.sleep(seconds)
        day.over = True
        await asyncio.wait([traffic])
        span = world.loop.time() - began
        spent = {role: now - before[role] - idle[role] * span for role, now in of_roles(booked).items()}
        tries = day.agents.tries
        events = sum(bytes(one.heard).count(b"\n\n") for one in tries)
        found.update(
            {
                "tries": len(tries),
                "good": sum(one.good() for one in tries),
                "kept turns": sum(one.use.retained for one in tries),
                "events a try": events / len(tries),
                "tries a second": len(tries) / span,
            }
        )
        for role in ROLES:
            found[f"{role}, idle % of a core"] = (
                100 * idle[role] / sum(name.split("-")[0] == role for name in world.names())
            )
            found[f"{role}, ms a try"] = 1000 * spent[role] / len(tries)

    kept = forwarding.FLEET
    forwarding.FLEET = tuple((service, work, count * MORE_WORKERS) for service, work, count in kept)
    try:
        forwarding.play(seed, story, simulated_cluster.Size(3, 3, 3, apart=True))
    finally:
        forwarding.FLEET = kept
    return found


def calls(
    *,
    rates: list[float] = (1.0, 2.0, 4.0, 8.0),
    tokens: list[int] = (20, 60, 200, 600),
    seconds: float = 10,
    repeats: int = 3,
    seed: int = 1,
) -> None:
    """Cost of a caller's try at edge, storage and core, by rate and by tokens a turn, in a calm simulated world.

    Prints JSON.

    Booked: forwarding, the workers' wire, streams, histories, keys, links, groups' commits.
    Not booked: the callers' HTTP at the
    front, the kernel's sockets and syncs.

    :param rates: programs started, as a multiple of the stand-ins' habits (2.4 a second), at 60 tokens a turn
    :param tokens: tokens a turn puts out, at rate 2; an event carries ten
    :param seconds: virtual seconds of traffic
    :param repeats: seeds for each rate
    :param seed: the first seed
    """
    slopes.bounded(list(rates), 0.01, 100)
    slopes.bounded(list(tokens), 1, 10_000)
    if not 1 <= seconds <= 600:
        sys.exit("seconds: from 1 to 600")
    rows = []
    for rate, count in [*((rate, 60) for rate in rates), *((2.0, count) for count in tokens)]:
        clock = slopes.Clock()
        for turn in range(repeats):
            for name, value in run(seed + turn, rate, count, seconds).items():
                clock.note(name, value)
        rows.append(clock.shown())
    slopes.table("calls", seed, rows)


if __name__ == "__main__":
    defopt.run(calls, cli_options="has_default")
