"""Tests of ``aspencroft.membership.cluster_member``."""

from aspencroft.membership import cluster_member


def test_watchers_spread_over_areas_and_everyone_is_watched():
    peers = {
        f"n:{number}": cluster_member.ClusterMember(
            f"n:{number}", 1, 0, cluster_member.LIVE, "abc"[number % 3], "core", "", False, ()
        )
        for number in range(16)
    }
    for address in peers:
        named = cluster_member.watchers(address, peers, 3)
        assert len(set(named)) == 3 and address not in named
        assert {peers[one].area for one in named} == {"a", "b", "c"}
