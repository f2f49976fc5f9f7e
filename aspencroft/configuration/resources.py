"""The plan: all named resources that operators write, checked whole, with typed views."""

import collections.abc
import dataclasses
import functools
import json
import re
import typing

import voluptuous

from aspencroft.configuration import alert_rule, http_route, lane, lane_route, limits, route_table, service, tenant

LARGEST = 8 << 20
MOST_RESOURCES = 200_000
CHECKS_KEPT = 20_000
HTTP_ROUTES = "http_routes"
TENANTS = "tenants"
ACCESS = "access"
WORKER = voluptuous.Schema({voluptuous.Optional("leaving", default=False): bool})
MACHINE = voluptuous.Schema(
    {
        voluptuous.Optional("emptied", default=False): bool,
        voluptuous.Optional("name"): str,
        voluptuous.Optional("completed", default=False): bool,
    }
)
ADDRESS_PATTERN = re.compile(r"^[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}\Z")
ADDRESS = voluptuous.All(str, voluptuous.Match(ADDRESS_PATTERN))
SEEDS = voluptuous.Schema(
    {voluptuous.Required("addresses"): voluptuous.All([ADDRESS], voluptuous.Length(min=3, max=7), voluptuous.Unique())}
)
SCHEMAS = {
    "services": service.SCHEMA,
    "lanes": lane.SCHEMA,
    "routes": lane_route.SCHEMA,
    "workers": WORKER,
    "machines": MACHINE,
    "seeds": SEEDS,
    "rules": alert_rule.SCHEMA,
    "limits": limits.SCHEMA,
    ACCESS: tenant.ACCESS_SCHEMA,
    HTTP_ROUTES: None,
    TENANTS: None,
}
TYPED_FAULTS: dict[str, collections.abc.Callable[[str], list[tuple[str, str]]]] = {
    HTTP_ROUTES: http_route.faults,
    TENANTS: tenant.faults,
}
"""How a resource of a kind without a schema is checked on its own, given as JSON."""
RESOURCE_NAME = voluptuous.Schema(voluptuous.All(str, voluptuous.Match(r"^[A-Za-z0-9\[][A-Za-z0-9._:\[\]-]{0,95}\Z")))


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault of a plan: where it is and what is wrong."""

    path: str
    meaning: str


@dataclasses.dataclass(frozen=True)
class DrainOrder:
    """An order to drain the machine at an address.

    ``name`` is the machine's when the order was given, empty where only its address was marked; ``is_completed`` tells
    that somebody was told that the machine is drained, and may have taken it away.
    """

    name: str
    is_completed: bool

    def is_for(self, name: str) -> bool:
        """Whether the order is for a machine of this name, as far as its address does not tell."""
        return self.name in ("", name)

    def holds_for_new_disk(self, name: str) -> bool:
        """Whether the order is for a machine of this name that comes to its address with an empty disk.

        Then the disk of the ordered machine was lost. Once somebody was told that this one is drained, an empty disk
        is another machine's.
        """
        return self.is_for(name) and not self.is_completed


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The plan as nodes use it."""

    services: dict[str, service.Service]
    lanes: dict[str, lane.Lane]
    lane_routes: dict[tuple[str, str], lane_route.LaneRoute]
    leaving: frozenset[str]
    drain_orders: dict[str, DrainOrder]
    seeds: tuple[str, ...]
    rules: dict[str, alert_rule.Rule]
    http_routes: dict[str, http_route.HttpRoute]
    route_table: route_table.RouteTable
    limits: limits.Limits
    tenants: dict[str, tenant.Tenant]
    key_table: tenant.KeyTable
    keys_required: bool = False
    version: int = 0

    @property
    def drained(self) -> collections.abc.Set[str]:
        """The addresses of machines that are to hold no replicas."""
        return self.drain_orders.keys()

    def allowed(self, lane_name: str, tool: str) -> tuple[str, ...]:
        """The services that a lane's call may go to now, for a tool or in general."""
        whole = self.lanes[lane_name].services
        current = self.lane_routes.get((lane_name, tool)) or self.lane_routes.get((lane_name, ""))
        if current is None:
            return whole
        return tuple(one for one in current.services if one in whole)


def check(document: dict, changed: tuple[tuple[str, str], ...] | None = None) -> tuple[Fault, ...]:
    """All faults of a plan; given changed resources, only those are checked on their own."""
    faults = [Fault(kind, "unknown kind of resource") for kind in document if kind not in SCHEMAS]
    if crowded(document):
        return (Fault("", f"more than {MOST_RESOURCES} resources"),)
    for kind in SCHEMAS:
        group = document.get(kind, {})
        if not isinstance(group, dict):
            faults.append(Fault(kind, "expected an object of named resources"))
        elif changed is None:
            for name, spec in group.items():
                faults.extend(check_one(kind, name, json.dumps(spec, sort_keys=True)))
    for kind, name in changed or ():
        if isinstance(document.get(kind), dict) and name in document[kind]:
            faults.extend(check_one(kind, name, json.dumps(document[kind][name], sort_keys=True)))
    if not faults:
        faults.extend(references(document))
        if changed is None or any(kind in ("services", HTTP_ROUTES) for kind, _ in changed):
            faults.extend(route_references(document))
    return tuple(faults)


