"""Tests of ``aspencroft.sessions.turn_history``, through the commands of a session group."""

import dataclasses
import datetime
import itertools

import pytest

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import (
    call_sessions,
    entry,
    messages,
    operation_keys,
    token_budget,
    turn_history,
)
from aspencroft.sessions.call_sessions_test import (
    KEEP,
    MARGIN,
    START,
    TIME_LIMIT,
    begin,
    claim,
    close,
    end,
    execute,
    rejection_of,
    run_due_commands,
    successor_of,
)


def add_chain(calls: call_sessions.CallSessions, names: str, now: datetime.timedelta, **changes) -> None:
    """Add a chain of retained turns, one for each letter of ``names``."""
    for previous, attempt in itertools.pairwise(["", *names]):
        execute(calls, begin(attempt, previous, **changes), now)
        execute(calls, end(attempt), now)


def test_a_turn_gets_the_whole_chain_or_what_is_behind_the_one_that_the_edge_holds():
    calls = call_sessions.CallSessions()
    add_chain(calls, "abcd", START)
    execute(calls, begin("x", "b"), START)
    execute(calls, end("x", worker="i-7"), START)
    whole = execute(calls, begin("e", "d"), START)
    assert [turn.attempt for turn in whole.chain] == list("abcd") and whole.complete and whole.worker == "i-1"
    assert b"".join(turn.input + turn.output for turn in whole.chain).decode() == "".join(
        f"in {name}\nout {name}\n" for name in "abcd"
    )
    for held_turn, names, complete in (
        ("d", "", False),
        ("b", "cd", False),
        ("x", "abcd", True),
        ("nobody", "abcd", True),
    ):
        reply = execute(calls, begin("e", "d", held_turn=held_turn), START)
        assert ("".join(turn.attempt for turn in reply.chain), reply.complete) == (names, complete)
    branch = execute(calls, begin("y", "x"), START)
    assert ("".join(turn.attempt for turn in branch.chain), branch.worker) == ("abx", "i-7")
    assert execute(calls, begin("z"), START) == entry.TurnBegun((), "i-7", True)


def test_the_same_start_gives_the_same_reply_and_reserves_once():
    calls = call_sessions.CallSessions()
    add_chain(calls, "ab", START)
    first = execute(calls, begin("c", "b", budget=50), START)
    execute(calls, begin("other", budget=50, edge="e2"), START)
    execute(calls, end("other", worker="i-9"), START)
    assert execute(calls, begin("c", "b", budget=50), START) == first
    assert calls.budgets.accounts["p"].reserved == 10
    for change in (dict(previous="a"), dict(edge="e2"), dict(program="q"), dict(session="t")):
        assert (
            rejection_of(calls, begin("c", **{"previous": "b", **change}), START).result
            is result.ResultCode.TURN_UNDER_WAY
        )


@pytest.mark.parametrize("outcome", [messages.DONE, messages.NOT_RUN, messages.UNKNOWN])
@pytest.mark.parametrize("retained", [True, False])
def test_an_ended_attempt_never_begins_again(outcome, retained):
    calls = call_sessions.CallSessions()
    execute(calls, begin("a", retained=retained, retention_period=clock.seconds(5)), START)
    execute(calls, end("a", outcome), START)
    for late in (0, 9, 20, 59):
        now = START + clock.seconds(late)
        run_due_commands(calls, now)
        refusal = rejection_of(calls, begin("a", retained=retained, retention_period=clock.seconds(5)), now)
        assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, turn_history.RAN_BY_OUTCOME[outcome])
        assert rejection_of(successor_of(calls), begin("a"), now).result is result.ResultCode.STALE_TURN
    run_due_commands(calls, START + clock.seconds(80))
    run_due_commands(calls, START + clock.seconds(160))
    assert calls.size() == 0


