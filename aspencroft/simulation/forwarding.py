"""A simulated world for opaque calls: edges, storage, core, workers, agents, an operator and faults.

Seeded campaigns.
"""

import asyncio
import collections
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import hashlib
import json
import pathlib
import random
import shutil
import sys
import tempfile
import time
import typing

import defopt

from aspencroft.cli import daemon
from aspencroft.configuration import operator_configuration
from aspencroft.consensus import witness
from aspencroft.emulator import agent, engine, shape, worker_server
from aspencroft.errors import result
from aspencroft.node import drain_order, node, settings
from aspencroft.proxy import call, forwarder, instance, instances
from aspencroft.replication import snapshotting
from aspencroft.runtime import clock, environment
from aspencroft.simulation import rules, simulated_cluster, wire
from aspencroft.workers import list_reader, pool

HOST = "h.example"
WAY = 0.001
LIST_LAG = 0.6
LIST_RATE = 44.0
LINGER = 0.4
CRASH_SHOWN = 2.5
REUSE = 2.0
READY_EVERY = 1.0
GROUPS = 3
SHOWN = 6
DRAIN_CALL = clock.seconds(0.9)
ROUTES, SERVICES = "routes", "services"
KINDS = {ROUTES: "http_routes", SERVICES: "services"}
"""The kind of resource of each group in what an operator writes."""
EDGE_FAULTS = ("edge kill", "edge power", "edge freeze", "edge stop")
DISK_FAULTS = (
    "kill",
    "power",
    "freeze",
    "cut",
    "one way",
    "slow disk",
    "wipe",
    "replace",
    "stop",
    "leader",
    "after turn",
    "after write",
    "halves",
    "retire",
    "reset",
)
WORKER_FAULTS = (
    "release",
    "crash",
    "answers lost",
    "garble",
    "closes",
    "list",
    "worker freeze",
    "worker cut",
)
FAULTS = (
    *EDGE_FAULTS,
    "edge cut",
    "edge add",
    *DISK_FAULTS,
    "storage add",
    *WORKER_FAULTS,
    "burst",
    "race",
    "invalid",
)
MODEL = worker_server.Work(
    shape=engine.Shape(
        slots=8,
        queue=24,
        step=clock.seconds(0.004),
        step_more=clock.seconds(0.0002),
        reading=60_000.0,
        memory=40_000,
        stride=10,
        at_once=10,
    )
)
PLAIN = worker_server.Work(slots=6, queue=12)
FAULTS_AT_FIRST = worker_server.Faults()
FLEET = (("chat-a", MODEL, 3), ("chat-b", MODEL, 2), ("tool-a", PLAIN, 2), ("tool-b", PLAIN, 1))
CHAT = agent.Use("chat", HOST, "/chat/", "stream", 0.3, 4.0, 1, retained=True)
DESK = agent.Use("desk", HOST, "/desk/", "stream", 0.3, 4.0, 1, resumable=True)
LIGHT = agent.Use("light", HOST, "/light/", "safe", 0.1, 1.0, 1)
ALERT = agent.Use("alert", HOST, "/alert/", "non_idempotent", 0.2, 1.5, 1)
LOCK = agent.Use("lock", HOST, "/lock/", "keyed", 0.2, 1.5, 2)
HABITS = (
    (agent.Habit(CHAT, (LIGHT, ALERT, LOCK)), 1.6),
    (agent.Habit(DESK, (LIGHT, LOCK), turns=3, helper_share=0.3), 0.8),
)


@dataclasses.dataclass(eq=False)
class Visit:
    """A call at an edge: what it sends back, and the task that serves it."""

    told: asyncio.Queue
    task: asyncio.Task | None = None


class Door:
    """A caller's way to one edge: the call is served in the edge's own life, as its front would."""

    def __init__(self, world: "World", name: str):
        self.world = world
        self.name = name

    async def ask(self, one: call.Call) -> call.Answer:
        """Have a call served; Gone when the edge is not there or ends."""
        world, visit = self.world, Visit(asyncio.Queue())
        await asyncio.sleep(WAY)
        if not world.alive(self.name) or self.name not in world.forwarders:
            await asyncio.sleep(1.0 if self.name in world.dark else WAY)
            raise agent.Gone(False)
        world.visits[self.name][visit] = None
        visit.task = world.loop.create_task(
            self.serve(world.forwarders[self.name], one, visit), context=world.loop.context_of(self.name)
        )
        handed = False
        try:
            kind, value = await visit.told.get()
            if kind == "refused":
                world.note_refusal(one, value)
                raise value
            if kind == "gone":
                raise agent.Gone(True)
            handed = value.parts is not None
            return value if not handed else dataclasses.replace(value, parts=self.parts(visit))
        finally:
            if not handed:
                self.leave(visit)

    def leave(self, visit: Visit) -> None:
        """The caller is gone; the edge hears of it."""
        world = self.world
        world.visits[self.name].pop(visit, None)
        if visit.task is not None and not visit.task.done() and world.alive(self.name):
            world.loop.call_later(WAY, visit.task.cancel, context=world.loop.context_of(self.name))

    async def parts(self, visit: Visit) -> collections.abc.AsyncIterator[bytes]:
        """What comes of a stream."""
        try:
            while True:
                kind, value = await visit.told.get()
                if kind == "end":
                    return
                if kind == "gone":
                    raise agent.Gone(True)
                yield value
        finally:
            self.leave(visit)

    def tell(self, visit: Visit, kind: str, value=None) -> None:
        """Send something back to the caller."""
        self.world.wire.outside(WAY, visit.told.put_nowait, (kind, value))

    async def serve(self, forwarding: forwarder.Forwarder, one: call.Call, visit: Visit) -> None:
        """What the edge's process does with a call."""
        try:
            answer = await forwarding.handle(dataclasses.replace(one, arrived=clock.now()))
        except result.RequestError as refusal:
            self.tell(visit, "refused", refusal)
            return
        except Exception as error:
            self.world.unforeseen.append(f"{self.name}: {one.attempt}: {error!r}")
            self.tell(visit, "refused", result.RequestError(result.ResultCode.INTERNAL, result.Ran.UNKNOWN))
            return
        self.tell(visit, "answer", answer)
        if answer.parts is None:
            return
        try:
            async for part in answer.parts:
                self.tell(visit, "part", part)
            self.tell(visit, "end")
        except result.RequestError:
            self.tell(visit, "gone")
        except Exception as error:
            self.world.unforeseen.append(f"{self.name}: {one.attempt}: {error!r}")
            self.tell(visit, "gone")
        finally:
            await answer.parts.aclose()


