"""Orders to drain a machine: checked against the newest plan, taken on top of it, known again, and how far they are."""

import asyncio
import collections.abc
import datetime
import enum
import json
import typing

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.runtime import clock, supervision

if typing.TYPE_CHECKING:
    from aspencroft.node import node

MEMBERS_KNOWN = clock.seconds(3)
RETURNING = clock.seconds(10)


class DrainState(enum.Enum):
    """How far a machine is: still needed, or free to be taken away."""

    IN_SERVICE = "in service"
    DRAINED = "drained"


class DrainOrders:
    """Takes orders to drain machines, on any node.

    An order is refused only by what the control group holds at that moment and by a table of members that had time to
    become whole; a node that can't tell answers that the outcome is not known.
    """

    def __init__(self, own: "node.Node"):
        self.own = own
        self.began = clock.ZERO

    def find(self, name: str) -> cluster_member.ClusterMember | None:
        """The member of a name, the newest run of it where several are known."""
        found = [one for one in self.own.failure_detector.peers.values() if name in (one.name, one.address)]
        return max(found, key=lambda one: (one.state != cluster_member.DOWN, one.incarnation), default=None)

    def member(self, name: str) -> cluster_member.ClusterMember:
        """The member of a name; UNKNOWN_RESOURCE only where all members must be known."""
        found = self.find(name)
        if found is not None:
            return found
        if not self.members_known():
            raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"{name} is not known here yet")
        raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=f"no machine {name}")

    def members_known(self) -> bool:
        """Whether this node has run for long enough to have heard of all members."""
        return clock.now() - self.began >= MEMBERS_KNOWN

    def ordered(self, name: str) -> str | None:
        """The address of the machine of a name that is to drain or was removed since; none without such an order."""
        drained, found = self.own.relay.configuration.drained, self.find(name)
        if found is not None:
            return found.address if found.address in drained else None
        machines = self.own.relay.document.get("machines", {})
        named = (address for address in drained if name in (address, machines.get(address, {}).get("name")))
        return next(named, None)

    async def newest_configuration(self, end: datetime.timedelta) -> None:
        """Wait until the plan here is as new as the control group's when this was called."""
        relay = self.own.relay
        newest = await self.own.submit(0, control_state.ReadResources(relay.revision), end - clock.now())
        try:
            async with clock.limit(end - clock.now()):
                while relay.revision < newest.revision:
                    await relay.changed(updates.PLAN)
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the newest plan did not come in time"
            ) from None

    def check_enough_left(self, member: cluster_member.ClusterMember) -> None:
        """Refuse with TOO_FEW_LEFT where too few disks would hold the groups that a machine may hold.

        Disks that are away for a moment may come back: until then it is not known.
        """
        for sort in member.holds:
            left = [
                one
                for one in self.own.holders(sort)
                if one.address != member.address and not self.own.is_drained(one.address)
            ]
            if len(left) >= self.own.settings.copies:
                continue
            returning = [one for one in self.away(sort) if one.address != member.address]
            if not self.members_known() or len(left) + len(returning) >= self.own.settings.copies:
                raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"disks for {sort} are away")
            raise result.RequestError(result.ResultCode.TOO_FEW_LEFT, detail=f"{len(left)} disks for {sort}")

    def away(self, sort: str) -> collections.abc.Iterator[cluster_member.ClusterMember]:
        """Machines that may hold a sort of group, are not to drain, and left or went down a short time ago."""
        now, detector = clock.now(), self.own.failure_detector
        for one in detector.peers.values():
            if sort not in one.holds or one.address in self.own.relay.configuration.drained:
                continue
            down = one.state == cluster_member.DOWN
            if one.state == cluster_member.LEAVING or (
                down and now - detector.down_since.get(one.address, now) < RETURNING
            ):
                yield one

    async def order(self, name: str, within: datetime.timedelta) -> None:
        """Have a machine's groups moved to others, so that it may be taken away; saying it twice does no harm.

        Refused when no machine bears the name (UNKNOWN_RESOURCE), when too few disks would be left for the groups that
        it may hold (TOO_FEW_LEFT); OUTCOME_UNKNOWN when the order is not known to be kept after ``within``. The write
        names the revision that was checked, so that of two orders that together leave too few only one is taken.
        """
        end = clock.now() + within
        while True:
            await self.newest_configuration(end)
            if self.ordered(name) is not None:
                return
            member = self.member(name)
            self.check_enough_left(member)
            try:
                return await self.write(member, end)
            except result.RequestError as refusal:
                if refusal.result is not result.ResultCode.REVISION_DIFFERS:
                    raise

    async def write(self, member: cluster_member.ClusterMember, end: datetime.timedelta) -> None:
        """Write the order on top of the plan that is known here."""
        body = json.dumps({"machines": {member.address: {"emptied": True, "name": member.name}}})
        write = control_state.WriteResources("merge", "", "", body, self.own.relay.revision)
        try:
            async with clock.limit(end - clock.now()):
                await self.own.write_resources(write)
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, f"draining {member.name}"
            ) from None

    async def state(self, name: str, within: datetime.timedelta) -> DrainState:
        """How far a machine is: DRAINED once it holds no group and each that it could hold is whole elsewhere.

        What stands is asked of the groups' primaries, as this node may not have heard of the newest records. A machine
        that was ordered to drain, was removed and is forgotten since is still known by its order.
        """
        end = clock.now() + within
        if self.ordered(name) is None:
            await self.newest_configuration(end)
        address = self.ordered(name)
        if address is None:
            self.member(name)
            return DrainState.IN_SERVICE
        member = self.own.failure_detector.peers.get(address)
        group_ids = [
            group_id
            for group_id in range(self.own.settings.group_count)
            if member is None or replica_set.group_kind(group_id) in member.holds
        ]
        return await self.whole_without(address, group_ids, end)

    async def whole_without(self, address: str, group_ids: list[int], end: datetime.timedelta) -> DrainState:
        """Whether all of some groups are whole without a machine, as far as their primaries say so in time."""
        asked: list[asyncio.Task] = []
        try:
            async with clock.limit(end - clock.now()), supervision.Group() as group:
                asked = [group.create_task(self.own.stands(group_id, address)) for group_id in group_ids]
        except TimeoutError:
            return DrainState.IN_SERVICE
        return DrainState.DRAINED if all(task.result() for task in asked) else DrainState.IN_SERVICE
