"""Drain orders on a node whose plan lags behind the control group's."""

import asyncio
import types

import pytest

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.node import drain_order
from aspencroft.runtime import clock
from aspencroft.simulation import loop

MACHINE = "storage-0:1"
OLD, NEW = control_state.Revision(1, 1), control_state.Revision(1, 2)


class LaggingNode:
    """A node whose relay learns of the order to drain the machine only when it waits for the newest plan."""

    def __init__(self, learns: bool):
        self.learns = learns
        self.document: dict = {}
        self.configuration = types.SimpleNamespace(drained=frozenset())
        self.revision = OLD
        self.relay = self
        self.settings = types.SimpleNamespace(copies=2)
        member = cluster_member.ClusterMember(
            MACHINE, 1, 0, cluster_member.LIVE, "a", "storage", "", True, (), "storage-0", ("talk",)
        )
        self.failure_detector = types.SimpleNamespace(peers={MACHINE: member}, down_since={})
        self.written: list[control_state.WriteResources] = []

    def replica_candidates(self, sort: str) -> tuple:
        return ()

    def is_drained(self, address: str) -> bool:
        return address in self.configuration.drained

    async def submit(self, group_id, command, within):
        assert (group_id, command) == (0, control_state.ReadResources(OLD))
        return control_state.ResourcesRead(NEW, "", ())

    async def wait_for_change(self, topic: str) -> None:
        await clock.sleep(clock.seconds(0.1))
        if self.learns:
            self.revision, self.configuration.drained = NEW, frozenset({MACHINE})

    async def write_resources(self, write):
        self.written.append(write)


def order_drain(node: LaggingNode):
    simulated = loop.SimLoop()
    simulated.begin("outside")

    async def order():
        orders = drain_order.DrainOrders(node)
        orders.started_at = clock.now() - drain_order.MEMBERS_KNOWN_AFTER
        return await orders.order("storage-0", clock.seconds(0.85))

    async def run_on_simulated_node():
        return await asyncio.get_running_loop().create_task(order(), context=simulated.context_of("outside"))

    return simulated.run_until_complete(run_on_simulated_node())


def test_an_order_that_was_taken_is_done_again_on_a_node_that_had_not_heard_of_it_yet():
    node = LaggingNode(learns=True)
    assert order_drain(node) is None
    assert node.written == []


def test_a_node_that_does_not_hear_of_the_newest_plan_refuses_nothing():
    with pytest.raises(result.RequestError) as caught:
        order_drain(LaggingNode(learns=False))
    assert caught.value.result is result.ResultCode.OUTCOME_UNKNOWN and caught.value.ran is result.Ran.UNKNOWN
