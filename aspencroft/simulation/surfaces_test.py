"""Bad input at every surface: what back ends, the platform, callers, operators and peers may send."""

import asyncio
import datetime
import json
import random
import types
import typing

from aspencroft.simulation import faulty_list_server, guarantees, simulated_cluster, wire
from aspencroft.transport import codec, frame


def test_no_page_of_the_platform_or_a_back_end_ends_a_process_or_a_standing_task():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, chance = harness.cluster, random.Random(harness.cluster.seed)
        sound = dict(cluster.wire.pages)
        outside = ["platform:80", *(f"{worker.name}:80" for worker in cluster.world.workers())]
        liars = []
        for address in outside:
            owner, application = sound[address]
            liars.append(faulty_list_server.Liar(application, chance, 0.6))
            cluster.wire.pages[address] = (owner, liars[-1])
        for number in range(60):
            lane = ("shopper", "till-lock", "handset-alert")[number % 3]
            given = f"x calls stock now {number}" if lane == "shopper" else {"name": f"n{number}", "keyed": True}
            await harness.ask(
                cluster.edges[number % 2],
                lane,
                given,
                program=f"p{number}" if lane == "shopper" else "",
                operation="" if lane == "shopper" else f"n{number}",
            )
            await asyncio.sleep(0.1)
        assert sum(each.lies for each in liars) > 60 and cluster.ended == [], cluster.ended
        for name in cluster.names():
            assert cluster.nodes[name].status()["faults"]["standing tasks"] == {}, (
                name,
                cluster.nodes[name].status()["faults"],
            )
        counted = sum(sum(cluster.nodes[name].status()["faults"]["outside"].values()) for name in cluster.names())
        assert counted > 20, counted
        for address in outside:
            cluster.wire.pages[address] = sound[address]
        await asyncio.sleep(3)
        for number in range(12):
            noted = await harness.ask(cluster.edges[number % 2], "shopper", "x", program=f"after-{number}")
            assert noted.ran == "done", noted
        assert any(
            own.singleton_roles.get("residency") and own.singleton_roles["residency"].has_lease()
            for own in cluster.nodes.values()
        )

    for seed in (41, 42):
        guarantees.play(seed, scenario)


def test_nothing_that_a_caller_or_operator_sends_ends_a_process():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, client, chance = harness.cluster, harness.client, random.Random(harness.cluster.seed)
        ask = {
            "lane": "shopper",
            "input": "x",
            "program": "p",
            "helper": "",
            "after": 0,
            "operation": "o",
            "most": 5,
            "budget": 9,
            "tool": "stock",
        }
        write = {
            "services": {"a": {"kind": "plain", "size": 3, "startup": 1.0}},
            "lanes": {"b": {"kind": "turns", "services": ["a"], "deadline": 3, "keep": 3, "budget": 9}},
            "routes": {"c": {"lane": "b", "tool": "t", "services": ["a"]}},
            "workers": {"w": {"leaving": False}},
            "machines": {"storage-9:1": {"emptied": False}},
        }
        wrong = [
            ("POST", "/requests", json.dumps({**ask, name: value}).encode())
            for name in ask
            for value in ("\ud800", float("nan"), 10**40, [[]])
        ]
        wrong += [
            (
                "PATCH",
                "/plan",
                json.dumps({"lanes": {"x": {"kind": "turns", "services": ["clerk"], name: value}}}).encode(),
            )
            for name in ("deadline", "keep", "budget", "urgency")
            for value in (float("nan"), float("inf"), -1, 10**40)
        ]
        wrong += [
            (method, path, raw)
            for raw in faulty_list_server.RAW
            for method, path in (
                ("POST", "/requests"),
                ("PUT", "/plan"),
                ("PATCH", "/plan"),
                ("PUT", "/plan/lanes/x"),
            )
            if raw not in (b"{}",)
        ]
        wrong += [
            ("POST", "/requests", faulty_list_server.odd_bytes(json.dumps(ask).encode(), chance)) for _ in range(60)
        ]
        wrong += [
            ("PATCH", "/plan", faulty_list_server.odd_bytes(json.dumps(write).encode(), chance)) for _ in range(60)
        ]
        wrong += [
            ("GET", path, b"")
            for path in (
                "/plan?after=x.y",
                "/plan?watch=maybe",
                "/plan?watch=true&after=9",
                "/observed/x",
                "/requests/%00",
                "/plan/lanes/%FF",
            )
        ]
        for method, path, raw in wrong:
            response = await client.request(method, f"http://edge-{chance.randrange(2)}{path}", content=raw)
            if response.status_code >= 400:
                shown = response.json()["error"]
                assert isinstance(shown["result"], int) and shown["result"] != 1901, (
                    method,
                    path,
                    raw[:200],
                    shown,
                )
                assert shown["ran"] in ("not run", "unknown"), shown
            assert cluster.ended == [], (method, path, raw[:200], cluster.ended)
        await asyncio.sleep(2)
        assert cluster.ready()
        for name in cluster.names():
            assert cluster.nodes[name].status()["faults"]["standing tasks"] == {}
        assert (await harness.ask("edge-0", "till-lock", {"name": "k"}, operation="k")).ran == "done"

    for seed in (44,):
        guarantees.play(seed, scenario)


