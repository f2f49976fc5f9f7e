"""The platform's list of workers: read by one node of the fleet, and told to all others through the relay tree."""

import collections.abc
import datetime
import json

import logbook

from aspencroft.configuration import control_state
from aspencroft.distribution import updates
from aspencroft.errors import result
from aspencroft.leadership import duty
from aspencroft.node import node, settings
from aspencroft.proxy import instance, instances
from aspencroft.runtime import clock, supervision

LOG = logbook.Logger("workers")
TOPIC, READ = "workers", "workers read"
PERIOD = clock.seconds(0.6)
CALM_PERIOD = clock.seconds(1)
CALM = clock.seconds(4)
BEAT = clock.seconds(1.2)
MOST_PAUSE = clock.seconds(5)
STALE = clock.seconds(2.5)
FIRST = clock.seconds(0.2)
RATE = 20.0
SHARE = 0.5
EPOCH_UNIT = 1 << 32

Lister = collections.abc.Callable[[], collections.abc.Awaitable[list[instance.Instance]]]


def told(found: collections.abc.Iterable[instance.Instance]) -> str:
    """The list as it goes down the relay tree.

    Example: ``heard(told(found)) == found``
    """
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
    """What of a list makes a difference: all but how long exactly a cold worker stays slow.

    Example: ``matter(before) != matter(after)``
    """
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


class ListReader:
    """The duty's work: read the list again and again, tell it when it changed, and now and then that it did not.

    Each read is priced: a list that did not change for a while is read a little more seldom. A reader that
    is refused waits longer each time.

    Example: ``group.create_task(ListReader(own, lambda: instance_list.read(pool, address)).run())``
    """

    def __init__(
        self,
        own: node.Node,
        lister: Lister,
        period: datetime.timedelta = PERIOD,
        calm_period: datetime.timedelta = CALM_PERIOD,
    ):
        self.node = own
        self.lister = lister
        self.period = period
        self.calm_period = max(period, calm_period)
        self.duty = duty.Duty(
            "workers", own.address, own.incarnation, lambda: own.ring.peers, own.submit, settings.CORE
        )
        own.duties["workers"] = self.duty
        self.shown: frozenset | None = None
        self.changed = clock.ZERO
        self.revision = control_state.NEVER
        self.beaten = clock.ZERO
        self.refused = 0
        self.counts = {"list reads": 0, "list refusals": 0, "list changes": 0}

    async def run(self) -> None:
        """Compete for the duty and do it while it is held.

        Example: ``group.create_task(reader.run())``
        """
        async with supervision.Group() as group:
            group.create_task(supervision.stand("workers duty", self.duty.run, self.node.standing))
            group.create_task(supervision.stand("workers list", self.work, self.node.standing))

    async def work(self) -> None:
        """Read while the duty is held; how long until the next read depends on what was found.

        Example: ``group.create_task(reader.work())``
        """
        while True:
            began = clock.now()
            if not self.duty.held():
                self.shown = None
                await clock.sleep(self.period / 4)
                continue
            await self.step(began)
            await clock.sleep(self.wait() - (clock.now() - began))

    def wait(self) -> datetime.timedelta:
        """The time from one read to the next.

        Example: ``await moment.pause(reader.wait())``
        """
        if self.refused:
            return min(MOST_PAUSE, self.period * 2 ** min(self.refused, 8))
        return self.calm_period if clock.now() - self.changed > CALM else self.period

    async def step(self, now: datetime.timedelta) -> None:
        """Read once, and tell what is to be told.

        Example: ``await reader.step(moment.now())``
        """
        self.counts["list reads"] += 1
        try:
            found = await self.lister()
        except result.RequestError as refusal:
            self.refused += 1
            self.counts["list refusals"] += 1
            LOG.info("{}", refusal)
            return
        self.refused = 0
        shown = matter(found)
        if shown != self.shown:
            told_now = await self.publish(TOPIC, told(sorted(found, key=lambda one: one.name)))
            if told_now is None:
                return
            self.revision, self.shown, self.changed = told_now, shown, now
            self.counts["list changes"] += 1
            self.beaten = clock.ZERO
        if now - self.beaten >= BEAT and await self.publish(READ, json.dumps([self.revision.text()])) is not None:
            self.beaten = now

    async def publish(self, topic: str, body: str) -> control_state.Revision | None:
        """Give a topic's new state to the root of the relay tree; its revision if the root took it.

        Example: ``await reader.publish("workers", "[]")``
        """
        holders = self.node.ring.holdings.get(0)
        if holders is None or not self.duty.held():
            return None
        known = self.node.relay.topics.get(topic)
        number = max(self.duty.epoch * EPOCH_UNIT, known.revision.number if known else 0, self.revision.number) + 1
        one = updates.News(topic, control_state.Revision(self.duty.epoch, number), None, body)
        try:
            await self.node.link.ask(holders.primary.address, updates.Publish(one), clock.seconds(1))
        except result.RequestError as refusal:
            LOG.info("publishing {}: {}", topic, refusal)
            return None
        return one.revision


