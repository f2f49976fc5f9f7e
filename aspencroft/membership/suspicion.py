"""Suspicion: a silent member is down only once a probe fails and a second watcher misses it too."""

import asyncio
import datetime
import random

import logbook

from aspencroft.errors import result
from aspencroft.membership import cluster_member, membership_view, table_exchange
from aspencroft.runtime import clock, events, supervision
from aspencroft.transport import connections

LOG = logbook.Logger("membership.suspicion")
SUSPICION_TIMEOUT = clock.seconds(2)  # four heartbeats missed
SECOND_WATCHER_TIMEOUT = clock.seconds(1.2)  # shorter, as the second watcher began to miss heartbeats a little later
CHECK_INTERVAL = table_exchange.HEARTBEAT_INTERVAL / 2
STANDSTILL_AFTER = SUSPICION_TIMEOUT / 2  # a sleep that took longer: heartbeats may be here, unread
FURTHER_WATCHERS = 3  # members asked beside the watchers of the ring, as those may have gone at the same time
FORGET_DOWN_AFTER = clock.seconds(300)


class SuspicionMonitor:
    """Watches the members that the ring assigns to this node, and confirms suspicions of other watchers."""

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
        """Probe a silent member and ask a second watcher; mark it down if it is missed there too."""
        suspected = self.view.members[address]
        self.view.counts["suspicions"] += 1
        events.report(
            LOG,
            events.EventFields(events.Event.MEMBER_SUSPECTED, member=address, reason="no heartbeat"),
            "member {} (incarnation {}) is suspected: no heartbeat for more than {:g} s",
            address,
            suspected.incarnation,
            SUSPICION_TIMEOUT.total_seconds(),
        )
        if await self.exchange.probe(address):
            self.report_denial(address, "it answers a probe")
            return
        confirmed_by = await self.ask_second_watcher(suspected)
        if confirmed_by is None:
            return
        # The entry may have changed during the requests above; only the one that was suspected is marked down.
        if self.view.members.get(address) == suspected:
            self.view.counts["confirmed"] += 1
            confirmation = confirmed_by or "nobody else, as this cluster has no other member"
            events.report(
                LOG,
                events.EventFields(
                    events.Event.MEMBER_DOWN, member=address, reason=f"suspicion confirmed by {confirmation}"
                ),
                "member {} (incarnation {}) is down: suspicion confirmed by {}",
                address,
                suspected.incarnation,
                confirmation,
            )
            self.view.mark_down(suspected)

    async def ask_second_watcher(self, suspected: cluster_member.ClusterMember) -> str | None:
        """The member that confirms the suspicion; None if one denies it or none of those asked answers.

        A node that no other member answers is as likely cut off itself, so it marks nobody down. Only where no other
        member is there to be asked it decides alone, which gives "".
        """
        address, me = suspected.address, self.view.me.address
        watchers = [
            watcher for watcher in self.view.members.watchers(address, table_exchange.WATCHERS) if watcher != me
        ]
        others = [other for other in self.view.members.live() if other not in (address, me, *watchers)]
        further = self.randomness.sample(others, min(FURTHER_WATCHERS, len(others)))
        if not watchers and not further:
            return ""
        for watcher in watchers:
            is_missing = await self.ask(watcher, suspected)
            if is_missing is not None:
                return self.confirmation(watcher, suspected, is_missing)
        answers = await asyncio.gather(*(self.ask(other, suspected) for other in further))
        for other, is_missing in zip(further, answers, strict=True):
            if is_missing is not None:
                return self.confirmation(other, suspected, is_missing)
        reason = "no other member answers, this node may be cut off"
        events.report(
            LOG,
            events.EventFields(events.Event.SUSPICION_UNCONFIRMED, member=address, reason=reason),
            "suspicion of {} is not confirmed: {}",
            address,
            reason,
        )
        return None

    async def ask(self, watcher: str, suspected: cluster_member.ClusterMember) -> bool | None:
        """Whether another member misses a suspected one too; None if it does not answer."""
        message = cluster_member.ConfirmSuspicion(suspected.address, suspected.incarnation)
        try:
            reply = await self.link.request(watcher, message, 2 * table_exchange.PROBE_TIMEOUT)
        except result.RequestError:
            return None
        return bool(reply.missing)

    def confirmation(self, watcher: str, suspected: cluster_member.ClusterMember, is_missing: bool) -> str | None:
        """The member that confirms a suspicion, or None where it denies it."""
        if is_missing:
            return watcher
        self.report_denial(suspected.address, f"{watcher} hears from it")
        return None

    def report_denial(self, address: str, reason: str) -> None:
        """Log that a suspected member lives."""
        events.report(
            LOG,
            events.EventFields(events.Event.SUSPICION_DENIED, member=address, reason=reason),
            "suspicion of {} is denied: {}",
            address,
            reason,
        )
