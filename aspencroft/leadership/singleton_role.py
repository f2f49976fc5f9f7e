"""A duty that one node does: the first live node in an agreed order, under an epoch."""

import asyncio
import collections.abc

import logbook

from aspencroft.configuration import control_state
from aspencroft.errors import result
from aspencroft.membership import cluster_member
from aspencroft.runtime import clock

LOG = logbook.Logger("leadership.singleton_role")
RENEW = clock.seconds(0.5)
WITHIN = clock.seconds(1)
WORDS = 4096


def first_of(name: str, peers: dict[str, cluster_member.ClusterMember], role: str = "") -> str:
    """The node that should do a duty: the first live one of a role, or of the control plane, in the duty's order."""
    able = [
        one.address
        for one in peers.values()
        if one.state == cluster_member.LIVE and (one.role == role if role else one.role != "edge")
    ]
    return min(able, key=lambda address: cluster_member.position(name + address), default="")


class SingletonRole:
    """A node's claim on a duty."""

    def __init__(
        self,
        name: str,
        address: str,
        incarnation: int,
        peers: collections.abc.Callable[[], dict[str, cluster_member.ClusterMember]],
        submit: collections.abc.Callable,
        role: str = "",
    ):
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.peers = peers
        self.submit = submit
        self.role = role
        self.epoch = 0
        self.end = clock.ZERO
        self.words: asyncio.Queue = asyncio.Queue(WORDS)

    def held(self) -> bool:
        """Whether this node may do the duty at this moment."""
        return clock.now() < self.end

    async def run(self) -> None:
        """Claim the duty while first in its order, and go on claiming it."""
        while True:
            if first_of(self.name, self.peers(), self.role) == self.address:
                asked = clock.now()
                try:
                    taken = await self.submit(
                        0, control_state.AcquireRole(self.name, self.address, self.incarnation), WITHIN
                    )
                    if self.epoch != taken.epoch:
                        LOG.info("does {} under epoch {}", self.name, taken.epoch)
                    self.epoch, self.end = taken.epoch, asked + control_state.ROLE_LEASE
                except result.RequestError as refusal:
                    LOG.info("duty {}: {}", self.name, refusal)
            await clock.sleep(RENEW)