def test_an_attempt_reported_as_not_run_is_barred_before_its_start_arrives():
    calls = call_sessions.CallSessions()
    assert execute(calls, end("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert execute(calls, end("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    refusal = rejection_of(calls, begin("a"), START + clock.seconds(59))
    assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.NOT_RUN)
    assert rejection_of(calls, end("a"), START).result is result.ResultCode.STALE_TURN
    run_due_commands(calls, START + clock.seconds(71))
    assert calls.size() == 0
    for outcome in (messages.DONE, messages.UNKNOWN):
        refusal = rejection_of(calls, end("b", outcome), START)
        assert (refusal.result, refusal.ran) == (result.ResultCode.UNKNOWN_TURN, result.Ran.UNKNOWN)


def test_records_of_attempts_that_did_not_run_are_bounded(monkeypatch):
    monkeypatch.setattr(turn_history, "MAX_TURNS", 5)
    monkeypatch.setattr(operation_keys, "MAX_KEYS", 5)
    calls = call_sessions.CallSessions()
    for number in range(5):
        execute(calls, end(f"t{number}", messages.NOT_RUN), START)
        execute(calls, close(f"t{number}", messages.NOT_RUN), START)
    for command in (end("t9", messages.NOT_RUN), begin("t9"), close("t9", messages.NOT_RUN), claim("t9")):
        refusal = rejection_of(calls, command, START)
        assert refusal.result is result.ResultCode.OVERLOADED and refusal.retry is not None


def test_at_its_limits_a_group_rejects_turns_and_drops_no_history(monkeypatch):
    monkeypatch.setattr(call_sessions, "MAX_PAYLOAD_BYTES", 1000)
    monkeypatch.setattr(token_budget, "MAX_PROGRAMS", 2)
    calls = call_sessions.CallSessions()
    execute(calls, begin("a"), START)
    execute(calls, end("a", input=bytes(1000)), START)
    assert rejection_of(calls, begin("b", "a"), START).result is result.ResultCode.OVERLOADED
    assert rejection_of(calls, claim("c"), START).result is result.ResultCode.OVERLOADED
    assert execute(calls, begin("b", "a", retained=False), START).complete
    execute(calls, begin("q", program="q", retained=False), START)
    assert rejection_of(calls, begin("r", program="r", retained=False), START).result is result.ResultCode.OVERLOADED
    monkeypatch.setattr(turn_history, "MAX_CHAIN_BYTES", 999)
    assert rejection_of(calls, begin("d", "a", retained=False), START).result is result.ResultCode.TOO_LARGE


def test_a_turn_answered_less_than_its_keep_time_ago_is_there_also_after_takeovers():
    calls, now = call_sessions.CallSessions(), START
    add_chain(calls, "ab", now)
    run_due_commands(calls, now + KEEP - clock.seconds(0.1))
    assert execute(calls, entry.FindTurn("b"), now).found
    calls = successor_of(calls)
    now += KEEP - clock.seconds(1)
    run_due_commands(calls, now)
    run_due_commands(calls, now + KEEP)
    assert [turn.attempt for turn in execute(calls, begin("c", "b"), now + KEEP).chain] == ["a", "b"]


def test_a_chain_is_kept_as_long_as_a_turn_that_goes_on_from_it_is_kept_or_under_way():
    calls, now = call_sessions.CallSessions(), START
    add_chain(calls, "abc", now)
    execute(calls, begin("d", "b", time_limit=clock.seconds(500)), now)
    run_due_commands(calls, now + clock.seconds(200))
    assert set(calls.history.retained) == {"a", "b"}
    execute(calls, end("d"), now + clock.seconds(200))
    run_due_commands(calls, now + clock.seconds(265))
    assert set(calls.history.retained) == {"a", "b", "d"}
    run_due_commands(calls, now + clock.seconds(271))
    assert not calls.history.retained and calls.payload_bytes() == 0 and not calls.history.successors


def test_a_whole_chain_expires_together_with_its_newest_turn():
    calls = call_sessions.CallSessions()
    add_chain(calls, "abcdefghijkl", START)
    commands = calls.due(START + clock.seconds(71), lambda edge: False)
    assert commands[-1].turns == tuple("lkjihgfedcba")
    successor = successor_of(calls)
    assert successor.due(START + clock.seconds(71), lambda edge: False) == ()
    assert len(successor.due(START + clock.seconds(142), lambda edge: False)[-1].turns) == 12


def test_a_turn_whose_end_is_not_known_is_not_called_unknown():
    calls = call_sessions.CallSessions()
    execute(calls, begin("a"), START)
    for command in (begin("b", "a"), entry.FindTurn("a")):
        refusal = rejection_of(calls, command, START)
        assert (refusal.result, refusal.result.status, refusal.ran) == (
            result.ResultCode.TURN_NOT_ENDED,
            503,
            result.Ran.NOT_RUN,
        )
    execute(calls, end("a", messages.UNKNOWN), START)
    assert rejection_of(calls, begin("b", "a"), START).result is result.ResultCode.TURN_NOT_ENDED
    execute(calls, end("a"), START)
    assert execute(calls, begin("b", "a"), START).chain[0].attempt == "a"
    execute(calls, begin("c"), START)
    execute(calls, end("c", messages.NOT_RUN), START)
    refusal = rejection_of(calls, begin("d", "c"), START)
    assert (refusal.result, refusal.result.status) == (result.ResultCode.UNKNOWN_TURN, 404)
    assert not execute(calls, entry.FindTurn("c"), START).found


def test_a_chain_of_another_group_is_kept_here_too():
    there, here = call_sessions.CallSessions(), call_sessions.CallSessions()
    add_chain(there, "abc", START)
    base = execute(there, entry.FindTurn("c"), START).chain
    assert rejection_of(here, begin("d", "c"), START).result is result.ResultCode.UNKNOWN_TURN
    for wrong in (
        base[:2],
        base[1:],
        base[::-1],
        base + base,
        (dataclasses.replace(base[0], attempt="d"), *base[1:]),
    ):
        assert rejection_of(here, begin("d", "c", base=wrong), START).result is result.ResultCode.MALFORMED
    reply = execute(here, begin("d", "c", base=base), START)
    assert reply.chain == base and reply.complete and reply.worker == "i-1"
    execute(here, end("d"), START)
    assert [turn.attempt for turn in execute(here, begin("e", "d"), START).chain] == list("abcd")
    assert "".join(turn.attempt for turn in execute(here, begin("f", "a"), START).chain) == "a"
    add_chain(there, "xyz", START)
    shared = execute(there, begin("g", "b"), START)
    execute(there, end("g"), START)
    base = execute(there, entry.FindTurn("g"), START).chain
    assert [turn.attempt for turn in shared.chain] == ["a", "b"]
    events, _ = here.decide(begin("h", "g", base=base), START)
    assert [turn.attempt for turn in events[0].base] == ["g"]
    reply = execute(here, begin("h", "g", base=base), START)
    assert [turn.attempt for turn in reply.chain] == ["a", "b", "g"] and len(here.history.retained) == 5
    for attempt in "efh":
        execute(here, end(attempt, messages.NOT_RUN), START)
    run_due_commands(here, START + clock.seconds(75))
    run_due_commands(here, START + clock.seconds(150))
    assert here.size() == 0 and here.payload_bytes() == 0


def test_turns_of_a_lost_edge_or_over_their_time_are_charged_and_a_late_end_puts_it_right():
    calls = call_sessions.CallSessions()
    add_chain(calls, "a", START)
    for attempt, edge in (("b", "lost 1"), ("c", "e"), ("d", "lost 1")):
        execute(calls, begin(attempt, "a", budget=100, edge=edge), START)
    assert [command.attempt for command in run_due_commands(calls, START, lambda edge: edge == "lost 1")] == ["b", "d"]
    assert (calls.budgets.accounts["p"].used, calls.budgets.accounts["p"].reserved) == (20, 10)
    assert not run_due_commands(calls, START + TIME_LIMIT + MARGIN)
    assert [
        command.attempt for command in run_due_commands(calls, START + TIME_LIMIT + MARGIN + clock.seconds(0.1))
    ] == ["c"]
    assert (calls.budgets.accounts["p"].used, calls.budgets.accounts["p"].reserved) == (30, 0)
    for _ in range(2):
        assert execute(calls, end("b", used=4), START) == messages.Closed(messages.DONE)
        assert execute(calls, end("b", messages.UNKNOWN), START) == messages.Closed(messages.DONE)
        assert execute(calls, end("d", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert (calls.budgets.accounts["p"].used, calls.budgets.accounts["p"].reserved) == (14, 0)
    assert [turn.attempt for turn in execute(calls, begin("f", "b"), START).chain] == ["a", "b"]


def test_a_late_end_whose_chain_is_gone_is_refused():
    calls = call_sessions.CallSessions()
    add_chain(calls, "a", START, retention_period=clock.seconds(1))
    execute(calls, begin("b", "a", retention_period=clock.seconds(1)), START)
    run_due_commands(calls, START + clock.seconds(14))
    run_due_commands(calls, START + clock.seconds(15))
    assert "a" not in calls.history.retained and calls.history.finished["b"].outcome == messages.UNKNOWN
    refusal = rejection_of(calls, end("b"), START + clock.seconds(15))
    assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.UNKNOWN)
