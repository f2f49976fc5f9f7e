"""A seeded campaign for tenants' limits and keys: busy and small tenants, failures that overlap, and a judge.

It plays in the world of opaque calls; callers are requests of tenants, sent whatever becomes of those before.
"""

import asyncio
import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import random
import sys
import time

import defopt

from aspencroft.configuration import tenant
from aspencroft.emulator import worker_server
from aspencroft.node import settings
from aspencroft.runtime import clock
from aspencroft.sessions import session_groups
from aspencroft.simulation import forwarding, quota_rules, rules, simulated_cluster

WINDOW = clock.seconds(5)
CURRENCY = clock.seconds(4)
CONFIGURATION_SPREAD = CURRENCY.total_seconds() + 0.5
"""Seconds after its successor was acknowledged in which a configuration may be in force at an edge that is cut off."""
BUSY, FREE, OTHER = "busy", "free", "other"
SMALL = tuple(f"small-{number}" for number in range(4))
ACCESS = "access"
STALE_KEY_SHARE = 0.05
NO_KEY_SHARE = 0.01
CLAIMED_TENANT_SHARE = 0.1
LEAVING_SHARE = 0.05
REPEATED_KEY_SHARE = 0.2
LIMIT_CHANGE_SHARE = 0.4
QUIET_AT_FIRST = 6.0
"""Seconds of traffic before the first fault: the busy tenant is at its limit by then."""
MOST_CLOCK_STEP = clock.seconds(7200)
FAULTS = (
    "leader",
    "leader",
    "leader",
    "kill",
    "power",
    "cut",
    "one way",
    "freeze",
    "stop",
    "storage add",
    *forwarding.EDGE_FAULTS,
    "edge cut",
    "edge add",
)
TAKEOVERS, ALL_RESTARTED = "takeovers", "all storages"
LEADER_FAULTS = ("kill", "power", "freeze", "cut", TAKEOVERS, ALL_RESTARTED)
TAKEOVERS_IN_SERIES = 4
SIZE = simulated_cluster.Size(4, 3, 3, apart=True)
SHOWN = 6
FAULTS_A_DAY = 7


@dataclasses.dataclass(frozen=True)
class TenantLoad:
    """What the callers of a tenant send at first: requests a second."""

    name: str
    rate: float


class QuotaWorld(forwarding.World):
    """The world of opaque calls with bounds for the count."""

    def __init__(self, seed: int, *arguments):
        super().__init__(seed, *arguments)
        chance = random.Random(f"{seed} bounds")
        self.bounds = settings.QuotaBounds(WINDOW, chance.choice((0.05, 0.1, 0.2)), chance.choice((8, 20)))
        self.more.update({"quota": self.bounds, "currency": CURRENCY})


