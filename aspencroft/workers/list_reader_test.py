"""The list of workers in a simulated cluster: one reader, what it publishes, and what edges do without it."""

import asyncio
import collections.abc

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.proxy import instance, instances
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster
from aspencroft.workers import list_reader


def worker(name: str, draining: bool = False, cold: float = 0.0) -> instance.Instance:
    """Return a worker as it is in the list."""
    return instance.Instance(name, f"{name}:80", "chat", "north", "v1", 8, draining, clock.seconds(cold))


class Platform:
    """A platform that records who reads its list, and the readers and watches of a cluster's nodes."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster):
        self.cluster = cluster
        self.listed: dict[str, instance.Instance] = {"a": worker("a"), "b": worker("b")}
        self.reads: list[tuple[float, str]] = []
        self.is_refusing = False
        self.refusal = result.ResultCode.OVERLOADED
        self.cost = clock.seconds(1 / 44)
        self.readers: dict[str, list_reader.ListReader] = {}
        self.watches: dict[str, list_reader.Watch] = {}

    def read_list(self, name: str) -> list_reader.ReadList:
        """Return the function with which one node reads the list."""

        async def read() -> list[instance.Instance]:
            self.reads.append((self.cluster.loop.time(), name))
            await asyncio.sleep(0.02)
            if self.is_refusing:
                raise result.RequestError(self.refusal)
            return list(self.listed.values())

        return read

    def attach(self, name: str) -> None:
        """Start a reader or a watch on a running node."""
        own = self.cluster.nodes[name]
        if name.startswith("edge"):
            self.watches[name] = watch_or_reader = list_reader.Watch(
                own, instances.Instances(), self.read_list(name), lambda: self.cost
            )
        else:
            self.readers[name] = watch_or_reader = list_reader.ListReader(own, self.read_list(name), lambda: self.cost)
        self.cluster.loop.create_task(watch_or_reader.run(), context=self.cluster.loop.context_of(name))

    def holder(self) -> str:
        """Return the node that holds the role, or an empty name."""
        return next(
            (name for name, one in self.readers.items() if self.cluster.alive(name) and one.role.has_lease()), ""
        )

    def known(self) -> list[frozenset[str]]:
        """Return the workers that each edge would send requests to."""
        return [frozenset(one.name for one in watch.instances.of("chat")) for watch in self.watches.values()]

    async def wait_until_known(self, names: str, within: float) -> float:
        """Wait until every edge knows exactly these workers; return how long that took."""
        return await self.cluster.until(lambda: all(one == frozenset(names) for one in self.known()), within, names)


def run_scenario(seed: int, scenario: collections.abc.Callable) -> None:
    """Run a scenario once the cluster is formed and all readers and watches have started."""

    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        platform = Platform(cluster)
        for name in [*cluster.cores, *cluster.edges]:
            platform.attach(name)
        await platform.wait_until_known("ab", 8)
        await scenario(platform)
        assert not cluster.ended and not cluster.loop.exceptions, (cluster.ended, cluster.loop.exceptions)

    simulated_cluster.play(seed, whole_scenario)


def test_the_wire_form_of_the_list_keeps_it():
    found = [worker("a", cold=1.5), worker("b", True)]
    assert list_reader.decode_list(list_reader.encode_list(found)) == found and list_reader.decode_list("[]") == []
    assert list_reader.significant_fields([worker("a", cold=1.5)]) == list_reader.significant_fields(
        [worker("a", cold=0.5)]
    )
    assert list_reader.significant_fields([worker("a", cold=1.5)]) != list_reader.significant_fields([worker("a")])
    assert list_reader.significant_fields([worker("a")]) != list_reader.significant_fields([worker("a", True)])


def test_one_core_reads_for_all_and_a_draining_worker_is_known_within_two_seconds():
    async def scenario(platform):
        await asyncio.sleep(6)
        began = platform.cluster.loop.time()
        platform.reads.clear()
        await asyncio.sleep(10)
        assert {name for _, name in platform.reads} == {platform.holder()}
        assert platform.holder().startswith("core")
        assert 8 <= len(platform.reads) <= 11, "a list that stays the same is read once a second"
        assert all(watch.instances.age() < list_reader.STALE_AFTER for watch in platform.watches.values())
        changes = platform.readers[platform.holder()].counts["list changes"]
        assert changes == 1, "an unchanged list is not published again"
        platform.listed["b"] = worker("b", True)
        assert await platform.wait_until_known("a", 2) < 2
        assert all(watch.instances.is_excluded("b") for watch in platform.watches.values())
        platform.listed["c"] = worker("c")
        await asyncio.sleep(0.1)
        platform.reads.clear()
        assert await platform.wait_until_known("ac", 1.5) < 1.5
        await asyncio.sleep(2)
        gaps = [late - early for (early, _), (late, _) in zip(platform.reads, platform.reads[1:], strict=False)]
        assert max(gaps) < 0.65, "after a change it is read more often"
        assert began < platform.cluster.loop.time()

    run_scenario(3, scenario)


def test_edges_read_for_themselves_while_nobody_does_the_duty_and_stop_when_one_does():
    async def scenario(platform):
        for name in platform.cluster.cores:
            platform.cluster.loop.freeze(name)
        platform.listed["b"] = worker("b", True)
        platform.reads.clear()
        assert await platform.wait_until_known("a", 6) < 4
        await asyncio.sleep(5)
        assert {name for _, name in platform.reads} == set(platform.cluster.edges)
        assert len(platform.reads) <= 2 * 9, "no edge reads more often than one core would"
        for name in platform.cluster.cores:
            platform.cluster.loop.thaw(name)
        await platform.cluster.until(lambda: platform.holder() != "", 15, "a holder")
        await asyncio.sleep(4)
        platform.reads.clear()
        platform.listed["a"] = worker("a", True)
        await platform.wait_until_known("", 2)
        await asyncio.sleep(4)
        assert {name for _, name in platform.reads} == {platform.holder()}

    run_scenario(5, scenario)


def test_the_duty_moves_when_its_holder_dies():
    async def scenario(platform):
        holder = platform.holder()
        platform.cluster.kill(holder)
        platform.listed["b"] = worker("b", True)
        assert await platform.wait_until_known("a", 6) < 4
        await platform.cluster.until(lambda: platform.holder() not in ("", holder), 15, "another holder")

    run_scenario(6, scenario)


def test_readers_that_are_refused_read_ever_more_seldom_and_edges_keep_what_they_know():
    async def scenario(platform):
        platform.is_refusing = True
        await asyncio.sleep(12)
        before, platform.reads = len(platform.reads), []
        assert before < 40
        await asyncio.sleep(20)
        assert len([name for _, name in platform.reads if name.startswith("core")]) <= 5
        assert len([name for _, name in platform.reads if name.startswith("edge")]) <= 2 * 20 / 5
        assert platform.known() == [frozenset("ab")] * 2
        platform.is_refusing = False
        platform.listed["c"] = worker("c")
        assert await platform.wait_until_known("abc", 9) < 9

    run_scenario(7, scenario)


def test_a_worker_that_leaves_as_the_platform_comes_back_is_known_as_soon_as_ever():
    for seed in range(20, 26):

        async def scenario(platform):
            platform.is_refusing, platform.refusal = True, result.ResultCode.LIST_BROKEN
            await asyncio.sleep(30 + platform.cluster.chance.random() * 5)
            platform.is_refusing = False
            platform.listed["b"] = worker("b", True)
            platform.reads.clear()
            assert await platform.wait_until_known("a", 2) < 2
            await asyncio.sleep(1.3)
            assert platform.holder() in {name for _, name in platform.reads}

        run_scenario(seed, scenario)


def test_a_list_that_takes_many_pages_is_read_no_more_often_than_half_of_the_rate():
    async def scenario(platform):
        platform.cost = clock.seconds(2)
        await asyncio.sleep(6)
        platform.reads.clear()
        await asyncio.sleep(20)
        assert len(platform.reads) <= 6
        for name in platform.cluster.cores:
            platform.cluster.loop.freeze(name)
        await asyncio.sleep(10)
        platform.reads.clear()
        await asyncio.sleep(60)
        assert len(platform.reads) <= 60 / 4 * 1.3

    run_scenario(8, scenario)


def test_a_frozen_holder_tells_nothing_old_when_it_wakes():
    async def scenario(platform):
        holder = platform.holder()
        platform.cluster.loop.freeze(holder)
        platform.listed["b"] = worker("b", True)
        await platform.wait_until_known("a", 6)
        await platform.cluster.until(
            lambda: any(one.role.has_lease() for name, one in platform.readers.items() if name != holder),
            15,
            "another holder",
        )
        platform.listed["c"] = worker("c")
        await platform.wait_until_known("ac", 4)
        platform.cluster.loop.thaw(holder)
        ended = platform.cluster.loop.time() + 5
        while platform.cluster.loop.time() < ended:
            assert set(platform.known()) == {frozenset("ac")}
            await asyncio.sleep(0.05)

    run_scenario(11, scenario)


def test_an_edge_that_starts_again_knows_the_list_without_reading_it():
    async def scenario(platform):
        platform.cluster.kill("edge-0")
        await asyncio.sleep(1)
        platform.cluster.start("edge-0")
        await platform.cluster.until(
            lambda: "edge-0" in platform.cluster.nodes and platform.cluster.nodes["edge-0"].started.is_set(),
            10,
            "started",
        )
        platform.reads.clear()
        platform.attach("edge-0")
        assert await platform.wait_until_known("ab", 4) < 3
        assert not [name for _, name in platform.reads if name == "edge-0"]

    run_scenario(13, scenario)


def test_edges_that_begin_before_any_reader_read_once_each_as_soon_as_they_have_the_plan():
    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        write = control_state.WriteResources("merge", "", "", '{"services": {"a": {"kind": "plain"}}}', None)
        await cluster.loop.create_task(
            cluster.nodes["core-0"].write_resources(write), context=cluster.loop.context_of("core-0")
        )
        await cluster.until(cluster.ready, 30, "ready")
        platform = Platform(cluster)
        for name in cluster.edges:
            platform.attach(name)
        assert await platform.wait_until_known("ab", 2) < 0.6, (
            "no node holds the role, and an edge cannot serve without the list"
        )
        await asyncio.sleep(0.5)
        assert sorted(name for _, name in platform.reads) == sorted(cluster.edges)

    simulated_cluster.play(17, whole_scenario)


def reads_of_edge_restarted_alone(first_start: bool) -> list[tuple[float, str]]:
    """Restart an edge while all other nodes are down; return its reads of the list within a second."""
    found: list[tuple[float, str]] = []

    async def scenario(platform):
        cluster = platform.cluster
        for name in [*cluster.cores, "edge-0"]:
            cluster.kill(name)
        cluster.more["first_start"] = first_start
        cluster.start("edge-0")
        await cluster.until(lambda: "edge-0" in cluster.nodes, 10, "started")
        platform.reads.clear()
        platform.attach("edge-0")
        began = cluster.loop.time()
        await asyncio.sleep(1)
        assert not cluster.nodes["edge-0"].relay.current()
        found.extend((at - began, name) for at, name in platform.reads if name == "edge-0")

    run_scenario(21, scenario)
    return found


def test_an_edge_that_starts_again_reads_the_list_itself_when_the_plan_stays_away():
    reads = reads_of_edge_restarted_alone(first_start=False)
    assert reads and reads[0][0] < 0.6, "so that both are there together once the others are back"
    assert len(reads) <= 3
    assert not reads_of_edge_restarted_alone(first_start=True), "there are no callers at the very first start"
