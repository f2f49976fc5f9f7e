"""Seeded measurements: the paper's selection and intent orders against plainer ways, on the same traffic."""

import asyncio
import collections
import concurrent.futures
import json
import statistics

import defopt
import httpx

import aspencroft.keep.residency as residency
import aspencroft.keep.word as word
import aspencroft.sim.scene as scene
import aspencroft.sim.wire as wire
import aspencroft.stand.shape as shape

PAPER, NO_INTENT, RECENCY, PASSIVE = "paper", "no intent", "recency", "passive"
VARIANTS = (PAPER, NO_INTENT, RECENCY, PASSIVE)


class Plainer(residency.Residency):
    """The residency duty with a part taken away, to measure what the part is worth."""

    variant = PAPER

    async def order(self, target, step) -> None:
        """Orders are not sent at all in the passive variant.

        Example: ``await plainer.order(target, step)``
        """
        if self.variant != PASSIVE:
            await super().order(target, step)

    def decide(self, now):
        """The recency variant ranks by the last use alone.

        Example: ``plainer.decide(now)``
        """
        if self.variant == RECENCY:
            last = {name: since for name, (_, since) in self.signals.popularity.items()}
            self.signals.reuse = lambda name, services, window, at: (
                1 / (1 + (at - last[name]).total_seconds()) if name in last else 0.0)
            self.signals.returns = lambda program, window, at: 0.5 if program in self.signals.sessions else 0.01
        return super().decide(now)

    async def hear(self) -> None:
        """The variant without intent does not hear of headers.

        Example: ``group.create_task(plainer.hear())``
        """
        if self.variant == NO_INTENT:
            kept = self.duty.words.put_nowait
            self.duty.words.put_nowait = lambda message: None if isinstance(message, word.Intended) else kept(message)
        await super().hear()


def run(seed: int, variant: str, name: str, programs: int) -> dict:
    """One run without faults; what the workers loaded and how long first pieces took.

    Example: ``run(1, PAPER, "archive", 60)["cold"]``
    """
    shown: dict = {}
    Plainer.variant = variant
    original, residency.Residency = residency.Residency, Plainer

    async def story(one: scene.Scene) -> None:
        await one.until(one.formed, 30, "formed")
        client = httpx.AsyncClient(transport=wire.SimTransport(one.wire, scene.OUTSIDE))
        await client.put("http://core-1/plan", json=one.mix.document)
        await one.until(one.ready, 20, "ready")
        asking = one.caller(1)
        async with asyncio.TaskGroup() as group:
            for number in range(programs):
                group.create_task(asking.one(f"n{number}"))
                await asyncio.sleep(asking.chance.expovariate(6))
        counts = sum((worker.counts for worker in one.world.models), collections.Counter())
        firsts = sorted(asking.firsts)
        calls = sum(sum(worker.ran.values()) for worker in one.world.models)
        shown.update({"seed": seed, "variant": variant, "calls": calls, "cold": counts["cold"],
                      "loads ordered": counts["loads ordered"], "dropped": counts["dropped"],
                      "reports": counts["reports read"],
                      "first median": statistics.median(firsts), "first 95": firsts[int(len(firsts) * 0.95)],
                      "asleep": counts["put to rest"]})

    try:
        scene.play(seed, story, name=name)
    finally:
        residency.Residency = original
    return shown


def measure(*, first: int = 1, seeds: int = 8, deployment: str = shape.ARCHIVE, programs: int = 120,
            variants: list[str] = VARIANTS) -> None:
    """Compare variants of the residency duty on the same seeds; prints a line of JSON for each variant.

    :param first: first seed
    :param seeds: how many
    :param deployment: archive or tills
    :param programs: programs and signals in a run
    :param variants: paper, "no intent", recency, passive
    """
    with concurrent.futures.ProcessPoolExecutor(8) as pool:
        work = [pool.submit(run, seed, variant, deployment, programs)
                for variant in variants for seed in range(first, first + seeds)]
        rows = [future.result() for future in work]
    for variant in variants:
        mine = [row for row in rows if row["variant"] == variant]
        calls = sum(row["calls"] for row in mine)
        cold = [row["cold"] / row["calls"] for row in mine]
        print(json.dumps({
            "variant": variant, "seeds": len(mine), "calls": calls,
            "cold share": round(sum(row["cold"] for row in mine) / calls, 4),
            "cold share by seed": [round(min(cold), 4), round(max(cold), 4)],
            "loads ordered per call": round(sum(row["loads ordered"] for row in mine) / calls, 3),
            "dropped per call": round(sum(row["dropped"] for row in mine) / calls, 3),
            "first piece median": round(statistics.median(row["first median"] for row in mine), 4),
            "first piece 95 %": round(statistics.median(row["first 95"] for row in mine), 4)}), flush=True)


if __name__ == "__main__":
    defopt.run(measure)
