"""A simulated fleet: the daemons' own code, stand-ins around it, and the means to hurt it."""

import asyncio
import collections.abc
import dataclasses
import datetime
import pathlib
import random
import shutil
import tempfile

from aspencroft.alerts import alerts
from aspencroft.cli import daemon
from aspencroft.consensus import replica_set
from aspencroft.emulator import caller, shape, world
from aspencroft.gateway import callers, path
from aspencroft.node import node, operator_api, settings
from aspencroft.power import machine_power
from aspencroft.residency import residency
from aspencroft.runtime import environment
from aspencroft.simulation import disk, loop, wire
from aspencroft.workers import adapter

AREAS = ("north", "middle", "south")
OUTSIDE = "outside"
EPOCH = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)


@dataclasses.dataclass(frozen=True)
class Size:
    """How many nodes of each role; ``apart`` gives cores disks for the control group and storages those for talk.

    Groups.
    """

    edges: int = 2
    storages: int = 3
    cores: int = 3
    apart: bool = False

    def holds(self) -> dict[str, tuple[str, ...]]:
        """Which groups the disks of each role hold; none without a disk."""
        if self.apart:
            return {settings.STORAGE: (replica_set.SESSION,), settings.CORE: (replica_set.CONTROL,)}
        return {settings.STORAGE: (replica_set.CONTROL, replica_set.SESSION)}


