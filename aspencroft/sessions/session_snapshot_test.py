"""Tests of the snapshots of a session group, and of the bounded scan for expired records."""

import pytest

from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, lane_sessions, messages, retention, session_snapshot
from aspencroft.sessions.call_sessions_test import (
    INPUT,
    MINUTE,
    START,
    TIME_LIMIT,
    begin,
    due_commands,
    end,
    execute,
)
from aspencroft.transport import codec


def test_scan_steps_of_large_call_sessions_are_bounded_and_reach_everything():
    calls, now, many = call_sessions.CallSessions(), START, 3 * retention.SCAN_LIMIT
    for number in range(many):
        calls.apply(entry.KeyClaimed(f"k{number}", f"a{number}", TIME_LIMIT, MINUTE, "e"))
        calls.apply(entry.KeyClosed(f"k{number}", f"a{number}", messages.DONE, 200, (), b""))
    for number in range(2 * retention.DUE_LIMIT):
        calls.apply(entry.KeyClaimed(f"o{number}", f"o{number}", TIME_LIMIT, MINUTE, "lost"))
    assert len(calls.due(now, lambda edge: edge == "lost")) == retention.DUE_LIMIT
    assert len(calls.keys.reserved_at) <= retention.SCAN_LIMIT + 2 * retention.DUE_LIMIT
    for _ in range(9):
        assert calls.due(now, lambda edge: False) == ()
    assert len(calls.keys.reserved_at) == calls.size()
    late, steps = now + clock.seconds(300), 0
    while calls.size() and steps < 1000:
        late += clock.seconds(0.4)
        for command in due_commands(calls, late):
            if isinstance(command, entry.Forget):
                assert len(command.keys) <= 2 * retention.DUE_LIMIT
            execute(calls, command, late)
        steps += 1
    assert calls.size() == 0
    assert steps < 2 * many // retention.DUE_LIMIT + 100


def test_a_scan_starts_some_seconds_after_the_previous_one():
    calls, now = call_sessions.CallSessions(), START
    for attempt, wait in (("a", 0), ("b", 0.5), ("c", 1), ("d", 1.5)):
        calls.apply(entry.TurnEnded(attempt, messages.NOT_RUN, b"", b"", 0, ""))
        assert calls.due(now + retention.SCAN_INTERVAL * wait, lambda edge: False) == ()
    assert calls.history.finished_at == {
        "a": now,
        "b": now + retention.SCAN_INTERVAL,
        "c": now + retention.SCAN_INTERVAL,
    }


def test_a_snapshot_shares_its_history_and_shows_one_moment():
    state = lane_sessions.SessionState()
    calls = state.calls
    for number in range(20):
        execute(calls, begin(f"t{number}", f"t{number - 1}" if number else ""), START)
        execute(calls, end(f"t{number}", input=INPUT), START)
    parts, before = state.snapshot_parts(), state.snapshot()
    execute(calls, begin("later"), START)
    pieces = list(parts)
    assert b"".join(pieces) == before and all(pieces)
    assert max(map(len, pieces)) <= session_snapshot.CHUNK_BYTES + len(INPUT)
    assert all(any(piece is retained.turn.input for piece in pieces) for retained in calls.history.retained.values())
    restored = lane_sessions.SessionState()
    restored.restore(before)
    assert restored.snapshot() == before and restored.size() == state.size() - 1


def test_a_snapshot_of_a_version_without_opaque_calls_is_read_and_a_truncated_one_rejected():
    state = lane_sessions.SessionState()
    state.restore(codec.pack(messages.SessionSnapshot((), ())))
    assert state.size() == 0
    execute(state.calls, begin("a"), START)
    body = state.snapshot()
    before_ages = len(body) - len(codec.pack(entry.TurnAges(clock.ZERO, ())))
    for end_at in range(9, len(body)):
        if end_at != before_ages:
            with pytest.raises(codec.CodecError):
                lane_sessions.SessionState().restore(body[:end_at])


def test_a_snapshot_with_bytes_left_over_changes_nothing():
    newer = lane_sessions.SessionState()
    execute(newer.calls, begin("a"), START)
    state = lane_sessions.SessionState()
    before = state.snapshot()
    with pytest.raises(codec.CodecError):
        state.restore(newer.snapshot() + b"more")
    assert state.snapshot() == before


def test_a_snapshot_of_a_version_without_ages_of_turns_is_read_and_its_turns_count_as_new():
    state = lane_sessions.SessionState()
    execute(state.calls, begin("a"), START)
    execute(state.calls, end("a"), START)
    ages = entry.TurnAges(state.calls.group_clock.time, tuple(state.calls.history.ended_at.values()))
    without_ages = state.snapshot().removesuffix(codec.pack(ages))
    restored = lane_sessions.SessionState()
    restored.restore(without_ages)
    assert restored.calls.history.retained == state.calls.history.retained
    assert restored.calls.history.age("a") == clock.ZERO
    assert len(restored.snapshot()) == len(state.snapshot())
