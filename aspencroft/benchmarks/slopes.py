"""Slopes: what parts of the product cost against the size of what they hold, each at several sizes, with spread."""

import asyncio
import gc
import json
import logging
import os
import pathlib
import random
import shutil
import statistics
import sys
import tempfile
import time
import tracemalloc
import types

import defopt

from aspencroft.configuration import control_state, resources
from aspencroft.proxy import instance, instances
from aspencroft.residency import keep_plan, residency, tap
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages
from aspencroft.storage import data_file, store
from aspencroft.transport import codec
from aspencroft.workers import adapter, list_reader, worker

ROUTES = [100, 1000, 10_000, 100_000]
WORKERS = [10, 100, 1000, 6600]
PROGRAMS = [100, 1000, 10_000, 100_000]
TURNS = [1, 10, 60, 180]
ITEMS = [100, 1000, 10_000, 50_000]
SERVICES = 9
KEPT_A_WORKER = 24


class Clock:
    """Processor milliseconds of pieces of work, by name, over repeats."""

    def __init__(self):
        self.rows: dict[str, list[float]] = {}

    def __call__(self, name: str, work, count: int = 1):
        """Time a piece of work that is done so many times within; what it gave."""
        gc.collect()
        began = time.process_time()
        found = work()
        self.rows.setdefault(name, []).append((time.process_time() - began) * 1000 / count)
        return found

    def memory(self, name: str, work, scale: float):
        """Note the memory that a piece of work's result holds, by the interpreter's own count, divided by a scale."""
        gc.collect()
        tracemalloc.start()
        found = work()
        gc.collect()
        self.note(name, tracemalloc.get_traced_memory()[0] / scale)
        tracemalloc.stop()
        return found

    def note(self, name: str, value: float) -> None:
        """Note a figure that is no time."""
        self.rows.setdefault(name, []).append(value)

    def shown(self) -> dict:
        """Least, median and most of each row."""
        return {
            name: [float(f"{one:.4g}") for one in (min(row), statistics.median(row), max(row))]
            for name, row in self.rows.items()
        }


def table(name: str, seed: int, rows: list[dict]) -> None:
    """Print a slope's rows, least, median and most of each figure, as one JSON object."""
    print(
        json.dumps(
            {
                "slope": name,
                "seed": seed,
                "machine": {"cores": os.cpu_count(), "load": round(os.getloadavg()[0], 1)},
                "rows": rows,
            },
            indent=None if len(rows) > 40 else 1,
        ),
        flush=True,
    )


def bounded(sizes: list[int], least: int, most: int) -> None:
    """End the program when a size is out of bounds."""
    if not sizes or not all(least <= one <= most for one in sizes):
        sys.exit(f"sizes: from {least} to {most} each")


def document_of(routes: int, chance: random.Random) -> dict:
    """A configuration of so many routes over the users' nine models, eight prefixes a host.

    Example: ``len(document_of(100, random.Random(1))["http_routes"]) == 100``
    """
    services = {f"model-{number}": {"kind": "model", "size": 15_000_000_000} for number in range(SERVICES)}
    made = {}
    for number in range(routes):
        first, second = chance.sample(sorted(services), 2)
        made[f"route-{number}"] = {
            "host": f"tenant-{number // 8}.example",
            "prefix": f"/v{number % 8}/",
            "kind": "stream",
            "targets": [{"service": first, "weight": 90.0}, {"service": second, "weight": 10.0}],
            "timeout": 30.0,
            "aim": 0.77,
            "attempts": 2,
            "retained": True,
            "keep": 600.0,
        }
    return {"services": services, "http_routes": made}


