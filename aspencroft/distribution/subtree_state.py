"""The children of a relay and their subtrees: the configuration revision that each node has confirmed."""

import dataclasses
import datetime
import hashlib

from aspencroft.configuration import control_state
from aspencroft.distribution import timing, updates
from aspencroft.runtime import clock


@dataclasses.dataclass(frozen=True)
class Subtree:
    """A node and all nodes below it with the revisions that they confirmed, and a digest of them."""

    nodes: dict[str, control_state.Revision]
    digest: bytes


@dataclasses.dataclass(frozen=True)
class CountedNodes:
    """The sorted addresses of a subtree that the root has counted, and their digest."""

    addresses: tuple[str, ...]
    digest: bytes


def subtree_of(nodes: dict[str, control_state.Revision]) -> Subtree:
    """Return a subtree with its digest.

    Example: ``subtree_of({}) == subtree_of({})``
    """
    lines = (f"{address} {revision.text()}" for address, revision in sorted(nodes.items()))
    return Subtree(nodes, hashlib.blake2b("\n".join(lines).encode(), digest_size=16).digest())


def addresses_digest(addresses: tuple[str, ...]) -> bytes:
    """Return the digest of sorted addresses."""
    return hashlib.blake2b("\n".join(addresses).encode(), digest_size=16).digest()


NO_ADDRESSES_DIGEST = addresses_digest(())


class SubtreeState:
    """The children of a relay, the expiry time of each, and the subtrees that they reported."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.expiry: dict[str, datetime.timedelta] = {}
        self.subtrees: dict[str, Subtree] = {}
        self.complete = subtree_of({})
        self.counted: dict[str, tuple[tuple[bytes, bytes | None], CountedNodes]] = {}

    def live_children(self) -> tuple[str, ...]:
        """Remove expired children and return the others."""
        now = clock.now()
        for address, end in list(self.expiry.items()):
            if end < now:
                self.expiry.pop(address)
                self.subtrees.pop(address, None)
                self.counted.pop(address, None)
        return tuple(self.expiry)

    def merge(self, revision: control_state.Revision) -> Subtree:
        """Return the subtree of this node, which has confirmed ``revision``, and all nodes below it."""
        now = clock.now()
        nodes: dict[str, control_state.Revision] = {}
        for child, end in self.expiry.items():
            if end >= now and child in self.subtrees:
                nodes.update(self.subtrees[child].nodes)
        nodes[self.address] = revision
        if nodes != self.complete.nodes:
            self.complete = subtree_of(nodes)
        return self.complete

    def resolve(self, pull: updates.Pull) -> Subtree | None:
        """Return the complete subtree of a pull, or None if its differences have a base that is not known here."""
        known = self.subtrees.get(pull.address)
        listed = {confirmation.address: confirmation.revision for confirmation in pull.subtree}
        if not pull.base:
            return subtree_of(listed)
        if known is None or known.digest != pull.base:
            return None
        if not listed and not pull.removed:
            return known
        nodes = {**known.nodes, **listed}
        for address in pull.removed:
            nodes.pop(address, None)
        resolved = subtree_of(nodes)
        return resolved if resolved.digest == pull.digest else None

    def store(self, child: str, subtree: Subtree) -> bool:
        """Store the subtree of a child that pulls now; return whether it changed."""
        self.expiry[child] = clock.now() + timing.CHILD_EXPIRY
        if child in self.subtrees and subtree.digest == self.subtrees[child].digest:
            return False
        self.subtrees[child] = subtree
        return True

    def counted_nodes(
        self, child: str, subtree: Subtree, counted: frozenset[str] | None, counted_digest: bytes | None
    ) -> CountedNodes:
        """Return the nodes of a child's subtree that the root has counted; at the root itself ``counted`` is None."""
        derived_from = subtree.digest, counted_digest
        known = self.counted.get(child)
        if known is None or known[0] != derived_from:
            addresses = tuple(sorted(address for address in subtree.nodes if counted is None or address in counted))
            known = self.counted[child] = derived_from, CountedNodes(addresses, addresses_digest(addresses))
        return known[1]
