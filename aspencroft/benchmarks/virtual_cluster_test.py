"""The virtual cluster: its clock and its network; that it forms, takes changes, survives losses, repeats exactly."""

import asyncio
import collections.abc
import dataclasses
import json
import pathlib
import typing

import logbook
import pytest

from aspencroft.benchmarks import virtual, virtual_cluster, wire
from aspencroft.configuration import control_state
from aspencroft.membership import cluster_member
from aspencroft.node import node, settings

SMALL = virtual_cluster.Shape(nodes=12, cores=3, storages=3, regions=3, zones=3)
IDLE_S = 2.0
CUT_S = 5.0
CUT_NOTICED_LIMIT_S = 30.0
IDLE_LIMITS = {
    settings.EDGE: {"messages": 50, "bytes": 3_500},
    settings.CORE: {"messages": 85, "bytes": 11_000},
    settings.STORAGE: {"messages": 115, "bytes": 16_000},
}
"""What a node of a role may send a second while idle: about twice what the most talkative one sent when measured."""
LEADER_LOSS_LIMIT_S = 15.0
RESTART_LIMIT_S = 30.0
REJOIN_LIMIT_S = 120.0
CURRENT_AFTER_REJOIN_LIMIT_S = 60.0

Scenario = collections.abc.Callable[[virtual_cluster.VirtualCluster], collections.abc.Awaitable[typing.Any]]


def all_know_the_running_nodes(cluster: virtual_cluster.VirtualCluster) -> bool:
    running = set(cluster.nodes)
    return all(set(own.failure_detector.live()) == running for own in cluster.nodes.values())


def control_serves(cluster: virtual_cluster.VirtualCluster) -> bool:
    replicas = [own.group_replicas[0] for own in cluster.nodes.values() if 0 in own.group_replicas]
    return any(each.has_lease() and each.status_reason == "serving" for each in replicas)


def control_leader(cluster: virtual_cluster.VirtualCluster) -> node.Node | None:
    """The node that is the control group's primary under a lease, if there is one."""
    for own in cluster.nodes.values():
        replica = own.group_replicas.get(0)
        if replica is not None and replica.has_lease() and replica.status_reason == "serving":
            return own
    return None


def all_are_current(cluster: virtual_cluster.VirtualCluster) -> bool:
    """Whether every running node holds the newest configuration under a lease."""
    newest = max(own.relay.revision for own in cluster.nodes.values())
    return all(own.relay.current() and own.relay.revision == newest for own in cluster.nodes.values())


def nodes_without(cluster: virtual_cluster.VirtualCluster, service: str) -> set[str]:
    """The running nodes on which a service is not in force."""
    return {name for name, own in cluster.nodes.items() if service not in own.relay.configuration.services}


def edges_of(cluster: virtual_cluster.VirtualCluster) -> list[str]:
    return [name for name in cluster.nodes if cluster.roles[name] == settings.EDGE]


async def form(cluster: virtual_cluster.VirtualCluster) -> float:
    """Start all nodes with their seeds alone; seconds until each knows all others and the control group serves."""
    for name in cluster.roles:
        cluster.start(name)
    return await cluster.until(lambda: all_know_the_running_nodes(cluster) and control_serves(cluster), 120)


async def add_service(cluster: virtual_cluster.VirtualCluster, service: str, edge: str) -> dict[str, float]:
    """Add a service by way of an edge; seconds until it was in force on all running nodes, and acknowledged."""
    loop = asyncio.get_running_loop()
    began = loop.time()

    async def in_force_everywhere() -> float:
        while nodes_without(cluster, service):
            await asyncio.sleep(0.005)
        return loop.time() - began

    in_force = asyncio.create_task(in_force_everywhere())
    body = json.dumps({"services": {service: {"kind": "plain"}}})
    await cluster.nodes[edge].write_resources(control_state.WriteResources("merge", "", "", body, None))
    acknowledged = loop.time() - began
    assert not nodes_without(cluster, service), "acknowledged before it was in force on all running nodes"
    return {"acknowledged": acknowledged, "in force": await asyncio.wait_for(in_force, 10)}


async def nodes_that_lose_currency(
    cluster: virtual_cluster.VirtualCluster, names: set[str], seconds: float
) -> set[str]:
    """Which of some nodes were without a current configuration at any moment of a period."""
    loop = asyncio.get_running_loop()
    stale, end = set(), loop.time() + seconds
    while loop.time() < end:
        stale |= {name for name in names if not cluster.nodes[name].relay.current()}
        await asyncio.sleep(virtual_cluster.POLL_INTERVAL_S)
    return stale


