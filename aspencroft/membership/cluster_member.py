"""Member entries and the messages of membership; of two entries for one address the newer wins."""

import dataclasses
import functools
import hashlib
import re

from aspencroft.consensus import replica_set
from aspencroft.transport import codec

LIVE, LEAVING, DOWN = range(3)
NUMBER_LIMIT = 1 << 60  # incarnations, serials and epochs from peers stay below it, far from 64 bits
RING_POSITIONS = 1 << 48  # as many as six bytes of a hash give
ADDRESS = re.compile(r"[0-9A-Za-z.:\[\]-]+:[0-9]{1,5}\Z")
STATES = ("live", "leaving", "down")


@codec.kind(60)
@dataclasses.dataclass(frozen=True)
class ClusterMember:
    """A node as others know it; a restart is a new incarnation, a refuted suspicion a new serial.

    ``state`` is LIVE, LEAVING or DOWN (an int, as the codec has it), ``http`` the address of its HTTP listener,
    ``disk`` whether it stores groups, ``holds`` the sorts of groups that its disk may store.
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
        """What orders two entries of one address: the greater supersedes the other."""
        return self.incarnation, self.serial, self.state

    def is_valid(self) -> bool:
        """Whether the entry can be that of a node; its receiver drops any other."""
        return (
            ADDRESS.match(self.address) is not None
            and self.state in range(len(STATES))
            and 0 <= self.incarnation < NUMBER_LIMIT
            and 0 <= self.serial < NUMBER_LIMIT
        )


@codec.kind(61)
@dataclasses.dataclass(frozen=True)
class MembershipTable:
    """Members, replica sets of groups and the witnesses' voter set: all that one node knows, or what changed."""

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
    """The sender's table, or what changed in it; the answer is the receiver's table."""

    table: MembershipTable


@codec.kind(64)
@dataclasses.dataclass(frozen=True)
class ConfirmSuspicion:
    """Ask a second watcher whether it suspects a member too."""

    address: str
    incarnation: int


@codec.kind(65)
@dataclasses.dataclass(frozen=True)
class SuspicionReply:
    """Whether the second watcher hears nothing from the member either."""

    missing: bool


@functools.lru_cache(1 << 17)
def position(address: str) -> int:
    """A node's position on the hash ring, below ``RING_POSITIONS``."""
    return int.from_bytes(hashlib.blake2b(address.encode(), digest_size=6).digest(), "big")


def watchers(address: str, members: dict[str, ClusterMember], count: int) -> tuple[str, ...]:
    """The nodes that watch a member: its successors on the ring, those in areas not named yet first.

    ``MemberTable.watchers`` gives the same without sorting the ring for each question.
    """
    start = position(address)
    successors = sorted(
        (member for member in members.values() if member.address != address and member.state != DOWN),
        key=lambda member: (position(member.address) - start) % RING_POSITIONS,
    )
    named: list[str] = []
    areas: set[str] = set()
    for member in successors:
        if member.area not in areas and len(named) < count:
            areas.add(member.area)
            named.append(member.address)
    for member in successors:
        if member.address not in named and len(named) < count:
            named.append(member.address)
    return tuple(named)
