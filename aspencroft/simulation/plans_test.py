"""Plans under races, faults and size, as operators, workers and nodes see them."""

import asyncio
import collections
import json
import random

from aspencroft.configuration import resources
from aspencroft.simulation import guarantees, register, wire


def test_racing_operators_in_every_way_under_faults_and_traffic():
    total = collections.Counter()
    for seed in (71, 72, 73):

        async def scenario(harness: guarantees.ClusterHarness) -> None:
            cluster = harness.cluster
            operators = register.Operators(cluster, harness.client, random.Random(seed))

            async def swing() -> None:
                number = 0
                while not operators.over:
                    number += 1
                    await harness.ask(cluster.edges[number % 2], "swing", {"name": f"swing-{number}"})
                    await asyncio.sleep(0.05)

            async with asyncio.TaskGroup() as group:
                for _ in range(4):
                    group.create_task(operators.operate())
                group.create_task(swing())
                for how in ("kill", "freeze", "cut", "power_off"):
                    await asyncio.sleep(4)
                    victim = cluster.leader(0) or cluster.storages[0]
                    if how == "freeze":
                        cluster.loop.freeze(victim)
                        await asyncio.sleep(3)
                        cluster.loop.thaw(victim)
                    elif how == "cut":
                        cluster.wire.cut([victim], [name for name in cluster.names() if name != victim])
                        await asyncio.sleep(4)
                        cluster.wire.heal()
                    else:
                        getattr(cluster, how)(victim)
                        await asyncio.sleep(1.5)
                        cluster.start(victim)
                await asyncio.sleep(4)
                operators.over = True
            await cluster.until(cluster.ready, 12, "ready")
            for node in cluster.names():
                response = await harness.client.get(f"http://{node}/plan")
                shown = response.json()
                now = cluster.loop.time()
                operators.reads.append(
                    register.Read(
                        now, now, node, shown["current"], register.number_of(shown["revision"]), shown["plan"]
                    )
                )
            assert register.faults(operators.writes, operators.reads, cluster.mix.document) == []
            assert register.foreign_runs(operators.writes, register.swing_runs(cluster), cluster.mix.document) == []
            total.update(operators.counts)
            total["runs"] += len(register.swing_runs(cluster))

        guarantees.play(seed, scenario)
    for way in ("put", "delete", "merge", "whole"):
        assert total[f"{way} {register.ACKNOWLEDGED}"] >= 5, total
    assert total["runs"] > 100, total


def test_a_conditional_write_whose_frames_come_twice_is_not_refused_for_itself():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        cluster.wire.weather = wire.Weather(jitter=0.002, double=1.0)
        for number in range(12):
            response = await harness.client.put(
                f"http://edge-{number % 2}/plan/services/extra-{number}",
                json={"kind": "plain"},
                headers={"If-None-Match": "*"},
            )
            assert response.status_code == 200, response.json()
        assert sum(own.link.counts["doubled frames"] for own in cluster.nodes.values()) > 100

    for seed in (75, 76):
        guarantees.play(seed, scenario)


def test_a_plan_of_thousands_of_routes_is_taken_delivered_and_changed_in_small_steps():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        document = json.loads(json.dumps(cluster.mix.document))
        for number in range(3000):
            document["routes"][f"many-{number}"] = {
                "lane": "till-lock",
                "tool": f"t{number}",
                "services": ["locks"],
            }
        response = await harness.client.put("http://edge-1/plan", json=document)
        assert response.status_code == 200 and response.json()["changed"] == 3000
        for name in cluster.names():
            assert len(cluster.nodes[name].relay.configuration.lane_routes) == 3000 + len(
                cluster.mix.document["routes"]
            )
        before = resources.check_resource_cached.cache_info().misses
        whole = sum(own.relay.counts["whole plans"] for own in cluster.nodes.values())
        response = await harness.client.put(
            "http://core-1/plan/routes/many-7",
            json={"lane": "till-lock", "tool": "other", "services": ["locks"]},
        )
        assert response.status_code == 200 and resources.check_resource_cached.cache_info().misses - before <= 1
        assert sum(own.relay.counts["whole plans"] for own in cluster.nodes.values()) == whole
        assert (await harness.ask("edge-0", "till-lock", {"name": "k"}, operation="k", tool="other")).ran == "done"
        for number in range(resources.MAX_RESOURCES):
            document["workers"] = document.get("workers", {})
            document["workers"][f"w{number}"] = {}
        response = await harness.client.put("http://core-2/plan", json=document)
        assert response.status_code == 422 and "more than" in response.json()["error"]["faults"][0]["meaning"]

    guarantees.play(74, scenario)
