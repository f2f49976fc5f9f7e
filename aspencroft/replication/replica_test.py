"""Tests of a replica's snapshots: bounded memory and disk use, concurrent appends, complete after any crash."""

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
from aspencroft.replication import log_records, replica, replica_log, snapshotting
from aspencroft.runtime import clock, environment
from aspencroft.sessions import entry, lane_sessions
from aspencroft.storage import store
from aspencroft.transport import codec

KEEP_TIME, TIMEOUT = clock.seconds(60), clock.seconds(3)
INPUT_BYTES = 1700


class PowerCut(Exception):
    """The machine lost power."""


class Disk(sim_disk.SimDisk):
    """A disk that records the peak size of its files, and loses power at a given sync."""

    def __init__(self, folder: pathlib.Path, chance: random.Random):
        super().__init__(folder, chance)
        self.peak = 0
        self.cut_at = -1

    def bytes(self) -> int:
        """The present size of all files."""
        return sum(path.stat().st_size for path in self.folder.rglob("*") if path.is_file())

    def synchronise(self, path: pathlib.Path) -> None:
        """Sync and record the peak: a new generation is complete at a sync, before the older one is removed."""
        super().synchronise(path)
        if path.name in (store.CURRENT + ".fresh", "journal.dat"):
            self.peak = max(self.peak, self.bytes())
        if self.cut_at >= 0 and self.counts["syncs"] >= self.cut_at:
            raise PowerCut


def make_replica(folder: pathlib.Path, disk: Disk) -> replica.Replica:
    """Make a replica of session group 1."""
    node_environment = environment.Environment(None, disk, None, disk.chance, None)
    return replica.Replica(node_environment, folder, 1, lane_sessions.SessionState)


async def append_command(local: replica.Replica, command, now: datetime.timedelta) -> None:
    """Have a replica's state machine decide a command and append the events, as a primary would."""
    events, _ = local.state_machine.decide(command, now, 1)
    last_sequence = local.last().sequence
    await local.append(
        tuple(
            log_records.Entry(1, last_sequence + number, codec.tagged(event)) for number, event in enumerate(events, 1)
        )
    )


