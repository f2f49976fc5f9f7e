"""The platform's list of workers: read by one node of the fleet, and told to all others through the relay tree."""

import collections.abc
import datetime
import json

import logbook

from aspencroft.configuration import control_state
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.leadership import singleton_role
from aspencroft.node import node, settings, timing_check
from aspencroft.proxy import instance, instances
from aspencroft.runtime import clock, events, supervision

LOG = logbook.Logger("workers.list_reader")
TOPIC, READ = "workers", "workers read"
PERIOD = clock.seconds(0.6)
CALM_PERIOD = timing_check.WORKER_LIST_PERIOD
CALM = clock.seconds(4)
BEAT = clock.seconds(1.2)
MOST_PAUSE = clock.seconds(5)
MOST_PAUSE_UNREACHED = clock.seconds(1.2)
STALE = clock.seconds(2.5)
FIRST = clock.seconds(0.2)
READ_COST = clock.seconds(0.05)
SHARE = 0.5
MOST_DOUBLINGS, MOST_DOUBLINGS_UNREACHED = 3, 1
EPOCH_UNIT = 1 << 32

Lister = collections.abc.Callable[[], collections.abc.Awaitable[list[instance.Instance]]]
ReadCost = collections.abc.Callable[[], datetime.timedelta]


def read_cost() -> datetime.timedelta:
    """For how long one whole read takes up the rate at which the platform answers all nodes.

    When nothing is known of it.

    Example: ``read_cost() == READ_COST``
    """
    return READ_COST


def told(found: collections.abc.Iterable[instance.Instance]) -> str:
    """The list as it goes down the relay tree."""
    return json.dumps(
        [
            [
                one.name,
                one.address,
                one.service,
                one.zone,
                one.version,
                one.slots,
                int(one.draining),
                round(one.cold.total_seconds() * 1000),
            ]
            for one in found
        ],
        separators=(",", ":"),
    )


def heard(body: str) -> list[instance.Instance]:
    """The list that came down the relay tree.

    Example: ``heard("[]") == []``
    """
    return [
        instance.Instance(name, address, service, zone, version, slots, bool(draining), clock.seconds(cold / 1000))
        for name, address, service, zone, version, slots, draining, cold in json.loads(body)
    ]


def matter(found: collections.abc.Iterable[instance.Instance]) -> frozenset:
    """What of a list makes a difference: all but how long exactly a cold worker stays slow."""
    return frozenset(
        (
            one.name,
            one.address,
            one.service,
            one.zone,
            one.version,
            one.slots,
            one.draining,
            one.cold > clock.ZERO,
        )
        for one in found
    )


def rate_spent(refusal: result.RequestError) -> bool:
    """Whether a read was refused because all nodes together read too often."""
    return refusal.result is result.ResultCode.OVERLOADED


def report_unreadable(address: str, refusal: result.RequestError) -> None:
    """Log that the list could not be read."""
    events.report(
        LOG,
        events.EventFields(events.Event.WORKER_LIST_UNREADABLE, member=address, reason=str(refusal.result.number)),
        "list of workers not read by {}: {}",
        address,
        refusal,
    )


def report_read_again(address: str, failures: int) -> None:
    """Log that the list was read after failures."""
    events.report(
        LOG,
        events.EventFields(events.Event.WORKER_LIST_READ_AGAIN, member=address),
        "list of workers read again by {}, after {} failed reads",
        address,
        failures,
    )


def report_change(address: str, found: list[instance.Instance]) -> None:
    """Log that the list changed."""
    events.report(
        LOG,
        events.EventFields(events.Event.WORKER_LIST_CHANGED, member=address),
        "list of workers changed: {} listed, {} draining",
        len(found),
        sum(one.draining for one in found),
    )


