"""Memory use of a start: reading a replica must not take a multiple of the memory of its state."""

import pathlib
import random
import tracemalloc

import aspencroft.simulation.disk as sim_disk
import aspencroft.simulation.loop as sim_loop
from aspencroft.replication import log_records, replica
from aspencroft.runtime import clock, environment
from aspencroft.sessions import entry, lane_sessions, messages
from aspencroft.transport import codec

TURNS, INPUT_BYTES = 400, 14_000
MAX_STATE_FACTOR = 2.3
"""The state and one complete copy of the snapshot while it is read, with some room for objects."""


def make_replica(folder: pathlib.Path) -> replica.Replica:
    """Make a replica of a session group on a simulated disk."""
    disk = sim_disk.SimDisk(folder, random.Random(1))
    disk.delay = 0
    node_environment = environment.Environment(None, disk, None, random.Random(2), None)
    return replica.Replica(node_environment, folder / "group", 1, lane_sessions.SessionState)


async def append_turn(local: replica.Replica, number: int) -> None:
    """Append a retained turn, the only one of its program."""
    attempt, now = f"attempt-{number}", clock.seconds(9)
    begin = entry.BeginTurn(
        f"program-{number}", "", attempt, "", 10, 1000, True, clock.seconds(60), clock.seconds(3), "edge", "", ()
    )
    body = random.Random(number).randbytes(INPUT_BYTES)
    end = entry.EndTurn(f"program-{number}", "", attempt, messages.DONE, body, b"out", 7, "worker")
    for command in (begin, end):
        events, _ = local.state_machine.decide(command, now, 1)
        last_sequence = local.last().sequence
        numbered = enumerate(events, 1)
        await local.append(
            tuple(log_records.Entry(1, last_sequence + offset, codec.tagged(event)) for offset, event in numbered)
        )


def test_a_start_takes_little_more_memory_than_the_state_and_one_copy_of_it(tmp_path):
    async def fill() -> None:
        local = make_replica(tmp_path)
        await local.open()
        for number in range(TURNS):
            await append_turn(local, number)
        schedule = local.snapshotter.schedule
        if schedule.is_longer_than(local.log, local.state_machine.size(), 1, 1):
            schedule.early_compact_at = schedule.retry_at = clock.ZERO
            await local.compact()

    async def start() -> tuple[int, int]:
        local = make_replica(tmp_path)
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        await local.open()
        _, peak = tracemalloc.get_traced_memory()
        return peak - before, local.state_machine.payload_bytes()

    sim_loop.SimLoop().run_until_complete(fill())
    tracemalloc.start()
    try:
        peak, state_bytes = sim_loop.SimLoop().run_until_complete(start())
    finally:
        tracemalloc.stop()
    assert state_bytes >= TURNS * INPUT_BYTES
    assert peak <= MAX_STATE_FACTOR * state_bytes, f"{peak / state_bytes:.2f} times"
