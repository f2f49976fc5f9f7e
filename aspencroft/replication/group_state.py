"""State shared by the components of one group's replica: the log, the newest known replica set, lease and role."""

import asyncio
import collections.abc
import dataclasses
import datetime

import logbook

from aspencroft.consensus import proposer, replica_placement, replica_set
from aspencroft.errors import result
from aspencroft.replication import record_changes, replica, role, service_status
from aspencroft.runtime import clock, events
from aspencroft.transport import codec, connections

LOG = logbook.Logger("replication.group_state")
REPLY_TIMEOUT = clock.seconds(0.6)
"""Time-out of a short request to another member: shorter than the time after which a backup takes over."""
RETRY = clock.seconds(0.15)
"""Pause before a failed attempt is retried."""
CLIENT_RETRY_AFTER = clock.seconds(1)
"""Retry delay that a rejected caller is told: about the duration of a failover."""
SUSPICION_TIME = clock.seconds(5)
"""How long a peer that failed a request is ranked behind all other candidates."""
MIN_REPLICAS = 2
"""Minimum number of replicas that acknowledge a write: data on a single disk is never acknowledged."""


class ReplicationError(Exception):
    """Base class of the errors that end a replica's work in its present role."""


class DeposedError(ReplicationError):
    """This node no longer has its former role in the group."""


class DiskStalledError(ReplicationError, OSError):
    """A write to this node's disk has stalled."""


@dataclasses.dataclass(frozen=True)
class GroupPolicy:
    """Functions and numbers by which a node controls the replica of a group.

    ``candidates`` lists the nodes that could hold a replica, and ``is_drained`` tells whether a node is to hold none.
    ``is_lost`` tells whether a run of a node, given by address and incarnation, has ended, even if the node runs again.
    ``publish`` passes on a newly learned replica set.

    ``required_replicas`` is the number of disks that must hold acknowledged data, ``target_replica_count`` the intended
    number of members. ``records`` returns the newest replica sets of all groups known here, ``payload_limit`` the
    number of bytes of callers' inputs and outputs that the group may hold.
    """

    candidates: collections.abc.Callable[[], tuple[replica_placement.Candidate, ...]]
    is_drained: collections.abc.Callable[[str], bool]
    publish: collections.abc.Callable[[replica_set.ReplicaSet], None]
    is_lost: collections.abc.Callable[[str], bool]
    required_replicas: int
    target_replica_count: collections.abc.Callable[[], int]
    records: collections.abc.Callable[[], tuple[replica_set.ReplicaSet, ...]]
    payload_limit: collections.abc.Callable[[], int]


class LeaseState:
    """The lease of a primary, and the chosen replica set under which it is requested."""

    def __init__(self) -> None:
        self.end = clock.ZERO
        self.chosen: proposer.ChosenValue | None = None
        self.chosen_record: replica_set.ReplicaSet | None = None

    def extend(self, end: datetime.timedelta) -> None:
        """Extend the lease to ``end`` on the monotonic clock; an end before the current one is ignored."""
        self.end = max(self.end, end)

    def expire(self) -> None:
        """Give up the lease, even if the voters still grant it."""
        self.end = clock.ZERO

    def set_chosen(self, chosen: proposer.ChosenValue, record: replica_set.ReplicaSet) -> None:
        """Store the ballot that made this member the primary: leases are requested under it."""
        self.chosen, self.chosen_record = chosen, record

    def forget_chosen(self) -> None:
        """Forget the ballot, so that the next term begins with a new one."""
        self.chosen = None

    def is_for(self, known: replica_set.ReplicaSet | None) -> bool:
        """Whether a replica set is the very one that this member had chosen."""
        return self.chosen is not None and self.chosen_record == known


class SuspectedPeers:
    """Peers that failed a request recently, by address, independent of their state in the membership."""

    def __init__(self) -> None:
        self.ends: dict[str, datetime.timedelta] = {}

    def suspect(self, address: str) -> None:
        """Rank a peer that failed behind all others for ``SUSPICION_TIME``."""
        self.ends[address] = clock.now() + SUSPICION_TIME

    def is_suspected(self, address: str) -> bool:
        """Whether a peer failed a request recently."""
        return self.ends.get(address, clock.ZERO) > clock.now()


