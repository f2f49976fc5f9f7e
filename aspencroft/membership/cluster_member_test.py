"""Tests of ``aspencroft.membership.cluster_member``."""

from aspencroft.membership import cluster_member


def test_watchers_spread_over_areas_and_everyone_is_watched():
    members = {
        f"n:{number}": cluster_member.ClusterMember(
            f"n:{number}", 1, 0, cluster_member.LIVE, "abc"[number % 3], "core", "", False, ()
        )
        for number in range(16)
    }
    for address in members:
        watchers = cluster_member.watchers(address, members, 3)
        assert len(set(watchers)) == 3 and address not in watchers
        assert {members[watcher].area for watcher in watchers} == {"a", "b", "c"}
