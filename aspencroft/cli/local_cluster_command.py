"""A tool: a local fleet of real processes with stand-ins, traffic, operators and faults, and the judge over it."""

import asyncio
import collections
import contextlib
import dataclasses
import json
import logging
import os
import pathlib
import random
import shutil
import signal
import sys
import time

import defopt
import httpx
import uvicorn

from aspencroft.cli import daemon, local_cluster
from aspencroft.emulator import backend, caller, shape, world
from aspencroft.runtime import clock
from aspencroft.simulation import oracle, register

READY = 60.0
FAULTS = (
    "kill",
    "leader",
    "freeze",
    "restart",
    "roll",
    "edge",
    "workers",
    "replace",
    "swap",
    "empty",
    "wipe",
    "seeds",
    "all",
    "vanish",
)


async def serve(application, port: int) -> tuple[uvicorn.Server, asyncio.Task]:
    """Serve a stand-in's pages on a port."""
    server = daemon.Server(
        uvicorn.Config(
            application, host=local_cluster.HOST, port=port, log_config=None, access_log=False, lifespan="off"
        )
    )
    task = asyncio.ensure_future(server.serve())
    while not server.started:
        await clock.sleep(clock.seconds(0.02))
    return server, task


class Drive:
    """A run of a local fleet: what is done to it, and all that callers, workers and operators saw."""

    def __init__(self, place: local_cluster.LocalCluster, mix: shape.Shape, chance: random.Random):
        self.yard = place
        self.mix = mix
        self.chance = chance
        self.world = world.World(mix, random.Random(chance.random()))
        self.servers: dict[str, tuple[uvicorn.Server, asyncio.Task]] = {}
        self.told: list[str] = []
        self.done: list[str] = []
        self.returned: list[float] = []
        self.rolled: list[tuple[float, float, str]] = []
        self.marked: dict[str, float] = {}
        self.samples: list[list[local_cluster.Taken]] = []
        self.programs = 0
        self.over = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The running loop, whose clock times all that is noted."""
        return asyncio.get_running_loop()

    def names(self) -> list[str]:
        """The HTTP addresses that operators may talk to."""
        return [self.yard.http(number) for number in self.yard.running()]

    async def begin(self) -> None:
        """Start stand-ins and processes, wait until they know each other, write the plan."""
        for place, one in enumerate(self.world.workers()):
            port = local_cluster.BACK + self.yard.offset + place
            self.world.addresses[one.name] = f"{local_cluster.HOST}:{port}"
            self.servers[one.name] = await serve(self.world.application(one), port)
        self.servers[""] = await serve(self.world.platform(), local_cluster.PLATFORM + self.yard.offset)
        self.client = httpx.AsyncClient(timeout=20, trust_env=False)
        for number in list(self.yard.roles):
            self.yard.start(number)
        await self.until_whole(READY, plan_needed=False)
        for _ in range(10):
            response = await self.client.put(f"http://{self.yard.http(3)}/plan", json=self.mix.document)
            if response.status_code == 200:
                break
            await asyncio.sleep(1)
        await self.until_whole(READY, plan_needed=True)
        addresses = tuple(self.yard.http(number) for number in self.yard.numbers("edge"))
        transport = httpx.AsyncHTTPTransport(limits=httpx.Limits(max_connections=None, max_keepalive_connections=64))
        self.asking = caller.Caller(self.mix, addresses, transport, random.Random(self.chance.random()))
        self.operators = register.Operators(self, self.client, random.Random(self.chance.random()))
        await asyncio.sleep(1.5)

    async def until_whole(self, within: float, plan_needed: bool) -> float:
        """Wait until the whole fleet serves; seconds waited."""
        began = self.loop.time()
        while not local_cluster.whole(self.yard, await local_cluster.states(self.client, self.yard), plan_needed):
            if self.loop.time() - began > within:
                self.told.append(f"service is not back within {within} s after {self.done[-1:]}")
                return within
            await asyncio.sleep(0.1)
        return self.loop.time() - began

    async def run(self, seconds: float, rate: float, faults: tuple[str, ...], every: float) -> None:
        """Drive traffic and operators for so long, with a fault every so many seconds; then ask once more."""
        end = self.loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            works = [self.traffic(rate), self.swing()] + (
                [self.operators.operate() for _ in range(2)] if faults else []
            )
            tasks = [group.create_task(work) for work in works]
            sampling = group.create_task(self.sample())
            while self.loop.time() < end:
                await asyncio.sleep(min(every, max(0.0, end - self.loop.time())))
                if faults and self.loop.time() < end:
                    kind = self.chance.choice(faults)
                    self.done.append(f"{self.loop.time():.1f} {kind}")
                    await self.fault(kind)
                    self.returned.append(await self.until_whole(READY / 2, plan_needed=True))
            self.over = self.operators.over = True
            for task in tasks:
                await task
            sampling.cancel()
        self.told.extend(await self.asking.still_kept())
        for _ in range(4):
            await self.operators.read()

    async def traffic(self, rate: float) -> None:
        """Programs and signals by the mix."""
        async with asyncio.TaskGroup() as group:
            while not self.over:
                self.programs += 1
                group.create_task(self.asking.one(f"{self.mix.name}-{self.programs}"))
                await asyncio.sleep(self.chance.expovariate(rate))

    async def swing(self) -> None:
        """Signals on a lane whose services operators change."""
        number = 0
        while not self.over:
            number += 1
            await self.asking.ask("swing", {"name": f"swing-{number}"})
            await asyncio.sleep(0.5)

    async def sample(self) -> None:
        """Note what the processes take, now and then."""
        while True:
            self.samples.append(self.yard.taken())
            await asyncio.sleep(5)

    async def fault(self, kind: str) -> None:
        """Cause one kind of failure that one machine allows, and end it."""
        place, chance = self.yard, self.chance
        victim = chance.choice([number for number, role in place.roles.items() if role != "edge"])
        storage = chance.choice(place.numbers("storage"))
        long = 0.5 + 4 * chance.random()
        if kind == "leader":
            shown = await local_cluster.states(self.client, place)
            leaders = [number for number, one in shown.items() if any(own["claimed"] for own in one["pairs"].values())]
            victim, kind = chance.choice(leaders or [victim]), chance.choice(["kill", "freeze"])
        if kind == "edge":
            victim, kind = chance.choice(place.numbers("edge")), chance.choice(["kill", "freeze", "restart"])
        if kind == "kill":
            place.kill(victim)
            await asyncio.sleep(long)
            place.start(victim)
        elif kind == "freeze":
            place.signal(victim, signal.SIGSTOP)
            await asyncio.sleep(2 * long)
            place.signal(victim, signal.SIGCONT)
        elif kind == "restart":
            await self.restart(victim)
        elif kind == "roll":
            for number in chance.sample(sorted(place.roles), 4):
                await self.restart(number)
                await self.until_whole(READY / 2, plan_needed=True)
        elif kind == "workers":
            for one in self.world.workers():
                one.faults = backend.Faults(0.2 * chance.random(), 0.1 * chance.random(), 0.1 * chance.random(), 0.3)
            await asyncio.sleep(2 * long)
            for one in self.world.workers():
                one.faults = backend.Faults()
        elif kind == "replace":
            await self.replace_worker(chance.choice(self.world.models), long)
        elif kind == "swap":
            await self.until_whole(READY / 2, plan_needed=True)
            place.kill(storage)
            fresh = place.swap(storage)
            await asyncio.sleep(long)
            place.start(fresh)
        elif kind == "wipe":
            await self.until_whole(READY / 2, plan_needed=True)
            place.kill(storage)
            shutil.rmtree(place.place(storage) / "data", ignore_errors=True)
            place.start(storage)
        elif kind == "empty":
            await self.empty(storage)
        elif kind == "seeds":
            await self.change_seeds()
        elif kind == "all":
            for number in place.running():
                place.kill(number)
            for number in list(place.roles):
                place.start(number)
        elif kind == "vanish":
            async with asyncio.TaskGroup() as group:
                for number in range(20):
                    group.create_task(self.asking.vanish(f"vanish-{self.loop.time():.3f}-{number}"))

    async def restart(self, number: int) -> None:
        """A planned restart: SIGTERM, wait for the exit, start; nothing under way may be dropped."""
        place, began = self.yard, self.loop.time()
        place.signal(number, signal.SIGTERM)
        process = place.processes[number]
        while process.poll() is None and self.loop.time() - began < local_cluster.STOPPED:
            await asyncio.sleep(0.05)
        if process.poll() != 0:
            self.told.append(
                f"node {number} left a planned stop with {process.poll()} after {self.loop.time() - began:.1f} s"
            )
            place.kill(number)
        self.rolled.append((began, self.loop.time(), place.http(number)))
        place.start(number)

    async def replace_worker(self, one, long: float) -> None:
        """A worker is marked as leaving, ends, and comes back anew."""
        self.world.leaving.add(one.name)
        self.marked[one.name] = self.loop.time()
        await asyncio.sleep(3.5 + long)
        server, task = self.servers[one.name]
        server.should_exit = True
        await task
        await asyncio.sleep(long)
        one.kept.clear()
        self.marked.pop(one.name)
        self.world.leaving.discard(one.name)
        self.servers[one.name] = await serve(
            self.world.application(one), int(self.world.addresses[one.name].split(":")[1])
        )

    async def write(self, path: str, spec: dict) -> bool:
        """An operator's write, said again until it is acknowledged."""
        for _ in range(10):
            try:
                response = await self.client.put(f"http://{self.chance.choice(self.names())}/plan/{path}", json=spec)
                if response.status_code == 200:
                    return True
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.5)
        self.told.append(f"{path} was not acknowledged")
        return False

    async def empty(self, number: int) -> None:
        """An operator has a machine drained; once it holds nothing it is swapped for one at a new address."""
        place, address, began = self.yard, self.yard.link(number), self.loop.time()
        if not await self.write(f"machines/{address}", {"emptied": True}):
            return
        while self.loop.time() - began < READY / 2:
            shown = await local_cluster.states(self.client, place)
            held = [one for each in shown.values() for one in each["holders"].values()]
            if held and not any(address in (one["primary"], *one["backups"]) for one in held):
                break
            await asyncio.sleep(0.2)
        else:
            self.told.append(f"{address} was not emptied")
        place.kill(number)
        place.start(place.swap(number))

    async def change_seeds(self) -> None:
        """An operator names other witnesses; all nodes must come to use them."""
        place, began = self.yard, self.loop.time()
        chosen = sorted(self.chance.sample(place.numbers("core"), 3))
        wished = [place.link(number) for number in chosen]
        if not await self.write("seeds/control", {"addresses": wished}):
            return
        place.seeds = chosen
        while self.loop.time() - began < READY / 2:
            shown = await local_cluster.states(self.client, place)
            rosters = {tuple(sorted(one["witness"]["roster"])) for one in shown.values()}
            if rosters == {tuple(sorted(wished))}:
                return
            await asyncio.sleep(0.2)
        self.told.append(f"witnesses are not {wished} everywhere")

    def history(self) -> dict:
        """All that was noted, as JSON that the judge can read again."""
        allowed = [[lane, service] for lane, spec in self.mix.document["lanes"].items() for service in spec["services"]]
        allowed.extend(["swing", service] for service in self.operators.plain)
        return {
            "noted": [dataclasses.asdict(one) for one in self.asking.noted],
            "seen": self.world.seen(),
            "ran": self.world.ran(),
            "put_out": self.world.put_out(),
            "document": self.mix.document,
            "leaving": self.marked,
            "told": [*self.told, *self.asking.faults],
            "allowed": allowed,
            "writes": [dataclasses.asdict(one) for one in self.operators.writes],
            "reads": [dataclasses.asdict(one) for one in self.operators.reads],
            "rolled": self.rolled,
            "runs": register.swing_runs(self),
        }

    async def end(self) -> None:
        """Stop processes and stand-ins; a process that leaves a stop with another code than 0 is told."""
        codes = await asyncio.to_thread(self.yard.stop)
        self.told.extend(f"node {number} left the stop with code {code}" for number, code in codes.items() if code)
        for server, task in self.servers.values():
            server.should_exit = True
            await task
        await self.client.aclose()

    def report(self, seconds: float) -> dict:
        """What an operator wants to read of a run."""
        firsts, waits, returned = (sorted(row) for row in (self.asking.firsts, self.operators.waits, self.returned))
        return {
            "deployment": self.mix.name,
            "seconds": round(seconds, 1),
            "faults": len(self.done),
            "done": self.done,
            "answers": dict(sorted(self.asking.counts.items())),
            "runs": sum(self.world.ran().values()),
            "first piece, ms": spread([1000 * one for one in firsts]),
            "plan writes, s": spread(waits),
            "service back, s": spread(returned),
            "workers": dict(sum((one.counts for one in self.world.workers()), collections.Counter())),
            "taken": self.growth(),
        }

    def growth(self) -> dict:
        """What the processes of each role took early and late in the run: the median process's figures."""
        found = {}
        early, late = self.samples[len(self.samples) // 4 :][:3], self.samples[-3:]
        for role in ("edge", "storage", "core"):
            row = []
            for part in (early, late):
                mine = [one for sample in part for one in sample if one.role == role]
                middle = {
                    name: sorted(getattr(one, name) for one in mine)[len(mine) // 2] if mine else 0
                    for name in ("memory", "files", "threads", "disk")
                }
                row.append(
                    {
                        **middle,
                        "memory": f"{middle['memory'] / 1e6:.1f} MB",
                        "disk": f"{middle['disk'] / 1e6:.2f} MB",
                    }
                )
            found[role] = {"early": row[0], "late": row[1]}
        return found


def spread(row: list[float]) -> str:
    """Median, 95 % and most of a sorted row."""
    if not row:
        return "none"
    return f"{row[len(row) // 2]:.2f} / {row[int(len(row) * 0.95)]:.2f} / {row[-1]:.2f} of {len(row)}"


def verdict(history: dict) -> list[str]:
    """What must never happen and did, by the same judge as in simulation."""
    noted = tuple(caller.Noted(**one) for one in history["noted"])
    plain = oracle.History(
        noted,
        tuple(history["seen"]),
        history["ran"],
        history["put_out"],
        history["document"],
        history["leaving"],
        tuple(history["told"]),
        frozenset(map(tuple, history["allowed"])),
    )
    writes = [register.Write(**one) for one in history["writes"]]
    reads = [register.Read(**one) for one in history["reads"]]
    dropped = [
        f"{one.request or 'a request'} to {one.address} was dropped by a planned restart"
        for one in noted
        for began, ended, address in history["rolled"]
        if one.address == address
        and one.result == -1
        and one.ran == "unknown"
        and one.began < ended
        and one.ended > began
    ]
    return [
        *oracle.faults(plain),
        *register.faults(writes, reads, history["document"]),
        *dropped,
        *register.foreign_runs(writes, [tuple(one) for one in history["runs"]], history["document"]),
    ]


def place_of(folder: str, offset: int, keep: bool) -> local_cluster.LocalCluster:
    """A yard in a folder, drained unless it is to be kept."""
    logging.disable(logging.CRITICAL)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    path = pathlib.Path(folder)
    if not keep and path.exists():
        shutil.rmtree(path)
    return local_cluster.LocalCluster(path, offset)


def mix_of(deployment: str) -> shape.Shape:
    """A deployment by its name; another name ends the program."""
    if deployment not in (shape.ARCHIVE, shape.TILLS):
        sys.exit("deployment: archive or tills")
    return shape.shape_of(deployment)


def start(*, deployment: str = "archive", folder: str = "run", offset: int = 0, keep: bool = False) -> None:
    """Start 16 local processes and stand-ins, write the plan, and leave them running until interrupted.

    :param deployment: archive or tills
    :param folder: where settings, data and logs go
    :param offset: added to all ports
    :param keep: keep the data of an earlier run instead of starting empty
    """

    async def whole() -> None:
        drive = Drive(place_of(folder, offset, keep), mix_of(deployment), random.Random(1))
        try:
            await drive.begin()
            print(
                f"operators and callers: http://{drive.yard.http(0)}; settings and logs in {folder}/; "
                "interrupt to stop",
                flush=True,
            )
            await asyncio.Event().wait()
        finally:
            await drive.end()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(whole())


def drive(
    *,
    deployment: str = "archive",
    seconds: float = 20,
    rate: float = 10,
    faults: list[str] = (),
    every: float = 8,
    folder: str = "run",
    offset: int = 0,
    seed: int = 1,
    history: str = "",
) -> None:
    """Start a local fleet, drive a deployment's mix and operators, cause faults, and judge what was seen.

    Exits with 1 when anything that must never happen was seen, and says what.

    :param deployment: archive or tills
    :param seconds: how long to drive traffic
    :param rate: programs and signals started each second
    :param faults: kinds to draw from, or "every": kill leader freeze restart roll edge workers replace swap empty wipe
        seeds all vanish
    :param every: seconds of calm between faults
    :param folder: where settings, data, logs and history.json go
    :param offset: added to all ports
    :param seed: seed of traffic and schedule
    :param history: where to write the history; folder/history.json if left out
    """
    kinds = FAULTS if "every" in faults else tuple(faults)
    if set(kinds) - set(FAULTS):
        sys.exit(f"faults: {', '.join(FAULTS)}, or every")
    one = Drive(place_of(folder, offset, False), mix_of(deployment), random.Random(seed))

    async def whole() -> None:
        try:
            await one.begin()
            await one.run(seconds, rate, kinds, every)
        finally:
            await one.end()

    began = time.monotonic()
    asyncio.run(whole())
    path = pathlib.Path(history) if history else pathlib.Path(folder) / "history.json"
    path.write_text(json.dumps(one.history()))
    wrong = verdict(one.history())
    print(json.dumps({**one.report(time.monotonic() - began), "wrong": wrong}, indent=1))
    if wrong:
        print(
            f"{len(wrong)} things that must never happen; history in {path}; "
            f"repeat: {os.path.basename(sys.argv[0])} drive --deployment {deployment} "
            f"--seconds {seconds} --rate {rate} --seed {seed} --every {every} --faults {' '.join(faults)}",
            file=sys.stderr,
        )
        sys.exit(1)


def check(history: str) -> None:
    """Check a history that an earlier run wrote.

    :param history: the file
    """
    wrong = verdict(json.loads(pathlib.Path(history).read_text()))
    print("\n".join(wrong) or "nothing that must never happen")
    sys.exit(1 if wrong else 0)


def main() -> None:
    """Run the subcommand of ``aspencroft cluster`` that the arguments name."""
    defopt.run({"start": start, "drive": drive, "check": check})


def fleet() -> None:
    """The old command ``fleet``, whose ``judge`` is ``check``."""
    defopt.run({"start": start, "drive": drive, "judge": check})
