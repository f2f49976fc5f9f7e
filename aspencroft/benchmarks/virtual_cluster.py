"""A cluster of real nodes in one process, on a virtual clock and a simulated network, without traffic or workers."""

import asyncio
import collections.abc
import dataclasses
import datetime
import pathlib
import random

from aspencroft.benchmarks import virtual, wire
from aspencroft.leadership import singleton_role
from aspencroft.node import node, settings
from aspencroft.runtime import environment

EPOCH = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)
SINGLETON_ROLES = ("residency", "rest", "alerts")
POLL_INTERVAL_S = 0.05
STOP_GRACE_S = 0.5
ROLES = (settings.EDGE, settings.STORAGE, settings.CORE)


@dataclasses.dataclass(frozen=True)
class Shape:
    """How many nodes a cluster has of each role, and the one-way delay between its regions in seconds."""

    nodes: int = 64
    cores: int = 5
    storages: int = 6
    regions: int = 7
    zones: int = 28
    far: float = 0.04
    seed: int = 1
    currency: float = 4.0


class InlineDisk:
    """The real file system, without threads: the loop's clock stands still meanwhile."""

    async def perform(self, function, *arguments):
        """Run file work at once."""
        return function(*arguments)

    def synchronise(self, path: pathlib.Path) -> None:
        """Nothing lasts longer than the run."""


class VirtualCluster:
    """The nodes, their simulated network, and the faults that can be injected."""

    def __init__(self, shape: Shape, folder: pathlib.Path):
        self.shape = shape
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        edges = shape.nodes - shape.cores - shape.storages
        self.roles: dict[str, str] = {}
        for role, count in (
            (settings.CORE, shape.cores),
            (settings.STORAGE, shape.storages),
            (settings.EDGE, edges),
        ):
            self.roles.update({f"{role}-{number}:1": role for number in range(count)})
        self.zones: dict[str, str] = {}
        for role in ROLES:
            for index, name in enumerate(each for each, node_role in self.roles.items() if node_role == role):
                zone = index % shape.zones
                self.zones[name] = f"r{zone % shape.regions}-z{zone}"
        self.wire = wire.Wire(wire.Distance(far=shape.far), self.zones)
        self.seeds = tuple(f"core-{number}:1" for number in range(3 if shape.cores < 5 else 5))
        self.nodes: dict[str, node.Node] = {}
        self.tasks: dict[str, asyncio.Task] = {}

    def settings_of(self, name: str) -> settings.Settings:
        """A node's settings."""
        role = self.roles[name]
        raw = {
            "address": name,
            "http": f"{name[:-2]}:80",
            "area": self.zones[name],
            "seeds": list(self.seeds),
            "role": role,
            "currency": self.shape.currency,
        }
        if role == settings.STORAGE:
            raw["data"] = str(self.folder / name[:-2])
        return settings.check(raw)

    def start(self, name: str) -> None:
        """Start a node."""
        self.wire.dark.discard(name)
        node_environment = environment.Environment(
            wire.Network(self.wire, name),
            InlineDisk(),
            lambda: None,
            random.Random(f"{self.shape.seed} {name} {self.loop.time()}"),
            lambda: EPOCH + datetime.timedelta(seconds=self.loop.time()),
        )
        own = self.nodes[name] = node.Node(self.settings_of(name), node_environment)
        self.tasks[name] = self.loop.create_task(self.run_node(own), context=virtual.context_of(name))

    async def run_node(self, own: node.Node) -> None:
        """Run what a daemon runs, apart from traffic, workers and HTTP."""
        async with asyncio.TaskGroup() as group:
            group.create_task(own.run())
            if own.settings.role != settings.EDGE:
                await own.started.wait()
                for name in SINGLETON_ROLES:
                    role = singleton_role.SingletonRole(
                        name, own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit
                    )
                    own.singleton_roles[name] = role
                    group.create_task(role.run())

    def kill(self, name: str, silent: bool) -> None:
        """Kill a node's process, which breaks its streams; if ``silent``, its machine: its streams hang."""
        if silent:
            self.wire.dark.add(name)
        self.wire.listeners.pop(name, None)
        self.tasks.pop(name).cancel()
        self.nodes.pop(name)

    async def until(self, condition: collections.abc.Callable[[], bool], within: float) -> float:
        """Poll a condition for ``within`` virtual seconds; seconds waited, or -1 on time-out."""
        began = self.loop.time()
        while not condition():
            if self.loop.time() - began > within:
                return -1.0
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.loop.time() - began

    async def end(self) -> None:
        """Stop all nodes."""
        for name in list(self.tasks):
            self.tasks.pop(name).cancel()
        await asyncio.sleep(STOP_GRACE_S)


@dataclasses.dataclass
class Counters:
    """Processor seconds by node and traffic by node, counted since the cluster began."""

    processor_seconds: dict[str, float]
    traffic: dict[str, wire.Traffic]

    @staticmethod
    def of(cluster: VirtualCluster) -> "Counters":
        """The counters now."""
        return Counters(
            dict(cluster.loop.booked),
            {name: dataclasses.replace(one) for name, one in cluster.wire.traffic.items()},
        )
