"""The changes that members make to a group's replica set, as pure functions of the record that stands."""

import collections.abc
import dataclasses
import datetime

from aspencroft.consensus import replica_set


def take_over(
    record: replica_set.ReplicaSet, me: replica_set.ReplicaId, silent: replica_set.ReplicaId
) -> replica_set.ReplicaSet:
    """A backup of the newest record becomes the primary, only in the place of the one that it found silent."""
    if me not in record.backups or record.primary != silent:
        return record
    backups = tuple(one for one in record.backups if one != me)
    return dataclasses.replace(record, epoch=record.epoch + 1, primary=me, backups=backups)


def without_backups(
    record: replica_set.ReplicaSet,
    me: replica_set.ReplicaId,
    gone: collections.abc.Collection[replica_set.ReplicaId],
) -> replica_set.ReplicaSet:
    """The primary has some backups recorded out."""
    if record.primary != me or not set(gone) & set(record.backups):
        return record
    backups = tuple(one for one in record.backups if one not in gone)
    return dataclasses.replace(record, epoch=record.epoch + 1, backups=backups)


def with_backup(
    record: replica_set.ReplicaSet, me: replica_set.ReplicaId, peer: replica_set.ReplicaId
) -> replica_set.ReplicaSet:
    """The primary has a node whose copy is the same recorded as a backup."""
    if record.primary != me or any(one.address == peer.address for one in record.backups):
        return record
    return dataclasses.replace(record, epoch=record.epoch + 1, backups=(*record.backups, peer))


def transfer_leadership(
    record: replica_set.ReplicaSet, me: replica_set.ReplicaId, heir: replica_set.ReplicaId
) -> replica_set.ReplicaSet:
    """The primary makes a backup the primary and stays as a backup."""
    if record.primary != me or heir not in record.backups:
        return record
    backups = (*(one for one in record.backups if one != heir), me)
    return dataclasses.replace(record, epoch=record.epoch + 1, primary=heir, backups=backups)


def with_newer_epoch(fresh: replica_set.ReplicaSet, known: replica_set.ReplicaSet | None) -> replica_set.ReplicaSet:
    """The record to propose: with the next epoch where another one of no lower epoch is known here.

    Witnesses may have told of a record that was accepted by few and never chosen; a chosen one must be newer.
    """
    if known is not None and fresh.epoch <= known.epoch and fresh != known:
        return dataclasses.replace(fresh, epoch=known.epoch + 1)
    return fresh


def has_enough_members(
    record: replica_set.ReplicaSet, copies: int, least: int, exhausted_record: replica_set.ReplicaSet | None
) -> bool:
    """Whether a record names enough members to answer.

    ``copies`` must hold what is answered, or ``least`` of them when a look at all other nodes under this very record,
    ``exhausted_record``, found none that could hold a copy, as those are lost machines then.
    """
    count = len(record.members())
    return count >= copies or (count >= least and exhausted_record == record)


@dataclasses.dataclass(frozen=True)
class LostDisks:
    """Members that were recorded out as their disks are known to have been lost: the record since then, how many they
    are, and until when they count as losses that were to be borne.
    """

    record: replica_set.ReplicaSet
    count: int
    end: datetime.timedelta

    def excuse(self, record: replica_set.ReplicaSet, copies: int, least: int, now: datetime.timedelta) -> bool:
        """Whether a record names enough members, as those missing are losses that happened."""
        count = len(record.members())
        return record == self.record and now < self.end and count >= least and count + self.count >= copies


def may_leave(staying: int, members: int, copies: int) -> bool:
    """Whether members that are being drained may be recorded out: only while enough others hold the copy."""
    return copies <= staying < members


@dataclasses.dataclass(frozen=True)
class Tenure:
    """A member's time as primary: whether it leads or hands its place over, its lease's end, and whether the newest
    record that it knows is the one that it had chosen.
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

    One that is transferring leadership may not, whatever lease is granted to it meanwhile: witnesses drop that lease
    once they accept the next primary, which may lead before this one hears of it. One that was told of a record that
    it did not have chosen may not either: a record that few accepted can leave out a backup that may take over.
    """
    return (
        tenure.leading
        and tenure.knows_chosen
        and not tenure.transferring_leadership
        and now < tenure.lease_end
        and known is not None
        and known.primary == me
    )
