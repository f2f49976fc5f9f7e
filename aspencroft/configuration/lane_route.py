"""A lane route: which of a lane's services serve a tool at present."""

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
    """Where calls of a lane for a tool go now."""

    name: str
    lane: str
    tool: str
    services: tuple[str, ...]


def of(name: str, spec: dict) -> LaneRoute:
    """The typed lane route of a checked resource.

    Example: ``of("a", {"lane": "chat", "services": ["planner"]}).tool == ""``
    """
    full = {**DEFAULTS, **spec}
    return LaneRoute(name, full["lane"], full["tool"], tuple(full["services"]))
