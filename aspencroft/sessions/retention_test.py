"""Tests of ``aspencroft.sessions.retention``: the group's own time, and the bound of its history."""

import random
import tracemalloc

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, lane_sessions, retention
from aspencroft.sessions.call_sessions_test import INPUT, KEEP, START, begin, claim, end, refused, settle, take


def handed_over(book: call_sessions.CallSessions) -> call_sessions.CallSessions:
    """What the next primary holds: the snapshot of the one before, as it comes from a disk or another member."""
    view = lane_sessions.SessionState()
    view.calls = book
    other = lane_sessions.SessionState()
    other.restore(view.snapshot())
    return other.calls


def test_takeovers_do_not_make_history_begin_its_keep_time_anew():
    book, now = call_sessions.CallSessions(), START
    take(book, begin("a"), now)
    take(book, end("a"), now)
    for _ in range(4):
        for _ in range(200):
            now += clock.seconds(0.1)
            settle(book, now)
        book = handed_over(book)
    assert "a" not in book.history.retained, "kept for 80 s, of which it is to be kept for 70"


def test_no_turn_is_forgotten_early_however_often_the_primary_changes_or_its_clock_is_late():
    for seed in range(40):
        chance, book, now, ended = random.Random(seed), call_sessions.CallSessions(), START, {}
        for number in range(60):
            name = f"t{number}"
            take(book, begin(name), now)
            take(book, end(name), now)
            ended[name] = now
            now += clock.seconds(chance.choice([0.05, 0.4, 1.9, 2.0, 2.1, 7.0]))
            if chance.random() < 0.8:
                settle(book, now)
            for other, then in ended.items():
                assert other in book.history.retained or now - then > KEEP, (seed, other)
            if chance.random() < 0.3:
                book = handed_over(book)


def test_a_tick_said_twice_or_too_early_counts_once():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a"), START)
    assert book.due(START, lambda edge: False) == ()
    late = START + retention.TICK_SPAN * 3
    for _ in range(3):
        take(book, entry.Tick(retention.TICK_SPAN), late)
    assert book.group_clock.time == retention.TICK_SPAN
    take(book, entry.Tick(retention.TICK_SPAN), late + retention.TICK_SPAN / 2)
    assert book.group_clock.time == retention.TICK_SPAN


def test_no_tick_is_written_while_no_turn_is_kept():
    book = call_sessions.CallSessions()
    take(book, claim("a"), START)
    for second in range(20):
        assert not any(
            isinstance(one, entry.Tick) for one in book.due(START + clock.seconds(second), lambda edge: False)
        )


def test_near_its_bound_a_group_begins_no_chain_and_goes_on_with_those_begun():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a", input=bytes(9_500)), START)
    lane = lane_sessions.SessionState()
    lane.calls = book
    lane.limit_payload(10_000)
    assert refused(book, begin("b"), START).result is result.ResultCode.OVERLOADED
    take(book, begin("c", previous="a"), START)
    take(book, end("c", input=bytes(600)), START)
    assert refused(book, begin("d", previous="c"), START).result is result.ResultCode.OVERLOADED
    assert handed_over(book).max_payload_bytes == call_sessions.MAX_PAYLOAD_BYTES
    lane.limit_payload(call_sessions.MAX_PAYLOAD_BYTES)
    take(book, begin("b"), START)


def test_forgotten_history_frees_its_memory():
    book, now, turns = call_sessions.CallSessions(), START, 600

    def fill(start: int) -> None:
        for number in range(start, start + turns):
            take(
                book,
                begin(f"t{number}", f"t{number - 1}" if number % 20 else "", program=f"p{number // 20}"),
                now,
            )
            take(book, end(f"t{number}", input=INPUT), now)

    fill(0)
    settle(book, now + clock.seconds(80))
    assert book.size() == 0
    now += clock.seconds(1000)
    tracemalloc.start()
    try:
        fill(turns)
        held = tracemalloc.get_traced_memory()[0]
        settle(book, now + clock.seconds(80))
        assert held > turns * len(INPUT) and held < 1.2 * turns * len(INPUT)
        assert tracemalloc.get_traced_memory()[0] < 0.02 * held
    finally:
        tracemalloc.stop()
