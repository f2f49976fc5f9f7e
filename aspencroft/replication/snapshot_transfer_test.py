"""Tests of large snapshots in bounded chunks: resumed after an interruption, never used before they are complete."""

import dataclasses

import pytest

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.replication import (
    log_records,
    log_shipping,
    messages,
    replica,
    replica_log,
    snapshot_transfer,
    snapshotting,
)
from aspencroft.runtime import clock
from aspencroft.simulation import members
from aspencroft.transport import codec


def entries_after(member: replica.Replica, count: int, size: int = 200) -> tuple[log_records.Entry, ...]:
    """Make entries with ``size`` bytes that follow a replica's last one."""
    return tuple(
        log_records.Entry(
            1,
            member.last().sequence + number,
            codec.tagged(control_state.RoleAcquired(f"duty {member.last().sequence + number}", 1, "x" * size, 1)),
        )
        for number in range(1, count + 1)
    )


@pytest.fixture
def small_bounds(monkeypatch):
    """Set small bounds, so that a few entries exceed them."""
    monkeypatch.setattr(snapshotting, "COMPACT_ENTRIES", 40)
    monkeypatch.setattr(log_shipping, "REPAIR_BATCH_BYTES", 3000)
    monkeypatch.setattr(snapshot_transfer, "CHUNK_BYTES", 1000)


async def start_with_snapshot(cluster: members.Members, count: int = 60, more: int = 30) -> replica.Replica:
    """Give the primary a snapshot and entries after it."""
    primary = cluster.group_replicas["n0:1"].replica
    await primary.append(entries_after(primary, count))
    await primary.compact()
    assert primary.log.snapshot.sequence == count
    await primary.append(entries_after(primary, more))
    cluster.group_replicas["n0:1"].has_lease = lambda: True
    return primary


async def repair_backup(cluster: members.Members, name: str = "n1:1") -> log_records.LogPosition:
    """Repair a node's replica from the primary's; return the end of its log."""
    sender, backup = cluster.group_replicas["n0:1"], cluster.group_replicas[name]
    compared = backup.compare(messages.Compare(0, 1))
    return await sender.log_shipping.repair_from(backup.me(), compared)


def test_chunks_from_any_offset_are_the_rest_of_the_snapshot(monkeypatch):
    monkeypatch.setattr(snapshot_transfer, "CHUNK_BYTES", 7)
    pieces = tuple(bytes([number]) * size for number, size in enumerate((3, 0, 20, 7, 1, 5)))
    complete = b"".join(pieces)
    for offset in range(len(complete) + 1):
        chunks = list(snapshot_transfer.split_chunks(pieces, offset))
        assert b"".join(chunks) == complete[offset:]
        assert all(len(chunk) == 7 for chunk in chunks[:-1]) and all(0 < len(chunk) <= 7 for chunk in chunks)


def test_no_message_of_a_repair_is_large(tmp_path, small_bounds):
    async def scenario(cluster: members.Members) -> None:
        primary = await start_with_snapshot(cluster)
        assert primary.log.snapshot.size() > 10_000
        assert await repair_backup(cluster) == primary.last() and cluster.same("n0:1", "n1:1")
        sizes = [len(codec.pack(message)) for _, message in cluster.heard]
        assert max(sizes) < 4500, max(sizes)
        reopened = replica.Replica(
            cluster.group_replicas["n1:1"].replica.environment,
            cluster.group_replicas["n1:1"].replica.folder,
            0,
            control_state.ControlState,
        )
        await reopened.open()
        assert reopened.last() == primary.last() and not reopened.is_incomplete()
        assert reopened.state_machine.snapshot() == primary.state_machine.snapshot()

    members.play(tmp_path, 2, scenario)


