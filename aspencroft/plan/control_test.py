"""Tests of ``aspencroft.plan.control``."""

import json

import aspencroft.code.result as result
import aspencroft.plan.control as control_module
import aspencroft.seam.moment as moment


def test_conditional_writes_race_and_pictures_hold_all():
    control = control_module.Control()
    now = moment.seconds(1)
    body = json.dumps({"services": {"a": {"kind": "plain"}}})
    events, reply = control.decide(control_module.WritePlan("merge", "", "", body, control_module.NEVER), now, 2)
    for event in events:
        control.fold(event)
    assert reply.revision == control_module.Revision(2, 1)
    try:
        control.decide(control_module.WritePlan("put", "services", "a", '{"kind": "model"}', control_module.NEVER), now, 2)
        raise AssertionError("a lost race was not refused")
    except result.Refusal as refusal:
        assert refusal.result is result.Result.REVISION_DIFFERS
    again = control_module.Control()
    again.restore(control.picture())
    assert again.picture() == control.picture()
