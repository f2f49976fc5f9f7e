"""The virtual cluster: its clock, its network, and that it forms, notices losses and repeats exactly."""

import asyncio
import dataclasses

import logbook
import pytest

from aspencroft.benchmarks import virtual, virtual_cluster, wire

SMALL = virtual_cluster.Shape(nodes=12, cores=3, storages=3, regions=3, zones=3)


def all_know_the_running_nodes(cluster: virtual_cluster.VirtualCluster) -> bool:
    running = set(cluster.nodes)
    return all(set(own.failure_detector.live()) == running for own in cluster.nodes.values())


def control_serves(cluster: virtual_cluster.VirtualCluster) -> bool:
    replicas = [own.group_replicas[0] for own in cluster.nodes.values() if 0 in own.group_replicas]
    return any(each.has_lease() and each.status_reason == "serving" for each in replicas)


def form_and_lose_nodes(folder) -> dict:
    """Seconds until the cluster formed from its seeds, until losses were noticed and made good, and bytes sent."""

    async def scenario() -> dict:
        cluster = virtual_cluster.VirtualCluster(SMALL, folder)
        for name in cluster.roles:
            cluster.start(name)
        seconds = {
            "formed": await cluster.until(lambda: all_know_the_running_nodes(cluster) and control_serves(cluster), 120)
        }
        for fault, name, silent in (("process", "edge-0:1", False), ("machine", "edge-1:1", True)):
            cluster.kill(name, silent)
            seconds[f"{fault} lost"] = await cluster.until(lambda: all_know_the_running_nodes(cluster), 30)
            cluster.start(name)
            seconds[f"{fault} back"] = await cluster.until(lambda: all_know_the_running_nodes(cluster), 60)
        sent = {name: dataclasses.astuple(each) for name, each in cluster.wire.traffic.items()}
        faults = sum(sum(own.standing.values()) for own in cluster.nodes.values())
        await cluster.end()
        return {"seconds": seconds, "sent": sent, "faults": faults}

    with logbook.NullHandler().applicationbound():
        return on_virtual_loop(scenario)


def on_virtual_loop(scene):
    with asyncio.Runner(loop_factory=virtual.VirtualLoop) as runner:
        return runner.run(scene())


def test_the_clock_leaps_and_books_time_to_whoever_ran():
    async def scene():
        loop = asyncio.get_running_loop()

        async def work():
            await asyncio.sleep(3600)
            sum(range(200_000))

        began = loop.time()
        await loop.create_task(work(), context=virtual.context_of("a"))
        return loop.time() - began, loop.booked["a"], loop.booked["b"]

    took, busy, idle = on_virtual_loop(scene)
    assert 3600 <= took < 3600.1 and busy > 0 and idle == 0


def test_a_loop_in_which_nothing_can_come_says_so():
    async def scene():
        await asyncio.get_running_loop().create_future()

    with pytest.raises(RuntimeError, match="no timer"):
        on_virtual_loop(scene)


def test_streams_delay_by_distance_count_bytes_and_fall_silent_in_a_cut():
    async def scene():
        loop = asyncio.get_running_loop()
        made = wire.Wire(wire.Distance(0.001, 0.002, 0.05), {"a:1": "r1-z1", "b:1": "r1-z2", "c:1": "r2-z3"})
        one, other = wire.Network(made, "a:1"), wire.Network(made, "c:1")
        accepted = await other.listen("c:1")
        near = await one.connect("c:1")
        far = await accepted.get()
        began = loop.time()
        await near.write(b"abcd")
        assert await far.read(2) == b"ab" and await far.read(2) == b"cd"
        assert loop.time() - began == pytest.approx(0.05)
        assert made.traffic["a:1"].sent_bytes == made.traffic["c:1"].received_bytes == 4
        made.cut("r1", "r2")
        await near.write(b"lost")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1):
                await far.read(1)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1):
                await one.connect("c:1")
        made.heal()
        again = await one.connect("c:1")
        await again.write(b"x")
        assert await (await accepted.get()).read(1) == b"x"
        again.close()
        with pytest.raises(ConnectionRefusedError):
            await one.connect("b:1")

    on_virtual_loop(scene)


def test_bytes_of_one_moment_keep_their_order():
    async def scene():
        made = wire.Wire(wire.Distance(), {"a:1": "r1-z1", "b:1": "r1-z1"})
        accepted = await wire.Network(made, "b:1").listen("b:1")
        near = await wire.Network(made, "a:1").connect("b:1")
        sent = bytes(range(200))
        for number in sent:
            await near.write(bytes([number]))
        assert await (await accepted.get()).read(200) == sent

    on_virtual_loop(scene)


def test_a_cluster_forms_from_its_seeds_and_notices_what_is_lost(tmp_path):
    seen = form_and_lose_nodes(tmp_path)
    assert seen["faults"] == 0
    assert 0 < seen["seconds"]["formed"] < 20
    for fault in ("process", "machine"):
        assert 1 < seen["seconds"][f"{fault} lost"] < 8
        assert seen["seconds"][f"{fault} back"] >= 0


def test_virtual_times_and_bytes_repeat_exactly(tmp_path):
    assert form_and_lose_nodes(tmp_path / "first") == form_and_lose_nodes(tmp_path / "again")
