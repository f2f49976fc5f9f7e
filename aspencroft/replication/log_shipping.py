"""Log replication between the members of a group: appends, comparison and repair, and catching up after a start."""

import typing

import logbook

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import append_patience, group_state, log_records, messages, snapshot_transfer
from aspencroft.runtime import clock, events, supervision

LOG = logbook.Logger("replication.log_shipping")
APPEND_TIMEOUT = append_patience.MAX_TIMEOUT
"""How long an append to one backup is retried; the adaptive time-out for all backups may end it earlier."""
COMPARE_TIMEOUT = clock.seconds(0.5)
"""How long a backup may take to report its identity and digests: this needs no disk access."""
REPAIR_TIMEOUT = clock.seconds(5)
"""How long a backup may take to sync one batch of a repair, on a slow disk."""
REPAIR_BATCH_BYTES = 1 << 20
"""Maximum bytes of entries in one repair message, so that no message blocks the connection for long."""


class LogShipping:
    """The sending side of log replication: appends, comparison and repair."""

    def __init__(self, state: group_state.GroupState):
        self.state = state
        self.adaptive_timeout = append_patience.AdaptiveTimeout()
        self.snapshots = snapshot_transfer.SnapshotSender(state)
        self.lost_disks: set[replica_set.ReplicaId] = set()

    async def append(
        self, record: replica_set.ReplicaSet, last: log_records.LogPosition, entries: tuple[log_records.Entry, ...]
    ) -> tuple[replica_set.ReplicaId, ...]:
        """Sync entries here and on all backups in parallel; return the backups whose logs then differ."""
        message = messages.Append(record, last, entries)
        async with supervision.Group() as group:
            if entries:
                group.create_task(self.state.replica.write_entries(entries))
            sent = {backup: group.create_task(self.send(backup, message)) for backup in record.backups}
            await self.adaptive_timeout.wait_for(sent.values())
        last_here = self.state.replica.last()
        return tuple(backup for backup, task in sent.items() if task.cancelled() or task.result() != last_here)

    async def send(self, backup: replica_set.ReplicaId, message: messages.Append) -> log_records.LogPosition | None:
        """Append to a backup and return the end of its log, or none on failure.

        Retried until ``APPEND_TIMEOUT``: appending the same entries twice is harmless.
        """
        end = clock.now() + APPEND_TIMEOUT
        while (remaining := end - clock.now()) > clock.ZERO:
            try:
                return (await self.state.link.request(backup.address, message, remaining)).last
            except result.RequestError as refusal:
                if refusal.result is not result.ResultCode.UNREACHABLE:
                    LOG.info(
                        "group {}: append rejected, epoch {}, member {}: {}",
                        self.state.group_id,
                        message.record.epoch,
                        backup,
                        refusal,
                    )
                    return None
            await clock.sleep(min(group_state.RETRY / 3, remaining))
        return None

    async def synchronize_backups(self, record: replica_set.ReplicaSet) -> tuple[replica_set.ReplicaId, ...]:
        """Make the logs of all backups match this one; return the backups for which that failed.

        ``lost_disks`` then holds those among them whose disk is known to be lost.
        """
        self.lost_disks.clear()
        async with supervision.Group() as group:
            repaired = {backup: group.create_task(self.repair_member(backup)) for backup in record.backups}
        return tuple(backup for backup, task in repaired.items() if not task.result())

    async def repair_member(self, peer: replica_set.ReplicaId) -> bool:
        """Compare digests with a backup and repair it; whether its log now matches."""
        state = self.state
        try:
            compared = await state.link.request(
                peer.address, messages.Compare(state.group_id, state.record.epoch), COMPARE_TIMEOUT
            )
            if compared.identity != peer.identity:
                if not compared.identity.startswith(log_records.RELEASED_PREFIX):
                    self.lost_disks.add(peer)
                return False
            await state.link.request(
                peer.address, replica_set.ReplicaSetNotice(state.record), group_state.REPLY_TIMEOUT
            )
            return await self.repair_from(peer, compared) == state.replica.last()
        except result.RequestError as refusal:
            events.report(
                LOG,
                events.EventFields(
                    events.Event.REPAIR_FAILED,
                    state.group_id,
                    state.record.epoch,
                    member=peer.label(),
                    reason=str(refusal),
                ),
                "group {}: repair of backup {} failed, epoch {}: {}",
                state.group_id,
                peer.label(),
                state.record.epoch,
                refusal,
            )
            return False

    async def repair_from(self, peer: replica_set.ReplicaId, compared: messages.Compared) -> log_records.LogPosition:
        """Send what the peer lacks after the last position at which the digests match; return the end of its log."""
        log = self.state.replica.log
        matching = [
            position.sequence for position in compared.positions if log.digest_at(position.sequence) == position.digest
        ]
        snapshot = None if matching else log.snapshot
        through = max(matching, default=log.snapshot.sequence)
        goal = log.last_position()
        needed = snapshot is not None or through < goal.sequence
        if needed:
            self.log_repair("begun", peer, f"its log matches up to {through} of {goal.sequence}")
        begin = messages.BeginRepair(self.state.record, peer.identity, goal)
        await self.state.link.request(peer.address, begin, group_state.REPLY_TIMEOUT)
        while True:
            if through < log.snapshot.sequence:
                snapshot, through = log.snapshot, log.snapshot.sequence
            if snapshot is not None and snapshot.size() > REPAIR_BATCH_BYTES:
                through = snapshot.sequence
                await self.snapshots.send(peer, snapshot)
                snapshot = None
                continue
            entries: list[log_records.Entry] = []
            size = 0
            for entry in log.entries[through - log.snapshot.sequence :]:
                if entries and size + len(entry.body) > REPAIR_BATCH_BYTES:
                    break
                entries.append(entry)
                size += len(entry.body)
            # An encoded snapshot has the fields that the message codec reads; the codec joins its pieces.
            sent_snapshot = typing.cast(log_records.Snapshot | None, snapshot)
            message = messages.Repair(self.state.record, peer.identity, through, sent_snapshot, tuple(entries))
            reply = await self.state.link.request(peer.address, message, REPAIR_TIMEOUT)
            through, snapshot = through + len(entries), None
            if through >= goal.sequence or not self.state.has_lease():
                if needed:
                    self.log_repair("finished", peer, f"its log reaches {reply.last.sequence} of {goal.sequence}")
                return reply.last

    def log_repair(self, step: str, peer: replica_set.ReplicaId, reason: str) -> None:
        """Log that the repair of a replica was begun or finished."""
        event = events.Event.REPAIR_BEGUN if step == "begun" else events.Event.REPAIR_FINISHED
        events.report(
            LOG,
            events.EventFields(event, self.state.group_id, self.state.record.epoch, member=peer.label(), reason=reason),
            "group {}: repair {}, epoch {}, member {}: {}",
            self.state.group_id,
            step,
            self.state.record.epoch,
            peer.label(),
            reason,
        )

    async def confirm_log(self) -> bool:
        """After a start: fetch entries from another member, as this disk may have lost its last synced write.

        One other member suffices, as each holds all acknowledged entries. The replica proceeds without one if all
        others lost their data, or once the wait after a start has ended. False while it still waits.
        """
        state = self.state
        if not state.recovery.is_unconfirmed and not state.replica.is_incomplete():
            return True
        others = [member for member in state.record.members() if member != state.me()]
        async with supervision.Group() as group:
            asked = [group.create_task(self.fetch_missing_from(member)) for member in others]
        results = [task.result() for task in asked]
        if state.replica.is_incomplete():
            state.status_reason = (
                "incomplete after an interrupted repair; waits for a member that holds the missing entries"
            )
            return False
        if True in results or results.count(None) == len(results) or state.recovery.is_wait_over():
            if is_comparison_final(state.role_state.is_leading):
                state.confirm_recovery("compared with the other members")
            else:
                state.recovery.require_comparison()
            return True
        state.status_reason = "waits for the reply of another member after the start"
        return False

    async def fetch_missing_from(self, peer: replica_set.ReplicaId) -> bool | None:
        """Fetch the entries that only the peer holds; false if it does not reply, none if its data is lost."""
        state = self.state
        try:
            while True:
                message = messages.FetchLog(state.record, state.replica.last(), peer.identity)
                reply = await state.link.request(peer.address, message, group_state.REPLY_TIMEOUT)
                if reply.is_lost:
                    return None
                if reply.snapshot is None and not reply.entries:
                    return True
                async with state.lock:
                    if state.replica.last() != message.last:
                        continue
                    LOG.warning(
                        "group {}: log completed from member {}, epoch {}, member {}: it held what this disk lacks",
                        state.group_id,
                        peer.label(),
                        state.record.epoch,
                        state.me().label(),
                    )
                    state.counts["taken at start"] += 1
                    through = message.last.sequence if reply.snapshot is None else reply.snapshot.sequence
                    await state.replica.repair(through, reply.snapshot, reply.entries)
        except result.RequestError as refusal:
            LOG.info(
                "group {}: log not compared with member {}, epoch {}: {}",
                state.group_id,
                peer.label(),
                state.record.epoch,
                refusal,
            )
            return False


def is_comparison_final(leading: bool) -> bool:
    """Whether a comparison after a start need not be repeated.

    A backup must repeat it: until its lease expires, the old primary may acknowledge an entry that this replica synced
    before its disk lost it, and that the queried member had not synced yet. A primary was chosen after that lease
    expired.
    """
    return leading
