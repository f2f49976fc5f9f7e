"""A node's replica of one group: primary, backup or non-member by the newest replica set, and its message handlers."""

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
START_WAIT = witness.LEASE + witness.LEASE_MARGIN
"""How long a member waits for another one after its start before it proceeds with its own data.

Each member of the replica set has synced all acknowledged entries, so its own data suffices. The wait covers disks that
lose their last synced writes. It costs no extra time: a start waits for leases granted before it to expire anyway.
"""
DISK_FAULT_PAUSE = clock.seconds(4)
"""How long a member whose disk failed pauses: longer than the lease and the heartbeat time-out before a takeover."""
RELEASE_DELAY = clock.seconds(3)
"""How long a non-member keeps its data: short, to free the space before other groups are moved to this node."""


RepairStep = messages.Repair | messages.BeginRepair | messages.SnapshotChunk | messages.InstallSnapshot


class GroupReplica(group_state.GroupState):
    """The replica of one group on one node, with its message handlers."""

    def __init__(
        self,
        local_replica: replica.Replica,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        area: str,
        policy: group_state.GroupPolicy,
    ):
        super().__init__(local_replica, links, voters, address, area, policy)
        self.log_shipping = log_shipping.LogShipping(self)
        self.replica_changes = replica_changes.ReplicaChanges(self, self.log_shipping)
        self.primary = primary.Primary(self, self.log_shipping, self.replica_changes)
        self.backup = backup.Backup(self, self.log_shipping)
        self.incoming = snapshot_transfer.IncomingSnapshot()

    async def run(self) -> None:
        """Run in the role that the newest replica set assigns, until cancelled.

        A member whose disk fails or hangs neither leads nor renews its lease for ``DISK_FAULT_PAUSE``, which is longer
        than the lease and the heartbeat time-out after which a backup takes over.
        """
        self.recovery.await_peers_until(clock.now() + START_WAIT)
        if self.replica.record is not None:
            self.learn(self.replica.record)
        while True:
            self.changed.clear()
            record = self.known
            self.update_role("the newest replica set assigns it")
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
                action = f"steps aside for {DISK_FAULT_PAUSE.total_seconds():g} s for a disk fault"
                self.report_end(events.Event.DISK_FAULT, action, group, logbook.WARNING)
                supervision.heed()
                self.status_reason = "the disk failed"
                self.counts["disk failures"] += 1
                await clock.sleep(DISK_FAULT_PAUSE)

    def report_end(self, event: events.Event, action: str, group: BaseExceptionGroup, level: int) -> None:
        """Log the errors that ended this member's work in its present role."""
        epoch = self.known.epoch if self.known else None
        reason = "; ".join(str(error) for error in group.exceptions)
        events.report(
            LOG,
            events.EventFields(event, self.group_id, epoch, member=self.me().label(), reason=reason),
            "group {}: member {} {}, epoch {}: {}",
            self.group_id,
            self.me().label(),
            action,
            epoch,
            reason,
            level=level,
        )

    async def stand_by(self) -> None:
        """As a non-member: wait for a replica set that names this node; meanwhile release leftover data."""
        self.status_reason = "bystander"
        started = clock.now()
        while not self.changed.is_set():
            try:
                async with clock.limit(RELEASE_DELAY):
                    await self.changed.wait()
            except TimeoutError:
                if clock.now() - max(started, self.primary_contact.at) >= RELEASE_DELAY and self.replica.has_state():
                    await self.release()

    async def release(self) -> None:
        """Release the data if the primary confirms, under its lease, that the group is complete without this node.

        The replica gets a new identity, like one whose disk was lost: a ballot in progress that still names the old
        one then finds that it is no longer that member.
        """
        record = self.known
        if record is None:
            return
        try:
            reply = await self.link.request(
                record.primary.address, messages.ReplicaSetQuery(self.group_id, self.address), group_state.REPLY_TIMEOUT
            )
        except result.RequestError as refusal:
            LOG.debug("group {}: member {} keeps its replica: {}", self.group_id, self.me(), refusal)
            return
        async with self.lock:
            members = reply.record.members()
            unneeded = len(members) >= self.policy.required_replicas and all(
                member.address != self.address for member in members
            )
            if unneeded and self.known == record == reply.record and not self.incoming.size:
                released_id = self.me()
                await self.replica.release()
                self.counts["released"] += 1
                events.report(
                    LOG,
                    events.EventFields(
                        events.Event.REPLICA_RELEASED, self.group_id, record.epoch, member=released_id.label()
                    ),
                    "group {}: replica released, epoch {}, member {}: the group has {} members without it",
                    self.group_id,
                    record.epoch,
                    released_id.label(),
                    len(members),
                )

    async def submit(self, command: primary.Command, within: datetime.timedelta, size: int = 0) -> primary.Reply:
        """Run a command if this node is the primary; the reply comes once its events are synced on all replicas."""
        return await self.primary.submit(command, within, size)

    def report_replica_set(self, message: messages.ReplicaSetQuery) -> messages.ReplicaSetReply:
        """As a serving primary without a ballot in progress: return the replica set in force."""
        if not self.has_lease() or self.status_reason != "serving" or self.balloting.locked():
            raise result.RequestError(
                result.ResultCode.NOT_PRIMARY, detail=self.status_reason, retry=group_state.CLIENT_RETRY_AFTER
            )
        return messages.ReplicaSetReply(self.record, self.policy.is_drained(message.address))

    async def fetch(self, message: messages.FetchLog) -> messages.FetchedLog:
        """As a member of the same replica set: return what a member that has just started lacks."""
        async with self.lock:
            if message.identity != self.replica.identity:
                return messages.FetchedLog(None, (), True)
            if self.replica.is_incomplete():
                raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="this replica is being repaired")
            if self.known is None or message.record.epoch != self.known.epoch or self.me() not in self.known.members():
                raise result.RequestError(result.ResultCode.LOWER_EPOCH, detail="not a member of that replica set")
            tail = self.replica.log.read_after(message.last, log_shipping.REPAIR_BATCH_BYTES)
            # An encoded snapshot has the fields that the message codec reads; the codec joins its pieces.
            snapshot = typing.cast(log_records.Snapshot | None, tail.snapshot)
            return messages.FetchedLog(snapshot, tail.entries, False)

    async def append(self, message: messages.Append) -> messages.Appended:
        """As a backup: append entries that follow the last one; reject lower epochs."""
        async with self.lock:
            if self.known is None or message.record.epoch > self.known.epoch:
                self.learn(message.record)
            if message.record.epoch < self.record.epoch or self.me() not in self.record.backups:
                raise result.RequestError(
                    result.ResultCode.LOWER_EPOCH, detail=f"epoch {self.record.epoch} is in force"
                )
            await self.replica.persist_record(self.record)
            self.primary_contact.note()
            missing = self.replica.log.select_missing(message.previous, message.entries)
            self.confirm_recovery("its log follows the primary's")
            if missing:
                await self.replica.append(missing)
                self.replica.begin_snapshot()
            return messages.Appended(self.replica.last())

    def compare(self, message: messages.Compare) -> messages.Compared:
        """Return this replica's identity and the positions by which its log is compared."""
        return messages.Compared(self.replica.identity, self.replica.log.comparison_positions())

    async def repair(self, message: messages.Repair) -> messages.Appended:
        """As a candidate or backup: make the log match the primary's."""
        async with self.lock:
            self.check_repair(message)
            await self.replica.persist_record(message.record)
            self.primary_contact.note()
            last = await self.replica.repair(message.keep_through, message.snapshot, message.entries)
            self.confirm_recovery("repaired by the primary")
            return messages.Appended(last)

    def check_repair(self, message: RepairStep) -> None:
        """Reject a repair unless it is from the newest primary and addressed to this replica's identity."""
        self.learn(message.record)
        if (
            self.role_state.is_leading
            or message.identity != self.replica.identity
            or message.record.epoch < self.record.epoch
        ):
            raise result.RequestError(
                result.ResultCode.LOWER_EPOCH,
                detail="the repair is not from the newest primary, or not for this replica",
            )

    async def begin_repair(self, message: messages.BeginRepair) -> replica_set.Acknowledged:
        """As a candidate or backup: note that this replica is incomplete until it holds the goal."""
        async with self.lock:
            self.check_repair(message)
            await self.replica.persist_record(message.record)
            await self.replica.begin_repair(log_records.RepairGoal(message.goal.sequence, message.goal.digest))
            return replica_set.Acknowledged()

    def receive_snapshot_chunk(self, message: messages.SnapshotChunk) -> messages.SnapshotProgress:
        """As a candidate or backup: buffer a chunk of a snapshot; the log changes only when it is installed."""
        self.check_repair(message)
        self.primary_contact.note()
        return messages.SnapshotProgress(self.incoming.add_chunk(message))

    async def install_snapshot(self, message: messages.InstallSnapshot) -> messages.Appended:
        """As a candidate or backup: replace the log by the received snapshot; a repeated request succeeds as well."""
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

    async def receive_notice(self, message: replica_set.ReplicaSetNotice) -> replica_set.Acknowledged:
        """Learn of a replica set that names this node, without waiting for gossip."""
        self.learn(message.record)
        return replica_set.Acknowledged()
