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
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        victim = cluster.leader(1)
        asked = next(name for name in cluster.cores if name != cluster.leader(0))
        node = cluster.nodes[asked]
        programs = [f"p{number}" for number in range(5)]
        for program in programs:
            assert (await harness.ask("edge-0", "supervisor", f"{program} first", program=program)).ran == "done"
        assert (
            await harness.ask_node(asked, node.drain_orders.state(victim, WITHIN)) == drain_order.DrainState.IN_SERVICE
        )
        for _ in range(2):
            assert await harness.ask_node(asked, node.drain_orders.order(victim, WITHIN)) is None
        end = cluster.loop.time() + 5
        while await harness.ask_node(asked, node.drain_orders.state(victim, WITHIN)) != drain_order.DrainState.DRAINED:
            assert cluster.loop.time() < end
            await asyncio.sleep(0.1)
        assert all(
            victim not in harness.members(group_id) and len(harness.members(group_id)) == 2 for group_id in (1, 2)
        )
        cluster.storages.remove(victim)
        cluster.power_off(victim)
        cluster.disks[victim].wipe()
        assert await harness.ask_node(asked, node.drain_orders.state(victim, WITHIN)) == drain_order.DrainState.DRAINED
        for program in programs:
            assert (await harness.ask("edge-1", "supervisor", "second", program=program, after=1)).ran == "done"
        left = await harness.ask_node(asked, node.drain_orders.order(cluster.storages[0], WITHIN))
        assert isinstance(left, result.RequestError) and left.result is result.ResultCode.TOO_FEW_LEFT

    for seed in (1, 2):
        groups.play(seed, scenario)


def test_an_unknown_machine_is_told_as_such():
    async def scenario(harness: groups.ClusterHarness) -> None:
        node = harness.cluster.nodes["core-2"]
        for work in (node.drain_orders.order("nobody", WITHIN), node.drain_orders.state("nobody", WITHIN)):
            refused = await harness.ask_node("core-2", work)
            assert isinstance(refused, result.RequestError) and refused.result is result.ResultCode.UNKNOWN_RESOURCE

    groups.play(3, scenario)


def test_an_operators_write_waits_for_confirmation_no_longer_than_settings_say():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        cluster.wire.cut(["edge-1"], [name for name in cluster.names() if name != "edge-1"])
        started_at = cluster.loop.time()
        assert await harness.write("extra")
        assert 0.9 < cluster.loop.time() - started_at < 1.5

    groups.play(4, scenario, more={"confirm": clock.seconds(1)})


def test_a_node_acts_on_a_plan_no_longer_than_its_currency():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        cluster.wire.cut(["edge-1"], [name for name in cluster.names() if name != "edge-1"])
        took = await cluster.until(lambda: not cluster.nodes["edge-1"].relay.current(), 3, "out of currency")
        assert 0.9 < took < 1.6
        started_at = cluster.loop.time()
        assert await harness.write("extra")
        assert cluster.loop.time() - started_at < 1.6

    groups.play(5, scenario, more={"currency": clock.seconds(1.5)})


def test_status_says_that_a_majority_of_voters_is_lost_and_nothing_is_acknowledged_meanwhile():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        await cluster.until(lambda: len(cluster.nodes["core-0"].proposer.voter_set.present) == 5, 8, "five voters")
        assert await harness.write("before")
        shown = cluster.nodes["edge-0"].status()["quorum"]
        assert (shown["losses_left"], shown["missing"], shown["means"]) == (2, [], "")
        lost = cluster.cores[-3:]
        for name in lost:
            cluster.power_off(name)
        await asyncio.sleep(6)
        shown = cluster.nodes["edge-0"].status()["quorum"]
        assert shown["losses_left"] == -1 and "until 1 more voters" in shown["means"]
        assert shown["missing"] == sorted(f"{name}:1" for name in lost)
        assert not any(cluster.leader(group_id) for group_id in range(3))
        cluster.start(lost[0])
        await cluster.until(cluster.formed, 8, "formed")
        assert await harness.write("after")
        assert {"before", "after"} <= await harness.written()

    groups.play(21, scenario)


def test_a_drain_order_sent_again_after_the_machine_is_gone_and_forgotten_is_done():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        victim = cluster.storages[0]
        asked = next(name for name in cluster.cores if name != cluster.leader(0))
        node = cluster.nodes[asked]
        assert await harness.ask_node(asked, node.drain_orders.order(victim, WITHIN)) is None
        await until_drained(harness, asked, victim)
        cluster.storages.remove(victim)
        cluster.power_off(victim)
        await asyncio.sleep(5)
        for node in cluster.nodes.values():
            node.failure_detector.peers.pop(f"{victim}:1", None)
        for name in cluster.cores:
            orders = cluster.nodes[name].drain_orders
            assert orders.find(victim) is None
            assert await harness.ask_node(name, orders.order(victim, WITHIN)) is None
            assert await harness.ask_node(name, orders.state(victim, WITHIN)) is drain_order.DrainState.DRAINED

    groups.play(11, scenario)


async def until_drained(harness: groups.ClusterHarness, asked: str, victim: str) -> None:
    orders, end = harness.cluster.nodes[asked].drain_orders, harness.cluster.loop.time() + 10
    while await harness.ask_node(asked, orders.state(victim, WITHIN)) is not drain_order.DrainState.DRAINED:
        assert harness.cluster.loop.time() < end
        await asyncio.sleep(0.1)


