"""The table of peers with what is worked out from it (orders, watchers, packed entries).

Each kept until it changes.
"""

import bisect

from aspencroft.membership import cluster_member
from aspencroft.transport import codec


class Counted(dict):
    """A dictionary that counts its changes, so that whatever was worked out from it can be kept until the next one."""

    def __init__(self):
        super().__init__()
        self.changes = 0
        self.touched: dict[object, None] = {}

    def __setitem__(self, key, value):
        self.changes += 1
        self.touched[key] = None
        super().__setitem__(key, value)

    def __delitem__(self, key):
        super().__delitem__(key)
        self.changes += 1

    def pop(self, key, *otherwise):
        """Take an entry out."""
        self.changes += 1
        return super().pop(key, *otherwise)

    def taken(self) -> tuple:
        """The entries that were set since this was asked last, and are still there, by their keys' order."""
        keys, self.touched = sorted(key for key in self.touched if key in self), {}
        return tuple(self[key] for key in keys)

    def popitem(self):
        """Not done to these tables."""
        raise NotImplementedError

    clear = setdefault = update = __ior__ = popitem


class MemberTable(Counted):
    """Peers by address; ``layout`` counts the changes that move anybody's place on the ring or in the tree."""

    def __init__(self):
        super().__init__()
        self.layout = 0
        self.worked_out = -1
        self.around: list[cluster_member.ClusterMember] = []
        self.positions: list[int] = []
        self.named: dict[str, tuple[str, ...]] = {}
        self.naming: dict[str, tuple[str, ...]] | None = None
        self.tree: tuple[str, ...] | None = None
        self.bytes: dict[str, tuple[cluster_member.ClusterMember, bytes]] = {}

    def __setitem__(self, address, one):
        known = self.get(address)
        if known is None or place_of(known) != place_of(one):
            self.layout += 1
        super().__setitem__(address, one)

    def __delitem__(self, address):
        super().__delitem__(address)
        self.forget(address)

    def pop(self, address, *otherwise):
        """Take a peer out."""
        self.forget(address)
        return super().pop(address, *otherwise)

    def forget(self, address: str) -> None:
        """A peer's entry is gone: so is what was worked out from it."""
        self.layout += 1
        self.bytes.pop(address, None)

    def work_out(self) -> None:
        """Order the ring anew, if anybody's place changed since."""
        if self.worked_out == self.layout:
            return
        self.around = sorted(
            (one for one in self.values() if one.state != cluster_member.DOWN),
            key=lambda one: cluster_member.position(one.address),
        )
        self.positions = [cluster_member.position(one.address) for one in self.around]
        self.named, self.naming, self.tree = {}, None, None
        self.worked_out = self.layout

    def live(self) -> tuple[str, ...]:
        """Addresses of the peers that are not thought to be down, in ring order."""
        self.work_out()
        return tuple(one.address for one in self.around)

    def watchers(self, of: str, count: int) -> tuple[str, ...]:
        """The same as ``peer.watchers``, without ordering the ring for each question."""
        self.work_out()
        if of not in self.named:
            start = bisect.bisect_left(self.positions, cluster_member.position(of))
            self.named[of] = named_from(of, self.around, start, count)
        return self.named[of]

    def watched(self, by: str, count: int) -> tuple[str, ...]:
        """The peers that name one as a watcher, in ring order."""
        self.work_out()
        if self.naming is None:
            found: dict[str, list[str]] = {}
            for one in self.around:
                for name in self.watchers(one.address, count):
                    found.setdefault(name, []).append(one.address)
            self.naming = {name: tuple(row) for name, row in found.items()}
        return self.naming.get(by, ())

    def tree_order(self) -> tuple[str, ...]:
        """Live peers in the order that spans the relay tree: the core first, then by place on the ring."""
        self.work_out()
        if self.tree is None:
            self.tree = tuple(one.address for one in sorted(self.around, key=lambda one: one.role != "core"))
        return self.tree

    def packed(self, address: str) -> bytes:
        """An entry's bytes, as in a packed table."""
        one = self[address]
        held = self.bytes.get(address)
        if held is None or held[0] is not one:
            held = self.bytes[address] = (one, codec.pack(one))
        return held[1]


def place_of(one: cluster_member.ClusterMember) -> tuple:
    """What of an entry others' places depend on."""
    return one.state == cluster_member.DOWN, one.area, one.role


def named_from(of: str, around: list[cluster_member.ClusterMember], start: int, count: int) -> tuple[str, ...]:
    """The next peers on the ring from a place on: those of areas not named yet first, then any."""
    named: list[str] = []
    passed: list[str] = []
    areas: set[str] = set()
    for step in range(len(around)):
        one = around[(start + step) % len(around)]
        if one.address == of:
            continue
        if one.area in areas:
            passed.append(one.address)
            continue
        areas.add(one.area)
        named.append(one.address)
        if len(named) == count:
            return tuple(named)
    return tuple((named + passed)[:count])
