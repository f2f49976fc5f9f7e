"""A primary's serving: commands in batches, each answered once all members of the record hold its events."""

import asyncio
import collections.abc
import dataclasses
import datetime

import logbook

from aspencroft.consensus import proposer, replica_set, witness
from aspencroft.errors import result
from aspencroft.replication import group_state, log_records, log_shipping, record_changes, replica_changes
from aspencroft.runtime import clock, supervision
from aspencroft.transport import codec

LOG = logbook.Logger("replication.primary")
RENEW = clock.seconds(0.25)
BEAT = clock.seconds(0.2)
QUEUE = 1024
BATCH = 256
LOST_DISK_COUNTS = clock.seconds(3)
"""How long a lost disk counts as a loss that was to be borne, from when it is noticed: less than any catch-up time."""


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


class Primary:
    """What a node does while it is a group's primary."""

    def __init__(
        self,
        own: group_state.GroupState,
        copies: log_shipping.LogShipping,
        recruits: replica_changes.ReplicaChanges,
    ):
        self.own = own
        self.log_shipping = copies
        self.replica_changes = recruits
        self.submissions: asyncio.Queue[Submission] = asyncio.Queue(QUEUE)
        self.agreed: replica_set.ReplicaSet | None = None
        self.short: replica_set.ReplicaSet | None = None
        self.lost_disks: record_changes.LostDisks | None = None
        self.touched = clock.ZERO

    async def submit(self, command, within: datetime.timedelta):
        """Have a command decided by the primary; the reply comes once it is synced on all copies."""
        own = self.own
        if not own.has_lease():
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail=own.status_reason, retry=group_state.COME_BACK
            )
        if not own.known.backups:
            raise result.RequestError(
                result.ResultCode.NO_BACKUP, detail=own.status_reason, retry=group_state.COME_BACK
            )
        if self.submissions.full():
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail=f"pair {own.group_id}", retry=group_state.COME_BACK
            )
        waiting = Submission(command, clock.now() + within, asyncio.get_running_loop().create_future())
        self.submissions.put_nowait(waiting)
        try:
            async with clock.limit(within):
                return await waiting.reply
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN,
                result.Ran.UNKNOWN,
                f"pair {own.group_id} did not finish in time",
                group_state.COME_BACK,
            ) from None

    async def lead(self) -> None:
        """Claim, make the backups agree, then serve until deposed."""
        own = self.own
        own.status_reason = "claiming"
        await own.replica.persist_record(own.known)
        if own.chosen is None or proposer.replica_set_of(own.chosen.value) != own.known:
            await own.ballot(lambda standing: standing)
            if own.known.primary != own.me():
                return
        own.leading = True
        own.lease_end = clock.ZERO
        try:
            async with supervision.Group() as group:
                group.create_task(self.renew())
                group.create_task(self.serve())
                group.create_task(self.tick())
                group.create_task(self.replica_changes.behind())
        finally:
            own.leading = own.handing_over = False
            own.moving = None
            own.lease_end = clock.ZERO
            own.chosen = None
            self.abandon()
            own.replica.reset_after_tenure()

    def abandon(self) -> None:
        """Nobody is left without an answer when the primary is deposed."""
        self.refuse_waiting(result.ResultCode.NOT_PRIMARY)

    async def renew(self) -> None:
        """Renew the claim; a newer record ends the tenure.

        Once it failed, a claim of no length asks first whether answers come back:
        witnesses that hear this node and are not heard
        by it would else go on granting claims to a primary that can't use them, and keep its backups from taking over.
        """
        own = self.own
        failed = False
        while True:
            own.check_disk()
            used = own.chosen
            end, newest, answered = await own.proposer.request_lease(
                used, own.group_id, str(own.me()), clock.ZERO if failed else witness.LEASE
            )
            if end is not None and failed:
                failed = False
                continue
            failed = end is None
            if end is not None:
                own.lease_end = max(own.lease_end, end)
            if not own.knows_chosen() and not own.balloting.locked() and own.known.primary == own.me():
                await self.settle_record("a record was told of that this node did not have chosen")
            elif end is None and self.outdated(used, newest, answered):
                await self.settle_record("no majority of witnesses grants the lease")
            own.check_tenure()
            await clock.sleep(RENEW if end is not None else group_state.RETRY)

    def outdated(self, used: proposer.ChosenValue, newest: bytes, answered: bool) -> bool:
        """Whether a refused lease calls for a ballot: a newer record was seen.

        Or a majority answered and the lease is over.
        """
        own = self.own
        unchanged = own.chosen is used and not own.balloting.locked()
        return unchanged and bool(newest or (not own.has_lease() and answered))

    async def settle_record(self, why: str) -> None:
        """Have the record that stands chosen once more, and know it then."""
        own = self.own
        own.status_reason = why
        try:
            await own.ballot(lambda standing: standing)
        except result.RequestError as refusal:
            LOG.info("pair {}: {}", own.group_id, refusal)

    async def tick(self) -> None:
        """Clock events of the view, decided like any command."""
        own = self.own
        while True:
            await clock.sleep(BEAT)
            own.replica.state_machine.limit_payload(own.around.payload_limit())
            if own.has_lease() and own.known.backups and not self.submissions.full():
                for command in own.replica.state_machine.due(clock.now(), own.around.gone):
                    if not self.submissions.full():
                        self.submissions.put_nowait(
                            Submission(
                                command,
                                clock.now() + group_state.REPLY,
                                asyncio.get_running_loop().create_future(),
                            )
                        )

    def enough(self, standing: replica_set.ReplicaSet) -> bool:
        """Whether a record names enough members to answer: as many as must hold what is answered.

        Or two at least when a look at all other nodes under this record found none that could hold a copy, as those
        are lost machines then, or when the disks of those that are missing are known to have been lost just now.
        """
        copies, lost = self.own.around.copies, self.lost_disks
        if lost is not None and lost.excuse(standing, copies, group_state.LEAST, clock.now()):
            return True
        return record_changes.enough(standing, copies, group_state.LEAST, self.short)

    async def serve(self) -> None:
        """Make the backups agree, then take batches of commands; recruit first whenever there are too few members."""
        own = self.own
        held_back: list[Decided] = []
        self.agreed = self.short = self.lost_disks = None
        self.log_shipping.patience.begin()
        try:
            while True:
                standing = own.known
                if not own.has_lease():
                    await clock.sleep(BEAT / 8)
                elif not standing.backups:
                    own.status_reason = "no backup"
                    self.refuse_waiting(result.ResultCode.NO_BACKUP)
                    if await self.replica_changes.add_replica():
                        self.agreed = own.known
                    else:
                        await clock.sleep(group_state.RETRY)
                elif self.agreed != standing:
                    await self.agree(standing)
                elif not self.enough(standing):
                    own.status_reason = "recruiting"
                    if await self.replica_changes.add_replica(doubted=False):
                        self.agreed = own.known
                    elif own.known == standing:
                        self.short = standing
                else:
                    self.answer(held_back)
                    own.status_reason = "serving"
                    await self.replica_changes.move_away()
                    if own.known == standing and await self.replica_changes.admit():
                        self.agreed = own.known
                    elif own.known == standing:
                        await self.one_batch(held_back)
        finally:
            self.leave_unclear(held_back)

    async def agree(self, standing: replica_set.ReplicaSet) -> None:
        """Make the copies of all backups the same; those that fail are recorded out."""
        if not await self.log_shipping.made_sure():
            await clock.sleep(group_state.RETRY)
            return
        self.own.status_reason = "mending the backups"
        failed = await self.log_shipping.agree(standing)
        lost = self.log_shipping.lost.intersection(failed)
        if failed:
            await self.drop(failed)
            end = clock.now() + LOST_DISK_COUNTS
            self.lost_disks = record_changes.LostDisks(self.own.known, len(lost), end)
        elif self.own.known == standing:
            self.agreed = standing

    def answer(self, decided: list[Decided]) -> None:
        """Hand out replies of what all replicas hold, if the lease still stands; else the outcome is unknown."""
        if not self.own.has_lease():
            self.leave_unclear(decided)
            return
        for one in decided:
            if one.submission.reply.done():
                continue
            if isinstance(one.reply, result.RequestError):
                fail(one.submission.reply, one.reply)
            else:
                one.submission.reply.set_result(one.reply)
        decided.clear()

    def leave_unclear(self, decided: list[Decided]) -> None:
        """At the end of a tenure: what not all copies are known to hold is neither confirmed nor refused."""
        for one in decided:
            if not one.submission.reply.done():
                fail(one.submission.reply, unclear())
        decided.clear()

    def refuse_waiting(self, why: result.ResultCode) -> None:
        """Commands that were not begun are refused at once, as while there is no backup."""
        while not self.submissions.empty():
            waiting = self.submissions.get_nowait()
            if not waiting.reply.done():
                fail(waiting.reply, result.RequestError(why, retry=group_state.COME_BACK))

    async def take_batch(self) -> list[Submission]:
        """The commands that wait, or none once it is time to show the backups a sign of life."""
        try:
            async with clock.limit(BEAT):
                batch = [await self.submissions.get()]
        except TimeoutError:
            return []
        while not self.submissions.empty() and len(batch) < BATCH:
            batch.append(self.submissions.get_nowait())
        return batch

    async def one_batch(self, held_back: list[Decided]) -> None:
        """Decide what waits, sync the events on all copies, answer; backups that failed are recorded out.

        What was decided stays in ``held_back`` until enough copies hold it.
        The replica set may change meanwhile, when a
        ballot whose outcome was not known is finished: then the backups that synced may be none any more,
        and the batch waits
        until the members of the next record agree.
        """
        own = self.own
        batch = await self.take_batch()
        standing = own.known
        if standing != self.agreed:
            for waiting in batch:
                if not waiting.reply.done():
                    fail(
                        waiting.reply,
                        result.RequestError(result.ResultCode.NO_BACKUP, retry=group_state.COME_BACK),
                    )
            return
        last = own.replica.last()
        entries = self.decide(batch, standing, last, held_back)
        if not entries:
            self.answer(held_back)
        if not entries and clock.now() - self.touched < BEAT:
            return
        failed = await self.log_shipping.append(standing, last, entries)
        self.touched = clock.now()
        if not failed and own.known == standing:
            self.answer(held_back)
            own.counts["batches"] += 1
            own.counts["entries"] += len(entries)
            if entries:
                own.committed.set()
                own.replica.begin_snapshot()
        else:
            self.agreed = None
            if failed:
                await self.drop(failed)

    def decide(
        self,
        batch: list[Submission],
        standing: replica_set.ReplicaSet,
        last: log_records.LogPosition,
        held_back: list[Decided],
    ) -> tuple[log_records.Entry, ...]:
        """Have the view decide commands one after the other; the entries that come of it, folded already."""
        own = self.own
        entries: list[log_records.Entry] = []
        for waiting in batch:
            if waiting.reply.done():
                continue
            if not own.has_lease() or waiting.end < clock.now():
                fail(
                    waiting.reply,
                    result.RequestError(result.ResultCode.NOT_PRIMARY, retry=group_state.COME_BACK),
                )
                continue
            try:
                events, reply = own.replica.state_machine.decide(waiting.command, clock.now(), standing.epoch)
            except result.RequestError as refusal:
                events, reply = (), refusal
            except Exception as error:
                LOG.exception("pair {} could not decide {}", own.group_id, type(waiting.command).__name__)
                events, reply = (), result.RequestError(result.ResultCode.INTERNAL, detail=repr(error))
            for event in events:
                entries.append(log_records.Entry(standing.epoch, last.sequence + len(entries) + 1, codec.tagged(event)))
                own.replica.apply(entries[-1], event)
            held_back.append(Decided(waiting, reply))
        return tuple(entries)

    async def drop(self, failed: collections.abc.Iterable[replica_set.ReplicaId]) -> None:
        """Have the witnesses record backups out, before anything is answered without them."""
        own, gone = self.own, frozenset(failed)
        for one in gone:
            own.doubt(one.address)
        try:
            await own.ballot(lambda standing: record_changes.without(standing, own.me(), gone))
        except result.RequestError as refusal:
            LOG.info("pair {}: {}", own.group_id, refusal)
            await clock.sleep(group_state.RETRY)
        own.check_tenure()


def unclear() -> result.RequestError:
    """The answer to a command that was decided and may or may not last."""
    return result.RequestError(
        result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the lease ran out", group_state.COME_BACK
    )


def fail(reply: asyncio.Future, refusal: result.RequestError) -> None:
    """Refuse a submission; nobody need await the reply, as with clock events."""
    reply.set_exception(refusal)
    reply.exception()
