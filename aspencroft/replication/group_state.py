"""What the parts of one group's replica share: its log, the newest replica set known, its lease, its role."""

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
"""How long a short request to another member may take: below the silence after which a backup takes over."""
RETRY = clock.seconds(0.15)
"""Pause before an attempt that failed is made again."""
CLIENT_RETRY_AFTER = clock.seconds(1)
"""What a rejected caller is told to wait: about the time of a failover."""
SUSPICION_TIME = clock.seconds(5)
"""How long a peer that failed a request is tried last."""
MIN_REPLICAS = 2
"""Fewest replicas that may acknowledge a write: what a single disk holds is never acknowledged."""


class ReplicationError(Exception):
    """Root of what ends a replica's work in its present role."""


class DeposedError(ReplicationError):
    """This node is no longer what it was in the group."""


class DiskStalledError(ReplicationError, OSError):
    """A write to this node's disk has not come back for long."""


@dataclasses.dataclass(frozen=True)
class GroupPolicy:
    """What a part is told by its node: who could hold copies, who is to hold none, who is gone.

    Whom to tell of records.

    ``copies`` is how many disks must hold what is answered, ``goal`` how many members the group is to have; ``records``
    are the newest records known here of all groups, ``payload_limit`` is how many bytes of callers' the group may hold.
    """

    candidates: collections.abc.Callable[[], tuple[replica_placement.Candidate, ...]]
    is_drained: collections.abc.Callable[[str], bool]
    publish: collections.abc.Callable[[replica_set.ReplicaSet], None]
    gone: collections.abc.Callable[[str], bool]
    copies: int
    goal: collections.abc.Callable[[], int]
    records: collections.abc.Callable[[], tuple[replica_set.ReplicaSet, ...]]
    payload_limit: collections.abc.Callable[[], int]


class LeaseState:
    """The lease that a primary holds, and the record that was chosen under which it asks for it."""

    def __init__(self) -> None:
        self.end = clock.ZERO
        self.chosen: proposer.ChosenValue | None = None
        self.chosen_record: replica_set.ReplicaSet | None = None

    def extend(self, end: datetime.timedelta) -> None:
        """Hold the lease until ``end`` on the monotonic clock; an earlier end than the present one changes nothing."""
        self.end = max(self.end, end)

    def expire(self) -> None:
        """Hold no lease any more, whatever was granted."""
        self.end = clock.ZERO

    def set_chosen(self, chosen: proposer.ChosenValue, record: replica_set.ReplicaSet) -> None:
        """Remember the ballot that made this member the primary: leases are asked for under it."""
        self.chosen, self.chosen_record = chosen, record

    def forget_chosen(self) -> None:
        """The next term begins with a ballot of its own."""
        self.chosen = None

    def is_for(self, known: replica_set.ReplicaSet | None) -> bool:
        """Whether a record is the very one that this member had chosen."""
        return self.chosen is not None and self.chosen_record == known


class SuspectedPeers:
    """Peers that failed a request lately, by address, whatever membership thinks of them."""

    def __init__(self) -> None:
        self.ends: dict[str, datetime.timedelta] = {}

    def suspect(self, address: str) -> None:
        """Try a peer that failed last for ``SUSPICION_TIME``."""
        self.ends[address] = clock.now() + SUSPICION_TIME

    def is_suspected(self, address: str) -> bool:
        """Whether a peer failed lately."""
        return self.ends.get(address, clock.ZERO) > clock.now()


class RecoveryState:
    """Whether this replica's log was compared with another member's since the start, and how long that is awaited."""

    def __init__(self) -> None:
        self.is_unconfirmed = True
        self.patience_end = clock.ZERO

    def await_peers_until(self, end: datetime.timedelta) -> None:
        """Wait for another member until ``end`` on the monotonic clock; then go on with what this disk holds."""
        self.patience_end = end

    def is_patience_over(self) -> bool:
        """Whether this replica goes on without having reached another member."""
        return clock.now() >= self.patience_end

    def confirm(self) -> None:
        """The log holds all that was acknowledged."""
        self.is_unconfirmed = False

    def require_comparison(self) -> None:
        """The log may lack what was acknowledged until another member was asked."""
        self.is_unconfirmed = True


class PrimaryContact:
    """When the primary was last heard from, on the monotonic clock."""

    def __init__(self) -> None:
        self.at = clock.ZERO

    def note(self) -> None:
        """The primary gave a sign of life just now."""
        self.at = clock.now()


