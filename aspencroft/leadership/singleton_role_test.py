"""Tests of ``aspencroft.leadership.singleton_role``."""

import dataclasses

from aspencroft.leadership import singleton_role
from aspencroft.membership import cluster_member


def test_every_node_agrees_on_the_first():
    peers = {
        f"n:{number}": cluster_member.ClusterMember(
            f"n:{number}", 1, 0, cluster_member.LIVE, "a", "core", "", False, ()
        )
        for number in range(9)
    }
    first = singleton_role.first_of("residency", peers)
    turned = dict(reversed(peers.items()))
    assert singleton_role.first_of("residency", turned) == first
    peers[first] = dataclasses.replace(peers[first], state=cluster_member.DOWN)
    assert singleton_role.first_of("residency", peers) not in ("", first)
