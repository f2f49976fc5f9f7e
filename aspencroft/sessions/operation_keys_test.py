"""Tests of ``aspencroft.sessions.operation_keys``, through the commands of a session group."""

import random

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages, operation_keys, retention
from aspencroft.sessions.call_sessions_test import (
    BEYOND,
    MINUTE,
    START,
    WITHIN,
    begin,
    claim,
    close,
    due,
    refused,
    settle,
    take,
    taken_over,
)


def test_a_key_runs_once_at_many_edges_through_losses_and_takeovers():
    for seed in range(60):
        chance, book, now, runs = random.Random(seed), call_sessions.CallSessions(), START, []
        for number in range(60):
            now += clock.seconds(chance.choice([0, 0.2, 1]))
            command = claim(f"a{number % 20}", edge=f"e{number % 20 % 5}", digest=chance.randbytes(2))
            try:
                reply = take(book, command, now)
            except result.RequestError as refusal:
                assert refusal.result is result.ResultCode.STALE_TURN
                continue
            if reply.mine:
                runs += [command.attempt] if command.attempt not in runs else []
            if reply.outcome == messages.DONE:
                assert (reply.status, reply.body) == (200, f"run {runs[-1]}".encode())
            if reply.mine and chance.random() < 0.3:
                outcome = chance.choice([messages.DONE, messages.UNKNOWN, messages.NOT_RUN])
                if outcome == messages.NOT_RUN:
                    runs.remove(command.attempt)
                take(book, close(command.attempt, outcome, body=f"run {command.attempt}".encode()), now)
            if chance.random() < 0.1:
                book = taken_over(book)
            for command in due(book, now, lambda edge: chance.random() < 0.02):
                take(book, command, now)
            assert len(runs) <= 1


def test_a_key_is_held_its_window_beyond_the_last_moment_in_which_its_work_could_run():
    for outcome in (messages.DONE, messages.UNKNOWN, ""):
        book, now = call_sessions.CallSessions(), START
        assert take(book, claim("a"), now).mine
        if outcome:
            take(book, close("a", outcome), now + WITHIN)
        book = taken_over(book)
        now += clock.seconds(50)
        settle(book, now)
        settle(book, now + WITHIN + MINUTE + BEYOND)
        reply = take(book, claim("b"), now + WITHIN + MINUTE + BEYOND)
        assert not reply.mine and reply.outcome == (outcome or messages.UNKNOWN)
        settle(book, now + 2 * (WITHIN + MINUTE + BEYOND + clock.seconds(1)))
        assert take(book, claim("b"), now + clock.seconds(200)).mine


def test_an_answer_that_comes_late_is_held_a_window_from_then_on():
    book, now = call_sessions.CallSessions(), START
    take(book, claim("a"), now)
    settle(book, now + clock.seconds(14))
    assert take(book, claim("b"), now).outcome == messages.UNKNOWN
    assert take(book, close("a", messages.NOT_RUN), now + clock.seconds(50)) == messages.Closed(messages.UNKNOWN)
    assert take(book, close("a"), now + clock.seconds(60)) == messages.Closed(messages.DONE)
    settle(book, now + clock.seconds(60) + MINUTE)
    reply = take(book, claim("b"), now + clock.seconds(120))
    assert (reply.mine, reply.outcome, reply.status, reply.headers, reply.body) == (
        False,
        messages.DONE,
        200,
        (entry.Header(b"Seal", b"1"),),
        b"body",
    )
    settle(book, now + clock.seconds(60) + MINUTE + BEYOND + clock.seconds(1))
    assert book.size() == 0 and book.payload_bytes() == 0


def test_a_key_is_not_forgotten_before_it_is_closed():
    book, late = call_sessions.CallSessions(), START + clock.seconds(500)
    for number in range(2 * retention.DUE_LIMIT):
        take(book, begin(f"t{number}", retained=False), START)
    take(book, claim("a"), START)
    for _ in range(4):
        for command in due(book, late):
            take(book, command, late)
    assert not book.history.in_flight and list(book.keys.records) == ["k"] and not book.keys.in_flight
    settle(book, late + clock.seconds(80))
    assert book.size() == 0


def test_a_key_of_a_lost_edge_is_unknown_at_once():
    book = call_sessions.CallSessions()
    take(book, claim("a", edge="lost 1"), START)
    assert take(book, claim("b"), START).outcome == ""
    settle(book, START, lambda edge: edge == "lost 1")
    reply = take(book, claim("b"), START)
    assert not reply.mine and reply.outcome == messages.UNKNOWN


def test_a_key_not_run_is_free_at_once_but_not_for_the_same_attempt():
    book = call_sessions.CallSessions()
    take(book, claim("a"), START)
    assert take(book, close("b", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert take(book, claim("a"), START).mine
    assert not take(book, claim("a", edge="e2"), START).mine
    assert take(book, close("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert take(book, close("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    for attempt in "ab":
        refusal = refused(taken_over(book), claim(attempt), START + clock.seconds(59))
        assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.NOT_RUN)
    assert take(book, claim("c"), START).mine
    assert take(book, close("a"), START) == messages.Closed("")
    assert take(book, claim("c"), START).mine
    settle(book, START + clock.seconds(71))
    assert not book.keys.released


def test_an_answer_too_large_to_keep_is_told_as_such():
    book = call_sessions.CallSessions()
    for key, body, outcome in (
        ("k", bytes(operation_keys.MAX_ANSWER_BYTES - 5), messages.DONE),
        ("l", bytes(operation_keys.MAX_ANSWER_BYTES), entry.NOT_KEPT),
    ):
        take(book, claim("a", key=key), START)
        for _ in range(2):
            assert take(book, close("a", key=key, body=body), START) == messages.Closed(messages.DONE)
        reply = take(book, claim("b", key=key), START)
        assert (reply.mine, reply.outcome, reply.body) == (
            False,
            outcome,
            body if outcome == messages.DONE else b"",
        )


# -- clocks, snapshots, memory ------------------------------------------------------------------------
