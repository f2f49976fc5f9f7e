"""HTTP routes: how requests to a host under a path prefix are forwarded, retried and retained."""

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
MAX_SECONDS = 10_000 * 86400
NAME = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=96)]
SECONDS = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
COUNT = typing.Annotated[int, msgspec.Meta(ge=1, le=1 << 50)]


class TargetSpec(msgspec.Struct, forbid_unknown_fields=True):
    """A target as operators write it: a service and its weight among the targets."""

    service: NAME
    weight: typing.Annotated[float, msgspec.Meta(ge=0, le=1e12)] = 1.0


class Spec(msgspec.Struct, forbid_unknown_fields=True):
    """A route as operators write it; times are in seconds, and a gap or aim of 0 means that there is none."""

    host: typing.Annotated[str, msgspec.Meta(max_length=300, pattern=r"^[^\s/]+\Z")]
    prefix: typing.Annotated[str, msgspec.Meta(max_length=8192, pattern=r"(?s)^/(.*/)?\Z")]
    targets: typing.Annotated[list[TargetSpec], msgspec.Meta(min_length=1, max_length=1024)]
    kind: typing.Literal["safe", "non_idempotent", "keyed", "stream"] = NON_IDEMPOTENT
    timeout: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)] = 30.0
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
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRoute:
    """A valid route in typed form.

    ``rank``: priority, 0 is the most urgent. ``attempts``: the maximum number of workers to which one attempt of a
    caller is sent. ``timeout``: the longest time for which an attempt is held. ``aim``: the target latency, 0 for
    none. ``keep``: how long retained turns are kept. ``gap``: the longest acceptable pause between two events of a
    stream, 0 for none. ``public``: callers need no API key.
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
        """Return the services that receive requests: the targets whose weight is above 0."""
        return tuple(target.service for target in self.targets if target.weight > 0)


def faults(text: str) -> list[tuple[str, str]]:
    """Validate one route, given as JSON; return the path within the route and the meaning of each fault.

    Example: ``faults('{"host": "a", "prefix": "/", "targets": []}')[0][0] == "targets"``
    """
    try:
        spec = msgspec.json.decode(text, type=Spec)
    except msgspec.DecodeError as error:
        meaning, _, path = str(error).partition(" - at `$")
        return [(path.rstrip("`").strip(".").replace("[", "/").replace("]", "").replace(".", "/"), meaning)]
    faults_found = []
    if sum(target.weight for target in spec.targets) <= 0:
        faults_found.append(("targets", "the weights add up to 0"))
    return faults_found


def of(name: str, spec: dict) -> HttpRoute:
    """Return the typed route of a valid resource."""
    complete_spec = msgspec.convert(spec, Spec)

    def to_timedelta(count: float) -> datetime.timedelta:
        return datetime.timedelta(seconds=count)

    return HttpRoute(
        name,
        complete_spec.host,
        complete_spec.prefix,
        complete_spec.kind,
        tuple(Target(target.service, target.weight) for target in complete_spec.targets),
        to_timedelta(complete_spec.timeout),
        to_timedelta(complete_spec.aim),
        complete_spec.rank,
        complete_spec.attempts,
        complete_spec.retained,
        to_timedelta(complete_spec.keep),
        complete_spec.affinity,
        complete_spec.resumable,
        to_timedelta(complete_spec.gap),
        complete_spec.public,
    )


def normalize_host(host: str) -> str:
    """Return a host without its port, in lower case.

    Example: ``normalize_host("A.example:80") == "a.example"``
    """
    host = host.strip().lower()
    return host[: host.find("]") + 1] if host.startswith("[") else host.partition(":")[0]


class Index:
    """An incremental index of routes by host and prefix, and of the services that they use.

    It finds faults between routes at a cost that depends on the change only.
    """

    def __init__(self) -> None:
        self.places: dict[tuple[str, str], str] = {}
        self.routes: dict[str, tuple[tuple[str, str], tuple[str, ...]]] = {}
        self.uses: collections.Counter = collections.Counter()

    def put(self, name: str, spec: dict) -> None:
        """Add a valid route, or replace the one of the same name."""
        self.drop(name)
        location, services = location_and_services(spec)
        self.routes[name] = (location, services)
        self.places[location] = name
        self.uses.update(services)

    def drop(self, name: str) -> None:
        """Remove a route, if there is one of that name."""
        location, services = self.routes.pop(name, (None, ()))
        if location is not None:
            if self.places.get(location) == name:
                del self.places[location]
            for service in services:
                self.uses[service] -= 1
                if not self.uses[service]:
                    del self.uses[service]

    def faults(
        self,
        put: collections.abc.Mapping[str, dict],
        dropped: collections.abc.Collection[str],
        known: collections.abc.Callable[[str], bool],
        lost: collections.abc.Iterable[str],
    ) -> list[tuple[str, str]]:
        """Return the path and meaning of each fault that a change would cause.

        The cost depends on the size of the change, not on the number of routes. ``known`` tells whether a service
        exists after the change; ``lost`` names the services that the change removes.
        """
        faults_found: list[tuple[str, str]] = []
        new_locations: dict[tuple[str, str], str] = {}
        released_uses: collections.Counter = collections.Counter()
        for name in {*put, *dropped}:
            released_uses.update(self.routes.get(name, (None, ()))[1])
        for name, spec in put.items():
            location, services = location_and_services(spec)
            for position, service in enumerate(services):
                if not known(service):
                    faults_found.append((f"{name}/targets/{position}/service", f"no service {service}"))
            other_name = new_locations.setdefault(location, name)
            holder = self.places.get(location, name)
            if other_name == name and holder != name and holder not in dropped and holder not in put:
                other_name = holder
            if other_name != name:
                faults_found.append((f"{name}/prefix", f"route {other_name} has the same host and prefix"))
        for service in lost:
            if self.uses[service] > released_uses[service]:
                using = next(
                    name
                    for name, (_, services) in self.routes.items()
                    if service in services and name not in put and name not in dropped
                )
                faults_found.append((f"{using}/targets", f"no service {service}"))
        return faults_found


def location_and_services(spec: dict) -> tuple[tuple[str, str], tuple[str, ...]]:
    """Return the host and prefix of a valid route, and the services that it names."""
    return (normalize_host(spec["host"]), spec["prefix"]), tuple(one["service"] for one in spec["targets"])
