"""The quiet list under failure: machines that do not wake, are marked, swapped; holders that die between steps."""

import asyncio

from aspencroft.simulation import guarantees


def asleep(stage: guarantees.Stage) -> list:
    """The model workers that sleep."""
    return [one for one in stage.scene.world.models if one.asleep]


async def calm(stage: guarantees.Stage, count: int) -> None:
    """Wait in light traffic until so many machines sleep."""
    began, number = stage.scene.loop.time(), 0
    while len(asleep(stage)) < count:
        number += 1
        noted = await stage.ask(stage.scene.edges[number % 2], "catalogue", "x", program=f"c{began}-{number}")
        assert noted.ran == "done", noted
        await asyncio.sleep(1)
        assert stage.scene.loop.time() - began < 90, [one.counts for one in stage.scene.world.models]


async def crowd(stage: guarantees.Stage, name: str, count: int) -> list:
    """Many programs' first turns at once."""
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(
                stage.ask(stage.scene.edges[number % 2], "catalogue", f"long {number}", program=f"{name}-{number}")
            )
            for number in range(count)
        ]
    return [task.result() for task in tasks]
