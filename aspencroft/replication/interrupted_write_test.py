"""Tests of a replica whose writes are cancelled, fail or hang: its disk and its memory never differ."""

import asyncio
import collections
import errno
import random

import pytest

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set
from aspencroft.replication import log_records, replica, snapshotting
from aspencroft.runtime import clock, environment
from aspencroft.simulation import disk, loop, members
from aspencroft.storage import data_file
from aspencroft.transport import codec


def make_replica(local_disk: disk.SimDisk) -> replica.Replica:
    """Make a replica of the control group on a disk."""
    node_environment = environment.Environment(None, local_disk, None, local_disk.chance, None)
    return replica.Replica(node_environment, local_disk.folder / "a", 0, control_state.ControlState)


def entries_after(local: replica.Replica, count: int, holder: str, epoch: int = 1) -> tuple[log_records.Entry, ...]:
    """Make entries that follow a replica's last one."""
    return tuple(
        log_records.Entry(
            epoch,
            local.last().sequence + number,
            codec.tagged(control_state.RoleAcquired("duty", number, holder, 1)),
        )
        for number in range(1, count + 1)
    )


async def is_same_after_start(local: replica.Replica) -> bool:
    """Whether a process that starts on this disk loads the same log and state as this replica."""
    reopened = make_replica(local.environment.disk)
    await reopened.open()
    return (reopened.last(), reopened.state_machine.snapshot(), reopened.log.entries) == (
        local.last(),
        local.state_machine.snapshot(),
        local.log.entries,
    )


def run_simulated(scenario) -> None:
    """Run a coroutine in simulated time."""
    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(scenario)


def test_an_append_that_is_cancelled_at_any_moment_is_whole_in_memory_or_not_on_the_disk(tmp_path):
    async def scenario(after: float) -> bool:
        local_disk = disk.SimDisk(tmp_path / str(after), random.Random(1))
        local = make_replica(local_disk)
        await local.open()
        await local.append(entries_after(local, 2, "a:1"))
        local_disk.delay = 0.02
        task = asyncio.ensure_future(local.append(entries_after(local, 2, "b:1")))
        await asyncio.sleep(after)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert await is_same_after_start(local), after
        first = local.last().sequence
        await local.append(entries_after(local, 1, "c:1", epoch=2))
        assert await is_same_after_start(local), after
        return first == 4

    outcomes = []

    async def all_scenarios() -> None:
        outcomes.extend([await scenario(after / 1000) for after in range(0, 40, 2)])

    run_simulated(all_scenarios())
    assert any(outcomes)


def test_a_repair_that_the_disk_refuses_leaves_the_copy_as_it_was(tmp_path):
    async def scenario(space: int) -> bool:
        local_disk = disk.SimDisk(tmp_path / str(space), random.Random(1))
        local, peer = (
            make_replica(local_disk),
            make_replica(disk.SimDisk(tmp_path / f"{space} other", random.Random(2))),
        )
        await local.open()
        await peer.open()
        await local.append(entries_after(local, 3, "a:1"))
        await peer.append(entries_after(peer, 8, "b:1"))
        before = local.last(), local.state_machine.snapshot()
        local_disk.space = space
        refused = False
        try:
            await local.repair(0, None, tuple(peer.log.entries))
        except OSError as error:
            refused = True
            assert error.errno == errno.ENOSPC and (local.last(), local.state_machine.snapshot()) == before
        local_disk.space = None
        assert await is_same_after_start(local)
        await local.repair(0, None, tuple(peer.log.entries))
        assert local.last() == peer.last() and await is_same_after_start(local)
        return refused

    async def all_scenarios() -> None:
        refused = [await scenario(space) for space in range(0, 5200, 150)]
        assert refused[0] and not refused[-1]

    run_simulated(all_scenarios())