def configuration(*, sizes: list[int] = ROUTES, repeats: int = 3, seed: int = 1) -> None:
    """The configuration against its number of routes: checking, typing, one change, matching, bytes and memory.

    :param sizes: numbers of routes
    :param repeats: how often each size is measured
    :param seed: of the made-up routes
    """
    bounded(sizes, 1, 150_000)
    rows = []
    for size in sizes:
        timer = Clock()
        for turn in range(repeats):
            document = document_of(size, random.Random(seed + turn))
            resources.check_resource_cached.cache_clear()
            faults = timer("check the whole, ms", lambda: resources.check(document))
            if faults:
                sys.exit(f"the made-up configuration is refused: {faults[0]}")
            typed = timer("type the whole, ms", lambda: resources.of(document))
            timer.memory("memory of the document, MB", lambda: json.loads(json.dumps(document)), 1e6)
            timer.memory("memory of the typed view, MB", lambda: resources.of(document), 1e6)
            timer.note("document, bytes", len(json.dumps(document)))
            one = {**document["http_routes"]["route-7"], "timeout": 31.0 + turn}
            patch = {"http_routes": {"route-7": one}}
            fresh = timer("merge one route, ms", lambda: resources.merge(document, patch))
            timer("type one changed route, ms", lambda: resources.with_patch(typed, fresh, patch, 1))
            view = control_state.ControlState()
            body = json.dumps(document)
            events, _ = timer(
                "control: decide the whole, ms",
                lambda: view.decide(control_state.WriteResources("whole", "", "", body, None), clock.ZERO, 1),
            )
            timer("control: fold the whole, ms", lambda: [view.apply(event) for event in events])
            small = control_state.WriteResources("merge", "", "", json.dumps(patch), None)
            events, _ = timer("control: decide one route, ms", lambda: view.decide(small, clock.ZERO, 1))
            timer("control: fold one route, ms", lambda: [view.apply(event) for event in events])
            timer("control: picture, ms", view.snapshot)
            table_of = typed.route_table
            hosts = [
                (f"tenant-{number % max(1, size // 8)}.example", f"/v{number % 8}/a/b") for number in range(10_000)
            ]
            timer("match a request, ms", lambda: [table_of.match(host, path) for host, path in hosts], 10_000)
        rows.append({"routes": size, **timer.shown()})
    table("configuration", seed, rows)


def believed(workers: int, programs: int, chance: random.Random) -> residency.Residency:
    """A residency duty that believes so many workers full of parked KV, and has heard so many programs."""
    services = {f"model-{number}": {"kind": "model", "size": 15_000_000_000} for number in range(SERVICES)}
    typed = resources.of({"services": services, "lanes": {"chat": {"kind": "turns", "services": sorted(services)}}})
    relays = types.SimpleNamespace(configuration=typed, topics={})
    own = types.SimpleNamespace(
        address="core-0:1",
        incarnation=1,
        singleton_roles={},
        relay=relays,
        submit=None,
        detector=types.SimpleNamespace(peers={}),
        control=lambda name, otherwise: otherwise,
    )
    duty = residency.Residency(own, None)
    names = sorted(services)
    duty.workers = tuple(
        worker.Worker(
            f"w{number}",
            f"http://10.0.{number // 250}.{number % 250}:80",
            worker.MODEL,
            (names[number % SERVICES],),
            False,
            72_000_000_000,
            8,
        )
        for number in range(workers)
    )
    now = clock.seconds(100)
    for number in range(programs):
        duty.signals.called(f"p{number}", chance.choice(names), now - clock.seconds(chance.random() * 60))
        if chance.random() < 0.3:
            duty.signals.intend(f"p{number}", tap.Intent((chance.choice(names),)), now)
    for one in duty.workers:
        kept = {
            keep_plan.key("model", one.services[0]): adapter.Kept(
                keep_plan.key("model", one.services[0]), 15_000_000_000, 0, keep_plan.DEVICE, 0
            )
        }
        for _ in range(KEPT_A_WORKER):
            name = f"kv:p{chance.randrange(max(1, programs))}"
            tokens = chance.randrange(1000, 30_000)
            kept[name] = adapter.Kept(name, tokens * 131_072, tokens, keep_plan.DEVICE, 0)
        duty.beliefs[one.name] = residency.Belief(kept, {}, one.memory, True)
    return duty


