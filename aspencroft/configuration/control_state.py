"""The control group's state machine: plan resources with their revisions, and the epochs of singleton roles."""

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
CHECKS_PER_SLICE = 64
MAX_PATCHES = 64


@codec.kind(70)
@dataclasses.dataclass(frozen=True)
class Revision:
    """A revision of the plan: the epoch of the control group, and a number that increases with every change.

    Example: ``Revision(3, 17) > Revision(2, 16)``
    """

    epoch: int
    number: int

    def __lt__(self, other: "Revision") -> bool:
        return (self.number, self.epoch) < (other.number, other.epoch)

    def text(self) -> str:
        """Return the text form that operators see.

        Example: ``Revision(3, 17).text() == "3.17"``
        """
        return f"{self.epoch}.{self.number}"


NEVER = Revision(0, 0)


def revision_of(text: str) -> Revision:
    """Parse the text form of a revision.

    Example: ``revision_of("3.17") == Revision(3, 17)``
    """
    try:
        epoch, number = text.strip('"').split(".")
        return Revision(int(epoch), int(number))
    except ValueError:
        raise result.RequestError(
            result.ResultCode.MALFORMED, detail=f"{text!r} is not a revision, such as 3.17"
        ) from None


@codec.kind(71)
@dataclasses.dataclass(frozen=True)
class Change:
    """The new specification of one resource; an empty specification removes it."""

    kind: str
    name: str
    spec: str


@codec.kind(72)
@dataclasses.dataclass(frozen=True)
class ResourcesChanged:
    """Event: resources that changed together, and the new revision of the plan."""

    revision: Revision
    changes: tuple[Change, ...]


@codec.kind(73)
@dataclasses.dataclass(frozen=True)
class WriteResources:
    """Command: write the whole plan, a merge patch or one resource, optionally only at an expected revision."""

    way: str
    kind: str
    name: str
    body: str
    condition: Revision | None


@codec.kind(74)
@dataclasses.dataclass(frozen=True)
class ReadResources:
    """Command: read the plan if it is newer than a revision."""

    after: Revision


@codec.kind(89)
@dataclasses.dataclass(frozen=True)
class ResourcePatch:
    """A merge patch over document, revisions and version that leads from one revision of the plan to the next."""

    base: Revision
    revision: Revision
    patch: str


@codec.kind(75)
@dataclasses.dataclass(frozen=True)
class ResourcesRead:
    """Reply: the plan's revision and, if it is newer than asked for, the patches up to it or the whole document."""

    revision: Revision
    document: str
    steps: tuple[ResourcePatch, ...]


@codec.kind(76)
@dataclasses.dataclass(frozen=True)
class ResourcesWritten:
    """Reply: the revision of a write and the number of resources that it changed."""

    revision: Revision
    changed: int


@codec.kind(77)
@dataclasses.dataclass(frozen=True)
class AcquireRole:
    """Command: acquire a singleton role or renew the lease on it."""

    duty: str
    holder: str
    incarnation: int


@codec.kind(78)
@dataclasses.dataclass(frozen=True)
class RoleAcquired:
    """Event and reply: the holder of a singleton role and its epoch."""

    duty: str
    epoch: int
    holder: str
    incarnation: int


@codec.kind(88)
@dataclasses.dataclass(frozen=True)
class ConfigurationTaken:
    """Event: an operator's configuration was accepted, with the changes that it makes to the plan."""

    changed: ResourcesChanged
    taken: taken_orders.Taken
    kept: tuple[operator_configuration.Kept, ...]
    orders: tuple[operator_configuration.Order, ...]


Event = RoleAcquired | ConfigurationTaken | ResourcesChanged | refused_orders.OrderRefused
"""The entries of the control group's log."""