def test_a_snapshot_that_the_disk_refuses_is_tried_again_later_and_loses_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_ENTRIES", 10)

    async def scenario(space: int) -> None:
        local_disk = disk.SimDisk(tmp_path / str(space), random.Random(1))
        local = make_replica(local_disk)
        await local.open()
        snapshot_task = asyncio.ensure_future(local.snapshotter.run())
        await local.append(entries_after(local, 12, "a:1"))
        local_disk.space = space
        assert local.begin_snapshot()
        await asyncio.sleep(1)
        assert not local.begin_snapshot() or local.log.snapshot.sequence
        local_disk.space = None
        await local.append(entries_after(local, 3, "b:1"))
        await asyncio.sleep(2)
        local.begin_snapshot()
        await asyncio.sleep(1)
        assert local.log.snapshot.sequence and await is_same_after_start(local)
        assert len(list((local_disk.folder / "a").glob("generation-*"))) == 1
        snapshot_task.cancel()

    async def all_scenarios() -> None:
        for space in range(0, 1600, 100):
            await scenario(space)

    run_simulated(all_scenarios())


def test_a_record_that_the_disk_refuses_is_not_held(tmp_path):
    async def scenario() -> None:
        local_disk = disk.SimDisk(tmp_path, random.Random(1))
        local = make_replica(local_disk)
        await local.open()
        local_disk.failing_sync = True
        record = replica_set.ReplicaSet(0, 3, replica_set.ReplicaId("a:1", local.identity), ())
        with pytest.raises(OSError, match="error"):
            await local.persist_record(record)
        assert local.record is None
        local_disk.failing_sync = False
        reopened = make_replica(local_disk)
        await reopened.open()
        await local.persist_record(record)
        reopened = make_replica(local_disk)
        await reopened.open()
        assert reopened.record == record

    run_simulated(scenario())


def test_a_backup_whose_handler_is_cancelled_mid_write_never_holds_an_entry_twice(tmp_path):
    """The primary's connection breaks while the backup's disk writes, and different entries are sent next."""

    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        local_disk = cluster.group_replicas["n1:1"].replica.environment.disk
        for number in range(20):
            local_disk.delay = 0.05
            writing = asyncio.ensure_future(cluster.write(f"s{number}"))
            await clock.sleep(clock.seconds(0.004 * number))
            for task in list(cluster.handlers):
                task.cancel()
            await asyncio.gather(writing, return_exceptions=True)
            local_disk.delay = 0.002
            assert not sequences_written_twice(cluster.group_replicas["n1:1"].replica), number
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("last")
        assert cluster.same("n0:1", "n1:1")
        for name in ("n0:1", "n1:1"):
            assert await is_same_member_after_start(cluster, name)

    members.play(tmp_path, 2, scenario)


def sequences_written_twice(local: replica.Replica) -> set[int]:
    """Find the sequences with more than one entry in the generation in force."""
    records = data_file.scan((local.storage.current.generation_folder() / "journal.dat").read_bytes()).records
    payloads = [codec.untagged(record.payload) for record in records]
    counts = collections.Counter(value.sequence for value in payloads if isinstance(value, log_records.Entry))
    return {sequence for sequence, count in counts.items() if count > 1}


async def is_same_member_after_start(cluster: members.Members, name: str) -> bool:
    """Whether a process that starts on a member's disk loads the same log as that member."""
    running = cluster.group_replicas[name].replica
    reopened = replica.Replica(running.environment, running.folder, running.group_id, control_state.ControlState)
    await reopened.open()
    return (reopened.last(), reopened.log.entries) == (running.last(), running.log.entries)


