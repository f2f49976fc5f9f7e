"""Test of what a start costs in memory: reading a copy must not take several times what it holds."""

import pathlib
import random
import tracemalloc

import aspencroft.simulation.disk as sim_disk
import aspencroft.simulation.loop as sim_loop
from aspencroft.replication import replica
from aspencroft.runtime import clock, environment
from aspencroft.sessions import entry, lane_sessions, messages
from aspencroft.transport import codec

TURNS, INPUT_BYTES = 400, 14_000
MOST_TIMES_HELD = 2.3
"""The state, and beside it one whole copy of the snapshot while it is read; a little for objects."""


def made(folder: pathlib.Path) -> replica.Replica:
    """A copy of a talk group over a simulated disk."""
    disk = sim_disk.SimDisk(folder, random.Random(1))
    disk.delay = 0
    around = environment.Environment(None, disk, None, random.Random(2), None)
    return replica.Replica(around, folder / "group", 1, lane_sessions.SessionState)


async def keep_turn(one: replica.Replica, number: int) -> None:
    """One kept turn of a program of its own."""
    attempt, now = f"attempt-{number}", clock.seconds(9)
    begin = entry.BeginTurn(
        f"program-{number}", "", attempt, "", 10, 1000, True, clock.seconds(60), clock.seconds(3), "edge", "", ()
    )
    body = random.Random(number).randbytes(INPUT_BYTES)
    end = entry.EndTurn(f"program-{number}", "", attempt, messages.DONE, body, b"out", 7, "worker")
    for command in (begin, end):
        events, _ = one.state_machine.decide(command, now, 1)
        place = one.last().sequence
        numbered = enumerate(events, 1)
        await one.append(tuple(replica.Entry(1, place + later, codec.tagged(event)) for later, event in numbered))


def test_a_start_takes_little_more_memory_than_the_state_and_one_copy_of_it(tmp_path):
    async def fill() -> None:
        one = made(tmp_path)
        await one.open()
        for number in range(TURNS):
            await keep_turn(one, number)
        while one.longer_than(1, 1):
            one.rest_end = one.next_snapshot = clock.ZERO
            await one.compact()
            break

    async def start() -> tuple[int, int]:
        one = made(tmp_path)
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        await one.open()
        _, peak = tracemalloc.get_traced_memory()
        return peak - before, one.state_machine.payload_bytes()

    sim_loop.SimLoop().run_until_complete(fill())
    tracemalloc.start()
    try:
        peak, held = sim_loop.SimLoop().run_until_complete(start())
    finally:
        tracemalloc.stop()
    assert held >= TURNS * INPUT_BYTES
    assert peak <= MOST_TIMES_HELD * held, f"{peak / held:.2f} times"