def is_machine_name(name: str) -> bool:
    """Whether a resource can bear a machine's name without being taken for that of an address.

    Example: ``is_machine_name("storage-1") and not is_machine_name("storage-1:7300")``
    """
    try:
        RESOURCE_NAME(name)
    except voluptuous.Invalid:
        return False
    return ADDRESS_PATTERN.match(name) is None


def crowded(document: dict) -> bool:
    """Whether a document holds more resources than may be."""
    return sum(len(group) for group in document.values() if isinstance(group, dict)) > MOST_RESOURCES


def check_anew(kind: str, name: str, text: str) -> tuple[Fault, ...]:
    """The faults of one resource on its own, given as JSON."""
    typed_faults = TYPED_FAULTS.get(kind)
    faults = [
        Fault("/".join([kind, name, path]).rstrip("/"), meaning)
        for path, meaning in (typed_faults(text) if typed_faults else ())
    ]
    checks: list[tuple[typing.Any, typing.Any]] = (
        [(RESOURCE_NAME, name)] if typed_faults else [(RESOURCE_NAME, name), (SCHEMAS[kind], json.loads(text))]
    )
    for schema, value in checks:
        try:
            schema(value)
        except voluptuous.MultipleInvalid as error:
            for one in error.errors:
                path = "/".join([kind, name, *[str(part) for part in one.path]])
                faults.append(Fault(path, one.msg))
    return tuple(faults)


@functools.lru_cache(CHECKS_KEPT)
def check_one(kind: str, name: str, text: str) -> tuple[Fault, ...]:
    """The faults of one resource, kept, as a write is checked ahead in slices."""
    return check_anew(kind, name, text)


def references(document: dict) -> list[Fault]:
    """The faults between resources: names that no resource bears."""
    faults = []
    services, lanes = document.get("services", {}), document.get("lanes", {})
    for name, spec in services.items():
        if spec.get("base") and spec["base"] not in services:
            faults.append(Fault(f"services/{name}/base", f"no service {spec['base']}"))
    for name, spec in lanes.items():
        for place, one in enumerate(spec["services"]):
            if one not in services:
                faults.append(Fault(f"lanes/{name}/services/{place}", f"no service {one}"))
    held: dict[tuple[str, str], str] = {}
    for name, spec in document.get("routes", {}).items():
        if spec["lane"] not in lanes:
            faults.append(Fault(f"routes/{name}/lane", f"no lane {spec['lane']}"))
            continue
        other = held.setdefault((spec["lane"], spec.get("tool", "")), name)
        if other != name:
            faults.append(Fault(f"routes/{name}/tool", f"route {other} is for the same lane and tool"))
        for place, one in enumerate(spec["services"]):
            if one not in lanes[spec["lane"]]["services"]:
                faults.append(Fault(f"routes/{name}/services/{place}", f"the lane does not allow {one}"))
    for kind, only in (("limits", limits.EDGE), (ACCESS, tenant.ACCESS)):
        faults.extend(
            Fault(f"{kind}/{name}", f"the only {kind} resource is {only}")
            for name in document.get(kind, {})
            if name != only
        )
    faults.extend(
        Fault(f"{TENANTS}/{path}", meaning) for path, meaning in tenant.shared_keys(document.get(TENANTS, {}))
    )
    return faults


def route_references(document: dict) -> list[Fault]:
    """The faults between HTTP routes, and between them and services.

    Example: ``route_references({"http_routes": {}}) == []``
    """
    found = http_route.Index().faults(document.get(HTTP_ROUTES, {}), (), document.get("services", {}).__contains__, ())
    return [Fault(f"{HTTP_ROUTES}/{path}", meaning) for path, meaning in found]


def of(document: dict, version: int = 0) -> Configuration:
    """The typed plan of a checked document; the version is the operator's own, 0 when there is none.

    Example: ``of({}).lanes == {}``
    """
    return after(EMPTY, document, dict.fromkeys(document), version)


