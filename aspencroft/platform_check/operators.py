"""Operators of the platform in a simulated fleet: they send, repeat, race and read; a judge says what went wrong."""

import asyncio
import dataclasses
import itertools
import json
import random

import httpx

from aspencroft.simulation import simulated_cluster, wire

import operator_api

SILENCE = 1.0
PATIENCE = 12.0
CLEAR = (200, 400, 412)
PORT = 90


@dataclasses.dataclass
class Order:
    """One order of an operator: what was sent on top of which version, what came of it, and when."""

    whole: bool
    condition: int
    version: int
    document: dict
    sent: float
    status: int = 0
    answered: float = 0.0
    valid: bool = True
    answers: list[int] = dataclasses.field(default_factory=list)

    def taken(self) -> bool:
        """Whether any node acknowledged it, heard or not."""
        return self.status == 200 or 200 in self.answers

    def refused(self) -> bool:
        """Whether any node refused it, heard or not."""
        return any(400 <= status < 500 for status in (self.status, *self.answers))


@dataclasses.dataclass(frozen=True)
class Read:
    """One read: when it was asked and answered, and the document."""

    asked: float
    answered: float
    document: dict


class ControlPoints:
    """The control points of a cluster's nodes, those of nodes that start later included."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster, names: list[str]):
        self.cluster = cluster
        self.names = names
        self.applications: dict[int, object] = {}

    def serve(self) -> None:
        """Put the points at their addresses."""
        for name in self.names:
            self.cluster.wire.pages[f"{name}:{PORT}"] = (name, self.page(name))

    def page(self, name: str):
        """The application of whichever run of a node lives."""

        async def answer(scope, receive, send) -> None:
            own = self.cluster.nodes.get(name)
            if own is None:
                raise ConnectionRefusedError(name)
            if id(own) not in self.applications:
                self.applications[id(own)] = operator_api.application(own)
            await self.applications[id(own)](scope, receive, send)

        return answer


class Operators:
    """Operators that call any control point and move on after a second of silence.

    ``hurt`` names nodes that are not held to answering in time, ``spans`` are the times of all other answers.
    ``loss`` is the share of answers to orders that are lost on their way.
    """

    def __init__(
        self,
        cluster: simulated_cluster.SimulatedCluster,
        chance: random.Random,
        points: ControlPoints,
        loss: float = 0.0,
    ):
        self.cluster = cluster
        self.chance = chance
        self.points = points
        self.loss = loss
        self.client = httpx.AsyncClient(transport=wire.SimTransport(cluster.wire, simulated_cluster.OUTSIDE))
        self.orders: list[Order] = []
        self.reads: list[Read] = []
        self.over = False
        self.numbers = itertools.count(1)
        self.steps_back: list[str] = []
        self.hurt: set[str] = set()
        self.spans: list[float] = []

    async def call(
        self, method: str, way: str, body: bytes = b"", headers: dict | None = None, name: str = ""
    ) -> httpx.Response | None:
        """One call to one control point, none if there was only silence."""
        name = name or self.chance.choice(self.points.names)
        began, hurt = self.cluster.loop.time(), name in self.hurt
        try:
            async with asyncio.timeout(SILENCE):
                response = await self.client.request(
                    method, f"http://{name}:{PORT}{way}", content=body, headers=headers or {}
                )
        except (TimeoutError, httpx.HTTPError):
            response = None
        if response is not None and not hurt and name not in self.hurt:
            self.spans.append(self.cluster.loop.time() - began)
        return response

    async def send(self, order: Order) -> Order:
        """Send an order until it gets a clear answer or patience is over."""
        self.orders.append(order)
        body = json.dumps(order.document).encode()
        pause, end = 0.1, self.cluster.loop.time() + PATIENCE
        while self.cluster.loop.time() < end:
            response = await self.call(
                "PUT" if order.whole else "PATCH",
                operator_api.CONFIGURATION_PATH,
                body,
                {"If-Match": str(order.condition)},
            )
            if response is not None:
                order.answers.append(response.status_code)
                if self.chance.random() < self.loss:
                    response = None
            if response is not None and response.status_code in CLEAR:
                order.status, order.answered = response.status_code, self.cluster.loop.time()
                return order
            assert response is None or response.status_code == 503, (response.status_code, response.text)
            assert response is None or float(response.headers["Retry-After"]) > 0
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.6)
        return order

    async def read(self) -> dict | None:
        """Read until there is a clear answer or patience is over; none while there is no configuration."""
        end = self.cluster.loop.time() + PATIENCE
        while self.cluster.loop.time() < end:
            asked = self.cluster.loop.time()
            response = await self.call("GET", operator_api.CONFIGURATION_PATH)
            if response is not None and response.status_code == 404:
                return None
            if response is not None and response.status_code == 200:
                self.reads.append(Read(asked, self.cluster.loop.time(), response.json()))
                return response.json()
            assert response is None or response.status_code == 503, response.text
            await asyncio.sleep(0.1)
        return None

    def drawn(self, shown: dict | None) -> Order:
        """An order upon what was read, now and then a faulty one."""
        chance, now = self.chance, self.cluster.loop.time()
        condition = shown["config-revision"] if shown else 0
        version = condition + chance.randint(1, 5)
        mark = next(self.numbers)
        valid = chance.random() < 0.85
        target = chance.choice(("a", "b")) if valid else "gone"
        route = {
            "name": f"r-{chance.randrange(6)}",
            "host": "h.example",
            "route-type": "safe",
            "timeout-ms": 900,
            "target-service": target,
            "mark": mark,
        }
        route["path-prefix"] = f"/{route['name']}/"
        if shown is None or chance.random() < 0.3:
            document = {
                "config-revision": version,
                "route-list": [route],
                "service-list": [{"name": "a"}, {"name": "b"}],
                "mark": mark,
            }
            return Order(True, condition, version, document, now, valid=valid)
        document = {
            "config-revision": version,
            "upsert-items": {"route-list": [route]},
            "remove-names": {"route-list": [f"r-{chance.randrange(6)}"]},
        }
        if document["remove-names"]["route-list"] == [route["name"]]:
            del document["remove-names"]
        return Order(False, condition, version, document, now, valid=valid)

    async def operate(self) -> None:
        """Read and order again and again."""
        while not self.over:
            await self.send(self.drawn(await self.read()))
            await asyncio.sleep(self.chance.random() * 0.3)

    async def operate_in_pairs(self) -> None:
        """Read, and send two orders at once on top of what was read, again and again."""
        while not self.over:
            shown = await self.read()
            await asyncio.gather(self.send(self.drawn(shown)), self.send(self.drawn(shown)))
            await asyncio.sleep(self.chance.random() * 0.3)

    async def watch(self) -> None:
        """See that no node's version steps back within one life."""
        held: dict[int, int] = {}
        while not self.over:
            for name, own in self.cluster.nodes.items():
                version = own.relay.configuration.version
                if version < held.get(id(own), 0):
                    self.steps_back.append(f"{name} went back to {version}")
                held[id(own)] = version
            await asyncio.sleep(0.01)


