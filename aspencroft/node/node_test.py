"""Tests of emptying machines, in simulated fleets."""

import asyncio

from aspencroft.errors import result
from aspencroft.node import node
from aspencroft.runtime import clock
from aspencroft.simulation import groups

WITHIN = clock.seconds(8)


def test_emptying_a_machine_completes_and_nothing_is_lost():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        victim = one.leader(1)
        asked = next(name for name in one.cores if name != one.leader(0))
        own = one.nodes[asked]
        programs = [f"p{number}" for number in range(5)]
        for program in programs:
            assert (await stage.ask("edge-0", "supervisor", f"{program} first", program=program)).ran == "done"
        assert await stage.ask_node(asked, own.emptying(victim)) == node.IN_SERVICE
        for _ in range(2):
            assert await stage.ask_node(asked, own.empty(victim, WITHIN)) is None
        end = one.loop.time() + 5
        while await stage.ask_node(asked, own.emptying(victim)) != node.EMPTIED:
            assert one.loop.time() < end
            await asyncio.sleep(0.1)
        assert all(victim not in stage.members(pair) and len(stage.members(pair)) == 2 for pair in (1, 2))
        one.storages.remove(victim)
        one.power_off(victim)
        one.disks[victim].wipe()
        assert await stage.ask_node(asked, own.emptying(victim)) == node.EMPTIED
        for program in programs:
            assert (await stage.ask("edge-1", "supervisor", "second", program=program, after=1)).ran == "done"
        left = await stage.ask_node(asked, own.empty(one.storages[0], WITHIN))
        assert isinstance(left, result.RequestError) and left.result is result.ResultCode.TOO_FEW_LEFT

    for seed in (1, 2):
        groups.play(seed, acts)


def test_an_unknown_machine_is_told_as_such():
    async def acts(stage: groups.Stage) -> None:
        own = stage.scene.nodes["core-2"]
        for work in (own.empty("nobody", WITHIN), own.emptying("nobody")):
            refused = await stage.ask_node("core-2", work)
            assert isinstance(refused, result.RequestError) and refused.result is result.ResultCode.UNKNOWN_RESOURCE

    groups.play(3, acts)


def test_an_operators_write_waits_for_confirmation_no_longer_than_settings_say():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        one.wire.cut(["edge-1"], [name for name in one.names() if name != "edge-1"])
        began = one.loop.time()
        assert await stage.write("extra")
        assert 0.9 < one.loop.time() - began < 1.5

    groups.play(4, acts, more={"confirm": clock.seconds(1)})


def test_a_node_acts_on_a_plan_no_longer_than_its_currency():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        one.wire.cut(["edge-1"], [name for name in one.names() if name != "edge-1"])
        took = await one.until(lambda: not one.nodes["edge-1"].relay.current(), 3, "out of currency")
        assert 0.9 < took < 1.6
        began = one.loop.time()
        assert await stage.write("extra")
        assert one.loop.time() - began < 1.6

    groups.play(5, acts, more={"currency": clock.seconds(1.5)})


def test_status_says_that_a_majority_of_voters_is_lost_and_nothing_is_acknowledged_meanwhile():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        await one.until(lambda: len(one.nodes["core-0"].proposer.voter_set.present) == 5, 8, "five voters")
        assert await stage.write("before")
        shown = one.nodes["edge-0"].status()["quorum"]
        assert (shown["losses_left"], shown["missing"], shown["means"]) == (2, [], "")
        lost = one.cores[-3:]
        for name in lost:
            one.power_off(name)
        await asyncio.sleep(6)
        shown = one.nodes["edge-0"].status()["quorum"]
        assert shown["losses_left"] == -1 and "until 1 more voters" in shown["means"]
        assert shown["missing"] == sorted(f"{name}:1" for name in lost)
        assert not any(one.leader(pair) for pair in range(3))
        one.start(lost[0])
        await one.until(one.formed, 8, "formed")
        assert await stage.write("after")
        assert {"before", "after"} <= await stage.written()

    groups.play(21, acts)
