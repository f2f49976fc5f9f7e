"""The primary of a group: commits commands in batches and replies once all members hold their events."""

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
"""Pause between two lease renewals: several fit into one lease, so that a single lost reply does not end it."""
HEARTBEAT_PERIOD = clock.seconds(0.2)
"""Longest pause between two appends: well below the time-out after which backups take a silent primary for lost."""
MAX_QUEUED = 1024
"""Maximum number of commands queued for a batch; further commands are rejected."""
MAX_BATCH = 256
"""Maximum number of commands in one batch: all of them wait for the slowest."""
MAX_BATCH_BYTES = 4 << 20
"""A batch takes no more commands from this size on: it is copied several times, and must fit into a frame."""
LOST_DISK_GRACE = clock.seconds(3)
"""How long after its detection a lost disk counts towards the tolerated losses: less than any catch-up time."""


Command: typing.TypeAlias = state_machine.Command
"""A command for a group's state machine; each state machine defines its own types."""
Reply: typing.TypeAlias = state_machine.Reply
"""A state machine's reply to a command."""


@dataclasses.dataclass
class Submission:
    """A queued command, its deadline, the future for its reply, and its size in bytes."""

    command: Command
    end: datetime.timedelta
    reply: asyncio.Future
    size: int = 0


@dataclasses.dataclass(frozen=True)
class Decided:
    """A submission and its reply, which is held back until all members hold the events."""

    submission: Submission
    reply: Reply


