"""Stand-ins for the platform's list, model workers and plain workers, by their HTTP forms."""

import asyncio
import collections
import collections.abc
import dataclasses
import json
import random

import litestar
import litestar.response

from aspencroft.residency import candidate, keep_plan
from aspencroft.runtime import clock

PIECE = clock.seconds(0.01)
SHRINK = 20.0
PLACES = 8


@dataclasses.dataclass
class Faults:
    """What a stand-in does wrong, and how often, in shares of requests."""

    put_back: float = 0.0
    lose_answer: float = 0.0
    cut_stream: float = 0.0
    drop_kept: float = 0.0
    late_report: bool = False
    wake_fails: float = 0.0


@dataclasses.dataclass(frozen=True)
class Power:
    """What a machine takes, and how long it takes to wake: assumptions, not measurements of any machine.

    Example: ``Power().asleep < Power().idle < Power().busy``
    """

    idle: float = 250.0
    busy: float = 650.0
    asleep: float = 15.0
    wake: float = 4.0


class ModelWorker:
    """A model worker: memory, models, parked KV, streaming answers; counts what it ran.

    Times are the paper's, shrunk by ``SHRINK`` so that runs stay short.
    """

    def __init__(
        self,
        name: str,
        services: tuple[str, ...],
        sizes: dict[str, int],
        chance: random.Random,
        faults: Faults | None = None,
        memory: int = 72_000_000_000,
    ):
        self.name = name
        self.services = services
        self.sizes = sizes
        self.chance = chance
        self.faults = faults or Faults()
        self.memory = memory
        self.kept: dict[str, dict] = {}
        self.ready: dict[str, asyncio.Event] = {}
        self.epoch = 0
        self.asleep = False
        self.awake_at = 0.0
        self.power = Power()
        self.joules = 0.0
        self.counted_to: float | None = None
        self.running = 0
        self.pace = 1
        self.ran: collections.Counter = collections.Counter()
        self.seen: list[dict] = []
        self.counts: collections.Counter = collections.Counter()
        self.put_out: collections.Counter = collections.Counter()
        self.old_report: dict = {"memory": memory, "kept": []}

    def row(self, url: str, leaving: bool = False) -> dict:
        """This worker's row in the platform's list."""
        return {
            "name": self.name,
            "url": url,
            "kind": "model",
            "services": list(self.services),
            "leaving": leaving,
            "memory": self.memory,
            "places": PLACES,
        }

    def count_energy(self) -> float:
        """Add what the machine took since this was last asked; all of it in joules.

        Called before each change of state.
        """
        now = clock.now().total_seconds()
        watts = self.power.asleep if self.asleep else self.power.busy if self.running else self.power.idle
        if self.counted_to is not None:
            self.joules += watts * (now - self.counted_to)
        self.counted_to = now
        return self.joules

    def rest(self, asleep: bool) -> dict:
        """Go to sleep, which empties the memory, or wake, which takes its time."""
        self.count_energy()
        now = clock.now().total_seconds()
        if asleep and not self.asleep:
            self.counts["put to rest"] += 1
            self.counts["put to rest while busy"] += self.running > 0
            self.kept.clear()
        elif self.asleep and not asleep:
            self.counts["woken"] += 1
            self.awake_at = now + self.power.wake
        self.asleep = asleep
        return {"asleep": asleep, "awake_in": 0 if asleep else max(0.0, self.awake_at - now)}

    def sleeps(self) -> bool:
        """Whether the machine is asleep or not awake yet."""
        return self.asleep or clock.now().total_seconds() < self.awake_at

    def used(self) -> int:
        """Bytes taken on the device."""
        return sum(one["size"] for one in self.kept.values() if one["place"] != keep_plan.HOST)

    def report(self) -> dict:
        """What the report page shows; a late one shows the state before."""
        fresh = {
            "memory": self.memory,
            "kept": [{"name": name, **one} for name, one in sorted(self.kept.items())],
        }
        shown = self.old_report if self.faults.late_report else fresh
        self.old_report = fresh
        return shown

    async def load(self, name: str) -> None:
        """Bring a model in, making room by dropping idle things as an engine left alone would."""
        if name in self.kept and self.kept[name]["place"] in (keep_plan.DEVICE, keep_plan.LOADING):
            await self.ready[name].wait()
            return
        size = self.sizes.get(name.partition(":")[2], 15_200_000_000)
        for other in [one for one in self.kept if not self.kept[one]["busy"]]:
            if self.used() + size > self.memory and other != name:
                self.counts["dropped"] += 1
                del self.kept[other]
        self.kept[name] = {"size": size, "tokens": 0, "place": keep_plan.LOADING, "busy": 0}
        self.ready[name] = asyncio.Event()
        await clock.sleep(candidate.reload_cost(size, candidate.WEIGHT_STARTUP) / SHRINK * 2)
        if name in self.kept:
            self.kept[name]["place"] = keep_plan.DEVICE
        self.ready[name].set()

    async def order(self, order: dict) -> tuple[int, dict]:
        """Take an order; those of an epoch that passed are refused, those seen before do no harm."""
        if order["epoch"] < self.epoch:
            return 409, {"error": "lower epoch"}
        self.epoch = order["epoch"]
        self.counts["orders"] += 1
        for name in order["release"]:
            if name in self.kept and not self.kept[name]["busy"]:
                del self.kept[name]
        for name in order["offload"]:
            if name in self.kept and not self.kept[name]["busy"]:
                self.kept[name]["place"] = keep_plan.HOST
        for name in order["load"]:
            if name not in self.kept:
                self.counts["loads ordered"] += 1
                task = asyncio.ensure_future(self.load(name))
                self.loading = task
        for name in order["restore"]:
            if name in self.kept:
                self.kept[name]["place"] = keep_plan.DEVICE
        return 200, {"held": sorted(self.kept)}

    async def generate(self, body: dict) -> collections.abc.AsyncIterator[bytes]:
        """Run one request and stream numbered pieces with an explicit end."""
        name = keep_plan.key(candidate.MODEL, body["model"])
        try:
            if name not in self.kept:
                self.counts["cold"] += 1
            await self.load(name)
            if name in self.kept:
                self.kept[name]["busy"] += 1
            words = answer_words(body)[: body["max_output"]]
            cut = self.chance.randrange(len(words)) if self.chance.random() < self.faults.cut_stream else None
            for number, text in enumerate(words):
                if number == cut:
                    raise ConnectionError("cut in the middle")
                await clock.sleep(PIECE * self.pace)
                self.put_out[body["request"]] += 1
                yield line({"request": body["request"], "piece": number, "text": text, "tokens": 1})
            yield line({"request": body["request"], "end": True, "pieces": len(words)})
        finally:
            self.count_energy()
            self.running -= 1
            if name in self.kept:
                self.kept[name]["busy"] -= 1
            tokens = sum(len(part) for turn in body["history"] for part in turn) // 4
            self.kept[keep_plan.key(candidate.KV, body["program"])] = {
                "size": max(1, tokens) * candidate.KV_BYTES,
                "tokens": tokens,
                "place": keep_plan.DEVICE,
                "busy": 0,
            }
            while self.used() > self.memory:
                victim = next(iter(one for one in self.kept if one.startswith(candidate.KV)))
                del self.kept[victim]
            if self.chance.random() < self.faults.drop_kept and self.kept:
                idle = [one for one in self.kept if not self.kept[one]["busy"]]
                if idle:
                    del self.kept[self.chance.choice(idle)]

    def handlers(self) -> list:
        """The pages that a model worker serves."""

        @litestar.post("/api/generate", status_code=200)
        async def generate(request: litestar.Request) -> litestar.Response:
            body = await request.json()
            full = self.running >= PLACES
            if self.sleeps() or full or self.chance.random() < self.faults.put_back:
                self.counts["put back"] += 1
                self.counts["put back as full"] += full
                return litestar.Response({"put_back": True}, status_code=503)
            self.ran[body["request"]] += 1
            self.count_energy()
            self.running += 1
            self.seen.append({**body, "at": clock.now().total_seconds()})
            if self.chance.random() < self.faults.lose_answer:
                self.counts["answers lost"] += 1
                self.count_energy()
                self.running -= 1
                return litestar.Response({"lost": True}, status_code=500)
            return litestar.response.Stream(self.generate(body), media_type="application/x-ndjson")

        @litestar.get("/api/report", sync_to_thread=False)
        def report() -> dict:
            self.counts["reports read"] += 1
            self.counts["reports read asleep"] += self.asleep
            return self.report()

        @litestar.post("/api/orders", status_code=200)
        async def orders(request: litestar.Request) -> litestar.Response:
            status, shown = await self.order(await request.json())
            return litestar.Response(shown, status_code=status)

        @litestar.post("/api/rest", status_code=200)
        async def rest(request: litestar.Request) -> litestar.Response:
            asleep = bool((await request.json())["asleep"])
            if not asleep and self.chance.random() < self.faults.wake_fails:
                return litestar.Response({"error": "does not wake"}, status_code=500)
            return litestar.Response(self.rest(asleep))

        return [generate, report, orders, rest]


