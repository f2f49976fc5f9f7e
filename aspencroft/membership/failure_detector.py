"""Membership: heartbeats to a few watchers, suspicion confirmed by a second, news along the ring."""

import asyncio
import dataclasses
import datetime
import hashlib

import logbook

from aspencroft.consensus import proposer, replica_set
from aspencroft.errors import result
from aspencroft.membership import cluster_member, member_table
from aspencroft.runtime import clock, environment, supervision
from aspencroft.transport import codec, connections

LOG = logbook.Logger("membership.failure_detector")
WATCHERS = 3
BEAT = clock.seconds(0.5)
SILENCE = clock.seconds(2)
SECOND_SILENCE = clock.seconds(1.2)
ASK = clock.seconds(0.7)
REJOIN = clock.seconds(1)
FORGET = clock.seconds(300)


class FailureDetector:
    """The table of peers and the work that keeps it true."""

    def __init__(
        self,
        around: environment.Environment,
        links: connections.Link,
        me: cluster_member.ClusterMember,
        seeds: tuple[str, ...],
        voters: proposer.Proposer,
    ):
        self.environment = around
        self.link = links
        self.me = me
        self.seeds = seeds
        self.proposer = voters
        self.peers = member_table.MemberTable()
        self.peers[me.address] = me
        self.records: dict[int, replica_set.ReplicaSet] = member_table.Counted()
        self.digested: tuple[tuple, bytes] = ((), b"")
        self.heard: dict[str, datetime.timedelta] = {}
        self.down_since: dict[str, datetime.timedelta] = {}
        self.changed = asyncio.Event()
        self.fresh = asyncio.Event()
        self.joined = asyncio.Event()
        self.counts = {"suspicions": 0, "confirmed": 0, "denials": 0, "tables sent": 0, "odd entries": 0}

    def live(self) -> tuple[str, ...]:
        """Addresses of the nodes that are not thought to be down, in ring order."""
        return self.peers.live()

    def state(self, address: str) -> int:
        """A node's state; an unknown node counts as down."""
        return self.peers[address].state if address in self.peers else cluster_member.DOWN

    def table(self) -> cluster_member.MembershipTable:
        """All that this node knows, in a fixed order."""
        return cluster_member.MembershipTable(
            tuple(self.peers[address] for address in sorted(self.peers)),
            tuple(self.records[group_id] for group_id in sorted(self.records)),
            self.proposer.voter_set,
        )

    def digest(self) -> bytes:
        """A digest of the table: equal where nothing needs to be told."""
        changes = self.changes()
        if self.digested[0] != changes:
            parts = [
                codec.LENGTH.pack(len(self.peers)),
                *(self.peers.packed(address) for address in sorted(self.peers)),
                codec.LENGTH.pack(len(self.records)),
                *(codec.pack(self.records[group_id]) for group_id in sorted(self.records)),
                codec.pack(self.proposer.voter_set),
            ]
            self.digested = changes, hashlib.blake2b(b"".join(parts), digest_size=8).digest()
        return self.digested[1]

    def changes(self) -> tuple:
        """What differs once the table differs."""
        return self.peers.changes, self.records.changes, self.proposer.voter_set

    def learn_record(self, fresh: replica_set.ReplicaSet) -> None:
        """Take a newer record of a group's holders, and pass it on."""
        known = self.records.get(fresh.group_id)
        if known is None or fresh.epoch > known.epoch:
            self.records[fresh.group_id] = fresh
            self.tell_change()

    def tell_change(self) -> None:
        """Wake whoever waits for a change, and pass it on along the ring."""
        self.changed.set()
        self.fresh.set()

    def take(self, table: cluster_member.MembershipTable) -> None:
        """Merge another node's table; whoever says that this node is down is denied."""
        before = self.changes()
        for one in table.peers:
            self.take_fellow(one)
        for one in table.records:
            known = self.records.get(one.group_id)
            if one.group_id < 0 or not 0 < one.epoch < cluster_member.LARGEST:
                self.counts["odd entries"] += 1
            elif known is None or one.epoch > known.epoch:
                self.records[one.group_id] = one
        self.proposer.learn(table.voter_set)
        if self.changes() != before:
            self.tell_change()

    def take_fellow(self, one: cluster_member.ClusterMember) -> None:
        """Merge one entry."""
        if not one.sound():
            self.counts["odd entries"] += 1
            return
        if one.address == self.me.address:
            if one.age() > self.me.age():
                self.counts["denials"] += 1
                later = one.incarnation + (one.incarnation > self.me.incarnation)
                self.me = dataclasses.replace(self.me, incarnation=later, serial=one.serial + 1)
                self.peers[self.me.address] = self.me
            return
        known = self.peers.get(one.address)
        if known is None or one.age() > known.age():
            if one.state == cluster_member.DOWN and known is None:
                return
            self.peers[one.address] = one
            if one.state == cluster_member.DOWN:
                self.down_since[one.address] = clock.now()
            else:
                self.down_since.pop(one.address, None)
                if known is None or known.state == cluster_member.DOWN:
                    self.heard[one.address] = clock.now()

    async def beat(
        self, message: cluster_member.Heartbeat
    ) -> cluster_member.MembershipTable | replica_set.Acknowledged:
        """Hear a sign of life; answer with the table when the sender's differs."""
        self.heard[message.peer.address] = clock.now()
        known = self.peers.get(message.peer.address)
        if known is None or message.peer.age() > known.age():
            self.take_fellow(message.peer)
            self.tell_change()
        return self.table() if message.digest != self.digest() else replica_set.Acknowledged()

    def join(self, message: cluster_member.Join) -> cluster_member.MembershipTable:
        """Take a table and give one's own."""
        self.take(message.table)
        return self.table()

    async def confirm(self, message: cluster_member.ConfirmSuspicion) -> cluster_member.SuspicionReply:
        """Say as second watcher whether a peer is missed here too."""
        last = self.heard.get(message.address)
        if last is not None and clock.now() - last < SECOND_SILENCE:
            return cluster_member.SuspicionReply(False)
        return cluster_member.SuspicionReply(not await self.reaches(message.address))

    async def reaches(self, address: str) -> bool:
        """Whether a node answers at once."""
        try:
            reply = await self.link.request(address, cluster_member.Join(self.table()), ASK)
            self.take(reply)
            self.heard[address] = clock.now()
            return True
        except result.RequestError:
            return False

    async def run(self) -> None:
        """Join, beat, watch, pass on news and look for lost peers."""
        async with supervision.Group() as group:
            group.create_task(self.send_beats())
            group.create_task(self.watch())
            group.create_task(self.spread())
            group.create_task(self.rejoin())

    async def send_beats(self) -> None:
        """Show the watchers that this node lives."""
        while True:
            named = self.peers.watchers(self.me.address, WATCHERS)
            async with supervision.Group() as group:
                for address in named:
                    group.create_task(self.beat_one(address))
                group.create_task(clock.sleep(BEAT))

    async def beat_one(self, address: str) -> None:
        """One heartbeat to one watcher."""
        try:
            reply = await self.link.request(address, cluster_member.Heartbeat(self.me, self.digest()), BEAT)
        except result.RequestError:
            return
        if isinstance(reply, cluster_member.MembershipTable):
            self.take(reply)
            if self.table() != reply:
                self.counts["tables sent"] += 1
                self.link.notify(address, cluster_member.Join(self.table()))

    def watched(self) -> tuple[str, ...]:
        """The nodes that name this one as a watcher."""
        return self.peers.watched(self.me.address, WATCHERS)

    async def watch(self) -> None:
        """Suspect silent peers; a suspicion is news only once a second watcher confirms it."""
        previous = clock.now()
        while True:
            await clock.sleep(BEAT / 2)
            now = clock.now()
            if now - previous > SILENCE / 2:
                self.heard = dict.fromkeys(self.heard, now)
            previous = now
            silent = [address for address in self.watched() if now - self.heard.setdefault(address, now) > SILENCE]
            if silent:
                async with supervision.Group() as group:
                    for address in silent:
                        group.create_task(self.suspect(address))
            for address in [one for one, since in self.down_since.items() if now - since > FORGET]:
                del self.down_since[address]
                self.peers.pop(address, None)

    async def suspect(self, address: str) -> None:
        """Ask a second watcher; mark the peer down when it is missed there too."""
        suspected = self.peers[address]
        self.counts["suspicions"] += 1
        if await self.reaches(address):
            return
        for second in self.peers.watchers(address, WATCHERS):
            if second == self.me.address:
                continue
            try:
                reply = await self.link.request(
                    second, cluster_member.ConfirmSuspicion(address, suspected.incarnation), 2 * ASK
                )
            except result.RequestError:
                continue
            if not reply.missing:
                return
            break
        if self.peers.get(address) == suspected:
            self.counts["confirmed"] += 1
            self.peers[address] = dataclasses.replace(suspected, state=cluster_member.DOWN)
            self.down_since[address] = clock.now()
            LOG.info("{} is down", address)
            self.tell_change()

    async def spread(self) -> None:
        """Pass on at once to the neighbours on the ring what changed here since the last time.

        What gets lost on the way is found by the digests of later heartbeats.
        """
        while True:
            await self.fresh.wait()
            self.fresh.clear()
            neighbours = {*self.peers.watchers(self.me.address, WATCHERS), *self.watched()}
            told = cluster_member.Join(
                cluster_member.MembershipTable(self.peers.taken(), self.records.taken(), self.proposer.voter_set)
            )
            for address in sorted(neighbours):
                self.counts["tables sent"] += 1
                self.link.notify(address, told)
            await clock.sleep(BEAT / 10)

    async def rejoin(self) -> None:
        """Knock at seeds and at nodes thought down, so that halves of a cut find each other again."""
        while True:
            lost = [
                address
                for address in (*self.seeds, *self.proposer.voter_set.everyone())
                if address != self.me.address and self.state(address) == cluster_member.DOWN
            ]
            down = [one.address for one in self.peers.values() if one.state == cluster_member.DOWN]
            if down:
                lost.append(self.environment.randomness.choice(sorted(down)))
            async with supervision.Group() as group:
                for address in dict.fromkeys(lost):
                    group.create_task(self.reaches(address))
            if len(self.peers) > 1 or not [seed for seed in self.seeds if seed != self.me.address]:
                self.joined.set()
            await clock.sleep(REJOIN if self.joined.is_set() else BEAT / 2)

    def leave(self) -> None:
        """Tell all that this node is stopping."""
        self.me = dataclasses.replace(self.me, state=cluster_member.LEAVING, serial=self.me.serial + 1)
        self.peers[self.me.address] = self.me
        self.tell_change()
