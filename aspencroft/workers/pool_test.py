"""Connections to workers, tested with scripted workers on simulated streams and on loopback."""

import asyncio
import collections
import collections.abc
import contextlib
import random
import socket
import struct

import aspencroft.workers.pool as pools
from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.simulation import loop, wire

WORKER = "worker:80"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Test-Call: %s\r\n\r\nok"
HEADERS = ((b"Host", b"h.example"), (b"X-Test-Call", b"1"))


async def read_request(channel) -> bytes:
    """Return the next request as received, or nothing if the client closed the connection."""
    raw = b""
    while b"\r\n\r\n" not in raw:
        data = await channel.read_some(1 << 16)
        if not data:
            return b""
        raw += data
    head, _, body = raw.partition(b"\r\n\r\n")
    size = next((int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")), 0)
    while len(body) < size:
        data = await channel.read_some(1 << 16)
        if not data:
            return b""
        body += data
    return head + b"\r\n\r\n" + body


class PoolHarness:
    """A pool and a scripted worker in simulated time; ``received`` has the requests of each connection."""

    def __init__(self, script: collections.abc.Callable, seed: int = 1):
        self.loop = loop.SimLoop()
        self.wire = wire.Wire(self.loop, random.Random(seed), wire.Weather(jitter=0.0))
        self.script = script
        self.conversations: list[asyncio.Future] = []
        self.received: list[list[bytes]] = []
        self.counts = collections.Counter()
        simulated_environment = environment.Environment(
            wire.SimNetwork(self.wire, "edge"), None, None, random.Random(seed), None
        )
        self.pool = pools.Pool(simulated_environment, self.counts)

    async def serve(self) -> None:
        """Run the worker."""
        accepted = await wire.SimNetwork(self.wire, "worker").listen(WORKER)
        while True:
            channel = await accepted.get()
            self.received.append([])
            self.conversations.append(asyncio.ensure_future(self.converse(channel, len(self.received) - 1)))

    async def converse(self, channel, connection: int) -> None:
        """Serve one connection: ``script(connection, number)`` yields bytes to send, pauses, or None to close."""
        while raw := await read_request(channel):
            self.received[connection].append(raw)
            for part in self.script(connection, len(self.received[connection]) - 1):
                if part is None:
                    channel.close()
                elif isinstance(part, float):
                    await asyncio.sleep(part)
                else:
                    await channel.write(part)

    async def fetch(
        self, method: str = "GET", body: bytes = b"", within: float = 2.0, max_connections: int = 8, accepts=None
    ):
        """Send one request, read its whole response and return the connection to the pool."""
        response = await self.pool.request(
            WORKER, method, "/a?b=1", HEADERS, body, clock.now() + clock.seconds(within), max_connections, accepts
        )
        try:
            return response.status, await response.read()
        finally:
            await response.close(True)

    async def refused(self, **named) -> tuple[result.ResultCode, result.Ran]:
        """Return the result code and run state of a request that must fail."""
        try:
            answer = await self.fetch(**named)
        except result.RequestError as refusal:
            return refusal.result, refusal.ran
        raise AssertionError(answer)


def run_scenario(script: collections.abc.Callable, scenario: collections.abc.Callable) -> PoolHarness:
    """Run a scenario with a scripted worker."""
    harness = PoolHarness(script)

    async def whole_scenario():
        serving = asyncio.ensure_future(harness.serve())
        await asyncio.sleep(0.01)
        await scenario(harness)
        serving.cancel()

    harness.loop.run_until_complete(whole_scenario())
    harness.loop.bury()
    assert not harness.loop.exceptions, harness.loop.exceptions
    return harness


BROKEN = (result.ResultCode.WORKER_BROKE, result.Ran.UNKNOWN)
LOST = (result.ResultCode.WORKER_LOST, result.Ran.UNKNOWN)
DEADLINE_PASSED = (result.ResultCode.DEADLINE, result.Ran.UNKNOWN)
NO_FREE_CONNECTION = (result.ResultCode.OVERLOADED, result.Ran.NOT_RUN)
NOT_CONNECTED = (result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN)


def test_requests_are_written_exactly_and_the_last_connection_is_used_again():
    async def scenario(harness):
        assert await harness.fetch() == (200, b"ok")
        assert await harness.fetch("POST", b"xyz") == (200, b"ok")
        assert await harness.fetch("POST") == (200, b"ok")

    harness = run_scenario(lambda connection, number: [OK % b"1"], scenario)
    start = b" /a?b=1 HTTP/1.1\r\nHost: h.example\r\nX-Test-Call: 1\r\n"
    assert harness.received == [
        [
            b"GET" + start + b"\r\n",
            b"POST" + start + b"Content-Length: 3\r\n\r\nxyz",
            b"POST" + start + b"Content-Length: 0\r\n\r\n",
        ]
    ]
    assert harness.counts["worker connections"] == 1 and harness.counts["worker connections reused"] == 2


def test_heads_that_could_be_read_as_more_are_never_sent():
    for method, target, headers in (
        ("GET", "/a b", ()),
        ("GET", "/a\r\nX: 1", ()),
        ("G T", "/", ()),
        ("GET", "/", ((b"A", b"1\r\nB: 2"),)),
        ("GET", "/", ((b"A\n", b"1"),)),
        ("GET", "/", ((b"A", b"\0"),)),
        ("GET", "", ()),
    ):
        try:
            raise AssertionError(pools.request_head(method, target, headers, 0))
        except result.RequestError as refusal:
            assert refusal.result is result.ResultCode.MALFORMED and refusal.ran is result.Ran.NOT_RUN
    framed = ((b"Content-Length", b"9"), (b"Transfer-Encoding", b"chunked"), (b"A", b"1"))
    assert pools.request_head("PUT", "/", framed, 2) == b"PUT / HTTP/1.1\r\nA: 1\r\nContent-Length: 2\r\n\r\n"


def test_chunks_in_any_pieces_make_the_body():
    raw = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
        b"3\r\nabc\r\n0A;x=y\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n"
    )
    for size in (1, 2, 3, 7, 50, 1000):
        pieces = [raw[place : place + size] for place in range(0, len(raw), size)]

        async def scenario(harness):
            for _ in range(2):
                assert await harness.fetch() == (200, b"abc0123456789")

        assert len(run_scenario(lambda connection, number: pieces, scenario).received) == 1, size


def test_parts_come_as_they_are_sent():
    async def scenario(harness):
        response = await harness.pool.request(WORKER, "GET", "/", HEADERS, b"", clock.now() + clock.seconds(9), 8)
        came = [(part, harness.loop.time()) async for part in response.parts()]
        await response.close(True)
        assert [part for part, _ in came] == [b"ab", b"cd"] and came[1][1] - came[0][1] >= 0.9

    run_scenario(
        lambda connection, number: [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            1.0,
            b"2\r\ncd\r\n0\r\n\r\n",
        ],
        scenario,
    )


def test_answers_without_a_body_leave_the_connection_sound():
    async def scenario(harness):
        assert await harness.fetch("HEAD") == (200, b"")
        assert await harness.fetch() == (204, b"")
        assert await harness.fetch() == (304, b"")
        assert await harness.fetch() == (200, b"ok")

    answers = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n",
        OK % b"1",
    ]
    assert len(run_scenario(lambda connection, number: [answers[number]], scenario).received) == 1


