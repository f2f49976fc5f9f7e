"""Tests of ``aspencroft.configuration.alert_expression``."""

from aspencroft.configuration import alert_expression
from aspencroft.tracing import sample


def test_only_the_supported_part_is_taken_and_missing_samples_hold_nothing():
    samples = (sample.sample("a", 2, node="x"), sample.sample("a", 5, node="y"), sample.sample("b", 0))
    for text, expected in (
        ("a > 4", True),
        ("a > 5", False),
        ("sum(a) == 7", True),
        ("avg(a) < 3.4", False),
        ('a{node="x"} >= 2', True),
        ('a{node!="y"} > 2', False),
        ("min(a) <= 2 and max(a) != 4", True),
        ("c < 1", False),
        ("c < 1 or b == 0", True),
        ("(a > 9 or b > 9) or b > -1", True),
        ("sum(c) == 0", False),
    ):
        assert alert_expression.holds(alert_expression.parse(text), samples) is expected, text
    for text in (
        "a",
        "rate(a[5m]) > 1",
        "a + 1 > 2",
        "sum by (x) (a) > 1",
        "a > bool 1",
        "a > b",
        'a{x=~"b"} > 1',
        "a offset 5m > 1",
        "topk(3, a) > 1",
        "1 > a",
        "a unless b",
        "",
        "a >",
        "x" * 2000,
        '{x="y"} > 1',
        "a > 1 and b",
    ):
        try:
            alert_expression.parse(text)
        except alert_expression.UnsupportedExpressionError as error:
            assert str(error)
            continue
        raise AssertionError(text)
