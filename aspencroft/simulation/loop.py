"""An asyncio loop whose clock and queue are a simpy environment; it freezes and kills nodes."""

import asyncio
import contextvars
import dataclasses
import weakref

import simpy

UNWIND = 2000
LIFE: contextvars.ContextVar["Life | None"] = contextvars.ContextVar("life", default=None)


@dataclasses.dataclass(frozen=True)
class Life:
    """One run of a node's process; a restart is another life."""

    node: str
    number: int


class SimTask(asyncio.Task):
    """A task with a hash that is the same in every run."""

    def __init__(self, *arguments, number: int, **named):
        self.number = number
        super().__init__(*arguments, **named)

    def __hash__(self):
        return self.number

    def __eq__(self, other):
        return self is other


class SimLoop(asyncio.BaseEventLoop):
    """Runs callbacks in simulated time; those of dead lives are dropped, of frozen nodes kept back."""

    def __init__(self):
        super().__init__()
        self.environment = simpy.Environment()
        self.lives: dict[str, int] = {}
        self.frozen: dict[str, list[asyncio.Handle]] = {}
        self.tasks: dict[Life, weakref.WeakSet] = {}
        self.graveyard: list[asyncio.Task] = []
        self.numbers = 0
        self.set_task_factory(self.make_task)
        self.set_exception_handler(self.note_exception)
        self.exceptions: list[str] = []
        self.burying = False
        self.dropped: list[asyncio.Handle] = []

    @staticmethod
    def make_task(loop: "SimLoop", coroutine, context: contextvars.Context | None = None) -> asyncio.Task:
        """Create a task that is known by its life."""
        loop.numbers += 1
        task = SimTask(coroutine, loop=loop, context=context, number=loop.numbers)
        life = context.get(LIFE) if context is not None else LIFE.get()
        if life is not None:
            loop.tasks.setdefault(life, weakref.WeakSet()).add(task)
        return task

    def note_exception(self, _: asyncio.AbstractEventLoop, context: dict) -> None:
        """Keep what went wrong in a task that nobody awaits."""
        if context.get("exception") is not None and not self.burying:
            self.exceptions.append(repr(context["exception"]))

    def time(self) -> float:
        """Simulated seconds."""
        return self.environment.now

    def plan_handle(self, handle: asyncio.Handle, delay: float) -> asyncio.Handle:
        """Queue a handle in the environment."""
        event = simpy.Timeout(self.environment, max(0.0, delay))
        event.callbacks.append(lambda _: self.run_handle(handle))
        return handle

    def run_handle(self, handle: asyncio.Handle) -> None:
        """Run a handle, unless its life is over or its node is frozen."""
        if handle.cancelled():
            return
        life = handle._context.get(LIFE)
        if life is not None and not self.burying:
            if self.lives.get(life.node) != life.number:
                self.dropped.append(handle)
                return
            if life.node in self.frozen:
                self.frozen[life.node].append(handle)
                return
        handle._run()

    def call_soon(self, callback, *arguments, context=None):
        """Run a callback at this simulated moment, after those queued before."""
        return self.plan_handle(asyncio.Handle(callback, arguments, self, context), 0.0)

    call_soon_threadsafe = call_soon

    def call_at(self, when, callback, *arguments, context=None):
        """Run a callback at a simulated time."""
        timer = asyncio.TimerHandle(when, callback, arguments, self, context)
        return self.plan_handle(timer, when - self.time())

    def call_later(self, delay, callback, *arguments, context=None):
        """Run a callback after simulated seconds."""
        return self.call_at(self.time() + delay, callback, *arguments, context=context)

    def _timer_handle_cancelled(self, handle):
        pass

    def _run_once(self):
        self.environment.step()

    def context_of(self, node: str) -> contextvars.Context:
        """A context in which work counts as a node's present life."""
        context = contextvars.copy_context()
        context.run(LIFE.set, Life(node, self.lives[node]))
        return context

    def begin(self, node: str) -> None:
        """Start a node's next life."""
        self.lives[node] = abs(self.lives.get(node, 0)) + 1

    def end(self, node: str) -> None:
        """End a node's life: none of its work goes on."""
        ended = Life(node, self.lives[node])
        self.lives[node] = -self.lives[node]
        self.dropped.extend(self.frozen.pop(node, ()))
        for task in list(self.tasks.pop(ended, ())):
            task._log_destroy_pending = False
            self.graveyard.append(task)

    def freeze(self, node: str) -> None:
        """Keep back all of a node's work."""
        self.frozen.setdefault(node, [])

    def thaw(self, node: str) -> None:
        """Let a frozen node go on where it was."""
        for handle in self.frozen.pop(node, []):
            self.plan_handle(handle, 0.0)

    def bury(self) -> None:
        """Cancel all that is left, ended lives too, and let it unwind, so that nothing is torn down later."""
        self.burying = True
        left = {task for task in (*asyncio.all_tasks(self), *self.graveyard) if not task.done()}
        for task in sorted(left, key=lambda one: one.number):
            task.cancel()
        for node in list(self.frozen):
            self.dropped.extend(self.frozen.pop(node))
        for handle in self.dropped:
            self.plan_handle(handle, 0.0)
        for _ in range(UNWIND):
            left = {task for task in left if not task.done()}
            if not left:
                break
            self.run_until_complete(asyncio.sleep(0))
        self.graveyard.clear()
