"""Tests of ``aspencroft.workers.adapter``."""

import asyncio
import collections
import collections.abc
import json

import httpx

from aspencroft.errors import result
from aspencroft.runtime import clock, environment
from aspencroft.workers import adapter, worker


def test_a_stream_that_is_cut_doubled_or_mixed_never_looks_complete():
    work = adapter.Work("id", "m", "p", "", 1, (), "x", 50, clock.seconds(5))
    target = worker.Worker("w", "http://w:80", worker.MODEL, ("m",), False, 1, 8)
    rows = [{"request": "id", "piece": number, "text": f"t{number}", "tokens": 1} for number in range(4)]
    rows.append({"request": "id", "end": True, "pieces": 4})
    invalid_streams = [rows[:cut] for cut in range(len(rows))] + [
        rows[:place] + rows[place + 1 :] for place in range(4)
    ]
    invalid_streams += [
        [rows[0], *rows],
        [*rows, rows[4]],
        [*rows, rows[0]],
        [{**rows[0], "request": "other"}, *rows[1:]],
        [*rows[:4], {**rows[4], "pieces": 3}],
        [{**rows[0], "tokens": 51}, *rows[1:]],
        [rows[1], rows[0], *rows[2:]],
    ]

    async def read(lines: list[dict]) -> list:
        body = b"".join(json.dumps(row).encode() + b"\n" for row in lines)
        host_environment = environment.Environment(
            None,
            None,
            lambda: httpx.MockTransport(lambda request: httpx.Response(200, content=body)),
            None,
            None,
        )
        return [event async for event in adapter.Adapter(host_environment, collections.Counter()).run(target, work)]

    async def scenario():
        assert (await read(rows))[-1] == adapter.End(4, 4, None)
        for lines in invalid_streams:
            try:
                await read(lines)
            except result.RequestError as refusal:
                assert refusal.ran is result.Ran.UNKNOWN, lines
                continue
            raise AssertionError(lines)

    asyncio.run(scenario())
