"""Tests of ``aspencroft.proxy.forwarder`` with emulated workers behind the real connection pool."""

import asyncio
import collections
import dataclasses
import random
import types

import pytest

from aspencroft.configuration import http_route, resources, route_table, tenant
from aspencroft.emulator import engine, worker_server
from aspencroft.errors import result
from aspencroft.node import settings
from aspencroft.proxy import call, forwarder, instance, instances
from aspencroft.runtime import clock, environment
from aspencroft.simulation import loop, wire
from aspencroft.workers import pool

ROUTE = {
    "host": "h",
    "prefix": "/",
    "kind": "safe",
    "targets": [{"service": "tool"}],
    "attempts": 3,
    "timeout": 2.0,
    "aim": 0.4,
}


def make_node(network, route):
    """A stub node with what the forwarder needs for calls that are no turns."""
    simulated_environment = environment.Environment(
        wire.SimNetwork(network, "edge"), None, None, random.Random(3), None
    )
    table = route_table.EMPTY.changed((), (route,))
    fields = {**vars(resources.EMPTY), "http_routes": {route.name: route}, "route_table": table, "version": 1}
    configuration = types.SimpleNamespace(**fields)
    return types.SimpleNamespace(
        address="edge:1",
        environment=simulated_environment,
        sample_sources=[],
        status_reporter=types.SimpleNamespace(sections={}),
        stopping=asyncio.Event(),
        settings=types.SimpleNamespace(
            group_count=2, talk_pairs=1, area="north", address="edge:1", quota=settings.QuotaBounds()
        ),
        relay=types.SimpleNamespace(
            configuration=configuration,
            current=lambda: True,
            lease_duration=clock.seconds(12),
            lease_expires_at=clock.seconds(12),
            root=False,
        ),
    )


def run_scenario(scenario, *faults, **route):
    """Run a scenario with one worker for each of the given faults."""
    event_loop = loop.SimLoop()
    network = wire.Wire(event_loop, random.Random(1), wire.Weather())

    async def start_and_run():
        node = make_node(network, http_route.of("route", {**ROUTE, **route}))
        view, workers = instances.Instances(), []
        for number, fault in enumerate(faults):
            worker = worker_server.Worker(f"i-{number}", "tool", "north", worker_server.Work(), random.Random(2))
            worker.faults = worker_server.Faults(**fault)
            workers.append(worker)
            event_loop.create_task(worker.serve(wire.SimNetwork(network, f"w{number}"), f"w{number}:80"))
        view.update(
            [
                instance.Instance(worker.name, f"w{number}:80", "tool", "north", "v1", 6, False, clock.ZERO)
                for number, worker in enumerate(workers)
            ],
            clock.now(),
        )
        connections = pool.Pool(node.environment, collections.Counter())
        edge = forwarder.Forwarder(node, worker_server.StandDialect(), view, connections)
        await clock.sleep(clock.seconds(0.01))
        return await scenario(edge, workers)

    try:
        return event_loop.run_until_complete(start_and_run())
    finally:
        event_loop.bury()


def make_call(within=1.0, work=b"5"):
    return call.Call(
        "GET",
        "/x",
        "h",
        ((b"host", b"h"), (b"x-attempt", b"a1"), (b"x-work-ms", work)),
        b"",
        "a1",
        clock.seconds(within),
        clock.now(),
    )


async def error_of(edge):
    try:
        await edge.handle(make_call())
    except result.RequestError as error:
        return error


def test_a_rejection_by_one_worker_does_not_hide_that_another_may_have_run_the_call():
    async def scenario(edge, workers):
        for worker in workers[1:]:
            worker.work = worker_server.Work(slots=0, queue=0)
            worker.slots.slots = worker.slots.queue = 0
        error = await error_of(edge)
        return error.ran, sum(len(worker.runs) for worker in workers)

    seen = {run_scenario(scenario, {"lost": 1.0}, {}), run_scenario(scenario, {"lost": 1.0}, {}, {})}
    assert seen <= {(result.Ran.UNKNOWN, 1)}


