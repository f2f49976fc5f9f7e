"""A replica whose writes are cancelled, refused or hang: its disk and its memory never differ."""

import asyncio
import errno
import random

import pytest

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set
from aspencroft.replication import replica
from aspencroft.runtime import clock, environment
from aspencroft.simulation import disk, loop, members
from aspencroft.storage import data_file
from aspencroft.transport import codec


def made(machine: disk.SimDisk) -> replica.Replica:
    """The control group's replica on a disk."""
    around = environment.Environment(None, machine, None, machine.chance, None)
    return replica.Replica(around, machine.folder / "a", 0, control_state.ControlState)


def entries(one: replica.Replica, count: int, holder: str, epoch: int = 1) -> tuple[replica.Entry, ...]:
    """Entries that follow the last one."""
    return tuple(
        replica.Entry(
            epoch,
            one.last().sequence + number,
            codec.tagged(control_state.RoleAcquired("duty", number, holder, 1)),
        )
        for number in range(1, count + 1)
    )


async def same_after_start(one: replica.Replica) -> bool:
    """Whether a process that starts on this disk holds what this one holds."""
    again = made(one.environment.disk)
    await again.open()
    return (again.last(), again.state_machine.snapshot(), again.entries) == (
        one.last(),
        one.state_machine.snapshot(),
        one.entries,
    )


def run(scene) -> None:
    """Run a coroutine in simulated time."""
    with asyncio.Runner(loop_factory=loop.SimLoop) as runner:
        runner.run(scene)


def test_an_append_that_is_cancelled_at_any_moment_is_whole_in_memory_or_not_on_the_disk(tmp_path):
    async def scene(after: float) -> bool:
        machine = disk.SimDisk(tmp_path / str(after), random.Random(1))
        one = made(machine)
        await one.open()
        await one.append(entries(one, 2, "a:1"))
        machine.delay = 0.02
        task = asyncio.ensure_future(one.append(entries(one, 2, "b:1")))
        await asyncio.sleep(after)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        first = one.last().sequence
        await one.append(entries(one, 1, "c:1", epoch=2))
        assert await same_after_start(one), after
        return first == 4

    taken = []

    async def scenes() -> None:
        taken.extend([await scene(after / 1000) for after in range(0, 40, 2)])

    run(scenes())
    assert any(taken)


def test_a_repair_that_the_disk_refuses_leaves_the_copy_as_it_was(tmp_path):
    async def scene(space: int) -> bool:
        machine = disk.SimDisk(tmp_path / str(space), random.Random(1))
        one, other = made(machine), made(disk.SimDisk(tmp_path / f"{space} other", random.Random(2)))
        await one.open()
        await other.open()
        await one.append(entries(one, 3, "a:1"))
        await other.append(entries(other, 8, "b:1"))
        before = one.last(), one.state_machine.snapshot()
        machine.space = space
        refused = False
        try:
            await one.repair(0, None, tuple(other.entries))
        except OSError as error:
            refused = True
            assert error.errno == errno.ENOSPC and (one.last(), one.state_machine.snapshot()) == before
        machine.space = None
        assert await same_after_start(one)
        await one.repair(0, None, tuple(other.entries))
        assert one.last() == other.last() and await same_after_start(one)
        return refused

    async def scenes() -> None:
        refused = [await scene(space) for space in range(0, 5200, 150)]
        assert refused[0] and not refused[-1]

    run(scenes())


def test_a_snapshot_that_the_disk_refuses_is_tried_again_later_and_loses_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_ENTRIES", 10)

    async def scene(space: int) -> None:
        machine = disk.SimDisk(tmp_path / str(space), random.Random(1))
        one = made(machine)
        await one.open()
        drawing = asyncio.ensure_future(one.write_snapshots())
        await one.append(entries(one, 12, "a:1"))
        machine.space = space
        assert one.begin_snapshot()
        await asyncio.sleep(1)
        assert not one.begin_snapshot() or one.snapshot.sequence
        machine.space = None
        await one.append(entries(one, 3, "b:1"))
        await asyncio.sleep(2)
        one.begin_snapshot()
        await asyncio.sleep(1)
        assert one.snapshot.sequence and await same_after_start(one)
        assert len(list((machine.folder / "a").glob("generation-*"))) == 1
        drawing.cancel()

    async def scenes() -> None:
        for space in range(0, 1600, 100):
            await scene(space)

    run(scenes())


