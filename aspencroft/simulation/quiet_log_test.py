"""What a cluster writes to its logs: nothing while nothing happens, the whole story of a failover, no line a try."""

import asyncio
import collections

import logbook

from aspencroft.membership import cluster_member
from aspencroft.runtime import clock, events, node_log
from aspencroft.simulation import simulated_cluster, wire

SIZE = simulated_cluster.Size(4, 3, 5, apart=True)
SETTINGS = {"witnesses": "core", "confirm": clock.seconds(0.25), "currency": clock.seconds(12)}
QUIET_S = 60.0


def written(scenario) -> list[logbook.LogRecord]:
    """The records from NOTICE on that a cluster gives while a scenario runs, once it was formed and calm."""
    found: list[logbook.LogRecord] = []

    async def whole(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        await asyncio.sleep(15)
        handler = logbook.TestHandler(level=logbook.NOTICE)
        with handler.applicationbound():  # nodes that run already have contexts of their own
            await scenario(cluster)
            found.extend(handler.records)

    simulated_cluster.play(11, whole, SIZE, weather=wire.Weather(jitter=0.002), more=SETTINGS)
    return found


def names_of(records: list[logbook.LogRecord]) -> collections.Counter:
    """How often each event was written."""
    fields = (node_log.fields_of(record) for record in records)
    return collections.Counter(found.event for found in fields if found is not None)


def test_a_time_without_events_writes_nothing():
    async def wait(cluster: simulated_cluster.SimulatedCluster) -> None:
        await asyncio.sleep(QUIET_S)

    assert [record.message for record in written(wait)] == []


def test_a_failover_is_written_whole_by_those_who_take_part():
    async def lose_a_primary(cluster: simulated_cluster.SimulatedCluster) -> None:
        victim = cluster.leader(0)
        cluster.power_off(victim)
        await asyncio.sleep(8)
        cluster.start(victim)
        await asyncio.sleep(8)

    seen = names_of(written(lose_a_primary))
    wanted = (
        events.Event.ROLE_CHANGED,
        events.Event.TAKEOVER_SUCCEEDED,
        events.Event.REPLICA_ADDED,
        events.Event.ROOT_BEGUN,
        events.Event.MEMBER_SUSPECTED,
        events.Event.MEMBER_DOWN,
        events.Event.MEMBER_BACK,
        events.Event.NODE_STARTED,
    )
    assert [event for event in wanted if not seen[event]] == []


async def watch_one_cut_off(cluster: simulated_cluster.SimulatedCluster) -> list[frozenset[str]]:
    """Cut an edge off for twenty seconds; whom it suspected from the sixth second on, twice a second."""
    edge, suspected = cluster.edges[0], []
    cluster.wire.cut([edge], [name for name in cluster.names() if name != edge])
    await asyncio.sleep(6)
    for _ in range(28):
        await asyncio.sleep(0.5)
        view = cluster.nodes[edge].failure_detector.view
        assert all(member.state == cluster_member.LIVE for member in view.members.values())
        suspected.append(view.suspected)
    cluster.wire.heal()
    await asyncio.sleep(5)
    assert not cluster.nodes[edge].failure_detector.view.suspected
    return suspected


def test_a_node_that_is_cut_off_marks_nobody_down_and_says_why():
    async def cut_one_off(cluster: simulated_cluster.SimulatedCluster) -> None:
        assert any(await watch_one_cut_off(cluster))

    assert names_of(written(cut_one_off))[events.Event.SUSPICION_UNCONFIRMED] > 0


def test_a_node_that_is_cut_off_goes_on_suspecting_those_that_it_misses():
    async def cut_one_off(cluster: simulated_cluster.SimulatedCluster) -> None:
        assert all(await watch_one_cut_off(cluster))

    written(cut_one_off)
