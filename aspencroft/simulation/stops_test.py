"""How processes end: at once, by ordinary ends, and by name if something will not."""

import asyncio
import collections

from aspencroft.cli import daemon
from aspencroft.runtime import supervision
from aspencroft.simulation import loop


def test_tasks_that_fail_in_the_moment_of_a_stop_end_and_a_stubborn_one_is_named():
    async def fails():
        try:
            await asyncio.Event().wait()
        finally:
            raise ValueError("at the same moment")

    async def work():
        async with supervision.Group() as group:
            group.create_task(fails())
            group.create_task(fails())

    async def stubborn():
        while True:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                if ended.is_set():
                    raise

    ended = asyncio.Event()

    async def scenario():
        standing = [asyncio.ensure_future(supervision.stand("work", work, collections.Counter())) for _ in range(3)]
        last = asyncio.ensure_future(stubborn())
        await asyncio.wait([last], timeout=0)
        left = await daemon.end([*standing, last])
        ended.set()
        return left == [last] and all(task.cancelled() for task in standing)

    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        assert runner.run(scenario())
