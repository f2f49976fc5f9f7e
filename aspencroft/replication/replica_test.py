"""A copy's snapshots: bounded in memory and on the disk, drawn while entries come in, whole after any loss of power."""

import asyncio
import datetime
import itertools
import pathlib
import random

import pytest

import aspencroft.replication.messages as replication_messages
import aspencroft.sessions.messages as sessions_messages
import aspencroft.simulation.disk as sim_disk
import aspencroft.simulation.loop as sim_loop
from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import replica
from aspencroft.runtime import clock, environment
from aspencroft.sessions import entry, lane_sessions
from aspencroft.storage import store
from aspencroft.transport import codec

KEEP, WITHIN = clock.seconds(60), clock.seconds(3)
INPUT = 1700


class PowerCut(Exception):
    """The machine is off."""


class Disk(sim_disk.SimDisk):
    """A disk that notes the most bytes its files ever took, and goes off at the work it is told to."""

    def __init__(self, folder: pathlib.Path, chance: random.Random):
        super().__init__(folder, chance)
        self.peak = 0
        self.cut_at = -1

    def bytes(self) -> int:
        """What all files take now."""
        return sum(path.stat().st_size for path in self.folder.rglob("*") if path.is_file())

    def synchronise(self, path: pathlib.Path) -> None:
        """As on any disk; generations are complete at a synchronisation, before the older one goes."""
        super().synchronise(path)
        if path.name in (store.CURRENT + ".fresh", "journal.dat"):
            self.peak = max(self.peak, self.bytes())
        if self.cut_at >= 0 and self.counts["syncs"] >= self.cut_at:
            raise PowerCut


def made(folder: pathlib.Path, disk: Disk) -> replica.Replica:
    """A copy of talk group 1."""
    around = environment.Environment(None, disk, None, disk.chance, None)
    return replica.Replica(around, folder, 1, lane_sessions.SessionState)


async def take(one: replica.Replica, command, now: datetime.timedelta) -> None:
    """Have a command decided by a copy's view and its events appended, as a primary would."""
    events, _ = one.state_machine.decide(command, now, 1)
    place = one.last().sequence
    await one.append(
        tuple(replica.Entry(1, place + number, codec.tagged(event)) for number, event in enumerate(events, 1))
    )