class Primary:
    """The work of a node while it is a group's primary."""

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

    async def submit(self, command: Command, within: datetime.timedelta, size: int = 0) -> Reply:
        """Run a command on the primary and return the reply once its events are synced on all replicas.

        A command without events may be answered at once, even while a batch is being synced.

        Raises:
            RequestError: The command was not run or was rejected; ``OUTCOME_UNKNOWN`` if it may have run.

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
                result.ResultCode.OVERLOADED,
                detail=f"group {state.group_id}: the command queue is full",
                retry=group_state.CLIENT_RETRY_AFTER,
            )
        if self.synchronized_record == state.record:
            reply = state.replica.state_machine.decide_at_once(command, clock.now(), state.record.epoch)
            if reply is not None:
                return reply
        submission = Submission(command, clock.now() + within, asyncio.get_running_loop().create_future(), size)
        self.submissions.put_nowait(submission)
        try:
            async with clock.limit(within):
                return await submission.reply
        except TimeoutError:
            raise result.RequestError(
                result.ResultCode.OUTCOME_UNKNOWN,
                result.Ran.UNKNOWN,
                f"group {state.group_id}: the command did not finish in time",
                group_state.CLIENT_RETRY_AFTER,
            ) from None
        finally:
            # A future holds its exception, whose traceback holds this frame: without this cycle all is freed at once.
            del submission

    async def lead(self) -> None:
        """Have the replica set chosen by ballot, repair the backups, then serve until deposed.

        Raises:
            DeposedError: Another member is the primary.
            DiskStalledError: A write to this disk has stalled.
            RequestError: No majority of the voters took part.

        """
        state = self.state
        state.status_reason = "claiming"
        await state.replica.persist_record(state.record)
        # The ballot comes first: a lease is requested only under a replica set that this member had chosen itself.
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
            state.update_role("the term as primary ended")

    def reject_all(self) -> None:
        """Reject all queued commands when the term ends, so that no caller waits for its time-out."""
        self.reject_queued(result.ResultCode.NOT_PRIMARY)

    async def renew(self) -> None:
        """Renew the lease; a newer replica set ends the term.

        After a failed renewal, the next request asks for a lease of zero length, to test whether replies arrive. If
        only the direction from the voters to this node is broken, they would otherwise keep granting leases that this
        primary can't use, and that block a takeover by its backups.
        """
        state = self.state
        failed = False
        while True:
            state.check_disk()
            used = state.lease.chosen
            assert used is not None, "a term begins only with a chosen replica set"
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
                await self.confirm_record("a replica set was reported that this node did not have chosen")
            elif end is None and self.needs_ballot(used, newest, answered):
                await self.confirm_record("no majority of the witnesses grants the lease")
            state.check_tenure()
            await clock.sleep(LEASE_RENEWAL_PERIOD if end is not None else group_state.RETRY)

    def needs_ballot(self, used: proposer.ChosenValue, newest: bytes, answered: bool) -> bool:
        """Whether a refused lease requires a ballot.

        It does if a newer replica set was reported, or if a majority replied and the lease has expired.
        """
        state = self.state
        unchanged = state.lease.chosen is used and not state.balloting.locked()
        return unchanged and bool(newest or (not state.has_lease() and answered))

    async def confirm_record(self, reason: str) -> None:
        """Have the current replica set chosen once more by a ballot, and learn the result; its epoch may be higher."""
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
        """Queue the commands that the state machine's timers require; they are committed like any other command."""
        state = self.state
        while True:
            await clock.sleep(HEARTBEAT_PERIOD)
            state.replica.state_machine.limit_payload(state.policy.payload_limit())
            if state.has_lease() and state.record.backups and not self.submissions.full():
                for command in state.replica.state_machine.due(clock.now(), state.policy.is_lost):
                    if not self.submissions.full():
                        self.submissions.put_nowait(
                            Submission(
                                command,
                                clock.now() + group_state.REPLY_TIMEOUT,
                                asyncio.get_running_loop().create_future(),
                            )
                        )

    def has_enough_members(self, record: replica_set.ReplicaSet) -> bool:
        """Whether a replica set names enough members to acknowledge commands: as many as the policy requires.

        ``MIN_REPLICAS`` suffice in two cases: a search through all other nodes under this replica set found no
        candidate, so the missing machines are lost, or the disks of the missing members were lost a moment ago.
        """
        required, lost = self.state.policy.required_replicas, self.lost_disks
        if lost is not None and lost.covers_missing(record, required, group_state.MIN_REPLICAS, clock.now()):
            return True
        return record_changes.has_enough_members(record, required, group_state.MIN_REPLICAS, self.exhausted_record)

    async def serve(self) -> None:
        """Repair the backups, then commit batches of commands; add replicas first whenever there are too few."""
        undelivered: list[Decided] = []
        self.synchronized_record = self.exhausted_record = self.lost_disks = None
        self.log_shipping.adaptive_timeout.begin()
        try:
            while True:
                await self.serve_step(undelivered)
        finally:
            self.fail_as_unknown(undelivered)

    async def serve_step(self, undelivered: list[Decided]) -> None:
        """Take the next step: wait for the lease, add a replica, repair the backups, or commit a batch."""
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
            await self.replica_changes.remove_leaving_members()
            if state.record == record and await self.replica_changes.admit_candidate():
                self.synchronized_record = state.record
            elif state.record == record:
                await self.commit_batch(undelivered)

    async def synchronize_backups(self, record: replica_set.ReplicaSet) -> None:
        """Bring the logs of all backups up to date; those that fail are removed from the replica set."""
        if not await self.log_shipping.confirm_log():
            await clock.sleep(group_state.RETRY)
            return
        self.state.status_reason = service_status.REPAIRING_BACKUPS
        failed = await self.log_shipping.synchronize_backups(record)
        lost = self.log_shipping.lost_disks.intersection(failed)
        if failed:
            await self.remove_failed_backups(failed)
            end = clock.now() + LOST_DISK_GRACE
            self.lost_disks = record_changes.LostDisks(self.state.record, len(lost), end)
        elif self.state.record == record:
            self.synchronized_record = record

    def send_replies(self, decided: list[Decided]) -> None:
        """Send the replies of commands whose events all replicas hold; without a lease, report an unknown outcome."""
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
        """At the end of a term: report an unknown outcome for commands that not all replicas are known to hold."""
        for item in decided:
            if not item.submission.reply.done():
                fail(item.submission.reply, outcome_unknown())
        decided.clear()

    def reject_queued(self, code: result.ResultCode) -> None:
        """Reject all queued commands, none of which was begun, at once, for example while there is no backup."""
        while not self.submissions.empty():
            submission = self.submissions.get_nowait()
            if not submission.reply.done():
                fail(submission.reply, result.RequestError(code, retry=group_state.CLIENT_RETRY_AFTER))

    async def take_batch(self) -> list[Submission]:
        """Return the queued commands, or none when the next heartbeat to the backups is due."""
        try:
            async with clock.limit(HEARTBEAT_PERIOD):
                batch = [await self.submissions.get()]
        except TimeoutError:
            return []
        size = batch[0].size
        while not self.submissions.empty() and len(batch) < MAX_BATCH and size < MAX_BATCH_BYTES:
            batch.append(self.submissions.get_nowait())
            size += batch[-1].size
        return batch

    async def commit_batch(self, undelivered: list[Decided]) -> None:
        """Decide the queued commands, sync the events on all replicas and reply; remove backups that failed.

        Decided commands stay in ``undelivered`` until enough replicas hold their events. Meanwhile the replica set may
        change, when a ballot whose outcome was unknown completes. The backups that synced the batch may then no longer
        be members, and the batch waits until the members of the next replica set agree.
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
                await self.remove_failed_backups(failed)

    def decide(
        self,
        batch: list[Submission],
        record: replica_set.ReplicaSet,
        last: log_records.LogPosition,
        undelivered: list[Decided],
    ) -> tuple[log_records.Entry, ...]:
        """Have the state machine decide commands in order; return the resulting entries, which are already applied."""
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
                decided, reply = state.replica.state_machine.decide(submission.command, clock.now(), record.epoch)
            except result.RequestError as refusal:
                decided, reply = (), refusal
                if refusal.result is result.ResultCode.OVERLOADED:
                    self.report_full(record, refusal)
            except Exception as error:  # a fault in one command must not end the primary's supervised task
                LOG.exception(
                    "group {}: command {} not decided, epoch {}, member {}: internal fault",
                    state.group_id,
                    type(submission.command).__name__,
                    record.epoch,
                    state.me().label(),
                )
                decided, reply = (), result.RequestError(result.ResultCode.INTERNAL, detail=repr(error))
            for event in decided:
                entries.append(log_records.Entry(record.epoch, last.sequence + len(entries) + 1, codec.tagged(event)))
                state.replica.apply(entries[-1], event)
            undelivered.append(Decided(submission, reply))
        return tuple(entries)

    def report_full(self, record: replica_set.ReplicaSet, refusal: result.RequestError) -> None:
        """Report that the group refused a command for want of room."""
        fields = events.EventFields(events.Event.GROUP_FULL, self.state.group_id, record.epoch, reason="no room")
        events.report(
            LOG,
            fields,
            "group {}: command refused for want of room, epoch {}: {}",
            self.state.group_id,
            record.epoch,
            refusal.detail,
        )

    async def remove_failed_backups(self, failed: collections.abc.Iterable[replica_set.ReplicaId]) -> None:
        """Remove failed backups from the replica set through a ballot of the witnesses.

        This happens before anything is acknowledged without them: as long as the replica set names them, they may take
        over, and would lack what was acknowledged in the meantime.

        Raises:
            DeposedError: Another member is the primary.

        """
        state, failed_members = self.state, frozenset(failed)
        for backup in failed_members:
            state.suspected_peers.suspect(backup.address)
        try:
            await state.ballot(lambda record: record_changes.without_backups(record, state.me(), failed_members))
        except result.RequestError as refusal:
            members = ", ".join(sorted(backup.label() for backup in failed_members))
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
            state.log_dropped(failed_members, "their logs are not known to match the primary's")
        state.check_tenure()


def outcome_unknown() -> result.RequestError:
    """The error for a command that was decided and may or may not be durable."""
    return result.RequestError(
        result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN, "the lease expired", group_state.CLIENT_RETRY_AFTER
    )


def fail(reply: asyncio.Future, refusal: result.RequestError) -> None:
    """Fail a submission.

    Nobody need await the reply, as with the commands of timers: reading the exception here keeps asyncio from
    reporting it.
    """
    reply.set_exception(refusal)
    reply.exception()
