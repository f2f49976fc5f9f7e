"""An operator's configuration: a numbered document of named items, taken whole or in part, each on top of a version.

Items are kept word for word as they were sent, in their order; what they mean for the plan comes beside them.
"""

import collections.abc
import dataclasses
import json

import msgspec

from aspencroft.configuration import http_route, refused_orders, resources, taken_orders
from aspencroft.errors import result
from aspencroft.transport import codec

MOST_FAULTS = 100


@codec.kind(79)
@dataclasses.dataclass(frozen=True)
class Item:
    """One item: its list, its name there, its words, and the resource that it stands for (kind empty: none)."""

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
    """Command: take a configuration numbered ``version`` if ``condition`` is the current number (0: there is none).

    ``whole``: items that are not among ``upserts`` go; else only ``removals`` do. ``digest`` tells this very order
    from any other, so that it is known again when it is repeated.
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
    """The order of all items of a list."""

    group: str
    labels: tuple[str, ...]


@codec.kind(83)
@dataclasses.dataclass(frozen=True)
class Kept:
    """An item as it is kept; an empty text removes it."""

    group: str
    label: str
    text: str
    kind: str
    name: str


@codec.kind(85)
@dataclasses.dataclass(frozen=True)
class Applied:
    """Reply: the configuration is in the plan as of this revision; ``again``: it had been taken before."""

    revision: str
    changed: int
    again: bool


@codec.kind(86)
@dataclasses.dataclass(frozen=True)
class ReadConfiguration:
    """Command: the newest configuration."""


@codec.kind(87)
@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """Reply: number and items of the newest configuration, in order; number 0: there is none yet."""

    version: int
    items: tuple[Kept, ...]


@dataclasses.dataclass(frozen=True)
class Decided:
    """What a command comes to: items to keep, orders of lists to set, changed resources (an empty text removes)."""

    kept: tuple[Kept, ...]
    orders: tuple[Order, ...]
    changes: tuple[tuple[str, str, str], ...]


class Configuration:
    """The newest configuration and the record of all that were taken, folded from events.

    Example: ``Configuration().version == 0``
    """

    def __init__(self) -> None:
        self.version = 0
        self.groups: dict[str, dict[str, Kept]] = {}
        self.taken = taken_orders.TakenOrders()
        self.refused = refused_orders.RefusedOrders()

    def known(self, command: ApplyConfiguration) -> taken_orders.Taken | None:
        """The record of this very command, if it was taken before.

        Refused as unknown where such a record would have been given up by now: it may have been taken, and an order
        that was taken is never called refused. A condition at or above the version tells that it never was.
        """
        found = self.taken.find(command.version)
        if found is not None and found.digest == command.digest:
            return found
        if self.taken.forgotten(command.version) and command.condition < command.version:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN,
                result.Ran.UNKNOWN,
                f"orders up to {self.taken.horizon} are no longer on record",
            )
        return None

    def decide(self, command: ApplyConfiguration, document: dict, index: http_route.Index) -> Decided:
        """What a command would change; a RequestError when its condition is not met or what it gives is not sound."""
        if command.condition != self.version:
            raise result.RequestError(result.ResultCode.REVISION_DIFFERS, detail=f"the version is {self.version}")
        faults = []
        if command.version <= self.version:
            faults.append(resources.Fault("version", f"{command.version} is not above {self.version}"))
        if len(command.digest) != taken_orders.DIGEST_BYTES:
            faults.append(resources.Fault("digest", f"expected {taken_orders.DIGEST_BYTES} bytes"))
        names = [(one.group, one.label) for one in command.upserts]
        names.extend((one.group, one.label) for one in command.removals)
        faults.extend(resources.Fault(f"{group}/{label}", "named twice") for group, label in twice(names))
        faults.extend(resources.Fault(f"{one.group}/{one.label}", "no text") for one in command.upserts if not one.text)
        meant = [(one.kind, one.name) for one in command.upserts if one.kind]
        faults.extend(resources.Fault(f"{kind}/{name}", "stated twice") for kind, name in twice(meant))
        if faults:
            raise refusal(faults)
        kept, dropped = self.items(command)
        gone = {(one.kind, one.name) for one in dropped if one.kind} - set(meant)
        changes = []
        for one in command.upserts:
            if one.kind:
                if one.kind not in resources.SCHEMAS:
                    raise refusal([resources.Fault(one.kind, "unknown kind of resource")])
                found = resources.check_anew(one.kind, one.name, one.spec)
                faults.extend(found)
                held = document.get(one.kind, {}).get(one.name)
                if not found and (held is None or held != msgspec.json.decode(one.spec)):
                    changes.append((one.kind, one.name, one.spec))
        changes.extend((kind, name, "") for kind, name in sorted(gone) if name in document.get(kind, {}))
        faults = faults or between(document, changes, index)
        if faults:
            raise refusal(faults)
        return Decided(tuple(kept), self.orders(command), tuple(changes))

    def check_refused_before(self, command: ApplyConfiguration) -> None:
        """Refuse an order again that was refused before, though it could be taken now.

        Raises:
            RequestError: the result that the order was told then.

        """
        found = self.refused.find(command.version, command.condition, command.digest)
        if found is None:
            return
        text = "this very order was refused before"
        if found.result == result.ResultCode.PLAN_INVALID.number:
            raise refusal([resources.Fault("", text)])
        raise result.RequestError(result.ResultCode.REVISION_DIFFERS, detail=text)

    def lasting_refusal(
        self, command: ApplyConfiguration, told: result.RequestError
    ) -> refused_orders.OrderRefused | None:
        """The event that keeps a refused order refused; none where no later state could take it.

        Raises:
            RequestError: OUTCOME_UNKNOWN where the record has no room for it.

        """
        is_final = command.condition < self.version or command.version <= command.condition
        if is_final or len(command.digest) != taken_orders.DIGEST_BYTES:
            return None
        if self.refused.is_full():
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "too many refused orders are on record"
            )
        return refused_orders.OrderRefused(command.version, command.condition, command.digest, told.result.number)

    def items(self, command: ApplyConfiguration) -> tuple[list[Kept], list[Kept]]:
        """Items that a command changes, as they will be kept, and the old ones that go or give way."""
        kept, dropped, named = [], [], set()
        for one in command.upserts:
            fresh = Kept(one.group, one.label, one.text, one.kind, one.name)
            held = self.groups.get(one.group, {}).get(one.label)
            named.add((one.group, one.label))
            if held != fresh:
                kept.append(fresh)
                if held is not None:
                    dropped.append(held)
        if command.whole:
            going = [
                one for group in self.groups.values() for one in group.values() if (one.group, one.label) not in named
            ]
        else:
            found = (self.groups.get(one.group, {}).get(one.label) for one in command.removals)
            going = [one for one in found if one is not None]
        dropped.extend(going)
        kept.extend(Kept(one.group, one.label, "", "", "") for one in going)
        return kept, dropped

    def orders(self, command: ApplyConfiguration) -> tuple[Order, ...]:
        """The lists of a whole document whose items would otherwise stand in another order."""
        if not command.whole:
            return ()
        wanted: dict[str, list[str]] = {}
        for one in command.upserts:
            wanted.setdefault(one.group, []).append(one.label)
        found = []
        for group, labels in wanted.items():
            asked, held = set(labels), self.groups.get(group, {})
            stays = [label for label in held if label in asked]
            if stays + [label for label in labels if label not in held] != labels:
                found.append(Order(group, tuple(labels)))
        return tuple(found)

    def apply(self, taken: taken_orders.Taken, kept: tuple[Kept, ...], orders: tuple[Order, ...]) -> None:
        """Take in a configuration that was decided."""
        self.version = taken.version
        self.taken.add(taken)
        self.refused.forget_below(taken.version)
        for one in kept:
            group = self.groups.setdefault(one.group, {})
            if one.text:
                group[one.label] = one
            else:
                group.pop(one.label, None)
                if not group:
                    del self.groups[one.group]
        for order in orders:
            held = self.groups[order.group]
            self.groups[order.group] = {label: held[label] for label in order.labels}

    def read(self) -> ConfigurationRead:
        """The newest configuration."""
        return ConfigurationRead(self.version, tuple(one for group in self.groups.values() for one in group.values()))

    def snapshot(self) -> dict:
        """All of it as JSON's types."""
        shown = {
            "version": self.version,
            "items": [dataclasses.astuple(one) for group in self.groups.values() for one in group.values()],
            "taken": self.taken.snapshot(),
        }
        if len(self.refused):
            # Left out where it is empty: the snapshot is then, byte for byte, that of earlier software.
            shown["refused"] = self.refused.snapshot()
        return shown

    def restore(self, shown: dict) -> None:
        """Become what a snapshot shows."""
        self.version, self.groups = shown["version"], {}
        for one in shown["items"]:
            kept = Kept(*one)
            self.groups.setdefault(kept.group, {})[kept.label] = kept
        self.taken = taken_orders.TakenOrders()
        self.taken.restore(shown["taken"])
        self.refused = refused_orders.RefusedOrders()
        self.refused.restore(shown.get("refused", ()))


