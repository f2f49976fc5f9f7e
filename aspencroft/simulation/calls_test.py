"""What strict callers see: keys, records, floods, pairs without a primary, work that may be repeated."""

import asyncio

from aspencroft.emulator import backend
from aspencroft.gateway import path
from aspencroft.sessions import session_groups
from aspencroft.simulation import guarantees


def test_an_answer_from_a_keys_record_adds_up_and_is_nobody_elses():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        for _number, edge in enumerate(["edge-0", "edge-1", "edge-0"]):
            noted = await harness.ask(edge, "shopper", "x calls stock now", program="p", operation="k")
            assert noted.ran == "done" and noted.text.endswith('<call model="stock">'), noted
        odd = [
            await harness.ask("edge-1", "shopper", "another input", program="p", operation="k"),
            await harness.ask("edge-1", "shopper", "x calls stock now", program="q", operation="k"),
            await harness.ask("edge-1", "supervisor", "x calls stock now", program="p", operation="k"),
        ]
        assert [noted.result for noted in odd] == [1012, 1012, 1011] and not any(noted.text for noted in odd)
        assert all(noted.ran == "not run" for noted in odd) and len(harness.cluster.world.seen()) == 1

    guarantees.play(51, scenario)


def test_an_answer_too_large_for_its_record_is_told_as_such_not_as_an_empty_one():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for plain in cluster.world.plains:
            plain.answer = "y" * 300_000
        first = await harness.ask("edge-0", "till-lock", {"name": "k"}, operation="k")
        again = await harness.ask("edge-1", "till-lock", {"name": "k"}, operation="k")
        assert first.ran == "done" and (again.ran, again.result) == ("ran", 1013), again
        assert harness.runs("k") == 1

    guarantees.play(52, scenario)


def test_a_pair_without_a_primary_holds_up_none_but_its_own():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        group_ids = cluster.edge_paths["edge-0"].node.settings.talk_pairs
        names = [f"n{number}" for number in range(4000)]
        of = {
            group_id: [name for name in names if pair_of(name, group_ids) == group_id]
            for group_id in range(1, 1 + group_ids)
        }
        for node in cluster.names():
            own = cluster.nodes[node]
            answer = own.answer

            async def lost(message, answer=answer):
                if getattr(message, "pair", 0) == 1:
                    await asyncio.sleep(3600)
                return await answer(message)

            own.answer = lost
        took, others = [], []

        async def stuck(number: int) -> None:
            await harness.ask("edge-0", "till-lock", {"name": of[1][number]}, operation=of[1][number])

        async def free(number: int) -> None:
            name, began = of[2][number], cluster.loop.time()
            if number % 2:
                others.append(await harness.ask("edge-0", "till-lock", {"name": name}, operation=name))
            else:
                others.append(await harness.ask("edge-0", "supervisor", "x", program=name))
            took.append(cluster.loop.time() - began)

        async with asyncio.TaskGroup() as group:
            for number in range(300):
                group.create_task(stuck(number))
            await asyncio.sleep(0.2)
            for number in range(120):
                group.create_task(free(number))
                await asyncio.sleep(0.02)
        assert all(noted.ran == "done" for noted in others), [noted for noted in others if noted.ran != "done"][:3]
        assert max(took) < 0.5, max(took)

    guarantees.play(53, scenario)


def pair_of(name: str, group_ids: int) -> int:
    """The session group of a name."""
    return session_groups.group_of(name, group_ids)


def test_a_flood_costs_linear_work_and_what_cannot_be_served_is_refused_when_that_is_known():
    draws = []
    for calls in (300, 900):

        async def scenario(harness: guarantees.ClusterHarness) -> None:
            cluster, refused = harness.cluster, []

            async def flood(number: int) -> None:
                began = cluster.loop.time()
                noted = await harness.ask("edge-0", "shopper", f"long {number}", program=f"f{number}")
                if noted.ran != "done":
                    refused.append((noted.result, cluster.loop.time() - began))

            async with asyncio.TaskGroup() as group:
                for number in range(calls):
                    group.create_task(flood(number))
                    await asyncio.sleep(0.002)
            edge = cluster.edge_paths["edge-0"]
            draws.append(edge.counts["draws"] / calls)
            assert edge.wait_queue.total() == 0 and not edge.active
            late = [span for _, span in refused if span > 15]
            assert len(late) <= 0.05 * calls, (len(late), len(refused), calls)

        guarantees.play(54, scenario)
    assert draws[1] < 2 * max(draws[0], 2) and draws[1] < 12, draws


def test_an_edge_cut_off_with_calls_waiting_does_not_go_round_and_round():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for model in cluster.world.models:
            model.pace = 13
        asking = [
            asyncio.ensure_future(harness.ask("edge-0", "shopper", f"long {number}", program=f"f{number}"))
            for number in range(200)
        ]
        await asyncio.sleep(1)
        edge = cluster.edge_paths["edge-0"]
        assert edge.wait_queue.total() > 20
        cluster.wire.cut(["edge-0"], [name for name in cluster.names() if name != "edge-0"])
        await asyncio.sleep(7)
        cluster.wire.heal()
        noted = await asyncio.gather(*asking)
        assert edge.counts["draws"] < 20 * len(noted), edge.counts
        assert all(each.ran in ("done", "not run") or each.result in (1405, 1106) for each in noted)
        assert (await harness.ask("edge-0", "shopper", "x", program="after")).ran == "done"

    guarantees.play(58, scenario)


