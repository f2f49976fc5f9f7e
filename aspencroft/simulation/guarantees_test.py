"""Tests of ``aspencroft.simulation.guarantees``."""

import asyncio
import collections
import hashlib
import json

from aspencroft.configuration import control_state
from aspencroft.consensus import replica_set, witness
from aspencroft.emulator import backend
from aspencroft.errors import result
from aspencroft.residency import residency
from aspencroft.runtime import clock
from aspencroft.simulation import campaign, guarantees, simulated_cluster, wire
from aspencroft.transport import codec, frame


def test_a_key_at_many_edges_runs_once_though_the_primary_dies_and_answers_are_lost():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        for one in harness.cluster.world.plains:
            one.faults = backend.Faults(lose_answer=0.5)
        for number in range(8):
            name = f"key-{number}"
            async with asyncio.TaskGroup() as group:
                for edge in harness.cluster.edges * 2:
                    group.create_task(harness.ask(edge, "till-lock", {"name": name}, operation=name))
                if number % 4 == 1:
                    await asyncio.sleep(0.004 * number)
                    victim = harness.cluster.leader(1 + number % 2)
                    harness.cluster.kill(victim)
            if number % 4 == 1:
                harness.cluster.start(victim)
                await harness.cluster.until(harness.cluster.ready, 12, "ready")
            again = await harness.ask("edge-0", "till-lock", {"name": name}, operation=name)
            assert again.ran != "not run" or harness.runs(name) == 0
            assert harness.runs(name) <= 1, name
        ran = harness.cluster.world.ran()
        assert sum(ran.values()) >= 4
        for noted in harness.asking.noted:
            assert noted.ran != "not run" or noted.request not in ran

    for seed in (1, 2):
        guarantees.play(seed, scenario)


def test_an_edge_frozen_between_claim_and_send_sends_nothing_late():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, edge = harness.cluster, harness.cluster.edge_paths["edge-0"]
        original = edge.select_worker
        caught = []

        def frozen_draw(call):
            drawn = original(call)
            caught.append(call)
            cluster.loop.freeze("edge-0")
            return drawn

        edge.select_worker = frozen_draw
        asking = asyncio.ensure_future(harness.ask("edge-0", "till-lock", {"name": "late"}, operation="late"))
        await cluster.until(lambda: bool(caught), 5, "caught")
        await asyncio.sleep(8)
        second = await harness.ask("edge-1", "till-lock", {"name": "late"}, operation="late")
        cluster.loop.thaw("edge-0")
        edge.select_worker = original
        noted = await asking
        await asyncio.sleep(5)
        assert noted.ran == "not run" and second.ran != "done"
        assert harness.runs("late") == 0

    guarantees.play(3, scenario)


def test_a_lost_answer_is_unknown_and_the_work_is_not_done_again():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        for one in harness.cluster.world.plains:
            one.faults = backend.Faults(lose_answer=1.0)
        first = await harness.ask("edge-0", "handset-alert", {"name": "a"}, operation="a")
        again = await harness.ask("edge-1", "handset-alert", {"name": "a"}, operation="a")
        bare = await harness.ask("edge-1", "handset-alert", {"name": "b"})
        assert [one.ran for one in (first, again, bare)] == ["unknown"] * 3
        assert harness.runs("a") == 1 and harness.runs("b") == 1
        for one in harness.cluster.world.plains:
            one.faults = backend.Faults(put_back=1.0)
        put_back = await harness.ask("edge-0", "handset-alert", {"name": "c"}, operation="c")
        assert put_back.ran == "not run" and harness.runs("c") == 0

    guarantees.play(4, scenario)


