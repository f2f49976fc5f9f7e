"""Tests of ``aspencroft.runtime.supervision``."""

import asyncio
import collections
import collections.abc

from aspencroft.runtime import supervision


def test_an_unforeseen_error_is_counted_and_the_work_goes_on():
    class Instant(asyncio.SelectorEventLoop):
        def time(self):
            self.steps = getattr(self, "steps", 0.0) + 1.0
            return self.steps

    goes, counts = [], collections.Counter()

    async def work():
        goes.append(1)
        if len(goes) == 1:
            raise ValueError("odd")
        if len(goes) == 2:
            raise ExceptionGroup("both", [KeyError("a"), TypeError("b")])

    with asyncio.Runner(loop_factory=Instant) as runner:
        runner.run(supervision.stand("work", work, counts))
    assert len(goes) == 3 and counts["work"] == 2


def test_a_failure_leaves_no_cancellation_behind():
    async def fails():
        raise ValueError("at once")

    async def scenario():
        counts = []
        for _ in range(3):
            try:
                async with supervision.Group() as group:
                    group.create_task(fails())
            except* ValueError:
                counts.append(asyncio.current_task().cancelling())
        return counts

    assert asyncio.run(scenario()) == [0, 0, 0]


def test_a_cancellation_in_the_moment_of_a_failure_is_heeded():
    held = []

    async def fails():
        try:
            await asyncio.Event().wait()
        finally:
            raise ValueError("at the same moment")

    async def work():
        async with supervision.Group() as group:
            group.create_task(fails())

    async def scenario():
        task = asyncio.ensure_future(supervision.stand("work", work, collections.Counter()))
        held.append(task)
        await asyncio.wait([task], timeout=0)
        task.cancel()
        await asyncio.wait([task], timeout=5)
        return task.done() and task.cancelled()

    assert asyncio.run(scenario())
