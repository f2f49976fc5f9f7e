"""A node's place: from a TOML file or from flags, checked before anything starts."""

import dataclasses
import datetime
import math
import pathlib
import tomllib

import voluptuous

from aspencroft.configuration import lane, resources
from aspencroft.consensus import replica_set
from aspencroft.node import timing_check
from aspencroft.runtime import clock

EDGE, STORAGE, CORE = "edge", "storage", "core"
SEEDS = "seeds"
BOUND = voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=3600))
BOUNDS = tuple(field.name for field in dataclasses.fields(timing_check.Bounds))
QUOTA = voluptuous.Schema(
    {
        voluptuous.Optional("window", default=5.0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0.1, max=3600)
        ),
        voluptuous.Optional("overshoot", default=0.0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0, max=10)
        ),
        voluptuous.Optional("tolerance", default=0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0, max=1 << 30)
        ),
    }
)
CHANGEABLE = frozenset(("seeds", "confirm", "key_window"))
START_ONLY = frozenset(("first_start",))
SCHEMA = voluptuous.Schema(
    {
        voluptuous.Required("address"): resources.ADDRESS,
        voluptuous.Required("http"): resources.ADDRESS,
        voluptuous.Required("area"): lane.NAME,
        voluptuous.Required("seeds"): voluptuous.All(
            [resources.ADDRESS], voluptuous.Length(min=3, max=7), voluptuous.Unique()
        ),
        voluptuous.Optional("role", default=CORE): voluptuous.Any(EDGE, STORAGE, CORE),
        voluptuous.Optional("data", default=""): str,
        voluptuous.Optional("workers", default=""): voluptuous.Any("", voluptuous.Match(r"^https?://[^/]+(/.*)?$")),
        voluptuous.Optional("talk_pairs", default=4): voluptuous.All(int, voluptuous.Range(min=1, max=64)),
        voluptuous.Optional("log", default=""): str,
        voluptuous.Optional("name", default=""): voluptuous.Any("", resources.RESOURCE_NAME),
        voluptuous.Optional("region", default=""): voluptuous.Any("", lane.NAME),
        voluptuous.Optional("losses", default=1): voluptuous.All(int, voluptuous.Range(min=1, max=4)),
        voluptuous.Optional("holds", default=[replica_set.CONTROL, replica_set.SESSION]): voluptuous.All(
            [voluptuous.In((replica_set.CONTROL, replica_set.SESSION))], voluptuous.Unique()
        ),
        voluptuous.Optional("witnesses", default=SEEDS): voluptuous.Any(SEEDS, CORE),
        voluptuous.Optional("currency", default=4.0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=0.5, max=60)
        ),
        voluptuous.Optional("confirm", default=None): voluptuous.Any(
            None, voluptuous.All(voluptuous.Any(int, float), voluptuous.Range(min=0, max=60))
        ),
        voluptuous.Optional("first_start", default=True): bool,
        voluptuous.Optional("memory_limit", default=0): voluptuous.All(int, voluptuous.Range(min=0)),
        voluptuous.Optional("bounds", default=dict): {voluptuous.In(BOUNDS): BOUND},
        voluptuous.Optional("key_window", default=60.0): voluptuous.All(
            voluptuous.Any(int, float), voluptuous.Range(min=1, max=86400)
        ),
        voluptuous.Optional("quota", default=dict): QUOTA,
    }
)


SCHEMA_WITH_CORE = SCHEMA.extend(
    {
        voluptuous.Required("seeds"): voluptuous.All(
            [resources.ADDRESS], voluptuous.Length(min=1, max=9), voluptuous.Unique()
        )
    }
)


class BadSettings(ValueError):
    """Settings that cannot be used; the text names each fault."""


@dataclasses.dataclass(frozen=True)
class QuotaBounds:
    """Over which window the requests of tenants are counted, and how far counts may be off: a share and a number."""

    window: datetime.timedelta = clock.seconds(5)
    overshoot: float = 0.0
    tolerance: int = 0

    def allowed_error(self, limit: int) -> int:
        """How many requests more than its limit a tenant may have in a window while machines fail."""
        return math.floor(limit * self.overshoot) + self.tolerance