def test_interim_answers_are_passed_over_but_not_for_ever():
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"

    async def sound(harness):
        assert await harness.fetch() == (200, b"ok")

    async def endless(harness):
        assert await harness.refused() == BROKEN

    run_scenario(lambda connection, number: [interim * 3 + OK % b"1"], sound)
    run_scenario(lambda connection, number: [interim * 30 + OK % b"1"], endless)
    run_scenario(lambda connection, number: [b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + OK % b"1"], endless)


def test_what_is_no_whole_answer_is_broken_and_its_connection_closed():
    sound = b"HTTP/1.1 200 OK\r\n"
    broken = [
        b"\x00\x01\x02garbage",
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/2 200\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\nContent-Length: 2\n\nok\r\n\r\n",
        sound + b"\r\nok",
        sound + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        sound + b"Content-Length: -2\r\n\r\nok",
        sound + b"Content-Length: 2, 2\r\n\r\nok",
        sound + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        sound + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        sound + b"Transfer-Encoding: identity\r\n\r\n",
        sound + b"A: 1\r\n folded: 2\r\nContent-Length: 2\r\n\r\nok",
        sound + b"A : 1\r\nContent-Length: 2\r\n\r\nok",
        sound + b"A: 1\rB: 2\r\nContent-Length: 2\r\n\r\nok",
        sound + b"Content-Length: 2\0\r\n\r\nok",
        sound + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        sound + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n",
        sound + b"Transfer-Encoding: chunked\r\n\r\n2\r\nokk\r\n0\r\n\r\n",
        sound + b"Transfer-Encoding: chunked\r\n\r\n0\r\nno trailer\r\n\r\n",
        sound + b"Transfer-Encoding: chunked\r\n\r\n" + b"1" * 5000,
        sound + b"A: " + b"x" * 70000,
        sound + b"Content-Length: 99999999999\r\n\r\n",
    ]
    cut = [
        b"HTTP/1.1 200 O",
        sound + b"Content-Length: 2\r\n\r\no",
        sound + b"Content-Length: 2\r\n",
        sound + b"Transfer-Encoding: chunked\r\n\r\n5\r\nab",
        sound + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        sound + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n",
    ]
    for parts in [[raw] for raw in broken] + [[raw, None] for raw in cut]:

        async def scenario(harness):
            assert await harness.refused() == BROKEN, parts
            assert harness.pool.open_count == 0 and not harness.pool.idle_connections
            assert await harness.fetch() == (200, b"ok")

        harness = run_scenario(lambda connection, number: parts if connection == 0 else [OK % b"1"], scenario)
        assert len(harness.received) == 2 and harness.counts["worker answers broken"] == 1, parts


