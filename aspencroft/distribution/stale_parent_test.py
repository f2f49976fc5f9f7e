"""Tests that a node below a relay that is cut off from the root selects another parent in time."""

import asyncio

from aspencroft.distribution import parent_selection
from aspencroft.runtime import clock
from aspencroft.simulation import groups, simulated_cluster

SIZE = simulated_cluster.Size(8, 3, 5, apart=True)


def test_a_change_reaches_all_within_two_seconds_though_cut_off_cores_still_answer_their_children():
    """Edges can still reach the cut-off cores, which keep answering them with the configuration that they hold."""
    for seed, one_way in ((1, False), (2, True)):

        async def scenario(harness: groups.ClusterHarness) -> None:
            cluster = harness.cluster
            leader = cluster.leader(0)
            others = [name for name in cluster.cores if name != leader]
            cluster.wire.cut([leader], others, one_way)
            await cluster.until(lambda: cluster.leader(0) not in ("", leader), 8, "a new leader")
            writing = asyncio.ensure_future(
                harness.client.put("http://edge-1/plan/services/extra", json={"kind": "plain"}, timeout=40)
            )

            def everywhere() -> bool:
                return all("extra" in cluster.nodes[name].relay.configuration.services for name in cluster.edges)

            await cluster.until(everywhere, 2.5, "in force on all edges")
            assert (await writing).status_code == 200

        groups.play(seed, scenario, SIZE, {"currency": clock.seconds(8)})


def test_a_parent_may_be_as_far_behind_as_its_depth_explains():
    order = tuple(f"n:{number}" for number in range(1, 400))
    for address in order:
        steps, ancestor = 0, address
        while ancestor != "n:1":
            ancestor, steps = parent_selection.parent_of(ancestor, "n:1", order), steps + 1
        assert parent_selection.depth_of(address, "n:1", order) == steps
    assert (
        parent_selection.depth_of("n:1", "n:1", order) == 0
        and parent_selection.depth_of("elsewhere", "n:1", order) == 1
    )
