"""Lanes: a class of programs with the services they may use, their urgency and their retention time."""

import dataclasses
import datetime

import voluptuous

TURNS, SIGNAL, FETCH = "turns", "signal", "fetch"
NAME = voluptuous.All(str, voluptuous.Match(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z"))
NAMES = voluptuous.All([NAME], voluptuous.Length(max=256))
SECONDS = voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0.01, max=30 * 86400))

SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("kind"): voluptuous.Any(TURNS, SIGNAL, FETCH),
        voluptuous.Required("services"): voluptuous.All(NAMES, voluptuous.Length(min=1)),
        voluptuous.Optional("urgency", default=5): voluptuous.All(int, voluptuous.Range(min=0, max=9)),
        voluptuous.Optional("deadline", default=30): SECONDS,
        voluptuous.Optional("keep", default=600): SECONDS,
        voluptuous.Optional("budget", default=4096): voluptuous.All(int, voluptuous.Range(min=1, max=1 << 40)),
        voluptuous.Optional("turn_output", default=512): voluptuous.All(int, voluptuous.Range(min=1, max=1 << 30)),
        voluptuous.Optional("repeatable", default=False): bool,
    }
)


def defaults_of(schema: voluptuous.Schema) -> dict:
    """Return the optional fields of a schema with their default values.

    Example: ``defaults_of(SCHEMA)["urgency"] == 5``
    """
    return {
        str(key): key.default()
        for key in schema.schema
        if isinstance(key, voluptuous.Optional) and not isinstance(key.default, voluptuous.Undefined)
    }


DEFAULTS = defaults_of(SCHEMA)


@dataclasses.dataclass(frozen=True)
class Lane:
    """A valid lane in typed form."""

    name: str
    kind: str
    services: tuple[str, ...]
    urgency: int
    deadline: datetime.timedelta
    keep: datetime.timedelta
    budget: int
    turn_output: int
    repeatable: bool


def of(name: str, spec: dict) -> Lane:
    """Return the typed lane of a resource that was validated when it was written.

    Example: ``of("alert", {"kind": "signal", "services": ["notice"]}).repeatable is False``
    """
    complete_spec = {**DEFAULTS, **spec}
    return Lane(
        name,
        complete_spec["kind"],
        tuple(complete_spec["services"]),
        complete_spec["urgency"],
        datetime.timedelta(seconds=complete_spec["deadline"]),
        datetime.timedelta(seconds=complete_spec["keep"]),
        complete_spec["budget"],
        complete_spec["turn_output"],
        complete_spec["repeatable"],
    )
