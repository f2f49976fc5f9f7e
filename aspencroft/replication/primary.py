"""A primary's serving: commands in batches, each answered once all members of the record hold its events."""

import asyncio
import collections.abc
import dataclasses
import datetime
import typing

import logbook

from aspencroft.consensus import proposer, replica_set, witness
from aspencroft.errors import result
from aspencroft.replication import (
    group_state,
    log_records,
    log_shipping,
    record_changes,
    replica_changes,
    service_status,
    state_machine,
)
from aspencroft.runtime import clock, events, supervision
from aspencroft.transport import codec

LOG = logbook.Logger("replication.primary")
LEASE_RENEWAL_PERIOD = clock.seconds(0.25)
"""Pause between two renewals of the lease: several fit into one lease, so that a lost answer ends nothing."""
HEARTBEAT_PERIOD = clock.seconds(0.2)
"""Longest pause between two appends: backups take a primary that is silent for longer for a lost one."""
MAX_QUEUED = 1024
"""Most commands that wait for their batch; more are rejected."""
MAX_BATCH = 256
"""Most commands in one batch, which all wait for the slowest of them."""
LOST_DISK_GRACE = clock.seconds(3)
"""How long a lost disk counts as a loss that was to be borne, from when it is noticed: less than any catch-up time."""


Command: typing.TypeAlias = state_machine.Command
"""What a group's state machine is asked to decide; each state machine names its own types."""
Reply: typing.TypeAlias = state_machine.Reply
"""What a state machine answers to a command."""


@dataclasses.dataclass
class Submission:
    """A command that waits for its reply."""

    command: Command
    end: datetime.timedelta
    reply: asyncio.Future


@dataclasses.dataclass(frozen=True)
class Decided:
    """A submission and the reply that waits until all members hold its events."""

    submission: Submission
    reply: Reply