@pytest.mark.parametrize("fault", ["full", "stalled"])
def test_a_primary_whose_disk_fails_steps_aside_and_comes_back_as_a_backup(tmp_path, fault):
    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        await cluster.until(lambda: cluster.group_replicas["n0:1"].status_reason == "serving")
        await cluster.write("a")
        local_disk = cluster.group_replicas["n0:1"].replica.environment.disk
        if fault == "full":
            local_disk.space = 0
        else:
            local_disk.stall()
        write = asyncio.ensure_future(cluster.write("b", within=2))
        took = await cluster.until(
            lambda: any(
                cluster.group_replicas[name].status_reason == "serving" and cluster.group_replicas[name].has_lease()
                for name in ("n1:1", "n2:1")
            )
        )
        assert took < 6, took
        leader = next(name for name in ("n1:1", "n2:1") if cluster.group_replicas[name].has_lease())
        await cluster.write("c", leader)
        assert isinstance((await asyncio.gather(write, return_exceptions=True))[0], Exception)
        local_disk.space = None
        local_disk.resume()
        await cluster.until(lambda: "n0:1" in {backup.address for backup in cluster.register.standing().backups}, 20)
        await cluster.write("d", leader)
        assert cluster.same(*cluster.names)
        assert await is_same_member_after_start(cluster, "n0:1")

    members.play(tmp_path, 3, scenario, members=3, copies=2, goal=3)


def test_a_primary_with_a_hanging_disk_stops_renewing_its_lease(tmp_path):
    """No ballot can replace it while its lease is valid: it has to let the lease expire by itself."""

    async def scenario(cluster: members.Members) -> None:
        cluster.run(*cluster.names)
        primary = cluster.group_replicas["n0:1"]
        await cluster.until(lambda: primary.status_reason == "serving")
        primary.replica.environment.disk.stall()
        cluster.register.refusing = True
        write = asyncio.ensure_future(cluster.write("b", within=1))
        await cluster.until(lambda: primary.has_lease() and primary.replica.storage.write_started is not None)
        assert await cluster.until(lambda: not primary.has_lease()) < 4
        await clock.sleep(clock.seconds(5))
        assert not primary.has_lease()
        primary.replica.environment.disk.resume()
        cluster.register.refusing = False
        await asyncio.gather(write, return_exceptions=True)
        await cluster.until(
            lambda: any(
                member.has_lease() and member.status_reason == "serving" for member in cluster.group_replicas.values()
            ),
            20,
        )

    members.play(tmp_path, 2, scenario)


@pytest.mark.parametrize("delay", [0.002, 0.3])
def test_disk_and_start_follow_the_state_and_not_the_number_of_changes(tmp_path, delay):
    async def scenario() -> None:
        local_disk = disk.SimDisk(tmp_path, random.Random(1))
        local, max_bytes = make_replica(local_disk), 0
        await local.open()
        snapshot_task = asyncio.ensure_future(local.snapshotter.run())
        local_disk.delay = delay
        for number in range(2000):
            await local.append(entries_after(local, 1, f"holder {number}"))
            local.begin_snapshot()
            await asyncio.sleep(1)
            used = sum(path.stat().st_size for path in tmp_path.rglob("*") if path.is_file())
            max_bytes = max(max_bytes, used)
        assert len(local.state_machine.snapshot()) < 500
        assert max_bytes < 700_000 and len(local.log.entries) < 2 * snapshotting.EARLY_COMPACT_ENTRIES
        snapshot_task.cancel()

    run_simulated(scenario())


def has_position(local: replica.Replica, position: log_records.LogPosition) -> bool:
    """Whether a replica holds the log up to a position."""
    if local.log.snapshot.sequence > position.sequence:
        return True
    return local.digest_at(position.sequence) == position.digest


class ProcessEnded(Exception):
    """The process was killed or the machine lost power."""


