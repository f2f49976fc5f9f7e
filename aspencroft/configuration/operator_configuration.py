"""An operator's configuration: a versioned document of named items, replaced as a whole or changed by a patch.

An order applies on top of a given version. The texts of the items are stored unchanged and in their order, next to the
plan resources that they stand for.
"""

import collections.abc
import dataclasses
import json

import msgspec

from aspencroft.configuration import http_route, refused_orders, resources, taken_orders
from aspencroft.errors import result
from aspencroft.transport import codec

MAX_FAULTS_TOLD = 100


@codec.kind(79)
@dataclasses.dataclass(frozen=True)
class Item:
    """An item: its list, its name in that list, its text and the resource that it stands for (empty kind: none)."""

    group: str
    label: str
    text: str
    kind: str = ""
    name: str = ""
    spec: str = ""


@codec.kind(80)
@dataclasses.dataclass(frozen=True)
class Label:
    """The name of an item in its list."""

    group: str
    label: str


@codec.kind(81)
@dataclasses.dataclass(frozen=True)
class ApplyConfiguration:
    """Command: apply a configuration as ``version`` if ``condition`` is the current version (0: there is none yet).

    If ``whole`` is set, items that are not among ``upserts`` are removed; otherwise only ``removals`` are. ``digest``
    identifies the order, so that a repeat of it is recognised.
    """

    version: int
    condition: int
    whole: bool
    upserts: tuple[Item, ...]
    removals: tuple[Label, ...]
    digest: bytes


@codec.kind(82)
@dataclasses.dataclass(frozen=True)
class Order:
    """The sequence of all items in a list."""

    group: str
    labels: tuple[str, ...]


@codec.kind(83)
@dataclasses.dataclass(frozen=True)
class Kept:
    """An item as it is stored; an empty text removes it."""

    group: str
    label: str
    text: str
    kind: str
    name: str


@codec.kind(85)
@dataclasses.dataclass(frozen=True)
class Applied:
    """Reply: the plan revision with which the configuration was applied; ``again`` is set for a repeated order."""

    revision: str
    changed: int
    again: bool


@codec.kind(86)
@dataclasses.dataclass(frozen=True)
class ReadConfiguration:
    """Command: read the newest configuration."""


@codec.kind(87)
@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """Reply: version and items of the newest configuration, in order; version 0 means that there is none yet."""

    version: int
    items: tuple[Kept, ...]


@dataclasses.dataclass(frozen=True)
class Decided:
    """The effect of a command: items to store, sequences of lists, changed resources (an empty text removes one)."""

    kept: tuple[Kept, ...]
    orders: tuple[Order, ...]
    changes: tuple[tuple[str, str, str], ...]


