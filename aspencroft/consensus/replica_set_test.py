"""Tests of ``aspencroft.consensus.replica_set``."""

from aspencroft.consensus import replica_set


def test_joint_voter_set_needs_both_majorities():
    both = replica_set.VoterSet(2, ("a", "b", "c"), ("c", "d", "e"))
    assert not both.has_quorum({"a", "b"}) and not both.has_quorum({"a", "d", "e"})
    assert both.has_quorum({"a", "c", "d"})


def test_losses_left_are_those_of_the_weaker_set_and_below_zero_without_a_quorum():
    five = replica_set.VoterSet(1, ("a", "b", "c", "d", "e"), ())
    assert [five.losses_left("abcde"[:live]) for live in range(6)] == [-3, -2, -1, 0, 1, 2]
    joint = replica_set.VoterSet(2, ("a", "b", "c"), ("b", "c", "d", "e", "f"))
    assert joint.losses_left("abc") == -1 and not joint.has_quorum("abc")
    assert joint.losses_left("abcd") == 0 and joint.has_quorum("abcd")