def test_a_stream_that_is_cut_raises_after_its_parts():
    async def scenario(harness):
        response = await harness.pool.request(WORKER, "GET", "/", HEADERS, b"", clock.now() + clock.seconds(9), 8)
        came = []
        try:
            async for part in response.parts():
                came.append(part)
            raise AssertionError("looked complete")
        except result.RequestError as refusal:
            assert (refusal.result, refusal.ran) == BROKEN
        assert came == [b"ab"] and harness.pool.open_count == 0, "closed at once, even if the caller does not close it"
        await response.close(True)
        assert harness.pool.open_count == 0

    run_scenario(
        lambda connection, number: [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            None,
        ],
        scenario,
    )


def test_a_connection_that_ends_before_any_answer_leaves_it_unknown_whether_the_request_ran():
    async def scenario(harness):
        assert await harness.refused() == LOST
        assert await harness.fetch() == (200, b"ok")
        assert await harness.refused() == LOST

    harness = run_scenario(
        lambda connection, number: [OK % b"1"] if (connection, number) == (1, 0) else [None], scenario
    )
    assert [len(one) for one in harness.received] == [1, 2], "sent once each"


def test_surplus_bytes_are_never_taken_for_the_next_answer():
    async def scenario(harness):
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(0.5)
        assert await harness.fetch() == (200, b"ok")

    for surplus in (OK % b"0", b"\r\n", b"x"):
        harness = run_scenario(lambda connection, number: [OK % b"1" + surplus], scenario)
        assert len(harness.received) == 2 and harness.counts["worker bytes in excess"] == 2
        harness = run_scenario(lambda connection, number: [OK % b"1", 0.1, surplus], scenario)
        assert len(harness.received) == 2, "surplus that came on an idle connection"