def test_a_record_that_the_disk_refuses_is_not_held(tmp_path):
    async def scene() -> None:
        machine = disk.SimDisk(tmp_path, random.Random(1))
        one = made(machine)
        await one.open()
        machine.failing_sync = True
        record = replica_set.ReplicaSet(0, 3, replica_set.ReplicaId("a:1", one.identity), ())
        with pytest.raises(OSError, match="error"):
            await one.persist_record(record)
        assert one.record is None
        machine.failing_sync = False
        again = made(machine)
        await again.open()
        await one.persist_record(record)
        again = made(machine)
        await again.open()
        assert again.record == record

    run(scene())


def test_a_backup_whose_handler_is_cancelled_mid_write_never_holds_an_entry_twice(tmp_path):
    """The connection of a primary breaks while the backup's disk writes; the next primary sends other entries."""

    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        machine = those.group_replicas["n1:1"].replica.environment.disk
        for number in range(20):
            machine.delay = 0.05
            writing = asyncio.ensure_future(those.write(f"s{number}"))
            await clock.sleep(clock.seconds(0.004 * number))
            for task in list(those.handlers):
                task.cancel()
            await asyncio.gather(writing, return_exceptions=True)
            machine.delay = 0.002
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        await those.write("last")
        assert those.same("n0:1", "n1:1")
        for name in ("n0:1", "n1:1"):
            assert await same_copy_after_start(those, name)

    members.play(tmp_path, 2, acts)


async def same_copy_after_start(those: members.Members, name: str) -> bool:
    """Whether a process that starts on a member's disk holds what that member holds."""
    held = those.group_replicas[name].replica
    again = replica.Replica(held.environment, held.folder, held.group_id, control_state.ControlState)
    await again.open()
    return (again.last(), again.entries) == (held.last(), held.entries)


@pytest.mark.parametrize("trouble", ["full", "stalled"])
def test_a_primary_whose_disk_fails_steps_aside_and_comes_back_as_a_backup(tmp_path, trouble):
    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        await those.until(lambda: those.group_replicas["n0:1"].status_reason == "serving")
        await those.write("a")
        machine = those.group_replicas["n0:1"].replica.environment.disk
        if trouble == "full":
            machine.space = 0
        else:
            machine.stall()
        refused = asyncio.ensure_future(those.write("b", within=2))
        took = await those.until(
            lambda: any(
                those.group_replicas[name].status_reason == "serving" and those.group_replicas[name].has_lease()
                for name in ("n1:1", "n2:1")
            )
        )
        assert took < 6, took
        leader = next(name for name in ("n1:1", "n2:1") if those.group_replicas[name].has_lease())
        await those.write("c", leader)
        assert isinstance((await asyncio.gather(refused, return_exceptions=True))[0], Exception)
        machine.space = None
        machine.resume()
        await those.until(lambda: "n0:1" in {one.address for one in those.register.standing().backups}, 20)
        await those.write("d", leader)
        assert those.same(*those.names)
        assert await same_copy_after_start(those, "n0:1")

    members.play(tmp_path, 3, acts, members=3, copies=2, goal=3)


def test_a_primary_with_a_hanging_disk_stops_renewing_its_lease(tmp_path):
    """No ballot takes its place while its lease stands: it has to let the lease run out by itself."""

    async def acts(those: members.Members) -> None:
        those.run(*those.names)
        own = those.group_replicas["n0:1"]
        await those.until(lambda: own.status_reason == "serving")
        own.replica.environment.disk.stall()
        those.register.refusing = True
        hanging = asyncio.ensure_future(those.write("b", within=1))
        await those.until(lambda: own.has_lease() and own.replica.write_began is not None)
        assert await those.until(lambda: not own.has_lease()) < 4
        await clock.sleep(clock.seconds(5))
        assert not own.has_lease()
        own.replica.environment.disk.resume()
        those.register.refusing = False
        await asyncio.gather(hanging, return_exceptions=True)
        await those.until(
            lambda: any(one.has_lease() and one.status_reason == "serving" for one in those.group_replicas.values()), 20
        )

    members.play(tmp_path, 2, acts)


@pytest.mark.parametrize("delay", [0.002, 0.3])
def test_disk_and_start_follow_the_state_and_not_the_number_of_changes(tmp_path, delay):
    async def scene() -> None:
        machine = disk.SimDisk(tmp_path, random.Random(1))
        one, most = made(machine), 0
        await one.open()
        drawing = asyncio.ensure_future(one.write_snapshots())
        machine.delay = delay
        for number in range(2000):
            await one.append(entries(one, 1, f"holder {number}"))
            one.begin_snapshot()
            await asyncio.sleep(1)
            used = sum(path.stat().st_size for path in tmp_path.rglob("*") if path.is_file())
            most = max(most, used)
        assert len(one.state_machine.snapshot()) < 500
        assert most < 700_000 and len(one.entries) < 2 * replica.RESTED_ENTRIES
        drawing.cancel()

    run(scene())