class ListReader:
    """The duty's work: read the list again and again, tell it when it changed, and now and then that it did not.

    Each read is priced: a list that did not change for a while is read a little more seldom. A reader that
    is refused for its rate waits longer each time; one that does not reach the platform looks again soon,
    as workers may
    have begun to leave once it is back.
    """

    def __init__(
        self,
        own: node.Node,
        lister: Lister,
        cost: ReadCost = read_cost,
        period: datetime.timedelta = PERIOD,
        calm_period: datetime.timedelta = CALM_PERIOD,
    ):
        self.node = own
        self.lister = lister
        self.cost = cost
        self.period = period
        self.calm_period = max(period, calm_period)
        self.duty = singleton_role.SingletonRole(
            "workers", own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit, settings.CORE
        )
        own.singleton_roles["workers"] = self.duty
        self.shown: frozenset | None = None
        self.changed = clock.ZERO
        self.revision = control_state.NEVER
        self.beaten = clock.ZERO
        self.refused = 0
        self.most_pause = MOST_PAUSE
        self.counts = {"list reads": 0, "list refusals": 0, "list changes": 0}

    async def run(self) -> None:
        """Compete for the duty and do it while it is held."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("workers duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("workers list", self.work, self.node.standing))

    async def work(self) -> None:
        """Read while the duty is held; how long until the next read depends on what was found."""
        while True:
            began = clock.now()
            if not self.duty.has_lease():
                self.shown = None
                await clock.sleep(self.period / 4)
                continue
            await self.step(began)
            await clock.sleep(self.wait() - (clock.now() - began))

    def wait(self) -> datetime.timedelta:
        """The time from one read to the next."""
        if self.refused:
            pause = min(self.most_pause, self.period * 2 ** min(self.refused, 8))
        else:
            pause = self.calm_period if clock.now() - self.changed > CALM else self.period
        return max(pause, self.cost() / SHARE)

    async def step(self, now: datetime.timedelta) -> None:
        """Read once, and tell what is to be told."""
        self.counts["list reads"] += 1
        try:
            found = await self.lister()
        except result.RequestError as refusal:
            self.refused += 1
            self.most_pause = MOST_PAUSE if rate_spent(refusal) else MOST_PAUSE_UNREACHED
            self.counts["list refusals"] += 1
            report_unreadable(self.node.address, refusal)
            return
        if self.refused:
            report_read_again(self.node.address, self.refused)
        self.refused = 0
        shown = matter(found)
        if shown != self.shown:
            told_now = await self.publish(TOPIC, told(sorted(found, key=lambda one: one.name)))
            if told_now is None:
                return
            self.revision, self.shown, self.changed = told_now, shown, now
            self.counts["list changes"] += 1
            report_change(self.node.address, found)
            self.beaten = clock.ZERO
        if now - self.beaten >= BEAT and await self.publish(READ, json.dumps([self.revision.text()])) is not None:
            self.beaten = now

    async def publish(self, topic: str, body: str) -> control_state.Revision | None:
        """Give a topic's new state to the root of the relay tree; its revision if the root took it."""
        holders = self.node.failure_detector.records.get(0)
        if holders is None or not self.duty.has_lease():
            return None
        known = self.node.relay.topics.get(topic)
        number = max(self.duty.epoch * EPOCH_UNIT, known.revision.number if known else 0, self.revision.number) + 1
        one = updates.Update(topic, control_state.Revision(self.duty.epoch, number), None, body)
        try:
            await self.node.link.request(holders.primary.address, updates.Publish(one), clock.seconds(1))
        except result.RequestError as refusal:
            LOG.info("publishing {}: {}", topic, refusal)
            return None
        return one.revision


class Watch:
    """An edge's way to the list: the relay tree's word, or a read of its own when that stays away too long.

    ``cost`` says for how long one read takes up the rate that the platform grants all nodes together.
    """

    def __init__(
        self,
        own: node.Node,
        known: instances.Instances,
        lister: Lister,
        cost: ReadCost = read_cost,
    ):
        self.node = own
        self.instances = known
        self.lister = lister
        self.cost = cost
        self.taken: updates.Update | None = None
        self.counted: updates.Update | None = None
        self.next_read = clock.ZERO
        self.refused = 0
        self.counts = {"own list reads": 0}

    async def run(self) -> None:
        """Follow the topic; read the list oneself when it is stale, or did not come with the plan."""
        await self.begin()
        async with supervision.Group() as group:
            group.create_task(supervision.stand("workers follow", lambda: self.follow(TOPIC), self.node.standing))
            group.create_task(supervision.stand("workers beat", lambda: self.follow(READ), self.node.standing))
            group.create_task(supervision.stand("workers fallback", self.fall_back, self.node.standing))

    async def begin(self) -> None:
        """Wait for the plan, and a moment more for the list, which comes with it when some node reads it already.

        After a stop of all nodes who reads has to be agreed on first, and an edge cannot serve so long without the
        list. Where the plan itself stays away, the list is read meanwhile, so that both are there together; but not at
        the very first start, when nobody calls yet.
        """
        patience = STALE if self.node.settings.first_start else self.first_pause()
        limit = clock.now() + patience
        while not self.node.relay.current() and clock.now() < limit:
            await clock.sleep(FIRST / 8)
        self.next_read = clock.now()
        if self.node.relay.current() or self.node.settings.first_start:
            self.next_read += self.first_pause()

    def first_pause(self) -> datetime.timedelta:
        """How long to wait for the list before reading it oneself; not the same on all edges."""
        return FIRST * (1 + self.node.environment.randomness.random())

    async def follow(self, topic: str) -> None:
        """Take what the relay tree brings of a topic, each time that it changes."""
        while True:
            self.take()
            await self.node.relay.wait_for_change(topic)

    def take(self) -> None:
        """Take what the relay tree brought."""
        now = clock.now()
        held, beat = self.node.relay.topics.get(TOPIC), self.node.relay.topics.get(READ)
        if held is not None and held is not self.taken:
            self.taken = held
            self.instances.update(heard(held.body), now)
        if beat is not None and beat is not self.counted:
            self.counted = beat
            if held is not None and json.loads(beat.body) == [held.revision.text()]:
                self.instances.confirm(now)

    async def fall_back(self) -> None:
        """Read the list oneself while no word of it came for too long."""
        while True:
            await clock.sleep(PERIOD / 2 if self.instances.listed else FIRST / 2)
            age, now = self.instances.age(), clock.now()
            if now < self.next_read or (age is not None and age < STALE):
                continue
            nodes = max(1, len(self.node.failure_detector.live()))
            self.counts["own list reads"] += 1
            try:
                found = await self.lister()
                if self.refused:
                    report_read_again(self.node.address, self.refused)
                self.refused = 0
                self.instances.update(found, now)
            except result.RequestError as refusal:
                most = MOST_DOUBLINGS if rate_spent(refusal) else MOST_DOUBLINGS_UNREACHED
                self.refused = min(self.refused + 1, most)
                report_unreadable(self.node.address, refusal)
            span = max(CALM_PERIOD, nodes * self.cost() / SHARE)
            span *= self.node.environment.randomness.uniform(0.7, 1.3) * 2**self.refused
            self.next_read = clock.now() + span