class PlainWorker:
    """A plain worker for notices, images and signalling; counts what it ran."""

    def __init__(self, name: str, services: tuple[str, ...], chance: random.Random, faults: Faults | None = None):
        self.name = name
        self.services = services
        self.chance = chance
        self.faults = faults or Faults()
        self.answer = None
        self.ran: collections.Counter = collections.Counter()
        self.seen: list[dict] = []
        self.counts: collections.Counter = collections.Counter()

    def row(self, url: str, leaving: bool = False) -> dict:
        """This worker's row in the platform's list."""
        return {
            "name": self.name,
            "url": url,
            "kind": "plain",
            "services": list(self.services),
            "leaving": leaving,
            "places": 16,
        }

    def handlers(self) -> list:
        """The pages that a plain worker serves."""

        @litestar.post("/api/run", status_code=200)
        async def run(request: litestar.Request) -> litestar.Response:
            body = await request.json()
            if self.chance.random() < self.faults.put_back:
                self.counts["put back"] += 1
                return litestar.Response({"put_back": True}, status_code=503)
            self.ran[body["request"]] += 1
            self.seen.append({**body, "at": clock.now().total_seconds()})
            await clock.sleep(PIECE)
            if self.chance.random() < self.faults.lose_answer:
                self.counts["answers lost"] += 1
                return litestar.Response({"lost": True}, status_code=500)
            return litestar.Response(
                {
                    "request": body["request"],
                    "done": True,
                    "answer": self.answer or {"by": self.name, "service": body["service"]},
                }
            )

        return [run]


def line(shown: dict) -> bytes:
    """One line of a stream."""
    return json.dumps(shown).encode() + b"\n"


def answer_words(body: dict) -> list[str]:
    """What a model says: a digest of all it was given, and a tool call if the input asks for one."""
    given = json.dumps([body["history"], body["input"]])
    mark = format(sum(given.encode()) % 65536, "04x")
    words = [f"{body['model']}", f" turn {body['turn']}", f" mark {mark}"]
    wanted = str(body["input"]).partition("calls ")[2].split(" ")[0]
    if wanted:
        words += ["<call", ' model="', wanted, '">']
    if str(body["input"]).startswith("long"):
        words += [" and so on"] * body["max_output"]
    return words
