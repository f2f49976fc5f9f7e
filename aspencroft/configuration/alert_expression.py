"""The part of the Prometheus expression language that alert rules may use; parsed by promql-parser.

A condition is a metric, with label matchers or not, or ``sum``, ``max``, ``min`` or ``avg`` over one, compared
with a number by ``>``, ``>=``, ``<``, ``<=``, ``==`` or ``!=``; conditions are joined by ``and`` and ``or``.
Anything else is a fault that names it.
"""

import operator
import statistics
import typing

import promql_parser

from aspencroft.tracing import sample

MAX_LETTERS = 1000
COMPARISONS = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "==": operator.eq,
    "!=": operator.ne,
}
AGGREGATIONS: dict[str, typing.Callable[[list[float]], float]] = {
    "sum": sum,
    "max": max,
    "min": min,
    "avg": statistics.fmean,
}
MATCHERS = {
    "MatchOp.Equal": lambda value, wanted: value == wanted,
    "MatchOp.NotEqual": lambda value, wanted: value != wanted,
}


class UnsupportedExpressionError(ValueError):
    """An expression outside the part of the language that is supported; the text names what."""


def parse(text: str) -> promql_parser.Expr:
    """Parse and check an expression.

    Raises:
        UnsupportedExpressionError: names what cannot be used.

    """
    if len(text) > MAX_LETTERS:
        raise UnsupportedExpressionError(f"longer than {MAX_LETTERS} letters")
    try:
        tree = promql_parser.parse(text)
    except Exception as error:
        # The parser does not say which exceptions it raises; whatever it is, the text came from outside.
        raise UnsupportedExpressionError(f"no expression: {error}"[:300]) from None
    check(tree)
    return tree


def check(tree: typing.Any) -> None:
    """Refuse what is outside the supported part."""
    if isinstance(tree, promql_parser.ParenExpr):
        check(tree.expr)
        return
    if not isinstance(tree, promql_parser.BinaryExpr):
        raise UnsupportedExpressionError(f"{tree.prettify().strip()}: a condition compares something with a number")
    if tree.modifier is not None and (tree.modifier.return_bool or tree.modifier.matching is not None):
        raise UnsupportedExpressionError(f"{tree.prettify().strip()}: bool, on and ignoring are not supported")
    if str(tree.op) in ("and", "or"):
        check(tree.lhs)
        check(tree.rhs)
    elif str(tree.op) in COMPARISONS:
        check_left_side(tree.lhs)
        number_value(tree.rhs)
    else:
        raise UnsupportedExpressionError(f"{tree.op}: the operator is not supported")


def check_left_side(tree: typing.Any) -> None:
    """The left side of a comparison: a metric, or one of four aggregations over it."""
    if isinstance(tree, promql_parser.AggregateExpr):
        if str(tree.op) not in AGGREGATIONS:
            raise UnsupportedExpressionError(f"{tree.op}: the aggregation is not supported")
        if tree.modifier is not None or tree.param is not None:
            raise UnsupportedExpressionError(f"{tree.prettify().strip()}: by, without and parameters are not supported")
        tree = tree.expr
    if not isinstance(tree, promql_parser.VectorSelector):
        raise UnsupportedExpressionError(f"{tree.prettify().strip()}: expected a metric")
    if tree.offset is not None or tree.at is not None or not tree.name:
        raise UnsupportedExpressionError(f"{tree.prettify().strip()}: offset, @ and nameless metrics are not supported")
    if tree.matchers.or_matchers:
        raise UnsupportedExpressionError(f"{tree.prettify().strip()}: or between matchers is not supported")
    for matcher in tree.matchers.matchers:
        if str(matcher.op) not in MATCHERS:
            raise UnsupportedExpressionError(f"{matcher.name}: only = and != match labels")


def number_value(tree: typing.Any) -> float:
    """The number on the right side of a comparison.

    Example: ``number_value(promql_parser.parse("-3")) == -3.0``
    """
    if isinstance(tree, promql_parser.NumberLiteral):
        return tree.val
    if isinstance(tree, promql_parser.UnaryExpr) and isinstance(tree.expr, promql_parser.NumberLiteral):
        return -tree.expr.val
    raise UnsupportedExpressionError(f"{tree.prettify().strip()}: expected a number")


def holds(tree: typing.Any, samples: tuple[sample.Sample, ...]) -> bool:
    """Whether a checked expression holds over samples; where samples are missing nothing holds."""
    if isinstance(tree, promql_parser.ParenExpr):
        return holds(tree.expr, samples)
    if str(tree.op) in ("and", "or"):
        either = (holds(tree.lhs, samples), holds(tree.rhs, samples))
        return all(either) if str(tree.op) == "and" else any(either)
    left, aggregate = tree.lhs, None
    if isinstance(left, promql_parser.AggregateExpr):
        aggregate = AGGREGATIONS[str(left.op)]
        left = left.expr
    values = [
        sampled.value
        for sampled in samples
        if sampled.name == left.name
        and all(
            MATCHERS[str(match.op)](
                next((label.value for label in sampled.labels if label.name == match.name), ""), match.value
            )
            for match in left.matchers.matchers
        )
    ]
    if not values:
        return False
    compare, bound = COMPARISONS[str(tree.op)], number_value(tree.rhs)
    return any(compare(value, bound) for value in ([aggregate(values)] if aggregate is not None else values))