def test_an_answer_in_the_place_of_the_next_is_told_apart_and_closes_the_connection():
    def accepts(status, headers):
        return dict(headers).get(b"X-Test-Call") == b"1"

    async def scenario(harness):
        assert await harness.fetch(accepts=accepts) == (200, b"ok")
        assert await harness.refused(accepts=accepts) == BROKEN
        assert await harness.fetch(accepts=accepts) == (200, b"ok")
        assert harness.counts["worker answers in excess"] == 1

    harness = run_scenario(
        lambda connection, number: [OK % (b"0" if (connection, number) == (0, 1) else b"1")], scenario
    )
    assert [len(one) for one in harness.received] == [2, 1]


def test_connections_that_are_to_close_are_not_used_again():
    for header in (
        b"Connection: close",
        b"connection: Keep-Alive, CLOSE",
        b"Connection: a\r\nConnection: close",
        b"Keep-Alive: timeout=0",
    ):

        async def scenario(harness):
            for _ in range(2):
                assert await harness.fetch() == (200, b"ok")

        answer = b"HTTP/1.1 200 OK\r\n" + header + b"\r\nContent-Length: 2\r\n\r\nok"
        assert len(run_scenario(lambda connection, number: [answer], scenario).received) == 2, header


def test_idle_connections_are_retired_before_the_worker_closes_them():
    for header, pause, expected_connections in (
        (b"timeout=5, max=9", 3.9, 1),
        (b"timeout=5", 4.1, 2),
        (b"Timeout=2", 0.9, 1),
        (b"timeout=2", 1.1, 2),
        (b"timeout=1", 0.4, 1),
        (b"timeout=1", 0.6, 2),
        (b"none", 3.9, 1),
        (b"none", 4.1, 2),
    ):
        for runs_sweep in (False, True):

            async def scenario(harness):
                assert await harness.fetch() == (200, b"ok")
                sweep_task = asyncio.ensure_future(harness.pool.run()) if runs_sweep else None
                await asyncio.sleep(pause)
                assert await harness.fetch() == (200, b"ok")
                if sweep_task is not None:
                    sweep_task.cancel()

            answer = b"HTTP/1.1 200 OK\r\nKeep-Alive: " + header + b"\r\nContent-Length: 2\r\n\r\nok"
            assert len(run_scenario(lambda connection, number: [answer], scenario).received) == expected_connections, (
                header,
                pause,
                runs_sweep,
            )


def test_a_connection_closed_while_idle_is_not_used_and_is_swept():
    async def scenario(harness):
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(0.5)
        harness.pool.close_expired()
        assert harness.pool.open_count == 0
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(0.5)
        assert await harness.fetch() == (200, b"ok")

    assert len(run_scenario(lambda connection, number: [OK % b"1", 0.1, None], scenario).received) == 3


def test_a_worker_that_closes_idle_connections_early_without_saying_so_is_learnt():
    async def scenario(harness):
        running = asyncio.ensure_future(harness.pool.run())
        for _ in range(2):
            assert await harness.fetch() == (200, b"ok")
            await asyncio.sleep(3)
        assert harness.counts["worker connections closed while idle"] == 1
        assert harness.counts["worker connections retired"] == 2
        running.cancel()

    run_scenario(lambda connection, number: [OK % b"1", 0.8, None], scenario)


def test_a_dead_or_silent_address_says_that_nothing_ran_within_half_a_second():
    async def scenario(harness):
        harness.wire.listeners.pop(WORKER)
        assert await harness.refused() == NOT_CONNECTED
        harness.wire.cut(["edge"], ["worker"])
        began = harness.loop.time()
        assert await harness.refused() == NOT_CONNECTED
        assert 0.4 < harness.loop.time() - began < 0.6
        began = harness.loop.time()
        assert await harness.refused(within=0.2) == (result.ResultCode.DEADLINE, result.Ran.NOT_RUN)
        assert harness.loop.time() - began < 0.25
        assert await harness.refused(within=-1) == (result.ResultCode.DEADLINE, result.Ran.NOT_RUN)
        assert harness.pool.open_count == 0 and not harness.pool.open_by_address

    run_scenario(lambda connection, number: [OK % b"1"], scenario)