def test_parallel_helpers_over_edges_and_a_takeover_stay_in_budget():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster

        async def helper(number: int) -> None:
            for after in range(6):
                await harness.ask(
                    cluster.edges[(number + after) % len(cluster.edges)],
                    "shopper",
                    f"long {number} {after}",
                    program="p",
                    helper=f"h{number}",
                    after=after,
                    budget=130,
                )

        async with asyncio.TaskGroup() as group:
            for number in range(8):
                group.create_task(helper(number))
            await asyncio.sleep(0.3)
            leaders = {cluster.leader(group_id) for group_id in (1, 2)} - {""}
            for victim in sorted(leaders):
                cluster.kill(victim)
                await asyncio.sleep(4)
                cluster.start(victim)
        put_out = sum(cluster.world.put_out().values())
        assert 130 < put_out <= 130 + 40, put_out

    for seed in (5, 6):
        guarantees.play(seed, scenario)


def test_history_outlives_its_holders_one_after_the_other():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        programs = [f"p{number}" for number in range(6)]
        for program in programs:
            noted = await harness.ask("edge-0", "supervisor", f"{program} first", program=program)
            assert noted.ran == "done"
        for number, lost in enumerate(list(cluster.storages)):
            await cluster.until(campaign.Day(cluster, cluster.chance).serves, 12, "two copies")
            cluster.power_off(lost)
            cluster.disks[lost].wipe()
            fresh = f"storage-{3 + number}"
            cluster.storages[cluster.storages.index(lost)] = fresh
            cluster.start(fresh)
            await cluster.until(campaign.Day(cluster, cluster.chance).serves, 12, "two copies again")
        for program in programs:
            noted = await harness.ask("edge-1", "supervisor", f"{program} second", program=program, after=1)
            assert noted.ran == "done", noted
        turns = [body for body in cluster.world.seen() if body.get("turn") == 2]
        assert all(body["history"][0][0] == f"{body['program']} first" for body in turns) and len(turns) == 6

    guarantees.play(7, scenario)


def test_a_worker_lost_in_mid_stream_ends_the_turn_with_an_error_never_with_another_run():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for worker in cluster.world.models:
            worker.faults = backend.Faults(cut_stream=1.0)
        noted = [await harness.ask("edge-0", "shopper", "x", program=f"p{number}") for number in range(6)]
        assert all(one.ran == "unknown" and one.result in (1201, 1202) for one in noted)
        assert max(cluster.world.ran().values()) == 1 and len(cluster.world.ran()) == 6
        for worker in cluster.world.models:
            worker.faults = backend.Faults()
        after = await harness.ask("edge-1", "shopper", "again", program="p0", after=0)
        assert after.ran == "done"
        assert [body["history"] for body in cluster.world.seen()][-1] == []

    guarantees.play(8, scenario)


def test_a_program_goes_on_soon_after_the_edge_that_served_it_died():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        asking = asyncio.ensure_future(harness.ask("edge-0", "shopper", "long first", program="p"))
        await cluster.until(lambda: bool(cluster.world.seen()), 5, "sent")
        cluster.kill("edge-0")
        assert (await asking).ran == "unknown"
        began = cluster.loop.time()
        while True:
            noted = await harness.ask("edge-1", "shopper", "again", program="p")
            if noted.ran == "done" or cluster.loop.time() - began > 12:
                break
            assert noted.result == 1008 and noted.ran == "not run", noted
            await asyncio.sleep(0.5)
        assert noted.ran == "done", noted

    guarantees.play(24, scenario)


def test_acknowledged_plans_outlive_a_primary_killed_or_frozen_at_any_step_of_a_write():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, kept = harness.cluster, {}
        for number in range(14):
            name = f"extra-{number}"
            await asyncio.sleep(5)
            writing = asyncio.ensure_future(
                harness.client.put(f"http://{cluster.edges[number % 2]}/plan/services/{name}", json={"kind": "plain"})
            )
            await asyncio.sleep(0.008 * number)
            victim = cluster.leader(0)
            if number % 2:
                cluster.loop.freeze(victim)
                await asyncio.sleep(5)
                cluster.loop.thaw(victim)
            else:
                cluster.kill(victim)
                await asyncio.sleep(1)
                cluster.start(victim)
            response = await writing
            if response.status_code == 200:
                kept[name] = response.json()["revision"]
            await cluster.until(cluster.ready, 12, "ready")
        document = cluster.nodes[cluster.leader(0)].group_replicas[0].replica.state_machine.document["services"]
        assert all(name in document for name in kept) and len(kept) >= 3, (kept, sorted(document))

    guarantees.play(9, scenario)


