"""An alert rule: an operator's resource in the Prometheus rule form, an input to control."""

import dataclasses
import datetime
import re

import promql_parser
import voluptuous

from aspencroft.configuration import alert_expression

KEEP_AWAKE, HOLD_MOVES, SHED = "keep_awake", "hold_moves", "shed"
NAME = voluptuous.Match(re.compile(r"^[a-zA-Z_][a-zA-Z0-9_]{0,63}\Z"))
KEEP_FIRING = datetime.timedelta(seconds=15)


def usable(text: object) -> str:
    """The expression's text, if it can be used."""
    if not isinstance(text, str):
        raise voluptuous.Invalid("expected an expression")
    try:
        alert_expression.parse(text)
    except alert_expression.UnsupportedExpressionError as error:
        raise voluptuous.Invalid(str(error)) from None
    return text


def span(text: str) -> str:
    """The text of a duration such as 30s or 5m, at most a day."""
    try:
        found = promql_parser.parse_duration(text)
    except Exception:
        raise voluptuous.Invalid("expected a duration such as 30s") from None
    if found > datetime.timedelta(days=1):
        raise voluptuous.Invalid("at most a day")
    return text


def complete(spec: dict) -> dict:
    """Labels that act name what they need: shed an urgency from 1 to 9, the others none."""
    labels = spec.get("labels", {})
    control, urgency = labels.get("control"), labels.get("urgency")
    if control is not None and control not in (KEEP_AWAKE, HOLD_MOVES, SHED):
        raise voluptuous.Invalid(f"expected {KEEP_AWAKE}, {HOLD_MOVES} or {SHED}", path=["labels", "control"])
    if control == SHED and (urgency is None or not re.match(r"^[1-9]\Z", urgency)):
        raise voluptuous.Invalid(
            "shed needs an urgency from 1 to 9; urgency 0 is never shed", path=["labels", "urgency"]
        )
    return spec


TEXTS = voluptuous.Schema({NAME: voluptuous.All(str, voluptuous.Length(max=1000))})
SCHEMA = voluptuous.Schema(
    voluptuous.All(
        {
            voluptuous.Required("alert"): voluptuous.All(str, NAME),
            voluptuous.Required("expr"): usable,
            voluptuous.Optional("for", default="0s"): span,
            voluptuous.Optional("keep_firing_for", default="15s"): span,
            voluptuous.Optional("labels", default={}): TEXTS,
            voluptuous.Optional("annotations", default={}): TEXTS,
        },
        complete,
    )
)


@dataclasses.dataclass(frozen=True)
class Rule:
    """A rule as the alerts duty uses it."""

    name: str
    tree: object
    wait: datetime.timedelta
    keep: datetime.timedelta
    control: str
    urgency: int


def of(name: str, spec: dict) -> Rule:
    """The typed rule of a checked resource."""
    labels = spec.get("labels", {})
    control = labels.get("control", "")
    return Rule(
        name,
        alert_expression.parse(spec["expr"]),
        promql_parser.parse_duration(spec.get("for", "0s")),
        promql_parser.parse_duration(spec.get("keep_firing_for", "15s")),
        control,
        int(labels["urgency"]) if control == SHED else 10,
    )