def twice(names: collections.abc.Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """The names that come more than once.

    Example: ``twice([("a", "b"), ("a", "b")]) == [("a", "b")]``
    """
    seen, found = set(), []
    for one in names:
        if one in seen:
            found.append(one)
        seen.add(one)
    return found


def between(document: dict, changes: list[tuple[str, str, str]], index: http_route.Index) -> list[resources.Fault]:
    """The faults between resources once changes are made; for HTTP routes its cost follows the changes.

    Example: ``between({}, [("services", "a", "{}")], http_route.Index()) == []``
    """
    after = dict(document)
    for kind in {kind for kind, _, _ in changes} - {resources.HTTP_ROUTES}:
        after[kind] = dict(document.get(kind, {}))
    put, dropped, lost = {}, set(), []
    for kind, name, text in changes:
        if kind != resources.HTTP_ROUTES:
            if text:
                after[kind][name] = msgspec.json.decode(text)
            else:
                after[kind].pop(name, None)
                if kind == "services":
                    lost.append(name)
        elif text:
            put[name] = msgspec.json.decode(text)
        else:
            dropped.add(name)
    more = len(put) - sum(name in document.get(resources.HTTP_ROUTES, {}) for name in put) - len(dropped)
    if more + sum(len(group) for group in after.values()) > resources.MOST_RESOURCES:
        return [resources.Fault("", f"more than {resources.MOST_RESOURCES} resources")]
    found = [
        resources.Fault(f"{resources.HTTP_ROUTES}/{path}", meaning)
        for path, meaning in index.faults(put, dropped, after.get("services", {}).__contains__, lost)
    ]
    if any(kind != resources.HTTP_ROUTES for kind, _, _ in changes):
        found.extend(resources.references(after))
    return found


def refusal(faults: list[resources.Fault]) -> result.RequestError:
    """The refusal that lists faults."""
    return result.RequestError(
        result.ResultCode.PLAN_INVALID,
        detail=json.dumps([dataclasses.asdict(one) for one in faults[:MOST_FAULTS]]),
    )
