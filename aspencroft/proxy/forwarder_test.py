"""Tests of a call's attempts at workers, with the stand-in worker behind the product's own pool."""

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


def own_node(simulated_wire, route):
    """Of a node just what the forwarding of plain calls asks for."""
    around = environment.Environment(wire.SimNetwork(simulated_wire, "edge"), None, None, random.Random(3), None)
    table = route_table.EMPTY.changed((), (route,))
    fields = {**vars(resources.EMPTY), "http_routes": {route.name: route}, "route_table": table, "version": 1}
    plan = types.SimpleNamespace(**fields)
    return types.SimpleNamespace(
        address="edge:1",
        environment=around,
        sample_sources=[],
        status_reporter=types.SimpleNamespace(sections={}),
        stopping=asyncio.Event(),
        settings=types.SimpleNamespace(
            group_count=2, talk_pairs=1, area="north", address="edge:1", quota=settings.QuotaBounds()
        ),
        relay=types.SimpleNamespace(
            configuration=plan,
            current=lambda: True,
            lease_duration=clock.seconds(12),
            lease_expires_at=clock.seconds(12),
            root=False,
        ),
    )


def played(scenario, *troubles, **route):
    """A trace with one worker for each of the troubles given."""
    simulated = loop.SimLoop()
    ways = wire.Wire(simulated, random.Random(1), wire.Weather())

    async def whole():
        own = own_node(ways, http_route.of("route", {**ROUTE, **route}))
        known, lives = instances.Instances(), []
        for number, trouble in enumerate(troubles):
            life = worker_server.Worker(f"i-{number}", "tool", "north", worker_server.Work(), random.Random(2))
            life.faults = worker_server.Faults(**trouble)
            lives.append(life)
            simulated.create_task(life.serve(wire.SimNetwork(ways, f"w{number}"), f"w{number}:80"))
        known.update(
            [
                instance.Instance(life.name, f"w{number}:80", "tool", "north", "v1", 6, False, clock.ZERO)
                for number, life in enumerate(lives)
            ],
            clock.now(),
        )
        connections = pool.Pool(own.environment, collections.Counter())
        forwarding = forwarder.Forwarder(own, worker_server.StandDialect(), known, connections)
        await clock.sleep(clock.seconds(0.01))
        return await scenario(forwarding, lives)

    try:
        return simulated.run_until_complete(whole())
    finally:
        simulated.bury()


def asked(within=1.0, work=b"5"):
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


async def refusal_of(forwarding):
    try:
        await forwarding.handle(asked())
    except result.RequestError as refusal:
        return refusal


def test_what_may_have_run_at_one_worker_is_not_promised_away_by_another():
    async def scenario(forwarding, lives):
        for life in lives[1:]:
            life.work = worker_server.Work(slots=0, queue=0)
            life.slots.slots = life.slots.queue = 0
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives)

    seen = {played(scenario, {"lost": 1.0}, {}), played(scenario, {"lost": 1.0}, {}, {})}
    assert seen <= {(result.Ran.UNKNOWN, 1)}


def test_what_no_worker_ran_is_promised_not_to_have_run():
    async def scenario(forwarding, lives):
        for life in lives:
            life.slots.slots = life.slots.queue = 0
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives)

    assert played(scenario, {}, {}) == (result.Ran.NOT_RUN, 0)


def test_a_caller_that_leaves_while_an_answer_comes_leaves_no_connection_behind():
    async def scenario(forwarding, lives):
        for pause in (0.011, 0.02, 0.03, 0.04, 0.05):
            task = asyncio.ensure_future(forwarding.handle(asked()))
            await clock.sleep(clock.seconds(pause))
            task.cancel()
            await asyncio.wait([task])
        resting = sum(len(row) for row in forwarding.pool.resting.values())
        await clock.sleep(clock.seconds(0.2))
        running = forwarding.instances.known["i-0"].running
        return forwarding.pool.total - resting, lives[0].open - resting, forwarding.active, running

    assert played(scenario, {"pieces": 1.0}) == (0, 0, 0, 0)


def test_work_that_may_be_repeated_is_asked_of_another_worker_when_one_is_silent_beyond_the_aim():
    async def scenario(forwarding, lives):
        answer = await forwarding.handle(asked())
        return answer.status, forwarding.counts["hedged"], clock.now() < clock.seconds(0.6), forwarding.active

    for silent in (0, 1):
        troubles = [{}, {}]
        troubles[silent] = {"silent": 1.0}
        answers = played(scenario, *troubles)
        assert answers[0] == 200 and answers[2] and answers[3] == 0
        assert answers[1] <= 1


