"""Tenants' requests counted by real session groups while machines are killed, cut off and lose power.

The judge counts by itself: a request counts in a window of time if it was asked for and granted in it.
"""

import asyncio
import bisect
import dataclasses
import random

import pytest

from aspencroft.configuration import tenant
from aspencroft.errors import result
from aspencroft.node import settings
from aspencroft.proxy import quota_client
from aspencroft.runtime import clock
from aspencroft.sessions import session_groups
from aspencroft.simulation import guarantees, simulated_cluster

BOUNDS = settings.QuotaBounds(clock.seconds(5), 0.1, 20)
TENANT = tenant.Tenant("busy", (), 40.0, 10.0, None)
LIMIT = 210
ALLOWED = 251
"""(rate x window + burst) x 1.1 + 20."""
WITHIN = clock.seconds(1)
REQUESTS_PER_SECOND = 90.0
"""At each edge, so that the tenant asks for several times its limit."""


def most_in_a_window(spans: list[tuple[float, float]], window: float) -> int:
    """The most of some (asked, granted) that lie whole within any span of a window's length."""
    most = 0
    for asked, _ in spans:
        ends = sorted(end for begin, end in spans if begin >= asked and end <= asked + window)
        most = max(most, bisect.bisect_right(ends, asked + window))
    return most


class TenantLoad:
    """Clients of one tenant at each edge, and what they were granted."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster):
        self.cluster = cluster
        self.clients = {}
        for name, path in cluster.edge_paths.items():
            path.node.settings = dataclasses.replace(path.node.settings, quota=BOUNDS)
            self.clients[name] = quota_client.QuotaClient(path.node)
        self.spans: list[tuple[float, float]] = []
        self.refused: list[tuple[float, result.ResultCode]] = []
        self.tasks: set[asyncio.Task] = set()

    async def ask(self, client: quota_client.QuotaClient, gives_back: bool) -> None:
        """One request."""
        asked = self.cluster.loop.time()
        try:
            grant = await client.reserve(TENANT, WITHIN)
        except result.RequestError as refusal:
            self.refused.append((asked, refusal.result))
            return
        if gives_back:
            client.return_grant(grant)
        else:
            self.spans.append((asked, self.cluster.loop.time()))

    async def run(self, seconds: float, chance: random.Random, per_second: float = REQUESTS_PER_SECOND) -> None:
        """Ask at all edges for a while."""

        async def at(client: quota_client.QuotaClient) -> None:
            end = self.cluster.loop.time() + seconds
            while self.cluster.loop.time() < end:
                await asyncio.sleep(chance.expovariate(per_second))
                task = asyncio.ensure_future(self.ask(client, chance.random() < 0.2))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

        await asyncio.gather(*(at(client) for client in self.clients.values()))
        await asyncio.gather(*self.tasks)


def group_of_tenant(cluster: simulated_cluster.SimulatedCluster) -> int:
    return session_groups.group_of(TENANT.name, cluster.edge_paths["edge-0"].node.settings.talk_pairs)


@pytest.mark.parametrize("seed", range(3))
def test_a_tenant_gets_its_limit_and_no_more_than_the_allowed_error_through_losses_of_primaries(seed):
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, chance = harness.cluster, random.Random(seed)
        load, group_id = TenantLoad(cluster), group_of_tenant(cluster)

        async def troubles() -> None:
            for _ in range(3):
                await asyncio.sleep(chance.uniform(3, 9))
                victim = cluster.leader(group_id)
                cluster.kill(victim)
                await asyncio.sleep(chance.uniform(0.5, 4))
                cluster.start(victim)
            await asyncio.sleep(6)
            for name in cluster.names():
                if not name.startswith("edge"):
                    cluster.power_off(name)
            for name in cluster.names():
                if not name.startswith("edge"):
                    cluster.start(name)

        work = asyncio.ensure_future(troubles())
        await load.run(60, chance)
        await work
        most = most_in_a_window(load.spans, 5.0)
        assert LIMIT * 0.95 <= most <= ALLOWED

    guarantees.play(300 + seed, scenario)


def test_a_tenant_below_its_limit_is_refused_nothing_while_all_is_well():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        load = TenantLoad(harness.cluster)
        await load.run(20, random.Random(5), 0.8 * TENANT.rate / len(load.clients))
        assert load.refused == []

    guarantees.play(310, scenario)
