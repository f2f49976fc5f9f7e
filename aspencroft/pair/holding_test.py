"""Tests of ``aspencroft.pair.holding``."""

import aspencroft.pair.holding as holding


def test_joint_roster_needs_both_majorities():
    both = holding.Roster(2, ("a", "b", "c"), ("c", "d", "e"))
    assert not both.quorum({"a", "b"}) and not both.quorum({"a", "d", "e"})
    assert both.quorum({"a", "c", "d"})
