"""Standing tasks: work that a process does for as long as it lives, whatever it meets."""

import asyncio
import collections
import collections.abc

import logbook

from aspencroft.runtime import clock

LOG = logbook.Logger("runtime.supervision")
AGAIN = clock.seconds(0.5)


class Group(asyncio.TaskGroup):
    """A task group after which ``cancelling()`` tells just the cancellations that came from outside.

    Python 3.11's own leaves its cancellation of the parent counted for ever when a task fails while the
    parent already waits at the end of the block, and forgets one from outside that comes meanwhile.
    """

    async def __aexit__(self, kind, error, trace):
        counted = self._parent_cancel_requested
        try:
            return await super().__aexit__(kind, error, trace)
        finally:
            if self._parent_cancel_requested and not counted:
                self._parent_task.uncancel()


async def stand(
    name: str, work: collections.abc.Callable[[], collections.abc.Awaitable], counts: collections.Counter
) -> None:
    """Do work that never ends by itself; an unforeseen error is logged and counted, then it goes on."""
    while True:
        try:
            await work()
            return
        except Exception:
            heed()
            counts[name] += 1
            LOG.exception("{} met an unforeseen error and goes on", name)
        await clock.sleep(AGAIN)


def heed() -> None:
    """End this task if that was asked of it meanwhile.

    A task group whose task fails in the very moment in which the group is cancelled raises the failure and
    forgets the cancellation; whoever handles such a failure and goes on calls this first.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
