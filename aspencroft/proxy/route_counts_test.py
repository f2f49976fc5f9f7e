"""Tests of the counts by route."""

import datetime

from aspencroft.errors import result
from aspencroft.proxy import route_counts


def test_refusals_and_failed_attempts_are_told_apart_by_route_and_result():
    counts = route_counts.RouteCounts()
    for route, code in (("a", result.ResultCode.OVERLOADED), ("a", result.ResultCode.OVERLOADED)):
        counts.record_refused(route, result.RequestError(code))
    counts.record_refused("b", result.RequestError(result.ResultCode.OUT_OF_BUDGET))
    counts.record_failed_attempt("b", result.RequestError(result.ResultCode.PUT_BACK))
    shown = counts.document()
    assert shown["a"]["refused"] == {str(result.ResultCode.OVERLOADED.number): 2}
    assert shown["b"]["refused"] == {str(result.ResultCode.OUT_OF_BUDGET.number): 1}
    assert (shown["a"]["failed attempts"], shown["b"]["failed attempts"]) == (
        {},
        {str(result.ResultCode.PUT_BACK.number): 1},
    )


def test_a_stage_tells_how_often_how_long_and_the_longest():
    counts = route_counts.RouteCounts()
    for seconds in (0.25, 1.5):
        counts.of("a").stages[route_counts.Stage.BEGIN].add(datetime.timedelta(seconds=seconds))
    assert counts.document()["a"]["stages"] == {"begin": {"count": 2, "seconds": 1.75, "longest": 1.5}}
    labels = {(one.name, tuple(label.value for label in one.labels)): one.value for one in counts.samples()}
    assert labels == {
        ("aspencroft_route_stage_total", ("a", "begin")): 2.0,
        ("aspencroft_route_stage_seconds_total", ("a", "begin")): 1.75,
    }


def test_routes_beyond_the_bound_are_counted_together():
    counts = route_counts.RouteCounts(max_routes=2)
    for number in range(100):
        counts.record_refused(f"r{number}", result.RequestError(result.ResultCode.OVERLOADED))
    assert set(counts.document()) == {"r0", "r1", route_counts.OTHER_ROUTES}
    assert sum(counts.of("r99").refused.values()) == 98
    assert len(counts.samples()) == 3
