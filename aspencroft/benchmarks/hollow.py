"""A hollow fleet: hundreds of nodes of one process with the real membership, link, relay and lease code.

And no traffic.
"""

import asyncio
import collections
import cProfile
import dataclasses
import datetime
import functools
import gc
import json
import pathlib
import random
import resource
import shutil
import sys
import tempfile
import time

from aspencroft.benchmarks import virtual, wire
from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member
from aspencroft.node import node, settings
from aspencroft.runtime import environment
from aspencroft.transport import codec

EPOCH = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)
LEAST_NODES, MOST_NODES = 8, 2000
DUTIES = ("residency", "rest", "alerts")
LOOK = 0.05
FORMED = 120.0
ROLES = (settings.EDGE, settings.STORAGE, settings.CORE)


@dataclasses.dataclass(frozen=True)
class Shape:
    """How large a hollow fleet is, and how far its regions lie from each other."""

    nodes: int = 64
    cores: int = 5
    storages: int = 6
    regions: int = 7
    zones: int = 28
    far: float = 0.04
    seed: int = 1
    warm: bool = True
    currency: float = 4.0

    def faults(self) -> list[str]:
        """What is out of bounds; empty when nothing is."""
        found = []
        for name, least, most in (
            ("nodes", LEAST_NODES, MOST_NODES),
            ("cores", 3, 200),
            ("storages", 2, 200),
            ("regions", 1, 64),
            ("zones", 1, 512),
            ("far", 0, 1),
            ("currency", 0.5, 60),
        ):
            if not least <= getattr(self, name) <= most:
                found.append(f"{name}: from {least} to {most}, not {getattr(self, name)}")
        if self.cores + self.storages >= self.nodes:
            found.append(f"nodes: more than cores and storages together, not {self.nodes}")
        if self.zones < self.regions:
            found.append(f"zones: at least as many as regions, not {self.zones}")
        return found


class InlineDisk:
    """The real file system, without threads: the loop's clock stands still meanwhile."""

    async def perform(self, function, *arguments):
        """Run file work at once."""
        return function(*arguments)

    def synchronise(self, path: pathlib.Path) -> None:
        """Nothing lasts longer than the run."""


