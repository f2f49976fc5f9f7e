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
    BEYOND,
    KEEP,
    START,
    WITHIN,
    begin,
    claim,
    close,
    end,
    refused,
    settle,
    take,
    taken_over,
)


def line(book: call_sessions.CallSessions, names: str, now: datetime.timedelta, **changes) -> None:
    """A chain of kept turns, one a letter."""
    for previous, attempt in itertools.pairwise(["", *names]):
        take(book, begin(attempt, previous, **changes), now)
        take(book, end(attempt), now)


def test_a_turn_gets_the_whole_chain_or_what_is_behind_the_one_that_the_edge_holds():
    book = call_sessions.CallSessions()
    line(book, "abcd", START)
    take(book, begin("x", "b"), START)
    take(book, end("x", worker="i-7"), START)
    whole = take(book, begin("e", "d"), START)
    assert [one.attempt for one in whole.chain] == list("abcd") and whole.complete and whole.worker == "i-1"
    assert b"".join(one.input + one.output for one in whole.chain).decode() == "".join(
        f"in {name}\nout {name}\n" for name in "abcd"
    )
    for have, names, complete in (
        ("d", "", False),
        ("b", "cd", False),
        ("x", "abcd", True),
        ("nobody", "abcd", True),
    ):
        reply = take(book, begin("e", "d", have=have), START)
        assert ("".join(one.attempt for one in reply.chain), reply.complete) == (names, complete)
    branch = take(book, begin("y", "x"), START)
    assert ("".join(one.attempt for one in branch.chain), branch.worker) == ("abx", "i-7")
    assert take(book, begin("z"), START) == entry.TurnBegun((), "i-7", True)


def test_the_same_start_gives_the_same_reply_and_reserves_once():
    book = call_sessions.CallSessions()
    line(book, "ab", START)
    first = take(book, begin("c", "b", budget=50), START)
    take(book, begin("other", budget=50, edge="e2"), START)
    take(book, end("other", worker="i-9"), START)
    assert take(book, begin("c", "b", budget=50), START) == first
    assert book.budgets.accounts["p"].reserved == 10
    for change in (dict(previous="a"), dict(edge="e2"), dict(program="q"), dict(session="t")):
        assert (
            refused(book, begin("c", **{"previous": "b", **change}), START).result is result.ResultCode.TURN_UNDER_WAY
        )


@pytest.mark.parametrize("outcome", [messages.DONE, messages.NOT_RUN, messages.UNKNOWN])
@pytest.mark.parametrize("retained", [True, False])
def test_an_ended_attempt_never_begins_again(outcome, retained):
    book = call_sessions.CallSessions()
    take(book, begin("a", retained=retained, keep=clock.seconds(5)), START)
    take(book, end("a", outcome), START)
    for late in (0, 9, 20, 59):
        now = START + clock.seconds(late)
        settle(book, now)
        refusal = refused(book, begin("a", retained=retained, keep=clock.seconds(5)), now)
        assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, turn_history.RAN_BY_OUTCOME[outcome])
        assert refused(taken_over(book), begin("a"), now).result is result.ResultCode.STALE_TURN
    settle(book, START + clock.seconds(80))
    settle(book, START + clock.seconds(160))
    assert book.size() == 0


