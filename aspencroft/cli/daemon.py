"""What both programs share: settings, the log ring, the HTTP server, signals, a graceful stop."""

import asyncio
import collections.abc
import contextlib
import os
import signal
import sys

import logbook
import uvicorn

from aspencroft.node import node, operator, settings
from aspencroft.runtime import boottime, clock, environment, supervision

RING = 2000
HAND_OVER = clock.seconds(4)
LAST_WORDS = clock.seconds(0.3)
SERVED = clock.seconds(2)
ENDING = clock.seconds(3)
STUCK = 70
LOG = logbook.Logger("daemon")


class Server(uvicorn.Server):
    """uvicorn without its own signal handling: the daemon decides when to stop."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave signals alone.

        Example: ``with server.capture_signals(): ...``
        """
        yield


def server_of(own: node.Node, more: list) -> Server:
    """The HTTP server of a node, not yet started.

    Example: ``await server_of(own, []).serve()``
    """
    host, port = own.settings.http.rsplit(":", 1)
    return Server(
        uvicorn.Config(
            operator.application(own, more),
            host=host,
            port=int(port),
            log_config=None,
            access_log=False,
            lifespan="off",
            timeout_keep_alive=20,
            timeout_graceful_shutdown=1,
            backlog=1024,
        )
    )


async def live(
    own: node.Node, more: list, works: list[collections.abc.Callable], drain: collections.abc.Callable
) -> None:
    """Run a node, its HTTP server and its program's own work until a signal comes, then stop gracefully.

    Example: ``await live(own, [], [duty.run], drain)``
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = server_of(own, more)
    async with supervision.Group() as group:
        tasks = [group.create_task(own.run())]
        await own.started.wait()
        serving = group.create_task(server.serve())
        tasks.extend(group.create_task(work()) for work in works)
        await stop.wait()
        own.stopping.set()
        own.ring.leave()
        async with supervision.Group() as ending:
            ending.create_task(drain())
            ending.create_task(transfer_leadership(own))
        await clock.sleep(LAST_WORDS)
        server.should_exit = True
        await asyncio.wait([serving], timeout=SERVED.total_seconds())
        left = await end([task for task in asyncio.all_tasks() if task is not asyncio.current_task()])
        if left:
            LOG.error("did not end: {}", [task.get_stack() for task in left])
            leave(left)


def leave(left: list[asyncio.Task]) -> None:
    """The last resort of a stop: say which tasks would not end, and leave with a code of its own.

    What must last was synced before it was answered, so nothing is lost.

    Example: ``leave(left)``
    """
    for task in left:
        task.print_stack()
    print(f"{len(left)} tasks did not end; leaving with code {STUCK}", file=sys.stderr)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(STUCK)


async def end(tasks: list[asyncio.Task]) -> list[asyncio.Task]:
    """Cancel tasks once and let them end; those that did not in time are handed back.

    Example: ``left = await end(tasks)``
    """
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=ENDING.total_seconds())
    return [task for task in tasks if not task.done()]


async def transfer_leadership(own: node.Node) -> None:
    """Wait until this node leads no pair, or the time for it is over.

    Example: ``await hand_over(own)``
    """
    end = clock.now() + HAND_OVER
    while clock.now() < end and any(
        held.known is not None and held.known.primary == held.me() for held in own.hosts.values()
    ):
        await clock.sleep(LAST_WORDS / 4)


def log_ring(place: settings.Settings) -> logbook.Handler:
    """A ring of log lines in memory, written out once something goes wrong.

    Example: ``with log_ring(place).applicationbound(): ...``
    """
    if place.log is not None:
        place.log.parent.mkdir(parents=True, exist_ok=True)
        inner = logbook.FileHandler(str(place.log), level=logbook.DEBUG, delay=True)
    else:
        inner = logbook.StreamHandler(sys.stderr, level=logbook.DEBUG)
    return logbook.FingersCrossedHandler(
        inner, action_level=logbook.WARNING, buffer_size=RING, pull_information=False, reset=True
    )


def start(
    place_file: str,
    flags: dict,
    build: collections.abc.Callable[[node.Node], tuple[list, list, collections.abc.Callable]],
) -> None:
    """Check settings, then live; bad settings end the program with a clear line.

    Example: ``start("node.toml", {}, build)``
    """
    try:
        place = settings.read(place_file, {name: value for name, value in flags.items() if value})
    except settings.BadSettings as error:
        sys.exit(f"bad settings: {error}")
    begin(place, build)


def begin(
    place: settings.Settings,
    build: collections.abc.Callable[[node.Node], tuple[list, list, collections.abc.Callable]],
) -> None:
    """Live in a place whose settings were checked.

    Example: ``begin(settings.read("node.toml"), build)``
    """

    async def whole() -> None:
        own = node.Node(place, environment.machine())
        more, works, drain = build(own)
        await live(own, more, works, drain)

    with log_ring(place).applicationbound():
        try:
            with asyncio.Runner(loop_factory=boottime.BoottimeLoop) as runner:
                runner.run(whole())
        except BaseException as error:
            if isinstance(error, KeyboardInterrupt):
                return
            LOG.exception("the program ends")
            sys.exit(f"ended by a fault: {error!r}")
