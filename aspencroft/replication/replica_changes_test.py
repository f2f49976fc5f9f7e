"""Tests of choosing new members, of ballots with an unknown outcome, and of moving off drained machines."""

import contextlib

from aspencroft.consensus import replica_placement, witness
from aspencroft.replication import group_state
from aspencroft.runtime import clock
from aspencroft.simulation import members


def test_other_areas_come_first_and_nodes_that_failed_last(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        assert next(member.address for member in primary.replica_changes.rank_candidates()) == "n2:1"
        assert {member.address for member in primary.replica_changes.rank_candidates()} == {"n2:1", "n3:1", "n4:1"}
        primary.suspected_peers.suspect("n2:1")
        assert [member.address for member in primary.replica_changes.rank_candidates()][-1] == "n2:1"
        cluster.drained.add("n3:1")
        assert [member.address for member in primary.replica_changes.rank_candidates()] == ["n4:1", "n2:1"]

    members.play(tmp_path, 5, scenario)


def test_a_tenure_ends_when_it_is_not_known_whether_a_node_became_a_member(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        cluster.register.unknown = True
        try:
            await primary.replica_changes.record_backup(cluster.group_replicas["n2:1"].me())
            raise AssertionError("the term went on")
        except group_state.DeposedError:
            pass

    members.play(tmp_path, 3, scenario)


def test_whoever_became_a_member_without_word_of_it_holds_all_that_is_answered(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        for number in range(5):
            await cluster.write(f"a{number}")
        record_backup, primary = (
            cluster.group_replicas["n0:1"].replica_changes.record_backup,
            cluster.group_replicas["n0:1"],
        )

        async def lose_outcome(peer):
            primary.replica_changes.record_backup = record_backup
            cluster.register.unknown = True
            return await record_backup(peer)

        primary.replica_changes.record_backup = lose_outcome
        cluster.goal = 3
        await cluster.until(lambda: len(cluster.register.standing().backups) == 2)
        await cluster.until(
            lambda: primary.status_reason == "serving" and primary.has_lease() and len(primary.known.backups) == 2
        )
        await cluster.write("last")
        assert cluster.same(*cluster.names)

    members.play(tmp_path, 3, scenario)


def test_a_prepared_node_gets_what_was_answered_since_before_it_is_recorded(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        cluster.run(*cluster.names)
        await cluster.until(lambda: primary.status_reason == "serving")
        await cluster.write("a")
        peer = await primary.replica_changes.prepare_candidate(replica_placement.Candidate("n2:1", "south"))
        await cluster.write("b")
        seen = []
        cluster.register.watch = lambda standing: (
            seen.append(cluster.same("n0:1", "n2:1")) if peer in standing.backups else None
        )
        primary.replica_changes.ready = peer
        await cluster.until(lambda: bool(seen))
        assert seen[0]

    members.play(tmp_path, 3, scenario)


def test_a_prepared_node_that_fell_silent_is_not_recorded(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        cluster.run(*cluster.names)
        await cluster.until(lambda: primary.status_reason == "serving")
        await cluster.write("a")
        peer = await primary.replica_changes.prepare_candidate(replica_placement.Candidate("n2:1", "south"))
        await cluster.write("b")
        cluster.silent.add("n2:1")
        primary.replica_changes.ready = peer
        await cluster.until(lambda: primary.replica_changes.ready is None)
        await members.clock.sleep(members.clock.seconds(2))
        assert peer not in cluster.register.standing().backups
        await cluster.write("c")

    members.play(tmp_path, 3, scenario)


def test_an_emptied_member_goes_only_once_enough_others_hold_the_copy(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        cluster.silent.add("n2:1")
        cluster.drained.add("n1:1")
        await members.clock.sleep(members.clock.seconds(4))
        assert [member.address for member in cluster.register.standing().backups] == ["n1:1"]
        cluster.silent.clear()
        await cluster.until(lambda: [member.address for member in cluster.register.standing().backups] == ["n2:1"])
        await cluster.write("a")
        assert cluster.same("n0:1", "n2:1")

    members.play(tmp_path, 3, scenario)


def test_an_emptied_primary_hands_over_to_a_backup_that_stays(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("a")
        cluster.drained.update(("n0:1", "n1:1"))
        await cluster.until(
            lambda: {member.address for member in cluster.register.standing().members()} == {"n2:1", "n3:1"}
        )
        leader = cluster.register.standing().primary.address
        await cluster.until(lambda: cluster.group_replicas[leader].status_reason == "serving")
        assert "a" in cluster.group_replicas[leader].replica.state_machine.document["services"]

    members.play(tmp_path, 4, scenario)


def test_a_primary_that_hands_over_serves_nothing_though_a_lease_is_granted_meanwhile(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        cluster.run(*cluster.names)
        await cluster.until(
            lambda: primary.status_reason == "serving" and primary.known.backups and primary.has_lease()
        )
        ballot, had_lease = primary.ballot, []

        async def ballot_with_renewed_lease(change):
            primary.lease.extend(clock.now() + witness.LEASE)
            had_lease.append(primary.has_lease())
            return await ballot(change)

        primary.ballot = ballot_with_renewed_lease
        with contextlib.suppress(group_state.DeposedError):
            await primary.replica_changes.transfer_leadership(primary.known.backups[0])
        assert had_lease == [False]
        assert cluster.register.standing().primary != primary.me()

    members.play(tmp_path, 3, scenario)
