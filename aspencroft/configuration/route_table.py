"""The route table, which finds the route of a request by its host and the longest matching path prefix."""

import collections.abc
import dataclasses

from aspencroft.configuration import http_route


@dataclasses.dataclass(frozen=True, slots=True)
class Prefixes:
    """The routes of one host by prefix; no prefix has more slashes than ``deepest``."""

    routes: dict[str, http_route.HttpRoute]
    deepest: int


class RouteTable:
    """An immutable table of routes by host and prefix; a changed copy shares the data of hosts that stay the same."""

    __slots__ = ("hosts",)

    def __init__(self, hosts: dict[str, Prefixes]):
        self.hosts = hosts

    def match(self, host: str, path: str) -> http_route.HttpRoute | None:
        """Return the host's route with the longest prefix of the path, or None if there is no such route.

        The host is compared without its port and ignoring case; the path must not include the query. The cost
        depends on the number of slashes in the host's deepest prefix, not on the number of routes.
        """
        prefixes = self.hosts.get(http_route.normalize_host(host))
        if prefixes is None or not path.startswith("/"):
            return None
        ends: list[int] = []
        position = 0
        while position >= 0 and len(ends) < prefixes.deepest:
            ends.append(position + 1)
            position = path.find("/", position + 1)
        for end in reversed(ends):
            route = prefixes.routes.get(path[:end])
            if route is not None:
                return route
        return None

    def changed(
        self,
        gone: collections.abc.Iterable[http_route.HttpRoute],
        come: collections.abc.Iterable[http_route.HttpRoute],
    ) -> "RouteTable":
        """Return a table with some routes removed and others added; only the affected hosts are rebuilt."""
        hosts, rebuilt = dict(self.hosts), {}

        def routes_of(host: str) -> dict[str, http_route.HttpRoute]:
            if host not in rebuilt:
                rebuilt[host] = dict(hosts[host].routes) if host in hosts else {}
            return rebuilt[host]

        for route in gone:
            routes_of(http_route.normalize_host(route.host)).pop(route.prefix, None)
        deepest: dict[str, int] = {}
        for route in come:
            host = http_route.normalize_host(route.host)
            routes_of(host)[route.prefix] = route
            deepest[host] = max(deepest.get(host, 0), route.prefix.count("/"))
        for host, routes in rebuilt.items():
            if routes:
                old_deepest = hosts[host].deepest if host in hosts else 0
                hosts[host] = Prefixes(routes, max(old_deepest, deepest.get(host, 0)))
            else:
                hosts.pop(host, None)
        return RouteTable(hosts)


EMPTY = RouteTable({})