def test_a_call_that_all_workers_rejected_is_reported_as_not_run():
    async def scenario(edge, workers):
        for worker in workers:
            worker.slots.slots = worker.slots.queue = 0
        error = await error_of(edge)
        return error.ran, sum(len(worker.runs) for worker in workers)

    assert run_scenario(scenario, {}, {}) == (result.Ran.NOT_RUN, 0)


def test_a_caller_that_leaves_while_an_answer_comes_leaves_no_connection_behind():
    async def scenario(edge, workers):
        for pause in (0.011, 0.02, 0.03, 0.04, 0.05):
            task = asyncio.ensure_future(edge.handle(make_call()))
            await clock.sleep(clock.seconds(pause))
            task.cancel()
            await asyncio.wait([task])
        idle = sum(len(connections) for connections in edge.pool.idle_connections.values())
        await clock.sleep(clock.seconds(0.2))
        running = edge.instances.states["i-0"].running
        return edge.pool.open_count - idle, workers[0].open - idle, edge.active, running

    assert run_scenario(scenario, {"pieces": 1.0}) == (0, 0, 0, 0)


def test_a_safe_call_is_hedged_when_a_worker_does_not_answer_within_the_latency_target():
    async def scenario(edge, workers):
        answer = await edge.handle(make_call())
        return answer.status, edge.counts["hedged"], clock.now() < clock.seconds(0.6), edge.active

    for silent in (0, 1):
        faults = [{}, {}]
        faults[silent] = {"silent": 1.0}
        answers = run_scenario(scenario, *faults)
        assert answers[0] == 200 and answers[2] and answers[3] == 0
        assert answers[1] <= 1


def test_a_hedge_keeps_to_the_attempts_that_the_route_allows():
    async def scenario(edge, workers):
        error = await error_of(edge)
        return error.ran, sum(len(worker.runs) for worker in workers), edge.active

    assert run_scenario(scenario, {"silent": 1.0}, {"silent": 1.0}, {"silent": 1.0}, attempts=2) == (
        result.Ran.UNKNOWN,
        2,
        0,
    )
    assert run_scenario(scenario, {"silent": 1.0}, {"silent": 1.0}, attempts=1) == (result.Ran.UNKNOWN, 1, 0)
    assert run_scenario(scenario, {"silent": 1.0}, {"silent": 1.0}, kind="non_idempotent") == (
        result.Ran.UNKNOWN,
        1,
        0,
    )


async def error_of_call(edge, one):
    """The error that a call ends with."""
    try:
        answer = await edge.handle(one)
    except result.RequestError as error:
        return error
    raise AssertionError(answer)


def test_a_hedge_and_a_retry_of_the_first_attempt_share_the_attempts_of_the_route():
    async def scenario(edge, workers):
        edge.instances.record_rejection("i-1")
        edge.instances.record_rejection("i-2")
        original = edge.wait_for_worker
        waits = 0

        async def wait_for_worker(state):
            nonlocal waits
            waits += 1
            if waits == 2:
                await clock.sleep(clock.seconds(0.2))
            return await original(state)

        edge.wait_for_worker = wait_for_worker
        error = await error_of(edge)
        return error.ran, sum(len(worker.runs) for worker in workers), edge.active

    silent = {"silent": 1.0}
    seen = run_scenario(scenario, {"lost": 1.0}, silent, silent, attempts=2, aim=0.1)
    assert seen == (result.Ran.UNKNOWN, 2, 0)


def test_a_call_whose_route_changes_its_kind_on_the_way_is_not_sent_under_the_new_one():
    async def scenario(edge, workers):
        configuration = edge.node.relay.configuration
        admit = edge.admit

        def change(one):
            state = admit(one)
            configuration.http_routes["route"] = http_route.of("route", {**ROUTE, "kind": "keyed"})
            return state

        edge.admit = change
        error = await error_of(edge)
        return error.result, error.ran, len(workers[0].runs)

    assert run_scenario(scenario, {}, kind="non_idempotent") == (result.ResultCode.PUT_BACK, result.Ran.NOT_RUN, 0)


