"""Where replicas belong: on the disks that hold the fewest, each of a group in an area of its own where possible.

Pure functions of the records of replica sets and of the disks that are there; who follows them is elsewhere.
"""

import collections
import collections.abc
import dataclasses
import zlib

from aspencroft.consensus import replica_set

MIN_GAIN = 2
"""By how many replicas one disk must exceed another for a move between them to even them out."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node with a disk that could hold a replica."""

    address: str
    area: str


@dataclasses.dataclass(frozen=True)
class Move:
    """A member of a replica set that another disk should replace."""

    leaving: replica_set.ReplicaId
    target: Candidate


def replica_counts(records: collections.abc.Iterable[replica_set.ReplicaSet]) -> collections.Counter[str]:
    """How many replicas each address holds, by the records of all groups."""
    return collections.Counter(member.address for record in records for member in record.members())


def stable_order(group_id: int, address: str) -> int:
    """A number by which a group orders disks that are equally good; each group has an order of its own.

    Example: ``stable_order(1, "a:1") == stable_order(1, "a:1")``
    """
    return zlib.crc32(f"{group_id} {address}".encode())


def rank_candidates(
    group_id: int,
    candidates: collections.abc.Iterable[Candidate],
    areas: collections.abc.Collection[str],
    counts: collections.Counter[str],
) -> list[Candidate]:
    """Candidates for one more member of a group that has members in some areas, the best first.

    ``counts`` are the replicas that each address holds.
    """
    return sorted(
        candidates,
        key=lambda candidate: (
            candidate.area in areas,
            counts[candidate.address],
            stable_order(group_id, candidate.address),
        ),
    )


def choose_first_members(
    group_id: int,
    candidates: collections.abc.Sequence[Candidate],
    replica_count: int,
    assigned: collections.abc.Collection[replica_set.ReplicaSet],
) -> list[Candidate]:
    """The first members of a group beside groups assigned before it, the primary first.

    Primaries are spread first, as they do the most work, then replicas.
    """
    counts = replica_counts(assigned)
    primaries = collections.Counter(record.primary.address for record in assigned)
    order = {candidate: index for index, candidate in enumerate(candidates)}
    chosen = [
        min(
            candidates,
            key=lambda candidate: (primaries[candidate.address], counts[candidate.address], order[candidate]),
        )
    ]
    while len(chosen) < min(replica_count, len(candidates)):
        areas = {member.area for member in chosen}
        free = [candidate for candidate in candidates if candidate not in chosen]
        chosen.append(rank_candidates(group_id, free, areas, counts)[0])
    return chosen


def find_improving_move(
    record: replica_set.ReplicaSet,
    candidates: collections.abc.Collection[Candidate],
    counts: collections.Counter[str],
) -> Move | None:
    """The move of one member that spreads a group over more areas, or else evens out how much disks hold; or none.

    Nothing is to be moved while a member is not among the candidates, the live disks: repair comes first. Each move
    adds an area, or leaves their number and brings two disks nearer to each other, so that a row of them ends.
    Of equally good moves one of a backup is taken: a primary has to hand over first, and the next one would do so too.
    """
    area_of = {candidate.address: candidate.area for candidate in candidates}
    members = record.members()
    if any(member.address not in area_of for member in members):
        return None
    taken = {member.address for member in members}
    free = [candidate for candidate in candidates if candidate.address not in taken]
    areas_now = len({area_of[member.address] for member in members})
    best, best_gain = None, (0, 0, False, 0)
    for leaving in members:
        remaining = {area_of[member.address] for member in members if member != leaving}
        for target in free:
            more_areas = len(remaining | {target.area}) - areas_now
            evened = counts[leaving.address] - counts[target.address]
            gain = (more_areas, evened, leaving != record.primary, stable_order(record.group_id, target.address))
            is_better = more_areas > 0 or (more_areas == 0 and evened >= MIN_GAIN)
            if is_better and gain > best_gain:
                best, best_gain = Move(leaving, target), gain
    return best
