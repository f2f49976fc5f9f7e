"""What both programs share: settings, the log, the HTTP server, signals, graceful shutdown."""

import asyncio
import collections.abc
import contextlib
import importlib
import os
import signal
import socket
import sys

import logbook
import uvicorn

from aspencroft.cli import lazy_application, process_signals, settings_reload
from aspencroft.node import node, settings
from aspencroft.runtime import allocator, boottime, clock, environment, events, node_log, supervision

LEADERSHIP_TRANSFER_TIMEOUT = clock.seconds(4)
LAST_WORDS = clock.seconds(0.3)
HTTP_SHUTDOWN_TIMEOUT = clock.seconds(2)
CANCEL_TIMEOUT = clock.seconds(3)
STUCK_EXIT_CODE = 70
WAKE_BYTES = 4096
LOG = logbook.Logger("cli.daemon")


class Server(uvicorn.Server):
    """uvicorn without its own signal handling: the daemon decides when to stop."""

    @contextlib.contextmanager
    def capture_signals(self) -> collections.abc.Iterator[None]:
        """Leave signals alone."""
        yield


def server_of(own: node.Node, more: list) -> Server:
    """The HTTP server of a node, not yet started; the operator's interface is loaded when it is first asked."""

    def application() -> collections.abc.Callable:
        return importlib.import_module("aspencroft.node.operator_api").application(own, more)

    host, port = own.settings.http.rsplit(":", 1)
    return Server(
        uvicorn.Config(
            lazy_application.LazyApplication(application),
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


@contextlib.contextmanager
def signals_handled(
    received: process_signals.ProcessSignals,
    on_stop: collections.abc.Callable[[], None],
    on_reload: collections.abc.Callable[[], None],
) -> collections.abc.Iterator[None]:
    """Have the event loop act on signals, those that came before it ran included.

    The handlers themselves are never taken away, as ``loop.add_signal_handler`` does when a loop is closed: a signal
    between that and the end of the process would end it with a code of its own.
    """

    def act() -> None:
        with contextlib.suppress(BlockingIOError):
            waking.recv(WAKE_BYTES)
        if received.stop:
            on_stop()
        if received.take_reload():
            on_reload()

    loop = asyncio.get_running_loop()
    waking, woken = socket.socketpair()
    waking.setblocking(False)
    woken.setblocking(False)
    loop.add_reader(waking, act)
    before = signal.set_wakeup_fd(woken.fileno(), warn_on_full_buffer=False)
    try:
        act()
        yield
    finally:
        signal.set_wakeup_fd(before)
        loop.remove_reader(waking)
        waking.close()
        woken.close()


async def started(own: node.Node, stop: asyncio.Event) -> bool:
    """Wait until a node has started; false when it is to stop before."""
    waits = [asyncio.ensure_future(own.started.wait()), asyncio.ensure_future(stop.wait())]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for one in waits:
            one.cancel()
    return not stop.is_set()


async def live(
    own: node.Node,
    more: list,
    works: list[collections.abc.Callable],
    drain: collections.abc.Callable,
    reload: settings_reload.SettingsReload,
) -> None:
    """Run a node, its HTTP server and its program's own work until a signal comes, then stop gracefully."""
    stop = asyncio.Event()
    with signals_handled(process_signals.RECEIVED, stop.set, reload.reload):
        async with supervision.Group() as group:
            group.create_task(own.run())
            group.create_task(reload.watch())
            if await started(own, stop):
                server = server_of(own, more)
                serving = group.create_task(server.serve())
                for work in works:
                    group.create_task(work())
                await stop.wait()
                report_stop(own, events.Event.STOP_BEGUN, "stop begun: it drains and hands its groups over")
                await hand_over_work(own, drain)
                server.should_exit = True
                await asyncio.wait([serving], timeout=HTTP_SHUTDOWN_TIMEOUT.total_seconds())
            left = await end([task for task in asyncio.all_tasks() if task is not asyncio.current_task()])
            if left:
                LOG.error(
                    "shutdown: cancelled tasks did not end, exiting: {}",
                    [task.get_stack() for task in left],
                )
                leave(left)
            report_stop(own, events.Event.STOP_ENDED, "stop ended: all its tasks are over")


def report_stop(own: node.Node, event: events.Event, text: str) -> None:
    """Log a step of this node's stop."""
    events.report(LOG, events.EventFields(event, member=own.address), "node {}: {}", own.address, text)


async def hand_over_work(own: node.Node, drain: collections.abc.Callable) -> None:
    """Announce that this node leaves, let its requests end and other nodes take over its replication groups."""
    own.stopping.set()
    own.failure_detector.leave()
    async with supervision.Group() as ending:
        ending.create_task(drain())
        ending.create_task(transfer_leadership(own))
    await clock.sleep(LAST_WORDS)


def leave(left: list[asyncio.Task]) -> None:
    """Exit at once with ``STUCK_EXIT_CODE``, after printing the stacks of the tasks that did not end.

    What must last was synced before it was answered, so nothing is lost.
    """
    for task in left:
        task.print_stack()
    print(f"{len(left)} tasks did not end; leaving with code {STUCK_EXIT_CODE}", file=sys.stderr)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(STUCK_EXIT_CODE)


async def end(tasks: list[asyncio.Task]) -> list[asyncio.Task]:
    """Cancel tasks once and wait for them; returns those that did not end within ``CANCEL_TIMEOUT``."""
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT.total_seconds())
    return [task for task in tasks if not task.done()]


async def transfer_leadership(own: node.Node) -> None:
    """Wait until this node is primary of no replication group, at most ``LEADERSHIP_TRANSFER_TIMEOUT``."""
    end = clock.now() + LEADERSHIP_TRANSFER_TIMEOUT
    while clock.now() < end and any(
        held.known is not None and held.known.primary == held.me() for held in own.group_replicas.values()
    ):
        await clock.sleep(LAST_WORDS / 4)


def open_log(place: settings.Settings) -> node_log.NodeLog:
    """The log of this process: in the file ``place.log``, which is made with the first line, or on standard error."""
    if place.log is None:
        return node_log.NodeLog(logbook.StreamHandler(sys.stderr, level=logbook.DEBUG))
    place.log.parent.mkdir(parents=True, exist_ok=True)
    return node_log.NodeLog(logbook.FileHandler(str(place.log), level=logbook.DEBUG, delay=True))


def start(
    place_file: str,
    flags: dict,
    build: collections.abc.Callable[[node.Node], tuple[list, list, collections.abc.Callable]],
) -> None:
    """Run a node with a settings file, overruled by flags; bad settings end the program with one line."""
    given = {name: value for name, value in flags.items() if value}
    begin(settings_reload.SettingsSource(place_file, lambda: settings.read(place_file, given)), build)


def begin(
    source: settings_reload.SettingsSource,
    build: collections.abc.Callable[[node.Node], tuple[list, list, collections.abc.Callable]],
) -> None:
    """Run a node with the settings of a source; bad ones end the program with one line.

    A stop that was asked for while the program was loaded ends it before anything is begun.
    """
    process_signals.RECEIVED.install()
    allocator.return_large_blocks()
    try:
        place = source.read()
    except settings.BadSettings as error:
        sys.exit(f"bad settings: {error}")
    if process_signals.RECEIVED.stop:
        return

    async def whole() -> None:
        own = node.Node(place, environment.machine())
        own.log = log
        reload = settings_reload.SettingsReload(own, source)
        more, works, drain = build(own)
        await live(own, more, works, drain, reload)

    log = open_log(place)
    with log.applicationbound(), contextlib.closing(log):
        try:
            with asyncio.Runner(loop_factory=boottime.BoottimeLoop) as runner:
                runner.run(whole())
        except BaseException as error:
            LOG.exception("the program ends after an unhandled exception")
            sys.exit(f"ended by a fault: {error!r}")
