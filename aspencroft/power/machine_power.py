"""The power role: drains machines, lets them sleep when traffic allows it, and wakes them on load."""

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
DRAIN_TIME = clock.seconds(3)
INITIAL_WAKE_TIME = clock.seconds(3)
TREND_STEPS = 6


class MachinePower:
    """The work of the role's holder.

    A machine on the quiet list first gets no new calls. It is put to sleep after its drain time, once a report that
    the residency role read after that shows nothing in flight. A machine that is needed stays on the list until it
    reports that it is awake; the wake order is repeated in each step until then, and while a machine fails to wake,
    another one is woken as well. A new holder continues from the published list.
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
        self.demands: collections.deque[float] = collections.deque(maxlen=TREND_STEPS)
        self.wake_time = INITIAL_WAKE_TIME
        self.changed = clock.ZERO
        self.started = clock.ZERO
        self.step_requested = asyncio.Event()
        self.counts = {"slept": 0, "woken": 0, "orders failed": 0}

    async def run(self) -> None:
        """Compete for the role and do its work while holding it."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("rest duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("rest hear", self.hear, self.node.standing))
            group.create_task(supervision.stand("rest work", self.work, self.node.standing))

    async def hear(self) -> None:
        """Receive messages from edges: how long workers were busy, and which sleeping workers are needed."""
        while True:
            message = await self.duty.inbox.get()
            if isinstance(message, messages.Called):
                self.served.append((clock.now(), message.worker, message.took.total_seconds()))
            elif isinstance(message, messages.Wanted):
                self.wanted.add(message.worker)
                self.step_requested.set()

    async def work(self) -> None:
        """Do one step per second, or at once if a sleeping machine is needed."""
        while True:
            try:
                async with clock.limit(STEP):
                    await self.step_requested.wait()
            except TimeoutError:
                pass
            self.step_requested.clear()
            if not self.duty.has_lease():
                self.started = clock.ZERO
                continue
            try:
                await self.step(clock.now())
            except result.RequestError as refusal:
                LOG.info("power step failed: {}", refusal)

    def take_over(self, now: datetime.timedelta) -> None:
        """Continue from the published list; a new holder first collects load for a whole window."""
        published = self.node.relay.topics.get(TOPIC)
        content = json.loads(published.body) if published is not None else {}
        self.quiet, self.asleep = frozenset(content.get("workers", ())), set(content.get("asleep", ()))
        self.since = dict.fromkeys(self.quiet, now)
        self.waking, self.marks, self.started, self.changed = {}, {}, now, now
        self.demands.clear()

    async def step(self, now: datetime.timedelta) -> None:
        """Compute the next quiet list, publish it, then wake machines or put them to sleep."""
        if self.started == clock.ZERO:
            self.take_over(now)
        while self.served and now - self.served[0][0] > WINDOW:
            self.served.popleft()
        workers = await self.adapter.workers(self.node.settings.workers) if self.node.settings.workers else ()
        targets = {found_worker.name: found_worker for found_worker in workers if found_worker.kind == worker.MODEL}
        leaving = {
            found_worker.name for found_worker in workers if found_worker.leaving
        } | self.node.relay.configuration.leaving
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
        """Compute the next quiet list and the machines to wake."""
        busy_seconds = collections.Counter()
        for _, name, seconds in self.served:
            busy_seconds[name] += seconds
        machines = tuple(
            sleeping_machines.Machine(machine.name, machine.services, machine.places, busy_seconds[machine.name])
            for machine in targets.values()
            if machine.name not in leaving
        )
        names = {machine.name for machine in machines}
        self.asleep &= set(targets)
        self.waking = {name: failures for name, failures in self.waking.items() if name in self.quiet & names}
        quiet_targets = (self.quiet & names) - set(self.waking)
        awake = tuple(machine for machine in machines if machine.name not in self.quiet)
        self.demands.append(sleeping_machines.demand(awake, WINDOW))
        wanted = frozenset(self.wanted) & self.quiet
        self.wanted.clear()
        may_grow = now - max(self.changed, self.started) > sleeping_machines.MIN_STABLE_TIME and not self.waking
        if self.node.control("keep_awake", False):
            wanted |= self.quiet
        may_grow = (
            may_grow and not self.node.control("hold_moves", False) and not self.node.control("keep_awake", False)
        )
        next_quiet = sleeping_machines.next_list(
            machines,
            quiet_targets,
            wanted,
            WINDOW,
            may_grow,
            sleeping_machines.forecast(tuple(self.demands), STEP, self.wake_time),
        )
        woken = quiet_targets - next_quiet
        if any(failures > 0 for failures in self.waking.values()) and not woken:
            woken = frozenset(sorted(quiet_targets)[:1])
        for name in woken:
            self.waking.setdefault(name, 0)
        newly_quiet = next_quiet - self.quiet
        if woken or newly_quiet:
            self.changed = now
        self.since.update(dict.fromkeys(newly_quiet, now))
        self.quiet = (next_quiet - woken) | set(self.waking) | (self.asleep - names)

    async def wake(self, target: worker.Worker) -> None:
        """Order a machine to wake; it leaves the quiet list once it reports that it is awake."""
        if not self.duty.has_lease():
            return
        try:
            time_left = await self.adapter.set_asleep(target, False)
        except result.RequestError as refusal:
            self.counts["orders failed"] += 1
            self.waking[target.name] += 1
            LOG.info("waking machine {} failed, retrying in the next step: {}", target.name, refusal)
            return
        self.wake_time = max(self.wake_time, time_left)
        self.waking[target.name] = 0
        self.asleep.discard(target.name)
        if time_left <= clock.ZERO:
            self.counts["woken"] += 1
            del self.waking[target.name]
            self.quiet -= {target.name}
            self.marks.pop(target.name, None)

    def emptied(self, name: str, now: datetime.timedelta) -> bool:
        """Whether a machine's drain time is over and a report read after that shows nothing in flight."""
        published = self.node.relay.topics.get(residency.TOPIC)
        content = json.loads(published.body) if published is not None else {}
        report = content.get("emptying", {}).get(name)
        if report is None or now - self.since[name] <= DRAIN_TIME:
            return False
        mark = (content["epoch"], report["reports"])
        return self.marks.setdefault(name, mark) != mark and report["busy"] == 0

    async def put_to_sleep(self, target: worker.Worker) -> None:
        """Put a drained machine to sleep."""
        if not self.duty.has_lease():
            return
        try:
            await self.adapter.set_asleep(target, True)
            self.asleep.add(target.name)
            self.counts["slept"] += 1
        except result.RequestError as refusal:
            self.counts["orders failed"] += 1
            LOG.info("putting machine {} to sleep failed: {}", target.name, refusal)

    async def publish(self) -> None:
        """Send the list to the root of the relay tree if it changed."""
        body = json.dumps(
            {
                "holder": self.node.address,
                "epoch": self.duty.epoch,
                "workers": sorted(self.quiet),
                "asleep": sorted(self.asleep),
            }
        )
        published = self.node.relay.topics.get(TOPIC)
        if published is None or published.body != body:
            await residency.publish(self.node, self.duty, TOPIC, body)
