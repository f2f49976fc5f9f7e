"""What nodes know of each other: one entry a node, newer ones win."""

import dataclasses
import functools
import hashlib
import re

from aspencroft.consensus import replica_set
from aspencroft.transport import codec

LIVE, LEAVING, DOWN = range(3)
LARGEST = 1 << 60
ADDRESS = re.compile(r"[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}\Z")
STATES = ("live", "leaving", "down")


@codec.kind(60)
@dataclasses.dataclass(frozen=True)
class ClusterMember:
    """A node as others know it; a restart is a new incarnation, a denial of its death a new serial.

    ``holds`` names the sorts of groups that its disk may hold.
    """

    address: str
    incarnation: int
    serial: int
    state: int
    area: str
    role: str
    http: str
    disk: bool
    seeds: tuple[str, ...]
    name: str = ""
    holds: tuple[str, ...] = ()

    def age(self) -> tuple[int, int, int]:
        """What orders two entries of one address."""
        return self.incarnation, self.serial, self.state

    def sound(self) -> bool:
        """Whether the entry can be that of a node; what cannot is dropped by whoever hears it."""
        return (
            ADDRESS.match(self.address) is not None
            and self.state in range(len(STATES))
            and 0 <= self.incarnation < LARGEST
            and 0 <= self.serial < LARGEST
        )


@codec.kind(61)
@dataclasses.dataclass(frozen=True)
class MembershipTable:
    """Entries of nodes, holders of pairs and the witnesses' voter set, as one node knows them."""

    peers: tuple[ClusterMember, ...]
    records: tuple[replica_set.ReplicaSet, ...]
    voter_set: replica_set.VoterSet


@codec.kind(62)
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A sign of life to a watcher, with the digest of the sender's table."""

    peer: ClusterMember
    digest: bytes


@codec.kind(63)
@dataclasses.dataclass(frozen=True)
class Join:
    """Ask for the table, giving one's own."""

    table: MembershipTable


@codec.kind(64)
@dataclasses.dataclass(frozen=True)
class ConfirmSuspicion:
    """Ask a second watcher whether it misses a peer too."""

    address: str
    incarnation: int


@codec.kind(65)
@dataclasses.dataclass(frozen=True)
class SuspicionReply:
    """Whether the second watcher misses it."""

    missing: bool


@functools.lru_cache(1 << 17)
def position(address: str) -> int:
    """A node's place on the ring."""
    return int.from_bytes(hashlib.blake2b(address.encode(), digest_size=6).digest(), "big")


def watchers(of: str, peers: dict[str, ClusterMember], count: int) -> tuple[str, ...]:
    """The nodes that the ring names as watchers of a node: next ones first, areas spread."""
    own = position(of)
    around = sorted(
        (one for one in peers.values() if one.address != of and one.state != DOWN),
        key=lambda one: (position(one.address) - own) % (1 << 48),
    )
    named: list[str] = []
    areas: set[str] = set()
    for one in around:
        if one.area not in areas and len(named) < count:
            areas.add(one.area)
            named.append(one.address)
    for one in around:
        if one.address not in named and len(named) < count:
            named.append(one.address)
    return tuple(named)
