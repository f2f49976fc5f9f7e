"""The room of a session group: reserved when a turn begins, shared fairly among programs, and never counted twice."""

import random

import pytest

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages
from aspencroft.sessions.call_sessions_test import (
    START,
    begin,
    claim,
    close,
    end,
    execute,
    rejection_of,
    run_due_commands,
)
from aspencroft.sessions.retention_test import restored_successor


def begin_retained(attempt: str, size: int, previous: str = "", **changes) -> entry.BeginRetainedTurn:
    """Build the start of a turn that is expected to add so many bytes."""
    return entry.BeginRetainedTurn(begin(attempt, previous, **changes), size)


def limited(max_bytes: int) -> call_sessions.CallSessions:
    """A group that may hold so many bytes."""
    calls = call_sessions.CallSessions()
    calls.max_payload_bytes = max_bytes
    return calls


def test_the_program_that_holds_most_is_refused_first_and_one_that_holds_little_goes_on():
    """Guards against programs that can't go on because another one filled their group."""
    calls = limited(100_000)
    execute(calls, begin_retained("s1", 100, program="small"), START)
    execute(calls, end("s1", program="small", input=bytes(100), output=b""), START)
    previous, taken = "", 0
    while True:
        command = begin_retained(f"l{taken}", 10_000, previous, program="large")
        if calls.wanted_limit(command) > 100_000:
            break
        execute(calls, command, START)
        previous, taken = f"l{taken}", taken + 1
        execute(calls, end(previous, program="large", input=bytes(10_000), output=b""), START)
    assert taken == 6, "two thirds of what there is, as it may hold twice what is left"
    refused = rejection_of(calls, begin_retained("l", 10_000, previous, program="large"), START)
    assert refused.result is result.ResultCode.OVERLOADED and refused.ran is result.Ran.NOT_RUN and refused.retry
    assert "'large' 60000 of them" in refused.detail
    execute(calls, begin_retained("s2", 10_000, "s1", program="small"), START)
    execute(calls, begin_retained("n1", 10_000, program="new"), START)


def test_a_turn_takes_its_room_when_it_begins_and_gives_back_what_it_did_not_use():
    """Guards against bytes that count only at the end, when they are in memory already, or that are lost on the way."""
    for outcome, kept in ((messages.DONE, 30), (messages.UNKNOWN, 0), (messages.NOT_RUN, 0)):
        calls = limited(100_000)
        execute(calls, begin_retained("a", 40_000), START)
        assert calls.payload_bytes() == 40_000 and calls.history.program_bytes["p"] == 40_000
        execute(calls, begin_retained("a", 40_000), START)
        assert calls.payload_bytes() == 40_000, "a repeated start reserves nothing more"
        assert rejection_of(calls, begin_retained("b", 40_000), START).result is result.ResultCode.OVERLOADED
        copy = restored_successor(calls)
        assert copy.payload_bytes() == 40_000 and copy.history.expected == {"a": 40_000}
        for one in (calls, copy):
            execute(one, end("a", outcome, input=bytes(20), output=bytes(10)), START)
            execute(one, end("a", outcome, input=bytes(20), output=bytes(10)), START)
            assert one.payload_bytes() == kept and not one.history.expected
            assert one.history.program_bytes.total() == kept


def test_an_answer_for_which_a_full_group_has_no_room_is_not_stored_and_its_operation_never_runs_again():
    """Guards against answers under way that take a group over its bound together."""
    calls = limited(10_000)
    for number in range(4):
        execute(calls, claim(f"a{number}", key=f"k{number}"), START)
    for number in range(4):
        execute(calls, close(f"a{number}", key=f"k{number}", headers=(), body=bytes(4_000)), START)
    assert calls.payload_bytes() == 8_000
    outcomes = [execute(calls, claim("again", key=f"k{number}"), START).outcome for number in range(4)]
    assert outcomes == [messages.DONE, messages.DONE, entry.NOT_KEPT, entry.NOT_KEPT]


@pytest.mark.parametrize("seed", range(20))
def test_reserved_and_held_bytes_are_those_of_the_turns_that_exist(seed):
    """Guards against counts of bytes that drift from what is held over turns, repeats, expiry and snapshots."""
    randomness, calls, now, ended = random.Random(seed), limited(200_000), START, [""]
    for number in range(150):
        attempt, program = f"t{number}", f"p{randomness.randrange(4)}"
        size = randomness.randrange(20_000)
        try:
            execute(calls, begin_retained(attempt, size, randomness.choice(ended[-3:]), program=program), now)
        except result.RequestError:
            now += clock.seconds(5)
        if randomness.random() < 0.8 and attempt in calls.history.in_flight:
            outcome = randomness.choice([messages.DONE, messages.DONE, messages.UNKNOWN, messages.NOT_RUN])
            execute(calls, end(attempt, outcome, program=program, input=bytes(size), output=b"o"), now)
            ended += [attempt] if outcome == messages.DONE else []
        if randomness.random() < 0.05:
            run_due_commands(calls, now)
        if randomness.random() < 0.05:
            limit = calls.max_payload_bytes
            calls = restored_successor(calls)
            calls.max_payload_bytes = limit
        retained = calls.history.retained.values()
        expected = {name: size for name, size in calls.history.expected.items() if name in calls.history.in_flight}
        held = sum(len(one.turn.input) + len(one.turn.output) for one in retained) + sum(expected.values())
        assert expected == calls.history.expected
        assert calls.history.bytes == held == calls.history.program_bytes.total() and calls.payload_bytes() == held
        assert min(calls.history.program_bytes.values(), default=1) > 0
        assert held <= 200_000 + 1
        ended = [one for one in ended if one in calls.history.retained or not one]


def test_a_large_chain_is_not_sent_with_the_reply_but_can_be_fetched():
    """Guards against edges that receive a chain for which they have no memory."""
    calls = limited(24 << 20)
    size = call_sessions.LARGE_CHAIN_BYTES
    execute(calls, begin_retained("a", size), START)
    execute(calls, end("a", input=bytes(size), output=b""), START)
    small = execute(calls, begin_retained("b", 1, "a"), START)
    assert isinstance(small, entry.TurnBegun) and len(small.chain) == 1
    execute(calls, end("b", input=b"1", output=b""), START)
    for attempt in ("c", "c"):
        assert execute(calls, begin_retained(attempt, 1, "b"), START) == entry.LargeChainBegun(size + 1, "i-1")
    found = execute(calls, entry.FindTurn("b"), START)
    assert found.found and [one.attempt for one in found.chain] == ["a", "b"]
    held = execute(calls, begin_retained("d", 1, "b", held_turn="b"), START)
    assert isinstance(held, entry.TurnBegun) and held.chain == ()
