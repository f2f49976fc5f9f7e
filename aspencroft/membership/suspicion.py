"""Suspicion: a silent member is marked down only if a probe fails and a second watcher does not hear from it either."""

import asyncio
import dataclasses
import datetime
import enum
import random

import logbook

from aspencroft.errors import result
from aspencroft.membership import cluster_member, membership_view, table_exchange
from aspencroft.runtime import clock, events, supervision
from aspencroft.transport import connections

LOG = logbook.Logger("membership.suspicion")
SUSPICION_TIMEOUT = clock.seconds(2)
"""Silence after which a watched member is suspected: four missed heartbeats."""
SECOND_WATCHER_TIMEOUT = clock.seconds(1.2)
"""Below this silence a second watcher denies a suspicion without a probe: it may have received a later heartbeat."""
CHECK_INTERVAL = table_exchange.HEARTBEAT_INTERVAL / 2
PAUSE_THRESHOLD = SUSPICION_TIMEOUT / 2
"""A sleep of ``CHECK_INTERVAL`` that takes longer than this means that the process was paused."""
FURTHER_WATCHERS = 3
"""Number of members to ask besides the watchers on the ring, as those may have failed at the same time."""
ANSWER_TIMEOUT = 2 * table_exchange.PROBE_TIMEOUT
"""Time limit for another member's reply about a suspicion; it probes the suspected member itself first."""
FORGET_DOWN_AFTER = clock.seconds(300)


class Verdict(enum.Enum):
    """The result of a suspicion."""

    CONFIRMED = "confirmed"
    DENIED = "denied"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The verdict on a suspicion; ``reason`` is who confirmed it, or why it is denied or not confirmed."""

    verdict: Verdict
    reason: str


class SuspicionMonitor:
    """Watches the members that the ring assigns to this node, and confirms suspicions of other watchers.

    A watched member is suspected after ``SUSPICION_TIMEOUT`` of silence. It is then probed. If it does not answer,
    other members are asked whether they hear from it, and the first answer decides whether it is marked down.
    """

    def __init__(
        self,
        link: connections.Link,
        view: membership_view.MembershipView,
        exchange: table_exchange.TableExchange,
        randomness: random.Random,
    ) -> None:
        self.link = link
        self.view = view
        self.exchange = exchange
        self.randomness = randomness

    async def answer_confirm_suspicion(self, message: cluster_member.ConfirmSuspicion) -> cluster_member.SuspicionReply:
        """Answer, as second watcher, whether this node does not hear from a member either."""
        last_heard = self.view.last_heard.get(message.address)
        if last_heard is not None and clock.now() - last_heard < SECOND_WATCHER_TIMEOUT:
            return cluster_member.SuspicionReply(False)
        return cluster_member.SuspicionReply(not await self.exchange.probe(message.address))

    async def watch(self) -> None:
        """Check for silent members in each interval, and remove those that have been down for a long time.

        Each suspicion is confirmed in its own task, so the loop waits for nothing but its own sleep: a sleep that ends
        late means that this process was paused, and a member that falls silent meanwhile is noticed in time.
        """
        confirmations: dict[str, asyncio.Task[None]] = {}
        async with supervision.Group() as group:
            while True:
                slept_at = clock.now()
                await clock.sleep(CHECK_INTERVAL)
                now = clock.now()
                if now - slept_at > PAUSE_THRESHOLD:
                    self.view.reset_last_heard(now)
                self.view.forget_down_before(now - FORGET_DOWN_AFTER)
                silent = self.silent_members(now)
                self.view.suspected = frozenset(silent)
                confirmations = {address: task for address, task in confirmations.items() if not task.done()}
                for address in silent:
                    if address not in confirmations:
                        confirmations[address] = group.create_task(self.suspect(address))

    def silent_members(self, now: datetime.timedelta) -> list[str]:
        """Return the watched members that have been silent for longer than the suspicion timeout, in ring order."""
        last_heard = self.view.last_heard
        return [
            address
            for address in self.exchange.watched()
            if now - last_heard.setdefault(address, now) > SUSPICION_TIMEOUT
        ]

    async def suspect(self, address: str) -> None:
        """Check whether a silent member has failed; mark it down if the suspicion is confirmed."""
        suspected = self.view.members[address]
        self.view.counts["suspicions"] += 1
        report_suspected(suspected)
        outcome = await self.investigate(suspected)
        if outcome.verdict is Verdict.DENIED:
            report_denied(suspected, outcome.reason)
        elif outcome.verdict is Verdict.UNCONFIRMED:
            report_unconfirmed(suspected, outcome.reason)
        elif self.view.members.get(address) == suspected:
            # The entry may have changed during the requests; only the entry that was suspected is marked down.
            self.view.counts["confirmed"] += 1
            report_down(suspected, outcome.reason)
            self.view.mark_down(suspected)

    async def investigate(self, suspected: cluster_member.ClusterMember) -> Outcome:
        """Probe a silent member, then ask other members about it; the first answer decides.

        If no other member answers, this node itself may be cut off, so nothing is confirmed. It decides alone only if
        the cluster has no other member to ask.
        """
        if await self.exchange.probe(suspected.address):
            return Outcome(Verdict.DENIED, "it answers a probe")
        watchers = self.other_watchers(suspected.address)
        further = self.further_members(suspected.address, watchers)
        if not watchers and not further:
            return Outcome(Verdict.CONFIRMED, "this node alone, as the cluster has no other member")
        for watcher in watchers:
            outcome = await self.ask(watcher, suspected)
            if outcome is not None:
                return outcome
        for outcome in await asyncio.gather(*(self.ask(other, suspected) for other in further)):
            if outcome is not None:
                return outcome
        return Outcome(Verdict.UNCONFIRMED, "no other member answers, this node may be cut off")

    def other_watchers(self, address: str) -> list[str]:
        """Return the other members that watch a member, in ring order."""
        watchers = self.view.members.watchers(address, table_exchange.WATCHERS)
        return [watcher for watcher in watchers if watcher != self.view.me.address]

    def further_members(self, address: str, watchers: list[str]) -> list[str]:
        """Return a random sample of live members other than this node, the member itself and its watchers."""
        excluded = (address, self.view.me.address, *watchers)
        others = [other for other in self.view.members.live() if other not in excluded]
        return self.randomness.sample(others, min(FURTHER_WATCHERS, len(others)))

    async def ask(self, watcher: str, suspected: cluster_member.ClusterMember) -> Outcome | None:
        """Return another member's outcome of a suspicion, or None if it does not answer."""
        message = cluster_member.ConfirmSuspicion(suspected.address, suspected.incarnation)
        try:
            reply = await self.link.request(watcher, message, ANSWER_TIMEOUT)
        except result.RequestError:
            return None
        if reply.missing:
            return Outcome(Verdict.CONFIRMED, watcher)
        return Outcome(Verdict.DENIED, f"{watcher} hears from it")


