"""Tests of the stand-in worker behind HTTP/1.1: the product's own pool talks to it."""

import asyncio
import collections
import random

from aspencroft.emulator import engine, worker_server
from aspencroft.errors import result
from aspencroft.proxy import call
from aspencroft.runtime import clock, environment
from aspencroft.simulation import loop, wire
from aspencroft.workers import pool

SHAPE = engine.Shape(slots=2, queue=2, memory=5000)
DIALECT = worker_server.StandDialect()
ADDRESS = "w1:80"


def played(scenario, work=worker_server.Work(shape=SHAPE), faults=worker_server.Faults(), name="i-1"):
    simulated = loop.SimLoop()
    weather = wire.Wire(simulated, random.Random(1), wire.Weather())
    life = worker_server.Worker(name, "chat", "north", work, random.Random(2))
    life.faults = faults

    async def whole():
        around = environment.Environment(wire.SimNetwork(weather, "edge"), None, None, random.Random(3), None)
        connections = pool.Pool(around, collections.Counter())
        serving = asyncio.ensure_future(life.serve(wire.SimNetwork(weather, "w1"), ADDRESS))
        await clock.sleep(clock.seconds(0.001))
        try:
            return await scenario(connections, life)
        finally:
            serving.cancel()

    try:
        return simulated.run_until_complete(whole())
    finally:
        simulated.bury()


async def ask(connections, attempt="a1", headers=(), meant="i-1", within=2.0, body=b"in"):
    one = call.Call(
        "POST",
        "/chat/",
        "h.example",
        ((b"host", b"h.example"), (b"x-attempt", attempt.encode()), *headers),
        body,
        attempt,
        clock.seconds(within),
        clock.now(),
    )
    response = await connections.request(
        ADDRESS,
        one.method,
        one.target,
        DIALECT.request_headers(one, meant, one.time_limit),
        body,
        one.deadline() + clock.seconds(0.1),
        100,
    )
    head = DIALECT.head(response.status, response.headers, attempt)
    try:
        return head, await response.read()
    finally:
        await response.close(True)


TURN = ((b"x-tokens", b"30,40"), (b"x-parts", b"s:20,own:10"), (b"x-model", b"m"))


def test_a_stream_and_a_plain_answer_come_whole_with_seal_and_load():
    async def scenario(connections, life):
        head, body = await ask(connections, headers=TURN)
        plain, text = await ask(connections, "a2", ((b"x-work-ms", b"5"),))
        return head, body, plain, text, life.runs, connections.counts["worker connections"]

    head, body, plain, text, runs, opened = played(scenario)
    assert (
        head.status == 200
        and head.has_seal
        and head.load == (1, 0, 2)
        and head.attempt == "a1"
        and not head.closes_connection
    )
    assert body.count(b"data:") == 4 and runs[0].output == body and runs[0].whole and runs[0].body == b"in"
    assert plain.status == 200 and text == runs[1].output and opened == 1


def test_resumed_streams_go_on_after_the_event_named():
    async def scenario(connections, life):
        return await ask(connections, headers=(*TURN, (b"x-resume-after", b"3")))

    _, body = played(scenario)
    assert body.startswith(b"id: 4\n") and body.count(b"data:") == 1


def test_what_did_not_run_says_so():
    async def scenario(connections, life):
        other, _ = await ask(connections, "a1", TURN, meant="i-9")
        nameless, _ = await ask(connections, "", TURN)
        large, _ = await ask(connections, "a2", ((b"x-tokens", b"9000,10"), (b"x-parts", b"s:9000")))
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(ask(connections, f"b{number}", TURN)) for number in range(6)]
        full = [one.result()[0] for one in tasks]
        life.leaving = True
        leaving, _ = await ask(connections, "a3", TURN)
        return other, nameless, large, full, leaving, len(life.runs)

    other, nameless, large, full, leaving, runs = played(scenario)
    assert other.status == 421 and other.misdirected and other.not_run
    assert nameless.status == 400 and nameless.not_run and large.status == 503 and large.not_run
    assert [one.status for one in full].count(503) == 2 and leaving.closes_connection and runs == 5


