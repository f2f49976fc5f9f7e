"""When a node is the root of the relay tree, and which core judges orders to drain a machine."""

import asyncio
import datetime
import random

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.node import configuration_service, node, settings
from aspencroft.runtime import clock, environment
from aspencroft.simulation import groups, loop

EPOCH = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)
SETTINGS = {
    "address": "127.0.0.1:7000",
    "http": "127.0.0.1:7001",
    "area": "north",
    "seeds": ["127.0.0.1:7000"],
    "witnesses": "core",
    "role": "edge",
}


class Primary:
    """A control group's primary that holds a lease, and reads only once it is allowed to."""

    def __init__(self):
        self.leased = True
        self.readable = False
        self.committed = asyncio.Event()
        self.lease_end = clock.seconds(60)

    def has_lease(self) -> bool:
        return self.leased

    async def submit(self, command, within):
        if not self.readable:
            raise result.RequestError(result.ResultCode.NO_BACKUP)
        return control_state.ResourcesRead(control_state.NEVER, "", ())


def test_a_primary_is_no_root_before_its_first_read_and_none_after_its_lease():
    async def scenario() -> None:
        node_environment = environment.Environment(None, None, None, random.Random(1), lambda: EPOCH)
        root_node = node.Node(settings.check(SETTINGS), node_environment)
        primary = root_node.group_replicas[0] = Primary()
        running = asyncio.ensure_future(root_node.configuration_service.run_root())
        await clock.sleep(clock.seconds(2))
        assert not root_node.is_root() and root_node.relay.lease_expires_at == clock.ZERO
        primary.readable = True
        await clock.sleep(clock.seconds(0.5))
        assert root_node.is_root() and root_node.relay.grants.unknown_grants_end > clock.now()
        primary.leased = False
        assert not root_node.is_root()
        await clock.sleep(clock.seconds(0.5))
        primary.leased, primary.readable = True, False
        await clock.sleep(clock.seconds(1))
        assert not root_node.is_root(), "a second tenure begins with a read as well"
        running.cancel()

    loop.SimLoop().run_until_complete(scenario())


def test_a_core_that_is_cut_off_neither_refuses_nor_answers_orders_to_drain():
    async def scenario(harness: groups.ClusterHarness) -> None:
        cluster = harness.cluster
        victim = cluster.leader(0)
        cluster.wire.cut([victim], [name for name in cluster.names() if name != victim])
        await asyncio.sleep(8)
        cut_off_node = cluster.nodes[victim]
        orders = cut_off_node.drain_orders
        for work in (
            orders.order("nobody", configuration_service.APPLY_TIMEOUT),
            orders.order("storage-2", configuration_service.APPLY_TIMEOUT),
            orders.state("storage-2", configuration_service.APPLY_TIMEOUT),
        ):
            started_at = cluster.loop.time()
            refused = await harness.ask_node(victim, work)
            assert isinstance(refused, result.RequestError) and refused.result.status >= 500, refused
            assert refused.retry > clock.ZERO and cluster.loop.time() - started_at < 0.95

    groups.play(7, scenario)
