"""Tests of groups in simulated clusters: network partitions, lost disks, replaced machines, two losses at once."""

import asyncio

from aspencroft.consensus import replica_set
from aspencroft.simulation import groups, simulated_cluster

THREE = simulated_cluster.Size(2, 3, 5, apart=True)
FIVE = simulated_cluster.Size(2, 5, 5, apart=True)


def partition_primary(fleet: groups.ClusterHarness, one_way: bool, back: bool) -> list[str]:
    """Partition the control group's primary and another core from all others; return the cores of the majority."""
    cluster = fleet.cluster
    minority = [cluster.leader(0), next(name for name in fleet.members(0) if name != cluster.leader(0))]
    others = [name for name in cluster.names() if name not in minority]
    cluster.wire.cut(*((others, minority) if back else (minority, others)), one_way)
    return [name for name in cluster.cores if name not in minority]


def test_the_majority_side_of_a_core_cut_serves_and_keeps_what_was_acknowledged():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        assert await fleet.write("before")
        for one_way, back, max_seconds in ((False, False, 4.0), (True, False, 4.0), (True, True, 5.0)):
            await cluster.until(fleet.whole, 12, "whole")
            majority = partition_primary(fleet, one_way, back)
            took = await cluster.until(lambda: cluster.leader(0) in majority, 8, "led by the majority side")
            assert took < max_seconds, (one_way, back, took)
            name = f"in-{one_way}-{back}".lower()
            assert await fleet.write(name)
            cluster.wire.heal()
            await cluster.until(cluster.ready, 12, "ready")
            assert {"before", name} <= await fleet.written()

    for seed in (1, 2, 3):
        groups.play(seed, scenario)


def test_two_cuts_at_once_leave_a_majority_that_serves():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        assert await fleet.write("before")
        isolated = [cluster.leader(0), next(name for name in cluster.cores if name not in fleet.members(0))]
        for name in isolated:
            cluster.wire.cut([name], [other for other in cluster.names() if other != name])
        majority = [name for name in cluster.cores if name not in isolated]
        await cluster.until(lambda: cluster.leader(0) in majority, 4.5, "led by the majority side")
        assert await fleet.write("between")
        cluster.wire.heal()
        await cluster.until(cluster.ready, 12, "ready")
        assert {"before", "between"} <= await fleet.written()

    for seed in (4, 5):
        groups.play(seed, scenario)


def test_a_members_lost_disk_and_power_lost_by_all_others_lose_nothing():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        for number, group_id in enumerate((0, 1, 2, 0)):
            await cluster.until(fleet.whole, 15, "whole")
            assert (await fleet.ask("edge-0", "supervisor", f"p{number} first", program=f"p{number}")).ran == "done"
            assert await fleet.write(f"extra-{number}")
            lost = fleet.members(group_id)[number % 2]
            for name in cluster.names():
                cluster.power_off(name)
            cluster.disks[lost].wipe()
            cluster.lost.add(lost)
            await asyncio.sleep(1)
            for name in cluster.names():
                cluster.start(name)
            assert await cluster.until(cluster.formed, 20, "formed") < 6
            await cluster.until(cluster.ready, 12, "ready")
            assert {f"extra-{each}" for each in range(number + 1)} <= await fleet.written()
        for number in range(4):
            reply = await fleet.ask("edge-1", "supervisor", "second", program=f"p{number}", after=1)
            assert reply.ran == "done", reply
        turns = [body for body in cluster.world.seen() if body.get("turn") == 2]
        assert sorted(body["history"][0][0] for body in turns) == [f"p{number} first" for number in range(4)]

    for seed in (6, 7):
        groups.play(seed, scenario)


def test_an_empty_machine_at_a_new_address_takes_the_place_of_a_lost_one():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        for number, lost in enumerate(list(cluster.storages)):
            assert await fleet.write(f"extra-{number}")
            assert (await fleet.ask("edge-0", "supervisor", f"p{number} first", program=f"p{number}")).ran == "done"
            cluster.power_off(lost)
            cluster.disks[lost].wipe()
            fresh = f"storage-{3 + number}"
            cluster.storages[cluster.storages.index(lost)] = fresh
            cluster.lost.add(fresh)
            await cluster.until(cluster.formed, 4, "served with two members")
            cluster.start(fresh)
            await cluster.until(
                lambda: (
                    fleet.whole()
                    and all(
                        fresh in fleet.members(group_id) and lost not in fleet.members(group_id) for group_id in (1, 2)
                    )
                ),
                8,
                "whole with the new one",
            )
        for number in range(3):
            assert (await fleet.ask("edge-1", "supervisor", "second", program=f"p{number}", after=1)).ran == "done"

    groups.play(8, scenario, THREE, {"losses": 2})


