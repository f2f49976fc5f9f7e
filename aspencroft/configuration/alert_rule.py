"""Alert rules: operators' resources in the format of Prometheus rules, some of which control the cluster."""

import dataclasses
import datetime
import re

import promql_parser
import voluptuous

from aspencroft.configuration import alert_expression

KEEP_AWAKE, HOLD_MOVES, SHED = "keep_awake", "hold_moves", "shed"
NAME = voluptuous.Match(re.compile(r"^[a-zA-Z_][a-zA-Z0-9_]{0,63}\Z"))
KEEP_FIRING = datetime.timedelta(seconds=15)


def valid_expression(text: object) -> str:
    """Validate the text of an expression and return it."""
    if not isinstance(text, str):
        raise voluptuous.Invalid("expected an expression")
    try:
        alert_expression.parse(text)
    except alert_expression.UnsupportedExpressionError as error:
        raise voluptuous.Invalid(str(error)) from None
    return text


def valid_duration(text: str) -> str:
    """Validate the text of a duration such as 30s or 5m, at most one day, and return it."""
    try:
        duration = promql_parser.parse_duration(text)
    except Exception:
        raise voluptuous.Invalid("expected a duration such as 30s") from None
    if duration > datetime.timedelta(days=1):
        raise voluptuous.Invalid("at most a day")
    return text


def check_control_labels(spec: dict) -> dict:
    """Validate the control label, of which only ``shed`` needs an urgency label, from 1 to 9."""
    labels = spec.get("labels", {})
    control, urgency = labels.get("control"), labels.get("urgency")
    if control is not None and control not in (KEEP_AWAKE, HOLD_MOVES, SHED):
        raise voluptuous.Invalid(f"expected {KEEP_AWAKE}, {HOLD_MOVES} or {SHED}", path=["labels", "control"])
    if control == SHED and (urgency is None or not re.match(r"^[1-9]\Z", urgency)):
        raise voluptuous.Invalid(
            "shed needs an urgency from 1 to 9; urgency 0 is never shed", path=["labels", "urgency"]
        )
    return spec


TEXTS_BY_NAME = voluptuous.Schema({NAME: voluptuous.All(str, voluptuous.Length(max=1000))})
SCHEMA = voluptuous.Schema(
    voluptuous.All(
        {
            voluptuous.Required("alert"): voluptuous.All(str, NAME),
            voluptuous.Required("expr"): valid_expression,
            voluptuous.Optional("for", default="0s"): valid_duration,
            voluptuous.Optional("keep_firing_for", default="15s"): valid_duration,
            voluptuous.Optional("labels", default={}): TEXTS_BY_NAME,
            voluptuous.Optional("annotations", default={}): TEXTS_BY_NAME,
        },
        check_control_labels,
    )
)


@dataclasses.dataclass(frozen=True)
class Rule:
    """A typed rule, as the alerts role evaluates it."""

    name: str
    tree: object
    wait: datetime.timedelta
    keep: datetime.timedelta
    control: str
    urgency: int


def of(name: str, spec: dict) -> Rule:
    """Return the typed rule of a valid resource."""
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
