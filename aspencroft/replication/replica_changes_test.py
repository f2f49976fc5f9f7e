"""Tests of finding members, of ballots without word of their outcome, and of leaving machines."""

import contextlib

from aspencroft.consensus import replica_placement, witness
from aspencroft.replication import group_state
from aspencroft.runtime import clock
from aspencroft.simulation import members


def test_other_areas_come_first_and_nodes_that_failed_last(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.group_replicas["n0:1"]
        assert next(one.address for one in own.replica_changes.order()) == "n2:1"
        assert {one.address for one in own.replica_changes.order()} == {"n2:1", "n3:1", "n4:1"}
        own.doubt("n2:1")
        assert [one.address for one in own.replica_changes.order()][-1] == "n2:1"
        those.drained.add("n3:1")
        assert [one.address for one in own.replica_changes.order()] == ["n4:1", "n2:1"]

    members.play(tmp_path, 5, acts)


def test_a_tenure_ends_when_it_is_not_known_whether_a_node_became_a_member(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.group_replicas["n0:1"]
        those.register.unknown = True
        try:
            await own.replica_changes.enlist(those.group_replicas["n2:1"].me())
            raise AssertionError("went on")
        except group_state.Deposed:
            pass

    members.play(tmp_path, 3, acts)


def test_whoever_became_a_member_without_word_of_it_holds_all_that_is_answered(tmp_path):
    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        for number in range(5):
            await those.write(f"a{number}")
        enlist, own = those.group_replicas["n0:1"].replica_changes.enlist, those.group_replicas["n0:1"]

        async def without_word(peer):
            own.replica_changes.enlist = enlist
            those.register.unknown = True
            return await enlist(peer)

        own.replica_changes.enlist = without_word
        those.goal = 3
        await those.until(lambda: len(those.register.standing().backups) == 2)
        await those.until(lambda: own.status_reason == "serving" and own.has_lease() and len(own.known.backups) == 2)
        await those.write("last")
        assert those.same(*those.names)

    members.play(tmp_path, 3, acts)


def test_a_prepared_node_gets_what_was_answered_since_before_it_is_recorded(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.group_replicas["n0:1"]
        those.run(*those.names)
        await those.until(lambda: own.status_reason == "serving")
        await those.write("a")
        peer = await own.replica_changes.prepare(replica_placement.Candidate("n2:1", "south"))
        await those.write("b")
        seen = []
        those.register.watch = lambda standing: (
            seen.append(those.same("n0:1", "n2:1")) if peer in standing.backups else None
        )
        own.replica_changes.ready = peer
        await those.until(lambda: bool(seen))
        assert seen[0]

    members.play(tmp_path, 3, acts)


def test_a_prepared_node_that_fell_silent_is_not_recorded(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.group_replicas["n0:1"]
        those.run(*those.names)
        await those.until(lambda: own.status_reason == "serving")
        await those.write("a")
        peer = await own.replica_changes.prepare(replica_placement.Candidate("n2:1", "south"))
        await those.write("b")
        those.silent.add("n2:1")
        own.replica_changes.ready = peer
        await those.until(lambda: own.replica_changes.ready is None)
        await members.clock.sleep(members.clock.seconds(2))
        assert peer not in those.register.standing().backups
        await those.write("c")

    members.play(tmp_path, 3, acts)


def test_an_emptied_member_goes_only_once_enough_others_hold_the_copy(tmp_path):
    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        those.silent.add("n2:1")
        those.drained.add("n1:1")
        await members.clock.sleep(members.clock.seconds(4))
        assert [one.address for one in those.register.standing().backups] == ["n1:1"]
        those.silent.clear()
        await those.until(lambda: [one.address for one in those.register.standing().backups] == ["n2:1"])
        await those.write("a")
        assert those.same("n0:1", "n2:1")

    members.play(tmp_path, 3, acts)


def test_an_emptied_primary_hands_over_to_a_backup_that_stays(tmp_path):
    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        await those.write("a")
        those.drained.update(("n0:1", "n1:1"))
        await those.until(lambda: {one.address for one in those.register.standing().members()} == {"n2:1", "n3:1"})
        leader = those.register.standing().primary.address
        await those.until(lambda: those.group_replicas[leader].status_reason == "serving")
        assert "a" in those.group_replicas[leader].replica.state_machine.document["services"]

    members.play(tmp_path, 4, acts)


def test_a_primary_that_hands_over_serves_nothing_though_a_lease_is_granted_meanwhile(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.group_replicas["n0:1"]
        those.run(*those.names)
        await those.until(lambda: own.status_reason == "serving" and own.known.backups and own.has_lease())
        ballot, served = own.ballot, []

        async def while_leases_are_renewed(change):
            own.lease_end = clock.now() + witness.LEASE
            served.append(own.has_lease())
            return await ballot(change)

        own.ballot = while_leases_are_renewed
        with contextlib.suppress(group_state.Deposed):
            await own.replica_changes.transfer_leadership(own.known.backups[0])
        assert served == [False]
        assert those.register.standing().primary != own.me()

    members.play(tmp_path, 3, acts)
