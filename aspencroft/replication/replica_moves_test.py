"""Tests of members that give their place to a better disk, of one member too many, and of copies that are let go."""

import pathlib

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import group_replica, messages, replica_changes
from aspencroft.runtime import clock
from aspencroft.simulation import members

LONG_ENOUGH = replica_changes.BALANCE_AFTER + replica_changes.BALANCE_TURN * 4 + clock.seconds(2)


def other_groups(addresses: tuple[str, ...], count: int) -> tuple[replica_set.ReplicaSet, ...]:
    """Records of so many other groups, numbered after the one that is played, whose members are on these nodes."""
    ids = tuple(replica_set.ReplicaId(address, address) for address in addresses)
    return tuple(replica_set.ReplicaSet(1 + number, 1, ids[0], ids[1:]) for number in range(count))


def member_addresses(those: members.Members) -> set[str]:
    """The nodes that are named by the record in force."""
    return {one.address for one in those.register.standing().members()}


async def serving(those: members.Members) -> None:
    """All nodes run and the group is served by its first primary."""
    those.run(*those.names)
    await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
    for number in range(5):
        await those.write(f"a{number}")


def test_a_backup_on_a_full_disk_gives_its_place_to_an_empty_one(tmp_path):
    async def acts(those: members.Members) -> None:
        await serving(those)
        those.other_records = other_groups(("n1:1", "n3:1"), 3)
        seen = []
        those.register.watch = lambda standing: seen.append(len(standing.members()))
        took = await those.until(lambda: "n1:1" not in member_addresses(those), 20)
        assert member_addresses(those) < {"n0:1", "n2:1", "n4:1"}
        assert took > replica_changes.BALANCE_AFTER.total_seconds()
        assert min(seen) == 2, seen
        await those.write("behind-the-move")
        assert those.same(*member_addresses(those))

    members.play(tmp_path, 5, acts)


def test_a_primary_on_a_full_disk_hands_over_and_gives_its_place_away(tmp_path):
    async def acts(those: members.Members) -> None:
        await serving(those)
        those.other_records = other_groups(("n0:1", "n3:1"), 3)
        await those.until(lambda: "n0:1" not in member_addresses(those) and len(member_addresses(those)) == 2, 40)
        leader = those.register.standing().primary.address
        await those.until(lambda: those.leader() == leader)
        assert "a4" in those.group_replicas[leader].replica.state_machine.document["services"]

    members.play(tmp_path, 5, acts)


def test_two_disks_that_are_equally_full_do_not_hand_the_group_to_and_fro(tmp_path):
    async def acts(those: members.Members) -> None:
        await serving(those)
        those.other_records = other_groups(("n0:1", "n1:1"), 2)
        changes = []
        those.register.watch = lambda standing: changes.append(standing.epoch)
        await those.until(lambda: len(member_addresses(those) & {"n0:1", "n1:1"}) == 1, 30)
        await clock.sleep(LONG_ENOUGH)
        assert those.register.standing().primary.address == "n0:1"
        assert len(set(changes)) == 2, changes

    members.play(tmp_path, 3, acts)


def test_nothing_moves_for_a_difference_of_one_or_for_a_moment(tmp_path):
    async def acts(those: members.Members) -> None:
        await serving(those)
        those.other_records = other_groups(("n0:1", "n2:1", "n3:1", "n4:1"), 1)
        before = those.register.standing()
        await clock.sleep(LONG_ENOUGH)
        those.other_records = other_groups(("n1:1", "n3:1"), 4)
        await clock.sleep(replica_changes.BALANCE_AFTER / 2)
        those.other_records = ()
        await clock.sleep(LONG_ENOUGH)
        assert those.register.standing() == before

    members.play(tmp_path, 5, acts)


def test_a_move_whose_better_disk_fell_silent_changes_nothing_and_is_given_up(tmp_path):
    async def acts(those: members.Members) -> None:
        await serving(those)
        those.silent.update(("n2:1", "n3:1", "n4:1"))
        those.other_records = other_groups(("n1:1",), 4)
        await clock.sleep(LONG_ENOUGH)
        assert member_addresses(those) == {"n0:1", "n1:1"}
        await those.write("still-served")
        those.silent.clear()
        await those.until(lambda: "n1:1" not in member_addresses(those), 30)

    members.play(tmp_path, 5, acts)


