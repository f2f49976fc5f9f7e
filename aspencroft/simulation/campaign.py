"""Seeded campaigns: traffic, operators and faults at once, then the plain model's verdict."""

import asyncio
import collections
import concurrent.futures
import dataclasses
import random
import sys
import time

import defopt
import httpx

from aspencroft.consensus import witness
from aspencroft.emulator import backend, shape
from aspencroft.replication import snapshotting
from aspencroft.simulation import faulty_list_server, oracle, register, simulated_cluster, wire

RETURN = 12.0
FAULTS = (
    "kill",
    "power",
    "freeze",
    "cut",
    "area",
    "swap",
    "slow",
    "restart",
    "blackout",
    "edge",
    "workers",
    "damage",
    "jump",
    "leader",
    "replace",
    "seeds",
    "empty",
    "one way",
    "halves",
    "lossy",
    "apart",
    "long freeze",
    "crowd",
    "bursts",
    "tail",
    "platform",
)
APART = tuple(kind for kind in FAULTS if kind != "seeds") + ("core cut", "lost disk", "closing")
SOLO = ("blackout", "seeds", "empty", "swap", "damage", "tail", "restart", "lost disk", "closing")
OVERLAP = 0.4


@dataclasses.dataclass
class Day:
    """One campaign's course: what operators got acknowledged, and how long service took to return."""

    cluster: simulated_cluster.SimulatedCluster
    chance: random.Random
    kinds: tuple[str, ...] = FAULTS
    count: int = 3
    told: list[str] = dataclasses.field(default_factory=list)
    done: list[str] = dataclasses.field(default_factory=list)
    returned: list[float] = dataclasses.field(default_factory=list)
    document: dict = dataclasses.field(default_factory=dict)
    swaps: int = 0
    over: bool = False
    hurt: set[str] = dataclasses.field(default_factory=set)

    async def run(self) -> None:
        """Form, write the plan, let traffic and operators run beside faults, end, ask once more."""
        await self.cluster.until(self.cluster.formed, 30, "formed")
        self.client = httpx.AsyncClient(transport=wire.SimTransport(self.cluster.wire, simulated_cluster.OUTSIDE))
        await self.put_first_plan()
        await self.cluster.until(self.cluster.ready, 20, "ready")
        self.asking = self.cluster.caller(1)
        self.operators = register.Operators(self.cluster, self.client, self.chance)
        async with asyncio.TaskGroup() as group:
            traffic = [
                group.create_task(self.traffic()),
                group.create_task(self.swing()),
                *(group.create_task(self.operators.operate()) for _ in range(3)),
            ]
            watching = group.create_task(self.watch_revisions())
            ends_in_a_fault = self.chance.random() < 0.3
            for number in range(self.count):
                await asyncio.sleep(0.5 + 2 * self.chance.random())
                if number == self.count - 1 and ends_in_a_fault:
                    self.stop_traffic()
                await self.faults_at_once()
                self.returned.append(await self.cluster.until(self.serves, RETURN, "back in service"))
            self.stop_traffic()
            for task in traffic:
                await task
            watching.cancel()
        self.told.extend(await self.asking.still_kept())
        await self.cluster.until(lambda: bool(self.cluster.leader(0)), RETURN, "led")
        self.document = self.cluster.nodes[self.cluster.leader(0)].group_replicas[0].replica.state_machine.document
        for _ in range(4):
            await self.operators.read()

    def stop_traffic(self) -> None:
        """Callers and operators begin nothing new."""
        self.over = self.operators.over = True

    async def faults_at_once(self) -> None:
        """One fault; now and then a second one begins before it ended."""
        first = self.chance.choice(self.kinds)
        others = [kind for kind in self.kinds if kind not in SOLO]
        async with asyncio.TaskGroup() as group:
            group.create_task(self.fault(first))
            if first not in SOLO and others and self.chance.random() < OVERLAP:
                await asyncio.sleep(2 * self.chance.random())
                group.create_task(self.fault(self.chance.choice(others)))

    async def swing(self) -> None:
        """Signals on a lane whose services operators change all the time."""
        number = 0
        while not self.over:
            number += 1
            await self.asking.ask("swing", {"name": f"swing-{number}"})
            await asyncio.sleep(self.chance.expovariate(4))

    async def put_first_plan(self) -> None:
        """An operator writes the deployment's plan; said again until it is acknowledged."""
        for _ in range(10):
            try:
                response = await self.client.put("http://core-1/plan", json=self.cluster.mix.document)
                if response.status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            await asyncio.sleep(1)
        raise AssertionError("the first plan was never acknowledged")

    def serves(self) -> bool:
        """Whether every pair is served with two copies, and every edge holds a current plan."""
        return self.cluster.ready() and all(
            self.cluster.nodes[self.cluster.leader(group_id)].group_replicas[group_id].known.backups
            for group_id in range(3)
        )

    async def traffic(self) -> None:
        """Programs and signals by the mix until the day is over."""
        number = 0
        async with asyncio.TaskGroup() as group:
            while not self.over:
                number += 1
                group.create_task(self.asking.one(f"n{number}"))
                await asyncio.sleep(self.chance.expovariate(4))

    async def watch_revisions(self) -> None:
        """No node steps back."""
        newest: dict[str, int] = collections.defaultdict(int)
        while True:
            for name, own in self.cluster.nodes.items():
                if self.cluster.alive(name) and own.relay.current():
                    if own.relay.revision.number < newest[name]:
                        self.told.append(f"{name} stepped back to {own.relay.revision.text()}")
                    newest[name] = own.relay.revision.number
            await asyncio.sleep(0.2)

    async def fault(self, kind: str) -> None:
        """Cause one kind of failure, and end it."""
        cluster, chance = self.cluster, self.chance
        self.done.append(f"{cluster.loop.time():.1f} {kind}")
        disks = [*cluster.storages, *(cluster.cores if cluster.holds.get("core") else ())]
        able = [name for name in disks if name not in self.hurt] or disks
        victim = chance.choice(able)
        long = 0.5 + 5 * chance.random()
        if kind in ("leader", "long freeze"):
            leader = cluster.leader(chance.randrange(3))
            victim = leader if leader and leader not in self.hurt else victim
            long = 6 + 6 * chance.random() if kind == "long freeze" else long
            kind = "freeze" if kind == "long freeze" else chance.choice(["kill", "power", "freeze"])
        if kind == "empty" and victim in cluster.cores:
            victim = chance.choice(cluster.storages)
        if kind == "edge":
            victim, kind = chance.choice(cluster.edges), chance.choice(["kill", "freeze", "restart"])
        if kind in ("kill", "power", "freeze", "restart") and chance.random() < 0.3:
            victim = chance.choice(cluster.cores)
        if victim in self.hurt and kind in ("kill", "power", "freeze", "restart", "slow", "jump"):
            return
        self.hurt.add(victim)
        try:
            await self.fault_of(kind, victim, long)
        finally:
            self.hurt.discard(victim)

    def cut_of(self, kind: str) -> set[tuple[str, str]]:
        """Cut the network in the way of a kind of fault; the ways that were cut."""
        cluster, chance = self.cluster, self.chance
        names = cluster.names()
        if kind == "area":
            area = chance.randrange(3)
            left = [name for name in names if int(name.split("-")[1]) % 3 == area]
        elif kind == "halves":
            able = [name for name in names if not name.startswith("edge")]
            left = chance.sample(able, len(able) // 2) + [name for name in cluster.edges if chance.random() < 0.5]
        elif kind == "core cut":
            left = chance.sample(cluster.cores, (len(cluster.cores) - 1) // 2)
            if cluster.leader(0) in cluster.cores and cluster.leader(0) not in left and chance.random() < 0.5:
                left = [cluster.leader(0), *left[1:]]
            names = chance.choice((cluster.cores, names))
            ways = (left, [name for name in names if name not in left])
            return cluster.wire.cut(*(ways if chance.random() < 0.5 else reversed(ways)), chance.random() < 0.5)
        elif kind == "apart":
            return cluster.wire.cut(
                chance.sample(cluster.edges, 1 + chance.randrange(len(cluster.edges))), cluster.storages
            )
        else:
            left = [name for name in names if chance.random() < (0.5 if kind == "cut" else 0.3)]
        return cluster.wire.cut(left, [name for name in names if name not in left], kind == "one way")

    async def fault_of(self, kind: str, victim: str, long: float) -> None:
        """Cause a kind of failure at a machine for so long, and end it."""
        cluster, chance = self.cluster, self.chance
        if kind == "kill":
            cluster.kill(victim)
            await asyncio.sleep(long)
            cluster.start(victim)
        elif kind == "power":
            cluster.power_off(victim)
            await asyncio.sleep(long)
            cluster.start(victim)
        elif kind == "freeze":
            cluster.loop.freeze(victim)
            await asyncio.sleep(long)
            cluster.loop.thaw(victim)
        elif kind == "restart":
            await cluster.stop(victim)
            await asyncio.sleep(0.5)
            cluster.start(victim)
        elif kind in ("cut", "area", "halves", "one way", "apart", "core cut"):
            ways = self.cut_of(kind)
            await asyncio.sleep(long)
            cluster.wire.heal(ways)
        elif kind == "lossy":
            calm = cluster.wire.weather
            cluster.wire.weather = wire.Weather(0.05 + 0.2 * chance.random(), 0.01, 0.01 * chance.random())
            await asyncio.sleep(long)
            cluster.wire.weather = calm
        elif kind in ("crowd", "bursts"):
            async with asyncio.TaskGroup() as group:
                for number in range(120):
                    if kind == "crowd":
                        group.create_task(self.asking.one(f"{kind}{cluster.loop.time():.3f}-{number}"))
                    else:
                        lane = next(each for each in cluster.mix.kinds if not each.turns)
                        group.create_task(self.asking.signal(f"{kind}{cluster.loop.time():.3f}-{number}", lane))
                    await asyncio.sleep(0.3 if kind == "bursts" and number % 30 == 29 else 0.005)
        elif kind == "tail":
            await cluster.until(self.serves, RETURN, "whole before a disk loses its last value")
            cluster.power_off(victim)
            cluster.disks[victim].lose_last()
            if chance.random() < 0.5:
                await asyncio.sleep(long / 2)
            cluster.start(victim)
        elif kind == "platform":
            owner, sound = cluster.wire.pages["platform:80"]
            cluster.wire.pages["platform:80"] = (owner, faulty_list_server.Liar(sound, chance, 0.7))
            await asyncio.sleep(long)
            cluster.wire.pages["platform:80"] = (owner, sound)
        elif kind == "slow":
            cluster.disks[victim].delay = 0.2 + 0.4 * chance.random()
            await asyncio.sleep(long)
            cluster.disks[victim].delay = 0.002
        elif kind == "workers":
            await self.hurt_workers(long)
        elif kind == "jump":
            cluster.clock_jump += chance.choice([-1, 1]) * (simulated_cluster.EPOCH.resolution * 3_600_000_000)
            cluster.kill(victim)
            cluster.start(victim)
        elif kind == "blackout":
            for name in cluster.names():
                cluster.power_off(name)
            await asyncio.sleep(long / 3)
            for name in sorted(cluster.names(), key=lambda name: chance.random()):
                cluster.start(name)
                await asyncio.sleep(0.3 * chance.random())
        elif kind in ("swap", "damage"):
            await cluster.until(self.serves, RETURN, "whole before a disk is lost")
            cluster.power_off(victim)
            if kind == "damage":
                cluster.disks[victim].damage()
                cluster.start(victim)
            else:
                cluster.disks[victim].wipe()
                self.swaps += 1
                role = cluster.cores if victim in cluster.cores else cluster.storages
                fresh = f"{victim.split('-', maxsplit=1)[0]}-{cluster.made(role) + self.swaps - 1}"
                role[role.index(victim)] = fresh
                await asyncio.sleep(long)
                cluster.start(fresh)
        elif kind in ("lost disk", "closing"):
            await cluster.until(self.serves, RETURN, "whole before disks are lost")
            able = [*cluster.storages, *(cluster.cores if cluster.holds.get("core") else ())]
            lost = [victim] if kind == "lost disk" else chance.sample(able, cluster.place(victim).losses)
            for name in cluster.names() if kind == "closing" else lost:
                cluster.power_off(name)
            for name in lost:
                cluster.disks[name].wipe()
                cluster.lost.add(name)
            await asyncio.sleep(1)
            for name in sorted(cluster.names(), key=lambda name: chance.random()) if kind == "closing" else lost:
                cluster.start(name)
                await asyncio.sleep(0.05 * chance.random())
        elif kind == "seeds":
            await self.change_seeds()
        elif kind == "empty":
            await self.empty_machine(victim)
        elif kind == "replace":
            worker = chance.choice(cluster.world.models)
            cluster.world.leaving.add(worker.name)
            cluster.marked[worker.name] = cluster.loop.time()
            await asyncio.sleep(long)

    async def change_seeds(self) -> None:
        """An operator names other witnesses; one of the former ones is lost for good afterwards."""
        cluster = self.cluster
        voter_set = cluster.nodes[cluster.leader(0)].proposer.voter_set
        able = [f"{name}:1" for name in (*cluster.cores, *cluster.edges)]
        wished = sorted(self.chance.sample(able, 3))
        for _ in range(8):
            try:
                response = await self.client.put("http://core-0/plan/seeds/control", json={"addresses": wished})
                if response.status_code == 200:
                    break
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.5)

        def changed() -> bool:
            rosters = [cluster.nodes[name].proposer.voter_set for name in cluster.storages if name in cluster.nodes]
            return all(set(voter_set.present) == set(wished) and not voter_set.coming for voter_set in rosters)

        await cluster.until(changed, 20, f"witnessed by {wished} instead of {voter_set.present}")
        for address in voter_set.present:
            name = address.split(":")[0]
            if address not in wished:
                cluster.kill(name)
                await asyncio.sleep(1)
                cluster.start(name)

    async def empty_machine(self, victim: str) -> None:
        """An operator has a storage machine drained; once it holds nothing it is switched off for good."""
        cluster = self.cluster
        fresh = f"storage-{cluster.made(cluster.storages) + self.swaps}"
        self.swaps += 1
        cluster.storages.append(fresh)
        cluster.start(fresh)
        path = f"http://{cluster.cores[0]}/plan/machines/{victim}:1"
        for _ in range(8):
            try:
                response = await self.client.put(path, json={"emptied": True})
                if response.status_code == 200:
                    break
            except httpx.HTTPError:
                pass
            await asyncio.sleep(0.5)

        def empty() -> bool:
            known = cluster.nodes.get(cluster.cores[0])
            held = known.failure_detector.records.values() if known is not None else ()
            return bool(held) and not any(f"{victim}:1" == member.address for two in held for member in two.members())

        await cluster.until(empty, RETURN, f"{victim} emptied")
        cluster.storages.remove(victim)
        cluster.power_off(victim)
        cluster.disks[victim].wipe()

    async def hurt_workers(self, long: float) -> None:
        """Workers hand requests back, lose answers, cut streams and drop what they keep, for a while."""
        cluster, chance = self.cluster, self.chance
        for target in cluster.world.workers():
            target.faults = backend.Faults(
                0.2 * chance.random(),
                0.2 * chance.random(),
                0.2 * chance.random(),
                0.3,
                chance.random() < 0.5,
            )
        victim = chance.choice(cluster.world.workers())
        cluster.kill(victim.name)
        await asyncio.sleep(long)
        cluster.loop.begin(victim.name)
        cluster.wire.pages[f"{victim.name}:80"] = (victim.name, cluster.world.application(victim))
        for target in cluster.world.workers():
            target.faults = backend.Faults()

    def verdict(self) -> list[str]:
        """The plain model's word on the whole day."""
        cluster = self.cluster
        allowed = frozenset(
            (lane, service) for lane, spec in cluster.mix.document["lanes"].items() for service in spec["services"]
        ) | frozenset(("swing", service) for service in self.operators.plain)
        history = oracle.History(
            tuple(self.asking.noted),
            tuple(cluster.world.seen()),
            cluster.world.ran(),
            cluster.world.put_out(),
            self.document,
            cluster.marked,
            (*self.told, *self.asking.faults),
            allowed,
        )
        return [
            *oracle.faults(history),
            *register.faults(self.operators.writes, self.operators.reads, cluster.mix.document),
            *register.foreign_runs(self.operators.writes, register.swing_runs(cluster), cluster.mix.document),
        ]


def run_day(
    seed: int,
    kinds: tuple[str, ...] = FAULTS,
    count: int = 3,
    size: simulated_cluster.Size = simulated_cluster.Size(),
    more: dict | None = None,
) -> dict:
    """One seeded campaign; what was wrong, what was done to the fleet, how long service took to return."""
    held: list[Day] = []

    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        held.append(Day(cluster, random.Random(seed * 7 + 1), kinds, count))
        await held[0].run()

    snapshotting.COMPACT_ENTRIES, witness.COMPACT_VALUES = (40, 60) if seed % 3 else (4000, 2000)
    weather = wire.Weather(jitter=0.004, double=0.002, reset=0.0005)
    wrong = []
    began = time.perf_counter()
    played = None
    try:
        played = simulated_cluster.play(
            seed, scenario, size, name=(shape.TILLS, shape.ARCHIVE)[seed % 2], weather=weather, more=more
        )
        wrong = held[0].verdict()
    except* Exception as group:
        wrong = [f"{type(error).__name__}: {error}" for error in flat(group)]
    day = held[0] if held else None
    if played is not None:
        wrong.extend(
            f"unhandled: {one}"
            for one in played.loop.exceptions
            if "after response started" not in one and "cut in the middle" not in one
        )
        wrong.extend(f"ended: {one}" for one in played.ended[:3])
    return {
        "seed": seed,
        "wrong": wrong,
        "done": day.done if day else [],
        "returned": day.returned if day else [],
        "waits": day.operators.waits if day and hasattr(day, "operators") else [],
        "counts": dict(day.asking.counts) if day and hasattr(day, "asking") else {},
        "seconds": time.perf_counter() - began,
    }


def flat(group: BaseExceptionGroup) -> list[BaseException]:
    """The exceptions in a group of groups."""
    found = []
    for error in group.exceptions:
        found.extend(flat(error) if isinstance(error, BaseExceptionGroup) else [error])
    return found


def campaign(
    *,
    first: int = 1,
    seeds: int = 40,
    faults: list[str] = FAULTS,
    count: int = 3,
    processes: int = 8,
    whole: bool = False,
    apart: bool = False,
    losses: int = 1,
) -> None:
    """Run many seeded campaigns and print those that went wrong.

    :param first: first seed
    :param seeds: how many
    :param faults: kinds of faults to draw from
    :param count: faults a day
    :param processes: how many at once
    :param whole: a fleet of today's size, 8 edge, 3 storage and 5 core nodes, instead of a small one
    :param apart: five cores with disks that are the witnesses and hold the control group, storages the session group
    :param losses: machine losses to be borne, with ``apart``
    """
    size, more = simulated_cluster.Size(8, 3, 5) if whole else simulated_cluster.Size(), {}
    if apart:
        size = simulated_cluster.Size(8 if whole else 2, 2 * losses + 1, 5, apart=True)
        more = {"witnesses": "core", "losses": losses}
        faults = APART if tuple(faults) == FAULTS else faults
    total: collections.Counter = collections.Counter()
    returned, waits, bad = [], [], 0
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        work = [pool.submit(run_day, seed, tuple(faults), count, size, more) for seed in range(first, first + seeds)]
        for future in concurrent.futures.as_completed(work):
            shown = future.result()
            total.update(shown["counts"])
            returned.extend(shown["returned"])
            waits.extend(shown["waits"])
            if shown["wrong"]:
                bad += 1
                print(
                    shown["seed"],
                    shown["done"],
                    *[str(one)[:1500] for one in shown["wrong"][:4]],
                    sep="\n  ",
                    flush=True,
                )
    returned.sort()
    waits.sort()
    print(f"{seeds} seeds, {bad} wrong; answers {dict(sorted(total.items()))}")
    for name, row in (("service returned after a fault's end", returned), ("plan writes took", waits)):
        if row:
            print(
                f"{name}: median {row[len(row) // 2]:.2f} s, 95 % {row[int(len(row) * 0.95)]:.2f} s, "
                f"most {row[-1]:.2f} s, of {len(row)}"
            )
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    defopt.run(campaign)
