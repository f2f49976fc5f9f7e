"""Tests of comparing copies after a start, and of appending to several backups."""

from aspencroft.replication import replica
from aspencroft.runtime import clock
from aspencroft.simulation import members


def entries(one: replica.Replica, count: int) -> tuple[replica.Entry, ...]:
    """Entries that follow a copy's last one."""
    body = members.codec.tagged(members.control_state.DutyTaken("x", 1, "a:1", 1))
    return tuple(replica.Entry(1, one.last().sequence + number + 1, body) for number in range(count))


def test_one_other_member_is_enough_to_be_sure(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.hosts["n0:1"]
        fresh = entries(own.copy, 3)
        for name in ("n0:1", "n1:1", "n2:1"):
            await those.hosts[name].copy.append(fresh[: 2 if name == "n0:1" else 3])
        those.silent.add("n1:1")
        own.patience_end = clock.now() + clock.seconds(60)
        assert await own.log_shipping.made_sure()
        assert those.same("n0:1", "n2:1") and own.counts["taken at start"] == 1

    members.play(tmp_path, 3, acts, members=3)


def test_a_lost_copy_is_not_waited_for_and_a_silent_one_only_for_a_while(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.hosts["n0:1"]
        own.patience_end = clock.now() + clock.seconds(3)
        those.silent.add("n1:1")
        assert not await own.log_shipping.made_sure()
        those.silent.clear()
        those.hosts["n1:1"].copy.identity = "another"
        assert await own.log_shipping.made_sure()
        own.unsure = True
        those.silent.add("n1:1")
        await clock.sleep(clock.seconds(3))
        assert await own.log_shipping.made_sure()

    members.play(tmp_path, 2, acts)


def test_those_backups_are_named_that_do_not_hold_the_entries(tmp_path):
    async def acts(those: members.Members) -> None:
        own = those.hosts["n0:1"]
        assert await own.log_shipping.append(own.known, own.copy.last(), entries(own.copy, 2)) == ()
        assert those.same(*those.names)
        those.silent.add("n2:1")
        began = clock.now()
        failed = await own.log_shipping.append(own.known, own.copy.last(), entries(own.copy, 1))
        assert [one.address for one in failed] == ["n2:1"] and those.same("n0:1", "n1:1")
        assert (clock.now() - began).total_seconds() < 1.3

    members.play(tmp_path, 3, acts, members=3)