def test_nothing_is_answered_with_one_copy_when_primary_and_backup_are_cut_apart():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, acknowledged = harness.cluster, 0
        for number in range(3):
            await asyncio.sleep(4)
            leader = cluster.leader(0)
            backup = cluster.nodes[leader].group_replicas[0].known.backups[0].address.split(":")[0]
            cluster.wire.cut([leader], [backup])
            response = await harness.client.put(f"http://edge-0/plan/services/extra-{number}", json={"kind": "plain"})
            cluster.power_off(leader)
            cluster.wire.heal()
            await cluster.until(cluster.ready, 12, "ready")
            document = cluster.nodes[cluster.leader(0)].group_replicas[0].replica.state_machine.document["services"]
            if response.status_code == 200:
                acknowledged += 1
                assert f"extra-{number}" in document
            cluster.start(leader)
        assert acknowledged

    guarantees.play(20, scenario)


def test_a_record_that_changes_under_a_serving_primary_neither_ends_it_nor_its_writes():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster

        async def signal(number: int) -> None:
            noted = await harness.ask(
                cluster.edges[number % 2], "till-lock", {"name": f"s{number}"}, operation=f"s{number}"
            )
            assert noted.ran == "done", noted

        async with asyncio.TaskGroup() as group:
            for number in range(60):
                group.create_task(signal(number))
                await asyncio.sleep(0.02 + 0.05 * cluster.chance.random())
                if number % 6 == 3:
                    group_id = 1 + number // 6 % 2
                    held = cluster.nodes[cluster.leader(group_id) or cluster.leader(3 - group_id)].group_replicas[
                        group_id
                    ]
                    if held.has_lease():
                        without = cluster.loop.create_task(
                            held.ballot(
                                lambda standing: replica_set.ReplicaSet(
                                    standing.group_id, standing.epoch + 1, standing.primary, ()
                                )
                            ),
                            context=cluster.loop.context_of(held.address.split(":")[0]),
                        )
                        await asyncio.wait([without])

    for seed in (25, 26, 27):
        guarantees.play(seed, scenario)


def test_a_primary_that_wakes_up_answers_nothing_before_it_claimed_anew():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for number in range(3):
            old = cluster.leader(0)
            own = cluster.nodes[old]
            cluster.loop.freeze(old)
            await cluster.until(lambda: cluster.leader(0) not in ("", old), 12, "led by another")
            written = await harness.client.put(f"http://edge-0/plan/services/extra-{number}", json={"kind": "plain"})
            assert written.status_code == 200
            cluster.loop.thaw(old)
            context = cluster.loop.context_of(old)
            answers = await asyncio.gather(
                *[
                    cluster.loop.create_task(
                        own.group_replicas[0].submit(
                            control_state.ReadResources(control_state.NEVER), clock.seconds(1)
                        ),
                        context=context,
                    )
                    for _ in range(3)
                ],
                return_exceptions=True,
            )
            assert all(isinstance(answer, result.RequestError) for answer in answers), answers
            await cluster.until(cluster.ready, 12, "ready")

    guarantees.play(19, scenario)


def test_a_plan_outlives_power_lost_everywhere_just_after_its_answer():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for round_number in range(3):
            name = f"extra-{round_number}"
            response = await harness.client.put(f"http://edge-0/plan/services/{name}", json={"kind": "plain"})
            assert response.status_code == 200
            revision = response.json()["revision"]
            for node in cluster.names():
                cluster.power_off(node)
            for node in reversed(cluster.names()):
                cluster.start(node)
            await cluster.until(cluster.ready, 12, "back in service")
            shown = (await harness.client.get("http://edge-1/plan")).json()
            assert name in shown["plan"]["services"], revision
            assert int(shown["revision"].split(".")[1]) >= int(revision.split(".")[1])

    guarantees.play(10, scenario)


