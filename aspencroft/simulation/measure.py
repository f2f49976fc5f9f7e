"""Seeded measurements: the paper's selection and intent orders against plainer ways, on the same traffic."""

import asyncio
import collections
import concurrent.futures
import json
import statistics

import defopt
import httpx

from aspencroft.emulator import shape
from aspencroft.gateway import selection
from aspencroft.power import machine_power
from aspencroft.residency import messages, residency
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

PAPER, NO_INTENT, RECENCY, PASSIVE = "paper", "no intent", "recency", "passive"
VARIANTS = (PAPER, NO_INTENT, RECENCY, PASSIVE)


class Plainer(residency.Residency):
    """The residency duty with a part taken away, to measure what the part is worth."""

    variant = PAPER

    async def order(self, target, step) -> None:
        """Orders are not sent at all in the passive variant."""
        if self.variant != PASSIVE:
            await super().order(target, step)

    def decide(self, now):
        """The recency variant ranks by the last use alone."""
        if self.variant == RECENCY:
            last = {name: since for name, (_, since) in self.signals.popularity.items()}
            self.signals.reuse = lambda name, services, window, at: (
                1 / (1 + (at - last[name]).total_seconds()) if name in last else 0.0
            )
            self.signals.returns = lambda program, window, at: 0.5 if program in self.signals.sessions else 0.01
        return super().decide(now)

    async def hear(self) -> None:
        """The variant without intent does not hear of headers."""
        if self.variant == NO_INTENT:
            kept = self.duty.inbox.put_nowait
            self.duty.inbox.put_nowait = lambda message: (
                None if isinstance(message, messages.Intended) else kept(message)
            )
        await super().hear()


def run(seed: int, variant: str, name: str, programs: int) -> dict:
    """One run without faults; what the workers loaded and how long first pieces took."""
    shown: dict = {}
    Plainer.variant = variant
    original, residency.Residency = residency.Residency, Plainer

    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        client = httpx.AsyncClient(transport=wire.SimTransport(cluster.wire, simulated_cluster.OUTSIDE))
        await client.put("http://core-1/plan", json=cluster.mix.document)
        await cluster.until(cluster.ready, 20, "ready")
        asking = cluster.caller(1)
        async with asyncio.TaskGroup() as group:
            for number in range(programs):
                group.create_task(asking.one(f"n{number}"))
                await asyncio.sleep(asking.chance.expovariate(6))
        counts = sum((worker.counts for worker in cluster.world.models), collections.Counter())
        firsts = sorted(asking.firsts)
        calls = sum(sum(worker.ran.values()) for worker in cluster.world.models)
        shown.update(
            {
                "seed": seed,
                "variant": variant,
                "calls": calls,
                "cold": counts["cold"],
                "loads ordered": counts["loads ordered"],
                "dropped": counts["dropped"],
                "reports": counts["reports read"],
                "first median": statistics.median(firsts),
                "first 95": firsts[int(len(firsts) * 0.95)],
                "asleep": counts["put to rest"],
            }
        )

    try:
        simulated_cluster.play(seed, whole_scenario, name=name)
    finally:
        residency.Residency = original
    return shown


def keeps(
    *,
    first: int = 1,
    seeds: int = 8,
    deployment: str = shape.ARCHIVE,
    programs: int = 120,
    variants: list[str] = VARIANTS,
) -> None:
    """Compare variants of the residency duty on the same seeds; prints a line of JSON for each variant.

    :param first: first seed
    :param seeds: how many
    :param deployment: archive or tills
    :param programs: programs and signals in a run
    :param variants: paper, "no intent", recency, passive
    """
    with concurrent.futures.ProcessPoolExecutor(8) as pool:
        work = [
            pool.submit(run, seed, variant, deployment, programs)
            for variant in variants
            for seed in range(first, first + seeds)
        ]
        rows = [future.result() for future in work]
    for variant in variants:
        mine = [row for row in rows if row["variant"] == variant]
        calls = sum(row["calls"] for row in mine)
        cold = [row["cold"] / row["calls"] for row in mine]
        print(
            json.dumps(
                {
                    "variant": variant,
                    "seeds": len(mine),
                    "calls": calls,
                    "cold share": round(sum(row["cold"] for row in mine) / calls, 4),
                    "cold share by seed": [round(min(cold), 4), round(max(cold), 4)],
                    "loads ordered per call": round(sum(row["loads ordered"] for row in mine) / calls, 3),
                    "dropped per call": round(sum(row["dropped"] for row in mine) / calls, 3),
                    "first piece median": round(statistics.median(row["first median"] for row in mine), 4),
                    "first piece 95 %": round(statistics.median(row["first 95"] for row in mine), 4),
                }
            ),
            flush=True,
        )