def residency_solve(
    *, workers: list[int] = WORKERS, programs: list[int] = PROGRAMS, repeats: int = 3, seed: int = 1
) -> None:
    """One solution of the residency duty against workers (1,000 programs) and against programs (100 workers).

    :param workers: numbers of workers
    :param programs: numbers of programs heard of
    :param repeats: how often each size is measured
    :param seed: of the made-up beliefs
    """
    bounded(workers, 1, 10_000)
    bounded(programs, 1, 1_000_000)
    rows = []
    for kind, sizes in (("workers", workers), ("programs", programs)):
        for size in sizes:
            timer, pair = Clock(), (size, 1000) if kind == "workers" else (100, size)
            for turn in range(1 if size * pair[0] > 2_000_000 else repeats):
                duty = believed(*pair, random.Random(seed + turn))
                timer("one solution, ms", lambda: duty.decide(clock.seconds(100)))
                names = tuple(sorted(duty.node.relay.configuration.services))
                timer(
                    "reuse of one service, ms",
                    lambda: duty.signals.reuse(names[0], names, residency.WINDOW, clock.seconds(100)),
                )
                timer.note(
                    "keep plans, bytes",
                    len(json.dumps({name: [one.target, one.ready, one.protected] for name, one in duty.keeps.items()})),
                )
            rows.append({"workers": pair[0], "programs": pair[1], **timer.shown()})
    table("residency", seed, rows)