class QuotaOperator(forwarding.Operator):
    """Writes tenants with their limits and keys, and changes them."""

    kinds = forwarding.KINDS | {quota_rules.TENANTS: "tenants", ACCESS: "access"}

    def __init__(self, world: forwarding.World, chance: random.Random):
        super().__init__(world, chance)
        self.dropped_keys: list[str] = []
        self.made_keys = 0
        self.limit_changes = chance.choice(((), (BUSY,), (OTHER, *SMALL)))
        """Tenants whose limits change: where a limit may be one of several, the judge allows the highest."""
        self.tenants: dict[str, dict] = {
            BUSY: self.spec(20.0, 20.0),
            FREE: self.spec(0.0, 0.0),
            OTHER: self.spec(10.0, 30.0),
            **{name: self.spec(4.0, 10.0) for name in SMALL},
        }

    def fresh_key(self) -> str:
        """The digest of a new key."""
        self.made_keys += 1
        return tenant.digest(b"key %d" % self.made_keys)

    def spec(self, rate: float, burst: float) -> dict:
        """A tenant with two keys."""
        return {"key_digests": [self.fresh_key(), self.fresh_key()], "rate": rate, "burst": burst}

    def version(self, routes: dict[str, dict], base: int, valid: bool = True, step: int | None = None) -> rules.Version:
        """A version with the tenants as they should be."""
        one = super().version(routes, base, valid, step)
        for name, spec in self.tenants.items():
            one.items[quota_rules.TENANTS, name] = json.dumps(spec, sort_keys=True)
        one.items[ACCESS, tenant.ACCESS] = json.dumps({"keys_required": True})
        return one

    async def settle(self) -> None:
        """Learn which version is in force, with its tenants."""
        await super().settle()
        items = self.current.items.items()
        self.tenants = {name: json.loads(text) for (group, name), text in items if group == quota_rules.TENANTS}

    def changed(self) -> dict[str, dict]:
        """The routes as they are; of the tenants one limit is another, or one key is replaced or another tenant's."""
        chance = self.chance
        if self.limit_changes and chance.random() < LIMIT_CHANGE_SHARE:
            name = chance.choice(self.limit_changes)
            rate = 10.0 + 20.0 * chance.random() if name == BUSY else 4.0 + 6.0 * chance.random()
            self.tenants[name] = {
                **self.tenants[name],
                "rate": round(rate, 2),
                "burst": round(10 + 20 * chance.random(), 1),
            }
            return dict(self.routes)
        name = chance.choice((BUSY, OTHER, *SMALL))
        spec = self.tenants[name]
        lost, *kept = chance.sample(spec["key_digests"], len(spec["key_digests"]))
        self.tenants[name] = {**spec, "key_digests": [*kept, self.fresh_key()]}
        if chance.random() < 0.6:
            self.dropped_keys.append(lost)
        else:
            other = self.tenants[FREE]
            self.tenants[FREE] = {**other, "key_digests": [*other["key_digests"], lost]}
        return dict(self.routes)

    def keys_in_force(self, name: str) -> list[str]:
        """The keys of a tenant in the newest version that was acknowledged."""
        return json.loads(self.current.items[quota_rules.TENANTS, name])["key_digests"]