def test_a_disk_that_lost_just_its_last_synced_value_loses_nothing_that_was_acknowledged():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, taken = harness.cluster, 0
        for number in range(6):
            name, program = f"extra-{number}", f"p{number}"
            await cluster.until(campaign.Day(cluster, cluster.chance).serves, 12, "two copies")
            noted = await harness.ask("edge-0", "supervisor", "first", program=program)
            assert noted.ran == "done"
            for _ in range(5):
                response = await harness.client.put(f"http://edge-0/plan/services/{name}", json={"kind": "plain"})
                if response.status_code == 200:
                    break
                await asyncio.sleep(1)
            leader = cluster.leader(0)
            backup = cluster.nodes[leader].group_replicas[0].known.backups[0].address.split(":")[0]
            if number % 3 == 0:
                cluster.power_off(leader)
                assert cluster.disks[leader].lose_last() > 0
                cluster.start(leader)
            elif number % 3 == 1:
                for node in cluster.names():
                    cluster.power_off(node)
                cluster.disks[leader].lose_last()
                for node in cluster.names():
                    cluster.start(node)
            else:
                for node in cluster.names():
                    cluster.power_off(node)
                cluster.disks[backup].lose_last()
                for node in cluster.names():
                    if node != leader:
                        cluster.start(node)
                await asyncio.sleep(3.5)
                cluster.start(leader)
            await cluster.until(cluster.ready, 12, "back in service")
            document = cluster.nodes[cluster.leader(0)].group_replicas[0].replica.state_machine.document
            assert name in document["services"], (number, response.json())
            noted = await harness.ask("edge-1", "supervisor", "second", program=program, after=1)
            assert noted.ran == "done", (number, noted)
            taken += sum(
                held.counts["taken at start"] for own in cluster.nodes.values() for held in own.group_replicas.values()
            )
        assert taken >= 3, taken

    for seed in (29, 30):
        guarantees.play(seed, scenario)


def test_operators_that_race_with_conditions_never_overwrite_each_other():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, won = harness.cluster, collections.Counter()

        async def operator(name: str, node: str) -> None:
            for _number in range(8):
                path = f"http://{node}/plan/services/till-counter"
                shown = await harness.client.get(path)
                before = shown.json()["spec"]["size"] if shown.status_code == 200 else 0
                header = {"If-Match": shown.json()["revision"]} if before else {"If-None-Match": "*"}
                response = await harness.client.put(path, json={"kind": "plain", "size": before + 1}, headers=header)
                assert response.status_code in (200, 412), response.text
                won[name] += response.status_code == 200

        async with asyncio.TaskGroup() as group:
            for number, node in enumerate(["edge-0", "core-1", "storage-2"]):
                group.create_task(operator(f"o{number}", node))
        held = (
            cluster.nodes[cluster.leader(0)]
            .group_replicas[0]
            .replica.state_machine.document["services"]["till-counter"]["size"]
        )
        assert held == sum(won.values()) >= 8

    guarantees.play(11, scenario)


def test_a_planned_restart_drops_no_answer_under_way():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, asking = harness.cluster, harness.asking
        traffic = [asyncio.ensure_future(asking.one(f"n{number}")) for number in range(30)]
        await asyncio.sleep(0.03)
        for name in (*cluster.edges, *cluster.storages, *cluster.cores):
            await cluster.stop(name)
            await asyncio.sleep(0.3)
            cluster.start(name)
            traffic.extend(asyncio.ensure_future(asking.one(f"{name} {number}")) for number in range(6))
            await cluster.until(cluster.ready, 12, "ready")
        await asyncio.gather(*traffic)
        lost = [noted for noted in asking.noted if noted.ran == "unknown"]
        assert lost == [] and asking.faults == [] and asking.counts["done"] > 100, (lost, asking.counts)

    guarantees.play(12, scenario)


