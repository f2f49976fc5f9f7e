"""Tests of fairness: routes added later, targets by weight, and sessions, sizes and ranks of calls under overload."""

import asyncio
import collections
import random
import types

import pytest

from aspencroft.configuration import http_route, route_table
from aspencroft.emulator import worker_server
from aspencroft.errors import result
from aspencroft.proxy import call, forwarder, forwarder_test, instance, instances
from aspencroft.runtime import clock
from aspencroft.simulation import loop, wire
from aspencroft.workers import pool

OVERLOAD_S = 10.0
CALLS_PER_SECOND = 480.0
WORK = worker_server.Work(slots=6, queue=6)
WORK_MS = 60
MIN_REFUSED_SHARE = 0.15


def route(name: str, prefix: str, *services: tuple[str, float], rank: int = 0) -> http_route.HttpRoute:
    targets = [{"service": service, "weight": weight} for service, weight in services]
    spec = {"host": "h", "prefix": prefix, "kind": "non_idempotent", "targets": targets, "timeout": 1.0, "aim": 0.3}
    return http_route.of(name, {**spec, "rank": rank})


class Edge:
    """An edge with three workers for each service, whose routes can be added while it serves."""

    def __init__(self, services: tuple[str, ...], routes: list[http_route.HttpRoute]):
        self.loop = loop.SimLoop()
        self.wire = wire.Wire(self.loop, random.Random(1), wire.Weather())
        self.services = services
        self.routes = routes
        self.workers: list[worker_server.Worker] = []

    def add(self, added: http_route.HttpRoute) -> None:
        """Add a route to the configuration."""
        configuration = self.node.relay.configuration
        configuration.http_routes[added.name] = added
        configuration.route_table = configuration.route_table.changed((), (added,))

    def begin(self) -> None:
        """Start the workers and the edge."""
        self.node = forwarder_test.make_node(self.wire, self.routes[0])
        for added in self.routes[1:]:
            self.add(added)
        listed = []
        for number, service in enumerate(self.services * 3):
            worker = worker_server.Worker(f"i-{number}", service, "north", WORK, random.Random(number))
            self.workers.append(worker)
            address = f"w{number}:80"
            self.loop.create_task(worker.serve(wire.SimNetwork(self.wire, f"w{number}"), address))
            listed.append(instance.Instance(worker.name, address, service, "north", "v1", 6, False, clock.ZERO))
        view = instances.Instances()
        view.update(listed, clock.now())
        connections = pool.Pool(self.node.environment, collections.Counter())
        self.forwarder = forwarder.Forwarder(self.node, worker_server.StandDialect(), view, connections)

    async def served(self, path: str, attempt: str, work_ms: int = WORK_MS) -> bool:
        """Make a call; return whether it was answered."""
        headers = ((b"host", b"h"), (b"x-attempt", attempt.encode()), (b"x-work-ms", b"%d" % work_ms))
        one = call.Call("POST", path, "h", headers, b"in", attempt, clock.seconds(1), clock.now())
        try:
            return (await self.forwarder.handle(one)).status == 200
        except result.RequestError:
            return False

    def run(self, scenario) -> object:
        """Run a scenario in simulated time."""

        async def start_and_run() -> object:
            self.begin()
            await clock.sleep(clock.seconds(0.05))
            return await scenario()

        try:
            return self.loop.run_until_complete(start_and_run())
        finally:
            self.loop.bury()


def test_routes_added_later_are_served_as_the_first_ones():
    edge = Edge(("s",), [route("first", "/first/", ("s", 1.0))])

    async def scenario():
        for number in range(30):
            edge.add(route(f"late-{number}", f"/late-{number}/", ("s", 1.0)))
            if number % 3 == 0:
                edge.add(route(f"inner-{number}", f"/late-{number}/inner/", ("s", 1.0)))
        paths = ["/first/x", *(f"/late-{number}/x" for number in range(30))]
        paths += [f"/late-{number}/inner/x" for number in range(0, 30, 3)]
        served = dict.fromkeys(paths, 0)
        for turn in range(4):
            for path in paths:
                served[path] += await edge.served(path, f"{path}-{turn}", 5)
        return served

    assert set(edge.run(scenario).values()) == {4}


@pytest.mark.parametrize("weights", [(90.0, 10.0), (50.0, 50.0), (1.0, 3.0)])
def test_traffic_is_split_by_the_weights_of_a_routes_targets(weights):
    edge = Edge(("a", "b"), [route("split", "/", ("a", weights[0]), ("b", weights[1]))])

    async def scenario():
        for number in range(1500):
            assert await edge.served("/x", f"c{number}", 1)
        return sum(len(worker.runs) for worker in edge.workers if worker.service == "a")

    share = edge.run(scenario) / 1500
    assert abs(share - weights[0] / sum(weights)) < 0.04


