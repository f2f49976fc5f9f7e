"""Tests of emptying machines, in simulated fleets."""

import asyncio

from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.node import drain_order
from aspencroft.runtime import clock
from aspencroft.simulation import groups, simulated_cluster

WITHIN = clock.seconds(8)
CALL = clock.seconds(0.85)


def test_emptying_a_machine_completes_and_nothing_is_lost():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        victim = one.leader(1)
        asked = next(name for name in one.cores if name != one.leader(0))
        own = one.nodes[asked]
        programs = [f"p{number}" for number in range(5)]
        for program in programs:
            assert (await stage.ask("edge-0", "supervisor", f"{program} first", program=program)).ran == "done"
        assert await stage.ask_node(asked, own.drain_orders.state(victim, WITHIN)) == drain_order.DrainState.IN_SERVICE
        for _ in range(2):
            assert await stage.ask_node(asked, own.drain_orders.order(victim, WITHIN)) is None
        end = one.loop.time() + 5
        while await stage.ask_node(asked, own.drain_orders.state(victim, WITHIN)) != drain_order.DrainState.DRAINED:
            assert one.loop.time() < end
            await asyncio.sleep(0.1)
        assert all(victim not in stage.members(group_id) and len(stage.members(group_id)) == 2 for group_id in (1, 2))
        one.storages.remove(victim)
        one.power_off(victim)
        one.disks[victim].wipe()
        assert await stage.ask_node(asked, own.drain_orders.state(victim, WITHIN)) == drain_order.DrainState.DRAINED
        for program in programs:
            assert (await stage.ask("edge-1", "supervisor", "second", program=program, after=1)).ran == "done"
        left = await stage.ask_node(asked, own.drain_orders.order(one.storages[0], WITHIN))
        assert isinstance(left, result.RequestError) and left.result is result.ResultCode.TOO_FEW_LEFT

    for seed in (1, 2):
        groups.play(seed, acts)


def test_an_unknown_machine_is_told_as_such():
    async def acts(stage: groups.Stage) -> None:
        own = stage.scene.nodes["core-2"]
        for work in (own.drain_orders.order("nobody", WITHIN), own.drain_orders.state("nobody", WITHIN)):
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
        assert not any(one.leader(group_id) for group_id in range(3))
        one.start(lost[0])
        await one.until(one.formed, 8, "formed")
        assert await stage.write("after")
        assert {"before", "after"} <= await stage.written()

    groups.play(21, acts)


def test_a_drain_order_sent_again_after_the_machine_is_gone_and_forgotten_is_done():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        victim = one.storages[0]
        asked = next(name for name in one.cores if name != one.leader(0))
        own = one.nodes[asked]
        assert await stage.ask_node(asked, own.drain_orders.order(victim, WITHIN)) is None
        await until_drained(stage, asked, victim)
        one.storages.remove(victim)
        one.power_off(victim)
        await asyncio.sleep(5)
        for node in one.nodes.values():
            node.failure_detector.peers.pop(f"{victim}:1", None)
        for name in one.cores:
            orders = one.nodes[name].drain_orders
            assert orders.find(victim) is None
            assert await stage.ask_node(name, orders.order(victim, WITHIN)) is None
            assert await stage.ask_node(name, orders.state(victim, WITHIN)) is drain_order.DrainState.DRAINED

    groups.play(11, acts)


async def until_drained(stage: groups.Stage, asked: str, victim: str) -> None:
    orders, end = stage.scene.nodes[asked].drain_orders, stage.scene.loop.time() + 10
    while await stage.ask_node(asked, orders.state(victim, WITHIN)) is not drain_order.DrainState.DRAINED:
        assert stage.scene.loop.time() < end
        await asyncio.sleep(0.1)


def test_of_two_drain_orders_at_once_that_leave_too_few_together_one_is_taken_wherever_they_are_sent():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        first, second = one.storages[:2]
        left, right = [name for name in one.cores if name != one.leader(0)][:2]
        answers = await asyncio.gather(
            stage.ask_node(left, one.nodes[left].drain_orders.order(first, WITHIN)),
            stage.ask_node(right, one.nodes[right].drain_orders.order(second, WITHIN)),
        )
        refused = [answer for answer in answers if answer is not None]
        assert len(refused) == 1 and refused[0].result is result.ResultCode.TOO_FEW_LEFT, answers
        for name in one.cores:
            taken, other = (first, second) if answers[0] is None else (second, first)
            orders = one.nodes[name].drain_orders
            assert await stage.ask_node(name, orders.order(taken, WITHIN)) is None
            again = await stage.ask_node(name, orders.order(other, WITHIN))
            assert again.result is result.ResultCode.TOO_FEW_LEFT

    for seed in (12, 13, 17):
        groups.play(seed, acts)