def run_on_formed_cluster(folder: pathlib.Path, scenario: Scenario) -> typing.Any:
    """Run a scenario on a cluster that formed from its seeds and holds a configuration; no standing task may fail."""

    async def whole() -> typing.Any:
        cluster = virtual_cluster.VirtualCluster(SMALL, folder)
        assert 0 < await form(cluster) < 20
        first = await add_service(cluster, "first", "edge-0:1")
        assert first["acknowledged"] > 0
        assert await cluster.until(lambda: all_are_current(cluster), 120) >= 0
        await asyncio.sleep(5)
        seen = await scenario(cluster)
        assert sum(sum(own.standing.values()) for own in cluster.nodes.values()) == 0
        await cluster.end()
        return seen

    with logbook.NullHandler().applicationbound():
        return on_virtual_loop(whole)


async def lose_and_restart(cluster: virtual_cluster.VirtualCluster, lost: str, silent: bool) -> dict[str, float]:
    """Seconds until all think a killed node down, and until none counts it; then until all know it again."""
    loop = asyncio.get_running_loop()
    cluster.kill(lost, silent)
    killed_at = loop.time()

    def is_down_everywhere() -> bool:
        states = {own.failure_detector.state(lost) for own in cluster.nodes.values()}
        return states == {cluster_member.DOWN}

    down = await cluster.until(is_down_everywhere, 30)
    assert await cluster.until(lambda: all_know_the_running_nodes(cluster), 30) >= 0
    seconds = {"down": down, "lost": loop.time() - killed_at}
    cluster.start(lost)
    return {**seconds, "back": await cluster.until(lambda: all_know_the_running_nodes(cluster), 60)}


def form_and_lose_nodes(folder) -> dict:
    """Seconds until the cluster formed from its seeds, until losses were noticed and made good, and bytes sent."""

    async def scenario() -> dict:
        cluster = virtual_cluster.VirtualCluster(SMALL, folder)
        seconds = {"formed": await form(cluster)}
        for fault, lost, silent in (("process", "edge-0:1", False), ("machine", "edge-1:1", True)):
            seen = await lose_and_restart(cluster, lost, silent)
            seconds.update({f"{fault} {event}": took for event, took in seen.items()})
        sent = {name: dataclasses.astuple(each) for name, each in cluster.wire.traffic.items()}
        faults = sum(sum(own.standing.values()) for own in cluster.nodes.values())
        await cluster.end()
        return {"seconds": seconds, "sent": sent, "faults": faults}

    with logbook.NullHandler().applicationbound():
        return on_virtual_loop(scenario)


def idle_and_change_configuration(folder: pathlib.Path) -> dict:
    """What each node sends a second while idle and whether it used the processor, then seconds of three changes."""

    async def scenario(cluster: virtual_cluster.VirtualCluster) -> dict:
        before = virtual_cluster.Counters.of(cluster)
        await asyncio.sleep(IDLE_S)
        after = virtual_cluster.Counters.of(cluster)
        idle = {
            name: {
                "messages": (after.traffic[name].sent - before.traffic[name].sent) / IDLE_S,
                "bytes": (after.traffic[name].sent_bytes - before.traffic[name].sent_bytes) / IDLE_S,
                "busy": after.processor_seconds[name] > before.processor_seconds[name],
            }
            for name in cluster.nodes
        }
        changes = []
        for number, edge in enumerate(edges_of(cluster)[:3]):
            changes.append(await add_service(cluster, f"service-{number}", edge))
            await asyncio.sleep(1)
        return {"idle": idle, "changes": changes}

    return run_on_formed_cluster(folder, scenario)


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
        assert 1 < seen["seconds"][f"{fault} down"] <= seen["seconds"][f"{fault} lost"] < 8
        assert seen["seconds"][f"{fault} back"] >= 0


def test_virtual_times_and_bytes_repeat_exactly(tmp_path):
    assert form_and_lose_nodes(tmp_path / "first") == form_and_lose_nodes(tmp_path / "again")


def test_idle_nodes_all_send_and_each_sends_little(tmp_path):
    idle = idle_and_change_configuration(tmp_path)["idle"]
    assert len(idle) == SMALL.nodes
    for name, cost in idle.items():
        limit = IDLE_LIMITS[name.partition("-")[0]]
        assert cost["busy"], name
        assert 0 < cost["messages"] < limit["messages"], (name, cost)
        assert 0 < cost["bytes"] < limit["bytes"], (name, cost)


def test_configuration_changes_are_in_force_on_all_nodes_once_acknowledged(tmp_path):
    changes = idle_and_change_configuration(tmp_path)["changes"]
    assert len(changes) == 3
    for change in changes:
        assert 0 < change["in force"] <= change["acknowledged"] + 0.05
        assert change["acknowledged"] < 1


def test_idle_traffic_and_times_of_changes_repeat_exactly(tmp_path):
    first, again = (idle_and_change_configuration(tmp_path / name) for name in ("first", "again"))
    assert first == again


