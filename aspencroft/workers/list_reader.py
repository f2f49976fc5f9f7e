"""The platform's list of workers: read by one node of the cluster and published to all others by the relay tree."""

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
LIST_TOPIC, READ_TOPIC = "workers", "workers read"
READ_INTERVAL = clock.seconds(0.6)
UNCHANGED_READ_INTERVAL = timing_check.WORKER_LIST_PERIOD
UNCHANGED_AFTER = clock.seconds(4)
CONFIRM_INTERVAL = clock.seconds(1.2)
MAX_BACKOFF = clock.seconds(5)
MAX_BACKOFF_UNREACHABLE = clock.seconds(1.2)
STALE_AFTER = clock.seconds(2.5)
FIRST_READ_DELAY = clock.seconds(0.2)
DEFAULT_READ_COST = clock.seconds(0.05)
RATE_SHARE = 0.5
MAX_DOUBLINGS, MAX_DOUBLINGS_UNREACHABLE = 3, 1
EPOCH_UNIT = 1 << 32

ReadList = collections.abc.Callable[[], collections.abc.Awaitable[list[instance.Instance]]]
ReadCost = collections.abc.Callable[[], datetime.timedelta]


def default_read_cost() -> datetime.timedelta:
    """Return the default for how long one complete read occupies the platform's rate limit, shared by all nodes.

    Example: ``default_read_cost() == DEFAULT_READ_COST``
    """
    return DEFAULT_READ_COST


def encode_list(found: collections.abc.Iterable[instance.Instance]) -> str:
    """Encode the list for the relay tree."""
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


def decode_list(body: str) -> list[instance.Instance]:
    """Decode a list from the relay tree.

    Example: ``decode_list("[]") == []``
    """
    return [
        instance.Instance(name, address, service, zone, version, slots, bool(draining), clock.seconds(cold / 1000))
        for name, address, service, zone, version, slots, draining, cold in json.loads(body)
    ]


def significant_fields(found: collections.abc.Iterable[instance.Instance]) -> frozenset:
    """Return what counts as a change of the list: everything except how long exactly a cold worker stays slow."""
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


def is_rate_limited(refusal: result.RequestError) -> bool:
    """Whether a read was refused because all nodes together exceeded the platform's rate limit."""
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
    """Reads the list periodically on the holder of a singleton role, and publishes changes and confirmations.

    Reads count against the platform's rate limit, so a list that has not changed for a while is read less often. The
    back-off is exponential after a read refused for the rate limit. If the platform cannot be reached, it stays short,
    as workers may have begun to drain by the time the platform is back.
    """

    def __init__(
        self,
        own: node.Node,
        read_list: ReadList,
        cost: ReadCost = default_read_cost,
        period: datetime.timedelta = READ_INTERVAL,
        unchanged_period: datetime.timedelta = UNCHANGED_READ_INTERVAL,
    ):
        self.node = own
        self.read_list = read_list
        self.cost = cost
        self.period = period
        self.unchanged_period = max(period, unchanged_period)
        self.role = singleton_role.SingletonRole(
            "workers", own.address, own.incarnation, lambda: own.failure_detector.peers, own.submit, settings.CORE
        )
        own.singleton_roles["workers"] = self.role
        self.published: frozenset | None = None
        self.changed_at = clock.ZERO
        self.revision = control_state.NEVER
        self.confirmed_at = clock.ZERO
        self.consecutive_failures = 0
        self.max_backoff = MAX_BACKOFF
        self.counts = {"list reads": 0, "list refusals": 0, "list changes": 0}

    async def run(self) -> None:
        """Compete for the role and read the list while holding it."""
        async with supervision.Group() as group:
            group.create_task(supervision.stand("workers duty", self.role.run, self.node.standing))
            group.create_task(supervision.stand("workers list", self.read_while_holder, self.node.standing))

    async def read_while_holder(self) -> None:
        """Read the list while holding the role; the delay to the next read depends on the result of the last one."""
        while True:
            began = clock.now()
            if not self.role.has_lease():
                self.published = None
                await clock.sleep(self.period / 4)
                continue
            await self.read_once(began)
            await clock.sleep(self.next_delay() - (clock.now() - began))

    def next_delay(self) -> datetime.timedelta:
        """Return the time from the start of one read to the start of the next."""
        if self.consecutive_failures:
            pause = min(self.max_backoff, self.period * 2 ** min(self.consecutive_failures, 8))
        else:
            pause = self.unchanged_period if clock.now() - self.changed_at > UNCHANGED_AFTER else self.period
        return max(pause, self.cost() / RATE_SHARE)

    async def read_once(self, now: datetime.timedelta) -> None:
        """Read the list once; publish a change, or a confirmation when one is due."""
        self.counts["list reads"] += 1
        try:
            found = await self.read_list()
        except result.RequestError as refusal:
            self.consecutive_failures += 1
            self.max_backoff = MAX_BACKOFF if is_rate_limited(refusal) else MAX_BACKOFF_UNREACHABLE
            self.counts["list refusals"] += 1
            report_unreadable(self.node.address, refusal)
            return
        if self.consecutive_failures:
            report_read_again(self.node.address, self.consecutive_failures)
        self.consecutive_failures = 0
        significant = significant_fields(found)
        if significant != self.published:
            new_revision = await self.publish(LIST_TOPIC, encode_list(sorted(found, key=lambda one: one.name)))
            if new_revision is None:
                return
            self.revision, self.published, self.changed_at = new_revision, significant, now
            self.counts["list changes"] += 1
            report_change(self.node.address, found)
            self.confirmed_at = clock.ZERO
        if (
            now - self.confirmed_at >= CONFIRM_INTERVAL
            and await self.publish(READ_TOPIC, json.dumps([self.revision.text()])) is not None
        ):
            self.confirmed_at = now

    async def publish(self, topic: str, body: str) -> control_state.Revision | None:
        """Publish a topic's new state to the root of the relay tree; return its revision if the root accepted it."""
        record = self.node.failure_detector.records.get(0)
        if record is None or not self.role.has_lease():
            return None
        known = self.node.relay.topics.get(topic)
        number = max(self.role.epoch * EPOCH_UNIT, known.revision.number if known else 0, self.revision.number) + 1
        one = updates.Update(topic, control_state.Revision(self.role.epoch, number), None, body)
        try:
            await self.node.link.request(record.primary.address, updates.Publish(one), clock.seconds(1))
        except result.RequestError as refusal:
            LOG.info("publishing topic {} failed: {}", topic, refusal)
            return None
        return one.revision