class Watch:
    """An edge's way to the list: the relay tree's word, or a read of its own when that stays away too long.

    ``rate`` gives the platform's bound on reads a second from all nodes together, which may change while it runs.

    Example: ``group.create_task(Watch(own, known, lister, rate=lambda: 44.0).run())``
    """

    def __init__(
        self,
        own: node.Node,
        known: instances.Instances,
        lister: Lister,
        rate: collections.abc.Callable[[], float] = lambda: RATE,
    ):
        self.node = own
        self.instances = known
        self.lister = lister
        self.rate = rate
        self.taken: updates.News | None = None
        self.counted: updates.News | None = None
        self.next_read = clock.ZERO
        self.refused = 0
        self.counts = {"own list reads": 0}

    async def run(self) -> None:
        """Follow the topic; read the list oneself when it is stale, or did not come with the plan.

        Example: ``group.create_task(watch.run())``
        """
        await self.begin()
        async with supervision.Group() as group:
            group.create_task(supervision.stand("workers follow", lambda: self.follow(TOPIC), self.node.standing))
            group.create_task(supervision.stand("workers beat", lambda: self.follow(READ), self.node.standing))
            group.create_task(supervision.stand("workers fallback", self.fall_back, self.node.standing))

    async def begin(self) -> None:
        """Wait for the plan, and a moment more for the list, which comes with it when some node reads it already.

        After a stop of all nodes who reads has to be agreed on first, and an edge cannot serve so long without the list.

        Example: ``await watch.begin()``
        """
        limit = clock.now() + STALE
        while not self.node.relay.current() and clock.now() < limit:
            await clock.sleep(FIRST / 8)
        self.next_read = clock.now() + FIRST * (1 + self.node.environment.randomness.random())

    async def follow(self, topic: str) -> None:
        """Take what the relay tree brings of a topic, each time that it changes.

        Example: ``group.create_task(watch.follow("workers"))``
        """
        while True:
            self.take()
            await self.node.relay.changed(topic)

    def take(self) -> None:
        """Take what the relay tree brought.

        Example: ``watch.take()``
        """
        now = clock.now()
        held, beat = self.node.relay.topics.get(TOPIC), self.node.relay.topics.get(READ)
        if held is not None and held is not self.taken:
            self.taken = held
            self.instances.take(heard(held.body), now)
        if beat is not None and beat is not self.counted:
            self.counted = beat
            if held is not None and json.loads(beat.body) == [held.revision.text()]:
                self.instances.confirm(now)

    async def fall_back(self) -> None:
        """Read the list oneself while no word of it came for too long.

        Example: ``group.create_task(watch.fall_back())``
        """
        while True:
            await clock.sleep(PERIOD / 2 if self.instances.listed else FIRST / 2)
            age, now = self.instances.age(), clock.now()
            if now < self.next_read or (age is not None and age < STALE):
                continue
            nodes = max(1, len(self.node.ring.live()))
            self.counts["own list reads"] += 1
            try:
                found = await self.lister()
                self.refused = 0
                self.instances.take(found, now)
            except result.RequestError as refusal:
                self.refused += 1
                LOG.info("{}", refusal)
            span = max(CALM_PERIOD, clock.seconds(nodes / (self.rate() * SHARE)))
            span *= self.node.environment.randomness.uniform(0.7, 1.3) * 2 ** min(self.refused, 3)
            self.next_read = clock.now() + span