def after(before: Configuration, document: dict, patch: dict, version: int) -> Configuration:
    """The typed plan of a document that differs from another by a merge patch; its cost follows what the
    patch names.
    """
    fresh: dict = {"version": version}

    def named(kind: str, make: collections.abc.Callable) -> dict:
        return {name: make(name, spec) for name, spec in document.get(kind, {}).items()}

    def marked(kind: str, field: str) -> frozenset[str]:
        return frozenset(name for name, spec in document.get(kind, {}).items() if spec.get(field))

    if "services" in patch:
        fresh["services"] = named("services", service.of)
    if "lanes" in patch:
        fresh["lanes"] = named("lanes", lane.of)
    if "routes" in patch:
        fresh["lane_routes"] = {(one.lane, one.tool): one for one in named("routes", lane_route.of).values()}
    if "workers" in patch:
        fresh["leaving"] = marked("workers", "leaving")
    if "machines" in patch:
        fresh["drain_orders"] = {
            address: DrainOrder(spec.get("name", ""), spec.get("completed", False))
            for address, spec in document.get("machines", {}).items()
            if spec.get("emptied")
        }
    if "seeds" in patch:
        fresh["seeds"] = tuple(document.get("seeds", {}).get("control", {}).get("addresses", []))
    if "rules" in patch:
        fresh["rules"] = named("rules", alert_rule.of)
    fresh.update(caller_fields_after(before, document, patch))
    return dataclasses.replace(before, **fresh)


def caller_fields_after(before: Configuration, document: dict, patch: dict) -> dict[str, typing.Any]:
    """The fields of a plan about callers and their routes, as far as a merge patch names them."""
    fresh: dict[str, typing.Any] = {}
    if "limits" in patch:
        fresh["limits"] = limits.of(document.get("limits", {}).get(limits.EDGE, {}))
    if HTTP_ROUTES in patch:
        found = routes_after(before, document.get(HTTP_ROUTES, {}), patch[HTTP_ROUTES])
        fresh["http_routes"], fresh["route_table"] = found
    if TENANTS in patch:
        fresh["tenants"], fresh["key_table"] = tenants_after(before, document.get(TENANTS, {}), patch[TENANTS])
    if ACCESS in patch:
        fresh["keys_required"] = document.get(ACCESS, {}).get(tenant.ACCESS, {}).get("keys_required", False)
    return fresh


def routes_after(
    before: Configuration, group: dict, patched: dict | None
) -> tuple[dict[str, http_route.HttpRoute], route_table.RouteTable]:
    """HTTP routes and their table once those that a patch names are as a document has them; none: all of them."""
    routes = dict(before.http_routes)
    names = patched if patched is not None else {**routes, **group}
    gone = [routes.pop(name) for name in names if name in routes]
    come = [http_route.of(name, group[name]) for name in names if name in group]
    routes.update((one.name, one) for one in come)
    return routes, before.route_table.changed(gone, come)


def tenants_after(
    before: Configuration, group: dict, patched: dict | None
) -> tuple[dict[str, tenant.Tenant], tenant.KeyTable]:
    """Tenants and their keys once those that a patch names are as a document has them; none: all of them."""
    tenants = dict(before.tenants)
    names = patched if patched is not None else {**tenants, **group}
    gone = [tenants.pop(name) for name in names if name in tenants]
    come = [tenant.of(name, group[name]) for name in names if name in group]
    tenants.update((one.name, one) for one in come)
    return tenants, before.key_table.changed(gone, come)


EMPTY = Configuration({}, {}, {}, frozenset(), {}, (), {}, {}, route_table.EMPTY, limits.of({}), {}, tenant.NO_KEYS)


def patch_between(old: dict, new: dict) -> dict:
    """The merge patch that makes one object of names into another.

    Example: ``patch_between({"a": 1}, {"b": 2}) == {"a": None, "b": 2}``
    """
    patch: dict = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif old[key] is not value and old[key] != value:
            both = isinstance(value, dict) and isinstance(old[key], dict)
            patch[key] = patch_between(old[key], value) if both else value
    return patch


def merge(target: typing.Any, patch: typing.Any) -> typing.Any:
    """A JSON merge patch applied.

    Example: ``merge({"a": 1, "b": 2}, {"a": None}) == {"b": 2}``
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), value)
    return merged


def differences(old: dict, new: dict) -> tuple[tuple[str, str, str], ...]:
    """Resources that differ, as kind, name and specification; an empty one means removed.

    Example: ``differences({}, {"lanes": {"a": {}}}) == (("lanes", "a", "{}"),)``
    """
    found = []
    for kind in SCHEMAS:
        held, wanted = old.get(kind, {}), new.get(kind, {})
        if not isinstance(wanted, dict) or held is wanted:
            continue
        differing = [
            name for name, spec in wanted.items() if name not in held or (held[name] is not spec and held[name] != spec)
        ]
        differing.extend(name for name in held if name not in wanted)
        for name in sorted(differing):
            found.append((kind, name, json.dumps(wanted[name], sort_keys=True) if name in wanted else ""))
    return tuple(found)
