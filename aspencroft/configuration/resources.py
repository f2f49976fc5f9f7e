"""The plan: the set of all named resources that operators write, with its validation and its typed form."""

import collections.abc
import dataclasses
import functools
import json
import re
import typing

import voluptuous

from aspencroft.configuration import alert_rule, http_route, lane, lane_route, limits, route_table, service, tenant

MAX_PLAN_BYTES = 8 << 20
MAX_RESOURCES = 200_000
MAX_CACHED_CHECKS = 20_000
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
"""Validators for the kinds that have no voluptuous schema; each takes one resource as JSON text."""
RESOURCE_NAME = voluptuous.Schema(voluptuous.All(str, voluptuous.Match(r"^[A-Za-z0-9\[][A-Za-z0-9._:\[\]-]{0,95}\Z")))


@dataclasses.dataclass(frozen=True)
class Fault:
    """A validation error in a plan: the path of the faulty value and what is wrong with it."""

    path: str
    meaning: str


@dataclasses.dataclass(frozen=True)
class DrainOrder:
    """An order to drain the machine at an address.

    ``name`` is the name that the machine had when the order was given, or empty if the order names only an address.
    ``is_completed`` is set once an operator was told that the machine is drained; the machine may be gone since then.
    """

    name: str
    is_completed: bool

    def is_for(self, name: str) -> bool:
        """Whether the order applies to a machine of this name; an order without a name applies to any."""
        return self.name in ("", name)

    def holds_for_new_disk(self, name: str) -> bool:
        """Whether the order still applies to a machine of this name that starts at the address with an empty disk.

        Before the order is completed, an empty disk means that the machine to be drained lost its disk. Afterwards
        it means that a different machine has taken over the address.
        """
        return self.is_for(name) and not self.is_completed


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The typed plan that nodes work with."""

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
        """The addresses of machines that must not hold replicas."""
        return self.drain_orders.keys()

    def allowed_services(self, lane_name: str, tool: str) -> tuple[str, ...]:
        """The services that a call of a lane may currently use, for a tool or, with an empty tool, in general."""
        lane_services = self.lanes[lane_name].services
        route = self.lane_routes.get((lane_name, tool)) or self.lane_routes.get((lane_name, ""))
        if route is None:
            return lane_services
        return tuple(name for name in route.services if name in lane_services)


def check(document: dict, changed: tuple[tuple[str, str], ...] | None = None) -> tuple[Fault, ...]:
    """Validate a plan; if changed resources are given, only those are validated one by one."""
    faults = [Fault(kind, "unknown kind of resource") for kind in document if kind not in SCHEMAS]
    if has_too_many_resources(document):
        return (Fault("", f"more than {MAX_RESOURCES} resources"),)
    for kind in SCHEMAS:
        group = document.get(kind, {})
        if not isinstance(group, dict):
            faults.append(Fault(kind, "expected an object of named resources"))
        elif changed is None:
            for name, spec in group.items():
                faults.extend(check_resource_cached(kind, name, json.dumps(spec, sort_keys=True)))
    for kind, name in changed or ():
        if isinstance(document.get(kind), dict) and name in document[kind]:
            faults.extend(check_resource_cached(kind, name, json.dumps(document[kind][name], sort_keys=True)))
    if not faults:
        faults.extend(reference_faults(document))
        if changed is None or any(kind in ("services", HTTP_ROUTES) for kind, _ in changed):
            faults.extend(route_reference_faults(document))
    return tuple(faults)


def is_machine_name(name: str) -> bool:
    """Whether a machine's name is valid as a resource name and cannot be mistaken for an address.

    Example: ``is_machine_name("storage-1") and not is_machine_name("storage-1:7300")``
    """
    try:
        RESOURCE_NAME(name)
    except voluptuous.Invalid:
        return False
    return ADDRESS_PATTERN.match(name) is None


def has_too_many_resources(document: dict) -> bool:
    """Whether a document exceeds the maximum number of resources."""
    return sum(len(group) for group in document.values() if isinstance(group, dict)) > MAX_RESOURCES


def check_resource(kind: str, name: str, text: str) -> tuple[Fault, ...]:
    """Validate one resource, given as JSON, without looking at any other."""
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
            for error_item in error.errors:
                path = "/".join([kind, name, *[str(part) for part in error_item.path]])
                faults.append(Fault(path, error_item.msg))
    return tuple(faults)


@functools.lru_cache(MAX_CACHED_CHECKS)
def check_resource_cached(kind: str, name: str, text: str) -> tuple[Fault, ...]:
    """Validate one resource through a cache, which is filled in slices before a write is decided."""
    return check_resource(kind, name, text)


def reference_faults(document: dict) -> list[Fault]:
    """Validate references between resources, such as names of resources that do not exist."""
    faults = []
    services, lanes = document.get("services", {}), document.get("lanes", {})
    for name, spec in services.items():
        if spec.get("base") and spec["base"] not in services:
            faults.append(Fault(f"services/{name}/base", f"no service {spec['base']}"))
    for name, spec in lanes.items():
        for position, service_name in enumerate(spec["services"]):
            if service_name not in services:
                faults.append(Fault(f"lanes/{name}/services/{position}", f"no service {service_name}"))
    route_by_target: dict[tuple[str, str], str] = {}
    for name, spec in document.get("routes", {}).items():
        if spec["lane"] not in lanes:
            faults.append(Fault(f"routes/{name}/lane", f"no lane {spec['lane']}"))
            continue
        other_name = route_by_target.setdefault((spec["lane"], spec.get("tool", "")), name)
        if other_name != name:
            faults.append(Fault(f"routes/{name}/tool", f"route {other_name} is for the same lane and tool"))
        for position, service_name in enumerate(spec["services"]):
            if service_name not in lanes[spec["lane"]]["services"]:
                faults.append(Fault(f"routes/{name}/services/{position}", f"the lane does not allow {service_name}"))
    for kind, only_name in (("limits", limits.EDGE), (ACCESS, tenant.ACCESS)):
        faults.extend(
            Fault(f"{kind}/{name}", f"the only {kind} resource is {only_name}")
            for name in document.get(kind, {})
            if name != only_name
        )
    faults.extend(
        Fault(f"{TENANTS}/{path}", meaning) for path, meaning in tenant.shared_keys(document.get(TENANTS, {}))
    )
    return faults


def route_reference_faults(document: dict) -> list[Fault]:
    """Validate HTTP routes against each other and against the services that they name.

    Example: ``route_reference_faults({"http_routes": {}}) == []``
    """
    found = http_route.Index().faults(document.get(HTTP_ROUTES, {}), (), document.get("services", {}).__contains__, ())
    return [Fault(f"{HTTP_ROUTES}/{path}", meaning) for path, meaning in found]


def of(document: dict, version: int = 0) -> Configuration:
    """Return the typed plan of a valid document; the version is the operator's own, 0 if there is none.

    Example: ``of({}).lanes == {}``
    """
    return with_patch(EMPTY, document, dict.fromkeys(document), version)


def with_patch(before: Configuration, document: dict, patch: dict, version: int) -> Configuration:
    """Return the typed plan of a document that differs from the previous one by a merge patch.

    The cost depends on what the patch names.
    """
    fields: dict = {"version": version}

    def typed_by_name(kind: str, parse: collections.abc.Callable) -> dict:
        return {name: parse(name, spec) for name, spec in document.get(kind, {}).items()}

    def names_with_flag(kind: str, field: str) -> frozenset[str]:
        return frozenset(name for name, spec in document.get(kind, {}).items() if spec.get(field))

    if "services" in patch:
        fields["services"] = typed_by_name("services", service.of)
    if "lanes" in patch:
        fields["lanes"] = typed_by_name("lanes", lane.of)
    if "routes" in patch:
        fields["lane_routes"] = {
            (route.lane, route.tool): route for route in typed_by_name("routes", lane_route.of).values()
        }
    if "workers" in patch:
        fields["leaving"] = names_with_flag("workers", "leaving")
    if "machines" in patch:
        fields["drain_orders"] = {
            address: DrainOrder(spec.get("name", ""), spec.get("completed", False))
            for address, spec in document.get("machines", {}).items()
            if spec.get("emptied")
        }
    if "seeds" in patch:
        fields["seeds"] = tuple(document.get("seeds", {}).get("control", {}).get("addresses", []))
    if "rules" in patch:
        fields["rules"] = typed_by_name("rules", alert_rule.of)
    fields.update(caller_fields_after(before, document, patch))
    return dataclasses.replace(before, **fields)


def caller_fields_after(before: Configuration, document: dict, patch: dict) -> dict[str, typing.Any]:
    """Return the fields for callers and their routes that a merge patch changes."""
    fields: dict[str, typing.Any] = {}
    if "limits" in patch:
        fields["limits"] = limits.of(document.get("limits", {}).get(limits.EDGE, {}))
    if HTTP_ROUTES in patch:
        routes_and_table = routes_after(before, document.get(HTTP_ROUTES, {}), patch[HTTP_ROUTES])
        fields["http_routes"], fields["route_table"] = routes_and_table
    if TENANTS in patch:
        fields["tenants"], fields["key_table"] = tenants_after(before, document.get(TENANTS, {}), patch[TENANTS])
    if ACCESS in patch:
        fields["keys_required"] = document.get(ACCESS, {}).get(tenant.ACCESS, {}).get("keys_required", False)
    return fields


def routes_after(
    before: Configuration, group: dict, patch: dict | None
) -> tuple[dict[str, http_route.HttpRoute], route_table.RouteTable]:
    """Return the HTTP routes and their table after a patch; without a patch all routes are replaced."""
    routes = dict(before.http_routes)
    names = patch if patch is not None else {**routes, **group}
    removed = [routes.pop(name) for name in names if name in routes]
    added = [http_route.of(name, group[name]) for name in names if name in group]
    routes.update((route.name, route) for route in added)
    return routes, before.route_table.changed(removed, added)


def tenants_after(
    before: Configuration, group: dict, patch: dict | None
) -> tuple[dict[str, tenant.Tenant], tenant.KeyTable]:
    """Return the tenants and their keys after a patch; without a patch all tenants are replaced."""
    tenants = dict(before.tenants)
    names = patch if patch is not None else {**tenants, **group}
    removed = [tenants.pop(name) for name in names if name in tenants]
    added = [tenant.of(name, group[name]) for name in names if name in group]
    tenants.update((tenant_added.name, tenant_added) for tenant_added in added)
    return tenants, before.key_table.changed(removed, added)


EMPTY = Configuration({}, {}, {}, frozenset(), {}, (), {}, {}, route_table.EMPTY, limits.of({}), {}, tenant.NO_KEYS)


def patch_between(old: dict, new: dict) -> dict:
    """Return the JSON merge patch that turns one object into another.

    Example: ``patch_between({"a": 1}, {"b": 2}) == {"a": None, "b": 2}``
    """
    patch: dict = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif old[key] is not value and old[key] != value:
            are_objects = isinstance(value, dict) and isinstance(old[key], dict)
            patch[key] = patch_between(old[key], value) if are_objects else value
    return patch


def merge(target: typing.Any, patch: typing.Any) -> typing.Any:
    """Apply a JSON merge patch.

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
    """Return the resources that differ as kind, name and specification; an empty specification means removed.

    Example: ``differences({}, {"lanes": {"a": {}}}) == (("lanes", "a", "{}"),)``
    """
    changes = []
    for kind in SCHEMAS:
        old_group, new_group = old.get(kind, {}), new.get(kind, {})
        if not isinstance(new_group, dict) or old_group is new_group:
            continue
        changed_names = [
            name
            for name, spec in new_group.items()
            if name not in old_group or (old_group[name] is not spec and old_group[name] != spec)
        ]
        changed_names.extend(name for name in old_group if name not in new_group)
        for name in sorted(changed_names):
            changes.append((kind, name, json.dumps(new_group[name], sort_keys=True) if name in new_group else ""))
    return tuple(changes)