def test_a_connection_that_breaks_as_it_comes_up_says_that_nothing_ran():
    async def scenario(harness):
        connect = harness.pool.environment.network.connect

        def broken(silence):
            raise OSError("bad descriptor")

        async def breaking(address):
            channel = await connect(address)
            channel.watch = broken
            made.append(channel)
            return channel

        made = []
        harness.pool.environment.network.connect = breaking
        assert await harness.refused() == NOT_CONNECTED
        await asyncio.sleep(0.1)
        assert harness.pool.open_count == 0 and harness.received == [[]] and not made[0].quiet()

    run_scenario(lambda connection, number: [OK % b"1"], scenario)


def test_silence_ends_at_the_deadline_only_in_head_and_body():
    async def scenario(harness):
        for _ in range(2):
            began = harness.loop.time()
            assert await harness.refused(within=1.5) == DEADLINE_PASSED
            assert abs(harness.loop.time() - began - 1.5) < 0.01
            assert harness.pool.open_count == 0

    harness = run_scenario(
        lambda connection, number: [] if connection == 0 else [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"],
        scenario,
    )
    assert len(harness.received) == 2 and not harness.counts["worker answers broken"]


def test_a_caller_that_goes_away_closes_the_connection():
    async def scenario(harness):
        for pause in (0.0002, 0.1):
            request_task = asyncio.ensure_future(harness.fetch())
            await asyncio.sleep(pause)
            request_task.cancel()
            await asyncio.wait([request_task])
            assert request_task.cancelled() and harness.pool.open_count == 0 and not harness.pool.open_by_address

    run_scenario(lambda connection, number: [1.0, OK % b"1"], scenario)


def test_an_answer_left_unread_is_not_followed_by_another():
    async def scenario(harness):
        response = await harness.pool.request(WORKER, "GET", "/", HEADERS, b"", clock.now() + clock.seconds(9), 8)
        await response.close(True)
        await response.close(True)
        assert harness.pool.open_count == 0
        assert await harness.fetch() == (200, b"ok")
        response = await harness.pool.request(WORKER, "GET", "/", HEADERS, b"", clock.now() + clock.seconds(9), 8)
        await response.read()
        await response.close(False)
        assert harness.pool.open_count == 0

    assert len(run_scenario(lambda connection, number: [OK % b"1"], scenario).received) == 2
    slow = [(OK % b"1")[:-2], 0.2, b"ok"]
    assert (
        len(run_scenario(lambda connection, number: slow if connection == 0 else [OK % b"1"], scenario).received) == 2
    )


def test_where_idle_connections_are_found_dead_they_are_kept_for_a_shorter_time_for_a_while():
    async def scenario(harness):
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(2)
        try:
            raise AssertionError(await harness.fetch())
        except pools.ConnectionLostError as lost:
            assert lost.reused
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(0.8)
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(1.2)
        assert await harness.fetch() == (200, b"ok")
        assert [len(one) for one in harness.received] == [2, 2, 1], "idle for a second at most"
        await asyncio.sleep(31)
        assert await harness.fetch() == (200, b"ok")
        await asyncio.sleep(3)
        assert await harness.fetch() == (200, b"ok")
        assert [len(one) for one in harness.received] == [2, 2, 1, 2]

    run_scenario(lambda connection, number: [None] if (connection, number) == (0, 1) else [OK % b"1"], scenario)


def test_connections_are_bounded_by_address_and_by_all():
    async def scenario(harness):
        harness.pool.max_open = 3
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(harness.fetch(max_connections=2)) for _ in range(2)]
            await asyncio.sleep(0.1)
            assert await harness.refused(max_connections=2) == NO_FREE_CONNECTION
        assert [task.result() for task in tasks] == [(200, b"ok")] * 2
        accepted = await wire.SimNetwork(harness.wire, "worker").listen("other:80")
        response = asyncio.ensure_future(
            harness.pool.request("other:80", "GET", "/", HEADERS, b"", clock.now() + clock.seconds(9), 8)
        )
        await accepted.get()
        harness.wire.listeners["third:80"] = harness.wire.listeners["other:80"]
        more = asyncio.ensure_future(
            harness.pool.request("third:80", "GET", "/", HEADERS, b"", clock.now() + clock.seconds(9), 8)
        )
        await accepted.get()
        assert harness.pool.open_count == 3 and harness.pool.open_by_address[WORKER] == 1, (
            "an idle connection was closed to make room"
        )
        response.cancel()
        more.cancel()

    run_scenario(lambda connection, number: [0.5, OK % b"1"], scenario)


