"""A lane: what one kind of program may use, how urgent it is, how long its history is kept."""

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
    """The fields that a specification may leave out, with their values.

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
    """A lane's wish, checked and typed."""

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
    """The typed lane of a resource that was checked when it was written.

    Example: ``of("alert", {"kind": "signal", "services": ["notice"]}).repeatable is False``
    """
    full = {**DEFAULTS, **spec}
    return Lane(
        name,
        full["kind"],
        tuple(full["services"]),
        full["urgency"],
        datetime.timedelta(seconds=full["deadline"]),
        datetime.timedelta(seconds=full["keep"]),
        full["budget"],
        full["turn_output"],
        full["repeatable"],
    )
