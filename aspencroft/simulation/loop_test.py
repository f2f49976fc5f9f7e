"""Tests of ``aspencroft.simulation.loop``."""

import asyncio

import aspencroft.simulation.loop as loop_module


def test_frozen_work_waits_and_ended_work_stops():
    loop = loop_module.SimLoop()
    seen = []

    async def work(name):
        while True:
            await asyncio.sleep(1)
            seen.append((loop.time(), name))

    async def scenario():
        for node in ("a", "b"):
            loop.begin(node)
            loop.create_task(work(node), context=loop.context_of(node))
        await asyncio.sleep(1.5)
        loop.freeze("a")
        loop.end("b")
        await asyncio.sleep(2)
        loop.thaw("a")
        await asyncio.sleep(0.2)

    loop.run_until_complete(scenario())
    loop.end("a")
    loop.bury()
    assert seen == [(1.0, "a"), (1.0, "b"), (3.5, "a")]
