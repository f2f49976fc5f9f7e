"""HTTP routes: what is refused, and the index against a look at all routes."""

import json
import random

from aspencroft.configuration import http_route, resources

SOUND = {"host": "a.example", "prefix": "/a/", "targets": [{"service": "s"}]}


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
        found = http_route.faults(json.dumps({**SOUND, **change}))
        assert [one[0] for one in found] == [path], (change, found)
        faults = resources.check({"services": {"s": {"kind": "plain"}}, "http_routes": {"r": {**SOUND, **change}}})
        assert faults[0].path == f"http_routes/r/{path}".rstrip("/"), faults
    for text in ("", "[]", "null", "{", '{"host": 3}'):
        assert http_route.faults(text)
    for change in (
        {},
        {"prefix": "/"},
        {"targets": [{"service": "s", "weight": 0}, {"service": "t", "weight": 0.5}]},
        {"aim": 0},
    ):
        assert http_route.faults(json.dumps({**SOUND, **change})) == []


def test_a_route_with_nothing_but_its_needs_is_taken_carefully():
    one = http_route.of("r", SOUND)
    assert one.kind == http_route.NON_IDEMPOTENT and one.attempts == 1 and not one.retained and not one.resumable
    weighted = http_route.of("r", {**SOUND, "targets": [{"service": "s", "weight": 0}, {"service": "t", "weight": 9}]})
    assert weighted.services() == ("t",)


def test_hosts_are_compared_without_port_and_case():
    for given, wanted in (
        ("A.Example:80", "a.example"),
        ("a.example", "a.example"),
        ("[::1]:80", "[::1]"),
        ("[::A]", "[::a]"),
        ("", ""),
    ):
        assert http_route.bare(given) == wanted


def slow_faults(routes: dict, services: set) -> bool:
    """Whether routes disagree, by looking at each pair of them.

    Example: ``slow_faults({}, set()) is False``
    """
    rows = list(routes.values())
    same = any(
        http_route.outline(rows[one])[0] == http_route.outline(rows[other])[0]
        for one in range(len(rows))
        for other in range(one)
    )
    return same or any(target["service"] not in services for spec in rows for target in spec["targets"])


def test_the_index_sees_just_the_faults_that_a_look_at_all_routes_sees():
    seen = {True: 0, False: 0}
    for seed in range(300):
        chance = random.Random(seed)
        index, routes, services = http_route.Index(), {}, {"s", "t", "u"}
        for _ in range(12):
            put = {
                chance.choice("abcde"): {
                    "host": chance.choice(("h", "H", "g")),
                    "prefix": chance.choice(("/", "/x/")),
                    "targets": [{"service": chance.choice("stuv")} for _ in range(chance.randint(1, 2))],
                }
                for _ in range(chance.randrange(3))
            }
            dropped = {name for name in "abcde" if name not in put and chance.random() < 0.15}
            wanted = {one for one in "stu" if chance.random() < (0.95 if one in services else 0.5)}
            fresh = {name: spec for name, spec in {**routes, **put}.items() if name not in dropped}
            faulty = slow_faults(fresh, wanted)
            assert bool(index.faults(put, dropped, wanted.__contains__, services - wanted)) == faulty, (
                seed,
                routes,
                put,
                dropped,
            )
            seen[faulty] += 1
            if not faulty:
                for name in dropped:
                    index.drop(name)
                for name, spec in put.items():
                    index.put(name, spec)
                routes, services = fresh, wanted
                again = http_route.Index()
                for name, spec in routes.items():
                    again.put(name, spec)
                assert (again.places, again.routes, again.uses) == (index.places, index.routes, index.uses)
    assert min(seen.values()) > 500, seen
