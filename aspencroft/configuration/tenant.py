"""Tenants: identification of a caller by the digest of its API key, and the tenant's rate limit.

A configuration holds the SHA-256 digests of API keys, not the keys themselves. As keys are long and random, an unsalted
digest does not reveal them, and the time of a lookup by digest gives no information about the stored keys.
"""

import collections.abc
import dataclasses
import datetime
import hashlib
import math
import typing

import msgspec
import voluptuous

MAX_KEYS = 10_000
MAX_RATE = 1e9
ROUNDING = 1e-9
"""Added before a limit is rounded down, as the product of two floats may be just below a whole number."""
DIGEST = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
ACCESS = "callers"
"""The only resource of the kind ``access``."""
ACCESS_SCHEMA = voluptuous.Schema({voluptuous.Optional("keys_required", default=False): bool})


class Spec(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant as operators write it; a rate of 0 means no limit, a rank of None means that of the route."""

    key_digests: typing.Annotated[list[DIGEST], msgspec.Meta(max_length=MAX_KEYS)] = []
    rate: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0
    burst: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0
    rank: typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 30)] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A valid tenant in typed form.

    ``rate``: requests per second over all edges, 0 for no limit. ``burst``: requests allowed on top of the rate.
    ``rank``: priority that overrides the rank of a route, 0 is the most urgent.
    """

    name: str
    key_digests: tuple[str, ...]
    rate: float
    burst: float
    rank: int | None

    def is_limited(self) -> bool:
        """Whether the tenant has a rate limit."""
        return self.rate > 0

    def most_requests(self, window: datetime.timedelta) -> int:
        """Return the most requests, at least one, that a limited tenant may send in any window of that length."""
        return max(1, math.floor(self.rate * window.total_seconds() + self.burst + ROUNDING))


def digest(api_key: bytes) -> str:
    """Return the digest of an API key that a configuration stores.

    Example: ``len(digest(b"key")) == 64``
    """
    return hashlib.sha256(api_key).hexdigest()


def faults(text: str) -> list[tuple[str, str]]:
    """Validate one tenant, given as JSON; return the path within the tenant and the meaning of each fault.

    Example: ``faults('{"rate": -1}')[0][0] == "rate"``
    """
    try:
        msgspec.json.decode(text, type=Spec)
    except msgspec.DecodeError as error:
        meaning, _, path = str(error).partition(" - at `$")
        return [(path.rstrip("`").strip(".").replace("[", "/").replace("]", "").replace(".", "/"), meaning)]
    return []


def of(name: str, spec: dict) -> Tenant:
    """Return the typed tenant of a valid resource."""
    complete_spec = msgspec.convert(spec, Spec)
    return Tenant(name, tuple(complete_spec.key_digests), complete_spec.rate, complete_spec.burst, complete_spec.rank)


def shared_keys(specs: collections.abc.Mapping[str, dict]) -> list[tuple[str, str]]:
    """Return the path and meaning of each key that two valid tenants share."""
    holders: dict[str, str] = {}
    faults_found = []
    for name, spec in specs.items():
        for position, key_digest in enumerate(spec.get("key_digests", ())):
            other_name = holders.setdefault(key_digest, name)
            if other_name != name:
                faults_found.append((f"{name}/key_digests/{position}", f"tenant {other_name} holds the same key"))
    return faults_found


class KeyTable:
    """An immutable table of tenants by key digest; a change returns a new table."""

    __slots__ = ("holders",)

    def __init__(self, holders: dict[str, Tenant]):
        self.holders = holders

    def find(self, key_digest: str) -> Tenant | None:
        """Return the tenant that holds a key, at a cost independent of the number of tenants."""
        return self.holders.get(key_digest)

    def changed(self, gone: collections.abc.Iterable[Tenant], come: collections.abc.Iterable[Tenant]) -> "KeyTable":
        """Return a table with the keys of some tenants removed and those of others added."""
        holders = dict(self.holders)
        for tenant in gone:
            for key_digest in tenant.key_digests:
                holders.pop(key_digest, None)
        for tenant in come:
            holders.update(dict.fromkeys(tenant.key_digests, tenant))
        return KeyTable(holders)


NO_KEYS = KeyTable({})
