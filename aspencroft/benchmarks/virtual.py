"""An event loop whose clock leaps over idle time, and that books processor time to whoever ran."""

import asyncio
import collections
import contextvars
import heapq
import selectors
import time

OWNER: contextvars.ContextVar[str] = contextvars.ContextVar("owner", default="")


class Booked(asyncio.Handle):
    """A callback whose processor time is booked to the owner of its context."""

    __slots__ = ()

    def _run(self):
        began = time.thread_time()
        super()._run()
        self._loop.booked[self._context.get(OWNER, "")] += time.thread_time() - began


class BookedTimer(asyncio.TimerHandle):
    """A timed callback whose processor time is booked to the owner of its context."""

    __slots__ = ()

    def _run(self):
        began = time.thread_time()
        super()._run()
        self._loop.booked[self._context.get(OWNER, "")] += time.thread_time() - began


class Leap(selectors.SelectSelector):
    """A selector that never waits: it moves the loop's clock on to the next timer."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Move the clock on; nothing outside ever comes.

        Example: ``Leap().select(0.5) == []``
        """
        if timeout is None:
            raise RuntimeError("every task waits for something that no timer brings")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """The standard loop, tasks and timers, but with a clock that takes no time to wait.

    ``booked`` holds seconds of processor time by owner. A thousand nodes in one process keep their time-outs,
    as work that takes
    long does not make the clock run.
    """

    def __init__(self):
        self.leap = Leap()
        self.booked: collections.Counter = collections.Counter()
        super().__init__(self.leap)

    def time(self) -> float:
        """Virtual seconds."""
        return self.leap.now

    def call_soon(self, callback, *arguments, context=None):
        """Run a callback next."""
        handle = Booked(callback, arguments, self, context)
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *arguments, context=None):
        """Run a callback at a virtual time."""
        timer = BookedTimer(when, callback, arguments, self, context)
        heapq.heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer


def context_of(owner: str) -> contextvars.Context:
    """A context whose work is booked to an owner."""
    context = contextvars.copy_context()
    context.run(OWNER.set, owner)
    return context
