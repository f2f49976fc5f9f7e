"""Alert rules as inputs to control: states, controls, missing samples, a holder that dies, operators' pages."""

import asyncio

from aspencroft.emulator import shape
from aspencroft.simulation import guarantees, resting


def rule(expression: str, control: str = "", **labels: str) -> dict:
    """A rule that waits two seconds."""
    named = {**({"control": control} if control else {}), **labels}
    return {"alert": "Test", "expr": expression, "for": "2s", "keep_firing_for": "5s", "labels": named}


def test_rules_fire_shed_and_clear_and_missing_samples_fire_nothing():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, client = harness.cluster, harness.client
        bad = await client.put("http://core-0/plan/rules/bad", json=rule("rate(a[5m]) > 1"))
        assert bad.status_code == 422 and bad.json()["error"]["faults"][0]["path"] == "rules/bad/expr"
        for name, spec in (
            ("missing", rule("nothing_of_that_name < 5", "shed", urgency="1")),
            ("plain", rule("sum(aspencroft_active) >= 0")),
            ("shed", rule("sum(aspencroft_asked_total) > 40", "shed", urgency="3")),
        ):
            assert (await client.put(f"http://core-1/plan/rules/{name}", json=spec)).status_code == 200

        async def states() -> dict:
            return (await client.get("http://edge-1/observed/alerts")).json()["alerts"].get("rules", {})

        await asyncio.sleep(10)
        assert await states() == {"missing": "inactive", "plain": "firing", "shed": "inactive"}, await states()
        for number in range(50):
            assert (await harness.ask("edge-0", "supervisor", "x", program=f"p{number}")).ran == "done"
        await asyncio.sleep(8)
        assert (await states())["shed"] == "firing"
        shed = await harness.ask("edge-1", "shopper", "x", program="q")
        assert (shed.result, shed.ran) == (1108, "not run")
        assert (await harness.ask("edge-1", "till-lock", {"name": "k"}, operation="k")).ran == "done"
        holder = next(
            name
            for name, own in cluster.nodes.items()
            if own.singleton_roles.get("alerts") and own.singleton_roles["alerts"].has_lease()
        )
        cluster.kill(holder)
        for _ in range(40):
            await asyncio.sleep(0.25)
            assert (await states())["shed"] == "firing"
        cluster.start(holder)
        await client.delete("http://core-1/plan/rules/shed") if holder != "core-1" else await client.delete(
            "http://core-0/plan/rules/shed"
        )
        await asyncio.sleep(6)
        assert (await harness.ask("edge-1", "shopper", "x", program="q")).ran == "done"
        text = (await client.get("http://edge-0/metrics")).text
        for line in (
            "# TYPE aspencroft_asked_total counter",
            'aspencroft_asked_total{area="north",node="edge-0:1",role="edge"}',
            'aspencroft_plan_current{area="north",node="edge-0:1",role="edge"} 1.0',
        ):
            assert line in text, text[:600]

    guarantees.play(81, scenario)


def test_firing_rules_wake_and_keep_awake_and_hold_moves():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, client = harness.cluster, harness.client
        await resting.calm(harness, 3)
        await client.put("http://core-1/plan/rules/hold", json=rule("sum(aspencroft_asked_total) > 0", "hold_moves"))
        await asyncio.sleep(10)
        held = (await client.get("http://edge-0/observed/quiet")).json()["quiet"]["workers"]
        await asyncio.sleep(25)
        assert (await client.get("http://edge-0/observed/quiet")).json()["quiet"]["workers"] == held
        await client.put("http://core-1/plan/rules/awake", json=rule("sum(aspencroft_asked_total) > 0", "keep_awake"))
        await asyncio.sleep(16)
        assert resting.asleep(harness) == []
        await asyncio.sleep(20)
        assert resting.asleep(harness) == []
        shown = (await client.get("http://edge-0/observed/alerts")).json()["alerts"]
        assert shown["keep_awake"] is True and shown["hold_moves"] is True and shown["shed"] == 10
        await client.delete("http://core-1/plan/rules/awake")
        await client.delete("http://core-1/plan/rules/hold")
        await resting.calm(harness, 2)
        assert cluster.ended == []

    guarantees.play(82, scenario, name=shape.ARCHIVE)