class Fleet:
    """Hollow nodes, their wire, and the means to hurt them."""

    def __init__(self, shape: Shape, folder: pathlib.Path):
        self.shape = shape
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.chance = random.Random(shape.seed)
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
            for place, name in enumerate(one for one, its in self.roles.items() if its == role):
                zone = place % shape.zones
                self.zones[name] = f"r{zone % shape.regions}-z{zone}"
        self.wire = wire.Wire(wire.Distance(far=shape.far), self.zones)
        self.seeds = tuple(f"core-{number}:1" for number in range(3 if shape.cores < 5 else 5))
        self.nodes: dict[str, node.Node] = {}
        self.tasks: dict[str, asyncio.Task] = {}

    def place(self, name: str) -> settings.Settings:
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
        around = environment.Environment(
            wire.Network(self.wire, name),
            InlineDisk(),
            lambda: None,
            random.Random(f"{self.shape.seed} {name} {self.loop.time()}"),
            lambda: EPOCH + datetime.timedelta(seconds=self.loop.time()),
        )
        own = self.nodes[name] = node.Node(self.place(name), around)
        self.tasks[name] = self.loop.create_task(self.live(own), context=virtual.context_of(name))

    async def live(self, own: node.Node) -> None:
        """A hollow node's life: all that a daemon runs but its traffic, its workers and its pages."""
        async with asyncio.TaskGroup() as group:
            group.create_task(own.run())
            if own.settings.role != settings.EDGE:
                await own.started.wait()
                for name in DUTIES:
                    one = singleton_role.SingletonRole(
                        name, own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit
                    )
                    own.singleton_roles[name] = one
                    group.create_task(one.run())

    def warm_up(self) -> None:
        """Hand every node the table that it would have after a join and has passed on, as bytes.

        So that each holds its own.
        """
        entries = tuple(own.failure_detector.me for own in self.nodes.values())
        for name, own in self.nodes.items():
            virtual.context_of(name).run(own.failure_detector.merge_table, self.copied(own, entries))
            own.failure_detector.peers.drain_updates()

    def copied(
        self, own: node.Node, entries: tuple[cluster_member.ClusterMember, ...]
    ) -> cluster_member.MembershipTable:
        """A table of entries that went through the form of the wire."""
        return codec.unpack(
            cluster_member.MembershipTable,
            codec.pack(cluster_member.MembershipTable(entries, (), own.proposer.voter_set)),
        )

    def kill(self, name: str, silent: bool) -> None:
        """End a node: its streams break, or, when its machine is lost, fall silent."""
        if silent:
            self.wire.dark.add(name)
        self.wire.listeners.pop(name, None)
        self.tasks.pop(name).cancel()
        self.nodes.pop(name)

    def leader(self) -> node.Node | None:
        """The control group's primary, if there is one under a claim."""
        for own in self.nodes.values():
            if (
                0 in own.group_replicas
                and own.group_replicas[0].has_lease()
                and own.group_replicas[0].status_reason == "serving"
            ):
                return own
        return None

    def knows_all(self) -> bool:
        """Whether every node thinks that just the running ones live."""
        running = set(self.nodes)
        return all(set(own.failure_detector.live()) == running for own in self.nodes.values())

    def current(self) -> bool:
        """Whether every node may act on the newest configuration."""
        newest = max(own.relay.revision for own in self.nodes.values())
        return all(own.relay.current() and own.relay.revision == newest for own in self.nodes.values())

    async def until(self, condition, within: float) -> float:
        """Wait for a condition; virtual seconds waited, or -1 when it did not come."""
        began = self.loop.time()
        while not condition():
            if self.loop.time() - began > within:
                return -1.0
            await asyncio.sleep(LOOK)
        return self.loop.time() - began

    async def end(self) -> None:
        """Stop all nodes."""
        for name in list(self.tasks):
            self.tasks.pop(name).cancel()
        await asyncio.sleep(0.5)


@dataclasses.dataclass
class Books:
    """Counters at one moment, to be taken from those of a later one."""

    at: float
    processor: float
    booked: dict[str, float]
    traffic: dict[str, wire.Traffic]

    @staticmethod
    def of(fleet: Fleet) -> "Books":
        """The counters now."""
        return Books(
            fleet.loop.time(),
            time.process_time(),
            dict(fleet.loop.booked),
            {name: dataclasses.replace(one) for name, one in fleet.wire.traffic.items()},
        )


def per_node(before: Books, after: Books, names: list[str]) -> dict:
    """Costs a second of each of some nodes: mean and most."""
    span = after.at - before.at
    blank = wire.Traffic()

    def row(function) -> dict:
        values = [function(name) / span for name in names]
        return {"mean": round(sum(values) / len(values), 3), "most": round(max(values), 3)}

    def grown(name: str, field: str) -> int:
        return getattr(after.traffic.get(name, blank), field) - getattr(before.traffic.get(name, blank), field)

    if not names or span <= 0:
        return {}
    return {
        "nodes": len(names),
        "processor, % of a core": row(lambda name: 100 * (after.booked.get(name, 0.0) - before.booked.get(name, 0.0))),
        "messages sent, /s": row(lambda name: grown(name, "sent")),
        "bytes sent, /s": row(lambda name: grown(name, "sent_bytes")),
        "bytes received, /s": row(lambda name: grown(name, "received_bytes")),
    }


