"""Whether a drain order at this node's address was given to another machine, decided once for each new disk."""

import contextlib
import datetime
import json
import pathlib

import logbook

from aspencroft.configuration import control_state, resources
from aspencroft.errors import result
from aspencroft.node import drain_order, group_client, node_view
from aspencroft.runtime import clock, environment, events
from aspencroft.storage import store

LOG = logbook.Logger("node.disk_arrival")
MARKER = "new-disk"
"""A file in the data folder from a disk's first start until the decision: a restart before it decides as well."""
FIRST_STORE = "witness"
"""The store that a node opens first: a disk that has its folder is no new one, whatever version wrote it."""
CHECK_PERIOD = clock.seconds(0.25)
DECISION_TIMEOUT = clock.seconds(2)


def mark_if_new(data: pathlib.Path, disk: environment.Disk) -> bool:
    """Leave the marker on a disk that held nothing; whether it is there.

    Raises:
        OSError: The disk failed.

    """
    marker = data / MARKER
    if not marker.exists():
        if (data / FIRST_STORE).exists():
            return False
        store.make_durable_folder(data, disk)
        marker.touch()
    # Also where an earlier run made it: that may have been killed before its sync.
    disk.synchronise(data)
    return True


def remove_marker(data: pathlib.Path, disk: environment.Disk) -> None:
    """Remove the marker for good.

    Raises:
        OSError: The disk failed.

    """
    (data / MARKER).unlink(missing_ok=True)
    disk.synchronise(data)


class DiskArrival:
    """Tells a machine with a new disk from the one that was ordered to drain at its address before.

    A disk that was here before the order keeps it, through any restart. A new disk withdraws an order that was given
    to a machine of another name, or of which somebody was told that it is done: it is another machine's. Until then the
    order holds for a new disk too, as that of the ordered machine was lost.
    """

    def __init__(self, node: node_view.NodeView, orders: drain_order.DrainOrders):
        self.node = node
        self.orders = orders
        self.is_undecided = False

    async def note_first_start(self) -> None:
        """Find out whether the disk is a new one, before any store is made on it.

        Raises:
            OSError: The disk failed.

        """
        if self.node.settings.data is not None:
            disk = self.node.environment.disk
            self.is_undecided = await disk.perform(mark_if_new, self.node.settings.data, disk)

    async def run(self) -> None:
        """Decide once a configuration in force is held; tried again until that succeeds."""
        while self.is_undecided:
            if self.node.relay.current():
                with contextlib.suppress(result.RequestError, TimeoutError, OSError):
                    await self.decide(clock.now() + DECISION_TIMEOUT)
            if self.is_undecided:
                await clock.sleep(CHECK_PERIOD)

    async def decide(self, end: datetime.timedelta) -> None:
        """Settle that no former machine's order stands at this address; one that does is withdrawn first.

        Raises:
            RequestError: The newest configuration did not come, or the order is not known to be withdrawn.
            TimeoutError: The order is not known to be withdrawn.
            OSError: The disk failed.

        """
        await self.orders.wait_for_newest_configuration(end)
        order = self.node.relay.configuration.drain_orders.get(self.node.address)
        if order is not None and not order.holds_for_new_disk(self.name()):
            await self.withdraw(order, end)
        data, disk = self.node.settings.data, self.node.environment.disk
        assert data is not None, "only a node with a disk is undecided"
        await disk.perform(remove_marker, data, disk)
        self.is_undecided = False

    def name(self) -> str:
        """The name of this node's machine."""
        return self.node.failure_detector.me.name

    async def withdraw(self, order: resources.DrainOrder, end: datetime.timedelta) -> None:
        """Have the order taken from this address, on top of the configuration that is known here.

        It stays known under the former machine's name, for an operator who asks about that again.

        Raises:
            RequestError: It is not known to be withdrawn.
            TimeoutError: As above.

        """
        machines: dict[str, dict | None] = {self.node.address: None}
        if order.name != self.name() and resources.is_machine_name(order.name):
            machines[order.name] = {"emptied": True, "name": order.name, "completed": order.is_completed}
        body = json.dumps({"machines": machines})
        write = control_state.WriteResources("merge", "", "", body, self.node.relay.revision)
        left = end - clock.now()
        async with clock.limit(left):
            await self.node.submit(group_client.CONTROL_GROUP_ID, write, left)
        events.report(
            LOG,
            events.EventFields(events.Event.DRAIN_WITHDRAWN, member=self.node.address, reason=order.name),
            "the order to drain {} at {} is withdrawn: it was given to a former machine, this one has a new disk",
            order.name or "the machine",
            self.node.address,
        )
