"""Where replicas belong: on the disks that hold the fewest, each of a group in an area of its own where possible.

Pure functions of the records of replica sets and of the disks that are there; who follows them is elsewhere.
"""

import collections
import collections.abc
import dataclasses
import zlib

from aspencroft.consensus import replica_set

LEAST_GAIN = 2
"""By how many replicas one disk must exceed another for a move between them to even them out."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node with a disk that could hold a replica."""

    address: str
    area: str


@dataclasses.dataclass(frozen=True)
class Move:
    """A member whose place in a group is better taken by another disk."""

    leaving: replica_set.ReplicaId
    target: Candidate


def replica_counts(records: collections.abc.Iterable[replica_set.ReplicaSet]) -> collections.Counter[str]:
    """How many replicas each address holds, by the records of all groups."""
    return collections.Counter(member.address for record in records for member in record.members())


def stable_order(group: int, address: str) -> int:
    """A number by which a group orders disks that are equally good; each group has an order of its own.

    Example: ``stable_order(1, "a:1") == stable_order(1, "a:1")``
    """
    return zlib.crc32(f"{group} {address}".encode())


def preferred(
    group: int,
    candidates: collections.abc.Iterable[Candidate],
    areas: collections.abc.Collection[str],
    held: collections.Counter[str],
) -> list[Candidate]:
    """Candidates for one more member of a group that has members in some areas, the best first."""
    return sorted(
        candidates,
        key=lambda one: (one.area in areas, held[one.address], stable_order(group, one.address)),
    )


def first_members(
    group: int,
    candidates: collections.abc.Sequence[Candidate],
    copies: int,
    founded: collections.abc.Collection[replica_set.ReplicaSet],
) -> list[Candidate]:
    """The first members of a group beside groups founded before it, the primary first.

    Primaries are spread first, as they do the most work, then replicas.
    """
    held = replica_counts(founded)
    led = collections.Counter(record.primary.address for record in founded)
    order = {one: place for place, one in enumerate(candidates)}
    chosen = [min(candidates, key=lambda one: (led[one.address], held[one.address], order[one]))]
    while len(chosen) < min(copies, len(candidates)):
        areas = {one.area for one in chosen}
        free = [one for one in candidates if one not in chosen]
        chosen.append(preferred(group, free, areas, held)[0])
    return chosen


def improving_move(
    standing: replica_set.ReplicaSet,
    candidates: collections.abc.Collection[Candidate],
    held: collections.Counter[str],
) -> Move | None:
    """The move of one member that spreads a group over more areas, or else evens out how much disks hold; none without.

    Nothing is to be moved while a member is not among the candidates, the live disks: repair comes first. Each move
    adds an area, or keeps their number and brings two disks nearer to each other, so that a row of them ends.
    Of equally good moves one of a backup is taken: a primary has to hand over first, and the next one would do so too.
    """
    area_of = {one.address: one.area for one in candidates}
    members = standing.members()
    if any(one.address not in area_of for one in members):
        return None
    free = [one for one in candidates if all(one.address != member.address for member in members)]
    areas_now = len({area_of[one.address] for one in members})
    best, best_gain = None, (0, 0, False, 0)
    for leaving in members:
        rest = {area_of[one.address] for one in members if one != leaving}
        for target in free:
            more_areas = len(rest | {target.area}) - areas_now
            evened = held[leaving.address] - held[target.address]
            gain = (more_areas, evened, leaving != standing.primary, stable_order(standing.group_id, target.address))
            better = more_areas > 0 or (more_areas == 0 and evened >= LEAST_GAIN)
            if better and gain > best_gain:
                best, best_gain = Move(leaving, target), gain
    return best