def test_a_hedge_keeps_to_the_attempts_that_the_route_allows():
    async def scenario(forwarding, lives):
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives), forwarding.active

    assert played(scenario, {"silent": 1.0}, {"silent": 1.0}, {"silent": 1.0}, attempts=2) == (
        result.Ran.UNKNOWN,
        2,
        0,
    )
    assert played(scenario, {"silent": 1.0}, {"silent": 1.0}, attempts=1) == (result.Ran.UNKNOWN, 1, 0)
    assert played(scenario, {"silent": 1.0}, {"silent": 1.0}, kind="non_idempotent") == (
        result.Ran.UNKNOWN,
        1,
        0,
    )


async def refusal_for(forwarding, one):
    """The refusal that a call ends in."""
    try:
        answer = await forwarding.handle(one)
    except result.RequestError as refusal:
        return refusal
    raise AssertionError(answer)


def test_a_hedge_and_a_retry_of_the_first_attempt_share_the_attempts_of_the_route():
    async def scenario(forwarding, lives):
        forwarding.instances.record_rejection("i-1")
        forwarding.instances.record_rejection("i-2")
        held = forwarding.wait_for_worker
        placed = 0

        async def place(state):
            nonlocal placed
            placed += 1
            if placed == 2:
                await clock.sleep(clock.seconds(0.2))
            return await held(state)

        forwarding.wait_for_worker = place
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives), forwarding.active

    silent = {"silent": 1.0}
    seen = played(scenario, {"lost": 1.0}, silent, silent, attempts=2, aim=0.1)
    assert seen == (result.Ran.UNKNOWN, 2, 0)


def test_a_call_whose_route_changes_its_kind_on_the_way_is_not_sent_under_the_new_one():
    async def scenario(forwarding, lives):
        plan = forwarding.node.relay.configuration
        admit = forwarding.admit

        def change(one):
            state = admit(one)
            plan.http_routes["route"] = http_route.of("route", {**ROUTE, "kind": "keyed"})
            return state

        forwarding.admit = change
        refusal = await refusal_of(forwarding)
        return refusal.result, refusal.ran, len(lives[0].runs)

    assert played(scenario, {}, kind="non_idempotent") == (result.ResultCode.PUT_BACK, result.Ran.NOT_RUN, 0)


def test_an_edge_without_any_configuration_does_not_say_that_there_is_no_route():
    async def scenario(forwarding, lives):
        plan = forwarding.node.relay.configuration
        plan.route_table, plan.http_routes, plan.version = route_table.EMPTY, {}, 0
        return (await refusal_of(forwarding)).result

    assert played(scenario, {}) is result.ResultCode.NO_PLAN


def test_an_edge_that_heard_nothing_of_the_control_plane_lately_does_not_say_that_there_is_no_route():
    async def scenario(forwarding, lives):
        plan, relay = forwarding.node.relay.configuration, forwarding.node.relay
        plan.route_table, plan.http_routes = route_table.EMPTY, {}
        first = (await refusal_of(forwarding)).result
        await clock.sleep(clock.seconds(5))
        second = await refusal_of(forwarding)
        relay.lease_expires_at = clock.now() + relay.lease_duration
        return first, second.result, second.ran, (await refusal_of(forwarding)).result

    unknown = result.ResultCode.UNKNOWN_ROUTE
    assert played(scenario, {}) == (unknown, result.ResultCode.NO_PLAN, result.Ran.NOT_RUN, unknown)


KEY, OTHER_KEY = tenant.digest(b"key"), tenant.digest(b"other")
MINE, OTHERS = tenant.Tenant("mine", (KEY,), 0.0, 0.0, None), tenant.Tenant("others", (OTHER_KEY,), 0.0, 0.0, 3)


def require_keys(forwarding, *tenants):
    """Have the edge's configuration ask for the keys of tenants."""
    plan = forwarding.node.relay.configuration
    plan.keys_required, plan.tenants = True, {one.name: one for one in tenants}
    plan.key_table = tenant.NO_KEYS.changed((), tenants)


def with_key(key_digest, **more):
    return dataclasses.replace(asked(), key_digest=key_digest, **more)


def test_a_request_without_a_key_that_a_tenant_holds_does_not_run():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE)
        refusals = [await refusal_for(forwarding, with_key(digest)) for digest in ("", OTHER_KEY)]
        return [(refusal.result, refusal.ran) for refusal in refusals], len(lives[0].runs)

    unknown = (result.ResultCode.UNKNOWN_KEY, result.Ran.NOT_RUN)
    assert played(scenario, {}) == ([unknown, unknown], 0)


def test_the_tenant_is_that_of_the_key_whatever_the_caller_says():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE, OTHERS)
        states = [forwarding.admit(with_key(key, tenant="others")) for key in (KEY, OTHER_KEY)]
        return [state.call.tenant for state in states]

    assert played(scenario, {}) == ["mine", "others"]


def test_a_public_route_asks_for_no_key_and_believes_no_tenant():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE)
        states = [forwarding.admit(with_key(key, tenant="forged")) for key in ("", OTHER_KEY, KEY)]
        return [state.call.tenant for state in states]

    assert played(scenario, {}, public=True) == ["", "", "mine"]


