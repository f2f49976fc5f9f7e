"""Tests of work that a cancellation does not break off."""

import asyncio
import threading

import pytest

from aspencroft.runtime import environment, uninterrupted
from aspencroft.simulation import loop


def test_a_cancelled_caller_ends_only_when_the_work_is_done():
    async def scenario() -> None:
        steps = []

        async def work() -> None:
            await asyncio.sleep(1)
            steps.append("written")

        caller = asyncio.ensure_future(uninterrupted.finish(work()))
        await asyncio.sleep(0.1)
        for _ in range(3):
            caller.cancel()
            await asyncio.sleep(0.1)
        assert not caller.done() and not steps
        with pytest.raises(asyncio.CancelledError):
            await caller
        assert steps == ["written"]

    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(scenario())


def test_result_and_failure_are_handed_on():
    async def scenario() -> None:
        async def answer(value: int) -> int:
            if not value:
                raise OSError("no space")
            return value

        assert await uninterrupted.finish(answer(3)) == 3
        with pytest.raises(OSError):
            await uninterrupted.finish(answer(0))

    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(scenario())


def test_a_disk_keeps_its_caller_until_the_thread_is_done():
    async def scenario() -> None:
        machine, begun, release = environment.FileDisk(), threading.Event(), threading.Event()
        lock = asyncio.Lock()

        def write() -> None:
            begun.set()
            release.wait()

        async def writer() -> None:
            async with lock:
                await machine.perform(write)

        one = asyncio.ensure_future(writer())
        await asyncio.get_running_loop().run_in_executor(None, begun.wait)
        one.cancel()
        for _ in range(10):
            await asyncio.sleep(0)
        assert lock.locked()
        release.set()
        with pytest.raises(asyncio.CancelledError):
            await one
        assert not lock.locked()

    asyncio.run(scenario())
