"""Tests of ``aspencroft.tracing.trace``."""

import datetime

from aspencroft.tracing import trace


def test_stories_are_bounded():
    traces = trace.Traces("n:1")
    for number in range(trace.MAX_TRACES + 10):
        traces.add(f"r{number}", "chat", datetime.timedelta(), "accepted")
    assert len(traces.held) == trace.MAX_TRACES and "r0" not in traces.held