def test_a_key_taken_away_while_its_call_waits_for_a_worker_does_not_run():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE)
        state = forwarding.admit(with_key(KEY))
        require_keys(forwarding)
        with pytest.raises(result.RequestError) as caught:
            forwarding.choose(state)
        return caught.value.result

    assert played(scenario, {}) is result.ResultCode.UNKNOWN_KEY


def test_an_edge_that_heard_nothing_of_the_control_plane_lately_does_not_say_that_a_key_is_unknown():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE)
        await clock.sleep(clock.seconds(5))
        refusal = await refusal_for(forwarding, with_key(OTHER_KEY))
        served = await forwarding.handle(with_key(KEY))
        return refusal.result, refusal.ran, served.status

    assert played(scenario, {}) == (result.ResultCode.NO_PLAN, result.Ran.NOT_RUN, 200)


def test_the_rank_of_a_tenant_goes_before_that_of_the_route():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE, OTHERS)
        return [forwarding.rank(forwarding.admit(with_key(key))) for key in (KEY, OTHER_KEY)]

    assert played(scenario, {}, rank=2) == [2, 3]


async def order_of_places(forwarding, keys, pauses):
    """In which order calls get a worker that has a place for one more after each pause, in seconds."""
    places, order = 0, []
    usual = forwarding.choose

    def choose(state):
        nonlocal places
        if not places:
            return None, "no place"
        places -= 1
        return usual(state)

    async def wait(key):
        state = forwarding.admit(with_key(key))
        await forwarding.wait_for_worker(state)
        order.append(state.call.tenant)

    forwarding.choose = choose
    waiting = [asyncio.ensure_future(wait(key)) for key in keys]
    for pause in pauses:
        await clock.sleep(clock.seconds(pause))
        places += 1
        forwarding.freed.set()
    await asyncio.gather(*waiting)
    return order


def test_a_more_urgent_call_gets_the_next_worker_though_it_came_later():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE, OTHERS)
        return await order_of_places(forwarding, [OTHER_KEY, KEY], [0.005, 0.005])

    assert played(scenario, {}, rank=1) == ["mine", "others"]


def test_a_less_urgent_call_does_not_starve():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE, OTHERS)
        return await order_of_places(forwarding, [OTHER_KEY, KEY, KEY, KEY], [0.06, 0.01, 0.01, 0.01])

    assert played(scenario, {}, rank=1)[0] == "others"


def test_tenants_share_no_names_of_programs_turns_or_keys():
    async def scenario(forwarding, lives):
        require_keys(forwarding, MINE, OTHERS)
        names = []
        for key in (KEY, OTHER_KEY):
            one = with_key(key, program="p", session="s", previous="t", key="k")
            state = forwarding.admit(one)
            names.append(
                (
                    state.program,
                    state.session_id(),
                    state.attempt_id(),
                    state.previous_turn(),
                    forwarding.key_of(state.call),
                )
            )
        return names

    mine, others = played(scenario, {})
    assert not set(mine) & set(others)


def test_waiting_for_the_configuration_ends_with_the_time_of_the_route_that_is_known():
    async def scenario(forwarding, lives):
        forwarding.node.relay.current = lambda: False
        refusal = await refusal_for(forwarding, asked(within=30.0))
        return refusal.result, clock.now() <= clock.seconds(2.2)

    assert played(scenario, {}) == (result.ResultCode.NO_PLAN, True)


def test_what_may_have_run_at_a_hedge_is_not_promised_away_by_the_first_attempt():
    async def scenario(forwarding, lives):
        async def turned_away_late(end):
            await clock.sleep(clock.seconds(0.3))
            raise engine.Full

        lives[0].slots.enter = turned_away_late
        forwarding.instances.record_rejection("i-1")
        refusal = await refusal_of(forwarding)
        return refusal.ran, [len(life.runs) for life in lives], forwarding.counts["hedged"]

    assert played(scenario, {}, {"lost": 1.0}, attempts=2, aim=0.1) == (result.Ran.UNKNOWN, [0, 1], 1)


def test_status_tells_by_route_what_was_refused_why_attempts_failed_and_where_time_went():
    async def scenario(forwarding, lives):
        for life in lives:
            life.slots.slots = life.slots.queue = 0
        refusal = await refusal_of(forwarding)
        return refusal.result.number, forwarding.status()["routes"]["route"]

    number, counts = played(scenario, {}, {})
    assert counts["refused"] == {str(number): 1}
    assert counts["failed attempts"] == {str(result.ResultCode.PUT_BACK.number): 2}
    assert set(counts["stages"]) == {"choose", "first"}
    assert counts["stages"]["first"]["count"] == 2
    assert counts["stages"]["choose"]["seconds"] >= counts["stages"]["choose"]["longest"] > 0