def test_an_edge_without_any_configuration_does_not_report_a_route_as_unknown():
    async def scenario(edge, workers):
        configuration = edge.node.relay.configuration
        configuration.route_table, configuration.http_routes, configuration.version = route_table.EMPTY, {}, 0
        return (await error_of(edge)).result

    assert run_scenario(scenario, {}) is result.ResultCode.NO_PLAN


def test_an_edge_whose_configuration_was_not_confirmed_recently_does_not_report_a_route_as_unknown():
    async def scenario(edge, workers):
        configuration, relay = edge.node.relay.configuration, edge.node.relay
        configuration.route_table, configuration.http_routes = route_table.EMPTY, {}
        first = (await error_of(edge)).result
        await clock.sleep(clock.seconds(5))
        second = await error_of(edge)
        relay.lease_expires_at = clock.now() + relay.lease_duration
        return first, second.result, second.ran, (await error_of(edge)).result

    unknown = result.ResultCode.UNKNOWN_ROUTE
    assert run_scenario(scenario, {}) == (unknown, result.ResultCode.NO_PLAN, result.Ran.NOT_RUN, unknown)


KEY, OTHER_KEY = tenant.digest(b"key"), tenant.digest(b"other")
MINE, OTHERS = tenant.Tenant("mine", (KEY,), 0.0, 0.0, None), tenant.Tenant("others", (OTHER_KEY,), 0.0, 0.0, 3)


def require_keys(edge, *tenants):
    """Make the edge's configuration require the keys of tenants."""
    configuration = edge.node.relay.configuration
    configuration.keys_required, configuration.tenants = True, {one.name: one for one in tenants}
    configuration.key_table = tenant.NO_KEYS.changed((), tenants)


def with_key(key_digest, **more):
    return dataclasses.replace(make_call(), key_digest=key_digest, **more)


def test_a_request_without_a_key_that_a_tenant_holds_does_not_run():
    async def scenario(edge, workers):
        require_keys(edge, MINE)
        errors = [await error_of_call(edge, with_key(digest)) for digest in ("", OTHER_KEY)]
        return [(error.result, error.ran) for error in errors], len(workers[0].runs)

    unknown = (result.ResultCode.UNKNOWN_KEY, result.Ran.NOT_RUN)
    assert run_scenario(scenario, {}) == ([unknown, unknown], 0)


def test_the_tenant_is_that_of_the_key_whatever_the_caller_says():
    async def scenario(edge, workers):
        require_keys(edge, MINE, OTHERS)
        states = [edge.admit(with_key(key, tenant="others")) for key in (KEY, OTHER_KEY)]
        return [state.call.tenant for state in states]

    assert run_scenario(scenario, {}) == ["mine", "others"]


def test_a_public_route_requires_no_key_and_ignores_a_claimed_tenant():
    async def scenario(edge, workers):
        require_keys(edge, MINE)
        states = [edge.admit(with_key(key, tenant="forged")) for key in ("", OTHER_KEY, KEY)]
        return [state.call.tenant for state in states]

    assert run_scenario(scenario, {}, public=True) == ["", "", "mine"]


def test_a_key_taken_away_while_its_call_waits_for_a_worker_does_not_run():
    async def scenario(edge, workers):
        require_keys(edge, MINE)
        state = edge.admit(with_key(KEY))
        require_keys(edge)
        with pytest.raises(result.RequestError) as caught:
            edge.choose(state)
        return caught.value.result

    assert run_scenario(scenario, {}) is result.ResultCode.UNKNOWN_KEY


def test_an_edge_whose_configuration_was_not_confirmed_recently_does_not_report_a_key_as_unknown():
    async def scenario(edge, workers):
        require_keys(edge, MINE)
        await clock.sleep(clock.seconds(5))
        error = await error_of_call(edge, with_key(OTHER_KEY))
        served = await edge.handle(with_key(KEY))
        return error.result, error.ran, served.status

    assert run_scenario(scenario, {}) == (result.ResultCode.NO_PLAN, result.Ran.NOT_RUN, 200)


