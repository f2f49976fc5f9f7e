"""A local cluster of real processes with load, operators and a fault schedule, and the oracle that checks it."""

import asyncio
import collections
import collections.abc
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

READY_TIMEOUT_S = 60.0
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


async def serve(application: collections.abc.Callable, port: int) -> tuple[uvicorn.Server, asyncio.Task]:
    """Serve an emulated application on a port; returns once it listens."""
    server = daemon.Server(
        uvicorn.Config(
            application, host=local_cluster.HOST, port=port, log_config=None, access_log=False, lifespan="off"
        )
    )
    task = asyncio.ensure_future(server.serve())
    while not server.started:
        await clock.sleep(clock.seconds(0.02))
    return server, task


class ClusterRun:
    """A run of a local cluster: its load, its faults, and the history that callers, workers and operators saw."""

    def __init__(self, cluster: local_cluster.LocalCluster, mix: shape.Shape, chance: random.Random):
        self.cluster = cluster
        self.mix = mix
        self.chance = chance
        self.world = world.World(mix, random.Random(chance.random()))
        self.servers: dict[str, tuple[uvicorn.Server, asyncio.Task]] = {}
        self.violations: list[str] = []
        self.injected_faults: list[str] = []
        self.recovery_times_s: list[float] = []
        self.planned_restarts: list[tuple[float, float, str]] = []
        self.draining_since: dict[str, float] = {}
        self.resource_samples: list[list[local_cluster.ResourceUse]] = []
        self.programs_started = 0
        self.over = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The running loop, whose clock times the history."""
        return asyncio.get_running_loop()

    def names(self) -> list[str]:
        """The HTTP addresses that operators may talk to."""
        return [self.cluster.http(number) for number in self.cluster.running()]

    async def begin(self) -> None:
        """Start emulated workers and all processes, wait until they know each other, write the plan."""
        for index, one in enumerate(self.world.workers()):
            port = local_cluster.WORKER_PORT + self.cluster.offset + index
            self.world.addresses[one.name] = f"{local_cluster.HOST}:{port}"
            self.servers[one.name] = await serve(self.world.application(one), port)
        self.servers[""] = await serve(self.world.platform(), local_cluster.PLATFORM_PORT + self.cluster.offset)
        self.client = httpx.AsyncClient(timeout=20, trust_env=False)
        for number in list(self.cluster.roles):
            self.cluster.start(number)
        await self.wait_until_serving(READY_TIMEOUT_S, plan_needed=False)
        for _ in range(10):
            response = await self.client.put(f"http://{self.cluster.http(3)}/plan", json=self.mix.document)
            if response.status_code == 200:
                break
            await asyncio.sleep(1)
        await self.wait_until_serving(READY_TIMEOUT_S, plan_needed=True)
        addresses = tuple(self.cluster.http(number) for number in self.cluster.numbers("edge"))
        transport = httpx.AsyncHTTPTransport(limits=httpx.Limits(max_connections=None, max_keepalive_connections=64))
        self.load_generator = caller.Caller(self.mix, addresses, transport, random.Random(self.chance.random()))
        self.operators = register.Operators(self, self.client, random.Random(self.chance.random()))
        await asyncio.sleep(1.5)

    async def is_serving(self, plan_needed: bool) -> bool:
        """Whether the cluster serves by the status of all its nodes."""
        statuses = await local_cluster.fetch_statuses(self.client, self.cluster)
        return local_cluster.is_serving(self.cluster, statuses, plan_needed)

    async def wait_until_serving(self, within: float, plan_needed: bool) -> float:
        """Wait until the whole cluster serves; seconds waited. A time-out is recorded as a violation."""
        began = self.loop.time()
        while not await self.is_serving(plan_needed):
            if self.loop.time() - began > within:
                self.violations.append(f"service is not back within {within} s after {self.injected_faults[-1:]}")
                return within
            await asyncio.sleep(0.1)
        return self.loop.time() - began

    async def run(self, seconds: float, rate: float, faults: tuple[str, ...], every: float) -> None:
        """Generate load for ``seconds``, with a fault after every ``every`` seconds; then read the state once more."""
        end = self.loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            works = [self.traffic(rate), self.drive_swing_lane()] + (
                [self.operators.operate() for _ in range(2)] if faults else []
            )
            tasks = [group.create_task(work) for work in works]
            sampling = group.create_task(self.sample())
            while self.loop.time() < end:
                await asyncio.sleep(min(every, max(0.0, end - self.loop.time())))
                if faults and self.loop.time() < end:
                    kind = self.chance.choice(faults)
                    self.injected_faults.append(f"{self.loop.time():.1f} {kind}")
                    await self.inject_fault(kind)
                    self.recovery_times_s.append(await self.wait_until_serving(READY_TIMEOUT_S / 2, plan_needed=True))
            self.over = self.operators.over = True
            for task in tasks:
                await task
            sampling.cancel()
        self.violations.extend(await self.load_generator.still_kept())
        for _ in range(4):
            await self.operators.read()

    async def traffic(self, rate: float) -> None:
        """Start programs and signals of the workload, ``rate`` a second."""
        async with asyncio.TaskGroup() as group:
            while not self.over:
                self.programs_started += 1
                group.create_task(self.load_generator.one(f"{self.mix.name}-{self.programs_started}"))
                await asyncio.sleep(self.chance.expovariate(rate))

    async def drive_swing_lane(self) -> None:
        """Signals on a lane whose services operators change."""
        number = 0
        while not self.over:
            number += 1
            await self.load_generator.ask("swing", {"name": f"swing-{number}"})
            await asyncio.sleep(0.5)

    async def sample(self) -> None:
        """Sample the resource use of the processes every 5 seconds."""
        while True:
            self.resource_samples.append(self.cluster.resource_use())
            await asyncio.sleep(5)

    async def inject_fault(self, kind: str) -> None:
        """Inject one fault of a kind of ``FAULTS`` that a single machine may have, and end it."""
        cluster, chance = self.cluster, self.chance
        victim = chance.choice([number for number, role in cluster.roles.items() if role != "edge"])
        storage = chance.choice(cluster.numbers("storage"))
        outage_s = 0.5 + 4 * chance.random()
        if kind == "leader":
            statuses = await local_cluster.fetch_statuses(self.client, cluster)
            leaders = [
                number
                for number, status in statuses.items()
                if any(replica["claimed"] for replica in status["pairs"].values())
            ]
            victim, kind = chance.choice(leaders or [victim]), chance.choice(["kill", "freeze"])
        if kind == "edge":
            victim, kind = chance.choice(cluster.numbers("edge")), chance.choice(["kill", "freeze", "restart"])
        injections: dict[str, collections.abc.Callable[[], collections.abc.Awaitable[None]]] = {
            "kill": lambda: self.kill(victim, outage_s),
            "freeze": lambda: self.freeze(victim, 2 * outage_s),
            "restart": lambda: self.restart(victim),
            "roll": self.roll_restarts,
            "workers": lambda: self.fail_workers(2 * outage_s),
            "replace": lambda: self.replace_worker(chance.choice(self.world.models), outage_s),
            "swap": lambda: self.swap_machine(storage, outage_s),
            "empty": lambda: self.drain_machine(storage),
            "wipe": lambda: self.wipe_disk(storage),
            "seeds": self.change_seeds,
            "all": self.restart_all,
            "vanish": self.vanish_callers,
        }
        await injections[kind]()

    async def kill(self, number: int, outage_s: float) -> None:
        """Kill a process, and start it again after the outage."""
        self.cluster.kill(number)
        await asyncio.sleep(outage_s)
        self.cluster.start(number)

    async def freeze(self, number: int, outage_s: float) -> None:
        """Stop a process by SIGSTOP for the outage."""
        self.cluster.signal(number, signal.SIGSTOP)
        await asyncio.sleep(outage_s)
        self.cluster.signal(number, signal.SIGCONT)

    async def roll_restarts(self) -> None:
        """Restart four nodes one after the other, each once the cluster serves."""
        for number in self.chance.sample(sorted(self.cluster.roles), 4):
            await self.restart(number)
            await self.wait_until_serving(READY_TIMEOUT_S / 2, plan_needed=True)

    async def fail_workers(self, outage_s: float) -> None:
        """Have all workers fail a share of their requests for the outage."""
        for worker in self.world.workers():
            worker.faults = backend.Faults(
                0.2 * self.chance.random(), 0.1 * self.chance.random(), 0.1 * self.chance.random(), 0.3
            )
        await asyncio.sleep(outage_s)
        for worker in self.world.workers():
            worker.faults = backend.Faults()

    async def swap_machine(self, number: int, outage_s: float) -> None:
        """Lose a storage machine for good; an empty one takes its place after the outage."""
        await self.wait_until_serving(READY_TIMEOUT_S / 2, plan_needed=True)
        self.cluster.kill(number)
        fresh = self.cluster.swap(number)
        await asyncio.sleep(outage_s)
        self.cluster.start(fresh)

    async def wipe_disk(self, number: int) -> None:
        """Kill a storage node and start it at once with an empty disk."""
        await self.wait_until_serving(READY_TIMEOUT_S / 2, plan_needed=True)
        self.cluster.kill(number)
        shutil.rmtree(self.cluster.folder_of(number) / "data", ignore_errors=True)
        self.cluster.start(number)

    async def restart_all(self) -> None:
        """Kill all processes, then start them."""
        for number in self.cluster.running():
            self.cluster.kill(number)
        for number in list(self.cluster.roles):
            self.cluster.start(number)

    async def vanish_callers(self) -> None:
        """Have 20 callers drop their connections in the middle of a request."""
        async with asyncio.TaskGroup() as group:
            for number in range(20):
                group.create_task(self.load_generator.vanish(f"vanish-{self.loop.time():.3f}-{number}"))

    async def restart(self, number: int) -> None:
        """A planned restart: SIGTERM, wait for the exit, start; nothing under way may be dropped."""
        cluster, began = self.cluster, self.loop.time()
        cluster.signal(number, signal.SIGTERM)
        process = cluster.processes[number]
        while process.poll() is None and self.loop.time() - began < local_cluster.STOP_TIMEOUT_S:
            await asyncio.sleep(0.05)
        if process.poll() != 0:
            self.violations.append(
                f"node {number} left a planned stop with {process.poll()} after {self.loop.time() - began:.1f} s"
            )
            cluster.kill(number)
        self.planned_restarts.append((began, self.loop.time(), cluster.http(number)))
        cluster.start(number)

    async def replace_worker(self, worker: backend.ModelWorker, outage_s: float) -> None:
        """Drain a worker, stop it, and start it again after the outage with nothing in its memory."""
        self.world.leaving.add(worker.name)
        self.draining_since[worker.name] = self.loop.time()
        await asyncio.sleep(3.5 + outage_s)
        server, task = self.servers[worker.name]
        server.should_exit = True
        await task
        await asyncio.sleep(outage_s)
        worker.kept.clear()
        self.draining_since.pop(worker.name)
        self.world.leaving.discard(worker.name)
        self.servers[worker.name] = await serve(
            self.world.application(worker), int(self.world.addresses[worker.name].split(":")[1])
        )

    async def write(self, path: str, spec: dict) -> bool:
        """An operator's write, retried until it is acknowledged; false after ten attempts."""
        for _ in range(10):
            try:
                response = await self.client.put(f"http://{self.chance.choice(self.names())}/plan/{path}", json=spec)
                if response.status_code == 200:
                    return True
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.5)
        self.violations.append(f"{path} was not acknowledged")
        return False

    async def drain_machine(self, number: int) -> None:
        """An operator has a machine drained; once it holds nothing it is swapped for one at a new address."""
        cluster, address, began = self.cluster, self.cluster.link(number), self.loop.time()
        if not await self.write(f"machines/{address}", {"emptied": True}):
            return
        while self.loop.time() - began < READY_TIMEOUT_S / 2:
            shown = await local_cluster.fetch_statuses(self.client, cluster)
            held = [one for each in shown.values() for one in each["holders"].values()]
            if held and not any(address in (one["primary"], *one["backups"]) for one in held):
                break
            await asyncio.sleep(0.2)
        else:
            self.violations.append(f"{address} was not emptied")
        cluster.kill(number)
        cluster.start(cluster.swap(number))

    async def change_seeds(self) -> None:
        """An operator names other witnesses; all nodes must come to use them."""
        cluster, began = self.cluster, self.loop.time()
        chosen = sorted(self.chance.sample(cluster.numbers("core"), 3))
        wished = [cluster.link(number) for number in chosen]
        if not await self.write("seeds/control", {"addresses": wished}):
            return
        cluster.seeds = chosen
        while self.loop.time() - began < READY_TIMEOUT_S / 2:
            shown = await local_cluster.fetch_statuses(self.client, cluster)
            rosters = {tuple(sorted(one["witness"]["roster"])) for one in shown.values()}
            if rosters == {tuple(sorted(wished))}:
                return
            await asyncio.sleep(0.2)
        self.violations.append(f"witnesses are not {wished} everywhere")

    def history(self) -> dict:
        """The history as JSON, from which ``violations_in`` reads it."""
        allowed = [[lane, service] for lane, spec in self.mix.document["lanes"].items() for service in spec["services"]]
        allowed.extend(["swing", service] for service in self.operators.plain)
        return {
            "noted": [dataclasses.asdict(one) for one in self.load_generator.noted],
            "seen": self.world.seen(),
            "ran": self.world.ran(),
            "put_out": self.world.put_out(),
            "document": self.mix.document,
            "leaving": self.draining_since,
            "told": [*self.violations, *self.load_generator.faults],
            "allowed": allowed,
            "writes": [dataclasses.asdict(one) for one in self.operators.writes],
            "reads": [dataclasses.asdict(one) for one in self.operators.reads],
            "rolled": self.planned_restarts,
            "runs": register.swing_runs(self),
        }

    async def end(self) -> None:
        """Stop all processes and emulators; an exit code other than 0 is recorded as a violation."""
        codes = await asyncio.to_thread(self.cluster.stop)
        self.violations.extend(
            f"node {number} left the stop with code {code}" for number, code in codes.items() if code
        )
        for server, task in self.servers.values():
            server.should_exit = True
            await task
        await self.client.aclose()

    def report(self, seconds: float) -> dict:
        """What an operator wants to read of a run."""
        firsts, waits, returned = (
            sorted(row) for row in (self.load_generator.firsts, self.operators.waits, self.recovery_times_s)
        )
        return {
            "deployment": self.mix.name,
            "seconds": round(seconds, 1),
            "faults": len(self.injected_faults),
            "done": self.injected_faults,
            "answers": dict(sorted(self.load_generator.counts.items())),
            "runs": sum(self.world.ran().values()),
            "first piece, ms": percentiles([1000 * one for one in firsts]),
            "plan writes, s": percentiles(waits),
            "service back, s": percentiles(returned),
            "workers": dict(sum((one.counts for one in self.world.workers()), collections.Counter())),
            "taken": self.growth(),
        }

    def growth(self) -> dict:
        """Resource use by role early and late in the run: the median process's figures."""
        found = {}
        early, late = self.resource_samples[len(self.resource_samples) // 4 :][:3], self.resource_samples[-3:]
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


def percentiles(row: list[float]) -> str:
    """Median, 95th percentile and maximum of sorted values."""
    if not row:
        return "none"
    return f"{row[len(row) // 2]:.2f} / {row[int(len(row) * 0.95)]:.2f} / {row[-1]:.2f} of {len(row)}"


def violations_in(history: dict) -> list[str]:
    """Violations in a history, by the same oracle as in simulation."""
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


def prepare_cluster(
    folder: str, offset: int, keep: bool, size: local_cluster.ClusterSize
) -> local_cluster.LocalCluster:
    """A cluster in a folder, which is emptied first unless ``keep``.

    Turns off standard logging and makes SIGTERM an interrupt, for the whole process.
    """
    logging.disable(logging.CRITICAL)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    path = pathlib.Path(folder)
    if not keep and path.exists():
        shutil.rmtree(path)
    return local_cluster.LocalCluster(path, offset, size)


def workload_of(deployment: str) -> shape.Shape:
    """The workload of a deployment; an unknown name ends the program."""
    if deployment not in (shape.ARCHIVE, shape.TILLS):
        sys.exit("deployment: archive or tills")
    return shape.shape_of(deployment)


def start(
    *,
    deployment: str = "archive",
    folder: str = "run",
    offset: int = 0,
    keep: bool = False,
    edges: int = 8,
    storage: int = 3,
    cores: int = 5,
) -> None:
    """Start local processes and stand-ins, write the plan, and leave them running until interrupted.

    :param deployment: archive or tills
    :param folder: where settings, data and logs go
    :param offset: added to all ports
    :param keep: keep the data of an earlier run instead of starting empty
    :param edges: how many edges, at least 1
    :param storage: how many machines with disks for sessions, at least 2
    :param cores: how many core machines, at least 3
    """
    size = local_cluster.ClusterSize(edges, storage, cores)

    async def whole() -> None:
        drive = ClusterRun(prepare_cluster(folder, offset, keep, size), workload_of(deployment), random.Random(1))
        try:
            await drive.begin()
            print(
                f"operators and callers: http://{drive.cluster.http(0)}; settings and logs in {folder}/; "
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
    faults: collections.abc.Sequence[str] = (),
    every: float = 8,
    folder: str = "run",
    offset: int = 0,
    seed: int = 1,
    history: str = "",
    edges: int = 8,
    storage: int = 3,
    cores: int = 5,
) -> None:
    """Start a local cluster, drive a deployment's mix and operators, cause faults, and judge what was seen.

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
    :param edges: how many edges, at least 1
    :param storage: how many machines with disks for sessions, at least 2
    :param cores: how many core machines, at least 3
    """
    size = local_cluster.ClusterSize(edges, storage, cores)
    kinds = FAULTS if "every" in faults else tuple(faults)
    if set(kinds) - set(FAULTS):
        sys.exit(f"faults: {', '.join(FAULTS)}, or every")
    one = ClusterRun(prepare_cluster(folder, offset, False, size), workload_of(deployment), random.Random(seed))

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
    wrong = violations_in(one.history())
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
    wrong = violations_in(json.loads(pathlib.Path(history).read_text()))
    print("\n".join(wrong) or "nothing that must never happen")
    sys.exit(1 if wrong else 0)


def main() -> None:
    """Run the subcommand of ``aspencroft cluster`` that the arguments name."""
    defopt.run({"start": start, "drive": drive, "check": check})


def fleet() -> None:
    """The old command ``fleet``, whose ``judge`` is ``check``."""
    defopt.run({"start": start, "drive": drive, "judge": check})
