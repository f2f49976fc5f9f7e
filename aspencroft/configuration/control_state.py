"""The control group's view: plan resources with revisions, and the epochs of duties."""

import collections.abc
import dataclasses
import datetime
import json
import typing

import msgspec

from aspencroft.configuration import http_route, operator_configuration, refused_orders, resources, taken_orders
from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.transport import codec

ROLE_LEASE = clock.seconds(2)
SLICE = 64
STEPS = 64


@codec.kind(70)
@dataclasses.dataclass(frozen=True)
class Revision:
    """A state of the plan: epoch of the control group and a number that only grows.

    Example: ``Revision(3, 17) > Revision(2, 16)``
    """

    epoch: int
    number: int

    def __lt__(self, other: "Revision") -> bool:
        return (self.number, self.epoch) < (other.number, other.epoch)

    def text(self) -> str:
        """The form that operators see.

        Example: ``Revision(3, 17).text() == "3.17"``
        """
        return f"{self.epoch}.{self.number}"


NEVER = Revision(0, 0)


def revision_of(text: str) -> Revision:
    """The revision that a text names.

    Example: ``revision_of("3.17") == Revision(3, 17)``
    """
    try:
        epoch, number = text.strip('"').split(".")
        return Revision(int(epoch), int(number))
    except ValueError:
        raise result.RequestError(result.ResultCode.MALFORMED, detail=f"{text!r} is no revision") from None


@codec.kind(71)
@dataclasses.dataclass(frozen=True)
class Change:
    """One resource's new specification; an empty one removes it."""

    kind: str
    name: str
    spec: str


@codec.kind(72)
@dataclasses.dataclass(frozen=True)
class ResourcesChanged:
    """Event: resources changed together under a new revision."""

    revision: Revision
    changes: tuple[Change, ...]


@codec.kind(73)
@dataclasses.dataclass(frozen=True)
class WriteResources:
    """Command: whole plan, merge patch, or one resource; with a condition when one is given."""

    way: str
    kind: str
    name: str
    body: str
    condition: Revision | None


@codec.kind(74)
@dataclasses.dataclass(frozen=True)
class ReadResources:
    """Command: the plan, when it is newer than a revision."""

    after: Revision


@codec.kind(89)
@dataclasses.dataclass(frozen=True)
class ResourcePatch:
    """What leads from one revision of the plan to the next: a merge patch upon document, revisions and version."""

    base: Revision
    revision: Revision
    patch: str


@codec.kind(75)
@dataclasses.dataclass(frozen=True)
class ResourcesRead:
    """The plan's revision; when newer than asked for, the steps that lead there, or else the whole document."""

    revision: Revision
    document: str
    steps: tuple[ResourcePatch, ...]


@codec.kind(76)
@dataclasses.dataclass(frozen=True)
class ResourcesWritten:
    """A write's revision and how many resources it changed."""

    revision: Revision
    changed: int


@codec.kind(77)
@dataclasses.dataclass(frozen=True)
class AcquireRole:
    """Command: hold or go on holding a duty."""

    duty: str
    holder: str
    incarnation: int


@codec.kind(78)
@dataclasses.dataclass(frozen=True)
class RoleAcquired:
    """Event and reply: who holds a duty under which epoch."""

    duty: str
    epoch: int
    holder: str
    incarnation: int


@codec.kind(88)
@dataclasses.dataclass(frozen=True)
class ConfigurationTaken:
    """Event: an operator's configuration was taken, with the changes that it means for the plan."""

    changed: ResourcesChanged
    taken: taken_orders.Taken
    kept: tuple[operator_configuration.Kept, ...]
    orders: tuple[operator_configuration.Order, ...]


Event = RoleAcquired | ConfigurationTaken | ResourcesChanged | refused_orders.OrderRefused
"""What the control group's log holds."""


