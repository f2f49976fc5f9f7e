"""Making a group's copies the same: what members send each other, and what one that started asks the others."""

import logbook

from aspencroft.consensus import replica_set
from aspencroft.errors import result
from aspencroft.replication import append_patience, group_state, log_records, messages, snapshot_transfer
from aspencroft.runtime import clock, supervision

LOG = logbook.Logger("replication.log_shipping")
APPEND = append_patience.MOST
ANSWER = clock.seconds(0.5)
MEND = clock.seconds(5)
MEND_BYTES = 1 << 20


class LogShipping:
    """The sending side of a member: appending, comparing, repairing."""

    def __init__(self, own: group_state.GroupState):
        self.own = own
        self.patience = append_patience.AppendPatience()
        self.snapshots = snapshot_transfer.SnapshotSender(own)
        self.lost: set[replica_set.ReplicaId] = set()

    async def append(
        self, standing: replica_set.ReplicaSet, last: log_records.LogPosition, entries: tuple[log_records.Entry, ...]
    ) -> tuple[replica_set.ReplicaId, ...]:
        """Sync entries here and on all backups at once; the backups whose copies are not the same then."""
        message = messages.Append(standing, last, entries)
        async with supervision.Group() as group:
            if entries:
                group.create_task(self.own.replica.write_entries(entries))
            sent = {one: group.create_task(self.send(one, message)) for one in standing.backups}
            await self.patience.wait_for(sent.values())
        last_here = self.own.replica.last()
        return tuple(one for one, task in sent.items() if task.cancelled() or task.result() != last_here)

    async def send(self, backup: replica_set.ReplicaId, message: messages.Append) -> log_records.LogPosition | None:
        """A backup's newest entry once it synced, or none; tried again while there is time, as it does no
        harm twice.
        """
        end = clock.now() + APPEND
        while (left := end - clock.now()) > clock.ZERO:
            try:
                return (await self.own.link.request(backup.address, message, left)).last
            except result.RequestError as refusal:
                LOG.info("pair {}: backup {}: {}", self.own.group_id, backup.address, refusal)
                if refusal.result is not result.ResultCode.UNREACHABLE:
                    return None
            await clock.sleep(min(group_state.RETRY / 3, left))
        return None

    async def agree(self, standing: replica_set.ReplicaSet) -> tuple[replica_set.ReplicaId, ...]:
        """Make all backups' copies the same as this one; those that failed.

        ``lost`` names those among them whose disk is known to have been lost.
        """
        self.lost.clear()
        async with supervision.Group() as group:
            mended = {one: group.create_task(self.repair_member(one)) for one in standing.backups}
        return tuple(one for one, task in mended.items() if not task.result())

    async def repair_member(self, peer: replica_set.ReplicaId) -> bool:
        """Compare digests with a backup and repair it; whether its copy is now the same."""
        own = self.own
        try:
            compared = await own.link.request(peer.address, messages.Compare(own.group_id, own.known.epoch), ANSWER)
            if compared.identity != peer.identity:
                if not compared.identity.startswith(log_records.RELEASED_PREFIX):
                    self.lost.add(peer)
                return False
            await own.link.request(peer.address, replica_set.ReplicaSetNotice(own.known), group_state.REPLY)
            return await self.repair_from(peer, compared) == own.replica.last()
        except result.RequestError as refusal:
            LOG.info("pair {}: mending {}: {}", own.group_id, peer.address, refusal)
            return False

    async def repair_from(self, peer: replica_set.ReplicaId, compared: messages.Compared) -> log_records.LogPosition:
        """Send what the peer lacks behind the last range on which the digests agree; its newest entry then."""
        held = self.own.replica
        agreeing = [mark.sequence for mark in compared.positions if held.digest_at(mark.sequence) == mark.digest]
        snapshot = None if agreeing else held.log.snapshot
        through = max(agreeing, default=held.log.snapshot.sequence)
        goal = held.last()
        begin = messages.BeginRepair(self.own.known, peer.identity, goal)
        await self.own.link.request(peer.address, begin, group_state.REPLY)
        while True:
            if through < held.log.snapshot.sequence:
                snapshot, through = held.log.snapshot, held.log.snapshot.sequence
            if snapshot is not None and snapshot.size() > MEND_BYTES:
                through = snapshot.sequence
                await self.snapshots.send(peer, snapshot)
                snapshot = None
                continue
            entries, size = [], 0
            for entry in held.log.entries[through - held.log.snapshot.sequence :]:
                if entries and size + len(entry.body) > MEND_BYTES:
                    break
                entries.append(entry)
                size += len(entry.body)
            message = messages.Repair(self.own.known, peer.identity, through, snapshot, tuple(entries))
            reply = await self.own.link.request(peer.address, message, MEND)
            through, snapshot = through + len(entries), None
            if through >= goal.sequence or not self.own.has_lease():
                return reply.last

    async def made_sure(self) -> bool:
        """After a start: take what another member holds beyond this copy, whose disk may have lost its last value.

        Any one other member is enough, as each holds all that was answered. It goes on without one when all others lost
        their copies, or once patience is over. False while one is still waited for.
        """
        own = self.own
        if not own.unsure and not own.replica.is_incomplete():
            return True
        others = [one for one in own.known.members() if one != own.me()]
        async with supervision.Group() as group:
            asked = [group.create_task(self.take_from(one)) for one in others]
        told = [task.result() for task in asked]
        if own.replica.is_incomplete():
            own.status_reason = "waits for a member that holds what this copy lacks since a repair broke off"
            return False
        if True in told or told.count(None) == len(told) or clock.now() >= own.patience_end:
            own.unsure = not is_final(own.leading)
            return True
        own.status_reason = "waits for another member after the start"
        return False

    async def take_from(self, peer: replica_set.ReplicaId) -> bool | None:
        """Take what a member holds beyond this copy; false when it does not answer, none when its copy is lost."""
        own = self.own
        try:
            while True:
                message = messages.FetchLog(own.known, own.replica.last(), peer.identity)
                reply = await own.link.request(peer.address, message, group_state.REPLY)
                if reply.is_lost:
                    return None
                if reply.snapshot is None and not reply.entries:
                    return True
                async with own.lock:
                    if own.replica.last() != message.last:
                        continue
                    LOG.warning("pair {}: {} held more than this disk", own.group_id, peer.address)
                    own.counts["taken at start"] += 1
                    through = message.last.sequence if reply.snapshot is None else reply.snapshot.sequence
                    await own.replica.repair(through, reply.snapshot, reply.entries)
        except result.RequestError as refusal:
            LOG.info("pair {}: comparing with {}: {}", own.group_id, peer.address, refusal)
            return False


def is_final(leading: bool) -> bool:
    """Whether a comparison after a start need not be made again.

    As a backup it must: until its lease is over, the old primary may acknowledge an entry that this copy synced
    before its disk
    lost it, and that the member asked had not synced yet. One that leads was chosen after that lease was over.
    """
    return leading