class SimulatedCluster:
    """One simulated world.

    Nodes go by the host of their address; ``machine_names`` has the names of the machines that bear another one.
    """

    def __init__(
        self,
        seed: int,
        size: Size,
        mix: shape.Shape,
        weather: wire.Weather,
        folder: pathlib.Path,
        more: dict | None = None,
    ):
        self.chance = random.Random(seed)
        self.seed = seed
        self.size = size
        self.more = more or {}
        self.folder = folder
        self.loop = loop.SimLoop()
        self.wire = wire.Wire(self.loop, random.Random(seed + 1), weather)
        self.mix = mix
        self.world = world.World(mix, random.Random(seed + 2))
        self.storages = [f"storage-{number}" for number in range(size.storages)]
        self.cores = [f"core-{number}" for number in range(size.cores)]
        self.edges = [f"edge-{number}" for number in range(size.edges)]
        self.seeds = tuple(f"{name}:1" for name in self.cores[:3])
        self.disks: dict[str, disk.SimDisk] = {}
        self.nodes: dict[str, node.Node] = {}
        self.edge_paths: dict[str, path.RequestPath] = {}
        self.clock_jump = datetime.timedelta()
        self.ended: list[str] = []
        self.holds = size.holds()
        self.lost: set[str] = set()
        self.machine_names: dict[str, str] = {}
        self.marked: dict[str, float] = {}

    def names(self) -> list[str]:
        """All nodes."""
        return [*self.edges, *self.storages, *self.cores]

    def made(self, role: list[str]) -> int:
        """How many machines a role had at first: later ones are numbered from there on."""
        return self.size.cores if role is self.cores else self.size.storages

    def begin_world(self) -> None:
        """Start the stand-ins outside the fleet."""
        self.loop.begin(OUTSIDE)
        self.loop.begin("platform")
        self.wire.pages["platform:80"] = ("platform", self.world.platform())
        for one in self.world.workers():
            self.loop.begin(one.name)
            self.world.addresses[one.name] = f"{one.name}:80"
            self.wire.pages[f"{one.name}:80"] = (one.name, self.world.application(one))

    def place(self, name: str) -> settings.Settings:
        """A node's settings."""
        role = name.split("-", maxsplit=1)[0]
        holds = self.holds.get(role, ())
        data = self.folder / name if holds else None
        area = AREAS[int(name.split("-")[1]) % 3]
        place = settings.Settings(
            f"{name}:1",
            f"{name}:80",
            area,
            self.seeds,
            role,
            data,
            "http://platform:80/api/workers",
            2,
            None,
            self.machine_names.get(name, name),
            holds=holds,
        )
        return dataclasses.replace(place, **{"first_start": name not in self.lost, **self.more})

    def start(self, name: str) -> None:
        """Start a node's process."""
        self.loop.begin(name)
        place = self.place(name)
        if name not in self.disks and place.data is not None:
            self.disks[name] = disk.SimDisk(place.data, random.Random(f"{self.seed} {name}"))
        around = environment.Environment(
            wire.SimNetwork(self.wire, name),
            self.disks.get(name),
            lambda: wire.SimTransport(self.wire, name),
            random.Random(f"{self.seed} {name} {self.loop.lives[name]}"),
            lambda: EPOCH + datetime.timedelta(seconds=self.loop.time()) + self.clock_jump,
        )
        self.loop.create_task(self.live(name, place, around), context=self.loop.context_of(name))

    async def live(self, name: str, place: settings.Settings, around: environment.Environment) -> None:
        """A node's process."""
        own = node.Node(place, around)
        self.nodes[name] = own
        back = adapter.Adapter(around, own.outside)
        more, works = [], []
        if place.role == settings.EDGE:
            edge = path.RequestPath(own, back)
            own.traces = edge.traces
            self.edge_paths[name] = edge
            more, works = callers.handlers(edge), [edge.run]
        else:
            works = [
                residency.Residency(own, back).run,
                machine_power.MachinePower(own, back).run,
                alerts.Alerts(own).run,
            ]
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(own.run())
                await own.started.wait()
                self.wire.pages[f"{name}:80"] = (name, operator_api.application(own, more))
                for work in works:
                    group.create_task(work())
        except BaseExceptionGroup as error:
            self.ended.append(f"{name}: {error!r} {error.exceptions!r}")
            raise

    def kill(self, name: str) -> None:
        """End a node's process without a word from itself; its machine goes on."""
        self.loop.end(name)
        self.nodes.pop(name, None)
        self.wire.drop(name, silent=False)
        self.wire.pages.pop(f"{name}:80", None)

    def power_off(self, name: str) -> None:
        """The machine loses power: unsynced bytes go, nobody is told."""
        self.loop.end(name)
        self.nodes.pop(name, None)
        self.wire.drop(name, silent=True)
        self.wire.pages.pop(f"{name}:80", None)
        if name in self.disks:
            self.disks[name].power_loss()

    async def stop(self, name: str) -> None:
        """Stop a node gracefully, as SIGTERM does."""
        own = self.nodes[name]

        async def whole() -> None:
            own.stopping.set()
            own.failure_detector.leave()
            async with asyncio.TaskGroup() as group:
                if name in self.edge_paths:
                    group.create_task(self.edge_paths[name].drain())
                group.create_task(daemon.transfer_leadership(own))
            self.wire.pages.pop(f"{name}:80", None)
            await asyncio.sleep(daemon.LAST_WORDS.total_seconds())

        ending = self.loop.create_task(whole(), context=self.loop.context_of(name))
        await asyncio.wait([ending], timeout=8)
        self.kill(name)

    async def until(self, condition: collections.abc.Callable[[], bool], within: float, what: str) -> float:
        """Wait in simulated time until something holds; fails after so many seconds."""
        began = self.loop.time()
        while not condition():
            if self.loop.time() - began > within:
                raise AssertionError(f"seed {self.seed}: not {what} within {within} s: {self.show()}")
            await asyncio.sleep(0.05)
        return self.loop.time() - began

    def show(self) -> dict:
        """The state of all nodes, for a failed run."""
        return {
            name: {
                "pairs": {
                    group_id: (held.status_reason, str(held.known), held.has_lease())
                    for group_id, held in own.group_replicas.items()
                },
                "seat": own.witness_bootstrap.status_reason,
                "plan": own.relay.revision.text(),
                "current": own.relay.current(),
            }
            for name, own in self.nodes.items()
            if self.alive(name)
        } | {"ended": self.ended}

    def alive(self, name: str) -> bool:
        """Whether a node's process runs."""
        return self.loop.lives.get(name, 0) > 0

    def leader(self, group_id: int) -> str:
        """The node that may act as a group's primary now, or nothing."""
        for name, own in self.nodes.items():
            if self.alive(name) and name not in self.loop.frozen and group_id in own.group_replicas:
                if own.group_replicas[group_id].has_lease() and own.group_replicas[group_id].status_reason == "serving":
                    return name
        return ""

    def formed(self) -> bool:
        """Whether all pairs are served."""
        return all(self.leader(group_id) for group_id in range(3))

    def ready(self) -> bool:
        """Whether all pairs are served and all living edges hold a current plan."""
        return self.formed() and all(
            name in self.nodes and self.nodes[name].relay.current()
            for name in self.edges
            if self.alive(name) and name not in self.loop.frozen
        )

    def caller(self, seed: int) -> caller.Caller:
        """Callers outside the fleet."""
        return caller.Caller(
            self.mix,
            tuple(f"{name}:80" for name in self.edges),
            wire.SimTransport(self.wire, OUTSIDE),
            random.Random(self.seed * 1000 + seed),
        )


def play(
    seed: int,
    scenario: collections.abc.Callable,
    size: Size = Size(),
    name: str = shape.TILLS,
    weather: wire.Weather = wire.Weather(),
    more: dict | None = None,
) -> SimulatedCluster:
    """Play a trace in a fresh simulated world; ``more`` are settings of all nodes that differ from their defaults."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="aspencroft-"))
    cluster = SimulatedCluster(seed, size, shape.shape_of(name), weather, folder, more)

    async def whole() -> None:
        cluster.begin_world()
        for one in cluster.names():
            cluster.start(one)
        await cluster.loop.create_task(scenario(cluster), context=cluster.loop.context_of(OUTSIDE))

    try:
        cluster.loop.run_until_complete(whole())
    finally:
        cluster.loop.bury()
        shutil.rmtree(folder, ignore_errors=True)
    return cluster
