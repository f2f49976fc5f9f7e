"""How long things are kept: keys a full minute and more, history its keep time, and neither for ever."""

import asyncio
import datetime

from aspencroft.replication import snapshotting
from aspencroft.simulation import guarantees, simulated_cluster


def on_disks(cluster: simulated_cluster.SimulatedCluster, text: bytes) -> int:
    """How often a text is found in the copies of the pairs' members; one that is a member no more keeps its last."""
    folders = [
        host.replica.folder
        for own in cluster.nodes.values()
        for host in own.group_replicas.values()
        if host.known is not None and host.me() in host.known.members()
    ]
    return sum(path.read_bytes().count(text) for folder in folders for path in folder.rglob("*.dat"))


def test_a_key_holds_a_minute_over_edges_takeovers_a_full_stop_and_jumping_clocks_then_is_free():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, began = harness.cluster, harness.cluster.loop.time()

        async def again(edge: str, at: float) -> None:
            await asyncio.sleep(max(0.0, began + at - cluster.loop.time()))
            noted = await harness.ask(edge, "till-lock", {"name": "k"}, operation="k")
            assert noted.ran in ("done", "unknown") and harness.runs("k") == 1, (at, noted)

        assert (await harness.ask("edge-0", "till-lock", {"name": "k"}, operation="k")).ran == "done"
        await again("edge-1", 20)
        cluster.clock_jump += datetime.timedelta(hours=2)
        victim = cluster.leader(1)
        cluster.kill(victim)
        cluster.start(victim)
        await again("edge-0", 30)
        cluster.clock_jump -= datetime.timedelta(hours=5)
        for name in cluster.names():
            cluster.power_off(name)
        for name in cluster.names():
            cluster.start(name)
        await cluster.until(cluster.ready, 12, "back in service")
        await again("edge-1", 55)
        for at in (59.0, 59.9, 61.0):
            await again("edge-0", at)
        await asyncio.sleep(90)
        noted = await harness.ask("edge-1", "till-lock", {"name": "k"}, operation="k")
        assert noted.ran == "done" and harness.runs("k") == 2
        times = sorted(body["at"] for body in cluster.world.seen())
        assert times[1] - times[0] > 60

    guarantees.play(91, scenario)


def test_history_is_there_until_its_keep_time_ends_also_after_takeovers_and_its_room_is_given_back():
    kept = snapshotting.COMPACT_ENTRIES
    snapshotting.COMPACT_ENTRIES = 60

    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        lane = {
            "kind": "turns",
            "services": ["clerk"],
            "deadline": 10,
            "keep": 20,
            "budget": 4000,
            "turn_output": 40,
        }
        assert (await harness.client.patch("http://core-0/plan", json={"lanes": {"brief": lane}})).status_code == 200
        programs = [f"p{number}" for number in range(60)]
        for program in programs:
            assert (await harness.ask("edge-0", "brief", "long first", program=program)).ran == "done"
        assert on_disks(cluster, b"long first") >= 60
        await asyncio.sleep(18.5)
        noted = await harness.ask("edge-1", "brief", "next", program="p59", after=1)
        assert noted.ran == "done", noted
        for group_id in (1, 2):
            victim = cluster.leader(group_id)
            cluster.kill(victim)
            await cluster.until(cluster.formed, 12, "formed")
            cluster.start(victim)
        await asyncio.sleep(11)
        noted = await harness.ask("edge-1", "brief", "next", program="p59", after=2)
        assert noted.ran == "done", noted
        await asyncio.sleep(75)
        gone = await harness.ask("edge-0", "brief", "late", program="p1", after=1)
        assert (gone.result, gone.ran) == (1005, "not run"), gone
        for number in range(160):
            await harness.ask("edge-0", "till-lock", {"name": f"s{number}"}, operation=f"s{number}")
        await asyncio.sleep(1)
        held = [
            host.replica.state_machine
            for own in cluster.nodes.values()
            for group_id, host in own.group_replicas.items()
            if group_id
        ]
        assert all(not set(view.programs) & set(programs) for view in held if view.operations)
        assert on_disks(cluster, b"long first") == 0, on_disks(cluster, b"long first")

    try:
        guarantees.play(92, scenario)
    finally:
        snapshotting.COMPACT_ENTRIES = kept