class EndingDisk(disk.SimDisk):
    """A disk whose process ends at a given sync, just before or after it."""

    def __init__(self, folder, chance: random.Random, end_at: int, before: bool):
        super().__init__(folder, chance)
        self.end_at = end_at
        self.before = before

    def synchronise(self, path) -> None:
        """Sync, or end the process at the configured sync."""
        ending = self.end_at and self.counts["syncs"] + 1 >= self.end_at
        if ending and self.before:
            raise ProcessEnded
        super().synchronise(path)
        if ending:
            raise ProcessEnded


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("before", [False, True])
def test_an_end_at_any_sync_of_appends_snapshots_and_repairs_keeps_what_was_acknowledged(
    tmp_path, monkeypatch, power, before
):
    monkeypatch.setattr(snapshotting, "COMPACT_ENTRIES", 4)

    async def run_member(
        local: replica.Replica, peer: replica.Replica, acknowledged: list[log_records.LogPosition]
    ) -> None:
        """Run typical steps of a member; a position counts as acknowledged once the step that reaches it returned."""
        await local.persist_record(replica_set.ReplicaSet(0, 1, replica_set.ReplicaId("a:1", local.identity), ()))
        for count in (1, 3, 2):
            await local.append(entries_after(local, count, "a:1"))
            acknowledged.append(local.last())
        await local.compact()
        await local.append(entries_after(local, 2, "b:1"))
        acknowledged.append(local.last())
        await local.append(entries_after(local, 1, "never acknowledged"))
        goal = peer.last()
        await local.begin_repair(log_records.RepairGoal(goal.sequence, goal.digest))
        await local.repair(peer.log.snapshot.sequence, peer.log.snapshot, ())
        for entry in peer.log.entries:
            await local.repair(local.last().sequence, None, (entry,))
        acknowledged.append(local.last())
        await local.append(entries_after(local, 2, "c:1"))
        acknowledged.append(local.last())
        await local.compact()

    async def scenario(end_at: int) -> bool:
        folder = tmp_path / str(end_at)
        peer = make_replica(disk.SimDisk(folder / "other", random.Random(2)))
        await peer.open()
        for count, holder in ((1, "a:1"), (3, "a:1"), (2, "a:1"), (2, "b:1")):
            await peer.append(entries_after(peer, count, holder))
            if count == 3:
                await peer.compact()
        await peer.append(entries_after(peer, 3, "other", epoch=2))
        local_disk = EndingDisk(folder / "one", random.Random(end_at), 0, before)
        local, acknowledged = make_replica(local_disk), []
        await local.open()
        local_disk.end_at = local_disk.counts["syncs"] + end_at
        ended = False
        try:
            await run_member(local, peer, acknowledged)
        except ProcessEnded:
            ended = True
        local_disk.end_at = 0
        if power:
            local_disk.power_loss()
        reopened = make_replica(local_disk)
        await reopened.open()
        assert reopened.identity == local.identity and reopened.condition is not data_file.Condition.DAMAGED
        acknowledged_position = acknowledged[-1] if acknowledged else log_records.LogPosition(0, log_records.NO_DIGEST)
        assert reopened.is_incomplete() or has_position(reopened, acknowledged_position), (
            end_at,
            reopened.last(),
            acknowledged_position,
        )
        blank = make_replica(disk.SimDisk(folder / "fresh", random.Random(3)))
        await blank.open()
        await blank.repair(reopened.log.snapshot.sequence, reopened.log.snapshot, tuple(reopened.log.entries))
        assert blank.state_machine.snapshot() == reopened.state_machine.snapshot()
        return ended

    async def all_scenarios() -> None:
        count = 1
        while await scenario(count):
            count += 1
        assert count > 50, count

    run_simulated(all_scenarios())


def test_of_two_entries_with_one_number_the_later_one_counts(tmp_path):
    """Earlier versions wrote both if the caller of the first write was cancelled; only the second was acknowledged."""

    async def scenario() -> None:
        local = make_replica(disk.SimDisk(tmp_path, random.Random(1)))
        await local.open()
        await local.append(entries_after(local, 3, "a:1"))
        await local.write_records(*entries_after(local, 2, "cancelled"))
        await local.append(entries_after(local, 1, "b:1", epoch=2))
        assert await is_same_after_start(local)
        await local.write_records(*entries_after(local, 2, "cancelled"))
        reopened = make_replica(local.environment.disk)
        await reopened.open()
        assert reopened.last().sequence == 6 and len(reopened.log.digests) == len(reopened.log.entries) == 6

    run_simulated(scenario())
