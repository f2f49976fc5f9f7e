"""Tenants: whose a request is, by the digest of its caller's API key, and how much a tenant may ask for.

API keys themselves are no part of a configuration: it holds their SHA-256 digests. Keys are long and random, so that a
plain digest does not give them away, and looking one up takes a time that says nothing of the keys that are held.
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
"""Added before a limit is rounded down, as a product of two fractions may lie just under a whole number."""
DIGEST = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
ACCESS = "callers"
"""The only resource of the kind ``access``."""
ACCESS_SCHEMA = voluptuous.Schema({voluptuous.Optional("keys_required", default=False): bool})


class Spec(msgspec.Struct, forbid_unknown_fields=True):
    """A tenant as it is written; a rate of 0 says that there is no limit, a rank of none that the route's holds."""

    key_digests: typing.Annotated[list[DIGEST], msgspec.Meta(max_length=MAX_KEYS)] = []
    rate: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0
    burst: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0
    rank: typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 30)] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, checked and typed.

    ``rate`` is in requests a second over all edges, ``burst`` in requests on top of it; a rate of 0: no limit. ``rank``
    goes before that of a route, 0 is the most urgent.
    """

    name: str
    key_digests: tuple[str, ...]
    rate: float
    burst: float
    rank: int | None

    def is_limited(self) -> bool:
        """Whether the tenant has a limit."""
        return self.rate > 0

    def most_requests(self, window: datetime.timedelta) -> int:
        """The most requests in any window of that length, for a tenant that has a limit; one at least."""
        return max(1, math.floor(self.rate * window.total_seconds() + self.burst + ROUNDING))


def digest(api_key: bytes) -> str:
    """What a configuration holds of an API key.

    Example: ``len(digest(b"key")) == 64``
    """
    return hashlib.sha256(api_key).hexdigest()


def faults(text: str) -> list[tuple[str, str]]:
    """The faults of one tenant on its own, given as JSON: path within it, and meaning.

    Example: ``faults('{"rate": -1}')[0][0] == "rate"``
    """
    try:
        msgspec.json.decode(text, type=Spec)
    except msgspec.DecodeError as error:
        meaning, _, path = str(error).partition(" - at `$")
        return [(path.rstrip("`").strip(".").replace("[", "/").replace("]", "").replace(".", "/"), meaning)]
    return []


def of(name: str, spec: dict) -> Tenant:
    """The typed tenant of a checked resource."""
    full = msgspec.convert(spec, Spec)
    return Tenant(name, tuple(full.key_digests), full.rate, full.burst, full.rank)


def shared_keys(specs: collections.abc.Mapping[str, dict]) -> list[tuple[str, str]]:
    """The faults between checked tenants: path and meaning of each key that two of them hold."""
    holders: dict[str, str] = {}
    found = []
    for name, spec in specs.items():
        for place, one in enumerate(spec.get("key_digests", ())):
            other = holders.setdefault(one, name)
            if other != name:
                found.append((f"{name}/key_digests/{place}", f"tenant {other} holds the same key"))
    return found


class KeyTable:
    """Which tenant holds a key, never changed once made; a change gives another table."""

    __slots__ = ("holders",)

    def __init__(self, holders: dict[str, Tenant]):
        self.holders = holders

    def find(self, key_digest: str) -> Tenant | None:
        """The tenant that holds a key; its cost does not follow the number of tenants."""
        return self.holders.get(key_digest)

    def changed(self, gone: collections.abc.Iterable[Tenant], come: collections.abc.Iterable[Tenant]) -> "KeyTable":
        """The table without the keys of some tenants and with those of others."""
        holders = dict(self.holders)
        for one in gone:
            for key_digest in one.key_digests:
                holders.pop(key_digest, None)
        for one in come:
            holders.update(dict.fromkeys(one.key_digests, one))
        return KeyTable(holders)


NO_KEYS = KeyTable({})
