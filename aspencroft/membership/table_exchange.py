"""Exchange of membership tables: heartbeats with digests, dissemination along the ring, and rejoining after loss."""

import asyncio

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.membership import cluster_member, membership_view
from aspencroft.runtime import clock, environment, supervision
from aspencroft.transport import connections

WATCHERS = 3  # a member is still watched after the loss of two watchers
HEARTBEAT_INTERVAL = clock.seconds(0.5)
PROBE_TIMEOUT = clock.seconds(0.7)
REJOIN_INTERVAL = clock.seconds(1)


class TableExchange:
    """Sends and answers heartbeats and tables, so that the views of all nodes converge."""

    def __init__(
        self,
        services: environment.Environment,
        link: connections.Link,
        view: membership_view.MembershipView,
        seeds: tuple[str, ...],
    ) -> None:
        self.environment = services
        self.link = link
        self.view = view
        self.seeds = seeds
        self.joined = asyncio.Event()

    async def answer_heartbeat(
        self, message: cluster_member.Heartbeat
    ) -> cluster_member.MembershipTable | replica_set.Acknowledged:
        """Record a heartbeat; reply with this node's table if the sender's differs."""
        view, sender = self.view, message.sender
        view.last_heard[sender.address] = clock.now()
        known = view.members.get(sender.address)
        if known is None or sender.precedence() > known.precedence():
            view.merge_member(sender)
            view.signal_change()
        return view.table() if message.digest != view.digest() else replica_set.Acknowledged()

    def answer_join(self, message: cluster_member.Join) -> cluster_member.MembershipTable:
        """Merge a table and reply with this node's table."""
        self.view.merge_table(message.table)
        return self.view.table()

    async def probe(self, address: str) -> bool:
        """Exchange tables with a node; return whether it answered within ``PROBE_TIMEOUT``."""
        try:
            reply = await self.link.request(address, cluster_member.Join(self.view.table()), PROBE_TIMEOUT)
            self.view.merge_table(reply)
            self.view.last_heard[address] = clock.now()
            return True
        except result.RequestError:
            return False

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to each watcher of this node in every interval."""
        while True:
            watchers = self.view.members.watchers(self.view.me.address, WATCHERS)
            async with supervision.Group() as group:
                for address in watchers:
                    group.create_task(self.send_heartbeat(address))
                group.create_task(clock.sleep(HEARTBEAT_INTERVAL))

    async def send_heartbeat(self, address: str) -> None:
        """Send a heartbeat to a watcher; if the tables differ, both nodes merge them."""
        view = self.view
        try:
            reply = await self.link.request(
                address, cluster_member.Heartbeat(view.me, view.digest()), HEARTBEAT_INTERVAL
            )
        except result.RequestError:
            return
        if isinstance(reply, cluster_member.MembershipTable):
            view.merge_table(reply)
            if view.table() != reply:
                view.counts["tables sent"] += 1
                self.link.notify(address, cluster_member.Join(view.table()))

    def watched(self) -> tuple[str, ...]:
        """Return the members that this node watches."""
        return self.view.members.watched(self.view.me.address, WATCHERS)

    async def disseminate(self) -> None:
        """Send new changes to the neighbors on the ring without delay.

        Updates that are lost on the way are detected by the digests of later heartbeats.
        """
        while True:
            await self.view.has_unsent_updates.wait()
            # Cleared before the updates are drained, so that a change during the sends below wakes the loop again.
            self.view.has_unsent_updates.clear()
            neighbors = {*self.view.members.watchers(self.view.me.address, WATCHERS), *self.watched()}
            updates = cluster_member.Join(self.view.drain_updates())
            for address in sorted(neighbors):
                self.view.counts["tables sent"] += 1
                self.link.notify(address, updates)
            await clock.sleep(HEARTBEAT_INTERVAL / 10)

    async def rejoin(self) -> None:
        """Probe seeds, voters and members that are down, so that both sides of a partition find each other again."""
        view = self.view
        while True:
            lost = [
                address
                for address in (*self.seeds, *view.proposer.voter_set.all_voters())
                if address != view.me.address and view.state(address) == cluster_member.DOWN
            ]
            down = [member.address for member in view.members.values() if member.state == cluster_member.DOWN]
            if down:
                lost.append(self.environment.randomness.choice(sorted(down)))
            async with supervision.Group() as group:
                for address in dict.fromkeys(lost):
                    group.create_task(self.probe(address))
            if len(view.members) > 1 or not [seed for seed in self.seeds if seed != view.me.address]:
                self.joined.set()
            await clock.sleep(REJOIN_INTERVAL if self.joined.is_set() else HEARTBEAT_INTERVAL / 2)
