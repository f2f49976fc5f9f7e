"""An HTTP route: requests of a host under a path prefix, and what may be done with them."""

import collections
import collections.abc
import dataclasses
import datetime
import typing

import msgspec

SAFE: typing.Final = "safe"
NON_IDEMPOTENT: typing.Final = "non_idempotent"
KEYED: typing.Final = "keyed"
STREAM: typing.Final = "stream"
LONGEST = 10_000 * 86400
NAME = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=96)]
SECONDS = typing.Annotated[float, msgspec.Meta(ge=0, le=LONGEST)]
COUNT = typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 50)]


class TargetSpec(msgspec.Struct, forbid_unknown_fields=True):
    """A target as it is written: a service and its weight among the targets."""

    service: NAME
    weight: typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)] = 1.0


class Spec(msgspec.Struct, forbid_unknown_fields=True):
    """A route as it is written; times are in seconds, and a gap or aim of 0 says that there is none."""

    host: typing.Annotated[str, msgspec.Meta(max_length=300, pattern=r"^[^\s/]+\Z")]
    prefix: typing.Annotated[str, msgspec.Meta(max_length=8192, pattern=r"(?s)^/(.*/)?\Z")]
    targets: typing.Annotated[list[TargetSpec], msgspec.Meta(min_length=1, max_length=1024)]
    kind: typing.Literal["safe", "non_idempotent", "keyed", "stream"] = NON_IDEMPOTENT
    timeout: typing.Annotated[float, msgspec.Meta(gt=0, le=LONGEST)] = 30.0
    aim: SECONDS = 0.0
    rank: typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 30)] = 0
    attempts: typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 1
    retained: bool = False
    keep: SECONDS = 60.0
    affinity: bool = False
    resumable: bool = False
    gap: SECONDS = 0.0
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that a route's requests go to, in proportion to its weight among the route's targets."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRoute:
    """A route, checked and typed.

    ``rank`` 0 is the most urgent; ``attempts`` is the most workers that one attempt of a caller may be sent to;
    ``timeout`` the longest that it is held, ``aim`` the time within which an answer is worth most, ``keep`` how
    long retained turns last, ``gap`` the longest good pause between two events. An aim or gap of zero: none.
    ``public``: a caller needs no API key.
    """

    name: str
    host: str
    prefix: str
    kind: str
    targets: tuple[Target, ...]
    timeout: datetime.timedelta
    aim: datetime.timedelta
    rank: int
    attempts: int
    retained: bool
    keep: datetime.timedelta
    affinity: bool
    resumable: bool
    gap: datetime.timedelta
    public: bool = False

    def services(self) -> tuple[str, ...]:
        """The services that requests may go to: targets whose weight is above 0."""
        return tuple(one.service for one in self.targets if one.weight > 0)


def faults(text: str) -> list[tuple[str, str]]:
    """The faults of one route on its own, given as JSON: path within it, and meaning.

    Example: ``faults('{"host": "a", "prefix": "/", "targets": []}')[0][0] == "targets"``
    """
    try:
        spec = msgspec.json.decode(text, type=Spec)
    except msgspec.DecodeError as error:
        meaning, _, path = str(error).partition(" - at `$")
        return [(path.rstrip("`").strip(".").replace("[", "/").replace("]", "").replace(".", "/"), meaning)]
    found = []
    if sum(one.weight for one in spec.targets) <= 0:
        found.append(("targets", "the weights add up to 0"))
    return found


def of(name: str, spec: dict) -> HttpRoute:
    """The typed route of a checked resource."""
    full = msgspec.convert(spec, Spec)

    def span(count: float) -> datetime.timedelta:
        return datetime.timedelta(seconds=count)

    return HttpRoute(
        name,
        full.host,
        full.prefix,
        full.kind,
        tuple(Target(one.service, one.weight) for one in full.targets),
        span(full.timeout),
        span(full.aim),
        full.rank,
        full.attempts,
        full.retained,
        span(full.keep),
        full.affinity,
        full.resumable,
        span(full.gap),
        full.public,
    )


def bare(host: str) -> str:
    """A host without its port, in lower case.

    Example: ``bare("A.example:80") == "a.example"``
    """
    host = host.strip().lower()
    return host[: host.find("]") + 1] if host.startswith("[") else host.partition(":")[0]


class Index:
    """Where routes lie and which services they use: what must agree between routes, kept up change by change."""

    def __init__(self) -> None:
        self.places: dict[tuple[str, str], str] = {}
        self.routes: dict[str, tuple[tuple[str, str], tuple[str, ...]]] = {}
        self.uses: collections.Counter = collections.Counter()

    def put(self, name: str, spec: dict) -> None:
        """Take a checked route in, in the place of one of the same name."""
        self.drop(name)
        place, services = outline(spec)
        self.routes[name] = (place, services)
        self.places[place] = name
        self.uses.update(services)

    def drop(self, name: str) -> None:
        """Forget a route, if there is one of that name."""
        place, services = self.routes.pop(name, (None, ()))
        if place is not None:
            if self.places.get(place) == name:
                del self.places[place]
            for one in services:
                self.uses[one] -= 1
                if not self.uses[one]:
                    del self.uses[one]

    def faults(
        self,
        put: collections.abc.Mapping[str, dict],
        dropped: collections.abc.Collection[str],
        known: collections.abc.Callable[[str], bool],
        lost: collections.abc.Iterable[str],
    ) -> list[tuple[str, str]]:
        """The faults that a change would bring: path and meaning; its cost follows the change, not the routes held.

        ``known`` tells whether a service is there after the change, ``lost`` names those that go with it.
        """
        found: list[tuple[str, str]] = []
        taken: dict[tuple[str, str], str] = {}
        fewer: collections.Counter = collections.Counter()
        for name in {*put, *dropped}:
            fewer.update(self.routes.get(name, (None, ()))[1])
        for name, spec in put.items():
            place, services = outline(spec)
            for number, one in enumerate(services):
                if not known(one):
                    found.append((f"{name}/targets/{number}/service", f"no service {one}"))
            other = taken.setdefault(place, name)
            held = self.places.get(place, name)
            if other == name and held != name and held not in dropped and held not in put:
                other = held
            if other != name:
                found.append((f"{name}/prefix", f"route {other} has the same host and prefix"))
        for one in lost:
            if self.uses[one] > fewer[one]:
                using = next(
                    name
                    for name, (_, services) in self.routes.items()
                    if one in services and name not in put and name not in dropped
                )
                found.append((f"{using}/targets", f"no service {one}"))
        return found


def outline(spec: dict) -> tuple[tuple[str, str], tuple[str, ...]]:
    """A checked route's place and the services that it names."""
    return (bare(spec["host"]), spec["prefix"]), tuple(one["service"] for one in spec["targets"])
