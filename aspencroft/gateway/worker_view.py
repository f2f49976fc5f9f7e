"""What an edge knows about workers: the list, the keep plan, the list of sleeping workers, and its own calls."""

import collections
import datetime
import json

from aspencroft.gateway import selection
from aspencroft.node import node
from aspencroft.runtime import clock
from aspencroft.workers import worker

FAILURE_MEMORY = clock.seconds(2)
MIN_CROWDED_TIME, MAX_CROWDED_TIME = clock.seconds(0.05), clock.seconds(0.8)
LOADED_MEMORY = clock.seconds(3)
MAX_HOMES = 20_000


class WorkerView:
    """An edge's knowledge of workers, for which no worker is probed.

    It comes from the platform's list, from published topics and from the results of the edge's own calls.
    """

    def __init__(self, own: node.Node):
        self.node = own
        self.workers: tuple[worker.Worker, ...] = ()
        self.listed = False
        self.demand: collections.Counter = collections.Counter()
        self.troubled: dict[str, datetime.timedelta] = {}
        self.crowded: dict[str, tuple[datetime.timedelta, datetime.timedelta]] = {}
        self.homes: collections.OrderedDict[str, str] = collections.OrderedDict()
        self.seen_loaded: dict[tuple[str, str], datetime.timedelta] = {}
        self.topics: dict[str, tuple[object, dict]] = {}

    def take_list(self, found: tuple[worker.Worker, ...]) -> None:
        """Apply the platform's list, and forget what is known of workers that are gone."""
        self.workers, self.listed = found, True
        names = {one.name for one in found}
        for known in (self.troubled, self.crowded):
            for name in [name for name in known if name not in names]:
                del known[name]
        for name in [name for name, count in self.demand.items() if name not in names and not count]:
            del self.demand[name]

    def topic(self, name: str) -> dict:
        """Return the newest state of a topic from the relay tree."""
        held = self.node.relay.topics.get(name)
        if held is None:
            return {}
        known, shown = self.topics.get(name, (None, {}))
        if known is not held:
            shown = json.loads(held.body)
            self.topics[name] = (held, shown)
        return shown

    def quiet(self) -> frozenset[str]:
        """Return the workers on the published list of sleeping workers."""
        return frozenset(self.topic("quiet").get("workers", ()))

    def view(self) -> selection.View:
        """Return all knowledge at this moment."""
        now = clock.now()
        held: dict[str, set[str]] = collections.defaultdict(set)
        for name, kept in self.topic("keeps").get("workers", {}).items():
            held[name].update(one.partition(":")[2] for one in kept["ready"])
        for (name, service), end in list(self.seen_loaded.items()):
            if end > now:
                held[name].add(service)
            else:
                del self.seen_loaded[name, service]
        return selection.View(
            self.workers,
            self.node.relay.configuration.leaving,
            self.demand,
            frozenset(name for name, end in self.troubled.items() if end > now),
            frozenset(name for name, (end, _) in self.crowded.items() if end > now),
            {name: frozenset(services) for name, services in held.items()},
            self.homes,
            self.quiet(),
        )

    def is_excluded(self, name: str) -> bool:
        """Whether a worker must get no new calls now because it is no longer listed or is leaving."""
        listed = [one for one in self.workers if one.name == name]
        return not listed or listed[0].leaving or name in self.node.relay.configuration.leaving

    def capacity(self, services: tuple[str, ...]) -> int:
        """Return the number of concurrent calls that workers with one of these services can take."""
        return sum(one.places for one in self.workers if not one.leaving and set(services) & set(one.services))

    def failed(self, name: str) -> None:
        """Note that a worker could not be reached, or was lost."""
        self.troubled[name] = clock.now() + FAILURE_MEMORY

    def put_back(self, name: str) -> None:
        """Note that a worker returned a call because others fill it; back off, longer each consecutive time."""
        _, before = self.crowded.get(name, (clock.ZERO, MIN_CROWDED_TIME / 2))
        span = min(2 * before, MAX_CROWDED_TIME)
        self.crowded[name] = (clock.now() + span, span)

    def first_token(self, name: str, service: str, program: str) -> None:
        """Note a first token: the worker has free capacity and the model, and becomes the program's home."""
        self.crowded.pop(name, None)
        self.seen_loaded[name, service] = clock.now() + LOADED_MEMORY
        if program:
            self.homes.pop(program, None)
            self.homes[program] = name
            while len(self.homes) > MAX_HOMES:
                self.homes.popitem(last=False)
