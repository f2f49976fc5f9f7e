"""Tests of ``aspencroft.configuration.refused_orders`` through the control group's state machine."""

import json

import pytest

from aspencroft.configuration import control_state, operator_configuration, refused_orders
from aspencroft.configuration.operator_configuration_test import order, route, service
from aspencroft.errors import result
from aspencroft.transport import codec


def send(state: control_state.ControlState, command: operator_configuration.ApplyConfiguration) -> object:
    """Decide an order, apply its events and return the reply, which may be a rejection."""
    try:
        events, reply = state.decide(command, None, 1)
    except result.RequestError as refusal:
        return refusal
    for event in events:
        state.apply(codec.untagged(codec.tagged(event)))
    return reply


def write(state: control_state.ControlState, document: dict) -> None:
    events, _ = state.decide(control_state.WriteResources("merge", "", "", json.dumps(document), None), None, 1)
    for event in events:
        state.apply(event)


def restored(state: control_state.ControlState) -> control_state.ControlState:
    copy = control_state.ControlState()
    copy.restore(state.snapshot())
    assert copy.snapshot() == state.snapshot()
    return copy


def configured() -> control_state.ControlState:
    state = control_state.ControlState()
    send(state, order(1, 0, [service("s", "words")]))
    return state


def code(reply: object) -> result.ResultCode | None:
    return reply.result if isinstance(reply, result.RequestError) else None


@pytest.mark.parametrize("restart", [False, True])
def test_an_order_refused_ahead_of_the_version_stays_refused_once_that_version_comes(restart):
    state, ahead = configured(), order(5, 3, [service("s", "ahead")])
    assert code(send(state, ahead)) is result.ResultCode.REVISION_DIFFERS
    assert not isinstance(send(state, order(3, 1, [service("s", "third")])), result.RequestError)
    state = restored(state) if restart else state
    assert code(send(state, ahead)) is result.ResultCode.REVISION_DIFFERS
    assert state.configuration.version == 3
    assert not isinstance(send(state, order(4, 3, [service("s", "fourth")])), result.RequestError)
    assert len(state.configuration.refused) == 0, "rejections of orders that can never be accepted are discarded"
    assert code(send(state, ahead)) is result.ResultCode.REVISION_DIFFERS


def test_an_order_refused_for_a_resource_that_another_writer_adds_stays_refused():
    state = configured()
    faulty = order(2, 1, [route("r", "/a/", "missing")], [])
    assert code(send(state, faulty)) is result.ResultCode.PLAN_INVALID
    write(state, {"services": {"missing": {"kind": "plain"}}})
    refusal = send(state, faulty)
    assert code(refusal) is result.ResultCode.PLAN_INVALID and json.loads(refusal.detail)
    assert not isinstance(send(state, order(3, 1, [route("r", "/a/", "missing")], [])), result.RequestError)


def test_other_content_under_the_same_number_is_another_order():
    state = configured()
    assert code(send(state, order(5, 3, [service("s", "one")]))) is result.ResultCode.REVISION_DIFFERS
    send(state, order(3, 1, [service("s", "third")]))
    assert not isinstance(send(state, order(5, 3, [service("s", "other")])), result.RequestError)


def test_a_full_record_gives_no_clear_answer_and_never_a_refusal_that_might_not_last(monkeypatch):
    monkeypatch.setattr(refused_orders, "MAX_REFUSALS", 2)
    state = configured()
    for number in range(2):
        assert code(send(state, order(9 + number, 8, [service("s", "x")]))) is result.ResultCode.REVISION_DIFFERS
    assert code(send(state, order(20, 8, [service("s", "x")]))) is result.ResultCode.OUTCOME_UNKNOWN
    assert code(send(state, order(9, 8, [service("s", "x")]))) is result.ResultCode.REVISION_DIFFERS
    assert code(send(state, order(9, 0, [service("s", "x")]))) is result.ResultCode.REVISION_DIFFERS, (
        "the order can never be accepted"
    )


def test_a_snapshot_of_earlier_software_has_no_refusals():
    shown = json.loads(configured().snapshot())
    assert "refused" not in shown["configuration"]
    state = control_state.ControlState()
    send(state, order(5, 3, [service("s", "ahead")]))
    state.restore(json.dumps(shown).encode())
    assert state.configuration.version == 1 and len(state.configuration.refused) == 0