class ControlState:
    """The plan, the operator's configuration and the singleton roles, built up by applying events."""

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
        """Return the events and the reply for a command; nothing is changed but the leases on singleton roles.

        Raises:
            RequestError: the command is rejected.

        """
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
        """Return None: the control group decides all commands one after the other."""
        return None

    def note_committed(self) -> None:
        """Do nothing: no command here waits until the members have committed."""

    def read_plan(self, after: Revision) -> ResourcesRead:
        """Return the patches since a revision if they are still kept, else the whole document."""
        if not after < self.revision:
            return ResourcesRead(self.revision, "", ())
        patches, base = [], after
        while base != self.revision and base in self.steps:
            revision, patch = self.steps[base]
            patches.append(ResourcePatch(base, revision, json.dumps(patch)))
            base = revision
        if base == self.revision:
            return ResourcesRead(self.revision, "", tuple(patches))
        content = {"plan": self.document, "revisions": self.revisions, "version": self.configuration.version}
        return ResourcesRead(self.revision, json.dumps(content), ())

    def decide_configuration(
        self, command: operator_configuration.ApplyConfiguration, epoch: int
    ) -> tuple[tuple, object]:
        """Decide on an operator's configuration, which is fully validated before anything is stored.

        A repeat of an accepted configuration gets the same reply again; a rejected one stays rejected.
        """
        recorded = self.configuration.known(command)
        if recorded is not None:
            return (), operator_configuration.Applied(recorded.revision, 0, True)
        self.configuration.check_refused_before(command)
        try:
            decided = self.configuration.decide(command, self.document, self.index)
        except result.RequestError as refusal:
            refusal_event = self.configuration.lasting_refusal(command, refusal)
            if refusal_event is None:
                raise
            return (refusal_event,), refusal
        revision = Revision(epoch, self.revision.number + 1)
        resources_changed = ResourcesChanged(revision, tuple(Change(*one) for one in decided.changes))
        taken = taken_orders.Taken(command.version, command.digest, revision.text())
        event = ConfigurationTaken(resources_changed, taken, decided.kept, decided.orders)
        return (event,), operator_configuration.Applied(revision.text(), len(decided.changes), False)

    def decide_write(self, command: WriteResources, epoch: int) -> tuple[tuple, object]:
        """Decide on a write to the plan, which is fully validated before anything is stored."""
        is_single = command.way in ("put", "delete")
        if command.condition is not None:
            path = f"{command.kind}/{command.name}"
            current = revision_of(self.revisions.get(path, NEVER.text())) if is_single else self.revision
            if current != command.condition:
                raise result.RequestError(
                    result.ResultCode.REVISION_DIFFERS, detail=f"the current revision is {current.text()}"
                )
        new_document = self.after(command)
        changes = self.changed_resources(command, new_document)
        faults = resources.check(new_document, tuple((kind, name) for kind, name, _ in changes))
        if faults:
            raise result.RequestError(
                result.ResultCode.PLAN_INVALID, detail=json.dumps([dataclasses.asdict(one) for one in faults])
            )
        if not changes:
            return (), ResourcesWritten(self.revision, 0)
        revision = Revision(epoch, self.revision.number + 1)
        event = ResourcesChanged(revision, tuple(Change(*one) for one in changes))
        return (event,), ResourcesWritten(revision, len(changes))

    async def precheck_write(self, command: WriteResources) -> None:
        """Validate the changes of a write in slices, so that deciding it later blocks the event loop only briefly."""
        try:
            new_document = self.after(command)
            changes = (
                () if resources.has_too_many_resources(new_document) else self.changed_resources(command, new_document)
            )
        except result.RequestError:
            return
        for position, (kind, name, text) in enumerate(changes):
            if text:
                resources.check_resource_cached(kind, name, text)
            if position % CHECKS_PER_SLICE == CHECKS_PER_SLICE - 1:
                await clock.sleep(clock.ZERO)

    def changed_resources(self, command: WriteResources, new_document: dict) -> tuple[tuple[str, str, str], ...]:
        """Return the resources that a write would change; a write of one resource compares only that one."""
        if command.way not in ("put", "delete"):
            return resources.differences(self.document, new_document)
        old_group, new_group = (plan.get(command.kind, {}) for plan in (self.document, new_document))
        return resources.differences(
            {command.kind: {name: spec for name, spec in old_group.items() if name == command.name}},
            {command.kind: {name: spec for name, spec in new_group.items() if name == command.name}},
        )

    def after(self, command: WriteResources) -> dict:
        """Return the whole plan as it would be after a write."""
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
        """Grant a singleton role to another node only after its holder's lease has expired, under a new epoch."""
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
        acquired = RoleAcquired(command.duty, held.epoch + 1 if held else 1, command.holder, command.incarnation)
        self.claims[command.duty] = now + ROLE_LEASE
        return (acquired,), acquired

    def apply(self, event: Event) -> None:
        """Apply an event of the log."""
        if isinstance(event, RoleAcquired):
            self.duties[event.duty] = event
        elif isinstance(event, ConfigurationTaken):
            self.configuration.apply(event.taken, event.kept, event.orders)
            self.apply_changes(event.changed)
        elif isinstance(event, refused_orders.OrderRefused):
            self.configuration.refused.add(event)
        else:
            self.apply_changes(event)

    def apply_changes(self, event: ResourcesChanged) -> None:
        """Apply changed resources, and keep the patch that leads to the new revision."""
        revision_text = event.revision.text()
        patch: dict = {"plan": {}, "revisions": {}, "version": self.configuration.version}
        for change in event.changes:
            group = self.document.setdefault(change.kind, {})
            path, previous = f"{change.kind}/{change.name}", group.get(change.name)
            group_patch = patch["plan"].setdefault(change.kind, {})
            if change.spec:
                spec = group[change.name] = msgspec.json.decode(change.spec)
                group_patch[change.name] = spec if previous is None else resources.patch_between(previous, spec)
                self.revisions[path] = patch["revisions"][path] = revision_text
            else:
                group.pop(change.name, None)
                self.revisions.pop(path, None)
                group_patch[change.name] = patch["revisions"][path] = None
            if change.kind == resources.HTTP_ROUTES:
                if change.spec:
                    self.index.put(change.name, spec)
                else:
                    self.index.drop(change.name)
        self.steps[self.revision] = (event.revision, patch)
        while len(self.steps) > MAX_PATCHES:
            del self.steps[next(iter(self.steps))]
        self.revision = event.revision

    def due(self, now: datetime.timedelta, gone: collections.abc.Callable[[str], bool]) -> tuple:
        """Return no events: nothing here depends on the clock."""
        return ()

    def reset_clocks(self) -> None:
        """Drop the role leases when this node stops being primary: they are out of date if it becomes primary again."""
        self.claims = {}

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        roles = [dataclasses.asdict(role) for role in self.duties.values()]
        return json.dumps(
            {
                "revision": self.revision.text(),
                "document": self.document,
                "revisions": self.revisions,
                "duties": roles,
                "configuration": self.configuration.snapshot(),
            }
        ).encode()

    def snapshot_parts(self) -> collections.abc.Iterator[bytes]:
        """Return the snapshot in a single part, as the size of a plan is bounded."""
        return iter([self.snapshot()])

    def size(self) -> int:
        """Return 0: the state is not counted in entries."""
        return 0

    def payload_bytes(self) -> int:
        """Return the bytes of callers' payloads, of which the control group holds none.

        Example: ``ControlState().payload_bytes() == 0``
        """
        return 0

    def limit_payload(self, most: int) -> None:
        """Do nothing: the control group holds no payloads of callers."""

    def restore(self, body: bytes) -> None:
        """Replace the state with that of a snapshot."""
        fields = json.loads(body)
        self.revision = revision_of(fields["revision"])
        self.document, self.revisions = fields["document"], fields["revisions"]
        self.duties = {role["duty"]: RoleAcquired(**role) for role in fields["duties"]}
        self.configuration.restore(fields["configuration"])
        self.steps, self.index = {}, http_route.Index()
        for name, spec in self.document.get(resources.HTTP_ROUTES, {}).items():
            self.index.put(name, spec)
