"""The room of a session group: shared fairly among programs, and never counted twice."""

from aspencroft.sessions import call_sessions, entry, messages
from aspencroft.sessions.call_sessions_test import START, claim, close, execute


def limited(max_bytes: int) -> call_sessions.CallSessions:
    """A group that may hold so many bytes."""
    calls = call_sessions.CallSessions()
    calls.max_payload_bytes = max_bytes
    return calls


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
