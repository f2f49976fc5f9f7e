"""The route table: which route a request belongs to, by host and longest prefix."""

import collections.abc
import dataclasses

from aspencroft.configuration import http_route


@dataclasses.dataclass(frozen=True, slots=True)
class Prefixes:
    """The routes of one host by prefix; no prefix holds more slashes than ``deepest``."""

    routes: dict[str, http_route.HttpRoute]
    deepest: int


class RouteTable:
    """Routes by host and prefix, never changed once made; a change gives another table that shares most with it."""

    __slots__ = ("hosts",)

    def __init__(self, hosts: dict[str, Prefixes]):
        self.hosts = hosts

    def match(self, host: str, path: str) -> http_route.HttpRoute | None:
        """The route with the longest prefix that begins the path, among those of the host; none: no such route.

        The host is compared without its port and without regard to case; the path is without its query. The
        cost follows the slashes of the host's deepest prefix, not the number of routes.
        """
        held = self.hosts.get(http_route.bare(host))
        if held is None or not path.startswith("/"):
            return None
        ends: list[int] = []
        place = 0
        while place >= 0 and len(ends) < held.deepest:
            ends.append(place + 1)
            place = path.find("/", place + 1)
        for end in reversed(ends):
            route = held.routes.get(path[:end])
            if route is not None:
                return route
        return None

    def changed(
        self,
        gone: collections.abc.Iterable[http_route.HttpRoute],
        come: collections.abc.Iterable[http_route.HttpRoute],
    ) -> "RouteTable":
        """The table without some routes and with others; only the hosts that they belong to are made anew."""
        hosts, fresh = dict(self.hosts), {}

        def routes_of(host: str) -> dict[str, http_route.HttpRoute]:
            if host not in fresh:
                fresh[host] = dict(hosts[host].routes) if host in hosts else {}
            return fresh[host]

        for one in gone:
            routes_of(http_route.bare(one.host)).pop(one.prefix, None)
        deepest: dict[str, int] = {}
        for one in come:
            host = http_route.bare(one.host)
            routes_of(host)[one.prefix] = one
            deepest[host] = max(deepest.get(host, 0), one.prefix.count("/"))
        for host, routes in fresh.items():
            if routes:
                held = hosts[host].deepest if host in hosts else 0
                hosts[host] = Prefixes(routes, max(held, deepest.get(host, 0)))
            else:
                hosts.pop(host, None)
        return RouteTable(hosts)


EMPTY = RouteTable({})