def test_with_two_losses_to_be_borne_two_disks_may_go_at_once_with_the_power_of_all():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        for number, group_id in enumerate((0, 1, 2)):
            await cluster.until(fleet.whole, 15, "whole")
            assert len(fleet.members(group_id)) == 3
            assert (await fleet.ask("edge-0", "supervisor", f"p{number} first", program=f"p{number}")).ran == "done"
            assert await fleet.write(f"extra-{number}")
            lost = cluster.chance.sample(fleet.members(group_id), 2)
            for name in cluster.names():
                cluster.power_off(name)
            for name in lost:
                cluster.disks[name].wipe()
                cluster.lost.add(name)
            await asyncio.sleep(1)
            for name in cluster.names():
                cluster.start(name)
            assert await cluster.until(cluster.formed, 20, "formed") < 6
            await cluster.until(cluster.ready, 12, "ready")
            assert f"extra-{number}" in await fleet.written()
            assert (await fleet.ask("edge-1", "supervisor", "second", program=f"p{number}", after=1)).ran == "done"

    for seed in (9, 10):
        groups.play(seed, scenario, FIVE, {"losses": 2})


def test_a_group_serves_with_two_of_three_members_but_never_with_one():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        first, second, third = fleet.members(1)
        cluster.power_off(second)
        await cluster.until(
            lambda: fleet.members(1) == [first, third] and cluster.leader(1) == first, 4, "served by two"
        )
        assert fleet.record(1).epoch > 1
        cluster.power_off(third)
        await cluster.until(lambda: fleet.members(1) == [first], 4, "one is left")
        group_replica = cluster.nodes[first].group_replicas[1]
        await asyncio.sleep(5)
        assert group_replica.has_lease() and group_replica.status_reason == "no backup"
        cluster.start(second)
        await cluster.until(lambda: cluster.leader(1) == first, 4, "served again")
        assert len(fleet.members(1)) == 2
        cluster.start(third)
        await cluster.until(fleet.whole, 6, "whole")

    groups.play(11, scenario, THREE, {"losses": 2})


def test_any_caught_up_backup_takes_over_with_the_others_as_its_backups():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        for number in range(3):
            await cluster.until(fleet.whole, 12, "whole")
            assert await fleet.write(f"extra-{number}")
            members_before = fleet.members(0)
            failed_primary = members_before[0]
            if number == 1:
                cluster.loop.freeze(failed_primary)
            else:
                cluster.power_off(failed_primary)
            took = await cluster.until(lambda: cluster.leader(0) in members_before[1:], 6, "led by a backup")
            assert took < 3, took
            assert f"extra-{number}" in await fleet.written()
            if number == 1:
                cluster.loop.thaw(failed_primary)
                assert not cluster.nodes[failed_primary].group_replicas[0].has_lease()
            else:
                cluster.start(failed_primary)

    for seed in (12, 13):
        groups.play(seed, scenario)


def test_a_backup_that_fell_silent_is_recorded_out_within_its_time_and_taken_in_again_at_once():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        for group_id in (0, 1):
            silent = fleet.members(group_id)[-1]
            cluster.power_off(silent)
            took = await cluster.until(lambda: silent not in fleet.members(group_id), 4, "recorded out")
            assert took < 1.7, took
            cluster.start(silent)
            await cluster.until(fleet.whole, 3, "whole")

    groups.play(14, scenario, THREE, {"losses": 2})


def test_a_new_member_leads_though_the_primary_lost_its_disk_before_it_told_of_the_record():
    async def scenario(fleet: groups.ClusterHarness) -> None:
        cluster = fleet.cluster
        assert (await fleet.ask("edge-0", "supervisor", "p first", program="p")).ran == "done"
        for group_id in (1, 2):
            primary, backup = fleet.members(group_id)
            third = next(name for name in cluster.storages if name not in (primary, backup))
            link = cluster.nodes[primary].group_replicas[group_id].link
            request = link.request

            async def wipe_before_notice(
                address, message, *rest, request=request, group_id=group_id, primary=primary, third=third
            ):
                notified = message.record if isinstance(message, replica_set.ReplicaSetNotice) else None
                if notified is not None and notified.group_id == group_id and third in str(notified.backups):
                    cluster.power_off(primary)
                    cluster.disks[primary].wipe()
                    cluster.lost.add(primary)
                return await request(address, message, *rest)

            link.request = wipe_before_notice
            cluster.power_off(backup)
            await cluster.until(lambda primary=primary: not cluster.alive(primary), 6, "lost before the notice")
            await asyncio.sleep(0.5)
            cluster.start(primary)
            await cluster.until(
                lambda group_id=group_id, third=third: cluster.leader(group_id) == third, 6, "led by the new member"
            )
            cluster.start(backup)
            await cluster.until(fleet.whole, 10, "whole")
        assert (await fleet.ask("edge-1", "supervisor", "second", program="p", after=1)).ran == "done"

    groups.play(15, scenario)