async def append_turn(local: replica.Replica, number: int, now: datetime.timedelta, size: int = INPUT_BYTES) -> None:
    """Append a retained turn, one of a chain of ten."""
    program, previous = f"p{number // 10}", f"t{number - 1}" if number % 10 else ""
    await append_command(
        local,
        entry.BeginTurn(program, "", f"t{number}", previous, 10, 1000, True, KEEP_TIME, TIMEOUT, "e", "", ()),
        now,
    )
    body = number.to_bytes(4, "big") * (size // 4)
    await append_command(
        local, entry.EndTurn(program, "", f"t{number}", sessions_messages.DONE, body, b"out", 7, "w"), now
    )


async def append_turns(local: replica.Replica, numbers: range, now: datetime.timedelta = clock.seconds(9)) -> None:
    """Append many turns at the same time."""
    for number in numbers:
        await append_turn(local, number, now)


def run_simulated(coroutine) -> None:
    """Run a coroutine in simulated time."""
    sim_loop.SimLoop().run_until_complete(coroutine)


def has_same_state(local: replica.Replica, peer: replica.Replica) -> bool:
    """Whether two replicas have the same log position and state."""
    return (local.last(), local.state_machine.snapshot()) == (peer.last(), peer.state_machine.snapshot())


def test_many_turns_take_bounded_memory_and_disk_and_a_start_finds_them_all(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 200 << 10)
    monkeypatch.setattr(log_records, "STORED_CHUNK_BYTES", 64 << 10)

    async def scenario():
        disk = Disk(tmp_path, random.Random(1))
        disk.delay = 0
        local = make_replica(tmp_path / "a", disk)
        await local.open()
        now, peaks, max_entry_bytes, max_live_bytes, snapshot_sequences = clock.seconds(100), [], 0, 0, set()
        for second in range(240):
            for number in range(15):
                await append_turn(local, 15 * second + number, now)
                now += clock.seconds(1 / 15)
                max_entry_bytes = max(max_entry_bytes, local.log.entry_bytes)
            for command in local.state_machine.due(now, lambda edge: False):
                await append_command(local, command, now)
            await local.compact()
            live_bytes = local.state_machine.calls.payload_bytes()
            assert local.log.entry_bytes == sum(
                len(each.body) + replica_log.ENTRY_OVERHEAD_BYTES for each in local.log.entries
            )
            assert (
                local.log.entry_bytes < max(snapshotting.COMPACT_BYTES, local.log.snapshot_bytes // 2)
                or live_bytes < snapshotting.COMPACT_BYTES
            )
            assert local.log.snapshot_bytes == local.log.snapshot.size() and local.storage.snapshot_tail is None
            snapshot_sequences.add(local.log.snapshot.sequence)
            max_live_bytes = max(max_live_bytes, live_bytes)
            if second % 60 == 59:
                peaks.append(disk.peak)
                disk.peak = 0
        assert max_live_bytes < 85 * 15 * INPUT_BYTES and len(snapshot_sequences) > 10
        assert max_entry_bytes < 0.75 * max_live_bytes
        assert max(peaks) < 4.5 * max_live_bytes, (peaks, max_live_bytes)
        assert max(peaks[2:]) < 1.15 * peaks[1]
        assert len(list((tmp_path / "a").glob("generation-*"))) == 1
        reopened = make_replica(tmp_path / "a", disk)
        await reopened.open()
        assert reopened.identity == local.identity and has_same_state(local, reopened)
        assert (
            reopened.log.snapshot.body == local.log.snapshot.body
            and reopened.log.entries == local.log.entries
            and reopened.log.digests == local.log.digests
        )

    run_simulated(scenario())


def test_a_snapshot_shares_its_bytes_with_the_state_also_after_a_start(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 100 << 10)

    async def scenario():
        disk = Disk(tmp_path, random.Random(1))
        local = make_replica(tmp_path / "a", disk)
        await local.open()
        await append_turns(local, range(100))
        await local.compact()
        reopened = make_replica(tmp_path / "a", disk)
        await reopened.open()
        for each in (local, reopened):
            inputs = {id(kept.turn.input) for kept in each.state_machine.calls.history.retained.values()}
            assert len(inputs) == 100 and inputs <= {id(piece) for piece in each.log.snapshot.pieces}

    run_simulated(scenario())


def test_entries_that_come_while_a_snapshot_is_encoded_are_in_both_generations(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 50 << 10)
    monkeypatch.setattr(log_records, "STORED_CHUNK_BYTES", 8 << 10)
    monkeypatch.setattr(snapshotting, "PIECES_PER_YIELD", 4)

    async def scenario():
        disk = Disk(tmp_path, random.Random(2))
        local = make_replica(tmp_path / "a", disk)
        await local.open()
        snapshot_sequences, writes_during_snapshot = set(), 0
        snapshot_task = asyncio.get_running_loop().create_task(local.snapshotter.run())
        for number in range(300):
            await append_turn(local, number, clock.seconds(9))
            local.begin_snapshot()
            writes_during_snapshot += local.snapshotter.is_active
            snapshot_sequences.add(local.log.snapshot.sequence)
            if number % 60 == 59:
                reopened = make_replica(tmp_path / "a", disk)
                await reopened.open()
                assert (
                    has_same_state(local, reopened)
                    and reopened.log.entries[-len(local.log.entries) :] == local.log.entries
                )
        snapshot_task.cancel()
        assert writes_during_snapshot > 10 and len(snapshot_sequences) > 3 and len(local.log.entries) < 300

    run_simulated(scenario())


def test_entries_are_appended_while_a_snapshot_is_written_to_a_slow_disk(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 50 << 10)
    monkeypatch.setattr(log_records, "STORED_CHUNK_BYTES", 4 << 10)

    async def scenario():
        disk = Disk(tmp_path, random.Random(2))
        local = make_replica(tmp_path / "a", disk)
        await local.open()
        await append_turns(local, range(60))
        disk.delay = 0.1
        loop, longest_wait = asyncio.get_running_loop(), 0.0
        started_at = loop.time()
        snapshot_task = loop.create_task(local.compact())
        number = 60
        while not snapshot_task.done():
            before = loop.time()
            await append_command(
                local, entry.ClaimKey(f"k{number}", f"a{number}", b"", TIMEOUT, KEEP_TIME, "e"), clock.seconds(9)
            )
            longest_wait, number = max(longest_wait, loop.time() - before), number + 1
        assert loop.time() - started_at > 1.5 and longest_wait < 0.6 and number > 70

    run_simulated(scenario())


def test_a_replica_set_that_is_being_written_while_a_snapshot_is_begun_is_in_both_generations(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 10 << 10)

    async def scenario(pause: float):
        folder = tmp_path / str(pause)
        disk = Disk(folder, random.Random(2))
        disk.delay = 0.02
        local = make_replica(folder / "a", disk)
        await local.open()
        await local.persist_record(replica_set.ReplicaSet(1, 5, replica_set.ReplicaId("a", local.identity), ()))
        await append_turns(local, range(10))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                local.persist_record(replica_set.ReplicaSet(1, 6, replica_set.ReplicaId("a", local.identity), ()))
            )
            tasks.create_task(
                local.persist_record(replica_set.ReplicaSet(1, 7, replica_set.ReplicaId("a", local.identity), ()))
            )
            await asyncio.sleep(pause)
            assert local.begin_snapshot()
            await local.snapshotter.write_pending()
        assert local.log.snapshot.sequence == 20 and not local.log.entries
        reopened = make_replica(folder / "a", disk)
        await reopened.open()
        assert has_same_state(local, reopened) and reopened.record == local.record and local.record.epoch == 7

    for number in range(12):
        run_simulated(scenario(number / 200))


def test_a_replica_that_moved_on_since_it_was_compared_is_not_repaired_by_that(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 10 << 10)

    async def scenario():
        local = make_replica(tmp_path / "a", Disk(tmp_path, random.Random(2)))
        await local.open()
        await append_turns(local, range(10))
        through, before = local.log.entries[5].sequence, local.state_machine.snapshot()
        await local.compact()
        for wrong_sequence in (through, local.last().sequence + 1):
            with pytest.raises(result.RequestError):
                await local.repair(
                    wrong_sequence, None, (log_records.Entry(9, wrong_sequence + 1, codec.tagged(entry.FindTurn("x"))),)
                )
        assert local.state_machine.snapshot() == before and local.last().sequence == 20

    run_simulated(scenario())


def test_no_snapshot_is_taken_while_the_state_runs_ahead_of_the_log(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 1)

    async def scenario():
        local = make_replica(tmp_path / "a", Disk(tmp_path, random.Random(2)))
        await local.open()
        await append_turns(local, range(3))
        events, _ = local.state_machine.decide(
            entry.ClaimKey("k", "a", b"", TIMEOUT, KEEP_TIME, "e"), clock.seconds(9), 1
        )
        unwritten = log_records.Entry(1, local.last().sequence + 1, codec.tagged(events[0]))
        local.apply(unwritten, events[0])
        await local.compact()
        assert local.log.snapshot is log_records.EMPTY_SNAPSHOT
        await local.write_records(unwritten)
        await local.compact()
        assert local.log.snapshot is log_records.EMPTY_SNAPSHOT
        local.log.append(unwritten)
        await local.compact()
        assert local.log.snapshot.sequence == unwritten.sequence and not local.log.entries

    run_simulated(scenario())


def test_a_replica_that_is_repaired_while_its_snapshot_is_encoded_holds_what_it_was_repaired_to(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 10 << 10)
    monkeypatch.setattr(log_records, "STORED_CHUNK_BYTES", 4 << 10)

    async def scenario(pause: float, is_begun: bool):
        folder = tmp_path / f"{pause} {is_begun}"
        disk = Disk(folder, random.Random(3))
        local, peer = make_replica(folder / "a", disk), make_replica(folder / "b", disk)
        for each in (local, peer):
            await each.open()
        await append_turns(local, range(10))
        await append_turns(peer, range(1000, 1010))
        await peer.compact()
        await append_turns(peer, range(1010, 1012))
        repair = codec.unpack(
            replication_messages.Repair,
            codec.pack(
                replication_messages.Repair(
                    replica_set.ReplicaSet(1, 2, replica_set.ReplicaId("b", "b"), ()),
                    local.identity,
                    peer.log.snapshot.sequence,
                    peer.log.snapshot,
                    tuple(peer.log.entries),
                )
            ),
        )
        assert isinstance(repair.snapshot, log_records.Snapshot) and repair.snapshot.body == peer.log.snapshot.body
        async with asyncio.TaskGroup() as tasks:
            if is_begun:
                assert local.begin_snapshot()
            else:
                tasks.create_task(local.compact())
                await asyncio.sleep(pause)
            await local.repair(repair.keep_through, repair.snapshot, repair.entries)
        await local.snapshotter.write_pending()
        assert not local.snapshotter.is_active
        assert has_same_state(local, peer) and local.log.snapshot.body == peer.log.snapshot.body
        assert len(list((folder / "a").glob("generation-*"))) == 1
        reopened = make_replica(folder / "a", disk)
        await reopened.open()
        assert has_same_state(reopened, peer) and reopened.identity == local.identity

    run_simulated(scenario(0, True))
    for number in range(70):
        run_simulated(scenario(number / 2000, False))


def test_power_lost_at_any_sync_of_a_snapshot_loses_no_entry(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 50 << 10)
    monkeypatch.setattr(log_records, "STORED_CHUNK_BYTES", 8 << 10)

    async def scenario(syncs_later: int) -> bool:
        folder = tmp_path / str(syncs_later)
        disk = Disk(folder, random.Random(syncs_later))
        local = make_replica(folder / "a", disk)
        await local.open()
        await append_turns(local, range(40))
        await local.compact()
        assert local.log.snapshot.sequence
        await append_turns(local, range(40, 80))
        before = local.state_machine.snapshot()
        disk.cut_at = disk.counts["syncs"] + syncs_later
        try:
            await local.compact()
            lost_power = False
        except PowerCut:
            lost_power = True
        disk.cut_at = -1
        disk.power_loss()
        reopened = make_replica(folder / "a", disk)
        await reopened.open()
        assert (
            reopened.state_machine.snapshot() == before
            and reopened.last() == local.last()
            and reopened.identity == local.identity
        )
        await append_turns(reopened, range(80, 90))
        final = make_replica(folder / "a", disk)
        await final.open()
        assert has_same_state(reopened, final)
        return lost_power

    outcomes = []
    for syncs_later in itertools.count(1):
        attempt = scenario(syncs_later)
        outcomes.append(sim_loop.SimLoop().run_until_complete(attempt))
        if not outcomes[-1]:
            break
    assert len(outcomes) > 7


def test_a_snapshot_whose_end_the_disk_lost_is_no_snapshot(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshotting, "COMPACT_BYTES", 50 << 10)

    async def scenario():
        disk = Disk(tmp_path, random.Random(4))
        local = make_replica(tmp_path / "a", disk)
        await local.open()
        await local.persist_record(replica_set.ReplicaSet(1, 5, replica_set.ReplicaId("a", local.identity), ()))
        await append_turns(local, range(100))
        await local.compact()
        assert not local.log.entries and disk.lose_last() == 1
        reopened = make_replica(tmp_path / "a", disk)
        await reopened.open()
        assert (
            reopened.last() == log_records.LogPosition(0, log_records.NO_DIGEST) and reopened.state_machine.size() == 0
        )
        assert (reopened.identity, reopened.record) == (local.identity, local.record)
        snapshot, entries = local.log.read_after(reopened.last(), 1 << 20)
        await reopened.repair(snapshot.sequence, snapshot, entries)
        assert has_same_state(reopened, local)

    run_simulated(scenario())


def test_a_snapshot_in_one_piece_of_an_older_version_is_read(tmp_path):
    async def scenario():
        disk = Disk(tmp_path, random.Random(5))
        local = make_replica(tmp_path / "a", disk)
        await local.open()
        await append_turns(local, range(5))
        end = local.last()
        await local.write_records(log_records.Snapshot(1, end.sequence, end.digest, local.state_machine.snapshot()))
        reopened = make_replica(tmp_path / "a", disk)
        await reopened.open()
        assert (
            has_same_state(local, reopened)
            and not reopened.log.entries
            and reopened.log.snapshot.sequence == end.sequence
        )

    run_simulated(scenario())
