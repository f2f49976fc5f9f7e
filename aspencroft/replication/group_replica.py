"""A node's part in one group: primary, backup or bystander, as the newest record says; answers to the other members."""

import datetime
import typing

import logbook

from aspencroft.consensus import proposer, replica_set, witness
from aspencroft.errors import result
from aspencroft.replication import (
    backup,
    group_state,
    log_records,
    log_shipping,
    messages,
    primary,
    replica,
    replica_changes,
    snapshot_transfer,
)
from aspencroft.runtime import clock, events, supervision
from aspencroft.transport import connections

LOG = logbook.Logger("replication.group_replica")
START_PATIENCE = witness.LEASE + witness.LEASE_MARGIN
"""How long a member that started waits for another one before it goes on with what it holds.

Each member of the record synced all that was answered, so its own copy is enough: the wait is for a disk that
breaks its promise and loses what was synced last. It is no longer than leases of before
the start are waited out in any case.
"""
STEP_ASIDE = clock.seconds(4)
"""How long a member whose disk failed does nothing: longer than the lease and the silence before a takeover."""
RELEASE_AFTER = clock.seconds(3)
"""How long a node that is no member keeps its copy: what leaves is to be gone before much else is moved here."""


RepairStep = messages.Repair | messages.BeginRepair | messages.SnapshotChunk | messages.InstallSnapshot


