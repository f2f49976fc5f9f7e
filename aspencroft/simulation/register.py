"""Operators that write in every way on the same resources, and the register model that judges what came of it."""

import asyncio
import collections
import dataclasses
import json
import random
import typing

import httpx

from aspencroft.emulator import shape, world

ACKNOWLEDGED, REFUSED, UNSURE = "acknowledged", "refused", "unsure"
HORIZON = 25.0
IN_FORCE = 2.0
SWING = "lanes/swing"


@dataclasses.dataclass(frozen=True)
class Write:
    """One write of an operator: what it would make of which resources, and what was answered.

    ``values`` holds JSON text, empty for removed; ``expected`` the revision that it was conditional on.
    """

    began: float
    ended: float
    values: dict[str, str]
    expected: int | None
    outcome: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Read:
    """One look at the plan through a node."""

    began: float
    ended: float
    node: str
    current: bool
    revision: int
    document: dict


def number_of(revision: str) -> int:
    """The number of a revision's text, by which all writes are ordered.

    Example: ``number_of("3.17") == 17``
    """
    return int(revision.strip('"').split(".")[1])


def text_of(spec) -> str:
    """A specification as text to compare."""
    return json.dumps(spec, sort_keys=True)


class OperatedCluster(typing.Protocol):
    """A simulated or a local cluster, as operators see it; ``loop`` gives the time of the history."""

    mix: shape.Shape
    world: world.World

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop whose clock times the history."""
        ...

    def names(self) -> list[str]:
        """The HTTP addresses that operators may talk to."""
        ...


class Operators:
    """Several operators at once, each through any node, on the same few resources."""

    def __init__(self, one: OperatedCluster, client: httpx.AsyncClient, chance: random.Random):
        self.cluster = one
        self.client = client
        self.chance = chance
        document = one.mix.document
        self.plain = sorted(name for name, spec in document["services"].items() if spec["kind"] == "plain")
        self.lane, lane = next((name, spec) for name, spec in document["lanes"].items() if spec["kind"] == "signal")
        self.service = lane["services"][0]
        self.writes: list[Write] = []
        self.reads: list[Read] = []
        self.count = 0
        self.over = False
        self.waits: list[float] = []
        self.counts: collections.Counter = collections.Counter()

    def fresh(self, resource: str) -> dict:
        """A specification for a resource that nobody wrote before."""
        self.count += 1
        kind = resource.partition("/")[0]
        if kind == "services":
            return {"kind": "plain", "size": self.count}
        if kind == "lanes":
            services = [self.chance.choice(self.plain)] if resource == SWING else self.plain[:2]
            return {
                "kind": "signal",
                "services": services,
                "urgency": 4,
                "deadline": 5,
                "keep": 60,
                "budget": self.count,
            }
        if kind == "routes":
            return {
                "lane": self.lane,
                "tool": f"{resource.rpartition('-')[2]}-{self.count}",
                "services": [self.service],
            }
        return {"leaving": False} if self.count % 2 else {"leaving": True}

    def resource(self) -> str:
        """One of the resources that operators race on; marks are of workers that are not there."""
        kind = self.chance.choice(["services", "services", "lanes", "routes", "workers", "swing"])
        return SWING if kind == "swing" else f"{kind}/extra-{self.chance.randrange(3)}"

    async def operate(self) -> None:
        """Write and read, one after the other, until the day is over."""
        while not self.over:
            await (self.write() if self.chance.random() < 0.6 else self.read())
            await asyncio.sleep(0.1 + 0.6 * self.chance.random())

    async def write(self) -> None:
        """One write in a way by chance; what was answered is noted down."""
        chance = self.chance
        node = chance.choice(self.cluster.names())
        way = chance.choice(["put", "put", "put", "delete", "merge", "whole"])
        resource = self.resource()
        values, headers, expected, content, address = {}, {}, None, None, f"http://{node}/plan/{resource}"
        method = {"put": "PUT", "delete": "DELETE", "merge": "PATCH", "whole": "PUT"}[way]
        conditional = way == "whole" or chance.random() < 0.4
        if way in ("put", "delete"):
            spec = self.fresh(resource) if way == "put" else None
            values[resource] = text_of(spec) if spec else ""
            content = json.dumps(spec) if spec else None
            if conditional:
                shown = await self.ask("GET", address)
                if shown is None or shown.status_code not in (200, 404):
                    return
                expected = number_of(shown.json()["revision"]) if shown.status_code == 200 else 0
                headers = {"If-Match": shown.json()["revision"]} if expected else {"If-None-Match": "*"}
        else:
            address = f"http://{node}/plan"
            shown = await self.ask("GET", address)
            if shown is None or shown.status_code != 200:
                return
            whole = shown.json()
            document, patch = json.loads(json.dumps(whole["plan"])), {}
            for each in dict.fromkeys((resource, self.resource())):
                kind, _, name = each.partition("/")
                spec = self.fresh(each) if chance.random() < 0.8 or way == "whole" else None
                values[each] = text_of(spec) if spec else ""
                document.setdefault(kind, {})[name] = spec
                patch.setdefault(kind, {})[name] = spec
            content = json.dumps(document if way == "whole" else patch)
            if conditional:
                expected = number_of(whole["revision"])
                headers = {"If-Match": whole["revision"]}
        began = self.cluster.loop.time()
        response = await self.ask(method, address, content, headers)
        ended = self.cluster.loop.time()
        outcome, revision = UNSURE, 0
        if response is not None:
            shown = response.json()
            if response.status_code == 200:
                outcome, revision = ACKNOWLEDGED, number_of(shown["revision"])
                self.waits.append(ended - began)
            elif shown["error"]["ran"] == "not run":
                outcome = REFUSED
        self.counts[f"{way} {outcome}"] += 1
        self.writes.append(Write(began, ended, values, expected, outcome, revision))

    async def read(self) -> None:
        """Look at the plan through a node; what it shows is noted down."""
        node, began = self.chance.choice(self.cluster.names()), self.cluster.loop.time()
        response = await self.ask("GET", f"http://{node}/plan")
        if response is not None and response.status_code == 200:
            shown = response.json()
            self.reads.append(
                Read(
                    began,
                    self.cluster.loop.time(),
                    node,
                    shown["current"],
                    number_of(shown["revision"]),
                    shown["plan"],
                )
            )

    async def ask(self, method: str, address: str, content=None, headers=None) -> httpx.Response | None:
        """One request, or none when there was no answer."""
        try:
            return await self.client.request(method, address, content=content, headers=headers or {})
        except httpx.HTTPError:
            return None


def faults(writes: list[Write], reads: list[Read], initial: dict) -> list[str]:
    """What the register model cannot explain: each resource is a register, ordered by the revisions answered."""
    found = []
    by_path: dict[str, list[Write]] = collections.defaultdict(list)
    for write in writes:
        for name in write.values:
            by_path[name].append(write)
    for name, mine in by_path.items():
        acknowledged = [write for write in mine if write.outcome == ACKNOWLEDGED]
        for write in acknowledged if not name.startswith("workers/") else ():
            if write.expected == 0:
                last = max(
                    (other for other in acknowledged if other.revision < write.revision),
                    key=lambda other: other.revision,
                    default=None,
                )
                gone = any(other.outcome == UNSURE and not other.values[name] for other in mine)
                if last is not None and last.values[name] and not gone:
                    found.append(f"{name}: created at {write.revision} over {last.revision}")
            elif write.expected is not None:
                between = [
                    other
                    for other in acknowledged
                    if other is not write
                    and other.values[name] != write.values[name]
                    and write.expected < other.revision < write.revision
                ]
                if between:
                    found.append(
                        f"{name}: a write on {write.expected} became {write.revision} over {between[0].revision}"
                    )
    for read in reads:
        for name, mine in by_path.items():
            kind, _, own = name.partition("/")
            spec = read.document.get(kind, {}).get(own)
            shown = text_of(spec) if spec is not None else ""
            last = max(
                (write for write in mine if write.outcome == ACKNOWLEDGED and write.revision <= read.revision),
                key=lambda write: write.revision,
                default=None,
            )
            first = initial.get(kind, {}).get(own)
            allowed = {last.values[name] if last is not None else text_of(first) if first is not None else ""}
            allowed |= {
                write.values[name]
                for write in mine
                if write.outcome == UNSURE
                and write.began <= read.ended
                and (last is None or write.ended + HORIZON >= last.began)
            }
            if shown not in allowed:
                found.append(f"{name} reads {shown!r} at {read.revision} through {read.node}, not {sorted(allowed)}")
        if read.current:
            behind = [
                write.revision
                for write in writes
                if write.outcome == ACKNOWLEDGED and write.ended < read.began and write.revision > read.revision
            ]
            if behind:
                found.append(f"{read.node} acts on {read.revision} after {max(behind)} was answered")
    newest: dict[str, Read] = {}
    for read in sorted(reads, key=lambda one: one.ended):
        before = newest.get(read.node)
        if before is not None and before.ended < read.began and read.revision < before.revision and read.current:
            found.append(f"{read.node} stepped back from {before.revision} to {read.revision}")
        newest[read.node] = read
    return found


def foreign_runs(writes: list[Write], runs: list[tuple[float, str]], initial: dict) -> list[str]:
    """Runs of the swing lane, by workers' records alone, of services that no plan in force then allowed."""
    mine = [write for write in writes if SWING in write.values and write.outcome != REFUSED]
    acknowledged = [write for write in mine if write.outcome == ACKNOWLEDGED]
    found = []
    for at, service in runs:
        allowed = set()
        for write in mine:
            if write.began > at or not write.values[SWING]:
                continue
            if write.outcome == ACKNOWLEDGED:
                over = [other for other in acknowledged if other.revision > write.revision]
            else:
                over = [other for other in acknowledged if other.began > write.ended + HORIZON]
            if not any(other.ended + IN_FORCE < at for other in over):
                allowed |= set(json.loads(write.values[SWING])["services"])
        first = initial.get("lanes", {}).get("swing")
        if first and not any(other.ended + IN_FORCE < at for other in acknowledged):
            allowed |= set(first["services"])
        if service not in allowed:
            found.append(f"at {at:.2f} {service} ran; allowed were {sorted(allowed)}")
    return found


def swing_runs(one: OperatedCluster) -> list[tuple[float, str]]:
    """When workers ran which service for the swing lane."""
    return [
        (body["at"], body["service"])
        for body in one.world.seen()
        if isinstance(body["input"], dict) and str(body["input"].get("name", "")).startswith("swing-")
    ]
