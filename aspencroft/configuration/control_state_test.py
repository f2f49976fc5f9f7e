"""Tests of ``aspencroft.configuration.control_state``."""

import json

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.runtime import clock


def test_of_two_conditional_writes_one_is_rejected_and_a_snapshot_restores_everything():
    control = control_state.ControlState()
    now = clock.seconds(1)
    body = json.dumps({"services": {"a": {"kind": "plain"}}})
    events, reply = control.decide(control_state.WriteResources("merge", "", "", body, control_state.NEVER), now, 2)
    for event in events:
        control.apply(event)
    assert reply.revision == control_state.Revision(2, 1)
    try:
        control.decide(
            control_state.WriteResources("put", "services", "a", '{"kind": "model"}', control_state.NEVER),
            now,
            2,
        )
        raise AssertionError("a write at an outdated revision was accepted")
    except result.RequestError as refusal:
        assert refusal.result is result.ResultCode.REVISION_DIFFERS
    restored = control_state.ControlState()
    restored.restore(control.snapshot())
    assert restored.snapshot() == control.snapshot()
