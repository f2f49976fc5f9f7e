"""Tests of ``aspencroft.configuration.route_table``, against a linear search and for the cost of a lookup."""

import random

from aspencroft.configuration import http_route, resources, route_table

PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/", "//", "/a//")
PATHS = (
    "/",
    "/a",
    "/a/",
    "/a/b",
    "/a/b/",
    "/a/b/c/d/e",
    "/ab/c",
    "/abc",
    "//x",
    "/a//y",
    "",
    "a/",
    "*",
    "/b/a/b/",
    "/%61/b",
)


def match_by_linear_search(routes: dict, host: str, path: str):
    """Return the route with the longest matching prefix by a linear search over the host's routes.

    Example: ``match_by_linear_search({}, "h", "/") is None``
    """
    matching = [
        route
        for route in routes.values()
        if http_route.normalize_host(route.host) == http_route.normalize_host(host) and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


def spec(host: str, prefix: str, service: str) -> dict:
    """Return the specification of a route."""
    return {"host": host, "prefix": prefix, "targets": [{"service": service}]}


def test_changed_step_by_step_it_finds_what_a_look_at_all_routes_finds():
    match_count = 0
    for seed in range(150):
        rng = random.Random(seed)
        document: dict = {"http_routes": {}}
        typed = resources.of(document)
        for step in range(12):
            previous = typed, dict(document["http_routes"])
            patch: dict = {name: None for name in document["http_routes"] if rng.random() < 0.2}
            new_routes = {name: one for name, one in document["http_routes"].items() if name not in patch}
            for number in range(rng.randrange(4)):
                host, prefix = rng.choice(("h", "H2", "g:80")), rng.choice(PREFIXES)
                if all((one["host"], one["prefix"]) != (host, prefix) for one in new_routes.values()):
                    name = rng.choice((f"r{step}-{number}", *[one for one in new_routes if rng.random() < 0.3]))
                    new_routes[name] = patch[name] = spec(host, prefix, rng.choice("st"))
            document = {"http_routes": new_routes}
            typed = resources.with_patch(typed, document, {"http_routes": patch}, step)
            for configuration, routes in (previous, (typed, new_routes)):
                assert configuration.http_routes == {name: http_route.of(name, one) for name, one in routes.items()}
                for host in ("h", "H:1", "h2", "g", "G:80", "x", ""):
                    for path in PATHS:
                        expected = match_by_linear_search(configuration.http_routes, host, path)
                        assert configuration.route_table.match(host, path) is expected, (seed, host, path)
                        match_count += expected is not None
            rebuilt = resources.of(document, step)
            assert {host: one.routes for host, one in rebuilt.route_table.hosts.items()} == {
                host: one.routes for host, one in typed.route_table.hosts.items()
            }
    assert match_count > 10_000


def test_a_path_of_many_slashes_is_cut_no_oftener_than_the_deepest_prefix_is_deep():
    class Counted(str):
        cuts = 0

        def __getitem__(self, key):
            Counted.cuts += 1
            return str.__getitem__(self, key)

    table = route_table.EMPTY.changed(
        (), (http_route.of("a", spec("h", "/a/b/", "s")), http_route.of("b", spec("h", "/", "s")))
    )
    assert table.match("h", Counted("/" * 100_000)).name == "b" and Counted.cuts <= 4


def test_only_the_hosts_that_a_change_touches_are_made_anew():
    routes = [
        http_route.of(f"{host}{number}", spec(host, f"/{number}/", "s")) for host in "abc" for number in range(50)
    ]
    table = route_table.EMPTY.changed((), routes)
    changed = table.changed(routes[:1], ())
    assert changed.hosts["b"] is table.hosts["b"] and len(table.hosts["a"].routes) == 50
    assert len(changed.hosts["a"].routes) == 49
