"""What counting the requests of tenants costs: messages and processor time a request, in a small world and at size."""

import asyncio
import collections
import random
import sys
import time
import types

import defopt

from aspencroft.benchmarks import calls, slopes
from aspencroft.configuration import tenant
from aspencroft.errors import result
from aspencroft.node import settings
from aspencroft.proxy import quota_client
from aspencroft.runtime import clock
from aspencroft.sessions import request_quota
from aspencroft.simulation import forwarding, loop, quota_campaign, simulated_cluster
from aspencroft.transport import codec

BOUNDS = settings.QuotaBounds(clock.seconds(5), 0.1, 20)
WITHIN = clock.seconds(1)
WARM_UP_S = 6.0
"""Longer than a window: busy tenants are at their limits then, and groups' first records written."""
HEADROOM = 2.0
"""The limit of a tenant in the fleet as a multiple of what it sends, for all but the busy ones."""


class CountingGroups:
    """Session groups that answer after a round trip; they count questions, bytes, records and their processor time."""

    def __init__(self, groups: int, round_trip: float):
        self.quotas = [request_quota.RequestQuotas() for _ in range(groups + 1)]
        self.round_trip = clock.seconds(round_trip)
        self.counts: collections.Counter[str] = collections.Counter()
        self.spent = 0.0

    async def submit(self, group_id, command, within):
        """Decide a question, as the primary does once it came over the wire."""
        await clock.sleep(self.round_trip / 2)
        began = time.thread_time()
        sent = codec.tagged(command)
        events, reply = self.quotas[group_id].decide_reserve(codec.untagged(sent), clock.now(), 1)
        for event in events:
            self.counts["records"] += 1
            self.counts["record bytes"] += len(codec.tagged(event))
            self.quotas[group_id].apply_counted(event, clock.now())
        answered = codec.tagged(reply)
        codec.untagged(answered)
        self.spent += time.thread_time() - began
        self.counts["questions"] += 1
        self.counts["bytes"] += len(sent) + len(answered)
        await clock.sleep(self.round_trip / 2)
        return reply


