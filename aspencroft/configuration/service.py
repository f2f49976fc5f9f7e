"""Services: a model, or a function of plain workers, that lanes may be allowed to use."""

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
    """The capacity of a model's worker.

    ``slots``: concurrent requests. ``kv_tokens``: capacity of the KV cache in tokens. ``kv_bytes``: KV bytes per token.
    ``link``: link speed in bit/s, 0 if unknown. ``stride``: tokens per event of a stream. ``models``: models served.
    """

    slots: int
    kv_tokens: int
    kv_bytes: int
    link: float
    stride: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Service:
    """A valid service in typed form; a service with a base is an adapter for that model.

    ``max_connections``: connections that one worker accepts from all callers together, 0 if unknown. ``health_path``:
    empty if there is none. ``keeps_keys``: the service keeps a record of operation keys itself.
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
    """Return the typed service of a valid resource.

    Example: ``of("notice", {"kind": "plain"}).base == ""``
    """
    complete_spec = {**DEFAULTS, **spec}
    engine = None
    if "engine" in complete_spec:
        engine_spec = {**ENGINE_DEFAULTS, **complete_spec["engine"]}
        engine = Engine(
            engine_spec["slots"],
            engine_spec["kv_tokens"],
            engine_spec["kv_bytes"],
            float(engine_spec["link"]),
            engine_spec["stride"],
            tuple(engine_spec["models"]),
        )
    return Service(
        name,
        complete_spec["kind"],
        complete_spec["size"],
        datetime.timedelta(seconds=complete_spec["startup"]),
        complete_spec.get("base", ""),
        complete_spec["health_path"],
        complete_spec["max_connections"],
        complete_spec["keeps_keys"],
        engine,
    )
