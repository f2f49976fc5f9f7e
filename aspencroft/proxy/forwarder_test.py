"""Tests of a call's attempts at workers, with the stand-in worker behind the product's own pool."""

import asyncio
import collections
import random
import types

from aspencroft.configuration import http_route, route_table
from aspencroft.emulator import worker_server
from aspencroft.errors import result
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
    plan = types.SimpleNamespace(http_routes={route.name: route}, services={}, route_table=table)
    return types.SimpleNamespace(
        address="edge:1",
        environment=around,
        sampled=[],
        stopping=asyncio.Event(),
        settings=types.SimpleNamespace(pairs=2, talk_pairs=1, area="north", address="edge:1"),
        relay=types.SimpleNamespace(plan=plan, current=lambda: True),
    )


def played(story, *troubles, **route):
    """A story with one worker for each of the troubles given."""
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
        known.take(
            [
                instance.Instance(life.name, f"w{number}:80", "tool", "north", "v1", 6, False, clock.ZERO)
                for number, life in enumerate(lives)
            ],
            clock.now(),
        )
        connections = pool.Pool(own.environment, collections.Counter())
        forwarding = forwarder.Forwarder(own, worker_server.StandDialect(), known, connections)
        await clock.sleep(clock.seconds(0.01))
        return await story(forwarding, lives)

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
        await forwarding.take(asked())
    except result.RequestError as refusal:
        return refusal


def test_what_may_have_run_at_one_worker_is_not_promised_away_by_another():
    async def story(forwarding, lives):
        for life in lives[1:]:
            life.work = worker_server.Work(slots=0, queue=0)
            life.slots.slots = life.slots.queue = 0
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives)

    seen = {played(story, {"lost": 1.0}, {}), played(story, {"lost": 1.0}, {}, {})}
    assert seen <= {(result.Ran.UNKNOWN, 1)}


def test_what_no_worker_ran_is_promised_not_to_have_run():
    async def story(forwarding, lives):
        for life in lives:
            life.slots.slots = life.slots.queue = 0
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives)

    assert played(story, {}, {}) == (result.Ran.NOT_RUN, 0)


def test_a_caller_that_leaves_while_an_answer_comes_leaves_no_connection_behind():
    async def story(forwarding, lives):
        for pause in (0.011, 0.02, 0.03, 0.04, 0.05):
            task = asyncio.ensure_future(forwarding.take(asked()))
            await clock.sleep(clock.seconds(pause))
            task.cancel()
            await asyncio.wait([task])
        resting = sum(len(row) for row in forwarding.pool.resting.values())
        await clock.sleep(clock.seconds(0.2))
        running = forwarding.instances.known["i-0"].running
        return forwarding.pool.total - resting, lives[0].open - resting, forwarding.active, running

    assert played(story, {"pieces": 1.0}) == (0, 0, 0, 0)


def test_work_that_may_be_repeated_is_asked_of_another_worker_when_one_is_silent_beyond_the_aim():
    async def story(forwarding, lives):
        answer = await forwarding.take(asked())
        return answer.status, forwarding.counts["hedged"], clock.now() < clock.seconds(0.6), forwarding.active

    for silent in (0, 1):
        troubles = [{}, {}]
        troubles[silent] = {"silent": 1.0}
        answers = played(story, *troubles)
        assert answers[0] == 200 and answers[2] and answers[3] == 0
        assert answers[1] <= 1


def test_a_hedge_keeps_to_the_attempts_that_the_route_allows():
    async def story(forwarding, lives):
        refusal = await refusal_of(forwarding)
        return refusal.ran, sum(len(life.runs) for life in lives), forwarding.active

    assert played(story, {"silent": 1.0}, {"silent": 1.0}, {"silent": 1.0}, attempts=2) == (
        result.Ran.UNKNOWN,
        2,
        0,
    )
    assert played(story, {"silent": 1.0}, {"silent": 1.0}, attempts=1) == (result.Ran.UNKNOWN, 1, 0)
    assert played(story, {"silent": 1.0}, {"silent": 1.0}, kind="non_idempotent") == (
        result.Ran.UNKNOWN,
        1,
        0,
    )
