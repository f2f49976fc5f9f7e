"""Membership: heartbeats to a few watchers, suspicion confirmed by a second, news along the ring."""

import asyncio
import dataclasses
import datetime
import hashlib

import logbook

import aspencroft.code.result as result
import aspencroft.link.link as link
import aspencroft.link.record as record
import aspencroft.pair.electorate as electorate
import aspencroft.pair.holding as holding
import aspencroft.ring.fellow as fellow
import aspencroft.ring.members as members
import aspencroft.seam.moment as moment
import aspencroft.seam.steady as steady
import aspencroft.seam.surroundings as surroundings

LOG = logbook.Logger("ring")
WATCHERS = 3
BEAT = moment.seconds(0.5)
SILENCE = moment.seconds(2)
SECOND_SILENCE = moment.seconds(1.2)
ASK = moment.seconds(0.7)
REJOIN = moment.seconds(1)
FORGET = moment.seconds(300)


class Ring:
    """The table of fellows and the work that keeps it true.

    Example: ``ring.live()`` lists the addresses that are thought to live.
    """

    def __init__(self, around: surroundings.Surroundings, links: link.Link, me: fellow.Fellow,
                 seeds: tuple[str, ...], voters: electorate.Electorate):
        self.surroundings = around
        self.link = links
        self.me = me
        self.seeds = seeds
        self.electorate = voters
        self.fellows = members.Members()
        self.fellows[me.address] = me
        self.holdings: dict[int, holding.Holding] = members.Counted()
        self.digested: tuple[tuple, bytes] = ((), b"")
        self.heard: dict[str, datetime.timedelta] = {}
        self.down_since: dict[str, datetime.timedelta] = {}
        self.changed = asyncio.Event()
        self.fresh = asyncio.Event()
        self.joined = asyncio.Event()
        self.counts = {"suspicions": 0, "confirmed": 0, "denials": 0, "tables sent": 0, "odd entries": 0}

    def live(self) -> tuple[str, ...]:
        """Addresses of the nodes that are not thought to be down, in ring order.

        Example: ``ring.me.address in ring.live()``
        """
        return self.fellows.live()

    def state(self, address: str) -> int:
        """A node's state; an unknown node counts as down.

        Example: ``ring.state("a:1") == fellow.LIVE``
        """
        return self.fellows[address].state if address in self.fellows else fellow.DOWN

    def table(self) -> fellow.Table:
        """All that this node knows, in a fixed order.

        Example: ``ring.take(other.table())``
        """
        return fellow.Table(tuple(self.fellows[address] for address in sorted(self.fellows)),
                            tuple(self.holdings[pair] for pair in sorted(self.holdings)),
                            self.electorate.roster)

    def digest(self) -> bytes:
        """A digest of the table: equal where nothing needs to be told.

        Example: ``ring.digest() == other.digest()``
        """
        changes = self.changes()
        if self.digested[0] != changes:
            parts = [record.LENGTH.pack(len(self.fellows)), *(self.fellows.packed(address) for address in sorted(self.fellows)),
                     record.LENGTH.pack(len(self.holdings)),
                     *(record.pack(self.holdings[pair]) for pair in sorted(self.holdings)),
                     record.pack(self.electorate.roster)]
            self.digested = changes, hashlib.blake2b(b"".join(parts), digest_size=8).digest()
        return self.digested[1]

    def changes(self) -> tuple:
        """What differs once the table differs.

        Example: ``before = ring.changes()``, and later ``ring.changes() != before``
        """
        return self.fellows.changes, self.holdings.changes, self.electorate.roster

    def hold(self, fresh: holding.Holding) -> None:
        """Take a newer record of a pair's holders, and pass it on.

        Example: ``ring.hold(record)``
        """
        known = self.holdings.get(fresh.pair)
        if known is None or fresh.epoch > known.epoch:
            self.holdings[fresh.pair] = fresh
            self.tell_change()

    def tell_change(self) -> None:
        """Wake whoever waits for a change, and pass it on along the ring.

        Example: ``ring.tell_change()``
        """
        self.changed.set()
        self.fresh.set()

    def take(self, table: fellow.Table) -> None:
        """Merge another node's table; whoever says that this node is down is denied.

        Example: ``ring.take(message.table)``
        """
        before = self.changes()
        for one in table.fellows:
            self.take_fellow(one)
        for one in table.holdings:
            known = self.holdings.get(one.pair)
            if one.pair < 0 or not 0 < one.epoch < fellow.LARGEST:
                self.counts["odd entries"] += 1
            elif known is None or one.epoch > known.epoch:
                self.holdings[one.pair] = one
        self.electorate.learn(table.roster)
        if self.changes() != before:
            self.tell_change()

    def take_fellow(self, one: fellow.Fellow) -> None:
        """Merge one entry.

        Example: ``ring.take_fellow(entry)``
        """
        if not one.sound():
            self.counts["odd entries"] += 1
            return
        if one.address == self.me.address:
            if one.age() > self.me.age():
                self.counts["denials"] += 1
                later = one.incarnation + (one.incarnation > self.me.incarnation)
                self.me = dataclasses.replace(self.me, incarnation=later, serial=one.serial + 1)
                self.fellows[self.me.address] = self.me
            return
        known = self.fellows.get(one.address)
        if known is None or one.age() > known.age():
            if one.state == fellow.DOWN and known is None:
                return
            self.fellows[one.address] = one
            if one.state == fellow.DOWN:
                self.down_since[one.address] = moment.now()
            else:
                self.down_since.pop(one.address, None)
                if known is None or known.state == fellow.DOWN:
                    self.heard[one.address] = moment.now()

    async def beat(self, message: fellow.Beat) -> fellow.Table | holding.Okay:
        """Hear a sign of life; answer with the table when the sender's differs.

        Example: ``await ring.beat(message)``
        """
        self.heard[message.fellow.address] = moment.now()
        known = self.fellows.get(message.fellow.address)
        if known is None or message.fellow.age() > known.age():
            self.take_fellow(message.fellow)
            self.tell_change()
        return self.table() if message.digest != self.digest() else holding.Okay()

    def join(self, message: fellow.Join) -> fellow.Table:
        """Take a table and give one's own.

        Example: ``ring.join(fellow.Join(other.table()))``
        """
        self.take(message.table)
        return self.table()

    async def confirm(self, message: fellow.Confirm) -> fellow.Confirmed:
        """Say as second watcher whether a fellow is missed here too.

        Example: ``(await ring.confirm(message)).missing``
        """
        last = self.heard.get(message.address)
        if last is not None and moment.now() - last < SECOND_SILENCE:
            return fellow.Confirmed(False)
        return fellow.Confirmed(not await self.reaches(message.address))

    async def reaches(self, address: str) -> bool:
        """Whether a node answers at once.

        Example: ``await ring.reaches("a:1")``
        """
        try:
            reply = await self.link.ask(address, fellow.Join(self.table()), ASK)
            self.take(reply)
            self.heard[address] = moment.now()
            return True
        except result.Refusal:
            return False

    async def run(self) -> None:
        """Join, beat, watch, pass on news and look for lost fellows.

        Example: ``group.create_task(ring.run())``
        """
        async with steady.Group() as group:
            group.create_task(self.send_beats())
            group.create_task(self.watch())
            group.create_task(self.spread())
            group.create_task(self.rejoin())

    async def send_beats(self) -> None:
        """Show the watchers that this node lives.

        Example: ``group.create_task(ring.send_beats())``
        """
        while True:
            named = self.fellows.watchers(self.me.address, WATCHERS)
            async with steady.Group() as group:
                for address in named:
                    group.create_task(self.beat_one(address))
                group.create_task(moment.pause(BEAT))

    async def beat_one(self, address: str) -> None:
        """One heartbeat to one watcher.

        Example: ``await ring.beat_one("a:1")``
        """
        try:
            reply = await self.link.ask(address, fellow.Beat(self.me, self.digest()), BEAT)
        except result.Refusal:
            return
        if isinstance(reply, fellow.Table):
            self.take(reply)
            if self.table() != reply:
                self.counts["tables sent"] += 1
                self.link.tell(address, fellow.Join(self.table()))

    def watched(self) -> tuple[str, ...]:
        """The nodes that name this one as a watcher.

        Example: ``ring.watched()``
        """
        return self.fellows.watched(self.me.address, WATCHERS)

    async def watch(self) -> None:
        """Suspect silent fellows; a suspicion is news only once a second watcher confirms it.

        Example: ``group.create_task(ring.watch())``
        """
        previous = moment.now()
        while True:
            await moment.pause(BEAT / 2)
            now = moment.now()
            if now - previous > SILENCE / 2:
                self.heard = {address: now for address in self.heard}
            previous = now
            silent = [address for address in self.watched()
                      if now - self.heard.setdefault(address, now) > SILENCE]
            if silent:
                async with steady.Group() as group:
                    for address in silent:
                        group.create_task(self.suspect(address))
            for address in [one for one, since in self.down_since.items() if now - since > FORGET]:
                del self.down_since[address]
                self.fellows.pop(address, None)

    async def suspect(self, address: str) -> None:
        """Ask a second watcher; mark the fellow down when it is missed there too.

        Example: ``await ring.suspect("a:1")``
        """
        suspected = self.fellows[address]
        self.counts["suspicions"] += 1
        if await self.reaches(address):
            return
        for second in self.fellows.watchers(address, WATCHERS):
            if second == self.me.address:
                continue
            try:
                reply = await self.link.ask(second, fellow.Confirm(address, suspected.incarnation), 2 * ASK)
            except result.Refusal:
                continue
            if not reply.missing:
                return
            break
        if self.fellows.get(address) == suspected:
            self.counts["confirmed"] += 1
            self.fellows[address] = dataclasses.replace(suspected, state=fellow.DOWN)
            self.down_since[address] = moment.now()
            LOG.info("{} is down", address)
            self.tell_change()

    async def spread(self) -> None:
        """Pass on at once to the neighbours on the ring what changed here since the last time.

        What gets lost on the way is found by the digests of later heartbeats.

        Example: ``group.create_task(ring.spread())``
        """
        while True:
            await self.fresh.wait()
            self.fresh.clear()
            neighbours = {*self.fellows.watchers(self.me.address, WATCHERS), *self.watched()}
            told = fellow.Join(fellow.Table(self.fellows.taken(), self.holdings.taken(), self.electorate.roster))
            for address in sorted(neighbours):
                self.counts["tables sent"] += 1
                self.link.tell(address, told)
            await moment.pause(BEAT / 10)

    async def rejoin(self) -> None:
        """Knock at seeds and at nodes thought down, so that halves of a cut find each other again.

        Example: ``group.create_task(ring.rejoin())``
        """
        while True:
            lost = [address for address in (*self.seeds, *self.electorate.roster.everyone())
                    if address != self.me.address and self.state(address) == fellow.DOWN]
            down = [one.address for one in self.fellows.values() if one.state == fellow.DOWN]
            if down:
                lost.append(self.surroundings.randomness.choice(sorted(down)))
            async with steady.Group() as group:
                for address in dict.fromkeys(lost):
                    group.create_task(self.reaches(address))
            if len(self.fellows) > 1 or not [seed for seed in self.seeds if seed != self.me.address]:
                self.joined.set()
            await moment.pause(REJOIN if self.joined.is_set() else BEAT / 2)

    def leave(self) -> None:
        """Tell all that this node is stopping.

        Example: ``ring.leave()``
        """
        self.me = dataclasses.replace(self.me, state=fellow.LEAVING, serial=self.me.serial + 1)
        self.fellows[self.me.address] = self.me
        self.tell_change()