def costs(fleet: Fleet, before: Books, after: Books) -> dict:
    """Costs a second by role, of the relay's root and inner nodes, of witnesses, and of the wire itself."""
    alive = list(fleet.nodes)
    root = fleet.leader()
    inner = [name for name, own in fleet.nodes.items() if own.relay.children and own is not root]
    groups = {
        "all": alive,
        **{role: [name for name in alive if fleet.roles[name] == role] for role in ROLES},
        "root": [root.address] if root else [],
        "relay inner nodes": inner,
        "relay leaves": [name for name in alive if name not in inner and (root is None or name != root.address)],
        "witnesses": [name for name in alive if fleet.nodes[name].witness.voting],
    }
    span = after.at - before.at
    found = {name: per_node(before, after, group) for name, group in groups.items() if group}
    found["virtual seconds"] = round(span, 2)
    found["process, processor seconds"] = round(after.processor - before.processor, 3)
    found["wire and loop, % of a core a node"] = round(
        100 * (after.booked.get("", 0.0) - before.booked.get("", 0.0)) / span / len(alive), 3
    )
    return found


def spread(row: list[float]) -> dict:
    """Median, 95 %, most and count of a row.

    Example: ``spread([1.0])["most"] == 1.0``
    """
    row = sorted(row)
    if not row:
        return {"count": 0}
    return {
        "median": round(row[len(row) // 2], 3),
        "95 %": round(row[int(len(row) * 0.95)], 3),
        "most": round(row[-1], 3),
        "count": len(row),
    }


def depths(fleet: Fleet) -> dict:
    """How many steps nodes lie below the relay's root, and how many children a node has at most."""
    parents = {name: own.relay.parent() for name, own in fleet.nodes.items()}
    found = []
    for name in parents:
        steps, place = 0, name
        while parents.get(place) is not None and steps < 64:
            place, steps = parents[place], steps + 1
        found.append(steps)
    children = collections.Counter(one for one in parents.values() if one is not None)
    return {
        "most": max(found),
        "mean": round(sum(found) / len(found), 2),
        "most children": max(children.values(), default=0),
    }


async def written(fleet: Fleet, number: int) -> dict:
    """One change of the configuration from an edge: when it was in force on each node, and when acknowledged."""
    edges = [name for name in fleet.nodes if fleet.roles[name] == settings.EDGE]
    own = fleet.nodes[fleet.chance.choice(edges)]
    body = json.dumps({"services": {f"s{number}": {"kind": "plain"}}})
    began, forced = fleet.loop.time(), {}
    wanted = fleet.leader().relay.revision.number + 1

    async def look() -> None:
        while len(forced) < len(fleet.nodes):
            for name, one in fleet.nodes.items():
                if name not in forced and one.relay.revision.number >= wanted:
                    forced[name] = fleet.loop.time() - began
            await asyncio.sleep(LOOK / 10)

    looking = fleet.loop.create_task(look())
    try:
        await own.write_resources(control_state.WriteResources("merge", "", "", body, None))
        acknowledged = fleet.loop.time() - began
    except result.RequestError as refusal:
        acknowledged = -1.0
        print(f"change {number}: {refusal}", file=sys.stderr)
    try:
        async with asyncio.timeout(10):
            await looking
    except TimeoutError:
        pass
    return {"acknowledged": acknowledged, "forced": max(forced.values(), default=-1.0), "nodes": len(forced)}


async def noticed(fleet: Fleet, victims: set[str], within: float) -> dict:
    """How long after a loss the other nodes think that the victims are down, by node and victim."""
    began, seen = fleet.loop.time(), {}
    before = Books.of(fleet)
    open_pairs = {(name, victim) for name in fleet.nodes for victim in victims}
    while open_pairs and fleet.loop.time() - began < within:
        for pair in list(open_pairs):
            own = fleet.nodes.get(pair[0])
            if own is None or own.failure_detector.state(pair[1]) == cluster_member.DOWN:
                seen[pair] = fleet.loop.time() - began
                open_pairs.discard(pair)
        await asyncio.sleep(LOOK)
    firsts = [min((took for (_, victim), took in seen.items() if victim == one), default=-1.0) for one in victims]
    after = Books.of(fleet)
    return {
        "victims": len(victims),
        "seen everywhere, s": spread(list(seen.values())),
        "first seen, s": spread(firsts),
        "not seen": len(open_pairs),
        "whole cost a node": lump(before, after, list(fleet.nodes)),
    }


def lump(before: Books, after: Books, names: list[str]) -> dict:
    """What an event cost a node in all, its idle running included: processor seconds and bytes sent, over a span."""
    blank = wire.Traffic()
    processor = sum(after.booked.get(name, 0.0) - before.booked.get(name, 0.0) for name in names)
    sent = sum(after.traffic.get(name, blank).sent_bytes - before.traffic.get(name, blank).sent_bytes for name in names)
    return {
        "seconds": round(after.at - before.at, 2),
        "processor seconds": round(processor / len(names), 4),
        "bytes sent": round(sent / len(names)),
    }


async def back(fleet: Fleet, names: set[str], within: float) -> dict:
    """Start nodes again, and how long until all know them, and all may act on the configuration."""
    before = Books.of(fleet)
    for name in sorted(names):
        fleet.start(name)
    known = await fleet.until(fleet.knows_all, within)
    return {
        "nodes": len(names),
        "all know them after, s": round(known, 2),
        "configuration current after, s": round(await fleet.until(fleet.current, within), 2),
        "whole cost a node": lump(before, Books.of(fleet), list(fleet.nodes)),
    }


def memory() -> int:
    """This process's resident memory in bytes.

    Example: ``memory() > 0``
    """
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


@dataclasses.dataclass(frozen=True)
class Acts:
    """What is done to a hollow fleet once it has formed, in this order; zero leaves an act out."""

    idle: float = 20.0
    writes: int = 5
    kill: int = 0
    power: int = 0
    restart: int = 0
    leader: int = 0
    zone: int = 0
    cut: float = 0.0
    profile: str = ""

    def faults(self, shape: Shape) -> list[str]:
        """What is out of bounds; empty when nothing is."""
        edges = shape.nodes - shape.cores - shape.storages
        found = []
        for name, most in (
            ("idle", 3600),
            ("writes", 1000),
            ("kill", edges),
            ("power", edges),
            ("restart", edges),
            ("leader", 3),
            ("zone", 1),
            ("cut", 3600),
        ):
            if not 0 <= getattr(self, name) <= most:
                found.append(f"{name}: from 0 to {most}, not {getattr(self, name)}")
        return found


async def whole(shape: Shape, acts: Acts, folder: pathlib.Path, say) -> dict:
    """Form a fleet, let it idle, change its configuration, hurt it; the figures."""
    empty = memory()
    fleet = Fleet(shape, folder)
    told: dict = {"shape": dataclasses.asdict(shape), "clock": "virtual"}
    began = time.process_time()
    for name in fleet.roles:
        fleet.start(name)
    if shape.warm:
        await asyncio.sleep(0.01)
        fleet.warm_up()
    before = Books.of(fleet)
    formed = await fleet.until(lambda: fleet.knows_all() and fleet.leader() is not None, FORMED)
    told["formed after, s"] = round(formed, 2)
    if formed < 0:
        told["wrong"] = "the fleet did not form"
        return told
    say(f"formed after {formed:.1f} s of virtual time, {time.process_time() - began:.0f} s of processor time")
    first = await written(fleet, 0)
    told["first configuration current after, s"] = round(await fleet.until(fleet.current, FORMED), 2)
    told["forming cost a node"] = lump(before, Books.of(fleet), list(fleet.nodes))
    del first
    await asyncio.sleep(5)
    told["memory, MB a node"] = round((memory() - empty) / 1e6 / shape.nodes, 3)
    told["memory of the process, MB"] = round(memory() / 1e6, 1)
    told["relay depth"] = depths(fleet)
    edges = [name for name in fleet.roles if fleet.roles[name] == settings.EDGE]
    if acts.idle:
        say(f"idling for {acts.idle} s of virtual time")
        await idled(fleet, acts, told)
    if acts.writes:
        rows = []
        before = Books.of(fleet)
        for number in range(acts.writes):
            rows.append(await written(fleet, 1 + number))
            await asyncio.sleep(1)
        told["changes"] = {
            "in force on all nodes after, s": spread([one["forced"] for one in rows]),
            "acknowledged after, s": spread([one["acknowledged"] for one in rows]),
            "whole cost a node": lump(before, Books.of(fleet), list(fleet.nodes)),
        }
        say(f"changes: {told['changes']}")
    for kind, count, silent in (("kill", acts.kill, False), ("power", acts.power, True)):
        if count:
            victims = set(fleet.chance.sample(edges, count))
            for name in sorted(victims):
                fleet.kill(name, silent)
            told[kind] = await noticed(fleet, victims, 30)
            told[f"{kind}: back"] = await back(fleet, victims, 60)
            await asyncio.sleep(3)
            say(f"{kind}: {told[kind]}")
    if acts.restart:
        told["restart"] = await restarted(fleet, fleet.chance.sample(edges, acts.restart))
        say(f"restart: {told['restart']}")
    if acts.leader:
        told["leader"] = [await led(fleet) for _ in range(acts.leader)]
        say(f"leader: {told['leader']}")
    if acts.zone:
        zone = fleet.chance.choice(sorted({fleet.zones[name] for name in edges}))
        victims = {name for name in fleet.nodes if fleet.zones[name] == zone}
        for name in sorted(victims):
            fleet.kill(name, True)
        told["zone"] = await noticed(fleet, victims, 60)
        changed = await written(fleet, 5000)
        told["zone: a change meanwhile acknowledged after, s"] = round(changed["acknowledged"], 2)
        told["zone: back"] = await back(fleet, victims, 90)
        say(f"zone {zone}: {told['zone']}")
    if acts.cut:
        told["cut"] = await parted(fleet, acts.cut)
        say(f"cut: {told['cut']}")
    told["processor seconds of the whole run"] = round(time.process_time() - began, 1)
    told["counts"] = {
        name: sum(own.failure_detector.counts[name] for own in fleet.nodes.values())
        for name in next(iter(fleet.nodes.values())).failure_detector.counts
    }
    told["relay counts"] = {
        name: sum(own.relay.counts[name] for own in fleet.nodes.values())
        for name in next(iter(fleet.nodes.values())).relay.counts
    }
    told["faults of standing tasks"] = sum(sum(own.standing.values()) for own in fleet.nodes.values())
    await fleet.end()
    return told


async def idled(fleet: Fleet, acts: Acts, told: dict) -> None:
    """Measure a fleet that does nothing but live."""
    profile = None
    if acts.profile:
        profile = cProfile.Profile()
        profile.enable()
    gc.collect()
    gc.freeze()
    before = Books.of(fleet)
    await asyncio.sleep(acts.idle)
    told["idle"] = costs(fleet, before, Books.of(fleet))
    if profile is not None:
        profile.disable()
        profile.dump_stats(acts.profile)


async def restarted(fleet: Fleet, names: list[str]) -> dict:
    """Planned restarts, one after another: each leaves, ends, and starts again after a second."""
    rows, before = [], Books.of(fleet)
    for name in names:
        virtual.context_of(name).run(fleet.nodes[name].failure_detector.leave)
        await asyncio.sleep(1)
        fleet.kill(name, False)
        await asyncio.sleep(1)
        began = fleet.loop.time()
        fleet.start(name)
        await fleet.until(lambda: fleet.nodes[name].relay.current() and fleet.knows_all(), 30)
        rows.append(fleet.loop.time() - began)
    return {
        "known and current after, s": spread(rows),
        "whole cost a node": lump(before, Books.of(fleet), list(fleet.nodes)),
    }


async def led(fleet: Fleet) -> dict:
    """Lose the control primary's machine: when another serves, and how many nodes lost their claim to act meanwhile."""
    victim = fleet.leader().address
    fleet.kill(victim, True)
    began, stale, ahead, change = fleet.loop.time(), set(), -1.0, None
    while fleet.loop.time() - began < 15 or (change is not None and not change.done()):
        if change is None and fleet.leader() is not None and fleet.leader().relay.root:
            ahead = fleet.loop.time() - began
            change = asyncio.ensure_future(written(fleet, 6000 + int(began)))
        stale |= {name for name, own in fleet.nodes.items() if not own.relay.current()}
        await asyncio.sleep(LOOK)
    fleet.start(victim)
    await fleet.until(fleet.knows_all, 30)
    return {
        "another serves after, s": round(ahead, 2),
        "nodes without a current configuration for a while": len(stale),
        "a change said then acknowledged after, s": round(change.result()["acknowledged"], 2) if change else -1.0,
        "and in force on all nodes after, s": round(change.result()["forced"], 2) if change else -1.0,
    }


async def parted(fleet: Fleet, seconds: float) -> dict:
    """Cut one region without the control primary off from all others, and let it come back."""
    home = wire.region_of(fleet.zones[fleet.leader().address])
    regions = sorted({wire.region_of(zone) for zone in fleet.zones.values()})
    away = next((one for one in regions if one != home), None)
    if away is None:
        return {"wrong": "one region cannot be cut from itself"}
    inside = {name for name in fleet.nodes if wire.region_of(fleet.zones[name]) == away}
    before = Books.of(fleet)
    for one in regions:
        if one != away:
            fleet.wire.cut(one, away)
    stale: set[str] = set()
    end = fleet.loop.time() + seconds
    while fleet.loop.time() < end:
        stale |= {name for name in fleet.nodes if name not in inside and not fleet.nodes[name].relay.current()}
        await asyncio.sleep(LOOK * 4)
    during = Books.of(fleet)
    wrongly = sum(
        own.failure_detector.state(name) == cluster_member.DOWN
        for own in fleet.nodes.values()
        if own.address not in inside
        for name in fleet.nodes
        if name not in inside
    )
    changed = await written_outside(fleet, inside)
    fleet.wire.heal()
    whole_after = await fleet.until(fleet.knows_all, 120)
    current_after = await fleet.until(fleet.current, 60)
    return {
        "region": away,
        "nodes inside": len(inside),
        "nodes outside without a current configuration for a while": len(stale),
        "nodes outside wrongly thought down outside": wrongly,
        "a change outside acknowledged after, s": changed,
        "tables whole after the cut's end, s": round(whole_after, 2),
        "all current after that, s": round(current_after, 2),
        "during": costs(fleet, before, during)["all"],
        "mending cost a node": lump(during, Books.of(fleet), list(fleet.nodes)),
    }


async def written_outside(fleet: Fleet, inside: set[str]) -> float:
    """How long a change takes while a region is cut off, said to a node outside of it."""
    own = next(one for name, one in fleet.nodes.items() if name not in inside and fleet.roles[name] == settings.EDGE)
    began = fleet.loop.time()
    try:
        await own.write_resources(
            control_state.WriteResources("merge", "", "", json.dumps({"services": {"cut": {"kind": "plain"}}}), None)
        )
    except result.RequestError as refusal:
        print(f"a change during the cut: {refusal}", file=sys.stderr)
        return -1.0
    return round(fleet.loop.time() - began, 2)


def run(shape: Shape, acts: Acts, say=lambda text: None) -> dict:
    """Run a hollow fleet in a folder of its own; the figures."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="aspencroft-hollow-"))
    began = time.monotonic()
    try:
        with asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner:
            told = runner.run(whole(shape, acts, folder, say))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    told["wall seconds"] = round(time.monotonic() - began, 1)
    return told


def line(began: float, text: str) -> None:
    """Say on standard error how far a run is."""
    print(f"{time.monotonic() - began:7.1f} s  {text}", file=sys.stderr, flush=True)


def progress():
    """A function that says how far a run is."""
    return functools.partial(line, time.monotonic())