class Cloud:
    """The platform's list of workers: it lags, bounds how often it is asked, and can be silent."""

    def __init__(self):
        self.history: list[tuple[float, tuple[instance.Instance, ...]]] = [(-10.0, ())]
        self.asked: collections.deque[float] = collections.deque()
        self.silent = False
        self.reads = 0

    def change(self, now: float, found: tuple[instance.Instance, ...]) -> None:
        """The list is this from now on; it shows so later."""
        self.history.append((now + LIST_LAG, found))

    def shown(self, now: float) -> list[instance.Instance]:
        """What the list shows; a Refusal when it is asked too often."""
        self.reads += 1
        while self.asked and self.asked[0] < now - 1:
            self.asked.popleft()
        if len(self.asked) >= LIST_RATE:
            raise result.RequestError(result.ResultCode.LIST_BROKEN, detail="asked too often")
        self.asked.append(now)
        return list([found for at, found in self.history if at <= now][-1])


class World(simulated_cluster.SimulatedCluster):
    """A scene whose edges forward opaque calls, with workers, a list of them, and what is noted for the judge."""

    def __init__(self, seed: int, size: simulated_cluster.Size, folder: pathlib.Path):
        more = {
            "witnesses": settings.CORE,
            "currency": clock.seconds(30),
            "confirm": clock.seconds(0.25),
            "talk_pairs": GROUPS,
        }
        weather = wire.Weather(jitter=0.002)
        super().__init__(seed, size, shape.shape_of(shape.TILLS), weather, folder, more)
        self.forwarders: dict[str, forwarder.Forwarder] = {}
        self.visits: dict[str, dict[Visit, None]] = collections.defaultdict(dict)
        self.dark: set[str] = set()
        self.ready_edges: set[str] = set()
        self.lives: dict[str, list[float]] = collections.defaultdict(list)
        self.troubles: list[rules.Trouble] = []
        self.workers: list[worker_server.Worker] = []
        self.at: dict[str, worker_server.Worker] = {}
        self.listed: dict[str, instance.Instance] = {}
        self.cloud = Cloud()
        self.draining: dict[str, float] = {}
        self.refused: list[rules.Refused] = []
        self.unforeseen: list[str] = []
        self.allowed: collections.abc.Callable[[call.Call], frozenset[str]] = lambda one: frozenset()
        self.faults = dataclasses.replace(FAULTS_AT_FIRST)

    # -- nodes -----------------------------------------------------------------------------------

    def begin_world(self) -> None:
        """Start the workers, and the platform's look at the edges."""
        self.loop.begin(simulated_cluster.OUTSIDE)
        for service, work, count in FLEET:
            for number in range(count):
                self.begin_worker(f"{service}-{number}", service, work)

    def start(self, name: str) -> None:
        """Start a node's process."""
        self.dark.discard(name)
        self.lives[name].append(self.loop.time())
        super().start(name)

    async def live(self, name: str, place: settings.Settings, around: environment.Environment) -> None:
        """A node's process, as the programs build it."""
        try:
            own = node.Node(place, around)
            self.nodes[name] = own
            works = self.works(name, own)
            async with asyncio.TaskGroup() as group:
                group.create_task(own.run())
                await own.started.wait()
                for work in works:
                    group.create_task(work())
        except Exception as error:
            self.ended.append(f"{name}: {error!r} {getattr(error, 'exceptions', '')!r}")
            raise

    def works(self, name: str, own: node.Node) -> list:
        """What a node's program does beside being a node."""

        async def lister() -> list[instance.Instance]:
            await asyncio.sleep(2 * WAY)
            if self.cloud.silent or self.wire.is_cut(name, "platform"):
                await asyncio.sleep(0.5)
                raise result.RequestError(result.ResultCode.LIST_BROKEN, detail="no answer")
            return self.cloud.shown(self.loop.time())

        if own.settings.role == settings.EDGE:
            connections, known = pool.Pool(own.environment, own.outside), instances.Instances()
            forwarding = forwarder.Forwarder(own, worker_server.StandDialect(), known, connections)
            own.traces = forwarding.traces
            self.forwarders[name] = forwarding
            return [connections.run, list_reader.Watch(own, known, lister).run, forwarding.run]
        if own.settings.role == settings.CORE:
            return [list_reader.ListReader(own, lister).run]
        return []

    def kill(self, name: str) -> None:
        """End a node's process without a word from itself; its machine goes on."""
        super().kill(name)
        self.end_visits(name, True)

    def power_off(self, name: str) -> None:
        """The machine loses power."""
        super().power_off(name)
        self.dark.add(name)
        self.end_visits(name, False)

    def end_visits(self, name: str, told: bool) -> None:
        """An edge ended: its callers hear of it, or not."""
        self.forwarders.pop(name, None)
        for visit in self.visits.pop(name, ()):
            if told:
                self.wire.outside(WAY, visit.told.put_nowait, ("gone", None))

    async def stop(self, name: str) -> None:
        """Stop a node in order, as the programs do."""
        own, forwarding = self.nodes[name], self.forwarders.get(name)

        async def whole() -> None:
            own.stopping.set()
            own.failure_detector.leave()
            async with asyncio.TaskGroup() as group:
                if forwarding is not None:
                    group.create_task(forwarding.drain())
                group.create_task(daemon.transfer_leadership(own))
            await asyncio.sleep(daemon.LAST_WORDS.total_seconds())

        ending = self.loop.create_task(whole(), context=self.loop.context_of(name))
        await asyncio.wait([ending], timeout=8)
        self.kill(name)

    def reset_streams(self, name: str) -> None:
        """All streams of a machine are reset; its processes go on."""
        for near_node, far_node, near, far in self.wire.channels:
            if name in (near_node, far_node):
                near.abort()
                far.abort()

    def formed(self) -> bool:
        """Whether all groups are served."""
        return all(self.leader(group) for group in range(1 + GROUPS))

    def whole(self) -> bool:
        """Whether all groups are served with all their copies, all witnesses are there, and every living edge may
        act.
        """
        witnesses = {
            address.split(":")[0]
            for name in self.cores
            if self.alive(name) and name in self.nodes
            for address in self.nodes[name].proposer.voter_set.all_voters()
        }
        if not self.ready() or not all(self.alive(name) for name in witnesses):
            return False
        if not all(self.nodes[self.leader(group)].group_replicas[group].known.backups for group in range(1 + GROUPS)):
            return False
        return all(
            self.forwarders[name].ready()
            for name in self.edges
            if self.alive(name) and name not in self.loop.frozen and name in self.forwarders
        )

    async def watch_readiness(self) -> None:
        """The platform's look at each edge: two misses take it out, one answer in."""
        misses: collections.Counter = collections.Counter()
        while True:
            for name in self.edges:
                there = self.alive(name) and name not in self.loop.frozen and name in self.forwarders
                if there and self.is_ready(name):
                    misses[name] = 0
                    self.ready_edges.add(name)
                else:
                    misses[name] += 1
                    if misses[name] >= 2:
                        self.ready_edges.discard(name)
            await asyncio.sleep(READY_EVERY)

    def left_over(self) -> list[str]:
        """What the edges still hold though no call is under way."""
        found = []
        for name, forwarding in self.forwarders.items():
            connections = forwarding.pool
            resting = sum(len(row) for row in connections.resting.values())
            running = {one: known.running for one, known in forwarding.instances.states.items() if known.running}
            if forwarding.active:
                found.append(f"LEFT {name}: {forwarding.active} calls count as under way")
            if connections.total != resting or sum(connections.open.values()) != resting:
                found.append(f"LEFT {name}: {connections.total} connections count as open, {resting} rest")
            if running:
                found.append(f"LEFT {name}: requests count as running at {running}")
        return found

    def is_ready(self, name: str) -> bool:
        """What an edge says of itself."""
        return self.loop.context_of(name).run(self.forwarders[name].ready)

    def doors(self) -> list[Door]:
        """The edges that take new connections: all of them when fewer than half are in."""
        able = [name for name in self.edges if name in self.ready_edges]
        return [Door(self, name) for name in (able if 2 * len(able) >= len(self.edges) else self.edges)]

    async def at_node(
        self, name: str, work: collections.abc.Callable[[node.Node], collections.abc.Awaitable], within: float
    ):
        """Do something in a node's own life, as its control point would.

        Gone when it ends, TimeoutError when it is silent.
        """
        await asyncio.sleep(WAY)
        if not self.alive(name) or name not in self.nodes:
            raise agent.Gone(False)
        visit, own = Visit(asyncio.Queue()), self.nodes[name]
        self.visits[name][visit] = None

        async def serve() -> None:
            try:
                value = "done", await work(own)
            except result.RequestError as refusal:
                value = "refused", refusal
            except Exception as error:
                self.unforeseen.append(f"{name}: an order: {error!r}")
                value = "gone", None
            self.wire.outside(WAY, visit.told.put_nowait, value)

        self.loop.create_task(serve(), context=self.loop.context_of(name))
        try:
            async with asyncio.timeout(within):
                kind, value = await visit.told.get()
        finally:
            self.visits[name].pop(visit, None)
        if kind == "refused":
            raise value
        if kind == "gone":
            raise agent.Gone(True)
        return value

    @contextlib.contextmanager
    def trouble(self, name: str, planned: bool = False):
        """A machine's time of trouble, for the judge."""
        one = rules.Trouble(name, self.loop.time(), planned)
        self.troubles.append(one)
        try:
            yield one
        finally:
            one.ended = self.loop.time()

    # -- workers ---------------------------------------------------------------------------------

    def begin_worker(self, host: str, service: str, work: worker_server.Work) -> worker_server.Worker:
        """Start a worker's life at a host; the list shows it."""
        name = f"i-{len(self.workers)}"
        zone = simulated_cluster.AREAS[len(self.workers) % 3]
        life = worker_server.Worker(
            name,
            service,
            zone,
            work,
            random.Random(f"{self.seed} {name}"),
            1.0 + 0.3 * (len(self.workers) % 3 == 0),
        )
        life.faults = self.faults
        self.workers.append(life)
        self.at[host] = life
        self.loop.begin(host)
        self.loop.create_task(
            life.serve(wire.SimNetwork(self.wire, host), f"{host}:80"), context=self.loop.context_of(host)
        )
        self.listed[name] = instance.Instance(name, f"{host}:80", service, zone, "v1", work.places(), False, clock.ZERO)
        self.list_workers()
        return life

    def list_workers(self) -> None:
        """Let the platform's list show what is there now."""
        self.cloud.change(self.loop.time(), tuple(self.listed.values()))

    def shown_as_leaving(self, life: worker_server.Worker) -> None:
        """A worker is shown as draining or gone from now on, with the list's lag."""
        self.draining.setdefault(life.name, self.loop.time() + LIST_LAG)

    def end_worker(self, host: str) -> None:
        """A worker's process ends."""
        self.loop.end(host)
        self.wire.drop(host, silent=False)
        self.at[host].ended = True

    async def release_worker(self, host: str, drain: float) -> None:
        """A worker drains and ends; another takes its service over elsewhere.

        And a later one of another service its address.
        """
        life = self.at[host]
        fresh = f"{life.service}-{len(self.workers)}"
        self.begin_worker(fresh, life.service, life.work)
        self.listed[life.name] = dataclasses.replace(self.listed[life.name], draining=True)
        self.list_workers()
        self.shown_as_leaving(life)
        await asyncio.sleep(LIST_LAG * self.chance.random())
        life.leaving = True
        await asyncio.sleep(drain + LIST_LAG + LINGER)
        self.end_worker(host)
        del self.listed[life.name], self.at[host]
        self.list_workers()
        await asyncio.sleep(REUSE)
        self.reuse(host, life.service)

    def reuse(self, host: str, service: str) -> None:
        """An address is given to a worker of another service."""
        other = self.chance.choice(sorted({name for name, _, _ in FLEET} - {service}))
        self.begin_worker(host, other, next(work for name, work, _ in FLEET if name == other))

    async def crash_worker(self, host: str) -> None:
        """A worker crashes; the list shows it for some seconds, while its address may be another's already."""
        life = self.at[host]
        self.end_worker(host)
        await asyncio.sleep(REUSE)
        self.reuse(host, life.service)
        self.begin_worker(f"{life.service}-{len(self.workers)}", life.service, life.work)
        await asyncio.sleep(CRASH_SHOWN - REUSE)
        del self.listed[life.name]
        self.list_workers()
        self.shown_as_leaving(life)

    def note_refusal(self, one: call.Call, refusal: result.RequestError) -> None:
        """Note how full the workers that could serve a call were when it was refused."""
        if refusal.result.name not in rules.NOT_OWN:
            return
        services = self.allowed(one)
        loads = [
            life.load() for life in self.at.values() if life.service in services and not life.ended and not life.leaving
        ]
        self.refused.append(
            rules.Refused(
                one.attempt,
                sum(load[0] for load in loads),
                sum(load[1] for load in loads),
                sum(load[2] for load in loads),
            )
        )


