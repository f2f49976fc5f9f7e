"""Selection of the node that a relay pulls from: the shape of the dissemination tree, and parents to avoid."""

import datetime

from aspencroft.distribution import timing
from aspencroft.runtime import clock

CHILDREN_PER_RELAY = 4
SPARE_PARENTS = 9  # the first nodes in tree order; all of them are cores if there are enough cores


def parent_of(address: str, root: str, order: tuple[str, ...]) -> str:
    """Return a node's parent in the tree that is built breadth-first from the root and the members in tree order.

    Example: ``parent_of("b", "a", ("a", "b", "c")) == "a"``
    """
    breadth_first = [root, *[member for member in order if member != root]]
    if address not in breadth_first:
        return root
    return breadth_first[max(0, (breadth_first.index(address) - 1) // CHILDREN_PER_RELAY)]


def depth_of(address: str, root: str, order: tuple[str, ...]) -> int:
    """Return the depth of a node below the root; 1 for a node that is not in the tree order.

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
    """Selects a node's parent and avoids failed ones; ``parent_depth`` is the depth of the last selected parent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.avoided_until: dict[str, datetime.timedelta] = {}
        self.followed_root = ""
        self.parent_depth = 0

    def select(self, root: str, order: tuple[str, ...]) -> str:
        """Return the parent to pull from now.

        While the parent in the tree is avoided, the root itself is selected, and while that is avoided too, another
        core. A node that can reach the root thus finds it after at most one failed parent.
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
        """Avoid a parent for a while; return whether it was not avoided before.

        A root that answers is avoided only for one pull interval: a new root reports that it has not heard of a root
        until it has read what earlier roots acknowledged, and the other parents tried meanwhile may be silent and cost
        one time-out each.
        """
        now = clock.now()
        is_new = self.avoided_until.get(parent, clock.ZERO) <= now
        is_answering_root = is_reachable and parent == self.followed_root
        self.avoided_until[parent] = now + (timing.PULL_INTERVAL if is_answering_root else timing.AVOID_PARENT_FOR)
        return is_new

    def is_stale(self, root_age: datetime.timedelta, lease_duration: datetime.timedelta) -> bool:
        """Return whether a parent heard of the root too long ago and has to be avoided.

        Each relay above the parent may add a delay of one pull.
        """
        return root_age > min(timing.STALE_PARENT_AFTER + timing.PULL_INTERVAL * self.parent_depth, lease_duration / 2)