class Configuration:
    """The newest configuration and the records of accepted and rejected orders, built up by applying events.

    Example: ``Configuration().version == 0``
    """

    def __init__(self) -> None:
        self.version = 0
        self.groups: dict[str, dict[str, Kept]] = {}
        self.taken = taken_orders.TakenOrders()
        self.refused = refused_orders.RefusedOrders()

    def known(self, command: ApplyConfiguration) -> taken_orders.Taken | None:
        """Return the record of an order if it was accepted before.

        An order whose record may have been discarded by now is not rejected, since it may have been accepted: its
        outcome is unknown. Only an order with a condition at or above its version was certainly never accepted.

        Raises:
            RequestError: OUTCOME_UNKNOWN if the record of the order may have been discarded.

        """
        record = self.taken.find(command.version)
        if record is not None and record.digest == command.digest:
            return record
        if self.taken.may_be_discarded(command.version) and command.condition < command.version:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN,
                result.Ran.UNKNOWN,
                f"the records of orders up to version {self.taken.horizon} have been discarded",
            )
        return None

    def decide(self, command: ApplyConfiguration, document: dict, index: http_route.Index) -> Decided:
        """Return what a command changes.

        Raises:
            RequestError: the condition is not met, or the configuration is not valid.

        """
        if command.condition != self.version:
            raise result.RequestError(
                result.ResultCode.REVISION_DIFFERS, detail=f"the current version is {self.version}"
            )
        faults = []
        if command.version <= self.version:
            faults.append(
                resources.Fault("version", f"{command.version} is not above the current version {self.version}")
            )
        if len(command.digest) != taken_orders.DIGEST_BYTES:
            faults.append(resources.Fault("digest", f"expected {taken_orders.DIGEST_BYTES} bytes"))
        names = [(item.group, item.label) for item in command.upserts]
        names.extend((item.group, item.label) for item in command.removals)
        faults.extend(resources.Fault(f"{group}/{label}", "named twice") for group, label in duplicate_names(names))
        faults.extend(
            resources.Fault(f"{item.group}/{item.label}", "no text") for item in command.upserts if not item.text
        )
        resource_names = [(item.kind, item.name) for item in command.upserts if item.kind]
        faults.extend(
            resources.Fault(f"{kind}/{name}", "stated twice") for kind, name in duplicate_names(resource_names)
        )
        if faults:
            raise invalid_configuration(faults)
        kept, dropped = self.items(command)
        removed_resources = {(item.kind, item.name) for item in dropped if item.kind} - set(resource_names)
        changes = []
        for item in command.upserts:
            if item.kind:
                if item.kind not in resources.SCHEMAS:
                    raise invalid_configuration([resources.Fault(item.kind, "unknown kind of resource")])
                resource_faults = resources.check_resource(item.kind, item.name, item.spec)
                faults.extend(resource_faults)
                current = document.get(item.kind, {}).get(item.name)
                if not resource_faults and (current is None or current != msgspec.json.decode(item.spec)):
                    changes.append((item.kind, item.name, item.spec))
        changes.extend((kind, name, "") for kind, name in sorted(removed_resources) if name in document.get(kind, {}))
        faults = faults or reference_faults_after(document, changes, index)
        if faults:
            raise invalid_configuration(faults)
        return Decided(tuple(kept), self.orders(command), tuple(changes))

    def check_refused_before(self, command: ApplyConfiguration) -> None:
        """Reject an order that was rejected before, even if it has become valid since.

        Raises:
            RequestError: the order was rejected before; the result is the same as then.

        """
        refused = self.refused.find(command.version, command.condition, command.digest)
        if refused is None:
            return
        text = "the same order was refused before"
        if refused.result == result.ResultCode.PLAN_INVALID.number:
            raise invalid_configuration([resources.Fault("", text)])
        raise result.RequestError(result.ResultCode.REVISION_DIFFERS, detail=text)

    def lasting_refusal(
        self, command: ApplyConfiguration, error: result.RequestError
    ) -> refused_orders.OrderRefused | None:
        """Return the event that records a rejection, or None if no later state could accept the order anyway.

        Raises:
            RequestError: OUTCOME_UNKNOWN if the record of rejections is full.

        """
        is_final = command.condition < self.version or command.version <= command.condition
        if is_final or len(command.digest) != taken_orders.DIGEST_BYTES:
            return None
        if self.refused.is_full():
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "too many refused orders are on record"
            )
        return refused_orders.OrderRefused(command.version, command.condition, command.digest, error.result.number)

    def items(self, command: ApplyConfiguration) -> tuple[list[Kept], list[Kept]]:
        """Return the items to store for a command, and the old ones that it removes or replaces."""
        kept, dropped, names = [], [], set()
        for item in command.upserts:
            new_item = Kept(item.group, item.label, item.text, item.kind, item.name)
            old_item = self.groups.get(item.group, {}).get(item.label)
            names.add((item.group, item.label))
            if old_item != new_item:
                kept.append(new_item)
                if old_item is not None:
                    dropped.append(old_item)
        if command.whole:
            removed = [
                item
                for group in self.groups.values()
                for item in group.values()
                if (item.group, item.label) not in names
            ]
        else:
            listed = (self.groups.get(item.group, {}).get(item.label) for item in command.removals)
            removed = [item for item in listed if item is not None]
        dropped.extend(removed)
        kept.extend(Kept(item.group, item.label, "", "", "") for item in removed)
        return kept, dropped

    def orders(self, command: ApplyConfiguration) -> tuple[Order, ...]:
        """Return the sequences to set for a whole document: those of lists that would otherwise be out of order."""
        if not command.whole:
            return ()
        wanted_sequences: dict[str, list[str]] = {}
        for item in command.upserts:
            wanted_sequences.setdefault(item.group, []).append(item.label)
        sequences = []
        for group, labels in wanted_sequences.items():
            wanted_labels, current_group = set(labels), self.groups.get(group, {})
            remaining = [label for label in current_group if label in wanted_labels]
            if remaining + [label for label in labels if label not in current_group] != labels:
                sequences.append(Order(group, tuple(labels)))
        return tuple(sequences)

    def apply(self, taken: taken_orders.Taken, kept: tuple[Kept, ...], orders: tuple[Order, ...]) -> None:
        """Apply a configuration that was accepted."""
        self.version = taken.version
        self.taken.add(taken)
        self.refused.discard_below(taken.version)
        for item in kept:
            group = self.groups.setdefault(item.group, {})
            if item.text:
                group[item.label] = item
            else:
                group.pop(item.label, None)
                if not group:
                    del self.groups[item.group]
        for order in orders:
            items = self.groups[order.group]
            self.groups[order.group] = {label: items[label] for label in order.labels}

    def read(self) -> ConfigurationRead:
        """Return the newest configuration."""
        return ConfigurationRead(self.version, tuple(item for group in self.groups.values() for item in group.values()))

    def snapshot(self) -> dict:
        """Return the whole state as JSON types."""
        fields = {
            "version": self.version,
            "items": [dataclasses.astuple(item) for group in self.groups.values() for item in group.values()],
            "taken": self.taken.snapshot(),
        }
        if len(self.refused):
            # Omitted if empty, so that the snapshot is byte for byte the one that earlier software writes.
            fields["refused"] = self.refused.snapshot()
        return fields

    def restore(self, fields: dict) -> None:
        """Replace the state with that of a snapshot."""
        self.version, self.groups = fields["version"], {}
        for item in fields["items"]:
            kept = Kept(*item)
            self.groups.setdefault(kept.group, {})[kept.label] = kept
        self.taken = taken_orders.TakenOrders()
        self.taken.restore(fields["taken"])
        self.refused = refused_orders.RefusedOrders()
        self.refused.restore(fields.get("refused", ()))


