"""Changes of a group's replica set by its members, as pure functions of the current replica set."""

import collections.abc
import dataclasses
import datetime

from aspencroft.consensus import replica_set


def take_over(
    record: replica_set.ReplicaSet, me: replica_set.ReplicaId, unresponsive: replica_set.ReplicaId
) -> replica_set.ReplicaSet:
    """Make a backup of the newest replica set the primary, only in place of the primary that it found unresponsive."""
    if me not in record.backups or record.primary != unresponsive:
        return record
    backups = tuple(backup for backup in record.backups if backup != me)
    return dataclasses.replace(record, epoch=record.epoch + 1, primary=me, backups=backups)


def without_backups(
    record: replica_set.ReplicaSet,
    me: replica_set.ReplicaId,
    removed: collections.abc.Collection[replica_set.ReplicaId],
) -> replica_set.ReplicaSet:
    """Remove backups, as the primary."""
    if record.primary != me or not set(removed) & set(record.backups):
        return record
    backups = tuple(backup for backup in record.backups if backup not in removed)
    return dataclasses.replace(record, epoch=record.epoch + 1, backups=backups)


def with_backup(
    record: replica_set.ReplicaSet, me: replica_set.ReplicaId, peer: replica_set.ReplicaId
) -> replica_set.ReplicaSet:
    """Add a node whose log matches as a backup, as the primary."""
    if record.primary != me or any(backup.address == peer.address for backup in record.backups):
        return record
    return dataclasses.replace(record, epoch=record.epoch + 1, backups=(*record.backups, peer))


def transfer_leadership(
    record: replica_set.ReplicaSet, me: replica_set.ReplicaId, successor: replica_set.ReplicaId
) -> replica_set.ReplicaSet:
    """Make a backup the primary, while the present primary stays as a backup."""
    if record.primary != me or successor not in record.backups:
        return record
    backups = (*(backup for backup in record.backups if backup != successor), me)
    return dataclasses.replace(record, epoch=record.epoch + 1, primary=successor, backups=backups)


def with_newer_epoch(proposed: replica_set.ReplicaSet, known: replica_set.ReplicaSet | None) -> replica_set.ReplicaSet:
    """The replica set to propose, with a higher epoch if a different one with the same or a later epoch is known.

    Witnesses may have reported a replica set that only a minority accepted and that was never chosen; a chosen one
    must have a higher epoch.
    """
    if known is not None and proposed.epoch <= known.epoch and proposed != known:
        return dataclasses.replace(proposed, epoch=known.epoch + 1)
    return proposed


def has_enough_members(
    record: replica_set.ReplicaSet, copies: int, min_members: int, exhausted_record: replica_set.ReplicaSet | None
) -> bool:
    """Whether a replica set names enough members to acknowledge commands.

    At least ``copies`` members are required. ``min_members`` suffice if ``exhausted_record`` is this very replica set:
    under it, a search through all other nodes found no candidate, so the missing machines are lost.
    """
    count = len(record.members())
    return count >= copies or (count >= min_members and exhausted_record == record)


@dataclasses.dataclass(frozen=True)
class LostDisks:
    """Members that were removed because their disks are known to be lost.

    ``record`` is the replica set since then, ``count`` the number of these members, and ``end`` the time until which
    they count towards the tolerated losses.
    """

    record: replica_set.ReplicaSet
    count: int
    end: datetime.timedelta

    def covers_missing(
        self, record: replica_set.ReplicaSet, copies: int, min_members: int, now: datetime.timedelta
    ) -> bool:
        """Whether a replica set names enough members when the lost disks are counted as members."""
        count = len(record.members())
        return record == self.record and now < self.end and count >= min_members and count + self.count >= copies


def may_leave(staying: int, members: int, copies: int) -> bool:
    """Whether members that are being drained may be removed: only while enough other members hold the data."""
    return copies <= staying < members


@dataclasses.dataclass(frozen=True)
class Tenure:
    """The facts of a member's term as primary that decide whether it may serve.

    ``knows_chosen`` tells whether the newest replica set that it knows is the one that it had chosen.
    """

    leading: bool
    transferring_leadership: bool
    lease_end: datetime.timedelta
    knows_chosen: bool


def may_serve(
    tenure: Tenure,
    known: replica_set.ReplicaSet | None,
    me: replica_set.ReplicaId,
    now: datetime.timedelta,
) -> bool:
    """Whether a member may act as the primary at this moment.

    A member that is transferring leadership may not, even if its lease is renewed meanwhile: witnesses drop that lease
    once they accept the next primary, which may lead before this member hears of it. A member that learned of a
    replica set that it did not have chosen may not either: a replica set that only a minority accepted can leave out a
    backup that may still take over.
    """
    return (
        tenure.leading
        and tenure.knows_chosen
        and not tenure.transferring_leadership
        and now < tenure.lease_end
        and known is not None
        and known.primary == me
    )