@pytest.mark.parametrize("broken_at", range(1, 40, 3))
def test_a_transfer_that_breaks_goes_on_where_it_was_and_is_not_used_before(tmp_path, small_bounds, broken_at):
    async def scenario(cluster: members.Members) -> None:
        primary = await start_with_snapshot(cluster)
        backup = cluster.group_replicas["n1:1"]
        await backup.replica.append(entries_after(backup.replica, 5, size=10))
        deliver_normally, count = cluster.deliver, [0]

        async def handle(member, message):
            count[0] += 1
            if count[0] == broken_at:
                cluster.silent.add("n1:1")
                raise result.RequestError(result.ResultCode.UNREACHABLE)
            return await deliver_normally(member, message)

        cluster.deliver = handle
        try:
            await repair_backup(cluster)
            interrupted = False
        except result.RequestError:
            interrupted = True
        count[0] = broken_at
        assert interrupted == (cluster.silent == {"n1:1"})
        if interrupted and backup.replica.last() != primary.last():
            reopened = replica.Replica(backup.replica.environment, backup.replica.folder, 0, control_state.ControlState)
            await reopened.open()
            assert reopened.last() == backup.replica.last()
            if broken_at > 1:
                assert backup.replica.is_incomplete() and reopened.is_incomplete()
                backup.recovery.await_peers_until(clock.ZERO)
                backup.recovery.confirm()
                cluster.silent.add("n0:1")
                assert not await backup.log_shipping.confirm_log()
        cluster.silent.clear()
        sent = len(cluster.heard)
        assert await repair_backup(cluster) == primary.last() and not backup.replica.is_incomplete()
        chunks = [
            message for _, message in cluster.heard if isinstance(message, messages.SnapshotChunk) and message.body
        ]
        assert len(chunks) <= primary.log.snapshot.size() // 1000 + 6, (len(chunks), sent)
        assert backup.replica.state_machine.snapshot() == primary.state_machine.snapshot()

    members.play(tmp_path, 2, scenario)


def test_half_a_snapshot_is_not_installed_and_two_are_not_mixed(tmp_path, small_bounds):
    async def scenario(cluster: members.Members) -> None:
        primary = await start_with_snapshot(cluster)
        backup = cluster.group_replicas["n1:1"]
        before = backup.replica.last(), backup.replica.state_machine.snapshot()
        record, size = cluster.group_replicas["n0:1"].known, primary.log.snapshot.size()
        end = messages.InstallSnapshot(
            record, backup.replica.identity, 5, 1, primary.log.snapshot.sequence, primary.log.snapshot.digest, size
        )
        body = primary.log.snapshot.body
        chunk = messages.SnapshotChunk(record, backup.replica.identity, 5, 0, body[:4000])
        assert backup.receive_snapshot_chunk(chunk).received_bytes == 4000
        assert backup.receive_snapshot_chunk(chunk).received_bytes == 4000
        for wrong_end in (end, dataclasses.replace(end, transfer_id=6), dataclasses.replace(end, identity="another")):
            with pytest.raises(result.RequestError):
                await backup.install_snapshot(wrong_end)
        assert backup.receive_snapshot_chunk(dataclasses.replace(chunk, transfer_id=6, offset=4000)).received_bytes == 0
        assert (
            backup.receive_snapshot_chunk(dataclasses.replace(chunk, transfer_id=6, body=body)).received_bytes == size
        )
        with pytest.raises(result.RequestError):
            await backup.install_snapshot(end)
        assert (backup.replica.last(), backup.replica.state_machine.snapshot()) == before
        installed = await backup.install_snapshot(dataclasses.replace(end, transfer_id=6))
        assert installed == await backup.install_snapshot(dataclasses.replace(end, transfer_id=6))
        assert installed.last.digest == primary.log.snapshot.digest

    members.play(tmp_path, 2, scenario)


def test_chunks_of_a_transfer_that_ended_are_freed(tmp_path, small_bounds):
    async def scenario(cluster: members.Members) -> None:
        backup = cluster.group_replicas["n1:1"]
        chunk = messages.SnapshotChunk(cluster.group_replicas["n0:1"].known, backup.replica.identity, 5, 0, b"x" * 4000)
        backup.receive_snapshot_chunk(chunk)
        await clock.sleep(snapshot_transfer.DISCARD_AFTER * 1.1)
        assert not backup.incoming.chunks

    members.play(tmp_path, 2, scenario)


def test_a_backup_whose_repair_broke_off_never_leads_without_what_was_acknowledged(tmp_path, small_bounds, monkeypatch):
    """Its last entries differ from the primary's; the repair truncates it below acknowledged entries, then fails."""

    monkeypatch.setattr(replica_log, "DENSE_DIGEST_ENTRIES", 0)

    async def scenario(cluster: members.Members) -> None:
        primary = await start_with_snapshot(cluster)
        backup, third = cluster.group_replicas["n1:1"], cluster.group_replicas["n2:1"]
        for member in (backup, third):
            await member.replica.repair(
                primary.log.snapshot.sequence, primary.log.snapshot, tuple(primary.log.entries[:-1])
            )
        await backup.replica.append(entries_after(backup.replica, 1, size=1))
        deliver_normally = cluster.deliver

        async def handle(member, message):
            if isinstance(message, messages.Repair) and member is backup and message.keep_through > 70:
                cluster.silent.add("n0:1")
                raise result.RequestError(result.ResultCode.UNREACHABLE)
            return await deliver_normally(member, message)

        cluster.deliver = handle
        with pytest.raises(result.RequestError):
            await repair_backup(cluster)
        assert backup.replica.last().sequence < primary.last().sequence - 1
        cluster.silent.add("n2:1")
        backup.recovery.await_peers_until(clock.ZERO)
        await backup.backup.take_over(backup.known)
        assert cluster.register.standing().primary.address == "n0:1"
        cluster.silent.discard("n2:1")
        await third.replica.append((primary.log.entries[-1],))
        await backup.backup.take_over(backup.known)
        assert cluster.register.standing().primary.address == "n1:1"
        assert backup.replica.last() == third.replica.last()

    members.play(tmp_path, 3, scenario, members=3)