def test_the_rank_of_a_tenant_takes_precedence_over_that_of_the_route():
    async def scenario(edge, workers):
        require_keys(edge, MINE, OTHERS)
        return [edge.rank(edge.admit(with_key(key))) for key in (KEY, OTHER_KEY)]

    assert run_scenario(scenario, {}, rank=2) == [2, 3]


async def serving_order(edge, keys, pauses):
    """The order in which calls get a worker that has one more free slot after each pause, in seconds."""
    free_slots, order = 0, []
    original = edge.choose

    def choose(state):
        nonlocal free_slots
        if not free_slots:
            return None, "no free slot"
        free_slots -= 1
        return original(state)

    async def wait(key):
        state = edge.admit(with_key(key))
        await edge.wait_for_worker(state)
        order.append(state.call.tenant)

    edge.choose = choose
    waiting = [asyncio.ensure_future(wait(key)) for key in keys]
    for pause in pauses:
        await clock.sleep(clock.seconds(pause))
        free_slots += 1
        edge.slot_freed.set()
    await asyncio.gather(*waiting)
    return order


def test_a_more_urgent_call_gets_the_next_worker_though_it_came_later():
    async def scenario(edge, workers):
        require_keys(edge, MINE, OTHERS)
        return await serving_order(edge, [OTHER_KEY, KEY], [0.005, 0.005])

    assert run_scenario(scenario, {}, rank=1) == ["mine", "others"]


def test_a_less_urgent_call_does_not_starve():
    async def scenario(edge, workers):
        require_keys(edge, MINE, OTHERS)
        return await serving_order(edge, [OTHER_KEY, KEY, KEY, KEY], [0.06, 0.01, 0.01, 0.01])

    assert run_scenario(scenario, {}, rank=1)[0] == "others"


def test_tenants_share_no_names_of_programs_turns_or_keys():
    async def scenario(edge, workers):
        require_keys(edge, MINE, OTHERS)
        names = []
        for key in (KEY, OTHER_KEY):
            one = with_key(key, program="p", session="s", previous="t", key="k")
            state = edge.admit(one)
            names.append(
                (
                    state.program,
                    state.session_id(),
                    state.attempt_id(),
                    state.previous_turn(),
                    edge.key_of(state.call),
                )
            )
        return names

    mine, others = run_scenario(scenario, {})
    assert not set(mine) & set(others)


def test_waiting_for_the_configuration_ends_with_the_time_of_the_route_that_is_known():
    async def scenario(edge, workers):
        edge.node.relay.current = lambda: False
        error = await error_of_call(edge, make_call(within=30.0))
        return error.result, clock.now() <= clock.seconds(2.2)

    assert run_scenario(scenario, {}) == (result.ResultCode.NO_PLAN, True)


def test_a_rejection_of_the_first_attempt_does_not_hide_that_the_hedge_may_have_run():
    async def scenario(edge, workers):
        async def reject_late(end):
            await clock.sleep(clock.seconds(0.3))
            raise engine.Full

        workers[0].slots.enter = reject_late
        edge.instances.record_rejection("i-1")
        error = await error_of(edge)
        return error.ran, [len(worker.runs) for worker in workers], edge.counts["hedged"]

    assert run_scenario(scenario, {}, {"lost": 1.0}, attempts=2, aim=0.1) == (result.Ran.UNKNOWN, [0, 1], 1)


def test_status_tells_by_route_what_was_refused_why_attempts_failed_and_where_time_went():
    async def scenario(edge, workers):
        for worker in workers:
            worker.slots.slots = worker.slots.queue = 0
        error = await error_of(edge)
        return error.result.number, edge.status()["routes"]["route"]

    number, counts = run_scenario(scenario, {}, {})
    assert counts["refused"] == {str(number): 1}
    assert counts["failed attempts"] == {str(result.ResultCode.PUT_BACK.number): 2}
    assert set(counts["stages"]) == {"choose", "first"}
    assert counts["stages"]["first"]["count"] == 2
    assert counts["stages"]["choose"]["seconds"] >= counts["stages"]["choose"]["longest"] > 0