async def turn(one: replica.Replica, number: int, now: datetime.timedelta, size: int = INPUT) -> None:
    """A kept turn of a chain of ten."""
    program, previous = f"p{number // 10}", f"t{number - 1}" if number % 10 else ""
    await take(
        one,
        entry.BeginTurn(program, "", f"t{number}", previous, 10, 1000, True, KEEP, WITHIN, "e", "", ()),
        now,
    )
    given = number.to_bytes(4, "big") * (size // 4)
    await take(one, entry.EndTurn(program, "", f"t{number}", sessions_messages.DONE, given, b"out", 7, "w"), now)


async def fill(one: replica.Replica, numbers: range, now: datetime.timedelta = clock.seconds(9)) -> None:
    """Many turns at one moment."""
    for number in numbers:
        await turn(one, number, now)


def run(main) -> None:
    """Play a scene in simulated time."""
    sim_loop.SimLoop().run_until_complete(main)


def same(one: replica.Replica, other: replica.Replica) -> bool:
    """Whether two copies show the same."""
    return (one.last(), one.state_machine.snapshot()) == (other.last(), other.state_machine.snapshot())


def test_many_turns_take_bounded_memory_and_disk_and_a_start_finds_them_all(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 200 << 10)
    monkeypatch.setattr(replica, "PART", 64 << 10)

    async def scene():
        disk = Disk(tmp_path, random.Random(1))
        disk.delay = 0
        one = made(tmp_path / "a", disk)
        await one.open()
        now, peaks, most_held, most_live, pictures = clock.seconds(100), [], 0, 0, set()
        for second in range(240):
            for number in range(15):
                await turn(one, 15 * second + number, now)
                now += clock.seconds(1 / 15)
                most_held = max(most_held, one.held)
            for command in one.state_machine.due(now, lambda edge: False):
                await take(one, command, now)
            await one.compact()
            live = one.state_machine.calls.payload_bytes()
            assert one.held == sum(len(each.body) + replica.OF_AN_ENTRY for each in one.entries)
            assert one.held < max(replica.COMPACT_BYTES, one.snapshot_size // 2) or live < replica.COMPACT_BYTES
            assert one.snapshot_size == one.snapshot.size() and one.meanwhile is None
            pictures.add(one.snapshot.sequence)
            most_live = max(most_live, live)
            if second % 60 == 59:
                peaks.append(disk.peak)
                disk.peak = 0
        assert most_live < 85 * 15 * INPUT and len(pictures) > 10
        assert most_held < 0.75 * most_live
        assert max(peaks) < 4.5 * most_live, (peaks, most_live)
        assert max(peaks[2:]) < 1.15 * peaks[1]
        assert len(list((tmp_path / "a").glob("generation-*"))) == 1
        again = made(tmp_path / "a", disk)
        await again.open()
        assert again.identity == one.identity and same(one, again)
        assert (
            again.snapshot.body == one.snapshot.body and again.entries == one.entries and again.digests == one.digests
        )

    run(scene())


def test_a_picture_shares_its_bytes_with_the_view_also_after_a_start(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 100 << 10)

    async def scene():
        disk = Disk(tmp_path, random.Random(1))
        one = made(tmp_path / "a", disk)
        await one.open()
        await fill(one, range(100))
        await one.compact()
        again = made(tmp_path / "a", disk)
        await again.open()
        for each in (one, again):
            inputs = {id(kept.turn.input) for kept in each.state_machine.calls.history.retained.values()}
            assert len(inputs) == 100 and inputs <= {id(piece) for piece in each.snapshot.pieces}

    run(scene())


def test_entries_that_come_while_a_picture_is_drawn_are_in_both_generations(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 50 << 10)
    monkeypatch.setattr(replica, "PART", 8 << 10)
    monkeypatch.setattr(replica, "BREATH", 4)

    async def scene():
        disk = Disk(tmp_path, random.Random(2))
        one = made(tmp_path / "a", disk)
        await one.open()
        pictures, during = set(), 0
        drawing = asyncio.get_running_loop().create_task(one.write_snapshots())
        for number in range(300):
            await turn(one, number, clock.seconds(9))
            one.begin_snapshot()
            during += one.drawing
            pictures.add(one.snapshot.sequence)
            if number % 60 == 59:
                again = made(tmp_path / "a", disk)
                await again.open()
                assert same(one, again) and again.entries[-len(one.entries) :] == one.entries
        drawing.cancel()
        assert during > 10 and len(pictures) > 3 and len(one.entries) < 300

    run(scene())


def test_entries_are_taken_while_a_picture_is_written_to_a_slow_disk(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 50 << 10)
    monkeypatch.setattr(replica, "PART", 4 << 10)

    async def scene():
        disk = Disk(tmp_path, random.Random(2))
        one = made(tmp_path / "a", disk)
        await one.open()
        await fill(one, range(60))
        disk.delay = 0.1
        loop, longest = asyncio.get_running_loop(), 0.0
        start = loop.time()
        drawing = loop.create_task(one.compact())
        number = 60
        while not drawing.done():
            before = loop.time()
            await take(one, entry.ClaimKey(f"k{number}", f"a{number}", b"", WITHIN, KEEP, "e"), clock.seconds(9))
            longest, number = max(longest, loop.time() - before), number + 1
        assert loop.time() - start > 1.5 and longest < 0.6 and number > 70

    run(scene())


def test_a_record_of_holders_under_the_pen_while_a_picture_is_begun_is_in_both_generations(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 10 << 10)

    async def scene(pause: float):
        folder = tmp_path / str(pause)
        disk = Disk(folder, random.Random(2))
        disk.delay = 0.02
        one = made(folder / "a", disk)
        await one.open()
        await one.persist_record(replica_set.ReplicaSet(1, 5, replica_set.ReplicaId("a", one.identity), ()))
        await fill(one, range(10))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                one.persist_record(replica_set.ReplicaSet(1, 6, replica_set.ReplicaId("a", one.identity), ()))
            )
            tasks.create_task(
                one.persist_record(replica_set.ReplicaSet(1, 7, replica_set.ReplicaId("a", one.identity), ()))
            )
            await asyncio.sleep(pause)
            assert one.begin_snapshot()
            await one.write_snapshot()
        assert one.snapshot.sequence == 20 and not one.entries
        again = made(folder / "a", disk)
        await again.open()
        assert same(one, again) and again.record == one.record and one.record.epoch == 7

    for number in range(12):
        run(scene(number / 200))


def test_a_copy_that_moved_on_since_it_was_compared_is_not_mended_by_that(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 10 << 10)

    async def scene():
        one = made(tmp_path / "a", Disk(tmp_path, random.Random(2)))
        await one.open()
        await fill(one, range(10))
        through, before = one.entries[5].sequence, one.state_machine.snapshot()
        await one.compact()
        for wrong in (through, one.last().sequence + 1):
            with pytest.raises(result.RequestError):
                await one.repair(wrong, None, (replica.Entry(9, wrong + 1, codec.tagged(entry.FindTurn("x"))),))
        assert one.state_machine.snapshot() == before and one.last().sequence == 20

    run(scene())


def test_no_picture_is_drawn_while_the_view_runs_ahead_of_the_entries(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 1)

    async def scene():
        one = made(tmp_path / "a", Disk(tmp_path, random.Random(2)))
        await one.open()
        await fill(one, range(3))
        events, _ = one.state_machine.decide(entry.ClaimKey("k", "a", b"", WITHIN, KEEP, "e"), clock.seconds(9), 1)
        ahead = replica.Entry(1, one.last().sequence + 1, codec.tagged(events[0]))
        one.apply(ahead, events[0])
        await one.compact()
        assert one.snapshot is replica.EMPTY_SNAPSHOT
        await one.write(ahead)
        await one.compact()
        assert one.snapshot is replica.EMPTY_SNAPSHOT
        one.remember(ahead)
        await one.compact()
        assert one.snapshot.sequence == ahead.sequence and not one.entries

    run(scene())


def test_a_copy_that_is_mended_while_its_picture_is_drawn_holds_what_it_was_mended_to(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 10 << 10)
    monkeypatch.setattr(replica, "PART", 4 << 10)

    async def scene(pause: float, begun: bool):
        folder = tmp_path / f"{pause} {begun}"
        disk = Disk(folder, random.Random(3))
        one, other = made(folder / "a", disk), made(folder / "b", disk)
        for each in (one, other):
            await each.open()
        await fill(one, range(10))
        await fill(other, range(1000, 1010))
        await other.compact()
        await fill(other, range(1010, 1012))
        sent = codec.unpack(
            replication_messages.Repair,
            codec.pack(
                replication_messages.Repair(
                    replica_set.ReplicaSet(1, 2, replica_set.ReplicaId("b", "b"), ()),
                    one.identity,
                    other.snapshot.sequence,
                    other.snapshot,
                    tuple(other.entries),
                )
            ),
        )
        assert isinstance(sent.snapshot, replica.Snapshot) and sent.snapshot.body == other.snapshot.body
        async with asyncio.TaskGroup() as tasks:
            if begun:
                assert one.begin_snapshot()
            else:
                tasks.create_task(one.compact())
                await asyncio.sleep(pause)
            await one.repair(sent.through, sent.snapshot, sent.entries)
        await one.write_snapshot()
        assert not one.drawing
        assert same(one, other) and one.snapshot.body == other.snapshot.body
        assert len(list((folder / "a").glob("generation-*"))) == 1
        again = made(folder / "a", disk)
        await again.open()
        assert same(again, other) and again.identity == one.identity

    run(scene(0, True))
    for number in range(70):
        run(scene(number / 2000, False))


def test_power_lost_at_any_sync_of_a_picture_loses_no_entry(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 50 << 10)
    monkeypatch.setattr(replica, "PART", 8 << 10)

    async def scene(later: int) -> bool:
        folder = tmp_path / str(later)
        disk = Disk(folder, random.Random(later))
        one = made(folder / "a", disk)
        await one.open()
        await fill(one, range(40))
        await one.compact()
        assert one.snapshot.sequence
        await fill(one, range(40, 80))
        before = one.state_machine.snapshot()
        disk.cut_at = disk.counts["syncs"] + later
        try:
            await one.compact()
            cut = False
        except PowerCut:
            cut = True
        disk.cut_at = -1
        disk.power_loss()
        again = made(folder / "a", disk)
        await again.open()
        assert (
            again.state_machine.snapshot() == before and again.last() == one.last() and again.identity == one.identity
        )
        await fill(again, range(80, 90))
        last = made(folder / "a", disk)
        await last.open()
        assert same(again, last)
        return cut

    cuts = []
    for later in itertools.count(1):
        run_it = scene(later)
        cuts.append(sim_loop.SimLoop().run_until_complete(run_it))
        if not cuts[-1]:
            break
    assert len(cuts) > 7


def test_a_picture_whose_end_the_disk_lost_is_no_picture(tmp_path, monkeypatch):
    monkeypatch.setattr(replica, "COMPACT_BYTES", 50 << 10)

    async def scene():
        disk = Disk(tmp_path, random.Random(4))
        one = made(tmp_path / "a", disk)
        await one.open()
        await one.persist_record(replica_set.ReplicaSet(1, 5, replica_set.ReplicaId("a", one.identity), ()))
        await fill(one, range(100))
        await one.compact()
        assert not one.entries and disk.lose_last() == 1
        again = made(tmp_path / "a", disk)
        await again.open()
        assert again.last() == replica.LogPosition(0, replica.NO_DIGEST) and again.state_machine.size() == 0
        assert (again.identity, again.record) == (one.identity, one.record)
        snapshot, entries = one.ahead_of(again.last(), 1 << 20)
        await again.repair(snapshot.sequence, snapshot, entries)
        assert same(again, one)

    run(scene())


def test_a_whole_picture_of_an_older_version_is_read(tmp_path):
    async def scene():
        disk = Disk(tmp_path, random.Random(5))
        one = made(tmp_path / "a", disk)
        await one.open()
        await fill(one, range(5))
        end = one.last()
        await one.write(replica.Snapshot(1, end.sequence, end.digest, one.state_machine.snapshot()))
        again = made(tmp_path / "a", disk)
        await again.open()
        assert same(one, again) and not again.entries and again.snapshot.sequence == end.sequence

    run(scene())


@pytest.mark.parametrize("place", range(4))
def test_the_chained_digest_tells_any_difference(place):
    one = [replica.Entry(1, number, bytes([number]) * 20) for number in range(1, 5)]
    other = [replica.Entry(2, each.sequence, each.body) if number == place else each for number, each in enumerate(one)]
    third = [
        replica.Entry(1, each.sequence, each.body[:-1] + b"x") if number == place else each
        for number, each in enumerate(one)
    ]
    ends = set()
    for entries in (one, other, third, one[::-1], one[1:]):
        digest = replica.NO_DIGEST
        for each in entries:
            digest = replica.digest_after(digest, each)
        ends.add(digest)
        assert len(digest) == len(replica.NO_DIGEST)
    assert len(ends) == 5
