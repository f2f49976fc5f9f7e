"""Tests of ``aspencroft.sessions.lane_sessions``."""

import collections
import collections.abc
import dataclasses
import random

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import lane_sessions, messages


def test_budget_and_history_agree_with_a_plain_model():
    for seed in range(200):
        rng, state, now = random.Random(seed), lane_sessions.SessionState(), clock.ZERO
        history = collections.defaultdict(list)
        charged, in_flight = 0, {}
        for step in range(60):
            now += clock.seconds(0.1)
            helper = rng.choice(["", "one", "two"])
            if helper in in_flight and rng.random() < 0.7:
                attempt, turn_input = in_flight.pop(helper)
                outcome = rng.choice([messages.DONE, messages.DONE, messages.NOT_RUN, messages.UNKNOWN])
                used = rng.randrange(11)
                command = messages.CloseTurn("p", helper, attempt, outcome, turn_input, f"out {attempt}", used)
                if outcome == messages.DONE:
                    history[helper].append((turn_input, f"out {attempt}"))
                charged += {messages.DONE: used, messages.NOT_RUN: 0, messages.UNKNOWN: 10}[outcome]
            else:
                attempt = f"attempt {step}"
                after = len(history[helper]) + rng.choice([0, 0, 0, 1])
                command = messages.OpenTurn(
                    "p", helper, after, "chat", attempt, 10, 60, clock.seconds(9), clock.seconds(5), "edge"
                )
            try:
                events, reply = state.decide(command, now, 1)
            except result.RequestError as refusal:
                expected = helper in in_flight or after != len(history[helper]) or charged + 10 * len(in_flight) >= 60
                assert expected, refusal
                continue
            if isinstance(command, messages.OpenTurn):
                assert after == len(history[helper]) and charged + 10 * len(in_flight) < 60
                assert [(turn.input, turn.output) for turn in reply.turns] == history[helper]
                in_flight[helper] = (attempt, f"in {attempt}")
            for event in events:
                state.apply(event)
            if rng.random() < 0.2:
                restored = lane_sessions.SessionState()
                restored.restore(state.snapshot())
                assert restored.snapshot() == state.snapshot()
        assert charged <= 60 + 10
        assert not state.programs or state.programs["p"].used == charged


def test_a_key_runs_once_and_is_free_only_after_a_minute_beyond():
    state, now = lane_sessions.SessionState(), clock.ZERO
    claim = messages.ClaimOperation("key", "void", "attempt 1", b"d", clock.seconds(5), clock.ZERO)
    events, reply = state.decide(claim, now, 1)
    state.apply(events[0])
    assert reply.is_holder
    _, second = state.decide(dataclasses.replace(claim, attempt="attempt 2"), now, 1)
    assert not second.is_holder and second.outcome == ""
    try:
        state.decide(dataclasses.replace(claim, attempt="attempt 3", digest=b"e"), now, 1)
        raise AssertionError("a different request was answered under the key")
    except result.RequestError as refusal:
        assert refusal.result is result.ResultCode.OPERATION_MISMATCH
    successor = lane_sessions.SessionState()
    successor.restore(state.snapshot())
    for span in (0, 1, 2, 60, 61):
        assert successor.due(now + clock.seconds(1000 + span), bool) == ()
    late = now + clock.seconds(1001) + 2 * lane_sessions.MIN_KEY_RETENTION
    assert (successor.due(late, bool), successor.due(late, bool))[1] != ()


def test_scan_steps_of_a_large_group_are_bounded_and_reach_everything():
    state, now = lane_sessions.SessionState(), clock.seconds(5)
    for number in range(3 * lane_sessions.SCAN_LIMIT):
        state.apply(messages.OperationClaimed(f"k{number}", "void", "attempt 1", b"", clock.seconds(1), clock.ZERO))
    state.apply(messages.TurnOpened("p", "", 0, "chat", "attempt 1", 1, 9, clock.ZERO, clock.seconds(1), "edge"))
    assert state.due(now, lambda edge: edge == "edge")[0].attempt == "attempt 1"
    for _ in range(9):
        assert len(state.due(now, lambda edge: False)) == 0
    assert len(state.key_updated_at) == 3 * lane_sessions.SCAN_LIMIT
    late, forgotten = now + 10 * lane_sessions.MIN_KEY_RETENTION, set()
    for _ in range(3 * lane_sessions.SCAN_LIMIT // lane_sessions.DUE_LIMIT + 20):
        due_commands = state.due(late, lambda edge: False)
        assert len(due_commands) <= lane_sessions.DUE_LIMIT + 1
        for command in due_commands:
            if isinstance(command, messages.ForgetOperation):
                forgotten.add(command.key)
                state.apply(messages.OperationForgotten(command.key))
    assert len(forgotten) == 3 * lane_sessions.SCAN_LIMIT