def test_signals_have_places_of_their_own_beside_long_streams():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, took = harness.cluster, []
        for model in cluster.world.models:
            model.pace = 20

        async def signal(number: int) -> None:
            began = cluster.loop.time()
            noted = await harness.ask("edge-0", "till-lock", {"name": f"s{number}"}, operation=f"s{number}")
            assert noted.ran == "done", noted
            took.append(cluster.loop.time() - began)

        streams = [
            asyncio.ensure_future(harness.ask("edge-0", "shopper", f"long {number}", program=f"f{number}"))
            for number in range(600)
        ]
        await asyncio.sleep(2)
        async with asyncio.TaskGroup() as group:
            for number in range(60):
                group.create_task(signal(number))
                await asyncio.sleep(0.01)
        assert max(took) < 0.3, max(took)
        await asyncio.gather(*streams)

    usual, path.SENDERS = path.SENDERS, {True: 16, False: 8}
    try:
        guarantees.play(55, scenario)
    finally:
        path.SENDERS = usual


def test_work_is_repeated_only_where_the_lane_says_so_and_is_charged_each_time():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        lane = {
            "kind": "turns",
            "services": ["clerk"],
            "deadline": 20,
            "budget": 200,
            "turn_output": 40,
            "repeatable": True,
        }
        response = await harness.client.patch("http://core-0/plan", json={"lanes": {"again": lane}})
        assert response.status_code == 200
        for model in cluster.world.models:
            model.faults = backend.Faults(lose_answer=0.5)
        noted = [await harness.ask("edge-0", "again", "x", program=f"p{number}") for number in range(30)]
        plain = [await harness.ask("edge-0", "shopper", "x", program=f"q{number}") for number in range(30)]
        keyed = [
            await harness.ask("edge-0", "again", "x", program=f"r{number}", operation=f"r{number}")
            for number in range(20)
        ]

        def goes(request: str) -> list[str]:
            return [name for name in cluster.world.ran() if name.split(".")[0] == request]

        assert sum(each.ran == "done" for each in noted) >= 28 and sum(len(goes(each.request)) for each in noted) > 40
        assert any(each.ran == "unknown" for each in plain) and any(each.ran == "unknown" for each in keyed)
        assert all(len(goes(each.request)) == 1 for each in plain + keyed)
        assert max(cluster.world.ran().values()) == 1
        for model in cluster.world.models:
            model.faults = backend.Faults(lose_answer=1.0)
        spent = await harness.ask("edge-1", "again", "x", program="s")
        assert spent.ran == "unknown" and len(goes(spent.request)) == 5, (spent, goes(spent.request))
        for model in cluster.world.models:
            model.faults = backend.Faults(cut_stream=1.0)
        cut = await harness.ask("edge-1", "again", "long x", program="t")
        assert cut.ran == "unknown" and len(goes(cut.request)) == (1 if cut.text else 5), cut

    guarantees.play(56, scenario)


def test_a_requests_story_is_told_though_its_edge_died_and_also_when_it_was_refused():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        done = await harness.ask("edge-0", "shopper", "x", program="p")
        refused = await harness.ask("edge-1", "shopper", "x", program="p", after=7)
        at_the_door = await harness.ask("edge-1", "none", "x")
        for model in cluster.world.models:
            model.pace = 50
        asking = asyncio.ensure_future(harness.ask("edge-0", "shopper", "long x", program="q"))
        await cluster.until(
            lambda: any(body["program"] == "q" for body in cluster.world.seen() if "program" in body), 5, "sent"
        )
        await asyncio.sleep(0.2)
        cluster.kill("edge-0")
        await asking
        cut = next(body["request"] for body in cluster.world.seen() if body.get("program") == "q")
        for request, wanted in (
            (done.request, "done"),
            (refused.request, "1006"),
            (at_the_door.request, "1003"),
            (cut, "go 1 to"),
        ):
            response = await harness.client.get(f"http://core-0/requests/{request}")
            assert response.status_code == 200, (request, wanted, response.text)
            told = [
                f"{line['what']} {line['detail']}"
                for whole_scenario in response.json()["stories"]
                for line in whole_scenario["lines"]
            ]
            assert any(wanted in line for line in told), (wanted, told)

    guarantees.play(59, scenario)


def test_every_refusal_names_when_to_come_back():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, seen = harness.cluster, set()

        async def ask(lane: str, given, **more) -> None:
            noted = await harness.ask("edge-0", lane, given, **more)
            seen.add(noted.result)

        for worker in cluster.world.workers():
            worker.faults = backend.Faults(lose_answer=1.0)
        await ask("till-lock", {"name": "a"}, operation="a")
        await ask("till-lock", {"name": "a"}, operation="a")
        await ask("shopper", "x", program="p")
        for worker in cluster.world.workers():
            worker.faults = backend.Faults(cut_stream=1.0)
        await ask("shopper", "long x", program="q")
        for worker in cluster.world.workers():
            worker.faults = backend.Faults(put_back=1.0)
        await ask("till-lock", {"name": "b"}, operation="b")
        cluster.world.gone.update(worker.name for worker in cluster.world.plains)
        await asyncio.sleep(1)
        await ask("till-lock", {"name": "c"})
        cluster.nodes["edge-0"].stopping.set()
        await ask("till-lock", {"name": "d"})
        assert {1203, 1010, 1104, 1103} <= seen and seen & {1201, 1202} and seen & {1105, 1106, 1101}, seen

    guarantees.play(57, scenario)
