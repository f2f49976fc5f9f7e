"""Tests of ``aspencroft.configuration.http_route``; the index is compared with a check of all pairs of routes."""

import json
import random

from aspencroft.configuration import http_route, resources

VALID_ROUTE = {"host": "a.example", "prefix": "/a/", "targets": [{"service": "s"}]}


def test_each_fault_of_a_route_is_named_by_its_path():
    for change, path in (
        ({"timeout": 0}, "timeout"),
        ({"timeout": -1}, "timeout"),
        ({"timeout": True}, "timeout"),
        ({"timeout": "4"}, "timeout"),
        ({"targets": []}, "targets"),
        ({"targets": [{"service": "s", "weight": 0}]}, "targets"),
        ({"targets": [{"service": "s", "weight": 0}, {"service": "t", "weight": 0.0}]}, "targets"),
        ({"targets": [{"service": "s", "weight": 2}, {"service": "t", "weight": -1}]}, "targets/1/weight"),
        ({"targets": [{"weight": 1}]}, "targets/0"),
        ({"targets": "s"}, "targets"),
        ({"kind": "odd"}, "kind"),
        ({"prefix": "a/"}, "prefix"),
        ({"prefix": "/a"}, "prefix"),
        ({"prefix": ""}, "prefix"),
        ({"host": ""}, "host"),
        ({"host": "a b"}, "host"),
        ({"host": None}, "host"),
        ({"rank": -1}, "rank"),
        ({"attempts": 0}, "attempts"),
        ({"colour": 1}, ""),
        ({"retained": 1}, "retained"),
        ({"keep": -1}, "keep"),
        ({"aim": 1e300}, "aim"),
    ):
        found = http_route.faults(json.dumps({**VALID_ROUTE, **change}))
        assert [fault[0] for fault in found] == [path], (change, found)
        faults = resources.check(
            {"services": {"s": {"kind": "plain"}}, "http_routes": {"r": {**VALID_ROUTE, **change}}}
        )
        assert faults[0].path == f"http_routes/r/{path}".rstrip("/"), faults
    for text in ("", "[]", "null", "{", '{"host": 3}'):
        assert http_route.faults(text)
    for change in (
        {},
        {"prefix": "/"},
        {"targets": [{"service": "s", "weight": 0}, {"service": "t", "weight": 0.5}]},
        {"aim": 0},
    ):
        assert http_route.faults(json.dumps({**VALID_ROUTE, **change})) == []


def test_a_route_with_nothing_but_its_needs_is_taken_carefully():
    route = http_route.of("r", VALID_ROUTE)
    assert (
        route.kind == http_route.NON_IDEMPOTENT and route.attempts == 1 and not route.retained and not route.resumable
    )
    weighted = http_route.of(
        "r", {**VALID_ROUTE, "targets": [{"service": "s", "weight": 0}, {"service": "t", "weight": 9}]}
    )
    assert weighted.services() == ("t",)


def test_hosts_are_compared_without_port_and_case():
    for given, wanted in (
        ("A.Example:80", "a.example"),
        ("a.example", "a.example"),
        ("[::1]:80", "[::1]"),
        ("[::A]", "[::a]"),
        ("", ""),
    ):
        assert http_route.normalize_host(given) == wanted


def has_faults_by_pairs(routes: dict, services: set) -> bool:
    """Whether routes have faults, found by comparing each pair of them.

    Example: ``has_faults_by_pairs({}, set()) is False``
    """
    specs = list(routes.values())
    share_location = any(
        http_route.location_and_services(specs[one])[0] == http_route.location_and_services(specs[other])[0]
        for one in range(len(specs))
        for other in range(one)
    )
    return share_location or any(target["service"] not in services for spec in specs for target in spec["targets"])


def test_the_index_sees_just_the_faults_that_a_look_at_all_routes_sees():
    counts = {True: 0, False: 0}
    for seed in range(300):
        rng = random.Random(seed)
        index, routes, services = http_route.Index(), {}, {"s", "t", "u"}
        for _ in range(12):
            put = {
                rng.choice("abcde"): {
                    "host": rng.choice(("h", "H", "g")),
                    "prefix": rng.choice(("/", "/x/")),
                    "targets": [{"service": rng.choice("stuv")} for _ in range(rng.randint(1, 2))],
                }
                for _ in range(rng.randrange(3))
            }
            dropped = {name for name in "abcde" if name not in put and rng.random() < 0.15}
            new_services = {one for one in "stu" if rng.random() < (0.95 if one in services else 0.5)}
            new_routes = {name: spec for name, spec in {**routes, **put}.items() if name not in dropped}
            is_faulty = has_faults_by_pairs(new_routes, new_services)
            assert bool(index.faults(put, dropped, new_services.__contains__, services - new_services)) == is_faulty, (
                seed,
                routes,
                put,
                dropped,
            )
            counts[is_faulty] += 1
            if not is_faulty:
                for name in dropped:
                    index.drop(name)
                for name, spec in put.items():
                    index.put(name, spec)
                routes, services = new_routes, new_services
                rebuilt_index = http_route.Index()
                for name, spec in routes.items():
                    rebuilt_index.put(name, spec)
                assert (rebuilt_index.places, rebuilt_index.routes, rebuilt_index.uses) == (
                    index.places,
                    index.routes,
                    index.uses,
                )
    assert min(counts.values()) > 500, counts
