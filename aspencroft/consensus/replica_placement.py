"""Replica placement: on the disks with the fewest replicas, with each member of a group in its own area if possible.

The functions are pure, over the replica set records and the live disks; their callers carry out the moves.
"""

import collections
import collections.abc
import dataclasses
import zlib

from aspencroft.consensus import replica_set

MIN_GAIN = 2
"""Minimum difference in replica counts between two disks for which a move between them improves the balance."""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node with a disk that could hold a replica."""

    address: str
    area: str


@dataclasses.dataclass(frozen=True)
class Move:
    """Replaces a member of a replica set with a replica on another disk."""

    leaving: replica_set.ReplicaId
    target: Candidate


def replica_counts(records: collections.abc.Iterable[replica_set.ReplicaSet]) -> collections.Counter[str]:
    """Return the number of replicas that each address holds according to the records of all groups."""
    return collections.Counter(member.address for record in records for member in record.members())


def stable_order(group_id: int, address: str) -> int:
    """Return a sort key for equally good disks; the order differs from group to group.

    Example: ``stable_order(1, "a:1") == stable_order(1, "a:1")``
    """
    return zlib.crc32(f"{group_id} {address}".encode())


def rank_candidates(
    group_id: int,
    candidates: collections.abc.Iterable[Candidate],
    areas: collections.abc.Collection[str],
    counts: collections.Counter[str],
) -> list[Candidate]:
    """Return the candidates for one more member of a group, best first.

    ``areas`` are the areas in which the group has members, ``counts`` the number of replicas that each address holds.
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
    """Return the first members of a group, the primary first, given the groups that were assigned before it.

    Primaries are balanced before replicas because they do the most work.
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
    """Return a move of one member that puts the group into more areas or else balances the disks; None if none does.

    The candidates are the live disks. Nothing is moved while a member is not among them: repair comes first. Each move
    adds an area, or keeps the number of areas and reduces the difference between two disks, so a sequence of moves
    ends. Among equally good moves, moving a backup is preferred: a primary has to hand over first, and so would the
    next primary.
    """
    area_of = {candidate.address: candidate.area for candidate in candidates}
    members = record.members()
    if any(member.address not in area_of for member in members):
        return None
    member_addresses = {member.address for member in members}
    free = [candidate for candidate in candidates if candidate.address not in member_addresses]
    area_count = len({area_of[member.address] for member in members})
    best, best_gain = None, (0, 0, False, 0)
    for leaving in members:
        remaining_areas = {area_of[member.address] for member in members if member != leaving}
        for target in free:
            added_areas = len(remaining_areas | {target.area}) - area_count
            difference = counts[leaving.address] - counts[target.address]
            gain = (added_areas, difference, leaving != record.primary, stable_order(record.group_id, target.address))
            is_better = added_areas > 0 or (added_areas == 0 and difference >= MIN_GAIN)
            if is_better and gain > best_gain:
                best, best_gain = Move(leaving, target), gain
    return best
