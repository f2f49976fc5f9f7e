"""Tests of ``aspencroft.configuration.lane``."""

import datetime

import voluptuous

from aspencroft.configuration import lane as lane_module


def test_lane_defaults_and_refusals():
    lane = lane_module.of("chat", {"kind": "turns", "services": ["planner"], "keep": 2.5})
    assert lane.keep == datetime.timedelta(seconds=2.5) and not lane.repeatable
    for spec in (
        {"kind": "turns", "services": []},
        {"kind": "x", "services": ["a"]},
        {"kind": "turns", "services": ["a"], "colour": 1},
    ):
        try:
            lane_module.SCHEMA(spec)
        except voluptuous.Invalid:
            continue
        raise AssertionError(spec)
