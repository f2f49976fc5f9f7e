"""A backup's watch over its primary, and taking over from it."""

import dataclasses

import logbook

import aspencroft.code.result as result
import aspencroft.pair.copying as copying
import aspencroft.pair.electorate as electorate
import aspencroft.pair.holding as holding
import aspencroft.pair.part as part
import aspencroft.seam.moment as moment

LOG = logbook.Logger("following")
SILENCE = moment.seconds(0.7)
TURN = moment.seconds(0.25)
AGAIN = moment.seconds(0.1)


class Following:
    """What a node does while it is a group's backup.

    Example: ``await following.follow()``
    """

    def __init__(self, own: part.Part, copies: copying.Copying):
        self.own = own
        self.copying = copies
        self.watched: holding.Member | None = None

    async def follow(self) -> None:
        """Hold the backup's copy; take over once the primary is silent and its claim ran out, the first backup first.

        Example: ``await following.follow()``
        """
        own = self.own
        if self.watched != own.known.primary:
            self.watched, own.heard = own.known.primary, moment.now()
        own.why = "backup"
        standing = own.known
        await own.copy.hold(standing)
        silence = SILENCE + standing.backups.index(own.me()) * TURN
        pause = own.heard + silence - moment.now()
        while own.known == standing:
            try:
                async with moment.limit(max(pause, AGAIN)):
                    await own.changed.wait()
                return
            except TimeoutError:
                pass
            pause = own.heard + silence - moment.now()
            if moment.now() - own.heard > silence:
                try:
                    await self.take_over(standing)
                except result.Refusal as refusal:
                    LOG.info("pair {}: taking over: {}", own.pair, refusal)
                    pause = min(part.RETRY if refusal.retry is None else refusal.retry, part.RETRY)

    async def take_over(self, standing: holding.Holding) -> None:
        """Become the primary through the witnesses; only as a backup of the newest record, and only of the silent primary.

        Example: ``await following.take_over(own.known)``
        """
        own = self.own
        if not await self.copying.made_sure():
            return
        own.doubt(standing.primary.address)
        chosen = await own.ballot(lambda newest: dataclasses.replace(
            newest, epoch=newest.epoch + 1, primary=own.me(), backups=tuple(one for one in newest.backups if one != own.me()))
            if own.me() in newest.backups and newest.primary == standing.primary else newest)
        if electorate.holding_of(chosen.value).primary == own.me():
            own.counts["takeovers"] += 1