def staged(
    seed: int,
    scenario,
    size: simulated_cluster.Size = simulated_cluster.Size(),
    name: str = shape.TILLS,
    more: dict | None = None,
) -> None:
    """Form a fleet, put its plan in force, let five seconds pass, then act."""

    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        client = httpx.AsyncClient(transport=wire.SimTransport(cluster.wire, simulated_cluster.OUTSIDE))
        await client.put("http://core-1/plan", json=cluster.mix.document)
        await cluster.until(cluster.ready, 20, "ready")
        await asyncio.sleep(5)
        await scenario(cluster, client)

    simulated_cluster.play(seed, whole_scenario, size, name, wire.Weather(jitter=0.002), more)


def spread(row: list[float]) -> str:
    """Least, median and most of a row.

    Example: ``spread([1.0, 2.0, 4.0]) == "1.00 / 2.00 / 4.00"``
    """
    return f"{min(row):.2f} / {statistics.median(row):.2f} / {max(row):.2f}"


def takeover(*, seeds: int = 8) -> None:
    """Time until another primary serves, and longest time an edge has no current plan, by kind of loss.

    :param seeds: how many
    """
    for how in ("kill", "power_off", "freeze"):
        led, gaps = [], []

        async def scenario(cluster: simulated_cluster.SimulatedCluster, _) -> None:
            old, began, gap, ahead = cluster.leader(0), cluster.loop.time(), dict.fromkeys(cluster.edges, 0.0), None
            cluster.loop.freeze(old) if how == "freeze" else getattr(cluster, how)(old)
            while cluster.loop.time() - began < 8:
                if ahead is None and cluster.leader(0) not in ("", old):
                    ahead = cluster.loop.time() - began
                for edge in cluster.edges:
                    gap[edge] += 0.0 if cluster.nodes[edge].relay.current() else 0.02
                await asyncio.sleep(0.02)
            led.append(ahead if ahead is not None else 8.0)
            gaps.append(max(gap.values()))

        for seed in range(1, 1 + seeds):
            staged(seed, scenario, simulated_cluster.Size(4, 3, 5))
        print(f"{how}: next primary serves after {spread(led)} s; an edge without current plan {spread(gaps)} s")


GROUP_FAULTS = (
    "kill",
    "power_off",
    "freeze",
    "backup",
    "cut",
    "cut out",
    "cut in",
    "blackout",
    "lost disk",
    "lost machine",
)


def group_run(how: str, group_id: int, seed: int, losses: int) -> float:
    """Seconds until a group is served again after a fault, on five cores that are the witnesses.

    Counted from the restart where
    all lost power.
    """
    took: list[float] = []

    async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        await asyncio.sleep(6 + cluster.chance.random())
        old, began = cluster.leader(group_id), cluster.loop.time()
        if how in ("blackout", "lost disk", "lost machine"):
            for name in cluster.names():
                cluster.power_off(name)
            if how == "lost disk":
                cluster.disks[old].wipe()
                cluster.lost.add(old)
            await asyncio.sleep(1)
            for name in cluster.names():
                if how != "lost machine" or name != old:
                    cluster.start(name)
            took.append(await cluster.until(cluster.formed, 20, "formed"))
            return
        if how == "backup":
            silent = cluster.nodes[old].group_replicas[group_id].known.backups[-1]
            cluster.power_off(silent.address.split(":")[0])
            held = cluster.nodes[old].group_replicas[group_id]
            await cluster.until(
                lambda: silent not in held.known.backups and cluster.leader(group_id) == old, 15, "served"
            )
        else:
            if how.startswith("cut"):
                left = [old, next(name for name in cluster.cores if name != old)]
                right = [name for name in cluster.names() if name not in left]
                cluster.wire.cut(*((right, left) if how == "cut in" else (left, right)), how != "cut")
            elif how == "freeze":
                cluster.loop.freeze(old)
            else:
                getattr(cluster, how)(old)
            await cluster.until(lambda: cluster.leader(group_id) not in ("", old), 15, "led by another")
        took.append(cluster.loop.time() - began)

    simulated_cluster.play(
        seed,
        whole_scenario,
        simulated_cluster.Size(3, 2 * losses + 1, 5, apart=True),
        weather=wire.Weather(jitter=0.002),
        more={"witnesses": "core", "losses": losses},
    )
    return took[0]


