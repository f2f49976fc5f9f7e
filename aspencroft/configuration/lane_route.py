"""Lane routes: which of a lane's services currently serve the calls of a tool."""

import dataclasses

import voluptuous

from aspencroft.configuration import lane

SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("lane"): lane.NAME,
        voluptuous.Optional("tool", default=""): voluptuous.Any("", lane.NAME),
        voluptuous.Required("services"): voluptuous.All(lane.NAMES, voluptuous.Length(min=1)),
    }
)

DEFAULTS = lane.defaults_of(SCHEMA)


@dataclasses.dataclass(frozen=True)
class LaneRoute:
    """The services that currently receive a lane's calls for a tool."""

    name: str
    lane: str
    tool: str
    services: tuple[str, ...]


def of(name: str, spec: dict) -> LaneRoute:
    """Return the typed lane route of a valid resource.

    Example: ``of("a", {"lane": "chat", "services": ["planner"]}).tool == ""``
    """
    complete_spec = {**DEFAULTS, **spec}
    return LaneRoute(name, complete_spec["lane"], complete_spec["tool"], tuple(complete_spec["services"]))