def test_a_target_without_weight_gets_nothing():
    drawn = collections.Counter(
        forwarder.draw_service(route("r", "/", ("a", 1.0), ("b", 0.0)), random.Random(seed)) for seed in range(300)
    )
    assert drawn == {"a": 300}


def overloaded(edge: Edge, draw) -> list[tuple[object, bool]]:
    """Make calls faster than the workers can serve; return each call's drawn key and whether it was served."""

    async def scenario():
        random_source, tasks, drawn = random.Random(5), [], []
        end = clock.now() + clock.seconds(OVERLOAD_S)
        while clock.now() < end:
            key, path, work_ms = draw(random_source)
            drawn.append(key)
            tasks.append(asyncio.ensure_future(edge.served(path, f"c{len(tasks)}", work_ms)))
            await clock.sleep(clock.seconds(random_source.expovariate(CALLS_PER_SECOND)))
        return list(zip(drawn, await asyncio.gather(*tasks), strict=True))

    results = edge.run(scenario)
    refused = sum(not served for _, served in results) / len(results)
    assert refused > MIN_REFUSED_SHARE, f"no overload: only {refused:.2f} of the calls refused"
    return results


def share_served(results: list[tuple[object, bool]], wanted) -> float:
    """The share of calls with a wanted key that were served."""
    outcomes = [served for key, served in results if wanted(key)]
    assert len(outcomes) > 200
    return sum(outcomes) / len(outcomes)


def test_no_session_is_starved_under_overload():
    edge = Edge(("s",), [route("r", "/", ("s", 1.0))])
    results = overloaded(edge, lambda random_source: (random_source.randrange(400), "/x", WORK_MS))
    asked, served = collections.Counter(), collections.Counter()
    for session, is_served in results:
        asked[session] += 1
        served[session] += is_served
    refused = 1 - sum(served.values()) / len(results)
    often = [session for session, count in asked.items() if count >= 4]
    never = [session for session in often if not served[session]]
    expected_by_chance = sum(refused ** asked[session] for session in often)
    assert len(often) > 300 and len(never) <= 2 + 0.04 * len(often) + 3 * expected_by_chance


def test_large_calls_are_served_at_least_half_as_often_as_all_under_overload():
    edge = Edge(("s",), [route("r", "/", ("s", 1.0))])

    def draw(random_source: random.Random) -> tuple[int, str, int]:
        size = min(400, int(WORK_MS * random_source.paretovariate(1.8) / 2))
        return size, "/x", size

    results = overloaded(edge, draw)
    sizes = sorted(size for size, _ in results)
    largest_tenth, next_fifth = sizes[-len(sizes) // 10], sizes[-3 * len(sizes) // 10]
    share_of_all = share_served(results, lambda size: True)
    assert share_served(results, lambda size: size >= largest_tenth) >= share_of_all / 2
    assert share_served(results, lambda size: next_fifth <= size < largest_tenth) >= share_of_all / 2


def test_an_urgent_kind_is_not_served_less_often_than_a_less_urgent_one_of_its_service():
    urgent, routine = route("urgent", "/u/", ("s", 1.0), rank=0), route("routine", "/r/", ("s", 1.0), rank=3)
    edge = Edge(("s",), [urgent, routine])
    results = overloaded(edge, lambda random_source: (kind := random_source.choice("ur"), f"/{kind}/x", WORK_MS))
    difference = share_served(results, lambda kind: kind == "r") - share_served(results, lambda kind: kind == "u")
    assert difference <= 0.05


def test_an_edge_is_ready_only_with_configuration_and_list_and_not_while_it_stops():
    edge = Edge(("s",), [route("r", "/", ("s", 1.0))])

    async def scenario():
        relay = edge.node.relay
        seen = [edge.forwarder.ready()]
        relay.current = lambda: False
        seen.append(edge.forwarder.ready())
        relay.current = lambda: True
        edge.forwarder.instances.listed = {}
        seen.append(edge.forwarder.ready())
        edge.forwarder.instances.listed = {"i-0": types.SimpleNamespace()}
        edge.node.stopping.set()
        seen.append(edge.forwarder.ready())
        return seen

    assert edge.run(scenario) == [True, False, False, False]


def test_the_table_of_routes_matches_the_longest_prefix_in_whatever_order_routes_came():
    routes = [route(f"r{length}", "/" + "a/" * length, ("s", 1.0)) for length in range(6)]
    for seed in range(10):
        shuffled = random.Random(seed).sample(routes, len(routes))
        table = route_table.EMPTY
        for added in shuffled:
            table = table.changed((), (added,))
        assert [table.match("h", "/" + "a/" * length + "x").name for length in range(6)] == [one.name for one in routes]