def turned(programs: int, turns: int, size: int, chance: random.Random) -> call_sessions.CallSessions:
    """A ledger of so many programs of so many turns each, with so many bytes a turn."""
    held, now = call_sessions.CallSessions(), clock.ZERO
    for number in range(programs):
        previous = ""
        for turn in range(turns):
            attempt = f"p{number}-t{turn}"
            begin = begun(f"p{number}", attempt, previous)
            for event in held.decide(begin, now)[0]:
                held.apply(event)
            ending = entry.EndTurn(
                f"p{number}",
                "s",
                attempt,
                messages.DONE,
                chance.randbytes(size // 2),
                chance.randbytes(size - size // 2),
                100,
                "i-1",
            )
            for event in held.decide(ending, now)[0]:
                held.apply(event)
            previous = attempt
    return held


def begun(program: str, attempt: str, previous: str) -> entry.BeginTurn:
    """The start of a turn, from an edge that holds nothing of its chain."""
    return entry.BeginTurn(
        program,
        "s",
        attempt,
        previous,
        100,
        10_000_000,
        True,
        clock.seconds(600),
        clock.seconds(30),
        "edge-0:1 1",
        "",
        (),
    )


def talk_state(
    *,
    programs: list[int] = (100, 1000, 10_000, 50_000),
    turns: list[int] = TURNS,
    sizes: list[int] = (100, 1000, 10_000, 100_000),
    repeats: int = 3,
    seed: int = 1,
) -> None:
    """A session group's ledger against programs (one turn of 400 bytes), turns in a chain, and bytes of a turn.

    :param programs: numbers of programs
    :param turns: turns of one program, of 4,000 bytes each
    :param sizes: bytes a turn, 20 programs of 10 turns
    :param repeats: how often each size is measured
    :param seed: of the made-up histories
    """
    bounded(list(programs), 1, 99_000)
    bounded(list(turns), 1, 3000)
    bounded(list(sizes), 1, 200_000)
    rows = []
    shapes = (
        [(count, 1, 400) for count in programs]
        + [(1, count, 4000) for count in turns]
        + [(20, 10, size) for size in sizes]
    )
    for count, row, size in shapes:
        timer = Clock()
        for turn in range(repeats):
            held = timer("fill, ms a turn", lambda: turned(count, row, size, random.Random(seed + turn)), count * row)
            timer.memory(
                "memory, bytes a turn",
                lambda: turned(count, row, size, random.Random(seed + turn)),
                count * row,
            )
            snapshot = timer("picture, ms", lambda: b"".join(held.snapshot_parts()))
            timer.note("picture, bytes a turn", len(snapshot) / count / row)
            timer("restore, ms", lambda: call_sessions.CallSessions().restore(snapshot, 0))
            last = f"p0-t{row - 1}"
            asked = begun("p0", "p0-next", last)
            _, reply = timer("begin one more turn, ms", lambda: held.decide(asked, clock.ZERO))
            packed = timer("pack its reply, ms", lambda: codec.pack(reply))
            timer("unpack its reply, ms", lambda: codec.unpack(type(reply), packed))
            timer.note("its reply, bytes", len(packed))
            timer("a look of the clock, ms", lambda: held.due(clock.seconds(5), lambda edge: False))
            held = snapshot = None
        rows.append({"programs": count, "turns": row, "bytes a turn": size, **timer.shown()})
    table("talk state", seed, rows)


def disk(*, items: list[int] = ITEMS, size: int = 1000, folder: str = "", repeats: int = 3, seed: int = 1) -> None:
    """A store on the machine's disk: writing with syncs by batch, and opening against what it holds.

    :param items: numbers of items
    :param size: bytes an item
    :param folder: where; a temporary folder if left out
    :param repeats: how often each size is measured
    :param seed: of the made-up items
    """
    bounded(items, 1, 200_000)
    rows = []
    real = types.SimpleNamespace(synchronise=synced)
    for count in items:
        timer = Clock()
        for turn in range(repeats):
            place = pathlib.Path(tempfile.mkdtemp(prefix="aspencroft-store-", dir=folder or None))
            try:
                chance = random.Random(seed + turn)
                journal = store.open_store(place, real).store
                batch = tuple(data_file.Record(1, chance.randbytes(size)) for _ in range(100))
                spans = []
                for _ in range(max(1, count // 100)):
                    began = time.perf_counter()
                    journal.append(batch)
                    spans.append((time.perf_counter() - began) * 1000)
                timer.note("a batch of 100 written and synced, wall ms", statistics.median(spans))
                timer.note(
                    "files, bytes an item",
                    sum(one.stat().st_size for one in place.rglob("*") if one.is_file()) / (100 * max(1, count // 100)),
                )
                began = time.perf_counter()
                store.open_store(place, real)
                timer.note("open again, wall ms", (time.perf_counter() - began) * 1000)
            finally:
                shutil.rmtree(place, ignore_errors=True)
        rows.append({"items": 100 * max(1, count // 100), "bytes an item": size, **timer.shown()})
    table("disk", seed, rows)


def synced(path: pathlib.Path) -> None:
    """Make a file or folder last."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def workers_list(*, sizes: list[int] = WORKERS, repeats: int = 3, seed: int = 1) -> None:
    """The list of workers: writing it for the relay tree, reading it on an edge, taking it in, choosing candidates.

    :param sizes: numbers of workers
    :param repeats: how often each size is measured
    :param seed: of the made-up workers
    """
    bounded(sizes, 1, 20_000)
    rows = []
    for size in sizes:
        timer = Clock()
        for turn in range(repeats):
            chance = random.Random(seed + turn)
            found = [
                instance.Instance(
                    f"i-{number:06d}-{chance.randrange(1 << 32):08x}",
                    f"10.0.{number // 250}.{number % 250}:8000",
                    f"model-{number % SERVICES}",
                    f"zone-{number % 28}",
                    "v1",
                    32,
                    False,
                    clock.ZERO,
                )
                for number in range(size)
            ]
            timer("what of it matters, ms", lambda: list_reader.significant_fields(found))
            body = timer("write it for the tree, ms", lambda: list_reader.encode_list(found))
            timer.note("the topic, bytes", len(body))
            shown = timer("read it on an edge, ms", lambda: list_reader.decode_list(body))

            async def taken() -> None:
                known = instances.Instances()
                timer("take it in, ms", lambda: known.update(shown, clock.now()))
                timer("candidates of one service, ms", lambda: known.candidates("model-1"))

            asyncio.run(taken())
        rows.append({"workers": size, **timer.shown()})
    table("workers list", seed, rows)


def main() -> None:
    """The command's entry."""
    logging.disable(logging.CRITICAL)
    defopt.run(
        {
            "configuration": configuration,
            "residency": residency_solve,
            "talk-state": talk_state,
            "disk": disk,
            "workers-list": workers_list,
        },
        cli_options="has_default",
    )


if __name__ == "__main__":
    main()