def holds(one: replica.Replica, mark: replica.LogPosition) -> bool:
    """Whether a copy holds all up to a mark."""
    if one.snapshot.sequence > mark.sequence:
        return True
    return one.digest_at(mark.sequence) == mark.digest


class Ended(Exception):
    """The process or the machine is gone."""


class EndingDisk(disk.SimDisk):
    """A disk whose machine goes off at a sync, before or behind it."""

    def __init__(self, folder, chance: random.Random, end_at: int, before: bool):
        super().__init__(folder, chance)
        self.end_at = end_at
        self.before = before

    def synchronise(self, path) -> None:
        """As on any disk, until the end."""
        ending = self.end_at and self.counts["syncs"] + 1 >= self.end_at
        if ending and self.before:
            raise Ended
        super().synchronise(path)
        if ending:
            raise Ended


@pytest.mark.parametrize("power", [False, True])
@pytest.mark.parametrize("before", [False, True])
def test_an_end_at_any_sync_of_appends_snapshots_and_repairs_keeps_what_was_acknowledged(
    tmp_path, monkeypatch, power, before
):
    monkeypatch.setattr(replica, "COMPACT_ENTRIES", 4)

    async def life(one: replica.Replica, other: replica.Replica, acknowledged: list[replica.LogPosition]) -> None:
        """Steps of a member's day; each acknowledged mark is noted once the step that ends with it came back."""
        await one.persist_record(replica_set.ReplicaSet(0, 1, replica_set.ReplicaId("a:1", one.identity), ()))
        for count in (1, 3, 2):
            await one.append(entries(one, count, "a:1"))
            acknowledged.append(one.last())
        await one.compact()
        await one.append(entries(one, 2, "b:1"))
        acknowledged.append(one.last())
        await one.append(entries(one, 1, "never acknowledged"))
        goal = other.last()
        await one.begin_repair(replica.RepairGoal(goal.sequence, goal.digest))
        await one.repair(other.snapshot.sequence, other.snapshot, ())
        for sent in other.entries:
            await one.repair(one.last().sequence, None, (sent,))
        acknowledged.append(one.last())
        await one.append(entries(one, 2, "c:1"))
        acknowledged.append(one.last())
        await one.compact()

    async def scene(end_at: int) -> bool:
        folder = tmp_path / str(end_at)
        other = made(disk.SimDisk(folder / "other", random.Random(2)))
        await other.open()
        for count, holder in ((1, "a:1"), (3, "a:1"), (2, "a:1"), (2, "b:1")):
            await other.append(entries(other, count, holder))
            if count == 3:
                await other.compact()
        await other.append(entries(other, 3, "other", epoch=2))
        machine = EndingDisk(folder / "one", random.Random(end_at), 0, before)
        one, acknowledged = made(machine), []
        await one.open()
        machine.end_at = machine.counts["syncs"] + end_at
        ended = False
        try:
            await life(one, other, acknowledged)
        except Ended:
            ended = True
        machine.end_at = 0
        if power:
            machine.power_loss()
        again = made(machine)
        await again.open()
        assert again.identity == one.identity and again.condition is not data_file.Condition.DAMAGED
        floor = acknowledged[-1] if acknowledged else replica.LogPosition(0, replica.NO_DIGEST)
        assert again.incomplete() or holds(again, floor), (end_at, again.last(), floor)
        fresh = made(disk.SimDisk(folder / "fresh", random.Random(3)))
        await fresh.open()
        await fresh.repair(again.snapshot.sequence, again.snapshot, tuple(again.entries))
        assert fresh.state_machine.snapshot() == again.state_machine.snapshot()
        return ended

    async def scenes() -> None:
        count = 1
        while await scene(count):
            count += 1
        assert count > 50, count

    run(scenes())


def test_of_two_entries_with_one_number_the_later_one_counts(tmp_path):
    """Earlier versions wrote both when the caller of the first write was cancelled.

    Only the second was acknowledged.
    """

    async def scene() -> None:
        one = made(disk.SimDisk(tmp_path, random.Random(1)))
        await one.open()
        await one.append(entries(one, 3, "a:1"))
        await one.write(*entries(one, 2, "cancelled"))
        await one.append(entries(one, 1, "b:1", epoch=2))
        assert await same_after_start(one)
        await one.write(*entries(one, 2, "cancelled"))
        again = made(one.environment.disk)
        await again.open()
        assert again.last().sequence == 6 and len(again.digests) == len(again.entries) == 6

    run(scene())
