"""Tests of ``aspencroft.leadership.singleton_role``."""

import dataclasses

from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member


def test_every_node_agrees_on_the_first():
    members = {
        f"n:{number}": cluster_member.ClusterMember(
            f"n:{number}", 1, 0, cluster_member.LIVE, "a", "core", "", False, ()
        )
        for number in range(9)
    }
    preferred = singleton_role.preferred_holder("residency", members)
    reordered = dict(reversed(members.items()))
    assert singleton_role.preferred_holder("residency", reordered) == preferred
    members[preferred] = dataclasses.replace(members[preferred], state=cluster_member.DOWN)
    assert singleton_role.preferred_holder("residency", members) not in ("", preferred)
