"""The rest duty: empties machines, lets them sleep when traffic allows, wakes them on load."""

import asyncio
import collections
import datetime
import json

import logbook

from aspencroft.errors import result
from aspencroft.leadership import singleton_role
from aspencroft.node import node
from aspencroft.power import sleeping_machines
from aspencroft.residency import messages, residency
from aspencroft.runtime import clock, supervision
from aspencroft.workers import adapter, worker

LOG = logbook.Logger("power.machine_power")
TOPIC = "quiet"
WINDOW = clock.seconds(10)
STEP = clock.seconds(1)
EMPTYING = clock.seconds(3)
FIRST_WAKE = clock.seconds(3)
TREND = 6


class Rest:
    """The work of the duty's holder.

    A machine on the quiet list first gets no new calls; it is put to sleep once it had time to empty and a
    report that the residency duty read afterwards shows nothing in flight. A machine that is needed stays on
    the list until it says that it is awake; the order to wake is said again each step until then, and while
    one does not wake another is woken besides. A new holder goes on from the list that was published.
    """

    def __init__(self, own: node.Node, back: adapter.Adapter):
        self.node = own
        self.adapter = back
        self.duty = singleton_role.SingletonRole(
            "rest", own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit
        )
        own.singleton_roles["rest"] = self.duty
        self.served: collections.deque[tuple[datetime.timedelta, str, float]] = collections.deque()
        self.wanted: set[str] = set()
        self.quiet: frozenset[str] = frozenset()
        self.since: dict[str, datetime.timedelta] = {}
        self.asleep: set[str] = set()
        self.waking: dict[str, int] = {}
        self.marks: dict[str, tuple[int, int]] = {}
        self.demands: collections.deque[float] = collections.deque(maxlen=TREND)
        self.wake_time = FIRST_WAKE
        self.changed = clock.ZERO
        self.started = clock.ZERO
        self.hurry = asyncio.Event()
        self.counts = {"slept": 0, "woken": 0, "orders failed": 0}

    async def run(self) -> None:
        """Compete for the duty and do it while it is held."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("rest duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("rest hear", self.hear, self.node.standing))
            group.create_task(supervision.stand("rest work", self.work, self.node.standing))

    async def hear(self) -> None:
        """Take word from edges: how long workers worked, and which sleeping ones are needed."""
        while True:
            message = await self.duty.inbox.get()
            if isinstance(message, messages.Called):
                self.served.append((clock.now(), message.worker, message.took.total_seconds()))
            elif isinstance(message, messages.Wanted):
                self.wanted.add(message.worker)
                self.hurry.set()

    async def work(self) -> None:
        """One step a second, at once when a sleeping machine is needed."""
        while True:
            try:
                async with clock.limit(STEP):
                    await self.hurry.wait()
            except TimeoutError:
                pass
            self.hurry.clear()
            if not self.duty.has_lease():
                self.started = clock.ZERO
                continue
            try:
                await self.step(clock.now())
            except result.RequestError as refusal:
                LOG.info("{}", refusal)

    def take_over(self, now: datetime.timedelta) -> None:
        """Go on from the published list; a new holder first listens for a whole window."""
        known = self.node.relay.topics.get(TOPIC)
        shown = json.loads(known.body) if known is not None else {}
        self.quiet, self.asleep = frozenset(shown.get("workers", ())), set(shown.get("asleep", ()))
        self.since = dict.fromkeys(self.quiet, now)
        self.waking, self.marks, self.started, self.changed = {}, {}, now, now
        self.demands.clear()

    async def step(self, now: datetime.timedelta) -> None:
        """Decide the list one step on, publish it, then wake or put to sleep."""
        if self.started == clock.ZERO:
            self.take_over(now)
        while self.served and now - self.served[0][0] > WINDOW:
            self.served.popleft()
        found = await self.adapter.workers(self.node.settings.workers) if self.node.settings.workers else ()
        targets = {one.name: one for one in found if one.kind == worker.MODEL}
        leaving = {one.name for one in found if one.leaving} | self.node.relay.configuration.leaving
        self.decide(now, targets, leaving)
        await self.publish()
        async with supervision.Group() as group:
            for name in sorted(self.waking):
                group.create_task(self.wake(targets[name]))
            for name in sorted(self.quiet - self.asleep - set(self.waking)):
                if self.emptied(name, now):
                    group.create_task(self.put_to_sleep(targets[name]))
        await self.publish()

    def decide(self, now: datetime.timedelta, targets: dict[str, worker.Worker], leaving: frozenset[str]) -> None:
        """The quiet list one step on, and which machines are to be woken."""
        worked = collections.Counter()
        for _, name, seconds in self.served:
            worked[name] += seconds
        machines = tuple(
            sleeping_machines.Machine(one.name, one.services, one.places, worked[one.name])
            for one in targets.values()
            if one.name not in leaving
        )
        names = {one.name for one in machines}
        self.asleep &= set(targets)
        self.waking = {name: tries for name, tries in self.waking.items() if name in self.quiet & names}
        listed = (self.quiet & names) - set(self.waking)
        awake = tuple(one for one in machines if one.name not in self.quiet)
        self.demands.append(sleeping_machines.demand(awake, WINDOW))
        wanted = frozenset(self.wanted) & self.quiet
        self.wanted.clear()
        calm = now - max(self.changed, self.started) > sleeping_machines.CALM and not self.waking
        if self.node.control("keep_awake", False):
            wanted |= self.quiet
        calm = calm and not self.node.control("hold_moves", False) and not self.node.control("keep_awake", False)
        fresh = sleeping_machines.next_list(
            machines,
            listed,
            wanted,
            WINDOW,
            calm,
            sleeping_machines.forecast(tuple(self.demands), STEP, self.wake_time),
        )
        woken = listed - fresh
        if any(tries > 0 for tries in self.waking.values()) and not woken:
            woken = frozenset(sorted(listed)[:1])
        for name in woken:
            self.waking.setdefault(name, 0)
        added = fresh - self.quiet
        if woken or added:
            self.changed = now
        self.since.update(dict.fromkeys(added, now))
        self.quiet = (fresh - woken) | set(self.waking) | (self.asleep - names)

    async def wake(self, target: worker.Worker) -> None:
        """Say that a machine is needed; it leaves the list once it says that it is awake."""
        if not self.duty.has_lease():
            return
        try:
            left = await self.adapter.set_asleep(target, False)
        except result.RequestError as refusal:
            self.counts["orders failed"] += 1
            self.waking[target.name] += 1
            LOG.info("waking {}: {}", target.name, refusal)
            return
        self.wake_time = max(self.wake_time, left)
        self.waking[target.name] = 0
        self.asleep.discard(target.name)
        if left <= clock.ZERO:
            self.counts["woken"] += 1
            del self.waking[target.name]
            self.quiet -= {target.name}
            self.marks.pop(target.name, None)

    def emptied(self, name: str, now: datetime.timedelta) -> bool:
        """Whether a machine had its time, and a report read after that shows nothing in flight."""
        known = self.node.relay.topics.get(residency.TOPIC)
        shown = json.loads(known.body) if known is not None else {}
        seen = shown.get("emptying", {}).get(name)
        if seen is None or now - self.since[name] <= EMPTYING:
            return False
        mark = (shown["epoch"], seen["reports"])
        return self.marks.setdefault(name, mark) != mark and seen["busy"] == 0

    async def put_to_sleep(self, target: worker.Worker) -> None:
        """Let a machine sleep that was drained."""
        if not self.duty.has_lease():
            return
        try:
            await self.adapter.set_asleep(target, True)
            self.asleep.add(target.name)
            self.counts["slept"] += 1
        except result.RequestError as refusal:
            self.counts["orders failed"] += 1
            LOG.info("putting {} to sleep: {}", target.name, refusal)

    async def publish(self) -> None:
        """Give the list to the root of the relay tree."""
        body = json.dumps(
            {
                "holder": self.node.address,
                "epoch": self.duty.epoch,
                "workers": sorted(self.quiet),
                "asleep": sorted(self.asleep),
            }
        )
        known = self.node.relay.topics.get(TOPIC)
        if known is None or known.body != body:
            await residency.publish(self.node, self.duty, TOPIC, body)