def report_suspected(member: cluster_member.ClusterMember) -> None:
    """Log that a member is suspected."""
    events.report(
        LOG,
        events.EventFields(events.Event.MEMBER_SUSPECTED, member=member.address, reason="no heartbeat"),
        "member {} (incarnation {}) is suspected: no heartbeat for more than {:g} s",
        member.address,
        member.incarnation,
        SUSPICION_TIMEOUT.total_seconds(),
    )


def report_denied(member: cluster_member.ClusterMember, reason: str) -> None:
    """Log that a suspected member is alive."""
    events.report(
        LOG,
        events.EventFields(events.Event.SUSPICION_DENIED, member=member.address, reason=reason),
        "suspicion of {} is denied: {}",
        member.address,
        reason,
    )


def report_unconfirmed(member: cluster_member.ClusterMember, reason: str) -> None:
    """Log that no member could confirm or deny a suspicion."""
    events.report(
        LOG,
        events.EventFields(events.Event.SUSPICION_UNCONFIRMED, member=member.address, reason=reason),
        "suspicion of {} is not confirmed: {}",
        member.address,
        reason,
    )


def report_down(member: cluster_member.ClusterMember, confirmed_by: str) -> None:
    """Log that a suspected member is down."""
    events.report(
        LOG,
        events.EventFields(
            events.Event.MEMBER_DOWN, member=member.address, reason=f"suspicion confirmed by {confirmed_by}"
        ),
        "member {} (incarnation {}) is down: suspicion confirmed by {}",
        member.address,
        member.incarnation,
        confirmed_by,
    )
