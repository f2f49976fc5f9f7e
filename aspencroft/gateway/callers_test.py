"""Tests of ``aspencroft.gateway.callers``."""

from aspencroft.configuration import lane
from aspencroft.errors import result
from aspencroft.gateway import callers


def test_requests_are_checked_and_bounded_by_the_lane():
    lanes = {"chat": lane.of("chat", {"kind": "turns", "services": ["a"], "budget": 100, "turn_output": 10})}
    request = callers.request_of({"lane": "chat", "input": "x", "program": "p", "most": 50, "budget": 70}, lanes, "id")
    assert request.most == 10 and request.budget == 70
    for body in (
        {},
        [],
        {"lane": "chat"},
        {"lane": "other", "input": 1},
        {"lane": "chat", "input": 1, "x": 1},
        {"lane": "chat", "input": 1, "after": -1},
    ):
        try:
            callers.request_of(body, lanes, "id")
        except result.RequestError as refusal:
            assert refusal.ran is result.Ran.NOT_RUN
            continue
        raise AssertionError(body)
