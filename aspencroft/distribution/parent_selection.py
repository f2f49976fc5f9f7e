"""Which node a relay pulls from: the shape of the dissemination tree, and the parents that are avoided for a while."""

import datetime

from aspencroft.distribution import timing
from aspencroft.runtime import clock

CHILDREN_PER_RELAY = 4
SPARE_PARENTS = 9  # the first nodes of the tree order, cores as long as there are enough


def parent_of(address: str, root: str, order: tuple[str, ...]) -> str:
    """A node's parent in the tree that the members' order spans from the root.

    Example: ``parent_of("b", "a", ("a", "b", "c")) == "a"``
    """
    breadth_first = [root, *[member for member in order if member != root]]
    if address not in breadth_first:
        return root
    return breadth_first[max(0, (breadth_first.index(address) - 1) // CHILDREN_PER_RELAY)]


def depth_of(address: str, root: str, order: tuple[str, ...]) -> int:
    """How many relays a node is below the root; one for a node that the order does not name.

    Example: ``depth_of("b", "a", ("a", "b", "c")) == 1``
    """
    if address == root:
        return 0
    if address not in order:
        return 1
    index, depth = order.index(address), 0
    index += 1 - (root in order and order.index(root) < index)
    while index > 0:
        index, depth = (index - 1) // CHILDREN_PER_RELAY, depth + 1
    return depth


class ParentSelection:
    """The parent of a node, with those that it avoids; ``parent_depth`` is that of the parent selected last."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.avoided_until: dict[str, datetime.timedelta] = {}
        self.followed_root = ""
        self.parent_depth = 0

    def select(self, root: str, order: tuple[str, ...]) -> str:
        """The parent at this moment.

        While the parent in the tree is avoided, the root itself is asked, and while that is avoided too, another core:
        a node that reaches the root is never more than one failed parent away from it.
        """
        if root != self.followed_root:
            self.followed_root = root
            self.avoided_until.clear()
        usual = parent_of(self.address, root, order)
        candidates = (usual, root, *(address for address in order[:SPARE_PARENTS] if address != self.address))
        now = clock.now()
        parent = next((address for address in candidates if self.avoided_until.get(address, clock.ZERO) <= now), usual)
        self.parent_depth = depth_of(parent, root, order)
        return parent

    def avoid(self, parent: str, *, is_reachable: bool = False) -> bool:
        """Select others than this parent for a while; whether it was not avoided before.

        A root that answers is asked again after one pull: a new one says that it heard of no root until it has read
        what those before it acknowledged, and the parents left meanwhile may be silent ones that cost a time-out each.
        """
        now = clock.now()
        is_new = self.avoided_until.get(parent, clock.ZERO) <= now
        is_answering_root = is_reachable and parent == self.followed_root
        self.avoided_until[parent] = now + (timing.PULL_INTERVAL if is_answering_root else timing.AVOID_PARENT_FOR)
        return is_new

    def is_stale(self, root_age: datetime.timedelta, currency: datetime.timedelta) -> bool:
        """Whether a parent that heard of the root so long ago is to be avoided.

        Each relay above it may put it behind by one pull.
        """
        return root_age > min(timing.STALE_PARENT_AFTER + timing.PULL_INTERVAL * self.parent_depth, currency / 2)