def test_the_connection_used_last_is_used_first():
    async def scenario(harness):
        await asyncio.gather(*[harness.fetch() for _ in range(3)])
        for _ in range(4):
            await harness.fetch()

    harness = run_scenario(lambda connection, number: [0.01 * connection, OK % b"1"], scenario)
    assert sorted(len(one) for one in harness.received) == [1, 1, 5]


def test_all_faults_at_once_never_mix_answers_nor_leak_connections():
    for seed in range(40):
        randomness = random.Random(seed)

        def script(connection, number):
            call_id = harness.received[connection][number].split(b"X-Test-Call: ")[1].split(b"\r\n")[0]
            whole = (
                b"HTTP/1.1 200 OK\r\nX-Test-Call: "
                + call_id
                + b"\r\nContent-Length: %d\r\n\r\n" % len(call_id)
                + call_id
            )
            draw = randomness.random()
            if draw < 0.1:
                return [whole[: randomness.randrange(len(whole))], None]
            if draw < 0.2:
                return [whole, randomness.choice([0.0, 0.01, 0.3]), OK % b"0"]
            if draw < 0.3:
                return [OK % b"0", whole]
            if draw < 0.4:
                return [randomness.choice([0.2, 3.0]), whole]
            if draw < 0.5:
                return [whole, randomness.choice([0.0, 0.001, 0.3]), None]
            place = randomness.randrange(len(whole))
            return [whole[:place], 0.001, whole[place:]]

        async def one(number):
            call_id = b"%d" % number
            headers = ((b"Host", b"h"), (b"X-Test-Call", call_id))
            try:
                response = await harness.pool.request(
                    WORKER,
                    "GET",
                    "/",
                    headers,
                    b"",
                    clock.now() + clock.seconds(1),
                    6,
                    lambda status, found: dict(found)[b"X-Test-Call"] == call_id,
                )
            except result.RequestError as refusal:
                outcomes[refusal.result] += 1
                return
            try:
                assert await response.read() == call_id
                outcomes[result.ResultCode.DONE] += 1
            except result.RequestError as refusal:
                outcomes[refusal.result] += 1
            finally:
                await response.close(True)

        async def scenario(harness):
            running = asyncio.ensure_future(harness.pool.run())
            async with asyncio.TaskGroup() as group:
                for number in range(150):
                    task = group.create_task(one(number + 1))
                    if randomness.random() < 0.05:
                        task.cancel()
                    await asyncio.sleep(randomness.expovariate(30))
            await asyncio.sleep(8)
            assert (
                harness.pool.open_count == 0 and not harness.pool.open_by_address and not harness.pool.idle_connections
            )
            running.cancel()

        outcomes = collections.Counter()
        harness = PoolHarness(script, seed)
        harness.script = script
        holder = harness

        async def whole_scenario():
            serving = asyncio.ensure_future(holder.serve())
            await asyncio.sleep(0.01)
            await scenario(holder)
            serving.cancel()

        harness.loop.run_until_complete(whole_scenario())
        harness.loop.bury()
        assert outcomes[result.ResultCode.DONE] > 70, outcomes
        sent = [raw for requests in harness.received for raw in requests]
        assert len(sent) == len(set(sent)), "a request was sent twice"


