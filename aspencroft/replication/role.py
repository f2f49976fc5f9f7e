"""The role of a replica in its group, derived by pure functions from what it knows; changes are logged.

The role is only for logs and reports. What a replica may do depends on its lease, on the newest replica set and on the
state of its log (``record_changes.may_serve``), never on the name of its role.
"""

import dataclasses
import enum

import logbook

from aspencroft.consensus import replica_set
from aspencroft.runtime import events

LOG = logbook.Logger("replication.role")


class ReplicaRole(enum.Enum):
    """The role of a replica in its group."""

    RECOVERING = "recovering"
    """It has started, and has not yet compared its log with another member or knows no replica set."""
    NON_MEMBER = "non-member"
    """The newest replica set does not name it."""
    FOLLOWER = "follower"
    """A backup that follows its primary."""
    CANDIDATE = "candidate"
    """A backup whose primary is unresponsive, and that requests a takeover from the voters."""
    ACQUIRING_LEASE = "acquiring lease"
    """The primary of the newest replica set, without a valid lease: it does not serve."""
    LEADER = "leader"
    """The primary of the newest replica set, with a valid lease."""
    STEPPING_DOWN = "stepping down"
    """A primary that transfers leadership to a backup: it does not serve, even with a valid lease."""


LEADERSHIP_ROLES = frozenset(
    (ReplicaRole.CANDIDATE, ReplicaRole.ACQUIRING_LEASE, ReplicaRole.LEADER, ReplicaRole.STEPPING_DOWN)
)
"""Roles whose start or end is logged as a notice, for those on call; the other roles come with any start of a node."""


@dataclasses.dataclass(frozen=True)
class RoleFacts:
    """The facts that determine a replica's role."""

    known: replica_set.ReplicaSet | None
    me: replica_set.ReplicaId
    is_leading: bool
    is_transferring: bool
    is_campaigning: bool
    is_unconfirmed: bool
    has_lease: bool


def decide_role(facts: RoleFacts) -> ReplicaRole:
    """Derive the role from the facts.

    A term as primary takes precedence: it ends by itself when the newest replica set names another member, and until
    then the replica is still a primary, without a lease.
    """
    if facts.is_leading:
        if facts.is_transferring:
            return ReplicaRole.STEPPING_DOWN
        return ReplicaRole.LEADER if facts.has_lease else ReplicaRole.ACQUIRING_LEASE
    if facts.known is None:
        return ReplicaRole.RECOVERING
    if facts.known.primary == facts.me:
        return ReplicaRole.ACQUIRING_LEASE
    if facts.me not in facts.known.backups:
        return ReplicaRole.NON_MEMBER
    if facts.is_campaigning:
        return ReplicaRole.CANDIDATE
    return ReplicaRole.RECOVERING if facts.is_unconfirmed else ReplicaRole.FOLLOWER


class RoleState:
    """A replica's term as primary, its campaign for one, and its last logged role; only its methods change it."""

    def __init__(self, group_id: int):
        self.group_id = group_id
        self.role = ReplicaRole.RECOVERING
        self.is_leading = False
        self.is_transferring = False
        self.is_campaigning = False

    def begin_term(self) -> None:
        """Begin a term: the replica acts as the primary as soon as a lease is granted."""
        self.is_leading = True

    def end_term(self) -> None:
        """End the term as the primary, and with it a transfer."""
        self.is_leading = self.is_transferring = False

    def begin_transfer(self) -> None:
        """Begin a transfer and stop serving: the voters may already have accepted the next primary."""
        self.is_transferring = True

    def end_transfer(self) -> None:
        """End a transfer that was not accepted: this member is known to be the primary still."""
        self.is_transferring = False

    def begin_campaign(self) -> None:
        """Begin to request a takeover from the voters."""
        self.is_campaigning = True

    def end_campaign(self) -> None:
        """End the campaign, with or without a reply of the voters."""
        self.is_campaigning = False

    def apply(self, facts: RoleFacts, reason: str) -> None:
        """Take the role derived from the facts; a change is logged once."""
        new_role = decide_role(facts)
        if new_role is self.role:
            return
        epoch = None if facts.known is None else facts.known.epoch
        change = f"{self.role.value} to {new_role.value}"
        events.report(
            LOG,
            events.EventFields(
                events.Event.ROLE_CHANGED, self.group_id, epoch, member=facts.me.label(), reason=f"{change}: {reason}"
            ),
            "group {}: role changed from {} to {}, epoch {}, member {}: {}",
            self.group_id,
            self.role.value,
            new_role.value,
            epoch,
            facts.me.label(),
            reason,
            level=logbook.NOTICE if {self.role, new_role} & LEADERSHIP_ROLES else logbook.INFO,
        )
        self.role = new_role
