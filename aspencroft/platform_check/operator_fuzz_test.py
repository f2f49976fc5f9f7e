"""Fuzzing of the control point: damaged orders, drain calls and conditions get a clear refusal and change nothing."""

import asyncio
import copy
import dataclasses
import random

import hypothesis
from hypothesis import strategies

import aspencroft.platform_check.configuration_test as documents
from aspencroft.platform_check import operators
from aspencroft.runtime import clock
from aspencroft.simulation import simulated_cluster, wire

import operator_api

SIZE = simulated_cluster.Size(edges=2, storages=2, cores=3, apart=True)
FIRST_VERSION = 5
CALLS_EACH = 25
CLEAR_REFUSALS = (400, 404, 405, 409, 412, 413)
RETIRE = "/api/retire/"
EXTREME_BODIES = (
    b"[" * 100_000,
    b'{"deadline-s":' * 50_000,
    b"9" * 50_000,
    b'{"config-revision": 1e999}',
    b"[]",
    b"7",
    b"null",
)

scalars = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**70), 2**70),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=20),
)
values = strategies.recursive(
    scalars,
    lambda inner: strategies.lists(inner, max_size=4) | strategies.dictionaries(strategies.text(max_size=8), inner),
    max_leaves=8,
)
conditions = strategies.sampled_from(("5", '"5"', "0", "4", "-1", "x", "", "5" * 40, "5, 6", "*", "W/"))
names = strategies.sampled_from(("storage-1", "edge-1", "core-1", "nobody", "%00", "a/b", "..", "%ff", "x" * 3000))


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of an operator: method, path, body, the ``If-Match`` header."""

    method: str
    path: str
    body: bytes
    condition: str


@strategies.composite
def damaged_documents(draw) -> dict:
    """A configuration or a change in which one field, found by a walk from the top, holds any JSON value."""
    whole = draw(strategies.booleans())
    document: dict = (
        documents.sample(9) if whole else {"config-revision": 9, "upsert-items": {"route-list": [documents.TURNS]}}
    )
    document = copy.deepcopy(document)
    place: dict | list = document
    while True:
        keys = sorted(place) if isinstance(place, dict) else list(range(len(place)))
        key = draw(strategies.sampled_from(keys))
        deeper = place[key]
        if not isinstance(deeper, dict | list) or not deeper or draw(strategies.booleans()):
            break
        place = deeper
    place[key] = draw(values)
    return document


@strategies.composite
def bodies(draw) -> bytes:
    """A damaged document, in part cut off or with a byte changed, or any bytes."""
    if draw(strategies.integers(0, 4)) == 0:
        return draw(strategies.binary(max_size=60))
    raw = bytearray(documents.raw(draw(damaged_documents())))
    match draw(strategies.sampled_from(("whole", "whole", "cut", "changed"))):
        case "cut":
            return bytes(raw[: draw(strategies.integers(0, len(raw) - 1))])
        case "changed":
            raw[draw(strategies.integers(0, len(raw) - 1))] = draw(strategies.integers(0, 255))
    return bytes(raw)


orders = strategies.builds(
    Call,
    strategies.sampled_from(("PUT", "PATCH")),
    strategies.just(operator_api.CONFIGURATION_PATH),
    bodies(),
    conditions,
)
drain_deadlines = strategies.one_of(
    strategies.binary(max_size=20),
    values.map(documents.raw),
    strategies.builds(lambda given: documents.raw({"deadline-s": given}), values),
)
drain_calls = strategies.builds(
    Call,
    strategies.sampled_from(("POST", "GET", "PUT")),
    names.map(RETIRE.__add__),
    drain_deadlines,
    conditions,
)


@hypothesis.settings(max_examples=15, deadline=None, derandomize=True, database=None)
@hypothesis.given(calls=strategies.lists(strategies.one_of(orders, drain_calls), min_size=1, max_size=CALLS_EACH))
def test_each_damaged_call_has_a_clear_answer_and_a_refused_one_changes_nothing(calls: list[Call]):
    played_calls(calls)


def test_an_extreme_body_is_refused():
    ways = (
        ("PUT", operator_api.CONFIGURATION_PATH),
        ("PATCH", operator_api.CONFIGURATION_PATH),
        ("POST", RETIRE + "storage-1"),
    )
    played_calls([Call(method, path, body, "5") for method, path in ways for body in EXTREME_BODIES])


def played_calls(calls: list[Call]) -> None:
    """Make the calls of a formed fleet that holds a configuration, and judge each answer."""

    async def scenario(cluster: simulated_cluster.SimulatedCluster) -> None:
        await cluster.until(cluster.formed, 30, "formed")
        points = operators.ControlPoints(cluster, cluster.cores)
        points.serve()
        await asyncio.sleep(5)
        asking = operators.Operators(cluster, random.Random(0), points)
        first = documents.raw(documents.sample(FIRST_VERSION))
        response = await asking.call("PUT", operator_api.CONFIGURATION_PATH, first, {"If-Match": "0"})
        assert response.status_code == 200, response.text
        for call in calls:
            await judged(asking, call)

    played = simulated_cluster.play(
        77,
        scenario,
        size=SIZE,
        weather=wire.Weather(jitter=0.002),
        more={"confirm": clock.seconds(3), "currency": clock.seconds(4)},
    )
    assert played.ended == []


async def judged(asking: operators.Operators, call: Call) -> None:
    """One call: it is answered in JSON, refused clearly or taken, and what was refused left no trace."""
    before = (await asking.call("GET", operator_api.CONFIGURATION_PATH)).json()
    response = await asking.call(call.method, call.path, call.body, {"If-Match": call.condition})
    assert response is not None, ("silence", call)
    assert "json" in response.headers["content-type"], call
    response.json()
    assert response.status_code == 200 or response.status_code in CLEAR_REFUSALS, (response.text, call)
    after = (await asking.call("GET", operator_api.CONFIGURATION_PATH)).json()
    if response.status_code != 200 or call.path != operator_api.CONFIGURATION_PATH:
        assert documents.canonical(after) == documents.canonical(before), call
