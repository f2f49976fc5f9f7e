"""The route table against a look at all routes, and its cost."""

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


def slow_match(routes: dict, host: str, path: str):
    """The longest prefix that begins the path, among all routes of the host.

    Example: ``slow_match({}, "h", "/") is None``
    """
    found = [
        one
        for one in routes.values()
        if http_route.bare(one.host) == http_route.bare(host) and path.startswith(one.prefix)
    ]
    return max(found, key=lambda one: len(one.prefix), default=None)


def spec(host: str, prefix: str, service: str) -> dict:
    """A route's resource."""
    return {"host": host, "prefix": prefix, "targets": [{"service": service}]}


def test_changed_step_by_step_it_finds_what_a_look_at_all_routes_finds():
    found = 0
    for seed in range(150):
        chance = random.Random(seed)
        document: dict = {"http_routes": {}}
        typed = resources.of(document)
        for step in range(12):
            old = typed, dict(document["http_routes"])
            patch: dict = {name: None for name in document["http_routes"] if chance.random() < 0.2}
            fresh = {name: one for name, one in document["http_routes"].items() if name not in patch}
            for number in range(chance.randrange(4)):
                host, prefix = chance.choice(("h", "H2", "g:80")), chance.choice(PREFIXES)
                if all((one["host"], one["prefix"]) != (host, prefix) for one in fresh.values()):
                    name = chance.choice((f"r{step}-{number}", *[one for one in fresh if chance.random() < 0.3]))
                    fresh[name] = patch[name] = spec(host, prefix, chance.choice("st"))
            document = {"http_routes": fresh}
            typed = resources.after(typed, document, {"http_routes": patch}, step)
            for held, routes in (old, (typed, fresh)):
                assert held.http_routes == {name: http_route.of(name, one) for name, one in routes.items()}
                for host in ("h", "H:1", "h2", "g", "G:80", "x", ""):
                    for path in PATHS:
                        wanted = slow_match(held.http_routes, host, path)
                        assert held.route_table.match(host, path) is wanted, (seed, host, path)
                        found += wanted is not None
            whole = resources.of(document, step)
            assert {host: one.routes for host, one in whole.route_table.hosts.items()} == {
                host: one.routes for host, one in typed.route_table.hosts.items()
            }
    assert found > 10_000


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