class QuotaDay(forwarding.Day):
    """One course: traffic of tenants, changes of their limits and keys, failures, then the judge."""

    def __init__(self, world: QuotaWorld, chance: random.Random, kinds: tuple[str, ...], count: int):
        super().__init__(world, chance, kinds, count, closing=False)
        self.operator = QuotaOperator(world, random.Random(chance.random()))
        self.bounds = world.bounds
        self.loads = (
            TenantLoad(BUSY, 20.0 * chance.uniform(5, 8)),
            TenantLoad(FREE, 8.0),
            TenantLoad(OTHER, 6.0),
            *(TenantLoad(name, 4.0) for name in SMALL),
        )

    async def run(self) -> None:
        """Form, take a configuration, serve beside failures, end."""
        world = self.world
        await world.until(world.formed, 30, "formed")
        await self.operator.first()
        await world.until(world.whole, 20, "ready")
        async with asyncio.TaskGroup() as group:
            watching = group.create_task(world.watch_readiness())
            await asyncio.sleep(0.1)
            traffic = [group.create_task(self.send(load)) for load in self.loads]
            traffic.append(group.create_task(self.operator.run(lambda: self.over)))
            traffic.append(group.create_task(self.step_clocks()))
            await asyncio.sleep(QUIET_AT_FIRST)
            async with asyncio.TaskGroup() as hurting:
                for _ in range(self.count):
                    hurting.create_task(self.guarded(self.chance.choice(self.kinds)))
                    await asyncio.sleep(0.3 + 2.5 * self.chance.random())
            await asyncio.sleep(1.5)
            self.over = True
            await asyncio.wait([*traffic, *self.agents.background])
            await asyncio.sleep(1.5)
            self.told.extend(world.left_over())
            watching.cancel()

    async def send(self, load: TenantLoad) -> None:
        """Send a tenant's requests at random times to the edges, whether they are in touch or not."""
        chance = random.Random(f"{self.world.seed} {load.name}")
        while not self.over:
            await asyncio.sleep(chance.expovariate(load.rate))
            edges = [name for name in self.world.edges if name in self.world.forwarders]
            if not edges:
                continue
            door = forwarding.Door(self.world, chance.choice(edges))
            task = asyncio.ensure_future(self.request(load.name, door, chance))
            self.agents.background.add(task)
            task.add_done_callback(self.agents.background.discard)

    async def request(self, name: str, door: forwarding.Door, chance: random.Random) -> None:
        """One request of a tenant; some have a key that was dropped or none, some claim to be another tenant's."""
        use = chance.choice((forwarding.LIGHT, forwarding.ALERT, forwarding.LOCK))
        more = {"key_digest": chance.choice(self.operator.keys_in_force(name))}
        if self.operator.dropped_keys and chance.random() < STALE_KEY_SHARE:
            more["key_digest"] = chance.choice(self.operator.dropped_keys[-3:])
        if chance.random() < NO_KEY_SHARE:
            more["key_digest"] = ""
        if chance.random() < CLAIMED_TENANT_SHARE:
            more["tenant"] = FREE
        if use is forwarding.LOCK:
            number = chance.randrange(3) if chance.random() < REPEATED_KEY_SHARE else self.agents.numbers["a"]
            more["key"] = f"{name}-{number}"
        headers = ((worker_server.WORK, b"5"), (worker_server.TENANT, FREE.encode()))
        one = self.agents.make(use, b"", "POST", headers, **more)
        leaves = 0.02 * chance.random() if chance.random() < LEAVING_SHARE else None
        await self.agents.once(use, one, door, leaves)

    async def step_clocks(self) -> None:
        """The wall clocks of all machines jump now and then, both ways."""
        while not self.over:
            await asyncio.sleep(0.5 + 3 * self.chance.random())
            self.world.clock_jump += self.chance.choice((-1, 1)) * self.chance.random() * MOST_CLOCK_STEP

    async def disk_fault(self, kind: str) -> None:
        """A failure of a storage machine; that of a leader is mostly one of the group that counts the busy tenant."""
        if kind != "leader":
            return await super().disk_fault(kind)
        chance = self.chance
        group_id = session_groups.group_of(BUSY, forwarding.GROUPS)
        if chance.random() < 0.2:
            group_id = chance.randrange(1 + forwarding.GROUPS)
        way, span = chance.choice(LEADER_FAULTS), chance.choice((0.05, 1.0, 3.0))
        self.done.append(f"{self.world.loop.time():.1f} {way} of group {group_id} for {span}")
        if way == ALL_RESTARTED:
            return await self.restart_all_storages()
        if way == TAKEOVERS:
            return await self.take_over_again_and_again(group_id)
        await self.fail_leader(self.world.leader(group_id), way, span)

    async def fail_leader(self, victim: str, way: str, span: float) -> None:
        """Kill, power off, freeze or cut off a machine for so many seconds."""
        world = self.world
        with world.trouble(victim), contextlib.ExitStack() as ends:
            if way == "freeze":
                world.loop.freeze(victim)
                ends.callback(world.loop.thaw, victim)
            elif way == "cut":
                others = [name for name in world.names() if name != victim]
                ends.callback(world.wire.heal, world.wire.cut([victim], others))
            else:
                (world.kill if way == "kill" else world.power_off)(victim)
                ends.callback(world.start, victim)
            await asyncio.sleep(span)

    async def take_over_again_and_again(self, group_id: int) -> None:
        """Kill a group's primary, and each of its successors as soon as it serves; all come back at once."""
        world = self.world
        for _ in range(TAKEOVERS_IN_SERIES):
            await world.until(lambda: bool(world.leader(group_id)), 20, f"group {group_id} served")
            await asyncio.sleep(0.3)
            if victim := world.leader(group_id):
                await self.fail_leader(victim, "kill", 0.05)

    async def restart_all_storages(self) -> None:
        """All storage machines lose power at once and come back."""
        world = self.world
        with contextlib.ExitStack() as troubles:
            for name in world.storages:
                troubles.enter_context(world.trouble(name))
                world.power_off(name)
            await asyncio.sleep(0.1)
            for name in world.storages:
                world.start(name)

    def quota_history(self) -> quota_rules.QuotaHistory:
        """All that was seen, for the judge."""
        tries = self.agents.tries
        return quota_rules.QuotaHistory(
            tries,
            quota_rules.ran_requests(tries, self.world.workers),
            quota_rules.spans_of(self.operator.versions, CONFIGURATION_SPREAD),
            self.bounds,
        )