class ControlState:
    """Plan, operator's configuration and duties, folded from events."""

    def __init__(self) -> None:
        self.revision = NEVER
        self.document: dict = {}
        self.revisions: dict[str, str] = {}
        self.configuration = operator_configuration.Configuration()
        self.index = http_route.Index()
        self.steps: dict[Revision, tuple[Revision, dict]] = {}
        self.duties: dict[str, RoleAcquired] = {}
        self.claims: dict[str, datetime.timedelta] = {}

    def decide(self, command: object, now: datetime.timedelta, epoch: int) -> tuple[tuple, object]:
        """Events and reply for a command, or a Refusal; nothing changes here but duty claims."""
        if isinstance(command, ReadResources):
            return (), self.read_plan(command.after)
        if isinstance(command, operator_configuration.ApplyConfiguration):
            return self.decide_configuration(command, epoch)
        if isinstance(command, operator_configuration.ReadConfiguration):
            return (), self.configuration.read()
        if isinstance(command, WriteResources):
            return self.decide_write(command, epoch)
        if isinstance(command, AcquireRole):
            return self.decide_role(command, now)
        raise result.RequestError(result.ResultCode.MALFORMED, detail=type(command).__name__)

    def decide_at_once(self, command: object, now: datetime.timedelta, epoch: int) -> object | None:
        """Every command of the control group is decided in turn."""
        return None

    def note_committed(self) -> None:
        """Nothing here waits for the members of the record."""

    def read_plan(self, after: Revision) -> ResourcesRead:
        """What is new since a revision: steps where they are still held, else the whole document."""
        if not after < self.revision:
            return ResourcesRead(self.revision, "", ())
        row, place = [], after
        while place != self.revision and place in self.steps:
            revision, patch = self.steps[place]
            row.append(ResourcePatch(place, revision, json.dumps(patch)))
            place = revision
        if place == self.revision:
            return ResourcesRead(self.revision, "", tuple(row))
        shown = {"plan": self.document, "revisions": self.revisions, "version": self.configuration.version}
        return ResourcesRead(self.revision, json.dumps(shown), ())

    def decide_configuration(
        self, command: operator_configuration.ApplyConfiguration, epoch: int
    ) -> tuple[tuple, object]:
        """An operator's configuration, checked whole before anything is stored.

        One that was taken is known again; one that was refused stays refused.
        """
        known = self.configuration.known(command)
        if known is not None:
            return (), operator_configuration.Applied(known.revision, 0, True)
        self.configuration.check_refused_before(command)
        try:
            decided = self.configuration.decide(command, self.document, self.index)
        except result.RequestError as refusal:
            lasting = self.configuration.lasting_refusal(command, refusal)
            if lasting is None:
                raise
            return (lasting,), refusal
        revision = Revision(epoch, self.revision.number + 1)
        changed = ResourcesChanged(revision, tuple(Change(*one) for one in decided.changes))
        taken = taken_orders.Taken(command.version, command.digest, revision.text())
        event = ConfigurationTaken(changed, taken, decided.kept, decided.orders)
        return (event,), operator_configuration.Applied(revision.text(), len(decided.changes), False)

    def decide_write(self, command: WriteResources, epoch: int) -> tuple[tuple, object]:
        """A plan write, checked whole before anything is stored."""
        single = command.way in ("put", "delete")
        if command.condition is not None:
            path = f"{command.kind}/{command.name}"
            held = revision_of(self.revisions.get(path, NEVER.text())) if single else self.revision
            if held != command.condition:
                raise result.RequestError(result.ResultCode.REVISION_DIFFERS, detail=f"it is {held.text()}")
        fresh = self.after(command)
        changes = self.changes_of(command, fresh)
        faults = resources.check(fresh, tuple((kind, name) for kind, name, _ in changes))
        if faults:
            raise result.RequestError(
                result.ResultCode.PLAN_INVALID, detail=json.dumps([dataclasses.asdict(one) for one in faults])
            )
        if not changes:
            return (), ResourcesWritten(self.revision, 0)
        revision = Revision(epoch, self.revision.number + 1)
        event = ResourcesChanged(revision, tuple(Change(*one) for one in changes))
        return (event,), ResourcesWritten(revision, len(changes))

    async def look_ahead(self, command: WriteResources) -> None:
        """Check what a write would change in slices, so that deciding it holds the loop for a moment only."""
        try:
            fresh = self.after(command)
            changes = () if resources.crowded(fresh) else self.changes_of(command, fresh)
        except result.RequestError:
            return
        for place, (kind, name, text) in enumerate(changes):
            if text:
                resources.check_one(kind, name, text)
            if place % SLICE == SLICE - 1:
                await clock.sleep(clock.ZERO)

    def changes_of(self, command: WriteResources, fresh: dict) -> tuple[tuple[str, str, str], ...]:
        """The resources that a write would change; one resource's write looks at no other."""
        if command.way not in ("put", "delete"):
            return resources.differences(self.document, fresh)
        held, wanted = (whole.get(command.kind, {}) for whole in (self.document, fresh))
        return resources.differences(
            {command.kind: {name: spec for name, spec in held.items() if name == command.name}},
            {command.kind: {name: spec for name, spec in wanted.items() if name == command.name}},
        )

    def after(self, command: WriteResources) -> dict:
        """The whole plan as it would be after a write."""
        body: typing.Any = json.loads(command.body) if command.body else None
        if command.way == "whole":
            return body
        if command.way == "merge":
            return resources.merge(self.document, body)
        if command.kind not in resources.SCHEMAS:
            raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=command.kind)
        group = dict(self.document.get(command.kind, {}))
        if command.way == "put":
            group[command.name] = body
        elif group.pop(command.name, None) is None:
            raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=f"{command.kind}/{command.name}")
        return {**self.document, command.kind: group}

    def decide_role(self, command: AcquireRole, now: datetime.timedelta) -> tuple[tuple, object]:
        """A duty is handed to another only once its holder's claim ran out; each time under a new epoch."""
        held = self.duties.get(command.duty)
        if held is not None and (held.holder, held.incarnation) == (command.holder, command.incarnation):
            self.claims[command.duty] = now + ROLE_LEASE
            return (), held
        if held is not None and now < self.claims.setdefault(command.duty, now + ROLE_LEASE):
            raise result.RequestError(
                result.ResultCode.NO_CLAIM,
                detail=f"{held.holder} holds {command.duty}",
                retry=self.claims[command.duty] - now,
            )
        taken = RoleAcquired(command.duty, held.epoch + 1 if held else 1, command.holder, command.incarnation)
        self.claims[command.duty] = now + ROLE_LEASE
        return (taken,), taken

    def apply(self, event: Event) -> None:
        """Take an event in."""
        if isinstance(event, RoleAcquired):
            self.duties[event.duty] = event
        elif isinstance(event, ConfigurationTaken):
            self.configuration.apply(event.taken, event.kept, event.orders)
            self.fold_changes(event.changed)
        elif isinstance(event, refused_orders.OrderRefused):
            self.configuration.refused.add(event)
        else:
            self.fold_changes(event)

    def fold_changes(self, event: ResourcesChanged) -> None:
        """Take changed resources in, and remember the step that leads there."""
        text = event.revision.text()
        patch: dict = {"plan": {}, "revisions": {}, "version": self.configuration.version}
        for change in event.changes:
            group = self.document.setdefault(change.kind, {})
            path, held = f"{change.kind}/{change.name}", group.get(change.name)
            patched = patch["plan"].setdefault(change.kind, {})
            if change.spec:
                spec = group[change.name] = msgspec.json.decode(change.spec)
                patched[change.name] = spec if held is None else resources.patch_between(held, spec)
                self.revisions[path] = patch["revisions"][path] = text
            else:
                group.pop(change.name, None)
                self.revisions.pop(path, None)
                patched[change.name] = patch["revisions"][path] = None
            if change.kind == resources.HTTP_ROUTES:
                if change.spec:
                    self.index.put(change.name, spec)
                else:
                    self.index.drop(change.name)
        self.steps[self.revision] = (event.revision, patch)
        while len(self.steps) > STEPS:
            del self.steps[next(iter(self.steps))]
        self.revision = event.revision

    def due(self, now: datetime.timedelta, gone: collections.abc.Callable[[str], bool]) -> tuple:
        """No clock events here."""
        return ()

    def reset_clocks(self) -> None:
        """This node is the primary no more: claims that it saw renewed count for nothing if it is one again."""
        self.claims = {}

    def snapshot(self) -> bytes:
        """All of it as bytes."""
        duties = [dataclasses.asdict(one) for one in self.duties.values()]
        return json.dumps(
            {
                "revision": self.revision.text(),
                "document": self.document,
                "revisions": self.revisions,
                "duties": duties,
                "configuration": self.configuration.snapshot(),
            }
        ).encode()

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """The snapshot, in one part: a plan is bounded."""
        return iter([self.snapshot()])

    def size(self) -> int:
        """How much a snapshot holds."""
        return 0

    def payload_bytes(self) -> int:
        """Bytes of what callers sent; the control group holds none.

        Example: ``ControlState().payload_bytes() == 0``
        """
        return 0

    def limit_payload(self, most: int) -> None:
        """Nothing to bound: the control group holds nothing of what callers send."""

    def restore(self, body: bytes) -> None:
        """Become what a snapshot shows."""
        shown = json.loads(body)
        self.revision = revision_of(shown["revision"])
        self.document, self.revisions = shown["document"], shown["revisions"]
        self.duties = {one["duty"]: RoleAcquired(**one) for one in shown["duties"]}
        self.configuration.restore(shown["configuration"])
        self.steps, self.index = {}, http_route.Index()
        for name, spec in self.document.get(resources.HTTP_ROUTES, {}).items():
            self.index.put(name, spec)