def test_of_two_drain_orders_at_once_that_leave_too_few_together_one_is_taken_wherever_they_are_sent():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        first, second = cluster.storages[:2]
        left, right = [name for name in cluster.cores if name != cluster.leader(0)][:2]
        answers = await asyncio.gather(
            harness.ask_node(left, cluster.nodes[left].drain_orders.order(first, WITHIN)),
            harness.ask_node(right, cluster.nodes[right].drain_orders.order(second, WITHIN)),
        )
        refused = [answer for answer in answers if answer is not None]
        assert len(refused) == 1 and refused[0].result is result.ResultCode.TOO_FEW_LEFT, answers
        for name in cluster.cores:
            taken, other = (first, second) if answers[0] is None else (second, first)
            orders = cluster.nodes[name].drain_orders
            assert await harness.ask_node(name, orders.order(taken, WITHIN)) is None
            again = await harness.ask_node(name, orders.order(other, WITHIN))
            assert again.result is result.ResultCode.TOO_FEW_LEFT

    for seed in (12, 13, 17):
        groups.play(seed, scenario)


def test_a_node_that_just_started_or_lags_refuses_no_drain_order():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        victim, away = cluster.storages[:2]
        asked = next(name for name in cluster.cores if name != cluster.leader(0))
        assert await harness.ask_node(asked, cluster.nodes[asked].drain_orders.order(victim, WITHIN)) is None
        cluster.kill(asked)
        cluster.kill(away)
        await asyncio.sleep(0.2)
        cluster.start(asked)
        end, answers = cluster.loop.time() + 12, []
        while cluster.loop.time() < end:
            await asyncio.sleep(0.01)
            if asked in cluster.nodes:
                answers.append(await harness.ask_node(asked, cluster.nodes[asked].drain_orders.order(victim, CALL)))
        assert all(answer is None or answer.result.status >= 500 for answer in answers)
        assert answers[-1] is None

    groups.play(14, scenario)


def test_while_a_disk_is_away_for_a_moment_it_is_not_said_that_too_few_are_left():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        victim, away = cluster.storages[:2]
        orders = cluster.nodes[cluster.cores[0]].drain_orders
        cluster.kill(away)
        await cluster.until(lambda: orders.find(away).state == cluster_member.DOWN, 10, "seen down")
        answer = await harness.ask_node(cluster.cores[0], orders.order(victim, WITHIN))
        assert answer.result is result.ResultCode.UNREACHABLE
        await asyncio.sleep(drain_order.RETURN_EXPECTED_WITHIN.total_seconds())
        answer = await harness.ask_node(cluster.cores[0], orders.order(victim, WITHIN))
        assert answer.result is result.ResultCode.TOO_FEW_LEFT
        cluster.start(away)
        await cluster.until(lambda: orders.find(away).state == cluster_member.LIVE, 10, "back")
        assert await harness.ask_node(cluster.cores[0], orders.order(victim, WITHIN)) is None

    groups.play(15, scenario)


def test_a_node_calls_a_machine_unknown_only_once_it_had_time_to_hear_of_all():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        asked = next(name for name in cluster.cores if name != cluster.leader(0))
        cluster.kill(asked)
        await asyncio.sleep(0.2)
        cluster.start(asked)
        started_at, seen = cluster.loop.time(), []
        await cluster.until(lambda: asked in cluster.nodes, 1, "started")
        orders = cluster.nodes[asked].drain_orders
        while cluster.loop.time() < started_at + 5:
            for work in (orders.order("nobody", CALL), orders.state("nobody", CALL)):
                answer = await harness.ask_node(asked, work)
                unknown = answer.result is result.ResultCode.UNKNOWN_RESOURCE
                assert unknown or answer.result.status >= 500
                assert (
                    not unknown or cluster.loop.time() - started_at >= drain_order.MEMBERS_KNOWN_AFTER.total_seconds()
                )
                seen.append(unknown)
            await asyncio.sleep(0.1)
        assert seen[-1] and not seen[0]

    groups.play(16, scenario)


def test_others_that_lose_their_disks_right_after_a_drain_take_nothing_with_them():
    def scenario_with_losses(losses: int):
        async def scenario(harness: groups.ClusterHarness) -> None:
            cluster = harness.cluster
            victim = cluster.leader(1)
            asked = next(name for name in cluster.cores if name != cluster.leader(0))
            programs = [f"p{number}" for number in range(6)]
            for program in programs:
                assert (await harness.ask("edge-0", "supervisor", f"{program} first", program=program)).ran == "done"
            assert await harness.ask_node(asked, cluster.nodes[asked].drain_orders.order(victim, WITHIN)) is None
            await until_drained(harness, asked, victim)
            lost = [name for name in harness.members(1) if name != victim][:losses]
            cluster.storages.remove(victim)
            for name in (victim, *lost):
                cluster.power_off(name)
                cluster.disks[name].wipe()
            cluster.lost.update(lost)
            await asyncio.sleep(1)
            for name in lost:
                cluster.start(name)
            await cluster.until(harness.whole, 12, "whole")
            for program in programs:
                assert (await harness.ask("edge-1", "supervisor", "second", program=program, after=1)).ran == "done"
            turns = [body for body in cluster.world.seen() if body.get("turn") == 2]
            assert sorted(body["history"][0][0] for body in turns) == [f"{program} first" for program in programs]

        return scenario

    groups.play(31, scenario_with_losses(1), simulated_cluster.Size(2, 4, 5, apart=True))
    groups.play(32, scenario_with_losses(2), simulated_cluster.Size(2, 5, 5, apart=True), {"losses": 2})
