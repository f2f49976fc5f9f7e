"""The part of the Prometheus expression language that alert rules may use; parsed by promql-parser.

A condition is a metric, with label matchers or not, or ``sum``, ``max``, ``min`` or ``avg`` over one, compared
with a number by ``>``, ``>=``, ``<``, ``<=``, ``==`` or ``!=``; conditions are joined by ``and`` and ``or``.
Anything else is a fault that names it.
"""

import operator
import statistics

import promql_parser

from aspencroft.alerts import sample

LONGEST = 1000
COMPARED = {
    ">": operator.gt,
    ">=": operator.ge,
    "<": operator.lt,
    "<=": operator.le,
    "==": operator.eq,
    "!=": operator.ne,
}
OVER = {"sum": sum, "max": max, "min": min, "avg": statistics.fmean}
MATCHED = {
    "MatchOp.Equal": lambda held, wanted: held == wanted,
    "MatchOp.NotEqual": lambda held, wanted: held != wanted,
}


class Unusable(ValueError):
    """An expression outside the part of the language that is supported; the text names what."""


def parsed(text: str):
    """The expression's tree, checked; Unusable names what cannot be used."""
    if len(text) > LONGEST:
        raise Unusable(f"longer than {LONGEST} letters")
    try:
        tree = promql_parser.parse(text)
    except Exception as error:
        raise Unusable(f"no expression: {error}"[:300]) from None
    check(tree)
    return tree


def check(tree) -> None:
    """Refuse what is outside the supported part."""
    if isinstance(tree, promql_parser.ParenExpr):
        check(tree.expr)
        return
    if not isinstance(tree, promql_parser.BinaryExpr):
        raise Unusable(f"{tree.prettify().strip()}: a condition compares something with a number")
    if tree.modifier is not None and (tree.modifier.return_bool or tree.modifier.matching is not None):
        raise Unusable(f"{tree.prettify().strip()}: bool, on and ignoring are not supported")
    if str(tree.op) in ("and", "or"):
        check(tree.lhs)
        check(tree.rhs)
    elif str(tree.op) in COMPARED:
        check_left(tree.lhs)
        number(tree.rhs)
    else:
        raise Unusable(f"{tree.op}: the operator is not supported")


def check_left(tree) -> None:
    """The left side of a comparison: a metric, or one of four aggregations over it."""
    if isinstance(tree, promql_parser.AggregateExpr):
        if str(tree.op) not in OVER:
            raise Unusable(f"{tree.op}: the aggregation is not supported")
        if tree.modifier is not None or tree.param is not None:
            raise Unusable(f"{tree.prettify().strip()}: by, without and parameters are not supported")
        tree = tree.expr
    if not isinstance(tree, promql_parser.VectorSelector):
        raise Unusable(f"{tree.prettify().strip()}: expected a metric")
    if tree.offset is not None or tree.at is not None or not tree.name:
        raise Unusable(f"{tree.prettify().strip()}: offset, @ and nameless metrics are not supported")
    if tree.matchers.or_matchers:
        raise Unusable(f"{tree.prettify().strip()}: or between matchers is not supported")
    for one in tree.matchers.matchers:
        if str(one.op) not in MATCHED:
            raise Unusable(f"{one.name}: only = and != match labels")


def number(tree) -> float:
    """The number on the right side of a comparison.

    Example: ``number(promql_parser.parse("-3")) == -3.0``
    """
    if isinstance(tree, promql_parser.NumberLiteral):
        return tree.val
    if isinstance(tree, promql_parser.UnaryExpr) and isinstance(tree.expr, promql_parser.NumberLiteral):
        return -tree.expr.val
    raise Unusable(f"{tree.prettify().strip()}: expected a number")


def holds(tree, samples: tuple[sample.Sample, ...]) -> bool:
    """Whether a checked expression holds over samples; where samples are missing nothing holds."""
    if isinstance(tree, promql_parser.ParenExpr):
        return holds(tree.expr, samples)
    if str(tree.op) in ("and", "or"):
        either = (holds(tree.lhs, samples), holds(tree.rhs, samples))
        return all(either) if str(tree.op) == "and" else any(either)
    left, over = tree.lhs, None
    if isinstance(left, promql_parser.AggregateExpr):
        left, over = left.expr, OVER[str(left.op)]
    found = [
        one.value
        for one in samples
        if one.name == left.name
        and all(
            MATCHED[str(match.op)](
                next((label.value for label in one.labels if label.name == match.name), ""), match.value
            )
            for match in left.matchers.matchers
        )
    ]
    if not found:
        return False
    compare, bound = COMPARED[str(tree.op)], number(tree.rhs)
    return any(compare(value, bound) for value in ([over(found)] if over else found))
