"""The role of a replica in its group: derived from what is known of the group, by pure functions; changes are logged.

The role is for reading, in logs and in code that reports. What a replica may do is decided by its lease, by the newest
record and by the state of its log (``record_changes.may_serve``), never by the name of its role.
"""

import dataclasses
import enum

import logbook

from aspencroft.consensus import replica_set
from aspencroft.runtime import events

LOG = logbook.Logger("replication.role")


class ReplicaRole(enum.Enum):
    """What a replica is in its group at a moment."""

    RECOVERING = "recovering"
    """It started, and has not yet compared its log with another member, or knows no record at all."""
    NON_MEMBER = "non-member"
    """The newest record does not name it."""
    FOLLOWER = "follower"
    """A backup that watches its primary."""
    CANDIDATE = "candidate"
    """A backup whose primary is silent, and that asks the voters for the primary's place."""
    ACQUIRING_LEASE = "acquiring lease"
    """The primary of the newest record, without a valid lease: it answers nothing."""
    LEADER = "leader"
    """The primary of the newest record, under a valid lease."""
    STEPPING_DOWN = "stepping down"
    """A primary that hands its place to a backup: it answers nothing, whatever lease it is granted."""


LEADERSHIP_ROLES = frozenset(
    (ReplicaRole.CANDIDATE, ReplicaRole.ACQUIRING_LEASE, ReplicaRole.LEADER, ReplicaRole.STEPPING_DOWN)
)
"""Roles whose begin or end is an event for those on call; the others come with any start."""


@dataclasses.dataclass(frozen=True)
class RoleFacts:
    """All that a replica's role follows from."""

    known: replica_set.ReplicaSet | None
    me: replica_set.ReplicaId
    is_leading: bool
    is_transferring: bool
    is_campaigning: bool
    is_unconfirmed: bool
    has_lease: bool


def decide_role(facts: RoleFacts) -> ReplicaRole:
    """The role that follows from the facts.

    A term as primary is looked at first: it ends by itself where the newest record names another member, and until
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
    """A replica's term as primary or campaign for it, and the role it was last seen in; only its methods change it."""

    def __init__(self, group_id: int):
        self.group_id = group_id
        self.role = ReplicaRole.RECOVERING
        self.is_leading = False
        self.is_transferring = False
        self.is_campaigning = False

    def begin_term(self) -> None:
        """Begin to act as the primary, as soon as a lease is granted."""
        self.is_leading = True

    def end_term(self) -> None:
        """Stop acting as the primary."""
        self.is_leading = self.is_transferring = False

    def begin_transfer(self) -> None:
        """From now on nothing is answered: the voters may already have accepted the next primary."""
        self.is_transferring = True

    def end_transfer(self) -> None:
        """The transfer was not accepted, and this member is known to be the primary still."""
        self.is_transferring = False

    def begin_campaign(self) -> None:
        """Begin to ask the voters for the place of a silent primary."""
        self.is_campaigning = True

    def end_campaign(self) -> None:
        """The voters answered, or did not."""
        self.is_campaigning = False

    def apply(self, facts: RoleFacts, reason: str) -> None:
        """Take the role that follows from the facts; a change of it is logged once."""
        fresh = decide_role(facts)
        if fresh is self.role:
            return
        epoch = None if facts.known is None else facts.known.epoch
        change = f"{self.role.value} to {fresh.value}"
        events.report(
            LOG,
            events.EventFields(
                events.Event.ROLE_CHANGED, self.group_id, epoch, member=facts.me.label(), reason=f"{change}: {reason}"
            ),
            "group {}: role changed from {} to {}, epoch {}, member {}: {}",
            self.group_id,
            self.role.value,
            fresh.value,
            epoch,
            facts.me.label(),
            reason,
            level=logbook.NOTICE if {self.role, fresh} & LEADERSHIP_ROLES else logbook.INFO,
        )
        self.role = fresh
