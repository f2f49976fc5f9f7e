"""Limits on what callers may send: resource ``limits/edge``."""

import dataclasses
import datetime

import voluptuous

from aspencroft.configuration import lane

EDGE = "edge"
BYTES = voluptuous.All(int, voluptuous.Range(min=1, max=1 << 40))
SECONDS = voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, min_included=False, max=30 * 86400))

SCHEMA = voluptuous.Schema(
    {
        voluptuous.Optional("header_bytes", default=16 << 10): BYTES,
        voluptuous.Optional("body_bytes", default=4 << 20): BYTES,
        voluptuous.Optional("header_timeout", default=3.0): SECONDS,
        voluptuous.Optional("idle_timeout", default=15.0): SECONDS,
    }
)

DEFAULTS = lane.defaults_of(SCHEMA)


@dataclasses.dataclass(frozen=True)
class Limits:
    """The maximum bytes of a request's head and body, and the time-outs for the head and for an idle connection."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


def of(spec: dict) -> Limits:
    """Return the typed limits of a valid resource."""
    complete_spec = {**DEFAULTS, **spec}
    return Limits(
        complete_spec["header_bytes"],
        complete_spec["body_bytes"],
        datetime.timedelta(seconds=complete_spec["header_timeout"]),
        datetime.timedelta(seconds=complete_spec["idle_timeout"]),
    )
