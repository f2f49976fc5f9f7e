"""Tests of the first start and of witnesses that lose their disks or are replaced, in simulated clusters."""

import asyncio

from aspencroft.consensus import replica_set, witness_bootstrap
from aspencroft.emulator import shape
from aspencroft.simulation import groups, simulated_cluster, wire
from aspencroft.transport import codec


def test_a_fleet_is_founded_though_a_seed_and_a_disk_are_missing():
    for missing in ("core-1", "storage-2"):

        async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
            cluster.power_off(missing)
            assert await cluster.until(cluster.formed, 8, "formed") < 4

        simulated_cluster.play(1, scenario, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core"})


def test_founding_does_not_wait_for_a_disk_that_was_heard_of_and_fell_silent():
    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(lambda: len(cluster.nodes["core-0"].replica_candidates("talk")) == 3, 3, "disks known")
        cluster.power_off("storage-2")
        assert await cluster.until(cluster.formed, 8, "formed") < 3.5

    simulated_cluster.play(7, scenario, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core"})


def test_a_fleet_is_not_founded_on_too_few_disks():
    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        for name in ("storage-1", "storage-2"):
            cluster.power_off(name)
        await asyncio.sleep(8)
        assert not any(node.failure_detector.records for node in cluster.nodes.values())
        cluster.start("storage-1")
        await cluster.until(cluster.formed, 8, "formed")

    simulated_cluster.play(2, scenario, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core"})


def test_lost_disks_are_never_taken_for_a_new_fleet():
    for settings in ({"witnesses": "core"}, {}):

        async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
            await asyncio.sleep(15)
            assert not any(node.failure_detector.records or node.witness.voting for node in cluster.nodes.values())

        simulated_cluster.play(
            3, scenario, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"first_start": False, **settings}
        )


def test_all_cores_become_witnesses_a_replaced_one_is_replaced_and_a_restarted_one_is_kept():
    async def scenario(group: groups.ClusterHarness) -> None:
        cluster = group.cluster

        def voter_set() -> set[str]:
            newest = max(
                (node.proposer.voter_set for name, node in cluster.nodes.items() if cluster.alive(name)),
                key=lambda known: known.number,
            )
            return set() if newest.coming else {address.split(":")[0] for address in newest.present}

        await cluster.until(lambda: voter_set() == set(cluster.cores), 8, "all cores are voters")
        cluster.kill("core-3")
        await asyncio.sleep(2)
        cluster.start("core-3")
        await asyncio.sleep(6)
        assert voter_set() == set(cluster.cores)
        cluster.power_off("core-1")
        cluster.disks["core-1"].wipe()
        await asyncio.sleep(8)
        assert voter_set() == set(cluster.cores)
        cluster.cores[1] = "core-5"
        cluster.lost.add("core-5")
        cluster.start("core-5")
        await cluster.until(lambda: voter_set() == set(cluster.cores), 8, "the new core is a voter")
        assert await group.write("extra")

    for seed in (4, 5):
        groups.play(seed, scenario)


def test_a_witness_that_lost_its_disk_votes_again_once_taught():
    async def scenario(group: groups.ClusterHarness) -> None:
        cluster = group.cluster
        await cluster.until(lambda: len(cluster.nodes["core-0"].proposer.voter_set.present) == 5, 8, "five witnesses")
        for core in ("core-0", "core-4"):
            cluster.power_off(core)
            cluster.disks[core].wipe()
            cluster.lost.add(core)
            await asyncio.sleep(1)
            cluster.start(core)
            await cluster.until(lambda: core in cluster.nodes and cluster.nodes[core].witness.voting, 6, "voting again")
            assert await group.write(f"after-{core}")

    groups.play(6, scenario)


NO_CLUSTER = replica_set.RememberedCluster(replica_set.VoterSet(0, (), ()), ())


def test_first_replica_sets_are_spread_over_areas():
    reports = {
        f"s:{number}": replica_set.ReplicaReports(
            "abc"[number % 3],
            tuple(replica_set.ReplicaReport(group_id, f"{number}-{group_id}", None, 0) for group_id in range(5)),
            NO_CLUSTER,
        )
        for number in range(4)
    }
    for ballot in witness_bootstrap.first_ballots(reports, 5, 2):
        record = codec.untagged(ballot.value)
        assert reports[record.primary.address].area != reports[record.backups[0].address].area


def test_a_lost_disk_is_not_taken_for_the_member_it_held():
    record = replica_set.ReplicaSet(0, 4, replica_set.ReplicaId("s:0", "old"), (replica_set.ReplicaId("s:1", "kept"),))
    reports = {
        "s:0": replica_set.ReplicaReports("a", (replica_set.ReplicaReport(0, "new", None, 0),), NO_CLUSTER),
        "s:1": replica_set.ReplicaReports("b", (replica_set.ReplicaReport(0, "kept", record, 9),), NO_CLUSTER),
    }
    assert witness_bootstrap.present_members(record, reports) == list(record.backups)
    assert witness_bootstrap.newest_records(reports, ()) == {0: record}


def roles_by_machine(machines_in_area: dict[str, int], group_count: int, replica_count: int) -> dict[str, list[str]]:
    """Return the roles, "primary" or "backup", that bootstrap assigns to each machine in session groups only."""
    addresses = [f"{area}:{number}" for area, count in machines_in_area.items() for number in range(count)]
    reports = {
        address: replica_set.ReplicaReports(
            address.split(":")[0],
            tuple(
                replica_set.ReplicaReport(group, f"{address}-{group}", None, 0) for group in range(1, group_count + 1)
            ),
            NO_CLUSTER,
        )
        for address in addresses
    }
    reports["core:0"] = replica_set.ReplicaReports("a", (replica_set.ReplicaReport(0, "core", None, 0),), NO_CLUSTER)
    roles_of: dict[str, list[str]] = {address: [] for address in addresses}
    for ballot in witness_bootstrap.first_ballots(reports, group_count + 1, replica_count):
        record = codec.untagged(ballot.value)
        if ballot.register:
            roles_of[record.primary.address].append("primary")
            for backup in record.backups:
                roles_of[backup.address].append("backup")
    return roles_of


def test_the_first_replica_sets_are_spread_evenly_over_the_disks_of_each_area():
    for machines, group_count, replica_count in (
        ({"a": 4, "b": 3, "c": 3}, 4, 3),
        ({"a": 3, "b": 3, "c": 3, "d": 3}, 4, 3),
        ({"a": 2, "b": 2, "c": 2}, 7, 2),
        ({"a": 5}, 6, 3),
        ({"a": 10, "b": 10, "c": 10}, 16, 3),
    ):
        roles_of = roles_by_machine(machines, group_count, replica_count)
        for area in machines:
            counts = [len(roles) for address, roles in roles_of.items() if address.startswith(area)]
            assert max(counts) - min(counts) <= 1, (machines, group_count, replica_count, roles_of)
        primaries = [roles.count("primary") for roles in roles_of.values()]
        assert max(primaries) - min(primaries) <= 1, (machines, group_count, replica_count, roles_of)
