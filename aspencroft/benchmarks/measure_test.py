"""The hollow fleet: its clock, its wire, its bounds, and that it forms, notices losses and repeats exactly."""

import asyncio
import dataclasses

import logbook
import pytest

from aspencroft.benchmarks import hollow, virtual, wire

SMALL = hollow.Shape(nodes=12, cores=3, storages=3, regions=3, zones=3)


def run(shape: hollow.Shape, acts: hollow.Acts) -> dict:
    with logbook.NullHandler().applicationbound():
        return hollow.run(shape, acts)


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


def test_sizes_out_of_bounds_are_named():
    assert SMALL.faults() == [] and hollow.Acts().faults(SMALL) == []
    for name, value in (
        ("nodes", 7),
        ("nodes", 5000),
        ("cores", 2),
        ("storages", 1),
        ("regions", 0),
        ("zones", 2),
        ("far", 2.0),
    ):
        assert any(one.startswith(name) for one in dataclasses.replace(SMALL, **{name: value}).faults()), name
    assert dataclasses.replace(SMALL, storages=9).faults()
    for name, value in (
        ("idle", -1.0),
        ("writes", 2000),
        ("kill", 7),
        ("power", 7),
        ("restart", -1),
        ("leader", 4),
        ("zone", 2),
        ("cut", -1.0),
    ):
        assert any(one.startswith(name) for one in hollow.Acts(**{name: value}).faults(SMALL)), name


def test_a_fleet_forms_takes_changes_and_notices_what_is_lost():
    told = run(SMALL, hollow.Acts(idle=2, writes=1, kill=1, power=1, restart=1, leader=1, cut=5))
    assert "wrong" not in told and told["faults of standing tasks"] == 0
    assert (
        told["idle"]["all"]["processor, % of a core"]["mean"] > 0 and told["idle"]["all"]["bytes sent, /s"]["mean"] > 0
    )
    forced, acknowledged = (
        told["changes"][f"{what} after, s"]["most"] for what in ("in force on all nodes", "acknowledged")
    )
    assert 0 < forced <= acknowledged + 0.05
    for kind in ("kill", "power"):
        assert told[kind]["not seen"] == 0 and 1 < told[kind]["seen everywhere, s"]["most"] < 8
        assert told[f"{kind}: back"]["all know them after, s"] >= 0
    assert told["leader"][0]["another serves after, s"] > 0
    assert told["leader"][0]["a change said then acknowledged after, s"] > 0
    assert told["cut"]["nodes outside wrongly thought down outside"] == 0
    assert told["cut"]["tables whole after the cut's end, s"] >= 0


def test_virtual_times_and_bytes_repeat_exactly():
    def exact(told: dict) -> tuple:
        return (
            told["formed after, s"],
            told["changes"]["acknowledged after, s"],
            told["idle"]["all"]["bytes sent, /s"],
            told["kill"]["seen everywhere, s"],
        )

    acts = hollow.Acts(idle=2, writes=1, kill=1)
    assert exact(run(SMALL, acts)) == exact(run(SMALL, acts))


def test_a_cold_fleet_forms_from_its_seeds():
    told = run(dataclasses.replace(SMALL, warm=False), hollow.Acts(idle=0, writes=1))
    assert 0 < told["formed after, s"] < 20 and told["changes"]["acknowledged after, s"]["most"] > 0