class RecoveryState:
    """Whether this log was compared with another member's since the start, and how long to wait for one."""

    def __init__(self) -> None:
        self.is_unconfirmed = True
        self.wait_end = clock.ZERO

    def await_peers_until(self, end: datetime.timedelta) -> None:
        """Wait for another member until ``end`` on the monotonic clock; then proceed with the data on this disk."""
        self.wait_end = end

    def is_wait_over(self) -> bool:
        """Whether this replica proceeds without having reached another member."""
        return clock.now() >= self.wait_end

    def confirm(self) -> None:
        """Note that the log holds all acknowledged entries."""
        self.is_unconfirmed = False

    def require_comparison(self) -> None:
        """Note that the log may lack acknowledged entries until it was compared with another member's."""
        self.is_unconfirmed = True


class PrimaryContact:
    """When the primary was last heard from, on the monotonic clock."""

    def __init__(self) -> None:
        self.at = clock.ZERO

    def note(self) -> None:
        """Note a message of the primary."""
        self.at = clock.now()


class ReplicaMove:
    """The member that is to be replaced by one on a better disk, or none."""

    def __init__(self) -> None:
        self.leaving: replica_set.ReplicaId | None = None

    def begin(self, leaving: replica_set.ReplicaId) -> None:
        """Begin to replace a member: it is removed once its replacement is in the replica set."""
        self.leaving = leaving

    def end(self) -> None:
        """End the move: no member is to be replaced."""
        self.leaving = None