@dataclasses.dataclass(frozen=True)
class Settings:
    """Where a node is and whom it knows at first.

    ``losses`` is how many machines may be lost at once; ``holds`` which groups this disk may hold;
    ``witnesses`` who keeps the
    replica set, the seeds or the live core nodes; ``currency`` how long a node may act on a plan without renewal;
    ``confirm`` how long an operator's write waits at most until all nodes confirmed it,
    none for as long as they may act on
    an older plan; ``first_start`` that this node's empty disk is a new one, not a lost one; ``key_window`` how long an
    operation key is held behind the last moment in which its work could run;
    ``bounds`` the time bounds of the deployment,
    against which the product's own times are checked at the start; ``memory_limit`` the bytes that this process may
    hold before its machine ends it, 0 where none is known; ``quota`` how the requests of tenants are counted.
    """

    address: str
    http: str
    area: str
    seeds: tuple[str, ...]
    role: str
    data: pathlib.Path | None
    workers: str
    talk_pairs: int
    log: pathlib.Path | None
    name: str = ""
    region: str = ""
    losses: int = 1
    holds: tuple[str, ...] = (replica_set.CONTROL, replica_set.SESSION)
    witnesses: str = SEEDS
    currency: datetime.timedelta = clock.seconds(4)
    confirm: datetime.timedelta | None = None
    first_start: bool = True
    key_window: datetime.timedelta = clock.seconds(60)
    bounds: timing_check.Bounds = timing_check.Bounds()
    memory_limit: int = 0
    quota: QuotaBounds = QuotaBounds()

    @property
    def copies(self) -> int:
        """How many disks hold each group."""
        return self.losses + 1

    @property
    def held(self) -> tuple[str, ...]:
        """The sorts of groups that this node's disk may hold; none without a disk."""
        return self.holds if self.data is not None else ()

    @property
    def group_count(self) -> int:
        """The control group and the session groups."""
        return 1 + self.talk_pairs

    def reloaded(self, fresh: "Settings") -> tuple["Settings", tuple[str, ...]]:
        """These settings with what of newer ones may change while a node runs, and the names of what may not."""
        changed = [one.name for one in dataclasses.fields(self) if getattr(self, one.name) != getattr(fresh, one.name)]
        taken = {name: getattr(fresh, name) for name in changed if name in CHANGEABLE}
        fixed = tuple(name for name in changed if name not in CHANGEABLE and name not in START_ONLY)
        return dataclasses.replace(self, **taken), fixed


def check(raw: dict) -> Settings:
    """Checked settings, or BadSettings that lists every fault."""
    try:
        full = (SCHEMA_WITH_CORE if raw.get("witnesses") == CORE else SCHEMA)(raw)
    except voluptuous.MultipleInvalid as error:
        raise BadSettings(
            "; ".join(f"{'/'.join(str(part) for part in one.path)}: {one.msg}" for one in error.errors)
        ) from None
    return Settings(
        full["address"],
        full["http"],
        full["area"],
        tuple(full["seeds"]),
        full["role"],
        pathlib.Path(full["data"]) if full["data"] else None,
        full["workers"].rstrip("/"),
        full["talk_pairs"],
        pathlib.Path(full["log"]) if full["log"] else None,
        full["name"] or full["address"],
        full["region"],
        full["losses"],
        tuple(full["holds"]),
        full["witnesses"],
        clock.seconds(full["currency"]),
        None if full["confirm"] is None else clock.seconds(full["confirm"]),
        full["first_start"],
        key_window=clock.seconds(full["key_window"]),
        bounds=timing_check.Bounds(**{name: clock.seconds(value) for name, value in full["bounds"].items()}),
        memory_limit=full["memory_limit"],
        quota=QuotaBounds(
            clock.seconds(full["quota"]["window"]), full["quota"]["overshoot"], math.floor(full["quota"]["tolerance"])
        ),
    )


def read(path: str, flags: dict | None = None) -> Settings:
    """Settings of a file, overruled by flags that were given."""
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text()) if path else {}
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadSettings(f"{path}: {error}") from None
    return check({**raw, **(flags or {})})
