"""A node's part in one group: primary, backup or bystander, as the newest record says; answers to the other members."""

import datetime

import logbook

import aspencroft.code.result as result
import aspencroft.link.link as link
import aspencroft.pair.copy as copy
import aspencroft.pair.copying as copying
import aspencroft.pair.electorate as electorate
import aspencroft.pair.exchange as exchange
import aspencroft.pair.following as following
import aspencroft.pair.holding as holding
import aspencroft.pair.part as part
import aspencroft.pair.recruiting as recruiting
import aspencroft.pair.serving as serving
import aspencroft.seam.moment as moment
import aspencroft.seam.steady as steady

LOG = logbook.Logger("pair")
PATIENCE = moment.seconds(3)


class Host(part.Part):
    """One group on one node.

    Example: ``reply = await host.submit(command, moment.seconds(1))``
    """

    def __init__(self, held: copy.Copy, links: link.Link, voters: electorate.Electorate, address: str, area: str,
                 around: part.Around):
        super().__init__(held, links, voters, address, area, around)
        self.copying = copying.Copying(self)
        self.recruiting = recruiting.Recruiting(self, self.copying)
        self.serving = serving.Serving(self, self.copying, self.recruiting)
        self.following = following.Following(self, self.copying)

    async def run(self) -> None:
        """Be whatever the newest record says, for ever.

        Example: ``group.create_task(host.run())``
        """
        self.patience_end = moment.now() + PATIENCE
        if self.copy.holding is not None:
            self.learn(self.copy.holding)
        while True:
            self.changed.clear()
            standing = self.known
            try:
                if standing is not None and standing.primary == self.me():
                    await self.serving.lead()
                elif standing is not None and self.me() in standing.backups:
                    await self.following.follow()
                else:
                    self.why = "bystander"
                    await self.changed.wait()
            except* (part.Deposed, result.Refusal) as group:
                LOG.info("pair {}: {}", self.pair, group.exceptions)
                steady.heed()
                await moment.pause(part.RETRY)

    async def submit(self, command, within: datetime.timedelta):
        """Have a command decided, if this node is the primary; the reply comes once it is synced on all copies.

        Example: ``reply = await host.submit(command, moment.seconds(1))``
        """
        return await self.serving.submit(command, within)

    def stands(self, message: exchange.Ask) -> exchange.Stands:
        """As primary that serves: the record that stands, while no ballot is under way.

        Example: ``host.stands(exchange.Ask(1, "a:1")).emptied``
        """
        if not self.claimed() or self.why != "serving" or self.balloting.locked():
            raise result.Refusal(result.Result.NOT_PRIMARY, detail=self.why, retry=part.COME_BACK)
        return exchange.Stands(self.known, self.around.emptied(message.address))

    async def fetch(self, message: exchange.Fetch) -> exchange.Fetched:
        """As a member of the same record: what this copy holds beyond that of one that just started.

        Example: ``await host.fetch(exchange.Fetch(record, mark, identity))``
        """
        async with self.lock:
            if message.identity != self.copy.identity:
                return exchange.Fetched(None, (), True)
            if (self.known is None or message.holding.epoch != self.known.epoch
                    or self.me() not in self.known.members()):
                raise result.Refusal(result.Result.LOWER_EPOCH, detail="not a member of that record")
            return exchange.Fetched(*self.copy.ahead_of(message.last, copying.MEND_BYTES), False)

    async def append(self, message: exchange.Append) -> exchange.Appended:
        """As backup: take entries that follow the last one; refuse lower epochs.

        Example: ``await host.append(message)``
        """
        async with self.lock:
            if self.known is None or message.holding.epoch > self.known.epoch:
                self.learn(message.holding)
            if message.holding.epoch < self.known.epoch or self.me() not in self.known.backups:
                raise result.Refusal(result.Result.LOWER_EPOCH, detail=f"epoch {self.known.epoch} stands")
            await self.copy.hold(self.known)
            self.heard, self.unsure = moment.now(), False
            fresh = self.copy.beyond(message.previous, message.entries)
            if fresh:
                await self.copy.append(fresh)
                self.copy.begin_picture()
            return exchange.Appended(self.copy.last())

    def compare(self, message: exchange.Compare) -> exchange.Compared:
        """Identity and range digests of this copy.

        Example: ``host.compare(exchange.Compare(0, 3)).marks``
        """
        return exchange.Compared(self.copy.identity, self.copy.marks())

    async def mend(self, message: exchange.Mend) -> exchange.Appended:
        """As candidate or backup: become like the primary's copy.

        Example: ``await host.mend(message)``
        """
        async with self.lock:
            self.learn(message.holding)
            if (self.leading or message.identity != self.copy.identity
                    or message.holding.epoch < self.known.epoch):
                raise result.Refusal(result.Result.LOWER_EPOCH, detail="not to be mended by that")
            await self.copy.hold(message.holding)
            self.heard, self.unsure = moment.now(), False
            return exchange.Appended(await self.copy.mend(message.through, message.picture, message.entries))

    async def appoint(self, message: exchange.Appoint) -> holding.Okay:
        """Hear at once of a record that names this node.

        Example: ``await host.appoint(exchange.Appoint(record))``
        """
        self.learn(message.holding)
        return holding.Okay()