async def lose_control_leader(cluster: virtual_cluster.VirtualCluster) -> None:
    """The control leader's machine is lost: another leads and takes changes; it comes back and catches up."""
    lost = control_leader(cluster).address
    cluster.kill(lost, silent=True)
    until_another_leads = await cluster.until(
        lambda: control_leader(cluster) is not None and control_leader(cluster).relay.root, LEADER_LOSS_LIMIT_S
    )
    assert until_another_leads > 0
    assert control_leader(cluster).address != lost
    change = await add_service(cluster, "after-the-loss", edges_of(cluster)[0])
    assert 0 < change["in force"] <= change["acknowledged"] + 0.05
    assert until_another_leads + change["acknowledged"] < LEADER_LOSS_LIMIT_S
    cluster.start(lost)
    assert await cluster.until(lambda: all_know_the_running_nodes(cluster), RESTART_LIMIT_S) >= 0
    assert await cluster.until(lambda: all_are_current(cluster), RESTART_LIMIT_S) >= 0
    assert not nodes_without(cluster, "after-the-loss")


async def cut_off_and_rejoin_a_region(cluster: virtual_cluster.VirtualCluster) -> None:
    """A region without the control leader is cut off, which harms no other, and heals when it is joined again."""
    home = wire.region_of(cluster.zones[control_leader(cluster).address])
    regions = sorted({wire.region_of(zone) for zone in cluster.zones.values()})
    away = next(region for region in regions if region != home)
    inside = {name for name in cluster.nodes if wire.region_of(cluster.zones[name]) == away}
    outside = set(cluster.nodes) - inside
    for region in regions:
        if region != away:
            cluster.wire.cut(region, away)
    assert not await nodes_that_lose_currency(cluster, outside, CUT_S)

    def down_by_those_outside() -> list[set[str]]:
        detectors = [cluster.nodes[name].failure_detector for name in outside]
        return [{name for name in cluster.nodes if each.state(name) == cluster_member.DOWN} for each in detectors]

    assert all(down <= inside for down in down_by_those_outside())
    until_all_noticed = await cluster.until(
        lambda: all(down == inside for down in down_by_those_outside()), CUT_NOTICED_LIMIT_S
    )
    assert until_all_noticed >= 0
    body = json.dumps({"services": {"during-the-cut": {"kind": "plain"}}})
    edge = next(name for name in edges_of(cluster) if name in outside)
    await cluster.nodes[edge].write_resources(control_state.WriteResources("merge", "", "", body, None))
    assert nodes_without(cluster, "during-the-cut") == inside
    assert not any(cluster.nodes[name].relay.current() for name in inside)
    cluster.wire.heal()
    assert await cluster.until(lambda: all_know_the_running_nodes(cluster), REJOIN_LIMIT_S) >= 0
    assert await cluster.until(lambda: all_are_current(cluster), CURRENT_AFTER_REJOIN_LIMIT_S) >= 0
    assert not nodes_without(cluster, "during-the-cut")


async def restart_as_planned(cluster: virtual_cluster.VirtualCluster) -> None:
    """An edge leaves, stops, and starts again a second later: soon all know it and it is current."""
    restarted = edges_of(cluster)[0]
    virtual.context_of(restarted).run(cluster.nodes[restarted].failure_detector.leave)
    await asyncio.sleep(1)
    for name, own in cluster.nodes.items():
        assert own.failure_detector.state(restarted) == cluster_member.LEAVING, name
    cluster.kill(restarted, silent=False)
    await asyncio.sleep(1)
    cluster.start(restarted)
    until_back = await cluster.until(
        lambda: cluster.nodes[restarted].relay.current() and all_know_the_running_nodes(cluster), RESTART_LIMIT_S
    )
    assert until_back > 0
    assert not nodes_without(cluster, "first")


def test_another_leads_and_takes_changes_when_the_control_leaders_machine_is_lost(tmp_path):
    run_on_formed_cluster(tmp_path, lose_control_leader)


def test_a_region_that_is_cut_off_harms_no_other_and_heals_when_it_is_joined_again(tmp_path):
    run_on_formed_cluster(tmp_path, cut_off_and_rejoin_a_region)


def test_a_node_that_leaves_and_starts_again_is_known_and_current_soon(tmp_path):
    run_on_formed_cluster(tmp_path, restart_as_planned)


def test_one_cluster_survives_lost_nodes_a_restart_a_lost_leader_and_a_cut_in_turn(tmp_path):
    async def scenario(cluster: virtual_cluster.VirtualCluster) -> None:
        for lost, silent in (("edge-2:1", False), ("edge-3:1", True)):
            seconds = await lose_and_restart(cluster, lost, silent)
            assert 1 < seconds["down"] <= seconds["lost"] < 8
            assert seconds["back"] >= 0
        await restart_as_planned(cluster)
        await lose_control_leader(cluster)
        await cut_off_and_rejoin_a_region(cluster)

    run_on_formed_cluster(tmp_path, scenario)
