"""Tests of comparing copies after a start, and of appending to several backups."""

from aspencroft.errors import result
from aspencroft.replication import log_records, messages, replica
from aspencroft.runtime import clock
from aspencroft.simulation import members


def entries(one: replica.Replica, count: int) -> tuple[log_records.Entry, ...]:
    """Entries that follow a copy's last one."""
    body = members.codec.tagged(members.control_state.RoleAcquired("x", 1, "a:1", 1))
    return tuple(log_records.Entry(1, one.last().sequence + number + 1, body) for number in range(count))


def test_one_other_member_is_enough_to_be_sure(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        own = cluster.group_replicas["n0:1"]
        fresh = entries(own.replica, 3)
        for name in ("n0:1", "n1:1", "n2:1"):
            await cluster.group_replicas[name].replica.append(fresh[: 2 if name == "n0:1" else 3])
        cluster.silent.add("n1:1")
        own.recovery.await_peers_until(clock.now() + clock.seconds(60))
        assert await own.log_shipping.confirm_log()
        assert cluster.same("n0:1", "n2:1") and own.counts["taken at start"] == 1

    members.play(tmp_path, 3, scenario, members=3)


def test_a_lost_copy_is_not_waited_for_and_a_silent_one_only_for_a_while(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        own = cluster.group_replicas["n0:1"]
        own.recovery.await_peers_until(clock.now() + clock.seconds(3))
        cluster.silent.add("n1:1")
        assert not await own.log_shipping.confirm_log()
        cluster.silent.clear()
        cluster.group_replicas["n1:1"].replica.identity = "another"
        assert await own.log_shipping.confirm_log()
        own.recovery.require_comparison()
        cluster.silent.add("n1:1")
        await clock.sleep(clock.seconds(3))
        assert await own.log_shipping.confirm_log()

    members.play(tmp_path, 2, scenario)


def test_those_backups_are_named_that_do_not_hold_the_entries(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        own = cluster.group_replicas["n0:1"]
        assert await own.log_shipping.append(own.known, own.replica.last(), entries(own.replica, 2)) == ()
        assert cluster.same(*cluster.names)
        cluster.silent.add("n2:1")
        began = clock.now()
        failed = await own.log_shipping.append(own.known, own.replica.last(), entries(own.replica, 1))
        assert [one.address for one in failed] == ["n2:1"] and cluster.same("n0:1", "n1:1")
        assert (clock.now() - began).total_seconds() < 1.3

    members.play(tmp_path, 3, scenario, members=3)


def test_a_backup_that_compared_after_its_start_compares_again_once_it_leads(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        own = cluster.group_replicas["n1:1"]
        assert await own.log_shipping.confirm_log() and own.recovery.is_unconfirmed
        late = entries(own.replica, 1)
        await cluster.group_replicas["n2:1"].replica.append(late)
        own.role_state.begin_term()
        assert await own.log_shipping.confirm_log() and not own.recovery.is_unconfirmed
        assert cluster.same("n1:1", "n2:1")

    members.play(tmp_path, 3, scenario, members=3)


def test_a_message_that_does_not_fit_does_not_make_a_started_backup_sure(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        first, own = cluster.group_replicas["n0:1"], cluster.group_replicas["n1:1"]
        before = first.replica.last()
        lost, fresh = entries(first.replica, 2)
        await first.replica.append((lost,))
        try:
            await own.append(messages.Append(own.known, first.replica.last(), (fresh,)))
            raise AssertionError("an entry was taken that leaves out another")
        except result.RequestError:
            assert own.recovery.is_unconfirmed
        repair = messages.Repair(own.known, own.replica.identity, before.sequence, None, (lost,))
        await own.repair(repair)
        assert not own.recovery.is_unconfirmed and own.replica.last() == first.replica.last()

    members.play(tmp_path, 2, scenario)