@dataclasses.dataclass(frozen=True)
class Played:
    """What came of a seeded day."""

    seed: int
    wrong: list[str]
    done: list[str]
    tries: int
    ran: int
    refused: dict[str, int]
    within_limits: int
    unjust: int
    worst_part: float
    edge_counts: dict[str, int]
    changes: int
    seconds: float


def run_day(seed: int, kinds: tuple[str, ...] = FAULTS, count: int = FAULTS_A_DAY) -> Played:
    """One seeded day and its verdict."""
    held: list[QuotaDay] = []

    async def scenario(world: forwarding.World) -> None:
        held.append(QuotaDay(world, random.Random(seed * 11 + 3), kinds, count))
        await held[0].run()

    began, wrong = time.perf_counter(), []
    try:
        forwarding.play(seed, scenario, SIZE, QuotaWorld)
    except* Exception as group:
        wrong.extend(f"{type(error).__name__}: {error}" for error in forwarding.flat(group))
    day = held[0]
    world, history = day.world, day.quota_history()
    wrong.extend(quota_rules.faults(history))
    wrong.extend(day.told)
    for name, lines in (("unforeseen", world.unforeseen), ("ended", world.ended), ("unhandled", world.loop.exceptions)):
        wrong.extend(f"{name}: {one}" for one in lines[:3])
    within = quota_rules.tries_within_limits(history)
    counts: collections.Counter = collections.Counter()
    for forwarder in world.forwarders.values():
        counts.update(forwarder.quotas.counts)
    return Played(
        seed,
        wrong,
        day.done,
        len(history.tries),
        len(history.ran),
        dict(collections.Counter(one.refusal.result.name for one in history.tries if one.refusal is not None)),
        len(within),
        sum(quota_rules.is_over_quota(one) for one in within),
        max((one.part for one in quota_rules.overruns(history)), default=0.0),
        dict(counts),
        sum(one.taken is not None for one in day.operator.versions),
        time.perf_counter() - began,
    )


def campaign(
    *, first: int = 1, seeds: int = 20, faults: list[str] = FAULTS, count: int = FAULTS_A_DAY, processes: int = 4
) -> None:
    """Run many seeded days and print what broke, seed by seed.

    :param first: first seed
    :param seeds: how many
    :param faults: kinds of faults to draw from
    :param count: faults a day
    :param processes: how many at once
    """
    days: list[Played] = []
    with concurrent.futures.ProcessPoolExecutor(processes) as workers:
        work = [workers.submit(run_day, seed, tuple(faults), count) for seed in range(first, first + seeds)]
        for future in concurrent.futures.as_completed(work):
            day = future.result()
            days.append(day)
            if day.wrong:
                print(f"seed {day.seed}: {len(day.wrong)} wrong; {'; '.join(day.done)}")
                for one in day.wrong[:SHOWN]:
                    print(f"  {one[:700]}")
                sys.stdout.flush()
    show(days)
    sys.exit(1 if any(day.wrong for day in days) else 0)


def show(days: list[Played]) -> None:
    """Print what the days were worth together."""
    broken = collections.Counter(rule for day in days for rule in {one.split()[0] for one in day.wrong})
    refused: collections.Counter = collections.Counter()
    counts: collections.Counter = collections.Counter()
    for day in days:
        refused.update(day.refused)
        counts.update(day.edge_counts)
    parts = sorted(day.worst_part for day in days)
    within, unjust = sum(day.within_limits for day in days), sum(day.unjust for day in days)
    print(f"{len(days)} seeds, {sum(bool(day.wrong) for day in days)} wrong: {dict(broken.most_common())}")
    print(
        f"{sum(day.tries for day in days)} tries, {sum(day.ran for day in days)} ran, "
        f"{sum(day.changes for day in days)} configurations, {sum(len(day.done) for day in days)} faults"
    )
    print(f"refused: {dict(refused.most_common())}")
    print(f"counted by edges that lived to the end: {dict(counts.most_common())}")
    print(f"refused within their limits: {unjust} of {within}")
    print(
        f"part of the allowed error in the worst window of a seed: median {parts[len(parts) // 2]:.2f}, "
        f"most {parts[-1]:.2f}; {max(day.seconds for day in days):.1f} s a seed at most"
    )


if __name__ == "__main__":
    defopt.run(campaign)