class Primary:
    """What a node does while it is a group's primary."""

    def __init__(
        self,
        state: group_state.GroupState,
        shipping: log_shipping.LogShipping,
        changes: replica_changes.ReplicaChanges,
    ):
        self.state = state
        self.log_shipping = shipping
        self.replica_changes = changes
        self.submissions: asyncio.Queue[Submission] = asyncio.Queue(MAX_QUEUED)
        self.synchronized_record: replica_set.ReplicaSet | None = None
        self.exhausted_record: replica_set.ReplicaSet | None = None
        self.lost_disks: record_changes.LostDisks | None = None
        self.last_append_at = clock.ZERO

    async def submit(self, command: Command, within: datetime.timedelta) -> Reply:
        """Have a command decided by the primary; the reply comes once its events are synced on all replicas.

        A command that needs no event may be answered at once, whatever is being synced.

        Raises:
            RequestError: not run, or rejected by the state machine; ``OUTCOME_UNKNOWN`` where it may have run.

        """
        state = self.state
        if not state.has_lease():
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail=state.status_reason, retry=group_state.CLIENT_RETRY_AFTER
            )
        if not state.record.backups:
            raise result.RequestError(
                result.ResultCode.NO_BACKUP, detail=state.status_reason, retry=group_state.CLIENT_RETRY_AFTER
            )
        if self.submissions.full():
            raise result.RequestError(
                result.ResultCode.OVERLOADED, detail=f"pair {state.group_id}", retry=group_state.CLIENT_RETRY_AFTER
            )
        if self.synchronized_record == state.record:
            reply = state.replica.state_machine.decide_at_once(command, clock.now(), state.record.epoch)
            if reply is not None:
                return reply
        submission = Submission(command, clock.now() + within, asyncio.get_running_loop().create_future())
        self.submissions.put_nowait(submission)
        try:
            async with clock.limit(within):
                return await submission.reply
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN,
                result.Ran.UNKNOWN,
                f"pair {state.group_id} did not finish in time",
                group_state.CLIENT_RETRY_AFTER,
            ) from None

    async def lead(self) -> None:
        """Have the record chosen, repair the backups, then serve until deposed.

        Raises:
            DeposedError: another member is the primary.
            DiskStalledError: a write to this disk has not come back for long.
            RequestError: no majority of the voters took part.

        """
        state = self.state
        state.status_reason = "claiming"
        await state.replica.persist_record(state.record)
        # First a ballot: a lease is asked for only under a record that this member had chosen itself.
        if state.lease.chosen is None or proposer.decode_replica_set(state.lease.chosen.value) != state.record:
            await state.ballot(lambda record: record)
            if state.record.primary != state.me():
                return
        state.role_state.begin_term()
        state.lease.expire()
        try:
            async with supervision.Group() as group:
                group.create_task(self.renew())
                group.create_task(self.serve())
                group.create_task(self.tick())
                group.create_task(self.replica_changes.prepare_candidates())
        finally:
            state.role_state.end_term()
            state.move.end()
            state.lease.expire()
            state.lease.forget_chosen()
            self.reject_all()
            state.replica.reset_after_tenure()
            state.update_role("its term as primary ended")

    def reject_all(self) -> None:
        """Nobody is left without an answer when the primary is deposed."""
        self.reject_queued(result.ResultCode.NOT_PRIMARY)

    async def renew(self) -> None:
        """Renew the lease; a newer record ends the term.

        Once it failed, a lease of no length is asked for first, to see whether answers come back: voters that hear this
        node and are not heard by it would else go on granting leases to a primary that can't use them, and keep its
        backups from taking over.
        """
        state = self.state
        failed = False
        while True:
            state.check_disk()
            used = state.lease.chosen
            assert used is not None, "a term begins only with a chosen record"
            end, newest, answered = await state.proposer.request_lease(
                used, state.group_id, str(state.me()), clock.ZERO if failed else witness.LEASE
            )
            if end is not None and failed:
                failed = False
                continue
            failed = end is None
            if end is not None:
                state.lease.extend(end)
            state.update_role("the lease was granted" if end is not None else "the lease was not renewed")
            if not state.knows_chosen() and not state.balloting.locked() and state.record.primary == state.me():
                await self.settle_record("a record was told of that this node did not have chosen")
            elif end is None and self.needs_ballot(used, newest, answered):
                await self.settle_record("no majority of witnesses grants the lease")
            state.check_tenure()
            await clock.sleep(LEASE_RENEWAL_PERIOD if end is not None else group_state.RETRY)

    def needs_ballot(self, used: proposer.ChosenValue, newest: bytes, answered: bool) -> bool:
        """Whether a refused lease calls for a ballot: a newer record was seen.

        Or a majority answered and the lease is over.
        """
        state = self.state
        unchanged = state.lease.chosen is used and not state.balloting.locked()
        return unchanged and bool(newest or (not state.has_lease() and answered))

    async def settle_record(self, reason: str) -> None:
        """Have the record that stands chosen once more, and know it then."""
        state = self.state
        state.status_reason = reason
        try:
            await state.ballot(lambda record: record)
        except result.RequestError as refusal:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.BALLOT_FAILED,
                    state.group_id,
                    state.record.epoch,
                    member=state.me().label(),
                    reason=str(refusal),
                ),
                "group {}: ballot on the record failed, epoch {}, member {}: {}; asked for as {}",
                state.group_id,
                state.record.epoch,
                state.me().label(),
                refusal,
                reason,
            )

    async def tick(self) -> None:
        """Clock events of the view, decided like any command."""
        state = self.state
        while True:
            await clock.sleep(HEARTBEAT_PERIOD)
            state.replica.state_machine.limit_payload(state.policy.payload_limit())
            if state.has_lease() and state.record.backups and not self.submissions.full():
                for command in state.replica.state_machine.due(clock.now(), state.policy.gone):
                    if not self.submissions.full():
                        self.submissions.put_nowait(
                            Submission(
                                command,
                                clock.now() + group_state.REPLY_TIMEOUT,
                                asyncio.get_running_loop().create_future(),
                            )
                        )

    def has_enough_members(self, record: replica_set.ReplicaSet) -> bool:
        """Whether a record names enough members to answer: as many as must hold what is answered.

        Or two at least when a look at all other nodes under this record found none that could hold a copy, as those
        are lost machines then, or when the disks of those that are missing are known to have been lost just now.
        """
        copies, lost = self.state.policy.copies, self.lost_disks
        if lost is not None and lost.excuse(record, copies, group_state.MIN_REPLICAS, clock.now()):
            return True
        return record_changes.has_enough_members(record, copies, group_state.MIN_REPLICAS, self.exhausted_record)

    async def serve(self) -> None:
        """Repair the backups, then take batches of commands; add replicas first whenever there are too few."""
        undelivered: list[Decided] = []
        self.synchronized_record = self.exhausted_record = self.lost_disks = None
        self.log_shipping.patience.begin()
        try:
            while True:
                await self.serve_step(undelivered)
        finally:
            self.fail_as_unknown(undelivered)

    async def serve_step(self, undelivered: list[Decided]) -> None:
        """Do what the record and the lease call for next: wait, add a replica, repair the backups, or take a batch."""
        state = self.state
        record = state.record
        if not state.has_lease():
            await clock.sleep(HEARTBEAT_PERIOD / 8)
        elif not record.backups:
            state.status_reason = service_status.NO_BACKUP
            self.reject_queued(result.ResultCode.NO_BACKUP)
            if await self.replica_changes.add_replica():
                self.synchronized_record = state.record
            else:
                await clock.sleep(group_state.RETRY)
        elif self.synchronized_record != record:
            await self.synchronize_backups(record)
        elif not self.has_enough_members(record):
            state.status_reason = service_status.RECRUITING
            if await self.replica_changes.add_replica(include_suspected=False):
                self.synchronized_record = state.record
            elif state.record == record:
                self.exhausted_record = record
        else:
            self.send_replies(undelivered)
            state.status_reason = service_status.SERVING
            await self.replica_changes.move_away()
            if state.record == record and await self.replica_changes.admit_candidate():
                self.synchronized_record = state.record
            elif state.record == record:
                await self.commit_batch(undelivered)

    async def synchronize_backups(self, record: replica_set.ReplicaSet) -> None:
        """Make the copies of all backups the same; those that fail are recorded out."""
        if not await self.log_shipping.confirm_log():
            await clock.sleep(group_state.RETRY)
            return
        self.state.status_reason = service_status.REPAIRING_BACKUPS
        failed = await self.log_shipping.synchronize_backups(record)
        lost = self.log_shipping.lost_disks.intersection(failed)
        if failed:
            await self.record_out_failed(failed)
            end = clock.now() + LOST_DISK_GRACE
            self.lost_disks = record_changes.LostDisks(self.state.record, len(lost), end)
        elif self.state.record == record:
            self.synchronized_record = record

    def send_replies(self, decided: list[Decided]) -> None:
        """Hand out replies of what all replicas hold, if the lease still stands; else the outcome is unknown."""
        if not self.state.has_lease():
            self.fail_as_unknown(decided)
            return
        for item in decided:
            if item.submission.reply.done():
                continue
            if isinstance(item.reply, result.RequestError):
                fail(item.submission.reply, item.reply)
            else:
                item.submission.reply.set_result(item.reply)
        decided.clear()

    def fail_as_unknown(self, decided: list[Decided]) -> None:
        """At the end of a tenure: what not all copies are known to hold is neither confirmed nor refused."""
        for item in decided:
            if not item.submission.reply.done():
                fail(item.submission.reply, outcome_unknown())
        decided.clear()

    def reject_queued(self, code: result.ResultCode) -> None:
        """Commands that were not begun are refused at once, as while there is no backup."""
        while not self.submissions.empty():
            submission = self.submissions.get_nowait()
            if not submission.reply.done():
                fail(submission.reply, result.RequestError(code, retry=group_state.CLIENT_RETRY_AFTER))

    async def take_batch(self) -> list[Submission]:
        """The commands that wait, or none once it is time to show the backups a sign of life."""
        try:
            async with clock.limit(HEARTBEAT_PERIOD):
                batch = [await self.submissions.get()]
        except TimeoutError:
            return []
        while not self.submissions.empty() and len(batch) < MAX_BATCH:
            batch.append(self.submissions.get_nowait())
        return batch

    async def commit_batch(self, undelivered: list[Decided]) -> None:
        """Decide what waits, sync the events on all copies, answer; backups that failed are recorded out.

        What was decided stays in ``undelivered`` until enough copies hold it.
        The replica set may change meanwhile, when a
        ballot whose outcome was not known is finished: then the backups that synced may be none any more,
        and the batch waits
        until the members of the next record agree.
        """
        state = self.state
        batch = await self.take_batch()
        record = state.record
        if record != self.synchronized_record:
            for submission in batch:
                if not submission.reply.done():
                    fail(
                        submission.reply,
                        result.RequestError(result.ResultCode.NO_BACKUP, retry=group_state.CLIENT_RETRY_AFTER),
                    )
            return
        last = state.replica.last()
        entries = self.decide(batch, record, last, undelivered)
        if not entries:
            self.send_replies(undelivered)
        if not entries and clock.now() - self.last_append_at < HEARTBEAT_PERIOD:
            return
        failed = await self.log_shipping.append(record, last, entries)
        self.last_append_at = clock.now()
        if not failed and state.record == record:
            state.replica.state_machine.note_committed()
            self.send_replies(undelivered)
            state.counts["batches"] += 1
            state.counts["entries"] += len(entries)
            if entries:
                state.committed.set()
                state.replica.begin_snapshot()
        else:
            self.synchronized_record = None
            if failed:
                await self.record_out_failed(failed)

    def decide(
        self,
        batch: list[Submission],
        record: replica_set.ReplicaSet,
        last: log_records.LogPosition,
        undelivered: list[Decided],
    ) -> tuple[log_records.Entry, ...]:
        """Have the view decide commands one after the other; the entries that come of it, folded already."""
        state = self.state
        entries: list[log_records.Entry] = []
        for submission in batch:
            if submission.reply.done():
                continue
            if not state.has_lease() or submission.end < clock.now():
                fail(
                    submission.reply,
                    result.RequestError(result.ResultCode.NOT_PRIMARY, retry=group_state.CLIENT_RETRY_AFTER),
                )
                continue
            try:
                events, reply = state.replica.state_machine.decide(submission.command, clock.now(), record.epoch)
            except result.RequestError as refusal:
                events, reply = (), refusal
            except Exception as error:  # a fault in deciding one command must not end the primary's supervised task
                LOG.exception(
                    "group {}: command {} not decided, epoch {}, member {}: internal fault",
                    state.group_id,
                    type(submission.command).__name__,
                    record.epoch,
                    state.me().label(),
                )
                events, reply = (), result.RequestError(result.ResultCode.INTERNAL, detail=repr(error))
            for event in events:
                entries.append(log_records.Entry(record.epoch, last.sequence + len(entries) + 1, codec.tagged(event)))
                state.replica.apply(entries[-1], event)
            undelivered.append(Decided(submission, reply))
        return tuple(entries)

    async def record_out_failed(self, failed: collections.abc.Iterable[replica_set.ReplicaId]) -> None:
        """Have the witnesses record backups out.

        Before anything is answered without them: until the record leaves them out they may take over and would lack
        what was answered meanwhile.

        Raises:
            DeposedError: another member is the primary.

        """
        state, gone = self.state, frozenset(failed)
        for backup in gone:
            state.suspected_peers.suspect(backup.address)
        try:
            await state.ballot(lambda record: record_changes.without_backups(record, state.me(), gone))
        except result.RequestError as refusal:
            members = ", ".join(sorted(backup.label() for backup in gone))
            events.report(
                LOG,
                events.EventFields(
                    events.Event.REPLICAS_NOT_DROPPED,
                    state.group_id,
                    state.record.epoch,
                    member=members,
                    reason=str(refusal),
                ),
                "group {}: failed backups not dropped, epoch {}, members {}: {}",
                state.group_id,
                state.record.epoch,
                members,
                refusal,
            )
            await clock.sleep(group_state.RETRY)
        else:
            state.log_dropped(gone, "their logs are not known to be the primary's")
        state.check_tenure()


def outcome_unknown() -> result.RequestError:
    """The answer to a command that was decided and may or may not last."""
    return result.RequestError(
        result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the lease ran out", group_state.CLIENT_RETRY_AFTER
    )


def fail(reply: asyncio.Future, refusal: result.RequestError) -> None:
    """Refuse a submission; nobody need await the reply, as with clock events."""
    reply.set_exception(refusal)
    reply.exception()
