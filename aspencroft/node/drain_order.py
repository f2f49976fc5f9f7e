"""Orders to drain a machine: checked against the newest plan, taken on top of it, known again, and how far they are."""

import asyncio
import collections.abc
import datetime
import enum
import json

import logbook

from aspencroft.configuration import control_state, resources
from aspencroft.consensus import replica_set
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.node import group_client, node_view
from aspencroft.runtime import clock, events, supervision

LOG = logbook.Logger("node.drain_order")
MEMBERS_KNOWN_AFTER = clock.seconds(3)
"""A node that ran for this long has learnt of all members; before, a name that it does not know may be a member's."""
RETURN_EXPECTED_WITHIN = clock.seconds(10)
"""How long a disk that left or went down is expected back, before it is counted as missing."""


class DrainState(enum.Enum):
    """How far a machine is: still needed, or free to be taken away."""

    IN_SERVICE = "in service"
    DRAINED = "drained"


class DrainOrders:
    """Takes orders to drain machines, on any node.

    An order is refused only by what the control group holds at that moment and by a table of members that had time to
    become whole; a node that can't tell answers that the outcome is not known.
    """

    def __init__(self, node: node_view.NodeView):
        self.node = node
        self.started_at = clock.ZERO
        self.logged_states: dict[str, tuple[DrainState, tuple[int, ...]]] = {}

    def find(self, name: str) -> cluster_member.ClusterMember | None:
        """The member of a name; where several bore it, one that is not down, then one that is not to drain.

        So nobody is told that a machine is drained where another one of its name is in service.
        """
        found = [
            member for member in self.node.failure_detector.peers.values() if name in (member.name, member.address)
        ]

        def rank(member: cluster_member.ClusterMember) -> tuple[bool, bool, int]:
            return member.state != cluster_member.DOWN, self.order_for(member) is None, member.incarnation

        return max(found, key=rank, default=None)

    def order_for(self, member: cluster_member.ClusterMember) -> resources.DrainOrder | None:
        """The drain order that was given to a member, as far as its address and name tell."""
        order = self.node.relay.configuration.drain_orders.get(member.address)
        return order if order is not None and order.is_for(member.name) else None

    def member(self, name: str) -> cluster_member.ClusterMember:
        """The member of a name.

        Raises:
            RequestError: UNKNOWN_RESOURCE where all members must be known, UNREACHABLE before.

        """
        found = self.find(name)
        if found is not None:
            return found
        if not self.members_known():
            raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"{name} is not known here yet")
        raise result.RequestError(result.ResultCode.UNKNOWN_RESOURCE, detail=f"no machine {name}")

    def members_known(self) -> bool:
        """Whether this node has run for long enough to have heard of all members."""
        return clock.now() - self.started_at >= MEMBERS_KNOWN_AFTER

    def ordered_address(self, name: str) -> str | None:
        """The address of the machine of a name that is to drain or was removed since; none without such an order."""
        orders, found = self.node.relay.configuration.drain_orders, self.find(name)
        if found is not None:
            return found.address if self.order_for(found) is not None else None
        return next((address for address, order in orders.items() if name in (address, order.name)), None)

    def may_be_replaced(self, address: str) -> bool:
        """Whether somebody was told that the machine at an address is drained, and one runs there.

        It may be another one with a new disk, which has not withdrawn the order yet.
        """
        return (
            self.node.relay.configuration.drain_orders[address].is_completed
            and self.node.failure_detector.state(address) != cluster_member.DOWN
        )

    async def wait_for_newest_configuration(self, end: datetime.timedelta) -> None:
        """Wait until the plan here is as new as the control group's when this was called."""
        relay = self.node.relay
        newest = await self.node.submit(0, control_state.ReadResources(relay.revision), end - clock.now())
        try:
            async with clock.limit(end - clock.now()):
                while relay.revision < newest.revision:
                    await relay.wait_for_change(updates.CONFIGURATION_TOPIC)
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the newest plan did not come in time"
            ) from None

    def check_enough_disks_left(self, member: cluster_member.ClusterMember) -> None:
        """Refuse with TOO_FEW_LEFT where too few disks would hold the groups that a machine may hold.

        Disks that are away for a moment may come back: until then it is not known.
        """
        for sort in member.holds:
            left = [
                candidate
                for candidate in self.node.replica_candidates(sort)
                if candidate.address != member.address and not self.node.is_drained(candidate.address)
            ]
            if len(left) >= self.node.settings.copies:
                continue
            returning = [candidate for candidate in self.returning_members(sort) if candidate.address != member.address]
            if not self.members_known() or len(left) + len(returning) >= self.node.settings.copies:
                raise result.RequestError(result.ResultCode.UNREACHABLE, detail=f"disks for {sort} are away")
            raise result.RequestError(result.ResultCode.TOO_FEW_LEFT, detail=f"{len(left)} disks for {sort}")

    def returning_members(self, sort: str) -> collections.abc.Iterator[cluster_member.ClusterMember]:
        """Machines that may hold a sort of group, are not to drain, and left or went down a short time ago."""
        now, detector = clock.now(), self.node.failure_detector
        for member in detector.peers.values():
            if sort not in member.holds or member.address in self.node.relay.configuration.drained:
                continue
            down = member.state == cluster_member.DOWN
            if member.state == cluster_member.LEAVING or (
                down and now - detector.down_since.get(member.address, now) < RETURN_EXPECTED_WITHIN
            ):
                yield member

    async def order(self, name: str, within: datetime.timedelta) -> None:
        """Have a machine's groups moved to others, so that it may be taken away; saying it twice does no harm.

        The write names the revision that was checked, so that of two orders that together leave too few only one is
        taken.

        Raises:
            RequestError: UNKNOWN_RESOURCE when no machine bears the name, TOO_FEW_LEFT when too few disks would be left
                for the groups that it may hold, OUTCOME_UNKNOWN when the order is not known to be stored after
                ``within``, UNREACHABLE when this node can't tell.

        """
        end = clock.now() + within
        while True:
            await self.wait_for_newest_configuration(end)
            address = self.ordered_address(name)
            if address is not None and not self.may_be_replaced(address):
                return
            member = self.member(name)
            if address is None:
                self.check_enough_disks_left(member)
            try:
                await self.write(member, end)
            except result.RequestError as refusal:
                if refusal.result is not result.ResultCode.REVISION_DIFFERS:
                    raise
            else:
                events.report(
                    LOG,
                    events.EventFields(events.Event.DRAIN_ORDERED, member=member.address),
                    "machine {} ({}) is to drain: the order is stored",
                    member.name,
                    member.address,
                )
                return

    async def write(self, member: cluster_member.ClusterMember, end: datetime.timedelta) -> None:
        """Write the order on top of the plan that is known here.

        It stands in the place of a former machine's, which may be completed.
        """
        spec = {"emptied": True, "name": member.name, "completed": None}
        body = json.dumps({"machines": {member.address: spec}})
        write = control_state.WriteResources("merge", "", "", body, self.node.relay.revision)
        try:
            async with clock.limit(end - clock.now()):
                await self.node.write_resources(write)
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
        if self.ordered_address(name) is None:
            await self.wait_for_newest_configuration(end)
        address = self.ordered_address(name)
        if address is None:
            self.member(name)
            return DrainState.IN_SERVICE
        member = self.node.failure_detector.peers.get(address)
        group_ids = [
            group_id
            for group_id in range(self.node.settings.group_count)
            if member is None or replica_set.group_kind(group_id) in member.holds
        ]
        state = await self.state_without(address, group_ids, end)
        if state is DrainState.DRAINED and not await self.record_completion(address, end):
            return DrainState.IN_SERVICE
        return state

    async def record_completion(self, address: str, end: datetime.timedelta) -> bool:
        """Have it recorded that a machine is drained, before anybody is told and takes it away.

        Whether it is recorded: then a new disk at the address is known to be another machine's.
        """
        orders = self.node.relay.configuration.drain_orders
        while (order := orders.get(address)) is not None and not order.is_completed:
            try:
                await self.write_completion(address, end)
            except TimeoutError:
                return False
            except result.RequestError as refusal:
                if refusal.result is not result.ResultCode.REVISION_DIFFERS:
                    # A control group led by a former version knows no such field: told as that version told it.
                    return refusal.result is result.ResultCode.PLAN_INVALID
            else:
                return True
            await self.wait_for_newest_configuration(end)
            orders = self.node.relay.configuration.drain_orders
        return order is not None

    async def write_completion(self, address: str, end: datetime.timedelta) -> None:
        """Write that an order is completed, upon that order alone."""
        relay, left = self.node.relay, end - clock.now()
        body = json.dumps({**relay.document["machines"][address], "completed": True})
        known = control_state.revision_of(relay.revisions[f"machines/{address}"])
        write = control_state.WriteResources("put", "machines", address, body, known)
        async with clock.limit(left):
            await self.node.submit(group_client.CONTROL_GROUP_ID, write, left)

    async def state_without(self, address: str, group_ids: list[int], end: datetime.timedelta) -> DrainState:
        """Whether all of some groups are complete without a machine, as far as their primaries say so in time."""
        client, copies = self.node.group_client, self.node.settings.copies
        queries: list[asyncio.Task[bool]] = []
        try:
            async with clock.limit(end - clock.now()), supervision.Group() as group:
                queries = [
                    group.create_task(client.is_complete_without(group_id, address, copies)) for group_id in group_ids
                ]
        except TimeoutError:
            return DrainState.IN_SERVICE
        incomplete = tuple(group_id for group_id, query in zip(group_ids, queries, strict=True) if not query.result())
        state = DrainState.IN_SERVICE if incomplete else DrainState.DRAINED
        self.log_change(address, state, incomplete)
        return state

    def log_change(self, address: str, state: DrainState, incomplete: tuple[int, ...]) -> None:
        """Log a machine's drain state when it, or the groups that still need the machine, changed since last time."""
        if self.logged_states.get(address) == (state, incomplete):
            return
        self.logged_states[address] = state, incomplete
        if state is DrainState.DRAINED:
            events.report(
                LOG,
                events.EventFields(events.Event.DRAIN_FINISHED, member=address),
                "machine {} is drained: all groups are complete without it",
                address,
            )
        else:
            groups = ", ".join(str(group_id) for group_id in incomplete)
            events.report(
                LOG,
                events.EventFields(events.Event.DRAIN_UNFINISHED, member=address, reason=f"groups {groups}"),
                "machine {} is draining: groups {} are not known to be complete without it",
                address,
                groups,
            )
