"""Singleton roles: work done by one node at a time, under a lease and a fencing epoch from the control group."""

import asyncio
import collections.abc
import datetime
import typing

import logbook

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.runtime import clock, events

LOG = logbook.Logger("leadership.singleton_role")
CONTROL_GROUP = 0
RENEWAL_INTERVAL = clock.seconds(0.5)  # four renewals within a lease
ACQUIRE_TIMEOUT = clock.seconds(1)  # half a lease, so that a lost request can be retried in time
INBOX_MESSAGES = 4096

Members = dict[str, cluster_member.ClusterMember]
Submit = collections.abc.Callable[
    [int, control_state.AcquireRole, datetime.timedelta], collections.abc.Awaitable[control_state.RoleAcquired]
]


def preferred_holder(role: str, members: Members, node_role: str = "") -> str:
    """Return the address of the node that should hold a role: the first live one in the role's ring order, or "".

    :param node_role: only nodes of this role may hold it; if empty, all nodes except edges
    """
    eligible = [
        member.address
        for member in members.values()
        if member.state == cluster_member.LIVE and (member.role == node_role if node_role else member.role != "edge")
    ]
    return min(eligible, key=lambda address: cluster_member.position(role + address), default="")


class SingletonRole:
    """A node's lease on a singleton role; ``inbox`` queues the messages for the role's holder."""

    def __init__(
        self,
        name: str,
        address: str,
        incarnation: int,
        members: collections.abc.Callable[[], Members],
        submit: Submit,
        node_role: str = "",
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.members = members
        self.submit = submit
        self.node_role = node_role
        self.epoch = 0
        self.lease_end = clock.ZERO
        self.ended_at = clock.ZERO
        self.is_holder_logged = False
        self.rejection_logged = ""
        self.inbox: asyncio.Queue[typing.Any] = asyncio.Queue(INBOX_MESSAGES)

    def has_lease(self) -> bool:
        """Return whether this node may act as the role's holder now."""
        return clock.now() < self.lease_end

    def end_lease(self) -> None:
        """Stop acting as the holder at once, because a higher epoch than this node's was seen.

        The reply to a renewal that was requested earlier is ignored, whenever it arrives.
        """
        self.lease_end, self.ended_at = clock.ZERO, clock.now()

    async def run(self) -> None:
        """Acquire the role while this node is the preferred holder, and renew its lease."""
        while True:
            preferred = preferred_holder(self.name, self.members(), self.node_role)
            if preferred == self.address:
                await self.acquire()
            self.log_loss(preferred)
            await clock.sleep(RENEWAL_INTERVAL)

    async def acquire(self) -> None:
        """Acquire or renew the lease."""
        # The lease runs from before the request; in the control group it starts later, so it expires here first.
        requested_at = clock.now()
        try:
            acquired = await self.submit(
                CONTROL_GROUP,
                control_state.AcquireRole(self.name, self.address, self.incarnation),
                ACQUIRE_TIMEOUT,
            )
        except result.RequestError as rejection:
            self.log_rejection(str(rejection))
            return
        if requested_at < self.ended_at:
            return
        self.epoch, self.lease_end = acquired.epoch, requested_at + control_state.ROLE_LEASE
        self.log_acquired()

    def log_acquired(self) -> None:
        """Log the role as acquired, once per acquisition."""
        self.rejection_logged = ""
        if not self.is_holder_logged:
            self.is_holder_logged = True
            events.report(
                LOG,
                events.EventFields(
                    events.Event.SINGLETON_ACQUIRED, None, self.epoch, member=self.address, reason=self.name
                ),
                "singleton role {} acquired: epoch {}, holder {}",
                self.name,
                self.epoch,
                self.address,
            )

    def log_rejection(self, reason: str) -> None:
        """Log why the role could not be acquired, once per reason."""
        if reason != self.rejection_logged:
            self.rejection_logged = reason
            LOG.info("singleton role {} not acquired by {}: {}", self.name, self.address, reason)

    def log_loss(self, preferred: str) -> None:
        """Log the role as lost once its lease has expired."""
        if self.is_holder_logged and not self.has_lease():
            self.is_holder_logged = False
            events.report(
                LOG,
                events.EventFields(
                    events.Event.SINGLETON_LOST, None, self.epoch, member=self.address, reason=self.name
                ),
                "singleton role {} lost: epoch {}, holder {}: lease expired, preferred holder is {}",
                self.name,
                self.epoch,
                self.address,
                preferred or "nobody",
            )
