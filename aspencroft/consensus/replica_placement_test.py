"""Tests of replica placement: first replica sets, the order of candidates, and moves that end in a balanced state."""

import collections
import random

from aspencroft.consensus import replica_placement, replica_set

AREAS = ("a", "b", "c")


def disks(count: int, areas: int = 3) -> list[replica_placement.Candidate]:
    """Return a number of disks, assigned to the areas round-robin."""
    return [replica_placement.Candidate(f"s{number}:1", AREAS[number % areas]) for number in range(count)]


def record(group: int, *addresses: str) -> replica_set.ReplicaSet:
    """Return a replica set with members at the given addresses, the primary first."""
    members = [replica_set.ReplicaId(address, f"{address} {group}") for address in addresses]
    return replica_set.ReplicaSet(group, 1, members[0], tuple(members[1:]))


def apply_move(replicas: replica_set.ReplicaSet, move: replica_placement.Move) -> replica_set.ReplicaSet:
    """Return the replica set after a move; a primary hands over to a backup first."""
    addresses = [member.address for member in replicas.members() if member != move.leaving]
    return record(replicas.group_id, *addresses, move.target.address)


def spread(records: list[replica_set.ReplicaSet], candidates: list[replica_placement.Candidate]) -> int:
    """Return the difference in replica counts between the fullest and the emptiest disk."""
    counts = replica_placement.replica_counts(records)
    return max(counts[candidate.address] for candidate in candidates) - min(
        counts[candidate.address] for candidate in candidates
    )


def distinct_areas(replicas: replica_set.ReplicaSet, candidates: list[replica_placement.Candidate]) -> int:
    """Return the number of areas in which a group has members."""
    area_of = {candidate.address: candidate.area for candidate in candidates}
    return len({area_of[member.address] for member in replicas.members()})


def make_all_moves(records: list[replica_set.ReplicaSet], candidates: list[replica_placement.Candidate]) -> int:
    """Make improving moves, group by group, until there are none; return their number."""
    count = 0
    while True:
        for index, replicas in enumerate(records):
            move = replica_placement.find_improving_move(
                replicas, candidates, replica_placement.replica_counts(records)
            )
            if move is not None:
                records[index] = apply_move(replicas, move)
                count += 1
                break
        else:
            return count
        assert count < 1000


def test_a_candidate_in_a_new_area_comes_first_then_the_one_that_holds_least():
    counts = collections.Counter({"s0:1": 3, "s3:1": 1, "s1:1": 9, "s4:1": 8})
    order = replica_placement.rank_candidates(1, disks(6), {"a", "c"}, counts)
    assert [candidate.address for candidate in order[:2]] == ["s4:1", "s1:1"]
    assert [candidate.address for candidate in order if candidate.area == "a"] == ["s3:1", "s0:1"]


def test_groups_that_look_at_equal_disks_at_once_do_not_all_choose_the_same():
    chosen = {
        replica_placement.rank_candidates(group, disks(9, 1), (), collections.Counter())[0] for group in range(40)
    }
    assert len(chosen) > 4


def test_moves_end_and_leave_disks_within_one_replica_of_each_other():
    for seed in range(60):
        randomness = random.Random(seed)
        candidates = disks(randomness.randrange(3, 14), areas=1)
        records = [
            record(
                group,
                *randomness.sample(
                    [candidate.address for candidate in candidates[: randomness.randrange(3, len(candidates) + 1)]], 3
                ),
            )
            for group in range(1, randomness.randrange(2, 20))
        ]
        make_all_moves(records, candidates)
        assert spread(records, candidates) <= 1, (seed, records)


def test_moves_never_take_an_area_from_a_group_and_end_with_as_many_as_there_can_be():
    for seed in range(60):
        randomness = random.Random(seed)
        candidates = disks(randomness.randrange(4, 14))
        records = [
            record(group, *randomness.sample([candidate.address for candidate in candidates], 3))
            for group in range(1, randomness.randrange(2, 20))
        ]
        before = [distinct_areas(replicas, candidates) for replicas in records]
        make_all_moves(records, candidates)
        after = [distinct_areas(replicas, candidates) for replicas in records]
        assert all(later >= earlier for earlier, later in zip(before, after, strict=True))
        assert set(after) == {3}, (seed, records)


def test_nothing_moves_while_a_member_is_away():
    full = [record(group, "s0:1", "s1:1", "s2:1") for group in range(1, 6)]
    counts = replica_placement.replica_counts(full)
    assert replica_placement.find_improving_move(full[0], disks(6), counts) is not None
    away = [candidate for candidate in disks(6) if candidate.address != "s1:1"]
    assert replica_placement.find_improving_move(full[0], away, counts) is None


def test_an_even_fleet_moves_nothing():
    assigned: list[replica_set.ReplicaSet] = []
    for group in range(1, 13):
        chosen = replica_placement.choose_first_members(group, disks(10), 3, assigned)
        assigned.append(record(group, *(candidate.address for candidate in chosen)))
    assert make_all_moves(assigned, disks(10)) == 0


def test_of_equally_good_moves_that_of_a_backup_is_taken():
    full = [record(group, "s0:1", "s1:1") for group in (1, 2)]
    counts = replica_placement.replica_counts(full)
    for group in (1, 2):
        for primary, backup in (("s0:1", "s1:1"), ("s1:1", "s0:1")):
            move = replica_placement.find_improving_move(record(group, primary, backup), disks(3, 1), counts)
            assert move.leaving.address == backup
    counts["s0:1"] += 1
    assert replica_placement.find_improving_move(full[0], disks(3, 1), counts).leaving.address == "s0:1"