class Fleet:
    """Edges and groups of one size, and the requests of their tenants."""

    def __init__(self, edges: int, groups: int, round_trip: float, seed: int):
        self.chance = random.Random(seed)
        self.groups = CountingGroups(groups, round_trip)
        own = types.SimpleNamespace(
            settings=types.SimpleNamespace(talk_pairs=groups, quota=BOUNDS),
            submit=self.groups.submit,
            group_client=None,
            failure_detector=types.SimpleNamespace(records={}),
        )
        self.clients = [quota_client.QuotaClient(own) for _ in range(edges)]
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.waits: list[float] = []
        self.began = time.thread_time()

    def begin(self) -> None:
        """Count from now on."""
        self.groups.counts.clear()
        self.groups.spent = 0.0
        self.outcomes.clear()
        self.waits.clear()
        self.began = time.thread_time()

    async def request(self, one: tenant.Tenant) -> None:
        """One request at any edge."""
        began = clock.now()
        try:
            await self.chance.choice(self.clients).reserve(one, WITHIN)
            self.outcomes["granted"] += 1
        except result.RequestError as refusal:
            self.outcomes[refusal.result.name] += 1
        self.waits.append(1000 * (clock.now() - began).total_seconds())

    async def run(self, tenants: list[tenant.Tenant], rates: list[float], seconds: float) -> None:
        """Send requests of tenants at random times, at these rates."""
        total, end, tasks = sum(rates), clock.now() + clock.seconds(seconds), set()
        drawn = iter(self.chance.choices(tenants, rates, k=int(2 * total * seconds) + 1000))
        while clock.now() < end:
            await clock.sleep(clock.seconds(self.chance.expovariate(total)))
            task = asyncio.ensure_future(self.request(next(drawn)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)


def play_fleet(size: dict, seed: int) -> dict[str, float]:
    """Figures of one run of a fleet."""
    rate, number = size["requests a second"], size["tenants"]
    busy, share = size["busy tenants"], size["busy share"]
    rates = [rate * share / busy] * busy + [rate * (1 - share) / (number - busy)] * (number - busy)
    tenants = [
        tenant.Tenant(f"t{place}", (), each / size["times its limit"] if place < busy else HEADROOM * each, 5.0, None)
        for place, each in enumerate(rates)
    ]
    simulated = loop.SimLoop()
    fleet = Fleet(size["edges"], size["groups"], size["round trip, s"], seed)
    try:
        simulated.run_until_complete(fleet.run(tenants, rates, WARM_UP_S))
        fleet.begin()
        simulated.run_until_complete(fleet.run(tenants, rates, size["seconds"]))
        spent = time.thread_time() - fleet.began
    finally:
        simulated.bury()
    counts, requests = fleet.groups.counts, len(fleet.waits)
    waits = sorted(fleet.waits)
    return {
        "requests": requests,
        "granted, %": 100 * fleet.outcomes["granted"] / requests,
        "questions a request": counts["questions"] / requests,
        "bytes a question, both ways": counts["bytes"] / counts["questions"],
        "records a request": counts["records"] / requests,
        "bytes a record": counts["record bytes"] / max(1, counts["records"]),
        "group, ms a question": 1000 * fleet.groups.spent / counts["questions"],
        "edge and loop, ms a request": 1000 * (spent - fleet.groups.spent) / requests,
        "wait, median ms": waits[requests // 2],
        "wait, 99 in 100, ms": waits[int(requests * 0.99)],
    }


def fleet(
    *,
    edges: list[int] = (4, 66, 167, 505),
    groups: int = 12,
    rate: float = 44_000,
    tenants: int = 11_000,
    busy: int = 10,
    busy_share: float = 0.2,
    times: float = 8.0,
    round_trip: float = 0.003,
    seconds: float = 1.0,
    repeats: int = 1,
    seed: int = 1,
) -> None:
    """Messages and processor time a request against the number of edges: edges' and groups' own code, no network.

    :param edges: numbers of edges; each is sent its part of the requests
    :param groups: session groups
    :param rate: requests a second over all edges
    :param tenants: how many
    :param busy: tenants that send above their limit
    :param busy_share: their part of all requests
    :param times: how many times its limit a busy tenant sends
    :param round_trip: seconds from an edge to a group and back
    :param seconds: virtual seconds
    :param repeats: seeds for each size
    :param seed: the first seed
    """
    slopes.bounded(list(edges), 1, 1000)
    if not 0 < busy < tenants <= request_quota.MAX_TENANTS:
        sys.exit(f"tenants: up to {request_quota.MAX_TENANTS}, of which some are busy")
    rows = []
    for count in edges:
        size = {
            "edges": count,
            "groups": groups,
            "requests a second": rate,
            "tenants": tenants,
            "busy tenants": busy,
            "busy share": busy_share,
            "times its limit": times,
            "round trip, s": round_trip,
            "seconds": seconds,
        }
        timer = slopes.Clock()
        for turn in range(repeats):
            for name, value in play_fleet(size, seed + turn).items():
                timer.note(name, value)
        rows.append({**size, **timer.shown()})
    slopes.table("quota fleet", seed, rows)


def play_world(seed: int, limited: bool, seconds: float) -> dict[str, float]:
    """What a calm world spends on a request, by role, with limits that nobody reaches or without limits."""
    found: dict[str, float] = {}

    async def scenario(world: forwarding.World) -> None:
        booked = calls.book(world)
        day = quota_campaign.QuotaDay(world, random.Random(seed), (), 0)
        for spec in day.operator.tenants.values():
            spec["rate"] = 1000.0 if limited else 0.0
        day.loads = tuple(quota_campaign.TenantLoad(load.name, 12.0) for load in day.loads)
        await world.until(world.formed, 30, "formed")
        await day.operator.first()
        await world.until(world.whole, 20, "ready")
        await asyncio.sleep(3)
        before = calls.of_roles(booked)
        await asyncio.sleep(10)
        idle = {role: (spent - before[role]) / 10 for role, spent in calls.of_roles(booked).items()}
        began, before = world.loop.time(), calls.of_roles(booked)
        traffic = [asyncio.ensure_future(day.send(load)) for load in day.loads]
        await asyncio.sleep(seconds)
        day.over = True
        await asyncio.wait([*traffic, *day.agents.background])
        span, tries = world.loop.time() - began, len(day.agents.tries)
        spent = {role: now - before[role] - idle[role] * span for role, now in calls.of_roles(booked).items()}
        found.update({f"{role}, ms a request": 1000 * spent[role] / tries for role in calls.ROLES})
        found["requests a second"] = tries / span
        found["answered, %"] = 100 * sum(one.good() for one in day.agents.tries) / tries

    forwarding.play(seed, scenario, simulated_cluster.Size(4, 3, 3, apart=True), quota_campaign.QuotaWorld)
    return found


def world(*, seconds: float = 10, repeats: int = 3, seed: int = 1) -> None:
    """Processor time a request by role in a calm simulated world, with tenants' limits and without.

    Not booked: the callers' HTTP at the front, the kernel's sockets and syncs.

    :param seconds: virtual seconds of traffic
    :param repeats: seeds for each
    :param seed: the first seed
    """
    if not 1 <= seconds <= 600:
        sys.exit("seconds: from 1 to 600")
    rows = []
    for limited in (False, True):
        timer = slopes.Clock()
        for turn in range(repeats):
            for name, value in play_world(seed + turn, limited, seconds).items():
                timer.note(name, value)
        rows.append({"limits": limited, **timer.shown()})
    slopes.table("quota world", seed, rows)


if __name__ == "__main__":
    defopt.run({"fleet": fleet, "world": world}, cli_options="has_default")