def test_a_turn_that_did_not_run_leaves_word_before_its_start_arrives():
    book = call_sessions.CallSessions()
    assert take(book, end("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert take(book, end("a", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    refusal = refused(book, begin("a"), START + clock.seconds(59))
    assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.NOT_RUN)
    assert refused(book, end("a"), START).result is result.ResultCode.STALE_TURN
    settle(book, START + clock.seconds(71))
    assert book.size() == 0
    for outcome in (messages.DONE, messages.UNKNOWN):
        refusal = refused(book, end("b", outcome), START)
        assert (refusal.result, refusal.ran) == (result.ResultCode.UNKNOWN_TURN, result.Ran.UNKNOWN)


def test_words_about_attempts_that_did_not_run_are_bounded(monkeypatch):
    monkeypatch.setattr(turn_history, "MAX_TURNS", 5)
    monkeypatch.setattr(operation_keys, "MAX_KEYS", 5)
    book = call_sessions.CallSessions()
    for number in range(5):
        take(book, end(f"t{number}", messages.NOT_RUN), START)
        take(book, close(f"t{number}", messages.NOT_RUN), START)
    for command in (end("t9", messages.NOT_RUN), begin("t9"), close("t9", messages.NOT_RUN), claim("t9")):
        refusal = refused(book, command, START)
        assert refusal.result is result.ResultCode.OVERLOADED and refusal.retry is not None


def test_history_of_a_full_ledger_is_refused_not_dropped(monkeypatch):
    monkeypatch.setattr(call_sessions, "MAX_PAYLOAD_BYTES", 1000)
    monkeypatch.setattr(token_budget, "MAX_PROGRAMS", 2)
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a", input=bytes(1000)), START)
    assert refused(book, begin("b", "a"), START).result is result.ResultCode.OVERLOADED
    assert refused(book, claim("c"), START).result is result.ResultCode.OVERLOADED
    assert take(book, begin("b", "a", retained=False), START).complete
    take(book, begin("q", program="q", retained=False), START)
    assert refused(book, begin("r", program="r", retained=False), START).result is result.ResultCode.OVERLOADED
    monkeypatch.setattr(turn_history, "MAX_CHAIN_BYTES", 999)
    assert refused(book, begin("d", "a", retained=False), START).result is result.ResultCode.TOO_LARGE


def test_a_turn_answered_less_than_its_keep_time_ago_is_there_also_after_takeovers():
    book, now = call_sessions.CallSessions(), START
    line(book, "ab", now)
    settle(book, now + KEEP - clock.seconds(0.1))
    assert take(book, entry.FindTurn("b"), now).found
    book = taken_over(book)
    now += KEEP - clock.seconds(1)
    settle(book, now)
    settle(book, now + KEEP)
    assert [one.attempt for one in take(book, begin("c", "b"), now + KEEP).chain] == ["a", "b"]


def test_a_chain_is_kept_as_long_as_a_turn_that_goes_on_from_it_is_kept_or_under_way():
    book, now = call_sessions.CallSessions(), START
    line(book, "abc", now)
    take(book, begin("d", "b", within=clock.seconds(500)), now)
    settle(book, now + clock.seconds(200))
    assert set(book.history.retained) == {"a", "b"}
    take(book, end("d"), now + clock.seconds(200))
    settle(book, now + clock.seconds(265))
    assert set(book.history.retained) == {"a", "b", "d"}
    settle(book, now + clock.seconds(271))
    assert not book.history.retained and book.payload_bytes() == 0 and not book.history.successors


def test_a_whole_chain_goes_at_once_when_its_youngest_turn_goes():
    book = call_sessions.CallSessions()
    line(book, "abcdefghijkl", START)
    commands = book.due(START + clock.seconds(71), lambda edge: False)
    assert commands[-1].turns == tuple("lkjihgfedcba")
    other = taken_over(book)
    assert other.due(START + clock.seconds(71), lambda edge: False) == ()
    assert len(other.due(START + clock.seconds(142), lambda edge: False)[-1].turns) == 12


def test_a_turn_whose_end_is_not_known_is_not_called_unknown():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    for command in (begin("b", "a"), entry.FindTurn("a")):
        refusal = refused(book, command, START)
        assert (refusal.result, refusal.result.status, refusal.ran) == (
            result.ResultCode.TURN_NOT_ENDED,
            503,
            result.Ran.NOT_RUN,
        )
    take(book, end("a", messages.UNKNOWN), START)
    assert refused(book, begin("b", "a"), START).result is result.ResultCode.TURN_NOT_ENDED
    take(book, end("a"), START)
    assert take(book, begin("b", "a"), START).chain[0].attempt == "a"
    take(book, begin("c"), START)
    take(book, end("c", messages.NOT_RUN), START)
    refusal = refused(book, begin("d", "c"), START)
    assert (refusal.result, refusal.result.status) == (result.ResultCode.UNKNOWN_TURN, 404)
    assert not take(book, entry.FindTurn("c"), START).found


def test_a_chain_of_another_group_is_kept_here_too():
    there, here = call_sessions.CallSessions(), call_sessions.CallSessions()
    line(there, "abc", START)
    base = take(there, entry.FindTurn("c"), START).chain
    assert refused(here, begin("d", "c"), START).result is result.ResultCode.UNKNOWN_TURN
    for wrong in (
        base[:2],
        base[1:],
        base[::-1],
        base + base,
        (dataclasses.replace(base[0], attempt="d"), *base[1:]),
    ):
        assert refused(here, begin("d", "c", base=wrong), START).result is result.ResultCode.MALFORMED
    reply = take(here, begin("d", "c", base=base), START)
    assert reply.chain == base and reply.complete and reply.worker == "i-1"
    take(here, end("d"), START)
    assert [one.attempt for one in take(here, begin("e", "d"), START).chain] == list("abcd")
    assert "".join(one.attempt for one in take(here, begin("f", "a"), START).chain) == "a"
    line(there, "xyz", START)
    shared = take(there, begin("g", "b"), START)
    take(there, end("g"), START)
    base = take(there, entry.FindTurn("g"), START).chain
    assert [one.attempt for one in shared.chain] == ["a", "b"]
    events, _ = here.decide(begin("h", "g", base=base), START)
    assert [one.attempt for one in events[0].base] == ["g"]
    reply = take(here, begin("h", "g", base=base), START)
    assert [one.attempt for one in reply.chain] == ["a", "b", "g"] and len(here.history.retained) == 5
    for attempt in "efh":
        take(here, end(attempt, messages.NOT_RUN), START)
    settle(here, START + clock.seconds(75))
    settle(here, START + clock.seconds(150))
    assert here.size() == 0 and here.payload_bytes() == 0


def test_turns_of_a_lost_edge_or_over_their_time_are_charged_and_a_late_end_puts_it_right():
    book = call_sessions.CallSessions()
    line(book, "a", START)
    for attempt, edge in (("b", "lost 1"), ("c", "e"), ("d", "lost 1")):
        take(book, begin(attempt, "a", budget=100, edge=edge), START)
    assert [one.attempt for one in settle(book, START, lambda edge: edge == "lost 1")] == ["b", "d"]
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (20, 10)
    assert not settle(book, START + WITHIN + BEYOND)
    assert [one.attempt for one in settle(book, START + WITHIN + BEYOND + clock.seconds(0.1))] == ["c"]
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (30, 0)
    for _ in range(2):
        assert take(book, end("b", used=4), START) == messages.Closed(messages.DONE)
        assert take(book, end("b", messages.UNKNOWN), START) == messages.Closed(messages.DONE)
        assert take(book, end("d", messages.NOT_RUN), START) == messages.Closed(messages.NOT_RUN)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (14, 0)
    assert [one.attempt for one in take(book, begin("f", "b"), START).chain] == ["a", "b"]


def test_a_late_end_whose_chain_is_gone_is_refused():
    book = call_sessions.CallSessions()
    line(book, "a", START, keep=clock.seconds(1))
    take(book, begin("b", "a", keep=clock.seconds(1)), START)
    settle(book, START + clock.seconds(14))
    settle(book, START + clock.seconds(15))
    assert "a" not in book.history.retained and book.history.finished["b"].outcome == messages.UNKNOWN
    refusal = refused(book, end("b"), START + clock.seconds(15))
    assert (refusal.result, refusal.ran) == (result.ResultCode.STALE_TURN, result.Ran.UNKNOWN)


# -- keys --------------------------------------------------------------------------------------------