class Watch:
    """Keeps an edge's list up to date from the relay tree, or by reads of its own when updates stay away too long.

    ``cost`` returns for how long one read occupies the platform's rate limit, which all nodes share.
    """

    def __init__(
        self,
        own: node.Node,
        known: instances.Instances,
        read_list: ReadList,
        cost: ReadCost = default_read_cost,
    ):
        self.node = own
        self.instances = known
        self.read_list = read_list
        self.cost = cost
        self.applied_list: updates.Update | None = None
        self.applied_confirmation: updates.Update | None = None
        self.next_read = clock.ZERO
        self.consecutive_failures = 0
        self.counts = {"own list reads": 0}

    async def run(self) -> None:
        """Follow the topics; read the list directly when it is stale or did not come with the configuration."""
        await self.wait_for_configuration()
        async with supervision.Group() as group:
            group.create_task(supervision.stand("workers follow", lambda: self.follow(LIST_TOPIC), self.node.standing))
            group.create_task(supervision.stand("workers beat", lambda: self.follow(READ_TOPIC), self.node.standing))
            group.create_task(supervision.stand("workers fallback", self.read_when_stale, self.node.standing))

    async def wait_for_configuration(self) -> None:
        """Wait for the configuration, and a little longer for the list, which comes with it if some node reads it.

        After a stop of all nodes, a holder of the reader's role has to be elected first, and an edge cannot serve
        without the list for that long. If the configuration does not arrive, the list is read in the meantime, so that
        both are there together; but not at the very first start of a cluster, when there are no callers yet.
        """
        timeout = STALE_AFTER if self.node.settings.first_start else self.first_read_delay()
        limit = clock.now() + timeout
        while not self.node.relay.current() and clock.now() < limit:
            await clock.sleep(FIRST_READ_DELAY / 8)
        self.next_read = clock.now()
        if self.node.relay.current() or self.node.settings.first_start:
            self.next_read += self.first_read_delay()

    def first_read_delay(self) -> datetime.timedelta:
        """Return how long to wait for the list before reading it directly; it differs between edges."""
        return FIRST_READ_DELAY * (1 + self.node.environment.randomness.random())

    async def follow(self, topic: str) -> None:
        """Apply updates from the relay tree each time that a topic changes."""
        while True:
            self.apply_updates()
            await self.node.relay.wait_for_change(topic)

    def apply_updates(self) -> None:
        """Apply the newest list and confirmation from the relay tree."""
        now = clock.now()
        current_list, confirmation = self.node.relay.topics.get(LIST_TOPIC), self.node.relay.topics.get(READ_TOPIC)
        if current_list is not None and current_list is not self.applied_list:
            self.applied_list = current_list
            self.instances.update(decode_list(current_list.body), now)
        if confirmation is not None and confirmation is not self.applied_confirmation:
            self.applied_confirmation = confirmation
            if current_list is not None and json.loads(confirmation.body) == [current_list.revision.text()]:
                self.instances.confirm(now)

    async def read_when_stale(self) -> None:
        """Read the list directly while it has not been updated or confirmed for too long."""
        while True:
            await clock.sleep(READ_INTERVAL / 2 if self.instances.listed else FIRST_READ_DELAY / 2)
            age, now = self.instances.age(), clock.now()
            if now < self.next_read or (age is not None and age < STALE_AFTER):
                continue
            nodes = max(1, len(self.node.failure_detector.live()))
            self.counts["own list reads"] += 1
            try:
                found = await self.read_list()
                if self.consecutive_failures:
                    report_read_again(self.node.address, self.consecutive_failures)
                self.consecutive_failures = 0
                self.instances.update(found, now)
            except result.RequestError as refusal:
                max_doublings = MAX_DOUBLINGS if is_rate_limited(refusal) else MAX_DOUBLINGS_UNREACHABLE
                self.consecutive_failures = min(self.consecutive_failures + 1, max_doublings)
                report_unreadable(self.node.address, refusal)
            span = max(UNCHANGED_READ_INTERVAL, nodes * self.cost() / RATE_SHARE)
            span *= self.node.environment.randomness.uniform(0.7, 1.3) * 2**self.consecutive_failures
            self.next_read = clock.now() + span
