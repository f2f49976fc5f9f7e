"""Suspicion: a silent member is down only once a probe fails and a second watcher misses it too."""

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
"""Silence after which a watched member is suspected: four heartbeats missed."""
SECOND_WATCHER_TIMEOUT = clock.seconds(1.2)
"""Silence for which a second watcher denies a suspicion without a probe: it may have heard a later heartbeat."""
CHECK_INTERVAL = table_exchange.HEARTBEAT_INTERVAL / 2
STANDSTILL_AFTER = SUSPICION_TIMEOUT / 2
"""A sleep of ``CHECK_INTERVAL`` that took longer than this shows that the process stood still."""
FURTHER_WATCHERS = 3
"""Members asked beside the watchers on the ring, as those may have gone at the same time."""
ANSWER_TIMEOUT = 2 * table_exchange.PROBE_TIMEOUT
"""Longest wait for another member's answer about a suspicion: it probes the suspected member itself."""
FORGET_DOWN_AFTER = clock.seconds(300)


class Verdict(enum.Enum):
    """What became of a suspicion."""

    CONFIRMED = "confirmed"
    DENIED = "denied"
    UNCONFIRMED = "unconfirmed"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The verdict on a suspicion; ``reason`` is who confirmed it, else why it is denied or not confirmed."""

    verdict: Verdict
    reason: str


class SuspicionMonitor:
    """Watches the members that the ring assigns to this node, and confirms suspicions of other watchers.

    A watched member is suspected once it was silent for ``SUSPICION_TIMEOUT``. It is probed; if it does not answer,
    other members are asked whether they miss it too, and the first answer decides whether it is marked down.
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
        """Answer as second watcher whether a member is missed here too."""
        last_heard = self.view.last_heard.get(message.address)
        if last_heard is not None and clock.now() - last_heard < SECOND_WATCHER_TIMEOUT:
            return cluster_member.SuspicionReply(False)
        return cluster_member.SuspicionReply(not await self.exchange.probe(message.address))

    async def watch(self) -> None:
        """Look for silent members at each interval, and forget those that are down for long.

        Each suspicion is confirmed in a task of its own: the loop waits for nothing but its own sleep, so a sleep that
        ends late shows a standstill of this process, and a member that falls silent meanwhile is noticed in time.
        """
        confirmations: dict[str, asyncio.Task[None]] = {}
        async with supervision.Group() as group:
            while True:
                slept_at = clock.now()
                await clock.sleep(CHECK_INTERVAL)
                now = clock.now()
                if now - slept_at > STANDSTILL_AFTER:
                    self.view.restart_silence(now)
                self.view.forget_down_before(now - FORGET_DOWN_AFTER)
                silent = self.silent_members(now)
                self.view.suspected = frozenset(silent)
                confirmations = {address: task for address, task in confirmations.items() if not task.done()}
                for address in silent:
                    if address not in confirmations:
                        confirmations[address] = group.create_task(self.suspect(address))

    def silent_members(self, now: datetime.timedelta) -> list[str]:
        """The watched members that were not heard for longer than the suspicion timeout, in ring order."""
        last_heard = self.view.last_heard
        return [
            address
            for address in self.exchange.watched()
            if now - last_heard.setdefault(address, now) > SUSPICION_TIMEOUT
        ]

    async def suspect(self, address: str) -> None:
        """Find out whether a silent member is gone; mark it down if another member misses it too."""
        suspected = self.view.members[address]
        self.view.counts["suspicions"] += 1
        report_suspected(suspected)
        outcome = await self.investigate(suspected)
        if outcome.verdict is Verdict.DENIED:
            report_denied(suspected, outcome.reason)
        elif outcome.verdict is Verdict.UNCONFIRMED:
            report_unconfirmed(suspected, outcome.reason)
        elif self.view.members.get(address) == suspected:
            # The entry may have changed during the requests; only the one that was suspected is marked down.
            self.view.counts["confirmed"] += 1
            report_down(suspected, outcome.reason)
            self.view.mark_down(suspected)

    async def investigate(self, suspected: cluster_member.ClusterMember) -> Outcome:
        """Probe a silent member, then ask others about it; the first answer decides.

        A node that no other member answers is as likely cut off itself, so it confirms nothing. Only where no other
        member is there to be asked it decides alone.
        """
        if await self.exchange.probe(suspected.address):
            return Outcome(Verdict.DENIED, "it answers a probe")
        watchers = self.other_watchers(suspected.address)
        further = self.further_members(suspected.address, watchers)
        if not watchers and not further:
            return Outcome(Verdict.CONFIRMED, "nobody else, as this cluster has no other member")
        for watcher in watchers:
            outcome = await self.ask(watcher, suspected)
            if outcome is not None:
                return outcome
        for outcome in await asyncio.gather(*(self.ask(other, suspected) for other in further)):
            if outcome is not None:
                return outcome
        return Outcome(Verdict.UNCONFIRMED, "no other member answers, this node may be cut off")

    def other_watchers(self, address: str) -> list[str]:
        """The other members that watch a member, in ring order."""
        watchers = self.view.members.watchers(address, table_exchange.WATCHERS)
        return [watcher for watcher in watchers if watcher != self.view.me.address]

    def further_members(self, address: str, watchers: list[str]) -> list[str]:
        """Some of the live members that are neither this node, nor the member itself, nor its watchers."""
        excluded = (address, self.view.me.address, *watchers)
        others = [other for other in self.view.members.live() if other not in excluded]
        return self.randomness.sample(others, min(FURTHER_WATCHERS, len(others)))

    async def ask(self, watcher: str, suspected: cluster_member.ClusterMember) -> Outcome | None:
        """What another member says of a suspicion; None if it does not answer."""
        message = cluster_member.ConfirmSuspicion(suspected.address, suspected.incarnation)
        try:
            reply = await self.link.request(watcher, message, ANSWER_TIMEOUT)
        except result.RequestError:
            return None
        if reply.missing:
            return Outcome(Verdict.CONFIRMED, watcher)
        return Outcome(Verdict.DENIED, f"{watcher} hears from it")


def report_suspected(member: cluster_member.ClusterMember) -> None:
    """Log that a member is silent."""
    events.report(
        LOG,
        events.EventFields(events.Event.MEMBER_SUSPECTED, member=member.address, reason="no heartbeat"),
        "member {} (incarnation {}) is suspected: no heartbeat for more than {:g} s",
        member.address,
        member.incarnation,
        SUSPICION_TIMEOUT.total_seconds(),
    )


def report_denied(member: cluster_member.ClusterMember, reason: str) -> None:
    """Log that a suspected member lives."""
    events.report(
        LOG,
        events.EventFields(events.Event.SUSPICION_DENIED, member=member.address, reason=reason),
        "suspicion of {} is denied: {}",
        member.address,
        reason,
    )


def report_unconfirmed(member: cluster_member.ClusterMember, reason: str) -> None:
    """Log that nobody could say whether a suspected member lives."""
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