def test_signals_are_served_under_a_flood_and_refusals_come_at_once():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        took, refused = [], []
        for held in cluster.disks.values():
            held.delay = 0.05

        async def flood(number: int) -> None:
            began = cluster.loop.time()
            noted = await harness.ask(cluster.edges[number % 2], "shopper", "x", program=f"f{number}")
            if noted.result == 1101:
                refused.append(cluster.loop.time() - began)

        async def signal(number: int) -> None:
            began = cluster.loop.time()
            noted = await harness.ask(
                cluster.edges[number % 2], "till-lock", {"name": f"s{number}"}, operation=f"s{number}"
            )
            assert noted.ran == "done", noted
            took.append(cluster.loop.time() - began)

        async with asyncio.TaskGroup() as group:
            for number in range(500):
                group.create_task(flood(number))
            for number in range(20):
                group.create_task(signal(number))
                await asyncio.sleep(0.002)
        assert refused and max(refused) < 0.2, (len(refused), max(refused, default=0))
        assert max(took) < 1.5, max(took)
        assert max(cluster.world.ran().values()) == 1

    guarantees.play(13, scenario)


def test_a_worker_marked_as_leaving_gets_nothing_new_after_three_seconds():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        marked = {}
        for number in range(60):
            await harness.ask(cluster.edges[number % 2], "shopper", "x", program=f"p{number}")
            if number == 10:
                await harness.client.put("http://core-0/plan/workers/model-0", json={"leaving": True})
                marked["model-0"] = cluster.loop.time()
            if number == 20:
                cluster.world.leaving.add("model-1")
                marked["model-1"] = cluster.loop.time()
        late = [
            body
            for body in cluster.world.seen()
            if body["worker"] in marked
            and body["at"] > marked[body["worker"]] + (0 if body["worker"] == "model-0" else 0.6)
        ]
        assert late == [] and len(cluster.world.seen()) == 60

    guarantees.play(14, scenario)


async def refuses_all_votes(voter: witness.Witness) -> bool:
    """Whether a witness refuses to take part in a ballot and to grant a lease because it is blank."""
    voter_set, member = voter.voter_set.number, replica_set.ReplicaId("storage-0:1", "x")
    value = codec.tagged(replica_set.ReplicaSet(0, 1 << 20, member, ()))
    requests = (
        (voter.prepare, replica_set.Prepare(0, 1 << 40, member.address, voter_set)),
        (voter.accept, replica_set.Accept(0, 1 << 40, value, voter.state.incarnation, voter_set)),
        (voter.renew_lease, replica_set.LeaseRequest(0, 1 << 40, value, str(member), witness.LEASE, voter_set)),
    )
    refused = 0
    for ask, request in requests:
        try:
            await ask(request)
        except result.RequestError as refusal:
            refused += refusal.result is result.ResultCode.WITNESS_BLANK
    return refused == len(requests)


def test_all_witnesses_losing_their_memory_at_once_neither_stops_nor_splits_the_fleet():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for _ in range(2):
            epochs = {
                group_id: cluster.nodes[cluster.leader(group_id)].group_replicas[group_id].known.epoch
                for group_id in range(3)
            }
            for name in cluster.cores:
                cluster.kill(name)
            for name in cluster.cores:
                cluster.start(name)
            refusing, end = set(), cluster.loop.time() + 3
            while cluster.loop.time() < end:
                await asyncio.sleep(0.1)
                for name in cluster.cores:
                    voter = cluster.nodes[name].witness
                    if not voter.voting:
                        assert await refuses_all_votes(voter), name
                        refusing.add(name)
            assert refusing == set(cluster.cores)
            await cluster.until(cluster.ready, 12, "ready")
            for group_id, epoch in epochs.items():
                assert cluster.nodes[cluster.leader(group_id)].group_replicas[group_id].known.epoch >= epoch
        noted = await harness.ask("edge-0", "till-lock", {"name": "k"}, operation="k")
        assert noted.ran == "done"

    guarantees.play(15, scenario)


