"""Tests of ``aspencroft.consensus.replica_set``."""

from aspencroft.consensus import replica_set


def test_joint_roster_needs_both_majorities():
    both = replica_set.VoterSet(2, ("a", "b", "c"), ("c", "d", "e"))
    assert not both.quorum({"a", "b"}) and not both.quorum({"a", "d", "e"})
    assert both.quorum({"a", "c", "d"})