class Operator:
    """Whoever writes configurations: one after the other, races, invalid ones; each repeated until it is clear."""

    kinds: typing.ClassVar[dict[str, str]] = KINDS

    def __init__(self, world: World, chance: random.Random):
        self.world = world
        self.chance = chance
        self.versions: list[rules.Version] = []
        self.routes: dict[str, dict] = {}
        self.services: dict[str, dict] = {}
        self.number = 0
        self.added = 0
        self.waits: list[float] = []
        self.attempts = 1 + self.chance.randrange(3)
        self.busy = asyncio.Lock()

    def begin(self) -> None:
        """What the first configuration holds."""
        for service, work, _ in FLEET:
            spec = {"kind": "model" if work.shape else "plain", "max_connections": work.connections}
            if work.shape:
                spec["engine"] = {
                    "slots": work.shape.slots,
                    "kv_tokens": work.shape.memory,
                    "stride": work.shape.stride,
                    "models": ["m"],
                }
            self.services[service] = spec
        for use in (CHAT, DESK, LIGHT, ALERT, LOCK):
            kind = "chat" if use.kind == "stream" else "tool"
            self.routes[use.name] = {
                "host": HOST,
                "prefix": use.prefix,
                "kind": use.kind,
                "timeout": use.within,
                "aim": use.aim,
                "retained": use.retained,
                "keep": 60.0,
                "attempts": self.attempts,
                "resumable": use.resumable,
                "affinity": use.kind == "stream",
                "gap": use.gap if use.kind == "stream" else 0.0,
                "targets": [{"service": f"{kind}-a", "weight": 1}],
            }

    def version(self, routes: dict[str, dict], base: int, valid: bool = True, step: int | None = None) -> rules.Version:
        """A version that an operator means to send."""
        self.number += self.chance.randrange(1, 4) if step is None else step
        items = {(ROUTES, name): json.dumps(spec, sort_keys=True) for name, spec in routes.items()}
        items.update({(SERVICES, name): json.dumps(spec, sort_keys=True) for name, spec in self.services.items()})
        one = rules.Version(self.number, base, self.world.loop.time(), dict(routes), items, valid)
        self.versions.append(one)
        return one

    def command(
        self, one: rules.Version, before: dict[tuple[str, str], str] | None
    ) -> operator_configuration.ApplyConfiguration:
        """The order for a version, whole or as what differs from the one before."""
        items = tuple(
            operator_configuration.Item(group, name, text, self.kinds[group], name, text)
            for (group, name), text in one.items.items()
            if before is None or before.get((group, name)) != text
        )
        gone = (
            ()
            if before is None
            else tuple(operator_configuration.Label(*place) for place in before if place not in one.items)
        )
        digest = hashlib.blake2b(
            repr((one.number, one.base, before is None, items, gone)).encode(), digest_size=16
        ).digest()
        return operator_configuration.ApplyConfiguration(one.number, one.base, before is None, items, gone, digest)

    async def send(
        self, one: rules.Version, command: operator_configuration.ApplyConfiguration, span: float = 30.0
    ) -> str:
        """Send an order until the answer is clear, to one node after the other; how it ended."""
        world, began, pause = self.world, self.world.loop.time(), 0.05
        one.sent = began
        while world.loop.time() < began + span:
            name = self.chance.choice(world.cores)
            try:
                await world.at_node(name, lambda own: own.apply(command), 1.0)
                one.taken = world.loop.time()
                self.waits.append(one.taken - began)
                return "taken"
            except result.RequestError as refusal:
                if refusal.result in (
                    result.ResultCode.REVISION_DIFFERS,
                    result.ResultCode.PLAN_INVALID,
                    result.ResultCode.MALFORMED,
                ):
                    one.refused = True
                    return refusal.result.name
            except (agent.Gone, TimeoutError):
                pass
            await asyncio.sleep(pause)
            pause = min(0.5, 1.5 * pause)
        return "unclear"

    async def first(self) -> None:
        """Have the first configuration taken."""
        self.begin()
        one = self.version(self.routes, 0)
        if await self.send(one, self.command(one, None)) != "taken":
            raise AssertionError("the first configuration was not taken")
        self.current = one

    async def read(self) -> tuple[int, dict[tuple[str, str], str]] | None:
        """The newest configuration, asked for again and again."""
        began, pause = self.world.loop.time(), 0.05
        while self.world.loop.time() < began + 12:
            try:
                found = await self.world.at_node(
                    self.chance.choice(self.world.cores), lambda own: own.read_configuration(), 1.0
                )
                return found.version, {(item.group, item.label): item.text for item in found.items}
            except (result.RequestError, agent.Gone, TimeoutError):
                await asyncio.sleep(pause)
                pause = min(0.5, 1.5 * pause)
        return None

    async def settle(self) -> None:
        """Learn which version is in force after an unclear end."""
        found = await self.read()
        if found is not None:
            known = [one for one in self.versions if one.number == found[0] and one.items == found[1]]
            if known:
                self.current, self.routes = known[0], dict(known[0].routes)

    def changed(self) -> dict[str, dict]:
        """The routes with one change: moved, split, another time-out, one added or removed."""
        routes, chance = dict(self.routes), self.chance
        extra = sorted(name for name in routes if name.startswith("extra"))
        kind = chance.choice(["move", "split", "timeout", "add", "add", "remove"])
        name = chance.choice([use.name for use in (CHAT, DESK, LIGHT, ALERT, LOCK)] + extra)
        sort = "chat" if routes[name]["kind"] == "stream" else "tool"
        if kind == "add":
            self.added += 1
            fresh = f"extra{self.added}"
            routes[fresh] = {
                **routes["light"],
                "prefix": f"/{fresh}/",
                "targets": [{"service": f"tool-{chance.choice('ab')}", "weight": 1}],
            }
        elif kind == "remove" and extra:
            del routes[chance.choice(extra)]
        elif kind == "split":
            targets = [{"service": f"{sort}-{one}", "weight": chance.randrange(1, 100)} for one in "ab"]
            routes[name] = {**routes[name], "targets": targets}
        elif kind == "timeout":
            routes[name] = {
                **routes[name],
                "timeout": round(routes[name]["timeout"] * (0.9 + 0.2 * chance.random()), 3),
            }
        else:
            routes[name] = {
                **routes[name],
                "targets": [{"service": f"{sort}-{chance.choice('ab')}", "weight": 1}],
            }
        return routes

    async def change(self) -> None:
        """One change, as a whole or as a patch."""
        async with self.busy:
            one = self.version(self.changed(), self.current.number)
            before = self.current.items if self.chance.random() < 0.6 else None
            if await self.send(one, self.command(one, before)) == "taken":
                self.current, self.routes = one, one.routes
            else:
                await self.settle()

    async def race(self) -> None:
        """Two changes at once on top of the same version."""
        async with self.busy:
            both = [self.version(self.changed(), self.current.number, step=1 + place) for place in range(2)]
            await asyncio.gather(*(self.send(one, self.command(one, self.current.items)) for one in both))
            await self.settle()

    async def invalid(self) -> None:
        """A configuration that cannot be: no such service, two routes at one place, no weight, or too low a number."""
        async with self.busy:
            kind, routes = (
                self.chance.choice(["service", "place", "weight", "number", "timeout"]),
                dict(self.routes),
            )
            if kind == "service":
                routes["light"] = {**routes["light"], "targets": [{"service": "nowhere", "weight": 1}]}
            elif kind == "place":
                routes["double"] = {**routes["light"]}
            elif kind == "weight":
                routes["light"] = {**routes["light"], "targets": [{"service": "tool-b", "weight": 0}]}
            elif kind == "timeout":
                routes["light"] = {**routes["light"], "timeout": 0}
            one = self.version(routes, self.current.number, valid=False, step=1)
            if kind == "number":
                one.number = self.current.number
            await self.send(one, self.command(one, self.current.items if self.chance.random() < 0.5 else None), 6.0)

    async def run(self, over: collections.abc.Callable[[], bool]) -> None:
        """Change something again and again."""
        while not over():
            await asyncio.sleep(0.5 + self.chance.expovariate(0.6))
            if not over():
                await self.change()