def test_the_residency_duty_moves_under_a_higher_epoch_and_reports_stay_in_their_budget():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        holders = []
        for _ in range(2):

            def held() -> bool:
                return any(
                    cluster.alive(name)
                    and own.singleton_roles.get("residency")
                    and own.singleton_roles["residency"].has_lease()
                    for name, own in cluster.nodes.items()
                )

            await cluster.until(held, 12, "held")
            holder = next(
                name
                for name, own in cluster.nodes.items()
                if cluster.alive(name)
                and own.singleton_roles.get("residency")
                and own.singleton_roles["residency"].has_lease()
            )
            began, before = cluster.loop.time(), sum(worker.counts["reports read"] for worker in cluster.world.models)
            for number in range(20):
                await harness.ask(
                    "edge-0", "shopper", f"x calls stock now {number}", program=f"p{len(holders)}-{number}"
                )
            read = sum(worker.counts["reports read"] for worker in cluster.world.models) - before
            assert read <= 1 + (cluster.loop.time() - began) / residency.PROBE.total_seconds()
            holders.append((holder, cluster.nodes[holder].singleton_roles["residency"].epoch))
            cluster.kill(holder)
        assert holders[0][0] != holders[1][0] and holders[1][1] > holders[0][1]
        orders = sum(worker.counts["orders"] for worker in cluster.world.models)
        assert orders > 0
        stale = await cluster.world.models[0].order(
            {"epoch": 0, "release": [], "offload": [], "load": [], "restore": []}
        )
        assert stale[0] == 409 or cluster.world.models[0].epoch == 0

    guarantees.play(16, scenario)


def test_a_backup_that_lost_power_is_replaced_though_only_reads_arrive():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        for group_id in (0, 1):
            lost = cluster.nodes[cluster.leader(group_id)].group_replicas[group_id].known.backups[0].address

            def replaced() -> bool:
                leader = cluster.leader(group_id)
                backups = cluster.nodes[leader].group_replicas[group_id].known.backups if leader else ()
                return bool(backups) and all(backup.address != lost for backup in backups)

            cluster.power_off(lost.split(":")[0])
            await cluster.until(replaced, 5, "replaced")
            cluster.start(lost.split(":")[0])
            await asyncio.sleep(3)

    guarantees.play(18, scenario, size=simulated_cluster.Size(edges=1, storages=4, cores=3))


def test_bad_input_gets_a_number_and_leaves_nothing_half_done():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, client = harness.cluster, harness.client
        before = (await client.get("http://edge-0/plan")).json()
        wrong = [
            ("PUT", "/plan", b"{", 400, 1001),
            ("PUT", "/plan", b"[]", 400, 1001),
            ("PATCH", "/plan", b'{"lanes": {"a": {}}, "odd": {"b": {}}}', 422, 1301),
            ("PUT", "/plan/services/a", b'{"kind": "odd"}', 422, 1301),
            ("PUT", "/plan/odd/a", b"{}", 404, 1303),
            ("DELETE", "/plan/lanes/none", b"", 404, 1303),
            ("DELETE", "/plan/services/clerk", b"", 422, 1301),
            ("GET", "/plan/lanes/none", b"", 404, 1303),
            ("POST", "/requests", b"{", 400, 1001),
            ("POST", "/requests", b'{"lane": "none", "input": 1}', 404, 1003),
            ("POST", "/requests", b'{"lane": "shopper", "input": 1}', 400, 1001),
            (
                "POST",
                "/requests",
                b'{"lane": "shopper", "input": 1, "program": "none", "after": 3}',
                404,
                1005,
            ),
            ("POST", "/requests", b'{"lane": "shopper", "input": 1, "program": "p", "tool": 7}', 400, 1001),
            ("POST", "/requests", b'"' + b"x" * (9 << 20) + b'"', 413, 1002),
            ("GET", "/requests/none", b"", 404, 1501),
            ("GET", "/none", b"", 404, 1303),
        ]
        for method, path, body, status, number in wrong:
            response = await client.request(method, f"http://edge-0{path}", content=body)
            shown = response.json()["error"]
            assert (response.status_code, shown["result"]) == (status, number), (method, path, shown)
            assert shown["ran"] == "not run" or number == 1501
        response = await client.put(
            "http://core-2/plan/services/a", json={"kind": "plain"}, headers={"If-Match": "9.9"}
        )
        assert response.json()["error"]["result"] == 1302
        after = (await client.get("http://edge-0/plan")).json()
        assert after == before and cluster.world.seen() == []
        faults = (await client.patch("http://edge-0/plan", json={"lanes": {"a": {}}, "odd": {}})).json()["error"]
        assert {fault["path"] for fault in faults["faults"]} == {"odd", "lanes/a/kind", "lanes/a/services"}

    guarantees.play(21, scenario)


