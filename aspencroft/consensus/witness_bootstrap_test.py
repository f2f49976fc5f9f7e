"""Tests of the first start, and of witnesses that lost their disks or were replaced, in simulated fleets."""

import asyncio

from aspencroft.consensus import replica_set, witness_bootstrap
from aspencroft.emulator import shape
from aspencroft.simulation import groups, simulated_cluster, wire
from aspencroft.transport import codec


def test_a_fleet_is_founded_though_a_seed_and_a_disk_are_missing():
    for missing in ("core-1", "storage-2"):

        async def story(one: simulated_cluster.SimulatedCluster) -> None:
            one.power_off(missing)
            assert await one.until(one.formed, 8, "formed") < 4

        simulated_cluster.play(1, story, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core"})


def test_founding_does_not_wait_for_a_disk_that_was_heard_of_and_fell_silent():
    async def story(one: simulated_cluster.SimulatedCluster) -> None:
        await one.until(lambda: len(one.nodes["core-0"].replica_candidates("talk")) == 3, 3, "heard of")
        one.power_off("storage-2")
        assert await one.until(one.formed, 8, "formed") < 3.5

    simulated_cluster.play(7, story, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core"})


def test_a_fleet_is_not_founded_on_too_few_disks():
    async def story(one: simulated_cluster.SimulatedCluster) -> None:
        for name in ("storage-1", "storage-2"):
            one.power_off(name)
        await asyncio.sleep(8)
        assert not any(own.failure_detector.records for own in one.nodes.values())
        one.start("storage-1")
        await one.until(one.formed, 8, "formed")

    simulated_cluster.play(2, story, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"witnesses": "core"})


def test_lost_disks_are_never_taken_for_a_new_fleet():
    for more in ({"witnesses": "core"}, {}):

        async def story(one: simulated_cluster.SimulatedCluster) -> None:
            await asyncio.sleep(15)
            assert not any(own.failure_detector.records or own.witness.voting for own in one.nodes.values())

        simulated_cluster.play(
            3, story, groups.SIZE, shape.TILLS, wire.Weather(jitter=0.002), {"first_start": False, **more}
        )


def test_all_cores_become_witnesses_a_replaced_one_is_replaced_and_a_restarted_one_is_kept():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene

        def voter_set() -> set[str]:
            found = max(
                (own.proposer.voter_set for name, own in one.nodes.items() if one.alive(name)),
                key=lambda each: each.number,
            )
            return set() if found.coming else {address.split(":")[0] for address in found.present}

        await one.until(lambda: voter_set() == set(one.cores), 8, "witnessed by all cores")
        one.kill("core-3")
        await asyncio.sleep(2)
        one.start("core-3")
        await asyncio.sleep(6)
        assert voter_set() == set(one.cores)
        one.power_off("core-1")
        one.disks["core-1"].wipe()
        await asyncio.sleep(8)
        assert voter_set() == set(one.cores)
        one.cores[1] = "core-5"
        one.lost.add("core-5")
        one.start("core-5")
        await one.until(lambda: voter_set() == set(one.cores), 8, "witnessed by the new one")
        assert await stage.write("extra")

    for seed in (4, 5):
        groups.play(seed, acts)


def test_a_witness_that_lost_its_disk_votes_again_once_taught():
    async def acts(stage: groups.Stage) -> None:
        one = stage.scene
        await one.until(lambda: len(one.nodes["core-0"].proposer.voter_set.present) == 5, 8, "five witnesses")
        for victim in ("core-0", "core-4"):
            one.power_off(victim)
            one.disks[victim].wipe()
            one.lost.add(victim)
            await asyncio.sleep(1)
            one.start(victim)
            await one.until(lambda: victim in one.nodes and one.nodes[victim].witness.voting, 6, "voting again")
            assert await stage.write(f"after-{victim}")

    groups.play(6, acts)


NOTHING = replica_set.RememberedCluster(replica_set.VoterSet(0, (), ()), ())


def test_first_holders_are_spread_over_areas():
    reports = {
        f"s:{number}": replica_set.ReplicaReports(
            "abc"[number % 3],
            tuple(replica_set.ReplicaReport(group_id, f"{number}-{group_id}", None, 0) for group_id in range(5)),
            NOTHING,
        )
        for number in range(4)
    }
    for one in witness_bootstrap.first_ballots(reports, 5, 2):
        standing = codec.untagged(one.value)
        assert reports[standing.primary.address].area != reports[standing.backups[0].address].area


def test_a_lost_disk_is_not_taken_for_the_member_it_held():
    standing = replica_set.ReplicaSet(
        0, 4, replica_set.ReplicaId("s:0", "old"), (replica_set.ReplicaId("s:1", "kept"),)
    )
    reports = {
        "s:0": replica_set.ReplicaReports("a", (replica_set.ReplicaReport(0, "new", None, 0),), NOTHING),
        "s:1": replica_set.ReplicaReports("b", (replica_set.ReplicaReport(0, "kept", standing, 9),), NOTHING),
    }
    assert witness_bootstrap.present_members(standing, reports) == list(standing.backups)
    assert witness_bootstrap.newest_records(reports, ()) == {0: standing}


def copies_by_machine(machines_in_area: dict[str, int], groups: int, copies: int) -> dict[str, list[str]]:
    """The members that founding names on each machine, "primary" or "backup", of talk groups alone."""
    addresses = [f"{area}:{number}" for area, count in machines_in_area.items() for number in range(count)]
    reports = {
        address: replica_set.ReplicaReports(
            address.split(":")[0],
            tuple(replica_set.ReplicaReport(group, f"{address}-{group}", None, 0) for group in range(1, groups + 1)),
            NOTHING,
        )
        for address in addresses
    }
    reports["core:0"] = replica_set.ReplicaReports("a", (replica_set.ReplicaReport(0, "core", None, 0),), NOTHING)
    held: dict[str, list[str]] = {address: [] for address in addresses}
    for one in witness_bootstrap.first_ballots(reports, groups + 1, copies):
        standing = codec.untagged(one.value)
        if one.register:
            held[standing.primary.address].append("primary")
            for backup in standing.backups:
                held[backup.address].append("backup")
    return held


def test_the_first_replica_sets_are_spread_evenly_over_the_disks_of_each_area():
    for machines, group_count, copies in (
        ({"a": 4, "b": 3, "c": 3}, 4, 3),
        ({"a": 3, "b": 3, "c": 3, "d": 3}, 4, 3),
        ({"a": 2, "b": 2, "c": 2}, 7, 2),
        ({"a": 5}, 6, 3),
        ({"a": 10, "b": 10, "c": 10}, 16, 3),
    ):
        held = copies_by_machine(machines, group_count, copies)
        for area in machines:
            counts = [len(parts) for address, parts in held.items() if address.startswith(area)]
            assert max(counts) - min(counts) <= 1, (machines, group_count, copies, held)
        led = [parts.count("primary") for parts in held.values()]
        assert max(led) - min(led) <= 1, (machines, group_count, copies, held)
