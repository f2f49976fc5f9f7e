"""Tests of ``aspencroft.simulation.resting``."""

import asyncio

from aspencroft.emulator import backend, shape
from aspencroft.residency import residency
from aspencroft.simulation import guarantees, resting


def test_a_machine_that_fails_to_wake_is_asked_again_and_another_is_woken():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        await resting.calm(harness, 4)
        stubborn = resting.asleep(harness)
        for one in stubborn:
            one.faults = backend.Faults(wake_fails=1.0)
        noted = await resting.crowd(harness, "a", 120)
        assert all(one.ran in ("done", "not run") for one in noted)
        assert all(one.asleep for one in stubborn)
        for one in stubborn:
            one.faults = backend.Faults()
        await asyncio.sleep(12)
        assert all(one.counts["woken"] for one in stubborn), [one.counts for one in stubborn]
        assert sum(one.counts["put to rest while busy"] for one in harness.cluster.world.models) == 0

    guarantees.play(61, scenario, name=shape.ARCHIVE)


def test_a_machine_is_not_drawn_before_it_is_awake_and_wakes_with_nothing_held():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        await resting.calm(harness, 5)
        sleepers = resting.asleep(harness)
        before = {worker.name: worker.counts["put back"] for worker in sleepers}
        noted = await resting.crowd(harness, "a", 150)
        assert sum(one.ran == "done" for one in noted) > 140
        assert (
            sum(
                worker.counts["put back"] - worker.counts["put back as full"] - before[worker.name]
                for worker in sleepers
            )
            == 0
        )
        assert any(worker.ran for worker in sleepers)
        read = sum(worker.counts["reports read asleep"] for worker in cluster.world.models)
        probes = sum(worker.counts["reports read"] for worker in cluster.world.models)
        assert probes <= 1 + cluster.loop.time() / residency.PROBE.total_seconds() and read <= 4, (read, probes)

    guarantees.play(62, scenario, name=shape.ARCHIVE)


def test_a_machine_marked_as_leaving_in_its_sleep_gets_nothing_and_serves_again_once_unmarked():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        await resting.calm(harness, 3)
        marked = resting.asleep(harness)[0]
        cluster.world.leaving.add(marked.name)
        await asyncio.sleep(1)
        ran = sum(marked.ran.values())
        await resting.crowd(harness, "a", 120)
        assert sum(marked.ran.values()) == ran
        cluster.world.leaving.discard(marked.name)
        for number in range(6):
            await resting.crowd(harness, f"b{number}", 120)
            await asyncio.sleep(1)
        assert sum(marked.ran.values()) > ran, marked.counts

    guarantees.play(63, scenario, name=shape.ARCHIVE)


def test_the_holder_of_the_rest_duty_may_die_between_any_two_steps():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for number in range(6):
            holder = next(
                (
                    name
                    for name, own in cluster.nodes.items()
                    if cluster.alive(name)
                    and own.singleton_roles.get("rest")
                    and own.singleton_roles["rest"].has_lease()
                ),
                None,
            )
            await asyncio.sleep(4 + 1.3 * number)
            if holder is not None:
                cluster.kill(holder)
            noted = [
                await harness.ask(cluster.edges[each % 2], "catalogue", "x", program=f"p{number}-{each}")
                for each in range(4)
            ]
            assert all(each.ran == "done" for each in noted), noted
            if holder is not None:
                cluster.start(holder)
            await cluster.until(cluster.ready, 12, "ready")
        noted = await resting.crowd(harness, "a", 150)
        assert sum(each.ran == "done" for each in noted) > 140
        await asyncio.sleep(8)
        noted = await resting.crowd(harness, "b", 150)
        assert all(each.ran == "done" for each in noted)
        assert sum(worker.counts["put to rest while busy"] for worker in cluster.world.models) == 0

    for seed in (64, 65):
        guarantees.play(seed, scenario, name=shape.ARCHIVE)