class GroupState:
    """State shared by the primary, the backup and the replica changes of one group's replica."""

    def __init__(
        self,
        local_replica: replica.Replica,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        area: str,
        policy: GroupPolicy,
    ):
        self.replica = local_replica
        self.group_id = local_replica.group_id
        self.link = links
        self.proposer = voters
        self.address = address
        self.area = area
        self.policy = policy
        self.known: replica_set.ReplicaSet | None = None
        self.lease = LeaseState()
        self.role_state = role.RoleState(local_replica.group_id)
        self.move = ReplicaMove()
        self.primary_contact = PrimaryContact()
        self.suspected_peers = SuspectedPeers()
        self.recovery = RecoveryState()
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()
        self.balloting = asyncio.Lock()
        self.committed = asyncio.Event()
        self.counts = {
            "takeovers": 0,
            "recruits": 0,
            "batches": 0,
            "entries": 0,
            "taken at start": 0,
            "disk failures": 0,
            "moves": 0,
            "released": 0,
        }
        self.service_status = service_status.ServiceStatus(local_replica.group_id)

    def me(self) -> replica_set.ReplicaId:
        """This node's replica id in the group."""
        return replica_set.ReplicaId(self.address, self.replica.identity)

    @property
    def status_reason(self) -> str:
        """Why this replica does not serve the group, or ``service_status.SERVING``."""
        return self.service_status.reason

    @status_reason.setter
    def status_reason(self, reason: str) -> None:
        self.service_status.change(reason, self.known.epoch if self.known else None, self.me().label())

    @property
    def lease_end(self) -> datetime.timedelta:
        """When this node's lease on the group ends, on the monotonic clock; zero without one."""
        return self.lease.end

    @property
    def record(self) -> replica_set.ReplicaSet:
        """The newest known replica set; only for members, which always know one."""
        assert self.known is not None, "no replica set of this group is known"
        return self.known

    def confirm_recovery(self, reason: str) -> None:
        """Note that the log holds all acknowledged entries, and update the role."""
        if self.recovery.is_unconfirmed:
            self.recovery.confirm()
            self.update_role(reason)

    def update_role(self, reason: str) -> None:
        """Derive the role from the present state; a change is logged with its reason."""
        roles = self.role_state
        roles.apply(
            role.RoleFacts(
                self.known,
                self.me(),
                roles.is_leading,
                roles.is_transferring,
                roles.is_campaigning,
                self.recovery.is_unconfirmed,
                self.has_lease(),
            ),
            reason,
        )

    def learn(self, reported: replica_set.ReplicaSet) -> None:
        """Take over a replica set from any source if its epoch is newer than that of the known one."""
        if self.known is None or reported.epoch > self.known.epoch:
            self.known = reported
            self.changed.set()
            self.policy.publish(reported)

    def has_lease(self) -> bool:
        """Whether this node may act as the primary at this moment."""
        tenure = record_changes.Tenure(
            self.role_state.is_leading, self.role_state.is_transferring, self.lease.end, self.knows_chosen()
        )
        return record_changes.may_serve(tenure, self.known, self.me(), clock.now())

    def knows_chosen(self) -> bool:
        """Whether the newest known replica set is the very one under which this node requests its lease.

        A witness may report a replica set that only a minority accepted. A primary that served under it would leave out
        a backup that the chosen replica set names and that may take over.
        """
        return self.lease.is_for(self.known)

    def check_tenure(self) -> None:
        """Stop at once if the newest replica set names another primary.

        Raises:
            DeposedError: Another member is the primary.

        """
        if self.record.primary != self.me():
            raise DeposedError(f"another member is the primary in epoch {self.record.epoch}")

    def check_disk(self) -> None:
        """Stop at once if a write to this disk has stalled: a backup whose disk works can serve instead.

        Raises:
            DiskStalledError: A write has stalled.

        """
        if self.replica.storage.is_stalled():
            raise DiskStalledError(f"group {self.group_id}: a write to the disk has stalled")

    def staying(self) -> tuple[replica_set.ReplicaId, ...]:
        """The members that are neither drained, nor about to stop, nor being replaced by a better one."""
        return tuple(member for member in self.remaining() if member != self.move.leaving)

    def remaining(self) -> tuple[replica_set.ReplicaId, ...]:
        """The members that are neither drained nor about to stop."""
        return tuple(member for member in self.record.members() if not self.policy.is_drained(member.address))

    def log_dropped(self, dropped: collections.abc.Collection[replica_set.ReplicaId], reason: str) -> None:
        """Log that a ballot removed members, if it did: one that finds another primary changes nothing."""
        if not set(dropped) & set(self.record.members()):
            members = ", ".join(sorted(member.label() for member in dropped))
            events.report(
                LOG,
                events.EventFields(
                    events.Event.REPLICAS_DROPPED, self.group_id, self.record.epoch, member=members, reason=reason
                ),
                "group {}: replicas dropped, epoch {}, members {}: {}",
                self.group_id,
                self.record.epoch,
                members,
                reason,
            )

    async def ballot(
        self, function: collections.abc.Callable[[replica_set.ReplicaSet], replica_set.ReplicaSet]
    ) -> proposer.ChosenValue:
        """Run one ballot on the replica set and learn the chosen one.

        Witnesses may have reported a replica set that only a minority accepted and that was never chosen. If the
        proposed one does not have a higher epoch, it gets the next one, so that every node takes it for the newer one.

        Raises:
            RequestError: No majority took part, or it is not known whether the replica set was chosen.

        """

        def change(value: bytes) -> bytes:
            record = proposer.decode_replica_set(value)
            if record is None:
                raise result.RequestError(
                    result.ResultCode.WITNESS_BLANK, detail="the witnesses hold no replica set of this group yet"
                )
            return codec.tagged(record_changes.with_newer_epoch(function(record), self.known))

        async with self.balloting:
            chosen = await self.proposer.change(self.group_id, str(self.me()), change)
            chosen_record = proposer.decode_replica_set(chosen.value)
            assert chosen_record is not None, "a ballot never chooses a blank value"
            if self.me() in chosen_record.members():
                await self.replica.persist_record(chosen_record)
            if chosen_record.primary == self.me():
                self.lease.set_chosen(chosen, chosen_record)
            self.learn(chosen_record)
            return chosen