def test_the_end_of_the_time_is_not_run_in_the_queue_and_run_afterwards():
    async def scenario(connections, life):
        slow = ((b"x-work-ms", b"300"),)
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(ask(connections, f"b{number}", slow, within=0.4)) for number in range(2)]
            await clock.sleep(clock.seconds(0.01))
            for number in range(2):
                tasks.append(group.create_task(ask(connections, f"c{number}", slow, within=0.2)))
        return [one.result()[0] for one in tasks], [one.attempt for one in life.runs]

    heads, runs = played(scenario, worker_server.Work(slots=2, queue=2))
    assert [one.status for one in heads] == [200, 200, 503, 503] and heads[2].not_run and sorted(runs) == ["b0", "b1"]


def test_a_request_whose_connection_closes_is_dropped():
    async def scenario(connections, life):
        one = asyncio.ensure_future(ask(connections, headers=((b"x-tokens", b"0,2000"),)))
        await clock.sleep(clock.seconds(0.1))
        one.cancel()
        await clock.sleep(clock.seconds(0.1))
        return life.engine.active, life.open, life.runs[0].whole

    assert played(scenario) == ([], 0, False)


def outcome(faults, headers):
    async def scenario(connections, life):
        try:
            found = await ask(connections, headers=headers, within=0.5)
        except result.RequestError as refusal:
            found = refusal
        return found, life.runs

    return played(scenario, faults=faults)


def test_each_trouble_comes_after_the_work_was_done():
    for kind in ("lost", "silent", "cut", "garbage"):
        for headers in (TURN, ((b"x-work-ms", b"5"),)):
            if kind == "garbage" and headers is TURN:
                continue
            found, runs = outcome(worker_server.Faults(**{kind: 1.0}), headers)
            assert isinstance(found, result.RequestError) and found.ran is result.Ran.UNKNOWN, (kind, found)
            assert len(runs) == 1 and runs[0].broke and not runs[0].whole, kind


def test_an_answer_in_excess_never_becomes_the_next_one():
    for kind in ("surplus", "late"):

        async def scenario(connections, life):
            first, _ = await ask(connections, "a1", ((b"x-work-ms", b"5"),))
            life.faults = worker_server.Faults()
            await clock.sleep(clock.seconds(0.05))
            second, _ = await ask(connections, "a2", ((b"x-work-ms", b"5"),))
            return first.attempt, second.attempt

        first, second = played(scenario, faults=worker_server.Faults(**{kind: 1.0}))
        assert first == "a1" and second == ("a2" if kind == "surplus" else "a1")


def test_a_report_lags_and_costs_no_slot():
    async def scenario(connections, life):
        asked = asyncio.ensure_future(ask(connections, "a1", ((b"x-tokens", b"0,2000"),), within=20))
        await clock.sleep(clock.seconds(0.05))
        response = await connections.request(ADDRESS, "GET", "/report", ((b"host", b"h"),), b"", clock.seconds(5), 100)
        early = await response.read()
        await response.close(True)
        await clock.sleep(clock.seconds(0.3))
        response = await connections.request(ADDRESS, "GET", "/report", ((b"host", b"h"),), b"", clock.seconds(5), 100)
        late = await response.read()
        await response.close(True)
        asked.cancel()
        return early, late

    early, late = played(scenario)
    assert b'"active": 0' in early and b'"active": 1' in late


def test_it_serves_over_real_sockets_too():
    async def scenario():
        life = worker_server.Worker("i-1", "chat", "north", worker_server.Work(shape=SHAPE), random.Random(2))
        network = environment.SocketNetwork()
        serving = asyncio.ensure_future(life.serve(network, "127.0.0.1:0"))
        while not network.servers:
            await asyncio.sleep(0)
        host, port = network.servers[0].sockets[0].getsockname()
        around = environment.Environment(network, None, None, random.Random(3), None)
        connections = pool.Pool(around, collections.Counter())
        one = call.Call(
            "POST",
            "/chat/",
            "h",
            ((b"host", b"h"), (b"x-attempt", b"a1"), *TURN),
            b"in",
            "a1",
            clock.seconds(5),
            clock.now(),
        )
        response = await connections.request(
            f"{host}:{port}",
            "POST",
            "/chat/",
            DIALECT.request_headers(one, "i-1", one.time_limit),
            b"in",
            one.deadline(),
            10,
        )
        body = await response.read()
        await response.close(True)
        await connections.close()
        serving.cancel()
        network.servers[0].close()
        return response.status, body.count(b"data:")

    assert asyncio.run(scenario()) == (200, 4)
