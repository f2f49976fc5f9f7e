"""The residency duty: turns intent into what each model worker keeps, offloads and restores."""

import asyncio
import dataclasses
import datetime
import json
import math

import logbook

from aspencroft.configuration import control_state, resources
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member
from aspencroft.node import node
from aspencroft.residency import candidate, keep_plan, messages, selection, signals, tap
from aspencroft.runtime import clock, supervision
from aspencroft.workers import adapter, worker

LOG = logbook.Logger("residency.residency")
TOPIC = "keeps"
WINDOW = clock.seconds(10)
RESOLVE = clock.seconds(0.5)
PROBE = clock.seconds(0.25)
LIST = clock.seconds(0.5)
LIVE = clock.seconds(3)
ORDERED = clock.seconds(1.5)
REPLICA = 4.0
FARTHEST = 100
MOST_KV = 200
EPOCH_UNIT = 1 << 32


@dataclasses.dataclass
class Belief:
    """What the duty believes a worker holds: its reports, overlaid by newer orders and first tokens."""

    kept: dict[str, adapter.Kept] = dataclasses.field(default_factory=dict)
    ordered: dict[str, datetime.timedelta] = dataclasses.field(default_factory=dict)
    memory: int = 0
    known: bool = False
    reports: int = 0
    busy: int = 0

    def take(self, report: adapter.Report, now: datetime.timedelta) -> None:
        """Take a report, except for what was ordered so lately that the report may be older."""
        late = {name for name, end in self.ordered.items() if end > now}
        self.ordered = {name: end for name, end in self.ordered.items() if end > now}
        fresh = {one.name: one for one in report.kept if one.name not in late}
        fresh.update({name: one for name, one in self.kept.items() if name in late})
        self.kept, self.memory, self.known = fresh, report.memory, True
        self.reports, self.busy = self.reports + 1, sum(one.busy for one in report.kept)

    def ordered_now(self, step: keep_plan.Step, sizes: dict[str, int], now: datetime.timedelta) -> None:
        """Believe that an order taken by the worker is under way."""
        for name in step.release:
            self.kept.pop(name, None)
        for name in step.offload:
            self.kept[name] = dataclasses.replace(self.kept[name], place=keep_plan.OFFLOADING)
        for name in (*step.load, *step.restore):
            tokens = self.kept[name].tokens if name in self.kept else 0
            self.kept[name] = adapter.Kept(name, sizes[name], tokens, keep_plan.LOADING, 0)
        for name in (*step.release, *step.offload, *step.load, *step.restore):
            self.ordered[name] = now + ORDERED


