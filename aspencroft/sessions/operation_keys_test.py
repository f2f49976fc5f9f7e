"""Tests of ``aspencroft.sessions.operation_keys``, through the commands of a session group."""

import random

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages, operation_keys, retention
from aspencroft.sessions.call_sessions_test import (
    MARGIN,
    MINUTE,
    START,
    TIME_LIMIT,
    begin,
    claim,
    close,
    due_commands,
    execute,
    rejection_of,
    run_due_commands,
    successor_of,
)


def test_a_key_runs_once_at_many_edges_through_losses_and_takeovers():
    for seed in range(60):
        rng, calls, now, runs = random.Random(seed), call_sessions.CallSessions(), START, []
        for number in range(60):
            now += clock.seconds(rng.choice([0, 0.2, 1]))
            command = claim(f"a{number % 20}", edge=f"e{number % 20 % 5}", digest=rng.randbytes(2))
            try:
                reply = execute(calls, command, now)
            except result.RequestError as refusal:
                assert refusal.result is result.ResultCode.STALE_TURN
                continue
            if reply.is_holder:
                runs += [command.attempt] if command.attempt not in runs else []
            if reply.outcome == messages.DONE:
                assert (reply.status, reply.body) == (200, f"run {runs[-1]}".encode())
            if reply.is_holder and rng.random() < 0.3:
                outcome = rng.choice([messages.DONE, messages.UNKNOWN, messages.NOT_RUN])
                if outcome == messages.NOT_RUN:
                    runs.remove(command.attempt)
                execute(calls, close(command.attempt, outcome, body=f"run {command.attempt}".encode()), now)
            if rng.random() < 0.1:
                calls = successor_of(calls)
            for command in due_commands(calls, now, lambda edge: rng.random() < 0.02):
                execute(calls, command, now)
            assert len(runs) <= 1


def test_a_key_is_held_its_window_beyond_the_last_moment_in_which_its_work_could_run():
    for outcome in (messages.DONE, messages.UNKNOWN, ""):
        calls, now = call_sessions.CallSessions(), START
        assert execute(calls, claim("a"), now).is_holder
        if outcome:
            execute(calls, close("a", outcome), now + TIME_LIMIT)
        calls = successor_of(calls)
        now += clock.seconds(50)
        run_due_commands(calls, now)
        run_due_commands(calls, now + TIME_LIMIT + MINUTE + MARGIN)
        reply = execute(calls, claim("b"), now + TIME_LIMIT + MINUTE + MARGIN)
        assert not reply.is_holder and reply.outcome == (outcome or messages.UNKNOWN)
        run_due_commands(calls, now + 2 * (TIME_LIMIT + MINUTE + MARGIN + clock.seconds(1)))
        assert execute(calls, claim("b"), now + clock.seconds(200)).is_holder


def test_an_answer_that_comes_late_is_held_a_window_from_then_on():
    calls, now = call_sessions.CallSessions(), START
    execute(calls, claim("a"), now)
    run_due_commands(calls, now + clock.seconds(14))
    assert execute(calls, claim("b"), now).outcome == messages.UNKNOWN
    assert execute(calls, close("a", messages.NOT_RUN), now + clock.seconds(50)) == messages.Closed(messages.UNKNOWN)
    assert execute(calls, close("a"), now + clock.seconds(60)) == messages.Closed(messages.DONE)
    run_due_commands(calls, now + clock.seconds(60) + MINUTE)
    reply = execute(calls, claim("b"), now + clock.seconds(120))
    assert (reply.is_holder, reply.outcome, reply.status, reply.headers, reply.body) == (
        False,
        messages.DONE,
        200,
        (entry.Header(b"Seal", b"1"),),
        b"body",
    )
    run_due_commands(calls, now + clock.seconds(60) + MINUTE + MARGIN + clock.seconds(1))
    assert calls.size() == 0 and calls.payload_bytes() == 0


def test_a_key_is_not_forgotten_before_it_is_closed():
    calls, late = call_sessions.CallSessions(), START + clock.seconds(500)
    for number in range(2 * retention.DUE_LIMIT):
        execute(calls, begin(f"t{number}", retained=False), START)
    execute(calls, claim("a"), START)
    for _ in range(4):
        for command in due_commands(calls, late):
            execute(calls, command, late)
    assert not calls.history.in_flight and list(calls.keys.records) == ["k"] and not calls.keys.in_flight
    run_due_commands(calls, late + clock.seconds(80))
    assert calls.size() == 0


def test_a_key_of_a_lost_edge_is_unknown_at_once():
    calls = call_sessions.CallSessions()
    execute(calls, claim("a", edge="lost 1"), START)
    assert execute(calls, claim("b"), START).outcome == ""
    run_due_commands(calls, START, lambda edge: edge == "lost 1")
    reply = execute(calls, claim("b"), START)
    assert not reply.is_holder and reply.outcome == messages.UNKNOWN


def test_a_key_not_run_is_free_at_once_but_not_for_the_same_attempt():
    calls = call_sessions.CallSessions()
    execute(calls, claim("a"), START)
    assert execute(calls, close("b", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert execute(calls, claim("a"), START).is_holder
    assert not execute(calls, claim("a", edge="e2"), START).is_holder
    assert execute(calls, close("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert execute(calls, close("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    for attempt in "ab":
        refusal = rejection_of(successor_of(calls), claim(attempt), START + clock.seconds(59))
        assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.NOT_RUN)
    assert execute(calls, claim("c"), START).is_holder
    assert execute(calls, close("a"), START) == messages.Closed("")
    assert execute(calls, claim("c"), START).is_holder
    run_due_commands(calls, START + clock.seconds(71))
    assert not calls.keys.released


def test_an_answer_too_large_to_store_is_reported_as_such():
    calls = call_sessions.CallSessions()
    for key, body, outcome in (
        ("k", bytes(operation_keys.MAX_ANSWER_BYTES - 5), messages.DONE),
        ("l", bytes(operation_keys.MAX_ANSWER_BYTES), entry.NOT_KEPT),
    ):
        execute(calls, claim("a", key=key), START)
        for _ in range(2):
            assert execute(calls, close("a", key=key, body=body), START) == messages.Closed(messages.DONE)
        reply = execute(calls, claim("b", key=key), START)
        assert (reply.is_holder, reply.outcome, reply.body) == (
            False,
            outcome,
            body if outcome == messages.DONE else b"",
        )
