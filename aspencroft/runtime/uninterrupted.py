"""Work that is finished once begun, also when the task that waits for it is cancelled."""

import asyncio
import collections.abc


async def finish(work: collections.abc.Coroutine):
    """Run a coroutine to its end; a cancellation of the caller takes effect only then.

    A thread that writes to a disk cannot be called back. Whoever holds a lock around such a write must keep it until
    the write is over, and must record what was written, or the next writer meets bytes that nobody knows of.
    """
    task = asyncio.ensure_future(work)
    cancelled: asyncio.CancelledError | None = None
    while not task.done():
        try:
            await asyncio.wait((task,))
        except asyncio.CancelledError as error:
            cancelled = error
    if cancelled is None:
        return task.result()
    if not task.cancelled():
        task.exception()
    raise cancelled