def groups(*, seeds: int = 8, losses: int = 1, processes: int = 4) -> None:
    """Time until a group is served again, by fault: of the control group and of a session group.

    :param seeds: how many
    :param losses: machine losses to be borne
    :param processes: how many at once
    """
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        work = {
            (how, group_id): [pool.submit(group_run, how, group_id, seed, losses) for seed in range(1, 1 + seeds)]
            for how in GROUP_FAULTS
            for group_id in (0, 1)
            if not (how.startswith("cut") and group_id)
        }
        for (how, group_id), rows in work.items():
            print(
                f"{how}, {'talk' if group_id else 'control'} group: {spread([row.result() for row in rows])} s",
                flush=True,
            )


def delivery(*, seeds: int = 4) -> None:
    """Time and messages of a plan write, by size of the fleet; and with one node cut off.

    :param seeds: how many
    """
    for size in (
        simulated_cluster.Size(2, 3, 3),
        simulated_cluster.Size(8, 3, 5),
        simulated_cluster.Size(24, 4, 12),
    ):
        took, asked, cut = [], [], []

        async def scenario(cluster: simulated_cluster.SimulatedCluster, client: httpx.AsyncClient) -> None:
            for number in range(4):
                before = sum(own.relay.counts["pulls"] for own in cluster.nodes.values())
                pushes = sum(own.relay.counts["pushes"] for own in cluster.nodes.values())
                response = await client.put(f"http://edge-0/plan/services/x{number}", json={"kind": "plain"})
                took.append(response.json()["waited"])
                asked.append(
                    sum(own.relay.counts["pulls"] for own in cluster.nodes.values())
                    - before
                    + sum(own.relay.counts["pushes"] for own in cluster.nodes.values())
                    - pushes
                )
                await asyncio.sleep(1)
            cluster.wire.cut(["edge-1"], [name for name in cluster.names() if name != "edge-1"])
            response = await client.put("http://edge-0/plan/services/cut", json={"kind": "plain"})
            cut.append(response.json()["waited"])

        for seed in range(1, 1 + seeds):
            staged(seed, scenario, size)
        nodes = size.edges + size.storages + size.cores
        print(
            f"{nodes} nodes: in force everywhere after {spread(took)} s, {spread(asked)} messages; "
            f"with a node cut off {spread(cut)} s"
        )


def currency(*, seeds: int = 4) -> None:
    """Length of the claim on the plan's currency: refusals while the control primary dies.

    And wait of a write in a cut.

    :param seeds: how many
    """
    for length in (1.5, 2.5, 4.0, 6.0):
        refused, waited = [], []

        async def scenario(cluster: simulated_cluster.SimulatedCluster, client: httpx.AsyncClient) -> None:
            asking = cluster.caller(2)
            cluster.kill(cluster.leader(0))
            async with asyncio.TaskGroup() as group:
                for number in range(120):
                    group.create_task(asking.ask("till-lock", {"name": f"s{number}"}))
                    await asyncio.sleep(0.05)
            refused.append(sum(noted.result == 1102 for noted in asking.noted) / len(asking.noted))
            cluster.wire.cut(["edge-1"], [name for name in cluster.names() if name != "edge-1"])
            response = await client.put("http://edge-0/plan/services/cut", json={"kind": "plain"})
            waited.append(response.json().get("waited", -1.0))

        for seed in range(1, 1 + seeds):
            staged(seed, scenario, more={"currency": clock.seconds(length)})
        print(
            f"{length} s: refused for want of a plan within 6 s of the primary's death {spread(refused)}; "
            f"a write in a cut waits {spread(waited)} s"
        )


def slow_disk(*, seeds: int = 4) -> None:
    """Price of the sync: time of a signal with a key, by the disks' delay for a sync.

    :param seeds: how many
    """
    for delay in (0.002, 0.02, 0.1, 0.3):
        took, batched = [], []

        async def scenario(cluster: simulated_cluster.SimulatedCluster, _) -> None:
            for held in cluster.disks.values():
                held.delay = delay

            async def signal(number: int) -> None:
                began = cluster.loop.time()
                noted = await cluster.caller(number).ask("till-lock", {"name": f"s{number}"}, operation=f"s{number}")
                if noted.ran == "done":
                    took.append(cluster.loop.time() - began)

            before = sum(
                held.counts["batches"] for own in cluster.nodes.values() for held in own.group_replicas.values()
            )
            async with asyncio.TaskGroup() as group:
                for number in range(100):
                    group.create_task(signal(number))
                    await asyncio.sleep(0.02)
            batches = (
                sum(held.counts["batches"] for own in cluster.nodes.values() for held in own.group_replicas.values())
                - before
            )
            batched.append(200 / max(1, batches))

        for seed in range(1, 1 + seeds):
            staged(seed, scenario)
        print(
            f"sync takes about {delay} s: a signal takes {spread(took)} s, {len(took)} done of {100 * seeds}; "
            f"writes per batch {spread(batched)}"
        )


