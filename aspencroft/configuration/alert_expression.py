"""The subset of the Prometheus expression language that alert rules may use, parsed by promql-parser.

A condition is a metric, with label matchers or not, or ``sum``, ``max``, ``min`` or ``avg`` over one, compared
with a number by ``>``, ``>=``, ``<``, ``<=``, ``==`` or ``!=``; conditions are joined by ``and`` and ``or``.
Anything else is rejected with an error that names it.
"""

import operator
import statistics
import typing

import promql_parser

from aspencroft.tracing import sample

MAX_CHARACTERS = 1000
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
    """The expression uses an unsupported part of the language, which the text names."""


def parse(text: str) -> promql_parser.Expr:
    """Parse and check an expression.

    Raises:
        UnsupportedExpressionError: the expression is invalid or uses an unsupported part of the language.

    """
    if len(text) > MAX_CHARACTERS:
        raise UnsupportedExpressionError(f"longer than {MAX_CHARACTERS} characters")
    try:
        tree = promql_parser.parse(text)
    except Exception as error:
        # promql-parser does not document the exceptions it raises; any of them means that the input is invalid.
        raise UnsupportedExpressionError(f"not a valid expression: {error}"[:300]) from None
    check(tree)
    return tree


def check(tree: typing.Any) -> None:
    """Raise an error for anything outside the supported subset."""
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
        literal_value(tree.rhs)
    else:
        raise UnsupportedExpressionError(f"{tree.op}: the operator is not supported")


def check_left_side(tree: typing.Any) -> None:
    """Check that the left side of a comparison is a metric, or one of the four aggregations over a metric."""
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


def literal_value(tree: typing.Any) -> float:
    """Return the number on the right side of a comparison.

    Example: ``literal_value(promql_parser.parse("-3")) == -3.0``
    """
    if isinstance(tree, promql_parser.NumberLiteral):
        return tree.val
    if isinstance(tree, promql_parser.UnaryExpr) and isinstance(tree.expr, promql_parser.NumberLiteral):
        return -tree.expr.val
    raise UnsupportedExpressionError(f"{tree.prettify().strip()}: expected a number")


def holds(tree: typing.Any, samples: tuple[sample.Sample, ...]) -> bool:
    """Whether a valid expression is true for some samples; a comparison without matching samples is false."""
    if isinstance(tree, promql_parser.ParenExpr):
        return holds(tree.expr, samples)
    if str(tree.op) in ("and", "or"):
        operands = (holds(tree.lhs, samples), holds(tree.rhs, samples))
        return all(operands) if str(tree.op) == "and" else any(operands)
    left, aggregate = tree.lhs, None
    if isinstance(left, promql_parser.AggregateExpr):
        aggregate = AGGREGATIONS[str(left.op)]
        left = left.expr
    values = [
        candidate.value
        for candidate in samples
        if candidate.name == left.name
        and all(
            MATCHERS[str(match.op)](
                next((label.value for label in candidate.labels if label.name == match.name), ""), match.value
            )
            for match in left.matchers.matchers
        )
    ]
    if not values:
        return False
    compare, threshold = COMPARISONS[str(tree.op)], literal_value(tree.rhs)
    return any(compare(value, threshold) for value in ([aggregate(values)] if aggregate is not None else values))