class Residency:
    """The work of the duty's holder; all it knows is heard or read anew, so it may move at any time."""

    def __init__(self, own: node.Node, back: adapter.Adapter):
        self.node = own
        self.adapter = back
        self.duty = singleton_role.SingletonRole(
            "residency", own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit
        )
        own.singleton_roles["residency"] = self.duty
        self.signals = signals.Signals()
        self.beliefs: dict[str, Belief] = {}
        self.workers: tuple[worker.Worker, ...] = ()
        self.keeps: dict[str, keep_plan.KeepPlan] = {}
        self.hurry = asyncio.Event()
        self.number = 0
        self.published: tuple[str, datetime.timedelta] = ("", clock.ZERO)
        self.counts = {"probes": 0, "orders": 0, "orders refused": 0, "intents": 0, "solved": 0}

    async def run(self) -> None:
        """Compete for the duty; while it is held hear, probe, solve, order and publish."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("residency duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("residency hear", self.hear, self.node.standing))
            group.create_task(supervision.stand("residency read_list", self.read_list, self.node.standing))
            group.create_task(supervision.stand("residency probe", self.probe, self.node.standing))
            group.create_task(supervision.stand("residency solve", self.solve, self.node.standing))

    async def hear(self) -> None:
        """Take word from edges: calls served and intents locked."""
        while True:
            message = await self.duty.inbox.get()
            now = clock.now()
            if isinstance(message, messages.Intended):
                self.counts["intents"] += 1
                self.signals.intend(message.program, tap.Intent(message.models), now)
                self.hurry.set()
            elif isinstance(message, messages.Called):
                self.signals.called(message.program, message.service, now)
                self.note_served(message)

    def note_served(self, message: messages.Called) -> None:
        """A served call shows that the worker holds the model, and the program's KV."""
        service = self.node.relay.configuration.services.get(message.service)
        belief = self.beliefs.get(message.worker)
        if service is None or belief is None or service.kind != worker.MODEL:
            return
        name = keep_plan.key(candidate.ADAPTER if service.base else candidate.MODEL, service.name)
        if name not in belief.kept or belief.kept[name].place != keep_plan.DEVICE:
            belief.kept[name] = adapter.Kept(name, service.size, 0, keep_plan.DEVICE, 0)

    async def read_list(self) -> None:
        """Read the platform's list while the duty is held."""
        while True:
            if self.duty.has_lease() and self.node.settings.workers:
                try:
                    self.workers = await self.adapter.workers(self.node.settings.workers)
                except result.RequestError as refusal:
                    LOG.info("{}", refusal)
            await clock.sleep(LIST)

    def models(self, state: str) -> list[worker.Worker]:
        """The model workers that are not leaving, without those of the quiet list: all, or those asleep."""
        leaving = self.node.relay.configuration.leaving
        held = self.node.relay.topics.get("quiet")
        without = json.loads(held.body).get(state, ()) if held is not None else ()
        return [
            one
            for one in self.workers
            if one.kind == worker.MODEL and not one.leaving and one.name not in leaving and one.name not in without
        ]

    async def probe(self) -> None:
        """Read one worker's report at a time, on a budget: a report is priced as a probe.

        The rest duty reads none: what it must know of machines that it empties is published here.
        """
        place = 0
        while True:
            await clock.sleep(PROBE)
            found = self.models("asleep")
            if not self.duty.has_lease() or not found:
                continue
            place = (place + 1) % len(found)
            target = found[place]
            self.counts["probes"] += 1
            try:
                report = await self.adapter.report(target)
                self.beliefs.setdefault(target.name, Belief()).take(report, clock.now())
            except result.RequestError as refusal:
                LOG.info("report of {}: {}", target.name, refusal)

    async def solve(self) -> None:
        """Solve for every worker now and then, at once after an intent; order, then publish."""
        while True:
            try:
                async with clock.limit(RESOLVE):
                    await self.hurry.wait()
            except TimeoutError:
                pass
            asked = self.hurry.is_set()
            self.hurry.clear()
            if not self.duty.has_lease():
                self.beliefs, self.keeps, self.published = {}, {}, ("", clock.ZERO)
                continue
            if self.node.control("hold_moves", False) and not asked and self.keeps:
                await self.publish()
                continue
            steps = self.decide(clock.now())
            async with supervision.Group() as group:
                for target, step in steps:
                    group.create_task(self.order(target, step))
            await self.publish()

    def decide(self, now: datetime.timedelta) -> list[tuple[worker.Worker, keep_plan.Step]]:
        """The target set and next orders of each worker whose report was read."""
        current = self.node.relay.configuration
        allowed = frozenset(name for lane in current.lanes.values() for name in lane.services)
        services = tuple(sorted(name for name in allowed if current.services[name].kind == worker.MODEL))
        chances = {name: self.signals.reuse(name, services, WINDOW, now) for name in services}
        targets = self.models("workers")
        copies = {name: self.places(name, targets) for name in services}
        steps, self.keeps = [], {}
        self.counts["solved"] += 1
        for target in targets:
            belief = self.beliefs.get(target.name)
            if belief is None or not belief.known:
                continue
            keep, sizes = self.target(target, belief, current, chances, copies, now)
            self.keeps[target.name] = keep
            step = keep_plan.step(
                belief.kept,
                {name: sizes[name] for name in keep.target},
                frozenset(keep.protected),
                belief.memory,
            )
            if not step.empty() and not keep.shortfall:
                steps.append((target, step))
                belief.ordered_now(step, sizes, now)
        return steps

    def places(self, name: str, targets: list[worker.Worker]) -> dict[str, int]:
        """Which copy of a model each worker would keep: holders first, then by an agreed lot."""

        def rank(one: worker.Worker) -> tuple:
            belief = self.beliefs.get(one.name)
            holds = belief is not None and any(
                keep_plan.key(kind, name) in belief.kept for kind in (candidate.MODEL, candidate.ADAPTER)
            )
            return not holds, cluster_member.position(f"{name} {one.name}")

        able = sorted((one for one in targets if name in one.services), key=rank)
        return {one.name: place for place, one in enumerate(able)}

    def target(
        self,
        target: worker.Worker,
        belief: Belief,
        current: resources.Configuration,
        chances: dict[str, float],
        copies: dict[str, dict[str, int]],
        now: datetime.timedelta,
    ) -> tuple[keep_plan.KeepPlan, dict[str, int]]:
        """One worker's joint selection of models, adapters and parked KV beside what is protected.

        A model that other workers are to hold already counts for less here, as calls prefer holders.
        """
        protected = {
            name: one.size
            for name, one in belief.kept.items()
            if one.place != keep_plan.HOST
            and (one.busy or one.place in (keep_plan.LOADING, keep_plan.OFFLOADING) or self.live(name, now))
        }
        candidates, sizes = [], dict(protected)
        for name, chance in chances.items():
            service = current.services[name]
            kind = candidate.ADAPTER if service.base else candidate.MODEL
            if name not in target.services or keep_plan.key(kind, name) in protected:
                continue
            place = copies[name][target.name]
            share = 1.0 - math.exp(math.log1p(-min(chance, 0.9999)) / REPLICA ** min(place, FARTHEST))
            cost = candidate.reload_cost(service.size, candidate.WEIGHT_STARTUP) + service.startup
            candidates.append(candidate.Candidate(kind, name, service.size, share, cost, service.base))
        parked = [one for name, one in belief.kept.items() if name.startswith(candidate.KV) and name not in protected]
        for one in sorted(parked, key=lambda part: -part.tokens)[:MOST_KV]:
            program = one.name.partition(":")[2]
            candidates.append(
                candidate.Candidate(
                    candidate.KV,
                    program,
                    one.size,
                    self.signals.returns(program, WINDOW, now),
                    candidate.recovery_cost(one.tokens, one.place == keep_plan.HOST),
                    "",
                )
            )
        kv_bytes = sum(size for name, size in protected.items() if name.startswith(candidate.KV))
        weight_bytes = sum(protected.values()) - kv_bytes
        chosen = selection.select(
            tuple(candidates),
            belief.memory,
            weight_bytes,
            kv_bytes,
            frozenset(name.partition(":")[2] for name in protected),
        )
        wanted = keep_plan.wanted_of(chosen, protected)
        sizes.update(wanted)
        ready = tuple(sorted(name for name, one in belief.kept.items() if one.place == keep_plan.DEVICE))
        keep = keep_plan.KeepPlan(target.name, tuple(wanted), ready, tuple(sorted(protected)), chosen.shortfall)
        return keep, sizes

    def live(self, name: str, now: datetime.timedelta) -> bool:
        """Whether parked KV belongs to a program that spoke just now."""
        kind, _, program = name.partition(":")
        session = self.signals.sessions.get(program) if kind == candidate.KV else None
        return session is not None and now - session.seen < LIVE

    async def order(self, target: worker.Worker, step: keep_plan.Step) -> None:
        """Send one order under the duty's epoch; a worker that refuses the epoch ends the duty here."""
        if not self.duty.has_lease():
            return
        self.number += 1
        order = adapter.Order(self.duty.epoch, self.number, step.release, step.offload, step.load, step.restore)
        self.counts["orders"] += 1
        try:
            await self.adapter.order(target, order)
        except result.RequestError as refusal:
            self.counts["orders refused"] += 1
            if refusal.result is result.ResultCode.LOWER_EPOCH:
                self.duty.end_lease()
            belief = self.beliefs[target.name]
            for name in (*step.release, *step.offload, *step.load, *step.restore):
                belief.ordered.pop(name, None)
            belief.known = False

    async def publish(self) -> None:
        """Give the keep plan to the root of the relay tree when it changed, or now and then."""
        workers = {
            name: {
                "target": list(one.target),
                "ready": list(one.ready),
                "protected": list(one.protected),
                "shortfall": one.shortfall,
            }
            for name, one in sorted(self.keeps.items())
        }
        at_work = {one.name for one in self.models("workers")}
        emptying = {
            one.name: {"reports": self.beliefs[one.name].reports, "busy": self.beliefs[one.name].busy}
            for one in self.models("asleep")
            if one.name not in at_work and one.name in self.beliefs
        }
        body = json.dumps(
            {"holder": self.node.address, "epoch": self.duty.epoch, "workers": workers, "emptying": emptying}
        )
        now = clock.now()
        if body == self.published[0] and now - self.published[1] < 4 * RESOLVE:
            return
        self.published = (body, now)
        await publish(self.node, self.duty, TOPIC, body)


async def publish(own: node.Node, held: singleton_role.SingletonRole, topic: str, body: str) -> None:
    """Give a topic's new state to the root, under a revision that grows with the duty's epoch."""
    holders = own.failure_detector.records.get(0)
    if holders is None or not held.has_lease():
        return
    known = own.relay.topics.get(topic)
    number = max(held.epoch * EPOCH_UNIT, known.revision.number if known else 0) + 1
    one = updates.Update(topic, control_state.Revision(held.epoch, number), None, body)
    try:
        await own.link.request(holders.primary.address, updates.Publish(one), clock.seconds(1))
    except result.RequestError as refusal:
        LOG.info("publishing {}: {}", topic, refusal)
