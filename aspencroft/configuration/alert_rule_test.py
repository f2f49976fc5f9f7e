"""Tests of ``aspencroft.configuration.alert_rule``."""

import datetime

import voluptuous

from aspencroft.configuration import alert_rule


def test_rules_are_checked_with_paths():
    good = {
        "alert": "Crowd",
        "expr": "sum(aspencroft_parked) > 50",
        "for": "10s",
        "labels": {"control": "shed", "urgency": "5"},
        "annotations": {"summary": "many wait"},
    }
    alert_rule.SCHEMA(good)
    assert alert_rule.of("crowd", good).urgency == 5 and alert_rule.of("crowd", good).wait == datetime.timedelta(
        seconds=10
    )
    for change, path in (
        ({"expr": "rate(a[5m]) > 1"}, ["expr"]),
        ({"for": "soon"}, ["for"]),
        ({"for": "3d"}, ["for"]),
        ({"labels": {"control": "dance"}}, ["labels", "control"]),
        ({"expr": 3}, ["expr"]),
        ({"labels": {"control": "shed"}}, ["labels", "urgency"]),
        ({"colour": "x"}, ["colour"]),
        ({"labels": {"control": "shed", "urgency": "0"}}, ["labels", "urgency"]),
    ):
        try:
            alert_rule.SCHEMA({**good, **change})
        except voluptuous.MultipleInvalid as error:
            assert error.errors[0].path == path, (change, error.errors[0].path)
            continue
        raise AssertionError(change)
