"""Tests of comparing logs after a start, and of appends to several backups."""

from aspencroft.errors import result
from aspencroft.replication import log_records, messages, replica
from aspencroft.runtime import clock
from aspencroft.simulation import members


def make_entries(local: replica.Replica, count: int) -> tuple[log_records.Entry, ...]:
    """Make entries that follow a replica's last one."""
    body = members.codec.tagged(members.control_state.RoleAcquired("x", 1, "a:1", 1))
    return tuple(log_records.Entry(1, local.last().sequence + number + 1, body) for number in range(count))


def test_one_other_member_is_enough_to_be_sure(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        new_entries = make_entries(primary.replica, 3)
        for name in ("n0:1", "n1:1", "n2:1"):
            await cluster.group_replicas[name].replica.append(new_entries[: 2 if name == "n0:1" else 3])
        cluster.silent.add("n1:1")
        primary.recovery.await_peers_until(clock.now() + clock.seconds(60))
        assert await primary.log_shipping.confirm_log()
        assert cluster.same("n0:1", "n2:1") and primary.counts["taken at start"] == 1

    members.play(tmp_path, 3, scenario, members=3)


def test_a_lost_copy_is_not_waited_for_and_a_silent_one_only_for_a_while(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        primary.recovery.await_peers_until(clock.now() + clock.seconds(3))
        cluster.silent.add("n1:1")
        assert not await primary.log_shipping.confirm_log()
        cluster.silent.clear()
        cluster.group_replicas["n1:1"].replica.identity = "another"
        assert await primary.log_shipping.confirm_log()
        primary.recovery.require_comparison()
        cluster.silent.add("n1:1")
        await clock.sleep(clock.seconds(3))
        assert await primary.log_shipping.confirm_log()

    members.play(tmp_path, 2, scenario)


def test_those_backups_are_named_that_do_not_hold_the_entries(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        assert (
            await primary.log_shipping.append(primary.known, primary.replica.last(), make_entries(primary.replica, 2))
            == ()
        )
        assert cluster.same(*cluster.names)
        cluster.silent.add("n2:1")
        began = clock.now()
        failed = await primary.log_shipping.append(
            primary.known, primary.replica.last(), make_entries(primary.replica, 1)
        )
        assert [backup.address for backup in failed] == ["n2:1"] and cluster.same("n0:1", "n1:1")
        assert (clock.now() - began).total_seconds() < 1.3

    members.play(tmp_path, 3, scenario, members=3)


def test_a_backup_that_compared_after_its_start_compares_again_once_it_leads(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        backup = cluster.group_replicas["n1:1"]
        assert await backup.log_shipping.confirm_log() and backup.recovery.is_unconfirmed
        late = make_entries(backup.replica, 1)
        await cluster.group_replicas["n2:1"].replica.append(late)
        backup.role_state.begin_term()
        assert await backup.log_shipping.confirm_log() and not backup.recovery.is_unconfirmed
        assert cluster.same("n1:1", "n2:1")

    members.play(tmp_path, 3, scenario, members=3)


def test_a_message_that_does_not_fit_does_not_make_a_started_backup_sure(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary, backup = cluster.group_replicas["n0:1"], cluster.group_replicas["n1:1"]
        before = primary.replica.last()
        missing_entry, next_entry = make_entries(primary.replica, 2)
        await primary.replica.append((missing_entry,))
        try:
            await backup.append(messages.Append(backup.known, primary.replica.last(), (next_entry,)))
            raise AssertionError("an append with a gap was accepted")
        except result.RequestError:
            assert backup.recovery.is_unconfirmed
        repair = messages.Repair(backup.known, backup.replica.identity, before.sequence, None, (missing_entry,))
        await backup.repair(repair)
        assert not backup.recovery.is_unconfirmed and backup.replica.last() == primary.replica.last()

    members.play(tmp_path, 2, scenario)