def test_without_a_list_of_workers_refusals_come_at_once():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        cluster.loop.end("platform")
        cluster.kill("edge-0")
        cluster.start("edge-0")
        await cluster.until(
            lambda: "edge-0" in cluster.nodes and cluster.nodes["edge-0"].relay.current(), 12, "current"
        )
        began = cluster.loop.time()
        noted = await harness.ask("edge-0", "till-lock", {"name": "k"}, operation="k")
        assert (noted.ran, noted.result) == ("not run", 1104) and cluster.loop.time() - began < 1.5, noted
        assert (await harness.ask("edge-1", "till-lock", {"name": "k"}, operation="k")).ran == "done"

    guarantees.play(28, scenario)


def test_a_watch_tells_every_change_once_and_in_order():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        seen = []

        async def watch() -> None:
            async with harness.client.stream("GET", "http://edge-1/plan?watch=true") as response:
                async for line in response.aiter_lines():
                    seen.append(json.loads(line))
                    if len(seen) == 5:
                        return

        watching = asyncio.ensure_future(watch())
        await asyncio.sleep(0.5)
        for number in range(4):
            path = f"http://core-0/plan/services/w{number % 2}"
            await (harness.client.put(path, json={"kind": "plain"}) if number < 2 else harness.client.delete(path))
        async with asyncio.timeout(10):
            await watching
        numbers = [int(one["revision"].split(".")[1]) for one in seen]
        assert numbers == sorted(set(numbers))
        changed = [(one["name"], one["spec"] is None) for event in seen[1:] for one in event["changes"]]
        assert changed == [("w0", False), ("w1", False), ("w0", True), ("w1", True)]

    guarantees.play(22, scenario)


def test_broken_frames_close_the_connection_and_are_counted():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster = harness.cluster
        outside = wire.SimNetwork(cluster.wire, simulated_cluster.OUTSIDE)
        sound = frame.encode(frame.Frame(frame.REQUEST, 1, 0, replica_set.WitnessStateRequest("outside")))
        for place in (4, 6, 7, 20, len(sound) - 1):
            broken = bytearray(sound)
            broken[place] ^= 0x7F
            channel = await outside.connect("core-0:1")
            await channel.write(bytes(broken) + sound)
            try:
                async with asyncio.timeout(3):
                    await channel.read(1)
                raise AssertionError(f"byte {place} was answered")
            except EOFError:
                pass
        assert cluster.nodes["core-0"].link.counts["broken frames"] == 5
        assert cluster.ready()

    guarantees.play(23, scenario)


def test_the_same_seed_gives_the_same_trace():
    digests = []
    for _ in range(2):
        held = []

        async def whole_scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
            held.append(campaign.Day(cluster, cluster.chance, ("leader", "cut"), 1))
            await held[0].run()

        played = simulated_cluster.play(
            17, whole_scenario, weather=wire.Weather(jitter=0.004, double=0.002, reset=0.0005)
        )
        text = "\n".join([*played.wire.trace, *map(str, held[0].asking.noted)])
        digests.append(hashlib.sha256(text.encode()).hexdigest())
    assert digests[0] == digests[1]
