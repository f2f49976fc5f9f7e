"""A node's place: from a TOML file or from flags, checked before anything starts."""

import dataclasses
import pathlib
import tomllib

import voluptuous

import aspencroft.plan.lane as lane
import aspencroft.plan.plan as plan

EDGE, STORAGE, CORE = "edge", "storage", "core"
SCHEMA = voluptuous.Schema({
    voluptuous.Required("address"): plan.ADDRESS,
    voluptuous.Required("http"): plan.ADDRESS,
    voluptuous.Required("area"): lane.NAME,
    voluptuous.Required("seeds"): voluptuous.All([plan.ADDRESS], voluptuous.Length(min=3, max=7),
                                                 voluptuous.Unique()),
    voluptuous.Optional("role", default=CORE): voluptuous.Any(EDGE, STORAGE, CORE),
    voluptuous.Optional("data", default=""): str,
    voluptuous.Optional("workers", default=""): voluptuous.Any("", voluptuous.Match(r"^https?://[^/]+(/.*)?$")),
    voluptuous.Optional("talk_pairs", default=4): voluptuous.All(int, voluptuous.Range(min=1, max=64)),
    voluptuous.Optional("log", default=""): str,
})


class BadSettings(ValueError):
    """Settings that cannot be used; the text names each fault."""


@dataclasses.dataclass(frozen=True)
class Settings:
    """Where a node is and whom it knows at first.

    Example: ``settings.read("node.toml")``
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

    @property
    def pairs(self) -> int:
        """The control pair and the talk pairs.

        Example: ``settings.pairs == 5``
        """
        return 1 + self.talk_pairs


def check(raw: dict) -> Settings:
    """Checked settings, or BadSettings that lists every fault.

    Example: ``check({"address": "127.0.0.1:7000", ...}).role``
    """
    try:
        full = SCHEMA(raw)
    except voluptuous.MultipleInvalid as error:
        raise BadSettings("; ".join(
            f"{'/'.join(str(part) for part in one.path)}: {one.msg}" for one in error.errors)) from None
    return Settings(full["address"], full["http"], full["area"], tuple(full["seeds"]), full["role"],
                    pathlib.Path(full["data"]) if full["data"] else None, full["workers"].rstrip("/"),
                    full["talk_pairs"], pathlib.Path(full["log"]) if full["log"] else None)


def read(path: str, flags: dict | None = None) -> Settings:
    """Settings of a file, overruled by flags that were given.

    Example: ``read("node.toml", {"area": "north"})``
    """
    try:
        raw = tomllib.loads(pathlib.Path(path).read_text()) if path else {}
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadSettings(f"{path}: {error}") from None
    return check({**raw, **(flags or {})})


def test_every_fault_of_the_settings_is_named():
    try:
        check({"address": "x", "colour": 1, "seeds": ["127.0.0.1:1"]})
        raise AssertionError("taken")
    except BadSettings as error:
        for word in ("address", "colour", "seeds", "http", "area"):
            assert word in str(error)
