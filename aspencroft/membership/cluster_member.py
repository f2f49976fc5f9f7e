"""Member entries and the membership messages; of two entries for the same address the newer one wins."""

import dataclasses
import functools
import hashlib
import re

from aspencroft.consensus import replica_set
from aspencroft.transport import codec

LIVE, LEAVING, DOWN = range(3)
NUMBER_LIMIT = 1 << 60  # limit for incarnations, serials and epochs from peers; safely below 64 bits
RING_POSITIONS = 1 << 48  # the range of a 6-byte hash
ADDRESS = re.compile(r"[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}\Z")
STATES = ("live", "leaving", "down")


@codec.kind(60)
@dataclasses.dataclass(frozen=True)
class ClusterMember:
    """A node as other nodes know it; a restart gets a new incarnation, a refuted suspicion a new serial.

    ``state`` is LIVE, LEAVING or DOWN (an int for the codec), ``http`` is the address of the node's HTTP listener,
    ``disk`` tells whether the node stores groups, and ``holds`` are the kinds of groups that its disk may store.
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

    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key of entries for one address: the greater entry supersedes the other."""
        return self.incarnation, self.serial, self.state

    def is_valid(self) -> bool:
        """Return whether the entry can belong to a node; the receiver drops invalid entries."""
        return (
            ADDRESS.match(self.address) is not None
            and self.state in range(len(STATES))
            and 0 <= self.incarnation < NUMBER_LIMIT
            and 0 <= self.serial < NUMBER_LIMIT
        )


@codec.kind(61)
@dataclasses.dataclass(frozen=True)
class MembershipTable:
    """Members, replica sets and the voter set: everything that a node knows, or only what changed."""

    members: tuple[ClusterMember, ...]
    records: tuple[replica_set.ReplicaSet, ...]
    voter_set: replica_set.VoterSet


@codec.kind(62)
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A heartbeat to a watcher, with the digest of the sender's membership table."""

    sender: ClusterMember
    digest: bytes


@codec.kind(63)
@dataclasses.dataclass(frozen=True)
class Join:
    """The sender's table, or the changes to it; the reply is the receiver's table."""

    table: MembershipTable


@codec.kind(64)
@dataclasses.dataclass(frozen=True)
class ConfirmSuspicion:
    """Asks a second watcher whether it suspects a member too."""

    address: str
    incarnation: int


@codec.kind(65)
@dataclasses.dataclass(frozen=True)
class SuspicionReply:
    """Tells whether the second watcher does not hear from the member either."""

    missing: bool


@functools.lru_cache(1 << 17)
def position(address: str) -> int:
    """Return a node's position on the hash ring, below ``RING_POSITIONS``."""
    return int.from_bytes(hashlib.blake2b(address.encode(), digest_size=6).digest(), "big")


def watchers(address: str, members: dict[str, ClusterMember], count: int) -> tuple[str, ...]:
    """Return the nodes that watch a member: its successors on the ring, first one per area, then any others.

    ``MemberTable.watchers`` returns the same result without sorting the ring on each call.
    """
    start = position(address)
    successors = sorted(
        (member for member in members.values() if member.address != address and member.state != DOWN),
        key=lambda member: (position(member.address) - start) % RING_POSITIONS,
    )
    selected: list[str] = []
    areas: set[str] = set()
    for member in successors:
        if member.area not in areas and len(selected) < count:
            areas.add(member.area)
            selected.append(member.address)
    for member in successors:
        if member.address not in selected and len(selected) < count:
            selected.append(member.address)
    return tuple(selected)