def quiet(*, seeds: int = 4) -> None:
    """The quiet list: workers asleep over time and first pieces, with and without the rest duty, light traffic.

    :param seeds: how many
    """
    original = machine_power.MachinePower.step
    for resting in (True, False):
        asleep, firsts, late = [], [], []

        async def no_step(self, now) -> None:
            return

        machine_power.MachinePower.step = original if resting else no_step

        async def scenario(cluster: simulated_cluster.SimulatedCluster, _) -> None:
            asking, seconds, calls = cluster.caller(3), [], []
            for number in range(120):
                if number % 4 == 0:
                    calls.append(asyncio.ensure_future(asking.one(f"n{number}")))
                seconds.append(sum(worker.asleep for worker in cluster.world.models) / len(cluster.world.models))
                await asyncio.sleep(0.5)
            async with asyncio.TaskGroup() as group:
                for number in range(200):
                    group.create_task(asking.one(f"crowd{number}"))
                    await asyncio.sleep(0.01)
            asleep.append(statistics.mean(seconds))
            ordered = sorted(asking.firsts)
            firsts.append(statistics.median(ordered) * 1000)
            late.append(ordered[int(len(ordered) * 0.95)] * 1000)

        for seed in range(1, 1 + seeds):
            staged(seed, scenario, name=shape.ARCHIVE)
        print(
            f"{'with' if resting else 'without'} the rest duty: share of model workers asleep in a calm minute "
            f"{spread(asleep)}; first piece median {spread(firsts)} ms, 95 % {spread(late)} ms"
        )
    machine_power.MachinePower.step = original


def power_run(seed: int, resting: bool, deployment: str) -> dict:
    """One day's shape: calm, a crowd, calm with bursts; energy and what callers waited."""
    shown: dict = {}
    original = machine_power.MachinePower.step

    async def no_step(self, now) -> None:
        return

    machine_power.MachinePower.step = original if resting else no_step

    async def scenario(cluster: simulated_cluster.SimulatedCluster, _) -> None:
        asking, began = cluster.caller(3), cluster.loop.time()
        for model in cluster.world.models:
            model.count_energy()
            model.joules = 0.0
        cold = sum(model.counts["cold"] for model in cluster.world.models)
        async with asyncio.TaskGroup() as group:
            for number in range(240):
                if number % 4 == 0:
                    group.create_task(asking.one(f"n{number}"))
                if 120 <= number < 132:
                    for each in range(25):
                        group.create_task(asking.one(f"crowd{number}-{each}"))
                if number >= 160 and number % 20 == 0:
                    for each in range(20):
                        group.create_task(asking.one(f"burst{number}-{each}"))
                await asyncio.sleep(0.5)
        joules = sum(model.count_energy() for model in cluster.world.models)
        turns = sum(noted.ran == "done" and bool(noted.text) for noted in asking.noted)
        firsts = sorted(asking.firsts)
        shown.update(
            {
                "resting": resting,
                "turns": turns,
                "asked": len(asking.noted),
                "refused": sum(noted.ran != "done" for noted in asking.noted),
                "kilojoules": joules / 1000,
                "joules a turn": joules / turns,
                "watts": joules / (cluster.loop.time() - began),
                "first median": 1000 * statistics.median(firsts),
                "first 95": 1000 * firsts[int(len(firsts) * 0.95)],
                "first most": 1000 * firsts[-1],
                "cold": (sum(model.counts["cold"] for model in cluster.world.models) - cold) / max(1, turns),
            }
        )

    try:
        staged(seed, scenario, name=deployment)
    finally:
        machine_power.MachinePower.step = original
    return shown


def power(*, seeds: int = 4, deployment: str = shape.ARCHIVE) -> None:
    """Energy for each answered turn over a day's shape, with and without the quiet list; stand-ins' watts.

    :param seeds: how many
    :param deployment: archive or tills
    """
    with concurrent.futures.ProcessPoolExecutor(8) as pool:
        work = [
            pool.submit(power_run, seed, resting, deployment)
            for resting in (False, True)
            for seed in range(1, 1 + seeds)
        ]
        rows = [future.result() for future in work]
    for resting in (False, True):
        mine = [row for row in rows if row["resting"] == resting]
        print(
            f"quiet list {'on' if resting else 'off'}: "
            + "; ".join(f"{name} {spread([row[name] for row in mine])}" for name in mine[0] if name != "resting"),
            flush=True,
        )


