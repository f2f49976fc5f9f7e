"""A service: a model or a plain worker's skill that lanes may be allowed to use."""

import dataclasses
import datetime

import voluptuous

from aspencroft.configuration import lane

MODEL, PLAIN = "model", "plain"
SIZE = voluptuous.All(int, voluptuous.Range(min=1, max=1 << 50))
COUNT = voluptuous.All(int, voluptuous.Range(min=0, max=1 << 50))

ENGINE = voluptuous.Schema(
    {
        voluptuous.Optional("slots", default=1): SIZE,
        voluptuous.Optional("kv_tokens", default=0): COUNT,
        voluptuous.Optional("kv_bytes", default=0): COUNT,
        voluptuous.Optional("link", default=0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0, max=1e18)
        ),
        voluptuous.Optional("stride", default=1): SIZE,
        voluptuous.Optional("models", default=[]): voluptuous.All([str], voluptuous.Length(max=1024)),
    }
)

SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("kind"): voluptuous.Any(MODEL, PLAIN),
        voluptuous.Optional("size", default=15_200_000_000): SIZE,
        voluptuous.Optional("startup", default=0.11): lane.SECONDS,
        voluptuous.Optional("base"): lane.NAME,
        voluptuous.Optional("health_path", default=""): voluptuous.Any("", voluptuous.Match(r"^/[!-~]{0,1023}\Z")),
        voluptuous.Optional("max_connections", default=0): COUNT,
        voluptuous.Optional("keeps_keys", default=False): bool,
        voluptuous.Optional("engine"): ENGINE,
    }
)

DEFAULTS = lane.defaults_of(SCHEMA)
ENGINE_DEFAULTS = lane.defaults_of(ENGINE)


@dataclasses.dataclass(frozen=True)
class Engine:
    """What a model's worker can do: requests at once, tokens of KV memory, bytes of KV a token, its link in bit/s
    (0: not told), tokens in one event of a stream, and the models that it serves.
    """

    slots: int
    kv_tokens: int
    kv_bytes: int
    link: float
    stride: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Service:
    """A service's facts; a service with a base is an adapter upon that model.

    ``max_connections`` is what one worker takes from all callers together, 0 when it is not told; ``health_path`` is
    empty when there is none; ``keeps_keys``: the service has a record of operation keys of its own.
    """

    name: str
    kind: str
    size: int
    startup: datetime.timedelta
    base: str
    health_path: str = ""
    max_connections: int = 0
    keeps_keys: bool = False
    engine: Engine | None = None


def of(name: str, spec: dict) -> Service:
    """The typed service of a checked resource.

    Example: ``of("notice", {"kind": "plain"}).base == ""``
    """
    full = {**DEFAULTS, **spec}
    engine = None
    if "engine" in full:
        told = {**ENGINE_DEFAULTS, **full["engine"]}
        engine = Engine(
            told["slots"],
            told["kv_tokens"],
            told["kv_bytes"],
            float(told["link"]),
            told["stride"],
            tuple(told["models"]),
        )
    return Service(
        name,
        full["kind"],
        full["size"],
        datetime.timedelta(seconds=full["startup"]),
        full.get("base", ""),
        full["health_path"],
        full["max_connections"],
        full["keeps_keys"],
        engine,
    )
