"""The quiet list under failure: machines that do not wake, are marked, swapped; holders that die between steps."""

import asyncio

from aspencroft.simulation import guarantees


def asleep(harness: guarantees.ClusterHarness) -> list:
    """The model workers that sleep."""
    return [one for one in harness.cluster.world.models if one.asleep]


async def calm(harness: guarantees.ClusterHarness, count: int) -> None:
    """Wait in light traffic until so many machines sleep."""
    began, number = harness.cluster.loop.time(), 0
    while len(asleep(harness)) < count:
        number += 1
        noted = await harness.ask(harness.cluster.edges[number % 2], "catalogue", "x", program=f"c{began}-{number}")
        assert noted.ran == "done", noted
        await asyncio.sleep(1)
        assert harness.cluster.loop.time() - began < 90, [one.counts for one in harness.cluster.world.models]


async def crowd(harness: guarantees.ClusterHarness, name: str, count: int) -> list:
    """Many programs' first turns at once."""
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(
                harness.ask(
                    harness.cluster.edges[number % 2], "catalogue", f"long {number}", program=f"{name}-{number}"
                )
            )
            for number in range(count)
        ]
    return [task.result() for task in tasks]