class ByName:
    """A lot that is none: the first two in the order of the list, which all edges share."""

    def sample(self, row: list, count: int) -> list:
        """The first one by name."""
        return sorted(row, key=lambda entry: entry[1].name)[:1]


def crowding_run(seed: int, by_lot: bool, crowd: bool) -> dict:
    """Eight edges in a crowd or in calm: how evenly workers were called, put-backs, cold calls, first pieces."""
    shown: dict = {}
    original = selection.select_worker

    def by_name(allowed, program, view, tried, chance):
        return original(allowed, program, view, tried, ByName())

    selection.select_worker = original if by_lot else by_name

    async def scenario(cluster: simulated_cluster.SimulatedCluster, _) -> None:
        asking = cluster.caller(3)
        async with asyncio.TaskGroup() as group:
            for number in range(300 if crowd else 80):
                group.create_task(asking.one(f"n{number}"))
                await asyncio.sleep(0.004 if crowd else 0.2)
        calls = sorted(sum(model.ran.values()) for model in cluster.world.models)
        counts = sum((model.counts for model in cluster.world.models), collections.Counter())
        firsts = sorted(asking.firsts)
        shown.update(
            {
                "lot": by_lot,
                "crowd": crowd,
                "calls": sum(calls),
                "most called worker's share": calls[-1] / sum(calls),
                "least": calls[0] / sum(calls),
                "put back a call": counts["put back"] / sum(calls),
                "cold a call": counts["cold"] / sum(calls),
                "refused": sum(noted.ran == "not run" for noted in asking.noted) / len(asking.noted),
                "first median, ms": 1000 * statistics.median(firsts),
                "first 95, ms": 1000 * firsts[int(len(firsts) * 0.95)],
            }
        )

    try:
        staged(seed, scenario, simulated_cluster.Size(8, 3, 5), shape.ARCHIVE)
    finally:
        selection.select_worker = original
    return shown


def crowding(*, seeds: int = 3) -> None:
    """Load over eight edges: equal ranks broken by lot of two, and by name as before; archive.

    :param seeds: how many
    """
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        work = [
            pool.submit(crowding_run, seed, by_lot, crowd)
            for crowd in (True, False)
            for by_lot in (False, True)
            for seed in range(1, 1 + seeds)
        ]
        rows = [future.result() for future in work]
    for crowd in (True, False):
        for by_lot in (False, True):
            mine = [row for row in rows if (row["crowd"], row["lot"]) == (crowd, by_lot)]
            print(
                f"{'crowd' if crowd else 'calm'}, ties by {'lot' if by_lot else 'name'}: "
                + "; ".join(
                    f"{name} {min(row[name] for row in mine):.3g} / "
                    f"{statistics.median(row[name] for row in mine):.3g} / "
                    f"{max(row[name] for row in mine):.3g}"
                    for name in mine[0]
                    if name not in ("lot", "crowd")
                ),
                flush=True,
            )


def nodes(*, seeds: int = 2) -> None:
    """Messages a second and node, delivery, and takeover, by size of the fleet; no traffic.

    :param seeds: how many
    """
    for size in (
        simulated_cluster.Size(2, 3, 3),
        simulated_cluster.Size(8, 3, 5),
        simulated_cluster.Size(20, 4, 8),
        simulated_cluster.Size(44, 6, 14),
    ):
        frames, took, led = [], [], []

        async def scenario(cluster: simulated_cluster.SimulatedCluster, client: httpx.AsyncClient) -> None:
            before, began = sum(own.link.counts["frames out"] for own in cluster.nodes.values()), cluster.loop.time()
            await asyncio.sleep(10)
            after = sum(own.link.counts["frames out"] for own in cluster.nodes.values())
            frames.append((after - before) / (cluster.loop.time() - began) / len(cluster.nodes))
            response = await client.put("http://edge-0/plan/services/x", json={"kind": "plain"})
            took.append(response.json()["waited"])
            old, began = cluster.leader(0), cluster.loop.time()
            cluster.power_off(old)
            await cluster.until(lambda: cluster.leader(0) not in ("", old), 12, "led by another")
            led.append(cluster.loop.time() - began)

        for seed in range(1, 1 + seeds):
            staged(seed, scenario, size)
        print(
            f"{size.edges + size.storages + size.cores} nodes: {spread(frames)} frames a second and node; "
            f"a plan in force after {spread(took)} s; another primary after {spread(led)} s",
            flush=True,
        )


if __name__ == "__main__":
    defopt.run([crowding, groups, nodes, keeps, takeover, delivery, currency, slow_disk, quiet, power])