class ReplicaMove:
    """The member that is to give its place to a better one, or none."""

    def __init__(self) -> None:
        self.leaving: replica_set.ReplicaId | None = None

    def begin(self, leaving: replica_set.ReplicaId) -> None:
        """Have a member give its place up once its successor is recorded."""
        self.leaving = leaving

    def end(self) -> None:
        """No member is to leave for a better place."""
        self.leaving = None


class GroupState:
    """What the primary, the backup and the reconfiguration of a group's replica share."""

    def __init__(
        self,
        held: replica.Replica,
        links: connections.Link,
        voters: proposer.Proposer,
        address: str,
        area: str,
        policy: GroupPolicy,
    ):
        self.replica = held
        self.group_id = held.group_id
        self.link = links
        self.proposer = voters
        self.address = address
        self.area = area
        self.policy = policy
        self.known: replica_set.ReplicaSet | None = None
        self.lease = LeaseState()
        self.role_state = role.RoleState(held.group_id)
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
        self.service_status = service_status.ServiceStatus(held.group_id)

    def me(self) -> replica_set.ReplicaId:
        """This node's member name in the group."""
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
        """The newest replica set known; only for members, which know one."""
        assert self.known is not None, "no record of this group is known"
        return self.known

    def confirm_recovery(self, reason: str) -> None:
        """The log is known to hold all that was acknowledged."""
        if self.recovery.is_unconfirmed:
            self.recovery.confirm()
            self.update_role(reason)

    def update_role(self, reason: str) -> None:
        """Have the role follow from the present state; a change is logged with its reason."""
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

    def learn(self, fresh: replica_set.ReplicaSet) -> None:
        """Hear of a replica set from anywhere; only a newer epoch counts."""
        if self.known is None or fresh.epoch > self.known.epoch:
            self.known = fresh
            self.changed.set()
            self.policy.publish(fresh)

    def has_lease(self) -> bool:
        """Whether this node may act as the primary at this moment."""
        tenure = record_changes.Tenure(
            self.role_state.is_leading, self.role_state.is_transferring, self.lease.end, self.knows_chosen()
        )
        return record_changes.may_serve(tenure, self.known, self.me(), clock.now())

    def knows_chosen(self) -> bool:
        """Whether the newest record known here is the very one under which this node asks for its lease.

        A witness may tell of a record that few accepted. Who served under it would leave out a backup that the chosen
        record names, and that may take over.
        """
        return self.lease.is_for(self.known)

    def check_tenure(self) -> None:
        """Stop at once when the newest record names another primary.

        Raises:
            DeposedError: another member is the primary.

        """
        if self.record.primary != self.me():
            raise DeposedError(f"epoch {self.record.epoch}")

    def check_disk(self) -> None:
        """Stop at once when this disk has held a write up for long: a backup whose disk works can serve instead.

        Raises:
            DiskStalledError: a write has not come back for long.

        """
        if self.replica.storage.is_stalled():
            raise DiskStalledError(f"group {self.group_id}: a write has not come back for long")

    def staying(self) -> tuple[replica_set.ReplicaId, ...]:
        """The members that are neither drained nor about to stop, nor giving their place to a better one."""
        return tuple(member for member in self.remaining() if member != self.move.leaving)

    def remaining(self) -> tuple[replica_set.ReplicaId, ...]:
        """The members that are neither drained nor about to stop."""
        return tuple(member for member in self.record.members() if not self.policy.is_drained(member.address))

    def log_dropped(self, gone: collections.abc.Collection[replica_set.ReplicaId], reason: str) -> None:
        """Log that a ballot recorded members out, if it did: one that found another primary changes nothing."""
        if not set(gone) & set(self.record.members()):
            members = ", ".join(sorted(member.label() for member in gone))
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
        """One ballot on the replica set; what it chose is known from then on.

        Witnesses may have told of a record that was accepted by few and never chosen. Where the chosen one bears no
        higher epoch, it is given the next one, so that it is the newer one for everybody.

        Raises:
            RequestError: no majority took part, or it is not known whether the record was chosen.

        """

        def change(value: bytes) -> bytes:
            record = proposer.decode_replica_set(value)
            if record is None:
                raise result.RequestError(result.ResultCode.WITNESS_BLANK, detail="no record of holders yet")
            return codec.tagged(record_changes.with_newer_epoch(function(record), self.known))

        async with self.balloting:
            chosen = await self.proposer.change(self.group_id, str(self.me()), change)
            fresh = proposer.decode_replica_set(chosen.value)
            assert fresh is not None, "a ballot never chooses a blank value"
            if self.me() in fresh.members():
                await self.replica.persist_record(fresh)
            if fresh.primary == self.me():
                self.lease.set_chosen(chosen, fresh)
            self.learn(fresh)
            return chosen
