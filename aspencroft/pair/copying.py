"""Making a group's copies the same: what members send each other, and what one that started asks the others."""

import logbook

import aspencroft.code.result as result
import aspencroft.pair.copy as copy
import aspencroft.pair.exchange as exchange
import aspencroft.pair.holding as holding
import aspencroft.pair.part as part
import aspencroft.seam.moment as moment
import aspencroft.seam.steady as steady

LOG = logbook.Logger("copying")
APPEND = moment.seconds(0.7)
ANSWER = moment.seconds(0.5)
MEND = moment.seconds(5)
MEND_BYTES = 4 << 20


class Copying:
    """The sending side of a member: appending, comparing, mending.

    Example: ``failed = await copying.append(standing, last, entries)``
    """

    def __init__(self, own: part.Part):
        self.own = own

    async def append(self, standing: holding.Holding, last: copy.Mark,
                     entries: tuple[copy.Entry, ...]) -> tuple[holding.Member, ...]:
        """Sync entries here and on all backups at once; the backups whose copies are not the same then.

        Example: ``failed = await copying.append(own.known, own.copy.last(), entries)``
        """
        message = exchange.Append(standing, last, entries)
        async with steady.Group() as group:
            if entries:
                group.create_task(self.own.copy.write(*entries))
            sent = {one: group.create_task(self.send(one, message)) for one in standing.backups}
        for entry in entries:
            self.own.copy.remember(entry)
        return tuple(one for one, task in sent.items() if task.result() != self.own.copy.last())

    async def send(self, backup: holding.Member, message: exchange.Append) -> copy.Mark | None:
        """A backup's newest entry once it synced, or none; tried again while there is time, as it does no harm twice.

        Example: ``mark = await copying.send(backup, message)``
        """
        end = moment.now() + APPEND
        while (left := end - moment.now()) > moment.ZERO:
            try:
                return (await self.own.link.ask(backup.address, message, left)).last
            except result.Refusal as refusal:
                LOG.info("pair {}: backup {}: {}", self.own.pair, backup.address, refusal)
                if refusal.result is not result.Result.UNREACHABLE:
                    return None
            await moment.pause(min(part.RETRY / 3, left))
        return None

    async def agree(self, standing: holding.Holding) -> tuple[holding.Member, ...]:
        """Make all backups' copies the same as this one; those that failed.

        Example: ``failed = await copying.agree(own.known)``
        """
        async with steady.Group() as group:
            mended = {one: group.create_task(self.mend_fellow(one)) for one in standing.backups}
        return tuple(one for one, task in mended.items() if not task.result())

    async def mend_fellow(self, fellow: holding.Member) -> bool:
        """Compare digests with a backup and mend it; whether its copy is now the same.

        Example: ``same = await copying.mend_fellow(own.known.backups[0])``
        """
        own = self.own
        try:
            compared = await own.link.ask(fellow.address, exchange.Compare(own.pair, own.known.epoch), ANSWER)
            if compared.identity != fellow.identity:
                return False
            await own.link.ask(fellow.address, exchange.Appoint(own.known), part.REPLY)
            return await self.mend_from(fellow, compared) == own.copy.last()
        except result.Refusal as refusal:
            LOG.info("pair {}: mending {}: {}", own.pair, fellow.address, refusal)
            return False

    async def mend_from(self, fellow: holding.Member, compared: exchange.Compared) -> copy.Mark:
        """Send what the fellow lacks behind the last range on which the digests agree; its newest entry then.

        Example: ``await copying.mend_from(fellow, compared)``
        """
        held = self.own.copy
        agreeing = [mark.sequence for mark in compared.marks if held.digest_at(mark.sequence) == mark.digest]
        picture = None if agreeing else held.picture
        through = max(agreeing, default=held.picture.sequence)
        goal = held.last()
        while True:
            if through < held.picture.sequence:
                picture, through = held.picture, held.picture.sequence
            entries, size = [], 0
            for entry in held.entries[through - held.picture.sequence:]:
                if entries and size + len(entry.body) > MEND_BYTES:
                    break
                entries.append(entry)
                size += len(entry.body)
            message = exchange.Mend(self.own.known, fellow.identity, through, picture, tuple(entries))
            reply = await self.own.link.ask(fellow.address, message, MEND)
            through, picture = through + len(entries), None
            if through >= goal.sequence or not self.own.claimed():
                return reply.last

    async def made_sure(self) -> bool:
        """After a start: take what another member holds beyond this copy, whose disk may have lost its last value.

        Any one other member is enough, as each holds all that was answered. It goes on without one when all others lost
        their copies, or once patience is over. False while one is still waited for.

        Example: ``if not await copying.made_sure(): return``
        """
        own = self.own
        if not own.unsure:
            return True
        others = [one for one in own.known.members() if one != own.me()]
        async with steady.Group() as group:
            asked = [group.create_task(self.take_from(one)) for one in others]
        told = [task.result() for task in asked]
        if True in told or told.count(None) == len(told) or moment.now() >= own.patience_end:
            own.unsure = False
            return True
        own.why = "waits for another member after the start"
        return False

    async def take_from(self, fellow: holding.Member) -> bool | None:
        """Take what a member holds beyond this copy; false when it does not answer, none when its copy is lost.

        Example: ``await copying.take_from(own.known.primary)``
        """
        own = self.own
        try:
            while True:
                message = exchange.Fetch(own.known, own.copy.last(), fellow.identity)
                reply = await own.link.ask(fellow.address, message, part.REPLY)
                if reply.lost:
                    return None
                if reply.picture is None and not reply.entries:
                    return True
                async with own.lock:
                    if own.copy.last() != message.last:
                        continue
                    LOG.warning("pair {}: {} held more than this disk", own.pair, fellow.address)
                    own.counts["taken at start"] += 1
                    through = message.last.sequence if reply.picture is None else reply.picture.sequence
                    await own.copy.mend(through, reply.picture, reply.entries)
        except result.Refusal as refusal:
            LOG.info("pair {}: comparing with {}: {}", own.pair, fellow.address, refusal)
            return False