def applied(document: dict | None, order: Order) -> dict:
    """The document after an order, said plainly."""
    if order.whole:
        return order.document
    change = order.document
    rows = [
        one for one in document["route-list"] if one["name"] not in change.get("remove-names", {}).get("route-list", [])
    ]
    for one in change["upsert-items"]["route-list"]:
        names = [row["name"] for row in rows]
        rows = [one if row["name"] == one["name"] else row for row in rows] + ([] if one["name"] in names else [one])
    return {**document, "config-revision": order.version, "route-list": rows}


def order_faults(orders: list[Order]) -> list[str]:
    """What broke the rules of single orders, by all answers that any node gave, those that were lost included."""
    found = []
    bases: dict[int, Order] = {}
    numbers: dict[int, Order] = {}
    for one in orders:
        if not one.taken():
            continue
        if one.refused():
            found.append(f"{one.version} on {one.condition} was both acknowledged and refused: {one.answers}")
        if bases.setdefault(one.condition, one).document != one.document:
            found.append(f"two were acknowledged on top of {one.condition}")
        if numbers.setdefault(one.version, one).document != one.document:
            found.append(f"two were acknowledged under {one.version}")
    for one in orders:
        if not one.valid or not one.refused():
            continue
        rivals = [other for other in orders if other is not one and other.condition == one.condition]
        if not any(other.valid and (other.taken() or not other.refused()) for other in rivals):
            found.append(f"{one.version} on {one.condition} was refused and nothing else was taken there")
    return found


def faults(operators: Operators) -> list[str]:
    """What broke the operators' rules: a won race that was lost, two winners, something invalid in force, an old
    read.
    """
    found = [*operators.steps_back, *order_faults(operators.orders)]
    orders, reads = operators.orders, operators.reads
    won = [one for one in orders if one.status == 200]
    for one in won:
        if not one.valid:
            found.append(f"the invalid {one.version} was acknowledged")
        if any(other.condition == one.condition for other in won if other is not one):
            found.append(f"two won on top of {one.condition}")
    for read in reads:
        version = read.document["config-revision"]
        newest = max((one.version for one in won if one.answered <= read.asked), default=0)
        if version < newest:
            found.append(f"read {version} after {newest} was acknowledged")
        sources = [one for one in orders if one.version == version and one.sent <= read.answered]
        if not any(one.valid and one.status in (0, 200) for one in sources):
            found.append(f"read {version}, which was refused, invalid or never sent")
    chain: dict | None = None
    documents = {read.document["config-revision"]: read.document for read in reads}
    for read in reads:
        if json.dumps(documents[read.document["config-revision"]], sort_keys=True) != json.dumps(
            read.document, sort_keys=True
        ):
            found.append(f"two documents were read under {read.document['config-revision']}")
    for version in sorted(documents):
        sources = [one for one in orders if one.version == version and one.status in (0, 200) and one.valid]
        if not any(one.whole or one.condition in documents for one in sources):
            continue
        wanted = [
            applied(documents.get(one.condition), one) for one in sources if one.whole or one.condition in documents
        ]
        chain = documents[version]
        if not any(json.dumps(one, sort_keys=True) == json.dumps(chain, sort_keys=True) for one in wanted):
            found.append(f"{version} reads otherwise than it was sent")
    return found
