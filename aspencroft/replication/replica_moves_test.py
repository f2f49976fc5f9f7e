"""Tests of moves to a better disk, of the removal of a surplus member, and of releases by non-members."""

import pathlib

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import group_replica, messages, replica_changes
from aspencroft.runtime import clock
from aspencroft.simulation import members

LONG_ENOUGH = replica_changes.MOVE_DELAY + replica_changes.MOVE_STAGGER * 4 + clock.seconds(2)


def other_groups(addresses: tuple[str, ...], count: int) -> tuple[replica_set.ReplicaSet, ...]:
    """Replica sets of other groups with members on these nodes, numbered after the simulated group."""
    ids = tuple(replica_set.ReplicaId(address, address) for address in addresses)
    return tuple(replica_set.ReplicaSet(1 + number, 1, ids[0], ids[1:]) for number in range(count))


def member_addresses(cluster: members.Members) -> set[str]:
    """The addresses of the members in the replica set in force."""
    return {member.address for member in cluster.register.standing().members()}


async def start_serving(cluster: members.Members) -> None:
    """Start all nodes and wait until the first primary serves, then write a few services."""
    cluster.run(*cluster.names)
    await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
    for number in range(5):
        await cluster.write(f"a{number}")


def test_a_backup_on_a_full_disk_gives_its_place_to_an_empty_one(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        await start_serving(cluster)
        cluster.other_records = other_groups(("n1:1", "n3:1"), 3)
        seen = []
        cluster.register.watch = lambda standing: seen.append(len(standing.members()))
        took = await cluster.until(lambda: "n1:1" not in member_addresses(cluster), 20)
        assert member_addresses(cluster) < {"n0:1", "n2:1", "n4:1"}
        assert took > replica_changes.MOVE_DELAY.total_seconds()
        assert min(seen) == 2, seen
        await cluster.write("behind-the-move")
        assert cluster.same(*member_addresses(cluster))

    members.play(tmp_path, 5, scenario)


def test_a_primary_on_a_full_disk_hands_over_and_gives_its_place_away(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        await start_serving(cluster)
        cluster.other_records = other_groups(("n0:1", "n3:1"), 3)
        await cluster.until(lambda: "n0:1" not in member_addresses(cluster) and len(member_addresses(cluster)) == 2, 40)
        leader = cluster.register.standing().primary.address
        await cluster.until(lambda: cluster.leader() == leader)
        assert "a4" in cluster.group_replicas[leader].replica.state_machine.document["services"]

    members.play(tmp_path, 5, scenario)


def test_two_disks_that_are_equally_full_do_not_hand_the_group_to_and_fro(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        await start_serving(cluster)
        cluster.other_records = other_groups(("n0:1", "n1:1"), 2)
        changes = []
        cluster.register.watch = lambda standing: changes.append(standing.epoch)
        await cluster.until(lambda: len(member_addresses(cluster) & {"n0:1", "n1:1"}) == 1, 30)
        await clock.sleep(LONG_ENOUGH)
        assert cluster.register.standing().primary.address == "n0:1"
        assert len(set(changes)) == 2, changes

    members.play(tmp_path, 3, scenario)


def test_nothing_moves_for_a_difference_of_one_or_for_a_moment(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        await start_serving(cluster)
        cluster.other_records = other_groups(("n0:1", "n2:1", "n3:1", "n4:1"), 1)
        before = cluster.register.standing()
        await clock.sleep(LONG_ENOUGH)
        cluster.other_records = other_groups(("n1:1", "n3:1"), 4)
        await clock.sleep(replica_changes.MOVE_DELAY / 2)
        cluster.other_records = ()
        await clock.sleep(LONG_ENOUGH)
        assert cluster.register.standing() == before

    members.play(tmp_path, 5, scenario)


def test_a_move_whose_better_disk_fell_silent_changes_nothing_and_is_given_up(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        await start_serving(cluster)
        cluster.silent.update(("n2:1", "n3:1", "n4:1"))
        cluster.other_records = other_groups(("n1:1",), 4)
        await clock.sleep(LONG_ENOUGH)
        assert member_addresses(cluster) == {"n0:1", "n1:1"}
        await cluster.write("still-served")
        cluster.silent.clear()
        await cluster.until(lambda: "n1:1" not in member_addresses(cluster), 30)

    members.play(tmp_path, 5, scenario)


def test_groups_of_lower_numbers_on_the_same_disk_move_first(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        await start_serving(cluster)
        assert primary.replica_changes.count_groups_ahead(primary.me()) == 0
        primary.group_id = 3
        cluster.other_records = other_groups(("n0:1", "n3:1"), 2)
        assert primary.replica_changes.count_groups_ahead(primary.me()) == 3

    members.play(tmp_path, 5, scenario)


def test_one_member_too_many_is_recorded_out(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        await start_serving(cluster)
        assert len(member_addresses(cluster)) == 3
        cluster.goal = 2
        await cluster.until(lambda: len(member_addresses(cluster)) == 2, 20)
        await cluster.write("served-by-two")
        assert cluster.same(*member_addresses(cluster))

    members.play(tmp_path, 5, scenario, members=3, goal=3)


async def remove_backup(cluster: members.Members) -> None:
    """Drain the backup n1 until it is replaced, then let n1 hold replicas again."""
    await start_serving(cluster)
    cluster.drained.add("n1:1")
    await cluster.until(lambda: "n1:1" not in member_addresses(cluster) and len(member_addresses(cluster)) == 2)
    cluster.drained.clear()
    cluster.group_replicas["n1:1"].learn(cluster.register.standing())


def stored_bytes(folder: pathlib.Path) -> int:
    """The total size of the data files in a folder."""
    return sum(path.stat().st_size for path in folder.rglob("journal.dat"))


def test_a_node_that_is_no_member_any_more_lets_its_copy_go_in_memory_and_on_disk(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        removed = cluster.group_replicas["n1:1"]
        await remove_backup(cluster)
        identity, bytes_before = removed.replica.identity, stored_bytes(cluster.folders["n1:1"])
        assert removed.replica.has_state()
        took = await cluster.until(lambda: not removed.replica.has_state(), 30)
        assert took > group_replica.RELEASE_DELAY.total_seconds() / 2
        assert removed.replica.identity != identity
        assert removed.replica.memory().journal_entries == 0
        assert stored_bytes(cluster.folders["n1:1"]) < bytes_before
        assert removed.replica.state_machine.document.get("services", {}) == {}
        reopened = await cluster.reopened("n1:1")
        assert reopened.replica.identity == removed.replica.identity
        assert not reopened.replica.has_state()

    members.play(tmp_path, 4, scenario)


def test_a_copy_that_was_let_go_can_become_a_member_again(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        removed = cluster.group_replicas["n1:1"]
        await remove_backup(cluster)
        await cluster.until(lambda: not removed.replica.has_state(), 30)
        cluster.stop("n2:1")
        cluster.stop("n3:1")
        cluster.gone.update(("n2:1", "n3:1"))
        await cluster.until(lambda: member_addresses(cluster) == {"n0:1", "n1:1"})
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("again")
        assert cluster.same("n0:1", "n1:1")
        assert "a4" in removed.replica.state_machine.document["services"]

    members.play(tmp_path, 4, scenario)


def test_a_copy_stays_while_the_primary_does_not_say_that_the_group_is_whole_without_it(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        removed = cluster.group_replicas["n1:1"]
        await remove_backup(cluster)
        cluster.silent.add(cluster.register.standing().primary.address)
        await clock.sleep(group_replica.RELEASE_DELAY * 2)
        assert removed.replica.has_state()

    members.play(tmp_path, 4, scenario, copies=2)


def test_a_copy_is_not_let_go_by_a_record_that_names_this_node(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        backup = cluster.group_replicas["n1:1"]
        await start_serving(cluster)
        await backup.release()
        assert backup.replica.has_state()
        assert cluster.same("n0:1", "n1:1")

    members.play(tmp_path, 4, scenario)


def test_a_copy_that_was_let_go_is_not_taken_for_the_member_that_it_was(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        backup = cluster.group_replicas["n1:1"]
        await start_serving(cluster)
        former_id = backup.me()
        await backup.replica.release()
        assert backup.me() != former_id
        message = messages.Append(cluster.register.standing(), cluster.group_replicas["n0:1"].replica.last(), ())
        try:
            await backup.append(message)
            raise AssertionError("it replied under its former identity")
        except result.RequestError as refusal:
            assert refusal.result is result.ResultCode.LOWER_EPOCH

    members.play(tmp_path, 4, scenario)
