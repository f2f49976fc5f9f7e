"""Tests of ``aspencroft.configuration.control_state``."""

import json

import aspencroft.configuration.control_state as control_module
from aspencroft.errors import result
from aspencroft.runtime import clock


def test_conditional_writes_race_and_pictures_hold_all():
    control = control_module.ControlState()
    now = clock.seconds(1)
    body = json.dumps({"services": {"a": {"kind": "plain"}}})
    events, reply = control.decide(control_module.WriteResources("merge", "", "", body, control_module.NEVER), now, 2)
    for event in events:
        control.apply(event)
    assert reply.revision == control_module.Revision(2, 1)
    try:
        control.decide(
            control_module.WriteResources("put", "services", "a", '{"kind": "model"}', control_module.NEVER),
            now,
            2,
        )
        raise AssertionError("a lost race was not refused")
    except result.RequestError as refusal:
        assert refusal.result is result.ResultCode.REVISION_DIFFERS
    again = control_module.ControlState()
    again.restore(control.snapshot())
    assert again.snapshot() == control.snapshot()