def test_no_record_on_a_link_ends_a_process():
    async def scenario(harness: guarantees.ClusterHarness) -> None:
        cluster, chance = harness.cluster, random.Random(harness.cluster.seed)
        outside = wire.SimNetwork(cluster.wire, simulated_cluster.OUTSIDE)
        for _ in range(250):
            number = chance.choice(sorted(codec.KINDS))
            body = bytes(chance.randrange(256) if chance.random() < 0.3 else 0 for _ in range(chance.randrange(90)))
            if chance.random() < 0.6:
                body = sample_bytes(codec.KINDS[number], chance)
            header = frame.HEADER.pack(
                len(body), number, frame.VERSION, chance.choice([frame.NOTIFICATION, frame.REQUEST]), 1, 0, 0
            )[:-4]
            channel = await outside.connect(f"{chance.choice(cluster.names())}:1")
            await channel.write(header + frame.CHECKSUM.pack(frame.checksum(header, body)) + body)
            await asyncio.sleep(0.01)
            channel.close()
        await asyncio.sleep(6)
        assert cluster.ended == [], cluster.ended
        for name in cluster.names():
            assert cluster.nodes[name].status()["faults"]["standing tasks"] == {}, name

    for seed in (46, 47):
        guarantees.play(seed, scenario)


def sample_bytes(shape: type, chance: random.Random) -> bytes:
    """The bytes of a record of a type, filled by chance; it means nothing but can be read."""
    into = bytearray()
    fill(shape, chance, into, 0)
    return bytes(into)


def fill(shape, chance: random.Random, into: bytearray, depth: int) -> None:
    """Append a value of a shape by chance."""
    origin = typing.get_origin(shape)
    if shape is int:
        codec.write(int, chance.choice([-1, 0, 1, 2, 7, 1 << 40, -(1 << 62)]), into)
    elif shape is datetime.timedelta:
        codec.write(int, chance.choice([-1, 0, 500_000, 86_400_000_000]), into)
    elif shape in (str, bytes):
        text = chance.choice(["", "x", "edge-0:1", "core-1:1", "residency", "{", "[]", "merge", "put"])
        codec.write(shape, text if shape is str else text.encode(), into)
    elif shape is float:
        codec.write(float, chance.choice([0.0, -1.5, float("nan")]), into)
    elif shape is bool:
        codec.write(bool, chance.random() < 0.5, into)
    elif origin is tuple:
        count = chance.randrange(3) if depth < 3 else 0
        into += codec.LENGTH.pack(count)
        for _ in range(count):
            fill(typing.get_args(shape)[0], chance, into, depth + 1)
    elif origin is types.UnionType:
        present = chance.random() < 0.5 and depth < 3
        into += codec.FLAG.pack(present)
        if present:
            fill(typing.get_args(shape)[0], chance, into, depth + 1)
    else:
        for _, inner in codec.field_types(shape):
            fill(inner, chance, into, depth + 1)
