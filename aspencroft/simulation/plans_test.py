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

        async def acts(stage: guarantees.Stage) -> None:
            one = stage.scene
            operators = register.Operators(one, stage.client, random.Random(seed))

            async def swing() -> None:
                number = 0
                while not operators.over:
                    number += 1
                    await stage.ask(one.edges[number % 2], "swing", {"name": f"swing-{number}"})
                    await asyncio.sleep(0.05)

            async with asyncio.TaskGroup() as group:
                for _ in range(4):
                    group.create_task(operators.operate())
                group.create_task(swing())
                for how in ("kill", "freeze", "cut", "power_off"):
                    await asyncio.sleep(4)
                    victim = one.leader(0) or one.storages[0]
                    if how == "freeze":
                        one.loop.freeze(victim)
                        await asyncio.sleep(3)
                        one.loop.thaw(victim)
                    elif how == "cut":
                        one.wire.cut([victim], [name for name in one.names() if name != victim])
                        await asyncio.sleep(4)
                        one.wire.heal()
                    else:
                        getattr(one, how)(victim)
                        await asyncio.sleep(1.5)
                        one.start(victim)
                await asyncio.sleep(4)
                operators.over = True
            await one.until(one.ready, 12, "ready")
            for node in one.names():
                response = await stage.client.get(f"http://{node}/plan")
                shown = response.json()
                now = one.loop.time()
                operators.reads.append(
                    register.Read(
                        now, now, node, shown["current"], register.number_of(shown["revision"]), shown["plan"]
                    )
                )
            assert register.faults(operators.writes, operators.reads, one.mix.document) == []
            assert register.foreign_runs(operators.writes, register.swing_runs(one), one.mix.document) == []
            total.update(operators.counts)
            total["runs"] += len(register.swing_runs(one))

        guarantees.play(seed, acts)
    for way in ("put", "delete", "merge", "whole"):
        assert total[f"{way} {register.ACKNOWLEDGED}"] >= 5, total
    assert total["runs"] > 100, total


def test_a_conditional_write_whose_frames_come_twice_is_not_refused_for_itself():
    async def acts(stage: guarantees.Stage) -> None:
        one = stage.scene
        one.wire.weather = wire.Weather(jitter=0.002, double=1.0)
        for number in range(12):
            response = await stage.client.put(
                f"http://edge-{number % 2}/plan/services/extra-{number}",
                json={"kind": "plain"},
                headers={"If-None-Match": "*"},
            )
            assert response.status_code == 200, response.json()
        assert sum(own.link.counts["doubled frames"] for own in one.nodes.values()) > 100

    for seed in (75, 76):
        guarantees.play(seed, acts)


def test_a_plan_of_thousands_of_routes_is_taken_delivered_and_changed_in_small_steps():
    async def acts(stage: guarantees.Stage) -> None:
        one = stage.scene
        document = json.loads(json.dumps(one.mix.document))
        for number in range(3000):
            document["routes"][f"many-{number}"] = {
                "lane": "till-lock",
                "tool": f"t{number}",
                "services": ["locks"],
            }
        response = await stage.client.put("http://edge-1/plan", json=document)
        assert response.status_code == 200 and response.json()["changed"] == 3000
        for name in one.names():
            assert len(one.nodes[name].relay.configuration.lane_routes) == 3000 + len(one.mix.document["routes"])
        before = resources.check_one.cache_info().misses
        whole = sum(own.relay.counts["whole plans"] for own in one.nodes.values())
        response = await stage.client.put(
            "http://core-1/plan/routes/many-7",
            json={"lane": "till-lock", "tool": "other", "services": ["locks"]},
        )
        assert response.status_code == 200 and resources.check_one.cache_info().misses - before <= 1
        assert sum(own.relay.counts["whole plans"] for own in one.nodes.values()) == whole
        assert (await stage.ask("edge-0", "till-lock", {"name": "k"}, operation="k", tool="other")).ran == "done"
        for number in range(resources.MOST_RESOURCES):
            document["workers"] = document.get("workers", {})
            document["workers"][f"w{number}"] = {}
        response = await stage.client.put("http://core-2/plan", json=document)
        assert response.status_code == 422 and "more than" in response.json()["error"]["faults"][0]["meaning"]

    guarantees.play(74, acts)