def duplicate_names(names: collections.abc.Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the names that occur more than once.

    Example: ``duplicate_names([("a", "b"), ("a", "b")]) == [("a", "b")]``
    """
    seen, duplicates = set(), []
    for name in names:
        if name in seen:
            duplicates.append(name)
        seen.add(name)
    return duplicates


def reference_faults_after(
    document: dict, changes: list[tuple[str, str, str]], index: http_route.Index
) -> list[resources.Fault]:
    """Validate references between resources as they would be after some changes.

    For HTTP routes the cost depends on the number of changes, not on the number of routes.

    Example: ``reference_faults_after({}, [("services", "a", "{}")], http_route.Index()) == []``
    """
    new_document = dict(document)
    for kind in {kind for kind, _, _ in changes} - {resources.HTTP_ROUTES}:
        new_document[kind] = dict(document.get(kind, {}))
    put_routes, removed_routes, removed_services = {}, set(), []
    for kind, name, text in changes:
        if kind != resources.HTTP_ROUTES:
            if text:
                new_document[kind][name] = msgspec.json.decode(text)
            else:
                new_document[kind].pop(name, None)
                if kind == "services":
                    removed_services.append(name)
        elif text:
            put_routes[name] = msgspec.json.decode(text)
        else:
            removed_routes.add(name)
    added_route_count = (
        len(put_routes)
        - sum(name in document.get(resources.HTTP_ROUTES, {}) for name in put_routes)
        - len(removed_routes)
    )
    if added_route_count + sum(len(group) for group in new_document.values()) > resources.MAX_RESOURCES:
        return [resources.Fault("", f"more than {resources.MAX_RESOURCES} resources")]
    faults = [
        resources.Fault(f"{resources.HTTP_ROUTES}/{path}", meaning)
        for path, meaning in index.faults(
            put_routes, removed_routes, new_document.get("services", {}).__contains__, removed_services
        )
    ]
    if any(kind != resources.HTTP_ROUTES for kind, _, _ in changes):
        faults.extend(resources.reference_faults(new_document))
    return faults


def invalid_configuration(faults: list[resources.Fault]) -> result.RequestError:
    """Return the error that rejects a configuration with a list of faults."""
    return result.RequestError(
        result.ResultCode.PLAN_INVALID,
        detail=json.dumps([dataclasses.asdict(fault) for fault in faults[:MAX_FAULTS_TOLD]]),
    )
