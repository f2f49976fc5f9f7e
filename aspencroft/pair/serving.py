"""A primary's serving: commands in batches, each answered once all members of the record hold its events."""

import asyncio
import collections.abc
import dataclasses
import datetime

import logbook

import aspencroft.code.result as result
import aspencroft.link.record as record
import aspencroft.pair.copy as copy
import aspencroft.pair.copying as copying
import aspencroft.pair.electorate as electorate
import aspencroft.pair.holding as holding
import aspencroft.pair.part as part
import aspencroft.pair.recruiting as recruiting
import aspencroft.pair.witness as witness
import aspencroft.seam.moment as moment
import aspencroft.seam.steady as steady

LOG = logbook.Logger("serving")
RENEW = moment.seconds(0.25)
BEAT = moment.seconds(0.2)
QUEUE = 1024
BATCH = 256


@dataclasses.dataclass
class Submission:
    """A command that waits for its reply."""

    command: object
    end: datetime.timedelta
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True)
class Decided:
    """A submission and the reply that waits until all members hold its events."""

    submission: Submission
    reply: object


class Serving:
    """What a node does while it is a group's primary.

    Example: ``await serving.lead()``
    """

    def __init__(self, own: part.Part, copies: copying.Copying, recruits: recruiting.Recruiting):
        self.own = own
        self.copying = copies
        self.recruiting = recruits
        self.submissions: asyncio.Queue[Submission] = asyncio.Queue(QUEUE)
        self.agreed: holding.Holding | None = None
        self.short: holding.Holding | None = None
        self.touched = moment.ZERO

    async def submit(self, command, within: datetime.timedelta):
        """Have a command decided by the primary; the reply comes once it is synced on all copies.

        Example: ``reply = await serving.submit(command, moment.seconds(1))``
        """
        own = self.own
        if not own.claimed():
            raise result.Refusal(result.Result.NOT_PRIMARY, detail=own.why, retry=part.COME_BACK)
        if not own.known.backups:
            raise result.Refusal(result.Result.NO_BACKUP, detail=own.why, retry=part.COME_BACK)
        if self.submissions.full():
            raise result.Refusal(result.Result.OVERLOADED, detail=f"pair {own.pair}", retry=part.COME_BACK)
        waiting = Submission(command, moment.now() + within, asyncio.get_running_loop().create_future())
        self.submissions.put_nowait(waiting)
        try:
            async with moment.limit(within):
                return await waiting.reply
        except TimeoutError:
            raise result.Refusal(result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN,
                                 f"pair {own.pair} did not finish in time", part.COME_BACK) from None

    async def lead(self) -> None:
        """Claim, make the backups agree, then serve until deposed.

        Example: ``await serving.lead()``
        """
        own = self.own
        own.why = "claiming"
        await own.copy.hold(own.known)
        if own.chosen is None or electorate.holding_of(own.chosen.value) != own.known:
            await own.ballot(lambda standing: standing)
            if own.known.primary != own.me():
                return
        own.leading = True
        own.claim_end = moment.ZERO
        try:
            async with steady.Group() as group:
                group.create_task(self.renew())
                group.create_task(self.serve())
                group.create_task(self.tick())
                group.create_task(self.recruiting.behind())
        finally:
            own.leading = False
            own.claim_end = moment.ZERO
            own.chosen = None
            self.abandon()
            own.copy.settle_view()

    def abandon(self) -> None:
        """Nobody is left without an answer when the primary is deposed.

        Example: ``serving.abandon()``
        """
        self.refuse_waiting(result.Result.NOT_PRIMARY)

    async def renew(self) -> None:
        """Renew the claim; a newer record ends the tenure.

        Once it failed, a claim of no length asks first whether answers come back: witnesses that hear this node and are not heard
        by it would else go on granting claims to a primary that can't use them, and keep its backups from taking over.

        Example: ``group.create_task(serving.renew())``
        """
        own = self.own
        failed = False
        while True:
            used = own.chosen
            end, newest, answered = await own.electorate.claim(used, own.pair, str(own.me()),
                                                               moment.ZERO if failed else witness.CLAIM)
            if end is not None and failed:
                failed = False
                continue
            failed = end is None
            if end is not None:
                own.claim_end = max(own.claim_end, end)
            elif (own.chosen is used and not own.balloting.locked()
                  and (newest or not own.claimed() and answered)):
                own.why = "no majority of witnesses grants the claim"
                try:
                    await own.ballot(lambda standing: standing)
                except result.Refusal as refusal:
                    LOG.info("pair {}: {}", own.pair, refusal)
            own.check_tenure()
            await moment.pause(RENEW if end is not None else part.RETRY)

    async def tick(self) -> None:
        """Clock events of the view, decided like any command.

        Example: ``group.create_task(serving.tick())``
        """
        own = self.own
        while True:
            await moment.pause(BEAT)
            if own.claimed() and own.known.backups and not self.submissions.full():
                for command in own.copy.view.due(moment.now(), own.around.gone):
                    if not self.submissions.full():
                        self.submissions.put_nowait(Submission(
                            command, moment.now() + part.REPLY, asyncio.get_running_loop().create_future()))

    def enough(self, standing: holding.Holding) -> bool:
        """Whether a record names enough members to answer: as many as must hold what is answered, or two at least when a look
        at all other nodes under this record found none that could hold a copy, as those are lost machines then.

        Example: ``serving.enough(own.known)``
        """
        count = len(standing.members())
        return count >= self.own.around.copies or (count >= part.LEAST and self.short == standing)

    async def serve(self) -> None:
        """Make the backups agree, then take batches of commands; recruit first whenever there are too few members.

        Example: ``group.create_task(serving.serve())``
        """
        own = self.own
        held_back: list[Decided] = []
        self.agreed = self.short = None
        try:
            while True:
                standing = own.known
                if not own.claimed():
                    await moment.pause(BEAT / 8)
                elif not standing.backups:
                    own.why = "no backup"
                    self.refuse_waiting(result.Result.NO_BACKUP)
                    if await self.recruiting.recruit():
                        self.agreed = own.known
                    else:
                        await moment.pause(part.RETRY)
                elif self.agreed != standing:
                    await self.agree(standing)
                elif not self.enough(standing):
                    own.why = "recruiting"
                    if await self.recruiting.recruit(doubted=False):
                        self.agreed = own.known
                    elif own.known == standing:
                        self.short = standing
                else:
                    self.answer(held_back)
                    own.why = "serving"
                    await self.recruiting.move_away()
                    if own.known == standing and await self.recruiting.admit():
                        self.agreed = own.known
                    elif own.known == standing:
                        await self.one_batch(held_back)
        finally:
            self.answer(held_back)

    async def agree(self, standing: holding.Holding) -> None:
        """Make the copies of all backups the same; those that fail are recorded out.

        Example: ``await serving.agree(own.known)``
        """
        if not await self.copying.made_sure():
            await moment.pause(part.RETRY)
            return
        self.own.why = "mending the backups"
        failed = await self.copying.agree(standing)
        if failed:
            await self.drop(failed)
        elif self.own.known == standing:
            self.agreed = standing

    def answer(self, decided: list[Decided]) -> None:
        """Hand out replies of what all copies hold, if the claim still stands; else say unknown.

        Example: ``serving.answer(decided)``
        """
        standing = self.own.claimed()
        for one in decided:
            if one.submission.reply.done():
                continue
            if isinstance(one.reply, result.Refusal) and standing:
                fail(one.submission.reply, one.reply)
            elif standing:
                one.submission.reply.set_result(one.reply)
            else:
                fail(one.submission.reply, result.Refusal(
                    result.Result.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the claim ran out", part.COME_BACK))
        decided.clear()

    def refuse_waiting(self, why: result.Result) -> None:
        """Commands that were not begun are refused at once, as while there is no backup.

        Example: ``serving.refuse_waiting(result.Result.NO_BACKUP)``
        """
        while not self.submissions.empty():
            waiting = self.submissions.get_nowait()
            if not waiting.reply.done():
                fail(waiting.reply, result.Refusal(why, retry=part.COME_BACK))

    async def take_batch(self) -> list[Submission]:
        """The commands that wait, or none once it is time to show the backups a sign of life.

        Example: ``batch = await serving.take_batch()``
        """
        try:
            async with moment.limit(BEAT):
                batch = [await self.submissions.get()]
        except TimeoutError:
            return []
        while not self.submissions.empty() and len(batch) < BATCH:
            batch.append(self.submissions.get_nowait())
        return batch

    async def one_batch(self, held_back: list[Decided]) -> None:
        """Decide what waits, sync the events on all copies, answer; backups that failed are recorded out.

        What was decided stays in ``held_back`` until enough copies hold it. The record of holders may change meanwhile, when a
        ballot whose outcome was not known is finished: then the backups that synced may be none any more, and the batch waits
        until the members of the next record agree.

        Example: ``await serving.one_batch(held_back)``
        """
        own = self.own
        batch = await self.take_batch()
        standing = own.known
        if standing != self.agreed:
            for waiting in batch:
                if not waiting.reply.done():
                    fail(waiting.reply, result.Refusal(result.Result.NO_BACKUP, retry=part.COME_BACK))
            return
        last = own.copy.last()
        entries = self.decide(batch, standing, last, held_back)
        if not entries:
            self.answer(held_back)
        if not entries and moment.now() - self.touched < BEAT:
            return
        failed = await self.copying.append(standing, last, entries)
        self.touched = moment.now()
        if not failed and own.known == standing:
            self.answer(held_back)
            own.counts["batches"] += 1
            own.counts["entries"] += len(entries)
            if entries:
                own.committed.set()
                own.copy.begin_picture()
        else:
            self.agreed = None
            if failed:
                await self.drop(failed)

    def decide(self, batch: list[Submission], standing: holding.Holding, last: copy.Mark,
               held_back: list[Decided]) -> tuple[copy.Entry, ...]:
        """Have the view decide commands one after the other; the entries that come of it, folded already.

        Example: ``entries = serving.decide(batch, own.known, own.copy.last(), held_back)``
        """
        own = self.own
        entries: list[copy.Entry] = []
        for waiting in batch:
            if waiting.reply.done():
                continue
            if not own.claimed() or waiting.end < moment.now():
                fail(waiting.reply, result.Refusal(result.Result.NOT_PRIMARY, retry=part.COME_BACK))
                continue
            try:
                events, reply = own.copy.view.decide(waiting.command, moment.now(), standing.epoch)
            except result.Refusal as refusal:
                events, reply = (), refusal
            except Exception as error:
                LOG.exception("pair {} could not decide {}", own.pair, type(waiting.command).__name__)
                events, reply = (), result.Refusal(result.Result.INTERNAL, detail=repr(error))
            for event in events:
                entries.append(copy.Entry(standing.epoch, last.sequence + len(entries) + 1, record.tagged(event)))
                own.copy.fold(entries[-1], event)
            held_back.append(Decided(waiting, reply))
        return tuple(entries)

    async def drop(self, failed: collections.abc.Iterable[holding.Member]) -> None:
        """Have the witnesses record backups out, before anything is answered without them.

        Example: ``await serving.drop(failed)``
        """
        own, gone = self.own, frozenset(failed)
        for one in gone:
            own.doubt(one.address)
        try:
            await own.ballot(lambda standing: dataclasses.replace(
                standing, epoch=standing.epoch + 1, backups=tuple(one for one in standing.backups if one not in gone))
                if standing.primary == own.me() and gone & set(standing.backups) else standing)
        except result.Refusal as refusal:
            LOG.info("pair {}: {}", own.pair, refusal)
            await moment.pause(part.RETRY)
        own.check_tenure()


def fail(reply: asyncio.Future, refusal: result.Refusal) -> None:
    """Refuse a submission; nobody need await the reply, as with clock events.

    Example: ``fail(waiting.reply, result.Refusal(result.Result.NO_BACKUP))``
    """
    reply.set_exception(refusal)
    reply.exception()