class Day:
    """One campaign's course: traffic, an operator and faults, perhaps a closing fault, then the judge."""

    def __init__(
        self,
        world: World,
        chance: random.Random,
        kinds: tuple[str, ...] = FAULTS,
        count: int = 4,
        closing: bool | None = None,
        rate: float = 1.0,
    ):
        self.world = world
        self.chance = chance
        self.kinds = kinds
        self.count = count
        self.closes = chance.random() < 0.3 if closing is None else closing
        self.rate = rate
        self.operator = Operator(world, random.Random(chance.random()))
        world.allowed = lambda one: self.operator.current.services(one.host, one.path())
        self.agents = agent.Agents(world.doors, random.Random(chance.random()))
        self.done: list[str] = []
        self.told: list[str] = []
        self.over = False
        self.hurt: set[str] = set()
        self.fresh = 0
        self.read_back: tuple[int, dict[tuple[str, str], str]] | None = None
        self.closing: tuple[float, float] | None = None

    async def run(self) -> None:
        """Form, take a configuration, serve beside faults, end, read back."""
        world = self.world
        await world.until(world.formed, 30, "formed")
        await self.operator.first()
        await world.until(world.whole, 20, "ready")
        async with asyncio.TaskGroup() as group:
            watching = group.create_task(world.watch_readiness())
            await asyncio.sleep(0.1)
            habits = tuple((habit, rate * self.rate) for habit, rate in HABITS)
            traffic = [
                group.create_task(self.agents.run(habits, lambda: self.over)),
                group.create_task(self.operator.run(lambda: self.over)),
                group.create_task(self.probe()),
            ]
            await asyncio.sleep(1.0)
            async with asyncio.TaskGroup() as hurting:
                for _ in range(self.count):
                    hurting.create_task(self.guarded(self.chance.choice(self.kinds)))
                    await asyncio.sleep(0.5 + 3 * self.chance.random())
            await asyncio.sleep(1.5)
            self.over = True
            if self.closes:
                await self.closing_fault()
            await asyncio.wait(traffic)
            self.read_back = await self.operator.read()
            await asyncio.sleep(1.5)
            self.told.extend(world.left_over())
            watching.cancel()

    async def probe(self) -> None:
        """A few requests go to each edge that takes callers, on routes that were added, removed or never there."""
        while not self.over:
            await asyncio.sleep(0.25)
            number = self.chance.randrange(1, self.operator.added + 2)
            use = agent.Use(f"extra{number}", HOST, f"/extra{number}/", "safe", 0.1, 1.0, 0)
            for door in self.world.doors():
                made = self.agents.make(use, b"", "GET", ((worker_server.WORK, b"2"),))
                task = asyncio.ensure_future(self.agents.once(use, made, door))
                self.agents.background.add(task)
                task.add_done_callback(self.agents.background.discard)

    async def closing_fault(self) -> None:
        """All machines lose power at once and come back one by one; then programs go on and keys are sent again."""
        world, began = self.world, self.world.loop.time()
        self.done.append(f"{began:.1f} closing")
        names = world.names()
        with contextlib.ExitStack() as troubles:
            for name in names:
                troubles.enter_context(world.trouble(name))
            for name in names:
                if world.alive(name):
                    world.power_off(name)
            await asyncio.sleep(1.0)
            for name in sorted(names, key=lambda _: self.chance.random()):
                if not world.alive(name):
                    world.start(name)
                await asyncio.sleep(0.2 * self.chance.random())
        self.closing = began, world.loop.time()
        await self.agents.go_on(rules.Bounds().recovery, rules.Bounds().keep)
        asked = [one for one in self.agents.tries if one.call.session.startswith("z") and one.call.previous]
        for previous in sorted({one.call.previous for one in asked}):
            tries = [one for one in asked if one.call.previous == previous]
            if not any(one.good() for one in tries):
                self.told.append(
                    f"LOST after the closing fault turn {previous} could not be gone on from: "
                    f"{tries[-1].refusal or tries[-1].outcome}"
                )

    # -- faults ----------------------------------------------------------------------------------

    async def guarded(self, kind: str) -> None:
        """Cause a kind of fault, unless it would be more than the fleet has to bear."""
        world = self.world
        if kind in DISK_FAULTS:
            if "disk" in self.hurt:
                return
            self.hurt.add("disk")
            try:
                await world.until(world.whole, 20, f"whole before {kind}")
                self.done.append(f"{world.loop.time():.1f} {kind}")
                await self.disk_fault(kind)
                await world.until(world.whole, 20, f"whole after {kind}")
                await asyncio.sleep(0.5)
            finally:
                self.hurt.discard("disk")
            return
        if kind in EDGE_FAULTS or kind == "edge cut":
            able = [name for name in world.edges if name not in self.hurt]
            if len(able) < 2:
                return
            victim = self.chance.choice(able)
            self.hurt.add(victim)
            self.done.append(f"{world.loop.time():.1f} {kind} {victim}")
            try:
                await self.edge_fault(kind, victim)
            finally:
                self.hurt.discard(victim)
            return
        self.done.append(f"{world.loop.time():.1f} {kind}")
        await self.other_fault(kind)

    async def edge_fault(self, kind: str, victim: str) -> None:
        """A fault of an edge."""
        world, span = self.world, self.chance.choice([0.5, 3.0, 7.0]) * (0.5 + self.chance.random())
        with world.trouble(victim, kind == "edge stop"):
            if kind == "edge cut":
                others = [name for name in (*world.names(), "platform") if name != victim]
                away = self.chance.choice([others, world.storages, world.cores])
                ways = world.wire.cut([victim], away, self.chance.random() < 0.3)
                await asyncio.sleep(span)
                world.wire.heal(ways)
                return
            if kind == "edge freeze":
                world.loop.freeze(victim)
                await asyncio.sleep(span)
                world.loop.thaw(victim)
                return
            if kind == "edge stop":
                await world.stop(victim)
                await asyncio.sleep(0.3)
            elif kind == "edge kill":
                world.kill(victim)
                await asyncio.sleep(span)
            else:
                world.power_off(victim)
                await asyncio.sleep(span)
            world.start(victim)

    async def disk_fault(self, kind: str) -> None:
        """A fault of a machine with a disk."""
        world, chance, span = self.world, self.chance, 0.5 + 3 * self.chance.random()
        victim = chance.choice([*world.storages, *world.storages, *world.cores])
        if kind == "leader":
            victim = world.leader(chance.randrange(1 + GROUPS)) or victim
            kind = chance.choice(["kill", "power", "freeze", "wipe"])
        elif kind in ("after turn", "after write"):
            victim = await self.acknowledged(kind == "after write") or victim
            kind = chance.choice(["power", "wipe"])
        if kind == "halves":
            return await self.halve(span)
        if kind == "retire":
            return await self.retire()
        if kind == "reset":
            for _ in range(3):
                with world.trouble(victim):
                    world.reset_streams(victim)
                    await asyncio.sleep(span / 3)
            return
        with world.trouble(victim, kind == "stop"):
            if kind == "freeze":
                world.loop.freeze(victim)
                await asyncio.sleep(span)
                world.loop.thaw(victim)
            elif kind in ("cut", "one way"):
                others = [name for name in (*world.names(), "platform") if name != victim]
                left, right = ([victim], others) if chance.random() < 0.5 else (others, [victim])
                ways = world.wire.cut(left, right, kind == "one way")
                await asyncio.sleep(span)
                world.wire.heal(ways)
            elif kind == "slow disk":
                world.disks[victim].delay = 0.05 + 0.3 * chance.random()
                await asyncio.sleep(span)
                world.disks[victim].delay = 0.002
            elif kind == "stop":
                await world.stop(victim)
                await asyncio.sleep(0.3)
                world.start(victim)
            elif kind in ("kill", "power"):
                (world.kill if kind == "kill" else world.power_off)(victim)
                await asyncio.sleep(span)
                world.start(victim)
            else:
                await self.lose(kind, victim, span)

    async def acknowledged(self, write: bool) -> str:
        """Wait until a turn or a write of the operator was acknowledged just now; the machine that led its group."""
        world, end = self.world, self.world.loop.time() + 5
        turns, taken = len(self.agents.kept), len(self.operator.waits)
        while world.loop.time() < end:
            if write and len(self.operator.waits) > taken:
                return world.leader(0)
            if not write and len(self.agents.kept) > turns:
                return world.leader(
                    world.loop.context_of(simulated_cluster.OUTSIDE).run(
                        next(iter(world.forwarders.values())).group_of, self.agents.kept[-1][0]
                    )
                )
            await asyncio.sleep(0.001)
        return ""

    async def halve(self, span: float) -> None:
        """The core is cut in two, and all other machines are on one side or the other."""
        world, chance = self.world, self.chance
        left = chance.sample(world.cores, len(world.cores) // 2)
        left += [name for name in (*world.storages, *world.edges) if chance.random() < 0.3]
        ways = world.wire.cut(left, [name for name in world.names() if name not in left])
        with contextlib.ExitStack() as troubles:
            for name in left:
                troubles.enter_context(world.trouble(name))
            await asyncio.sleep(span)
            world.wire.heal(ways)

    async def retire(self) -> None:
        """A storage machine is drained by the operator's order, then taken away with its disk."""
        world, victim = self.world, self.chance.choice(self.world.storages)
        self.fresh += 1
        fresh = f"storage-{20 + 3 * self.fresh + int(victim.split('-')[1]) % 3}"
        world.lost.add(fresh)
        world.storages.append(fresh)
        world.start(fresh)
        end, asked, done = world.loop.time() + 20, False, False
        while world.loop.time() < end and not done:
            name = self.chance.choice(world.cores)
            try:
                if not asked:
                    await world.at_node(name, lambda own: own.drain_orders.order(victim, DRAIN_CALL), 1.0)
                    asked = True
                state = await world.at_node(name, lambda own: own.drain_orders.state(victim, DRAIN_CALL), 1.0)
                done = state is drain_order.DrainState.DRAINED
            except (result.RequestError, agent.Gone, TimeoutError):
                pass
            await asyncio.sleep(0.3)
        if not done:
            self.told.append(f"RETIRE {victim} was not emptied in 20 s (asked: {asked})")
            return
        world.storages.remove(victim)
        world.power_off(victim)
        world.disks[victim].wipe()

    async def lose(self, kind: str, victim: str, span: float) -> None:
        """A machine loses its disk: it comes back empty, or another one at another address takes its place."""
        world = self.world
        world.power_off(victim)
        world.disks[victim].wipe()
        if kind == "wipe":
            world.lost.add(victim)
            await asyncio.sleep(span)
            world.start(victim)
            return
        self.fresh += 1
        role = victim.split("-", maxsplit=1)[0]
        fresh = f"{role}-{20 + 3 * self.fresh + int(victim.split('-')[1]) % 3}"
        row = world.storages if role == "storage" else world.cores
        row[row.index(victim)] = fresh
        world.lost.add(fresh)
        await asyncio.sleep(span / 2)
        with world.trouble(fresh):
            world.start(fresh)
            await asyncio.sleep(span / 2)

    async def other_fault(self, kind: str) -> None:
        """A fault of workers or the list, a burst, or an odd operator."""
        world, chance, span = self.world, self.chance, 1 + 3 * self.chance.random()
        hosts = sorted(
            host for host, life in world.at.items() if not life.ended and not life.leaving and host not in self.hurt
        )
        if kind == "release" and hosts:
            async with asyncio.TaskGroup() as group:
                chosen = chance.sample(hosts, min(2, len(hosts)))
                self.hurt.update(chosen)
                for host in chosen:
                    group.create_task(world.release_worker(host, rules.Bounds().drain))
                    await asyncio.sleep(1.0)
        elif kind == "crash" and hosts:
            host = chance.choice(hosts)
            self.hurt.add(host)
            await world.crash_worker(host)
            self.hurt.discard(host)
        elif kind in ("answers lost", "garble", "closes"):
            some = {
                "answers lost": {"lost": 0.1, "silent": 0.05},
                "closes": {"closes": 0.3},
                "garble": {
                    "cut": 0.05,
                    "garbage": 0.05,
                    "surplus": 0.1,
                    "late": 0.1,
                    "failed": 0.05,
                    "pieces": 0.3,
                },
            }[kind]
            for name, share in some.items():
                setattr(world.faults, name, share)
            await asyncio.sleep(span)
            for name in some:
                setattr(world.faults, name, 0.0)
        elif kind in ("worker freeze", "worker cut") and hosts:
            host = chance.choice(hosts)
            ways = world.wire.cut([host], world.edges, chance.random() < 0.3) if kind == "worker cut" else set()
            if kind == "worker freeze":
                world.loop.freeze(host)
            await asyncio.sleep(span)
            world.loop.thaw(host)
            world.wire.heal(ways)
        elif kind in ("edge add", "storage add"):
            role = kind.split(maxsplit=1)[0]
            self.fresh += 1
            fresh = f"{role}-{50 + self.fresh}"
            (world.edges if role == "edge" else world.storages).append(fresh)
            world.lost.add(fresh)
            world.start(fresh)
        elif kind == "list":
            world.cloud.silent = True
            await asyncio.sleep(span)
            world.cloud.silent = False
        elif kind == "burst":
            async with asyncio.TaskGroup() as group:
                for _ in range(25):
                    group.create_task(self.agents.program(HABITS[0][0]))
                    await asyncio.sleep(0.02)
        elif kind == "race":
            await self.operator.race()
        elif kind == "invalid":
            await self.operator.invalid()

    # -- verdict ---------------------------------------------------------------------------------

    def history(self) -> rules.History:
        """All that was seen, for the judge."""
        world = self.world
        return rules.History(
            self.agents.tries,
            self.agents.programs,
            world.workers,
            self.operator.versions,
            world.troubles,
            world.draining,
            world.lives,
            rules.Bounds(),
            self.read_back,
            self.closing,
            world.refused,
            list(self.told),
        )


def play(
    seed: int,
    scenario: collections.abc.Callable,
    size: simulated_cluster.Size,
    make_world: collections.abc.Callable[[int, simulated_cluster.Size, pathlib.Path], World] = World,
) -> World:
    """Play a trace in a fresh world."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="aspencroft-"))
    world = make_world(seed, size, folder)

    async def whole() -> None:
        world.begin_world()
        for one in world.names():
            world.start(one)
        await world.loop.create_task(scenario(world), context=world.loop.context_of(simulated_cluster.OUTSIDE))

    try:
        world.loop.run_until_complete(whole())
    finally:
        world.loop.bury()
        shutil.rmtree(folder, ignore_errors=True)
    return world


SIZE = simulated_cluster.Size(3, 3, 3, apart=True)
WHOLE = simulated_cluster.Size(8, 3, 5, apart=True)


@dataclasses.dataclass(frozen=True)
class Played:
    """What came of a seeded day."""

    seed: int
    wrong: list[str]
    done: list[str]
    figures: dict
    waits: list[float]
    trace: str
    seconds: float
    stories: dict[str, list[str]] = dataclasses.field(default_factory=dict)


def trace_of(day: Day) -> str:
    """A digest of all that was seen, the same for the same seed."""
    rows = [
        f"{one.call.attempt} {one.edge} {one.began!r} {one.ended!r} {one.outcome} {one.status} {one.seal} "
        f"{len(one.heard)} {one.refusal}"
        for one in day.agents.tries
    ]
    rows.extend(
        f"{life.name} {run.attempt} {run.began!r} {run.ended!r} {run.seal}"
        for life in day.world.workers
        for run in life.runs
    )
    rows.extend(day.world.wire.trace)
    return hashlib.blake2b("\n".join(rows).encode(), digest_size=16).hexdigest()


def run_day(
    seed: int,
    kinds: tuple[str, ...] = FAULTS,
    count: int = 4,
    closing: bool | None = None,
    rate: float = 1.0,
    size: simulated_cluster.Size = SIZE,
) -> Played:
    """One seeded day and its verdict."""
    held: list[Day] = []

    async def scenario(world: World) -> None:
        held.append(Day(world, random.Random(seed * 7 + 1), kinds, count, closing, rate))
        await held[0].run()

    snapshotting.COMPACT_ENTRIES, witness.COMPACT_VALUES = (40, 60) if seed % 3 else (4000, 2000)
    began, wrong, played = time.perf_counter(), [], None
    try:
        played = play(seed, scenario, size)
        wrong = rules.faults(held[0].history())
    except* Exception as group:
        wrong = [f"{type(error).__name__}: {error}" for error in flat(group)]
    if not held:
        return Played(seed, wrong, [], {}, [], "", time.perf_counter() - began)
    day = held[0]
    wrong.extend(f"unforeseen: {one}" for one in day.world.unforeseen[:3])
    wrong.extend(f"ended: {one}" for one in day.world.ended[:3])
    if played is not None:
        wrong.extend(f"unhandled: {one}" for one in played.loop.exceptions[:3])
        for name, own in day.world.nodes.items():
            wrong.extend(f"standing task of {name}: {task} {count} times" for task, count in own.standing.items())
    return Played(
        seed,
        wrong,
        day.done,
        rules.figures(day.history()),
        day.operator.waits,
        trace_of(day),
        time.perf_counter() - began,
        stories_of(day, wrong),
    )


def stories_of(day: Day, wrong: list[str]) -> dict[str, list[str]]:
    """What the edges noted of the attempts that faults name."""
    found = {}
    for word in " ".join(wrong[:SHOWN]).replace(",", " ").replace("(", " ").split():
        for name, forwarding in day.world.forwarders.items():
            for scenario in forwarding.traces.find(word) if word.startswith("a") and word[1:].isdigit() else ():
                found[f"{word} at {name}"] = [
                    f"+{line.after.total_seconds():.3f} {line.what} {line.detail}"[:200] for line in scenario.lines
                ]
    return found


def flat(group: BaseExceptionGroup) -> list[BaseException]:
    """The exceptions in a group of groups."""
    found = []
    for error in group.exceptions:
        found.extend(flat(error) if isinstance(error, BaseExceptionGroup) else [error])
    return found


def campaign(
    *,
    first: int = 1,
    seeds: int = 20,
    faults: list[str] = FAULTS,
    count: int = 4,
    processes: int = 6,
    rate: float = 1.0,
    stories: bool = False,
    whole: bool = False,
) -> None:
    """Run many seeded days and print what broke, seed by seed.

    :param first: first seed
    :param seeds: how many
    :param faults: kinds of faults to draw from
    :param count: faults a day
    :param processes: how many at once
    :param rate: how much traffic, in parts of the usual
    :param stories: print what the edges noted of the attempts that broke a rule
    :param whole: a fleet of today's size, 8 edge, 3 storage and 5 core nodes, instead of a small one
    """
    bad, broken, total = 0, collections.Counter(), collections.Counter()
    added, waits, seconds = [], [], []
    with concurrent.futures.ProcessPoolExecutor(processes) as workers:
        work = [
            workers.submit(run_day, seed, tuple(faults), count, None, rate, WHOLE if whole else SIZE)
            for seed in range(first, first + seeds)
        ]
        for future in concurrent.futures.as_completed(work):
            shown = future.result()
            bad += bool(shown.wrong)
            broken.update({one.split()[0] for one in shown.wrong})
            total.update(shown.figures.get("programs", {}))
            total.update({f"refused {name}": number for name, number in shown.figures.get("refusals", {}).items()})
            total.update({name: value for name, value in shown.figures.items() if isinstance(value, int)})
            added.append(shown.figures.get("added to a turn", (0, 0)))
            waits.extend(shown.waits)
            seconds.append(shown.seconds)
            if shown.wrong:
                print(f"seed {shown.seed}: {len(shown.wrong)} wrong; {'; '.join(shown.done)}")
                for one in shown.wrong[:SHOWN]:
                    print(f"  {one[:700]}")
                for name, lines in shown.traces.items() if stories else ():
                    print("   ", name, *lines, sep="\n      ")
                sys.stdout.flush()
    print(f"{seeds} seeds, {bad} wrong: {dict(broken.most_common())}")
    print(f"in all: {dict(sorted(total.items()))}")
    medians, waits = sorted(one[0] for one in added), sorted(waits)
    if waits:
        print(
            f"added to a turn: median {medians[len(medians) // 2]} ms; a configuration was acknowledged in "
            f"{waits[len(waits) // 2]:.3f} s by median, {waits[int(len(waits) * 0.95)]:.3f} s for 95 %, "
            f"{waits[-1]:.3f} s at most; {max(seconds):.1f} s a seed at most"
        )
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    defopt.run(campaign)