def test_a_connection_that_comes_up_after_the_end_of_the_time_carries_nothing():
    async def scenario(harness):
        connect_in_time = harness.pool.environment.network.connect

        async def connect(address):
            channel = await connect_in_time(address)
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(1.0)
            return channel

        harness.pool.environment.network.connect = connect
        assert await harness.refused(within=0.4) == (result.ResultCode.DEADLINE, result.Ran.NOT_RUN)
        await asyncio.sleep(1)
        assert harness.pool.open_count == 0

    assert not any(run_scenario(lambda connection, number: [OK % b"1"], scenario).received)


# -- on loopback -----------------------------------------------------------------------------------


def on_loopback(handler: collections.abc.Callable, scenario: collections.abc.Callable) -> collections.Counter:
    """Run a scenario with a worker on a real socket: ``handler(reader, writer)`` and ``scenario(pool, address)``."""
    counts = collections.Counter()

    async def whole_scenario():
        server = await asyncio.start_server(handler, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = pools.Pool(environment.machine(), counts)
        await scenario(pool, address)
        await pool.close()
        server.close()

    asyncio.run(whole_scenario())
    return counts


async def fetch(pool: pools.Pool, address: str, body: bytes = b"") -> bytes:
    """Send one request over loopback and return the body of the response."""
    response = await pool.request(address, "POST", "/", HEADERS, body, clock.now() + clock.seconds(20), 8)
    try:
        return await response.read()
    finally:
        await response.close(True)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection instead of closing it."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def test_resets_before_and_inside_an_answer_on_loopback():
    turns = iter(["at once", "sound", "before", "inside"])

    async def handler(reader, writer):
        turn = next(turns)
        while turn == "sound":
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK % b"1")
            turn = next(turns)
        if turn != "at once":
            await reader.readuntil(b"\r\n\r\n")
        if turn == "inside":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")
            await writer.drain()
        reset(writer)

    async def scenario(pool, address):
        async def refused():
            try:
                raise AssertionError(await fetch(pool, address))
            except result.RequestError as refusal:
                return refusal.result, refusal.ran

        assert await refused() == LOST
        assert await fetch(pool, address) == b"ok"
        assert await refused() == LOST
        assert await refused() in (BROKEN, LOST)

    on_loopback(handler, scenario)


def test_a_byte_in_the_machines_buffer_keeps_a_connection_from_use():
    writers = []

    async def handler(reader, writer):
        writers.append(writer)
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK % b"1")

    async def scenario(pool, address):
        for surplus in (lambda one: one.send(b"x"), lambda one: one.shutdown(socket.SHUT_WR)):
            assert await fetch(pool, address) == b"ok"
            raw_socket = writers[-1].get_extra_info("socket")
            with socket.socket(fileno=socket.dup(raw_socket.fileno())) as raw:
                surplus(raw)
            assert await fetch(pool, address) == b"ok"
        assert len(writers) == 3

    on_loopback(handler, scenario)


def test_an_answer_before_the_whole_body_was_read_still_comes():
    async def handler(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
        await writer.drain()
        await reader.readexactly(1)
        writer.close()

    async def scenario(pool, address):
        assert await fetch(pool, address, b"x" * (30 << 20)) == b"no"
        assert pool.open_count == 0, "a request that was not written whole leaves no connection"

    on_loopback(handler, scenario)


def test_large_bodies_pass_both_ways():
    body = random.Random(1).randbytes(5 << 20)

    async def handler(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            received_body = await reader.readexactly(size)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + received_body)

    async def scenario(pool, address):
        for _ in range(2):
            assert await fetch(pool, address, body) == body

    counts = on_loopback(handler, scenario)
    assert counts["worker connections"] == 1
