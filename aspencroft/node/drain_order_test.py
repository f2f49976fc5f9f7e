"""Drain orders on a node whose plan lags behind the control group's, and the record that a machine is drained."""

import asyncio
import json
import types

import pytest

from aspencroft.configuration import control_state, resources
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
        self.configuration = resources.of({})
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
            self.revision = NEW
            self.configuration = resources.of({"machines": {MACHINE: {"emptied": True, "name": "storage-0"}}})

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


class DrainedNode:
    """A node that knows a machine's order, whose groups are complete without it; writes end as ``outcomes`` say."""

    address = "core-0:1"

    def __init__(self, outcomes: list[result.ResultCode | None]):
        self.outcomes = outcomes
        self.document = {"machines": {MACHINE: {"emptied": True, "name": "storage-0"}}}
        self.revisions = {f"machines/{MACHINE}": "1.1"}
        self.configuration = resources.of(self.document)
        self.revision = OLD
        self.relay = self.group_client = self
        self.settings = types.SimpleNamespace(copies=2, group_count=1)
        self.failure_detector = types.SimpleNamespace(peers={})
        self.written: list[control_state.WriteResources] = []

    async def is_complete_without(self, group_id: int, address: str, copies: int) -> bool:
        return True

    async def submit(self, group_id, command, within):
        if isinstance(command, control_state.ReadResources):
            return control_state.ResourcesRead(self.revision, "", ())
        self.written.append(command)
        outcome = self.outcomes.pop(0)
        if outcome is not None:
            raise result.RequestError(outcome)


def state_of(node: DrainedNode) -> drain_order.DrainState:
    simulated = loop.SimLoop()
    simulated.begin("outside")

    async def state():
        return await drain_order.DrainOrders(node).state("storage-0", clock.seconds(0.85))

    async def run_on_simulated_node():
        return await asyncio.get_running_loop().create_task(state(), context=simulated.context_of("outside"))

    return simulated.run_until_complete(run_on_simulated_node())


def test_a_machine_is_called_drained_only_once_that_is_recorded():
    recorded = DrainedNode([None])
    assert state_of(recorded) is drain_order.DrainState.DRAINED
    spec = {"emptied": True, "name": "storage-0", "completed": True}
    assert recorded.written == [
        control_state.WriteResources("put", "machines", MACHINE, json.dumps(spec), control_state.Revision(1, 1))
    ]
    for outcome in (result.ResultCode.OUTCOME_UNKNOWN, result.ResultCode.NO_BACKUP, result.ResultCode.UNREACHABLE):
        assert state_of(DrainedNode([outcome])) is drain_order.DrainState.IN_SERVICE


def test_that_a_machine_is_drained_is_recorded_upon_the_newest_plan():
    node = DrainedNode([result.ResultCode.REVISION_DIFFERS, None])
    assert state_of(node) is drain_order.DrainState.DRAINED and len(node.written) == 2


def test_a_control_group_that_is_led_by_a_former_version_keeps_no_machine_from_being_called_drained():
    assert state_of(DrainedNode([result.ResultCode.PLAN_INVALID])) is drain_order.DrainState.DRAINED