def test_groups_of_lower_numbers_on_the_same_disk_move_first(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.group_replicas["n0:1"]
        await serving(those)
        assert own.replica_changes.turn(own.me()) == 0
        own.group_id = 3
        those.other_records = other_groups(("n0:1", "n3:1"), 2)
        assert own.replica_changes.turn(own.me()) == 3

    members.play(tmp_path, 5, acts)


def test_one_member_too_many_is_recorded_out(tmp_path):
    async def acts(those: members.Members) -> None:
        await serving(those)
        assert len(member_addresses(those)) == 3
        those.goal = 2
        await those.until(lambda: len(member_addresses(those)) == 2, 20)
        await those.write("served-by-two")
        assert those.same(*member_addresses(those))

    members.play(tmp_path, 5, acts, members=3, goal=3)


async def recorded_out(those: members.Members) -> None:
    """The backup n1 was drained, n2 took its place, and n1 may hold copies again."""
    await serving(those)
    those.drained.add("n1:1")
    await those.until(lambda: "n1:1" not in member_addresses(those) and len(member_addresses(those)) == 2)
    those.drained.clear()
    those.group_replicas["n1:1"].learn(those.register.standing())


def stored_bytes(folder: pathlib.Path) -> int:
    """What the files in a folder take."""
    return sum(path.stat().st_size for path in folder.rglob("journal.dat"))


def test_a_node_that_is_no_member_any_more_lets_its_copy_go_in_memory_and_on_disk(tmp_path):
    async def acts(those: members.Members) -> None:
        left = those.group_replicas["n1:1"]
        await recorded_out(those)
        identity, held = left.replica.identity, stored_bytes(those.folders["n1:1"])
        assert left.replica.has_state()
        took = await those.until(lambda: not left.replica.has_state(), 30)
        assert took > group_replica.RELEASE_AFTER.total_seconds() / 2
        assert left.replica.identity != identity
        assert left.replica.memory().journal_entries == 0
        assert stored_bytes(those.folders["n1:1"]) < held
        assert left.replica.state_machine.document.get("services", {}) == {}
        again = await those.reopened("n1:1")
        assert again.replica.identity == left.replica.identity
        assert not again.replica.has_state()

    members.play(tmp_path, 4, acts)


def test_a_copy_that_was_let_go_can_become_a_member_again(tmp_path):
    async def acts(those: members.Members) -> None:
        left = those.group_replicas["n1:1"]
        await recorded_out(those)
        await those.until(lambda: not left.replica.has_state(), 30)
        those.stop("n2:1")
        those.stop("n3:1")
        those.gone.update(("n2:1", "n3:1"))
        await those.until(lambda: member_addresses(those) == {"n0:1", "n1:1"})
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        await those.write("again")
        assert those.same("n0:1", "n1:1")
        assert "a4" in left.replica.state_machine.document["services"]

    members.play(tmp_path, 4, acts)


def test_a_copy_stays_while_the_primary_does_not_say_that_the_group_is_whole_without_it(tmp_path):
    async def acts(those: members.Members) -> None:
        left = those.group_replicas["n1:1"]
        await recorded_out(those)
        those.silent.add(those.register.standing().primary.address)
        await clock.sleep(group_replica.RELEASE_AFTER * 2)
        assert left.replica.has_state()

    members.play(tmp_path, 4, acts, copies=2)


def test_a_copy_is_not_let_go_by_a_record_that_names_this_node(tmp_path):
    async def acts(those: members.Members) -> None:
        left = those.group_replicas["n1:1"]
        await serving(those)
        await left.release()
        assert left.replica.has_state()
        assert those.same("n0:1", "n1:1")

    members.play(tmp_path, 4, acts)


def test_a_copy_that_was_let_go_is_not_taken_for_the_member_that_it_was(tmp_path):
    async def acts(those: members.Members) -> None:
        left = those.group_replicas["n1:1"]
        await serving(those)
        former = left.me()
        await left.replica.release()
        assert left.me() != former
        message = messages.Append(those.register.standing(), those.group_replicas["n0:1"].replica.last(), ())
        try:
            await left.append(message)
            raise AssertionError("it answered as the member that it was")
        except result.RequestError as refusal:
            assert refusal.result is result.ResultCode.LOWER_EPOCH

    members.play(tmp_path, 4, acts)
