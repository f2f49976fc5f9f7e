"""Tests of ``aspencroft.sessions.retention``: the group's own time, retention across takeovers, the payload limit."""

import random
import tracemalloc

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, lane_sessions, retention
from aspencroft.sessions.call_sessions_test import (
    INPUT,
    KEEP,
    START,
    begin,
    claim,
    end,
    execute,
    rejection_of,
    run_due_commands,
)


def restored_successor(calls: call_sessions.CallSessions) -> call_sessions.CallSessions:
    """Return the state of the next primary, restored from a snapshot as it comes from a disk or another member."""
    state = lane_sessions.SessionState()
    state.calls = calls
    successor = lane_sessions.SessionState()
    successor.restore(state.snapshot())
    return successor.calls


def test_takeovers_do_not_restart_the_retention_of_history():
    calls, now = call_sessions.CallSessions(), START
    execute(calls, begin("a"), now)
    execute(calls, end("a"), now)
    for _ in range(4):
        for _ in range(200):
            now += clock.seconds(0.1)
            run_due_commands(calls, now)
        calls = restored_successor(calls)
    assert "a" not in calls.history.retained, "retained for 80 s, its retention period is 70 s"


def test_no_turn_is_forgotten_early_however_often_the_primary_changes_or_its_clock_is_late():
    for seed in range(40):
        rng, calls, now, ended = random.Random(seed), call_sessions.CallSessions(), START, {}
        for number in range(60):
            name = f"t{number}"
            execute(calls, begin(name), now)
            execute(calls, end(name), now)
            ended[name] = now
            now += clock.seconds(rng.choice([0.05, 0.4, 1.9, 2.0, 2.1, 7.0]))
            if rng.random() < 0.8:
                run_due_commands(calls, now)
            for attempt, ended_at in ended.items():
                assert attempt in calls.history.retained or now - ended_at > KEEP, (seed, attempt)
            if rng.random() < 0.3:
                calls = restored_successor(calls)


def test_a_repeated_or_early_tick_counts_once():
    calls = call_sessions.CallSessions()
    execute(calls, begin("a"), START)
    execute(calls, end("a"), START)
    assert calls.due(START, lambda edge: False) == ()
    late = START + retention.TICK_SPAN * 3
    for _ in range(3):
        execute(calls, entry.Tick(retention.TICK_SPAN), late)
    assert calls.group_clock.time == retention.TICK_SPAN
    execute(calls, entry.Tick(retention.TICK_SPAN), late + retention.TICK_SPAN / 2)
    assert calls.group_clock.time == retention.TICK_SPAN


def test_no_tick_is_written_while_no_turn_is_kept():
    calls = call_sessions.CallSessions()
    execute(calls, claim("a"), START)
    for second in range(20):
        assert not any(
            isinstance(command, entry.Tick) for command in calls.due(START + clock.seconds(second), lambda edge: False)
        )


def test_near_its_payload_limit_a_group_begins_no_chain_but_continues_existing_ones():
    calls = call_sessions.CallSessions()
    execute(calls, begin("a"), START)
    execute(calls, end("a", input=bytes(9_500)), START)
    state = lane_sessions.SessionState()
    state.calls = calls
    state.limit_payload(10_000)
    assert rejection_of(calls, begin("b"), START).result is result.ResultCode.OVERLOADED
    execute(calls, begin("c", previous="a"), START)
    execute(calls, end("c", input=bytes(600)), START)
    assert rejection_of(calls, begin("d", previous="c"), START).result is result.ResultCode.OVERLOADED
    assert restored_successor(calls).max_payload_bytes == call_sessions.MAX_PAYLOAD_BYTES
    state.limit_payload(call_sessions.MAX_PAYLOAD_BYTES)
    execute(calls, begin("b"), START)


def test_forgotten_history_frees_its_memory():
    calls, now, turns = call_sessions.CallSessions(), START, 600

    def fill(start: int) -> None:
        for number in range(start, start + turns):
            execute(
                calls,
                begin(f"t{number}", f"t{number - 1}" if number % 20 else "", program=f"p{number // 20}"),
                now,
            )
            execute(calls, end(f"t{number}", input=INPUT), now)

    fill(0)
    run_due_commands(calls, now + clock.seconds(80))
    assert calls.size() == 0
    now += clock.seconds(1000)
    tracemalloc.start()
    try:
        fill(turns)
        held_bytes = tracemalloc.get_traced_memory()[0]
        run_due_commands(calls, now + clock.seconds(80))
        assert held_bytes > turns * len(INPUT) and held_bytes < 1.2 * turns * len(INPUT)
        assert tracemalloc.get_traced_memory()[0] < 0.02 * held_bytes
    finally:
        tracemalloc.stop()