class GroupReplica(group_state.GroupState):
    """One group on one node."""

    def __init__(
        self,
        held: replica.Replica,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        area: str,
        policy: group_state.GroupPolicy,
    ):
        super().__init__(held, links, voters, address, area, policy)
        self.log_shipping = log_shipping.LogShipping(self)
        self.replica_changes = replica_changes.ReplicaChanges(self, self.log_shipping)
        self.primary = primary.Primary(self, self.log_shipping, self.replica_changes)
        self.backup = backup.Backup(self, self.log_shipping)
        self.incoming = snapshot_transfer.IncomingSnapshot()

    async def run(self) -> None:
        """Be whatever the newest record says, for ever.

        A member whose disk refuses or hangs neither leads nor renews its lease for ``STEP_ASIDE``,
        which is longer than the
        lease and the silence after which a backup takes over.
        """
        self.recovery.await_peers_until(clock.now() + START_PATIENCE)
        if self.replica.record is not None:
            self.learn(self.replica.record)
        while True:
            self.changed.clear()
            record = self.known
            self.update_role("the newest record says so")
            try:
                if record is not None and record.primary == self.me():
                    await self.primary.lead()
                elif record is not None and self.me() in record.backups:
                    await self.backup.follow()
                else:
                    await self.stand_by()
            except* (group_state.DeposedError, result.RequestError) as group:
                self.report_end(events.Event.ROLE_ENDED, "leaves its role", group, logbook.NOTICE)
                supervision.heed()
                await clock.sleep(group_state.RETRY)
            except* OSError as group:
                what = f"steps aside for {STEP_ASIDE.total_seconds():g} s for a disk fault"
                self.report_end(events.Event.DISK_FAULT, what, group, logbook.WARNING)
                supervision.heed()
                self.status_reason = "the disk failed"
                self.counts["disk failures"] += 1
                await clock.sleep(STEP_ASIDE)

    def report_end(self, event: events.Event, what: str, group: BaseExceptionGroup, level: int) -> None:
        """Log what ended this member's work in its present role."""
        epoch = self.known.epoch if self.known else None
        reason = "; ".join(str(error) for error in group.exceptions)
        events.report(
            LOG,
            events.EventFields(event, self.group_id, epoch, member=self.me().label(), reason=reason),
            "group {}: member {} {}, epoch {}: {}",
            self.group_id,
            self.me().label(),
            what,
            epoch,
            reason,
            level=level,
        )

    async def stand_by(self) -> None:
        """Wait for a record that names this node; meanwhile let go of what it still holds of the group."""
        self.status_reason = "bystander"
        began = clock.now()
        while not self.changed.is_set():
            try:
                async with clock.limit(RELEASE_AFTER):
                    await self.changed.wait()
            except TimeoutError:
                if clock.now() - max(began, self.primary_contact.at) >= RELEASE_AFTER and self.replica.has_state():
                    await self.release()

    async def release(self) -> None:
        """Let go of a copy that the group does not need: its primary says, under its lease, that it is whole without.

        The copy is born anew under another identity, as one whose disk was lost: whoever should still count on it, by a
        ballot that is under way, finds that it is not the member that was meant.
        """
        record = self.known
        if record is None:
            return
        try:
            stands = await self.link.request(
                record.primary.address, messages.ReplicaSetQuery(self.group_id, self.address), group_state.REPLY_TIMEOUT
            )
        except result.RequestError as refusal:
            LOG.debug("group {}: member {} keeps its replica: {}", self.group_id, self.me(), refusal)
            return
        async with self.lock:
            members = stands.record.members()
            unneeded = len(members) >= self.policy.copies and all(one.address != self.address for one in members)
            if unneeded and self.known == record == stands.record and not self.incoming.size:
                former = self.me()
                await self.replica.release()
                self.counts["released"] += 1
                events.report(
                    LOG,
                    events.EventFields(
                        events.Event.REPLICA_RELEASED, self.group_id, record.epoch, member=former.label()
                    ),
                    "group {}: replica released, epoch {}, member {}: the group has {} members without it",
                    self.group_id,
                    record.epoch,
                    former.label(),
                    len(members),
                )

    async def submit(self, command: primary.Command, within: datetime.timedelta) -> primary.Reply:
        """Have a command decided, if this node is the primary; the reply comes once it is synced on all copies."""
        return await self.primary.submit(command, within)

    def stands(self, message: messages.ReplicaSetQuery) -> messages.ReplicaSetReply:
        """As primary that serves: the record that stands, while no ballot is under way."""
        if not self.has_lease() or self.status_reason != "serving" or self.balloting.locked():
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail=self.status_reason, retry=group_state.CLIENT_RETRY_AFTER
            )
        return messages.ReplicaSetReply(self.record, self.policy.is_drained(message.address))

    async def fetch(self, message: messages.FetchLog) -> messages.FetchedLog:
        """As a member of the same record: what this copy holds beyond that of one that just started."""
        async with self.lock:
            if message.identity != self.replica.identity:
                return messages.FetchedLog(None, (), True)
            if self.replica.is_incomplete():
                raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="this copy is being repaired")
            if self.known is None or message.record.epoch != self.known.epoch or self.me() not in self.known.members():
                raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail="not a member of that record")
            tail = self.replica.log.read_after(message.last, log_shipping.REPAIR_BATCH_BYTES)
            # An encoded snapshot has the fields that the message's codec reads; its chunks are joined there.
            snapshot = typing.cast(log_records.Snapshot | None, tail.snapshot)
            return messages.FetchedLog(snapshot, tail.entries, False)

    async def append(self, message: messages.Append) -> messages.Appended:
        """As backup: take entries that follow the last one; refuse lower epochs."""
        async with self.lock:
            if self.known is None or message.record.epoch > self.known.epoch:
                self.learn(message.record)
            if message.record.epoch < self.record.epoch or self.me() not in self.record.backups:
                raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail=f"epoch {self.record.epoch} stands")
            await self.replica.persist_record(self.record)
            self.primary_contact.note()
            fresh = self.replica.log.select_missing(message.previous, message.entries)
            self.confirm_recovery("its log follows the primary's")
            if fresh:
                await self.replica.append(fresh)
                self.replica.begin_snapshot()
            return messages.Appended(self.replica.last())

    def compare(self, message: messages.Compare) -> messages.Compared:
        """Identity and range digests of this copy."""
        return messages.Compared(self.replica.identity, self.replica.log.comparison_positions())

    async def repair(self, message: messages.Repair) -> messages.Appended:
        """As candidate or backup: become like the primary's copy."""
        async with self.lock:
            self.check_repair(message)
            await self.replica.persist_record(message.record)
            self.primary_contact.note()
            last = await self.replica.repair(message.keep_through, message.snapshot, message.entries)
            self.confirm_recovery("repaired by the primary")
            return messages.Appended(last)

    def check_repair(self, message: RepairStep) -> None:
        """Refuse what is not from the primary of the newest record, or meant for another copy."""
        self.learn(message.record)
        if (
            self.role_state.is_leading
            or message.identity != self.replica.identity
            or message.record.epoch < self.record.epoch
        ):
            raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail="not to be mended by that")

    async def begin_repair(self, message: messages.BeginRepair) -> replica_set.Acknowledged:
        """As candidate or backup: from now on this copy is not whole before it holds the goal."""
        async with self.lock:
            self.check_repair(message)
            await self.replica.persist_record(message.record)
            await self.replica.begin_repair(log_records.RepairGoal(message.goal.sequence, message.goal.digest))
            return replica_set.Acknowledged()

    def receive_snapshot_chunk(self, message: messages.SnapshotChunk) -> messages.SnapshotProgress:
        """As candidate or backup: hold a part of a snapshot; the copy is what it was until all of it is installed."""
        self.check_repair(message)
        self.primary_contact.note()
        return messages.SnapshotProgress(self.incoming.add_chunk(message))

    async def install_snapshot(self, message: messages.InstallSnapshot) -> messages.Appended:
        """As candidate or backup: become what the parts of a snapshot show; asked again, say that it was done."""
        async with self.lock:
            self.check_repair(message)
            if self.replica.digest_at(message.sequence) != message.digest:
                snapshot = self.incoming.assemble(message)
                await self.replica.persist_record(message.record)
                await self.replica.repair(message.sequence, snapshot, ())
            self.primary_contact.note()
            self.confirm_recovery("a snapshot of the primary's log was installed")
            self.incoming.clear()
            return messages.Appended(self.replica.last())

    async def appoint(self, message: replica_set.ReplicaSetNotice) -> replica_set.Acknowledged:
        """Hear at once of a record that names this node."""
        self.learn(message.record)
        return replica_set.Acknowledged()