def test_a_node_that_just_started_or_lags_refuses_no_drain_order():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        victim, away = one.storages[:2]
        asked = next(name for name in one.cores if name != one.leader(0))
        assert await stage.ask_node(asked, one.nodes[asked].drain_orders.order(victim, WITHIN)) is None
        one.kill(asked)
        one.kill(away)
        await asyncio.sleep(0.2)
        one.start(asked)
        end, answers = one.loop.time() + 12, []
        while one.loop.time() < end:
            await asyncio.sleep(0.01)
            if asked in one.nodes:
                answers.append(await stage.ask_node(asked, one.nodes[asked].drain_orders.order(victim, CALL)))
        assert all(answer is None or answer.result.status >= 500 for answer in answers)
        assert answers[-1] is None

    groups.play(14, acts)


def test_while_a_disk_is_away_for_a_moment_it_is_not_said_that_too_few_are_left():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        victim, away = one.storages[:2]
        orders = one.nodes[one.cores[0]].drain_orders
        one.kill(away)
        await one.until(lambda: orders.find(away).state == cluster_member.DOWN, 10, "seen down")
        answer = await stage.ask_node(one.cores[0], orders.order(victim, WITHIN))
        assert answer.result is result.ResultCode.UNREACHABLE
        await asyncio.sleep(drain_order.RETURN_EXPECTED_WITHIN.total_seconds())
        answer = await stage.ask_node(one.cores[0], orders.order(victim, WITHIN))
        assert answer.result is result.ResultCode.TOO_FEW_LEFT
        one.start(away)
        await one.until(lambda: orders.find(away).state == cluster_member.LIVE, 10, "back")
        assert await stage.ask_node(one.cores[0], orders.order(victim, WITHIN)) is None

    groups.play(15, acts)


def test_a_node_calls_a_machine_unknown_only_once_it_had_time_to_hear_of_all():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        asked = next(name for name in one.cores if name != one.leader(0))
        one.kill(asked)
        await asyncio.sleep(0.2)
        one.start(asked)
        began, seen = one.loop.time(), []
        await one.until(lambda: asked in one.nodes, 1, "started")
        orders = one.nodes[asked].drain_orders
        while one.loop.time() < began + 5:
            for work in (orders.order("nobody", CALL), orders.state("nobody", CALL)):
                answer = await stage.ask_node(asked, work)
                unknown = answer.result is result.ResultCode.UNKNOWN_RESOURCE
                assert unknown or answer.result.status >= 500
                assert not unknown or one.loop.time() - began >= drain_order.MEMBERS_KNOWN_AFTER.total_seconds()
                seen.append(unknown)
            await asyncio.sleep(0.1)
        assert seen[-1] and not seen[0]

    groups.play(16, acts)


def test_others_that_lose_their_disks_right_after_a_drain_take_nothing_with_them():
    def acts_with(losses: int):
        async def acts(stage: groups.Stage) -> None:
            one = stage.scene
            victim = one.leader(1)
            asked = next(name for name in one.cores if name != one.leader(0))
            programs = [f"p{number}" for number in range(6)]
            for program in programs:
                assert (await stage.ask("edge-0", "supervisor", f"{program} first", program=program)).ran == "done"
            assert await stage.ask_node(asked, one.nodes[asked].drain_orders.order(victim, WITHIN)) is None
            await until_drained(stage, asked, victim)
            lost = [name for name in stage.members(1) if name != victim][:losses]
            one.storages.remove(victim)
            for name in (victim, *lost):
                one.power_off(name)
                one.disks[name].wipe()
            one.lost.update(lost)
            await asyncio.sleep(1)
            for name in lost:
                one.start(name)
            await one.until(stage.whole, 12, "whole")
            for program in programs:
                assert (await stage.ask("edge-1", "supervisor", "second", program=program, after=1)).ran == "done"
            turns = [body for body in one.world.seen() if body.get("turn") == 2]
            assert sorted(body["history"][0][0] for body in turns) == [f"{program} first" for program in programs]

        return acts

    groups.play(31, acts_with(1), simulated_cluster.Size(2, 4, 5, apart=True))
    groups.play(32, acts_with(2), simulated_cluster.Size(2, 5, 5, apart=True), {"losses": 2})
