"""Tests of when a primary acknowledges or rejects a command."""

import asyncio
import dataclasses
import types

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import messages, primary, record_changes
from aspencroft.runtime import clock
from aspencroft.sessions import turn_history
from aspencroft.simulation import members
from aspencroft.transport import frame


def test_nothing_is_answered_until_all_backups_hold_it_or_are_recorded_out(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run("n0:1", "n1:1", "n2:1")
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("a")
        assert cluster.same("n0:1", "n1:1", "n2:1")
        cluster.silent.add("n2:1")
        cluster.gone.add("n2:1")
        began = clock.now()
        writing = asyncio.ensure_future(cluster.write("b"))
        while not writing.done():
            assert cluster.register.standing().epoch == 1 or "n2:1" not in str(cluster.register.standing().backups)
            await clock.sleep(clock.seconds(0.01))
            if cluster.register.standing().epoch == 1:
                assert not writing.done()
        assert writing.result().changed == 1
        assert (clock.now() - began).total_seconds() < 2.0
        assert len(cluster.register.standing().backups) == 1 and cluster.same("n0:1", "n1:1")

    members.play(tmp_path, 3, scenario, members=3, copies=3, goal=3)


def test_too_few_members_answer_only_when_no_other_disk_can_be_had_and_one_never_does(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"].primary
        first, second, third = (cluster.group_replicas[name].me() for name in cluster.names)
        incomplete = replica_set.ReplicaSet(0, 5, first, (second,))
        assert primary.has_enough_members(replica_set.ReplicaSet(0, 5, first, (second, third)))
        assert not primary.has_enough_members(incomplete)
        primary.exhausted_record = incomplete
        assert primary.has_enough_members(incomplete)
        assert not primary.has_enough_members(replica_set.ReplicaSet(0, 6, first, (second,)))
        primary.exhausted_record = single = replica_set.ReplicaSet(0, 7, first, ())
        assert not primary.has_enough_members(single)

    members.play(tmp_path, 3, scenario, members=3, copies=3, goal=3)


def test_a_group_with_too_few_members_takes_in_another_before_it_answers(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        cluster.silent.add("n1:1")
        await cluster.write("a")
        standing = cluster.register.standing()
        assert {member.address for member in standing.backups} == {"n2:1", "n3:1"}
        assert cluster.same("n0:1", "n2:1", "n3:1")

    members.play(tmp_path, 4, scenario, members=3, copies=3, goal=3)


async def members_at_write(cluster: members.Members, name: str) -> int:
    """Write once there is a leader; return the number of members at the time of the acknowledgement."""
    await cluster.until(lambda: bool(cluster.leader()))
    await cluster.write(name, cluster.leader())
    return len(cluster.register.standing().members())


def delay_repairs(cluster: members.Members):
    """Delay the start of each repair by half a second."""
    request = cluster.request

    async def slow(address, message, within):
        if isinstance(message, messages.BeginRepair):
            await clock.sleep(clock.seconds(0.5))
        return await request(address, message, within)

    cluster.request = slow


def test_a_disk_known_to_be_lost_is_one_of_the_losses_to_be_borne_and_holds_nobody_up(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await members_at_write(cluster, "a")
        delay_repairs(cluster)
        cluster.stop("n0:1")
        await cluster.wipe("n2:1", 0.01)
        cluster.silent.discard("n0:1")
        cluster.run("n0:1")
        assert await members_at_write(cluster, "b") == 2, "before another replica is added"
        await cluster.until(lambda: len(cluster.register.standing().members()) == 3)

    members.play(tmp_path, 5, scenario, members=3, copies=3, goal=3)


def test_a_copy_that_was_let_go_of_is_no_loss_nor_is_a_member_that_is_silent(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        primary = cluster.group_replicas["n0:1"]
        await cluster.group_replicas["n2:1"].replica.release()
        assert await primary.log_shipping.synchronize_backups(primary.known)
        assert not primary.log_shipping.lost_disks
        cluster.silent.add("n2:1")
        assert await primary.log_shipping.synchronize_backups(primary.known)
        assert not primary.log_shipping.lost_disks

    members.play(tmp_path, 3, scenario, members=3, copies=3, goal=3)


def test_a_lost_disk_excuses_one_member_under_one_record_for_a_short_time():
    first, second, third = (replica_set.ReplicaId(f"n{number}:1", "a") for number in range(3))
    remaining = replica_set.ReplicaSet(0, 5, first, (second,))
    lost_disks = record_changes.LostDisks(remaining, 1, clock.seconds(3))
    assert lost_disks.covers_missing(remaining, 3, 2, clock.seconds(2.9))
    assert not lost_disks.covers_missing(remaining, 3, 2, clock.seconds(3))
    assert not lost_disks.covers_missing(remaining, 4, 2, clock.ZERO)
    assert not lost_disks.covers_missing(replica_set.ReplicaSet(0, 6, first, (third,)), 3, 2, clock.ZERO)
    single = replica_set.ReplicaSet(0, 5, first, ())
    assert not record_changes.LostDisks(single, 2, clock.seconds(3)).covers_missing(single, 3, 2, clock.ZERO), (
        "never with one member"
    )


def test_members_beyond_what_must_hold_answers_are_taken_in_behind_serving(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        for number in range(40):
            await cluster.write(f"a{number}")
        await cluster.until(lambda: len(cluster.register.standing().backups) == 2, 3)
        await cluster.write("last")
        assert cluster.same(*cluster.names)

    members.play(tmp_path, 3, scenario, members=2, copies=2, goal=3)


def test_what_a_member_lacks_is_not_answered_while_the_record_names_it(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        cluster.silent.add("n2:1")
        cluster.register.refusing = True
        try:
            await cluster.write("a", within=4.0)
            raise AssertionError("answered")
        except result.RequestError as refusal:
            assert refusal.ran is result.Ran.UNKNOWN
        assert len(cluster.register.standing().members()) == 3 and not cluster.same(*cluster.names)

    members.play(tmp_path, 3, scenario, members=3)


def test_a_primary_that_hears_no_witness_asks_for_no_claim_that_it_could_not_use(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run("n0:1")
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        cluster.register.deaf = True
        before = len(cluster.register.lengths)
        await clock.sleep(clock.seconds(5))
        assert [length > clock.ZERO for length in cluster.register.lengths[before:]].count(True) <= 1
        assert len(cluster.register.lengths) > before + 3
        cluster.register.deaf = False
        assert (
            await cluster.until(
                lambda: (
                    cluster.group_replicas["n0:1"].has_lease()
                    and cluster.group_replicas["n0:1"].status_reason == "serving"
                )
            )
            < 1.5
        )

    members.play(tmp_path, 2, scenario)


def test_a_lone_primary_refuses_at_once(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run("n0:1")
        cluster.silent.add("n1:1")
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "no backup")
        try:
            await cluster.write("a")
            raise AssertionError("answered")
        except result.RequestError as refusal:
            assert refusal.result is result.ResultCode.NO_BACKUP and refusal.ran is result.Ran.NOT_RUN

    members.play(tmp_path, 2, scenario)


def test_nothing_is_answered_under_a_record_that_was_told_of_and_never_chosen(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        primary = cluster.group_replicas["n0:1"]
        await cluster.until(lambda: primary.status_reason == "serving")
        chosen = cluster.register.standing()
        omitted = chosen.backups[0]
        cluster.silent.add(omitted.address)
        cluster.register.refusing = True
        primary.learn(dataclasses.replace(chosen, epoch=chosen.epoch + 1, backups=chosen.backups[1:]))
        answered = False
        try:
            await cluster.write("a")
            answered = True
        except result.RequestError:
            pass
        assert not answered
        cluster.register.refusing = False
        cluster.silent.clear()
        await cluster.until(lambda: primary.has_lease() and primary.status_reason == "serving")
        assert primary.known == cluster.register.standing() and primary.known.epoch > chosen.epoch + 1
        await cluster.write("b")

    members.play(tmp_path, 3, scenario, members=3, copies=2, goal=3)


def test_an_order_that_the_primary_could_not_write_is_not_answered_though_its_lease_stands(tmp_path):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("a")
        primary = cluster.group_replicas["n0:1"]
        writes = primary.replica.storage.write_items

        async def failing(*values) -> None:
            await clock.sleep(clock.seconds(0.01))
            primary.replica.storage.write_items = writes
            raise OSError("no space left on the device")

        primary.replica.storage.write_items = failing
        try:
            await cluster.write("b")
            raise AssertionError("answered")
        except result.RequestError as refusal:
            assert refusal.ran is result.Ran.UNKNOWN
        assert primary.lease_end > clock.now() or not primary.role_state.is_leading

    members.play(tmp_path, 3, scenario, members=3)


def test_a_batch_takes_no_more_commands_once_it_has_bytes_enough_and_at_least_one():
    """Guards against batches that fit into no frame: their appends fail, and the primary records its backups out."""

    async def batches(sizes: list[int]) -> list[int]:
        queue: asyncio.Queue[primary.Submission] = asyncio.Queue()
        for size in sizes:
            queue.put_nowait(primary.Submission(None, clock.ZERO, asyncio.get_running_loop().create_future(), size))
        taken = []
        while not queue.empty():
            taken.append(len(await primary.Primary.take_batch(types.SimpleNamespace(submissions=queue))))
        return taken

    enough = primary.MAX_BATCH_BYTES
    assert asyncio.run(batches([enough] * 3)) == [1, 1, 1]
    assert asyncio.run(batches([16 * enough, 1, enough // 2, enough // 2, 1])) == [1, 3, 1]
    assert asyncio.run(batches([100] * 600)) == [256, 256, 88]
    assert 2 * enough + turn_history.MAX_CHAIN_BYTES < frame.MAX_BODY_BYTES
