"""A dictionary that counts its changes, and the member table with data derived from it.

Ring order, watchers and packed entries are cached until the table changes.
"""

import bisect
import typing

from aspencroft.membership import cluster_member
from aspencroft.transport import codec

Key = typing.TypeVar("Key")
Value = typing.TypeVar("Value")
NEVER_SORTED = -1


class ChangeCountingDict(dict[Key, Value]):
    """A dictionary that counts its changes, so that derived data can be cached until the next change."""

    def __init__(self) -> None:
        super().__init__()
        self.change_count = 0
        self.updated_keys: dict[Key, None] = {}

    def __setitem__(self, key: Key, value: Value) -> None:
        self.change_count += 1
        self.updated_keys[key] = None
        super().__setitem__(key, value)

    def __delitem__(self, key: Key) -> None:
        super().__delitem__(key)
        self.change_count += 1

    def pop(self, key: Key, *default: typing.Any) -> typing.Any:
        """Remove an entry and return it."""
        self.change_count += 1
        return super().pop(key, *default)

    def drain_updates(self) -> tuple[Value, ...]:
        """Return the entries set since the last call that still exist, ordered by key."""
        keys, self.updated_keys = sorted(key for key in self.updated_keys if key in self), {}  # type: ignore[type-var]
        return tuple(self[key] for key in keys)

    def popitem(self) -> typing.Any:
        """Not supported, like every other mutation that would not be counted."""
        raise NotImplementedError

    clear = setdefault = update = __ior__ = popitem  # type: ignore[assignment]


class MemberTable(ChangeCountingDict[str, cluster_member.ClusterMember]):
    """Members by address; ``layout_version`` counts the changes that affect the ring or the dissemination tree."""

    def __init__(self) -> None:
        super().__init__()
        self.layout_version = 0
        self.sorted_version = NEVER_SORTED
        self.ring: list[cluster_member.ClusterMember] = []
        self.positions: list[int] = []
        self.watchers_of: dict[str, tuple[str, ...]] = {}
        self.watched_by: dict[str, tuple[str, ...]] | None = None
        self.tree: tuple[str, ...] | None = None
        self.packed_entries: dict[str, tuple[cluster_member.ClusterMember, bytes]] = {}

    def __setitem__(self, address: str, member: cluster_member.ClusterMember) -> None:
        known = self.get(address)
        if known is None or layout_key(known) != layout_key(member):
            self.layout_version += 1
        super().__setitem__(address, member)

    def __delitem__(self, address: str) -> None:
        super().__delitem__(address)
        self.discard_derived(address)

    def pop(self, address: str, *default: typing.Any) -> typing.Any:
        """Remove a member and return its entry."""
        self.discard_derived(address)
        return super().pop(address, *default)

    def discard_derived(self, address: str) -> None:
        """Discard the data derived from a removed entry."""
        self.layout_version += 1
        self.packed_entries.pop(address, None)

    def sort_ring(self) -> None:
        """Sort the ring again if the layout changed since the last time."""
        if self.sorted_version == self.layout_version:
            return
        self.ring = sorted(
            (member for member in self.values() if member.state != cluster_member.DOWN),
            key=lambda member: cluster_member.position(member.address),
        )
        self.positions = [cluster_member.position(member.address) for member in self.ring]
        self.watchers_of, self.watched_by, self.tree = {}, None, None
        self.sorted_version = self.layout_version

    def live(self) -> tuple[str, ...]:
        """Return the addresses of the members that are not down, in ring order."""
        self.sort_ring()
        return tuple(member.address for member in self.ring)

    def watchers(self, address: str, count: int) -> tuple[str, ...]:
        """Return the members that watch a node; the same result as ``cluster_member.watchers``."""
        self.sort_ring()
        if address not in self.watchers_of:
            start = bisect.bisect_left(self.positions, cluster_member.position(address))
            self.watchers_of[address] = select_watchers(address, self.ring, start, count)
        return self.watchers_of[address]

    def watched(self, watcher: str, count: int) -> tuple[str, ...]:
        """Return the members that a node watches, in ring order."""
        self.sort_ring()
        if self.watched_by is None:
            watched_by: dict[str, list[str]] = {}
            for member in self.ring:
                for address in self.watchers(member.address, count):
                    watched_by.setdefault(address, []).append(member.address)
            self.watched_by = {address: tuple(addresses) for address, addresses in watched_by.items()}
        return self.watched_by.get(watcher, ())

    def tree_order(self) -> tuple[str, ...]:
        """Return the live members in the order that defines the dissemination tree: cores first, then ring order."""
        self.sort_ring()
        if self.tree is None:
            self.tree = tuple(member.address for member in sorted(self.ring, key=lambda member: member.role != "core"))
        return self.tree

    def packed(self, address: str) -> bytes:
        """Return a member's encoded entry, as in a packed table."""
        member = self[address]
        cached = self.packed_entries.get(address)
        if cached is None or cached[0] is not member:
            cached = self.packed_entries[address] = (member, codec.pack(member))
        return cached[1]


def layout_key(member: cluster_member.ClusterMember) -> tuple[bool, str, str]:
    """Return the fields of an entry on which ring, watchers and tree depend."""
    return member.state == cluster_member.DOWN, member.area, member.role


def select_watchers(address: str, ring: list[cluster_member.ClusterMember], start: int, count: int) -> tuple[str, ...]:
    """Return the successors on the ring from an index on: first one per area, then any others."""
    selected: list[str] = []
    skipped: list[str] = []
    areas: set[str] = set()
    for step in range(len(ring)):
        member = ring[(start + step) % len(ring)]
        if member.address == address:
            continue
        if member.area in areas:
            skipped.append(member.address)
            continue
        areas.add(member.area)
        selected.append(member.address)
        if len(selected) == count:
            return tuple(selected)
    return tuple((selected + skipped)[:count])