@pytest.mark.parametrize("differing", [1, 5, 30])
def test_a_repair_never_cuts_a_backup_back_below_what_was_acknowledged(tmp_path, small_bounds, monkeypatch, differing):
    monkeypatch.setattr(log_shipping, "REPAIR_BATCH_BYTES", 800)

    async def scenario(cluster: members.Members) -> None:
        primary = await start_with_snapshot(cluster, more=70)
        backup = cluster.group_replicas["n1:1"]
        acknowledged = primary.last().sequence - differing
        count = acknowledged - primary.log.snapshot.sequence
        await backup.replica.repair(
            primary.log.snapshot.sequence, primary.log.snapshot, tuple(primary.log.entries[:count])
        )
        await backup.replica.append(entries_after(backup.replica, differing, size=1))
        end_sequences, deliver_normally = [], cluster.deliver

        async def deliver(member, message):
            reply = await deliver_normally(member, message)
            end_sequences.append(member.replica.last().sequence)
            return reply

        cluster.deliver = deliver
        assert await repair_backup(cluster) == primary.last()
        assert min(end_sequences) >= acknowledged

    members.play(tmp_path, 2, scenario)


def test_a_goal_that_the_next_primary_does_not_hold_binds_no_longer(tmp_path, small_bounds):
    async def scenario(cluster: members.Members) -> None:
        primary = await start_with_snapshot(cluster)
        backup = cluster.group_replicas["n1:1"]
        await backup.replica.repair(primary.log.snapshot.sequence, primary.log.snapshot, tuple(primary.log.entries))
        await backup.replica.begin_repair(log_records.RepairGoal(primary.last().sequence + 3, b"12345678"))
        assert backup.replica.is_incomplete()
        assert await repair_backup(cluster) == primary.last() and not backup.replica.is_incomplete()
        reopened = replica.Replica(backup.replica.environment, backup.replica.folder, 0, control_state.ControlState)
        await reopened.open()
        assert not reopened.is_incomplete()

    members.play(tmp_path, 2, scenario)


def test_a_member_away_for_five_thousand_changes_and_killed_twice_while_it_catches_up(tmp_path, small_bounds):
    """It keeps its identity, is added again as a replica that lacks all entries, and catches up in chunks."""

    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        cluster.stop("n2:1")
        for number in range(5000):
            await cluster.write(f"s{number % 300}-{number // 2500}")
        primary = cluster.group_replicas["n0:1"]

        async def start() -> None:
            await cluster.open_host("n2:1")
            cluster.group_replicas["n2:1"].learn(cluster.register.standing())
            cluster.silent.discard("n2:1")
            cluster.run("n2:1")

        def parts_sent() -> int:
            return sum(
                address == "n2:1" and isinstance(message, (messages.SnapshotChunk, messages.Repair))
                for address, message in cluster.heard
            )

        cluster.silent.add("n1:1")
        cluster.stop("n1:1")
        for _ in range(2):
            await start()
            before = parts_sent()
            await cluster.until(lambda before=before: parts_sent() > before + 1, 20)
            cluster.stop("n2:1")
        await start()
        await cluster.until(
            lambda: "n2:1" in [member.address for member in primary.known.backups] and cluster.same("n0:1", "n2:1"), 30
        )
        caught_up = cluster.group_replicas["n2:1"].replica
        assert caught_up.state_machine.snapshot() == primary.replica.state_machine.snapshot()
        await cluster.write("afterwards")
        reopened = await cluster.reopened("n2:1")
        assert reopened.replica.state_machine.snapshot() == primary.replica.state_machine.snapshot()

    members.play(tmp_path, 3, scenario)
