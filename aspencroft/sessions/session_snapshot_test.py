"""Tests of snapshots of a session group, and of how it looks through what it holds."""

import pytest

from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, lane_sessions, messages, retention, session_snapshot
from aspencroft.sessions.call_sessions_test import (
    INPUT,
    MINUTE,
    START,
    WITHIN,
    begin,
    due,
    end,
    take,
)
from aspencroft.transport import codec


def test_the_looks_at_a_large_ledger_are_bounded_and_reach_everything():
    book, now, many = call_sessions.CallSessions(), START, 3 * retention.SCAN_LIMIT
    for number in range(many):
        book.apply(entry.KeyClaimed(f"k{number}", f"a{number}", WITHIN, MINUTE, "e"))
        book.apply(entry.KeyClosed(f"k{number}", f"a{number}", messages.DONE, 200, (), b""))
    for number in range(2 * retention.DUE_LIMIT):
        book.apply(entry.KeyClaimed(f"o{number}", f"o{number}", WITHIN, MINUTE, "lost"))
    assert len(book.due(now, lambda edge: edge == "lost")) == retention.DUE_LIMIT
    assert len(book.keys.reserved_at) <= retention.SCAN_LIMIT + 2 * retention.DUE_LIMIT
    for _ in range(9):
        assert book.due(now, lambda edge: False) == ()
    assert len(book.keys.reserved_at) == book.size()
    late, calls = now + clock.seconds(300), 0
    while book.size() and calls < 1000:
        late += clock.seconds(0.4)
        for command in due(book, late):
            if isinstance(command, entry.Forget):
                assert len(command.keys) <= 2 * retention.DUE_LIMIT
            take(book, command, late)
        calls += 1
    assert book.size() == 0
    assert calls < 2 * many // retention.DUE_LIMIT + 100


def test_a_round_of_looks_starts_some_seconds_after_the_one_before():
    book, now = call_sessions.CallSessions(), START
    for attempt, wait in (("a", 0), ("b", 0.5), ("c", 1), ("d", 1.5)):
        book.apply(entry.TurnEnded(attempt, messages.NOT_RUN, b"", b"", 0, ""))
        assert book.due(now + retention.SCAN_INTERVAL * wait, lambda edge: False) == ()
    assert book.history.finished_at == {
        "a": now,
        "b": now + retention.SCAN_INTERVAL,
        "c": now + retention.SCAN_INTERVAL,
    }


def test_a_picture_shares_its_history_and_shows_one_moment():
    view = lane_sessions.SessionState()
    book = view.calls
    for number in range(20):
        take(book, begin(f"t{number}", f"t{number - 1}" if number else ""), START)
        take(book, end(f"t{number}", input=INPUT), START)
    parts, before = view.snapshot_parts(), view.snapshot()
    take(book, begin("later"), START)
    pieces = list(parts)
    assert b"".join(pieces) == before and all(pieces)
    assert max(map(len, pieces)) <= session_snapshot.CHUNK_BYTES + len(INPUT)
    assert all(any(piece is kept.turn.input for piece in pieces) for kept in book.history.retained.values())
    again = lane_sessions.SessionState()
    again.restore(before)
    assert again.snapshot() == before and again.size() == view.size() - 1


def test_a_picture_from_before_there_was_a_ledger_is_read_and_a_cut_one_refused():
    view = lane_sessions.SessionState()
    view.restore(codec.pack(messages.SessionSnapshot((), ())))
    assert view.size() == 0
    take(view.calls, begin("a"), START)
    body = view.snapshot()
    before_ages = len(body) - len(codec.pack(entry.TurnAges(clock.ZERO, ())))
    for end_at in range(9, len(body)):
        if end_at != before_ages:
            with pytest.raises(codec.CodecError):
                lane_sessions.SessionState().restore(body[:end_at])


def test_a_snapshot_with_bytes_left_over_changes_nothing():
    newer = lane_sessions.SessionState()
    take(newer.calls, begin("a"), START)
    view = lane_sessions.SessionState()
    before = view.snapshot()
    with pytest.raises(codec.CodecError):
        view.restore(newer.snapshot() + b"more")
    assert view.snapshot() == before


def test_a_picture_from_before_turns_had_ages_is_read_and_its_turns_count_as_new():
    view = lane_sessions.SessionState()
    take(view.calls, begin("a"), START)
    take(view.calls, end("a"), START)
    ages = entry.TurnAges(view.calls.group_clock.time, tuple(view.calls.history.ended_at.values()))
    former = view.snapshot().removesuffix(codec.pack(ages))
    again = lane_sessions.SessionState()
    again.restore(former)
    assert again.calls.history.retained == view.calls.history.retained
    assert again.calls.history.age("a") == clock.ZERO
    assert len(again.snapshot()) == len(view.snapshot())
