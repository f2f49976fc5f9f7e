"""What an edge knows of workers: the list, the keep plan, the quiet list, and what its own calls met."""

import collections
import datetime
import json

from aspencroft.gateway import selection
from aspencroft.node import node
from aspencroft.runtime import clock
from aspencroft.workers import worker

TROUBLE = clock.seconds(2)
CROWDED, MOST_CROWDED = clock.seconds(0.05), clock.seconds(0.8)
HELD_LIFE = clock.seconds(3)
MOST_HOMES = 20_000


class Sight:
    """An edge's knowledge of workers; nothing here is asked of a worker, all of it is met or heard."""

    def __init__(self, own: node.Node):
        self.node = own
        self.workers: tuple[worker.Worker, ...] = ()
        self.listed = False
        self.demand: collections.Counter = collections.Counter()
        self.troubled: dict[str, datetime.timedelta] = {}
        self.crowded: dict[str, tuple[datetime.timedelta, datetime.timedelta]] = {}
        self.homes: collections.OrderedDict[str, str] = collections.OrderedDict()
        self.tokened: dict[tuple[str, str], datetime.timedelta] = {}
        self.topics: dict[str, tuple[object, dict]] = {}

    def take_list(self, found: tuple[worker.Worker, ...]) -> None:
        """Take the platform's list; what is known of workers that are gone is dropped."""
        self.workers, self.listed = found, True
        names = {one.name for one in found}
        for known in (self.troubled, self.crowded):
            for name in [name for name in known if name not in names]:
                del known[name]
        for name in [name for name, count in self.demand.items() if name not in names and not count]:
            del self.demand[name]

    def topic(self, name: str) -> dict:
        """The newest state of a topic that the relay tree brought."""
        held = self.node.relay.topics.get(name)
        if held is None:
            return {}
        known, shown = self.topics.get(name, (None, {}))
        if known is not held:
            shown = json.loads(held.body)
            self.topics[name] = (held, shown)
        return shown

    def quiet(self) -> frozenset[str]:
        """Workers on the quiet list."""
        return frozenset(self.topic("quiet").get("workers", ()))

    def view(self) -> selection.View:
        """All of it at this moment."""
        now = clock.now()
        held: dict[str, set[str]] = collections.defaultdict(set)
        for name, kept in self.topic("keeps").get("workers", {}).items():
            held[name].update(one.partition(":")[2] for one in kept["ready"])
        for (name, service), end in list(self.tokened.items()):
            if end > now:
                held[name].add(service)
            else:
                del self.tokened[name, service]
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

    def barred(self, name: str) -> bool:
        """Whether a worker must get nothing new at this very moment: not listed any more, or leaving."""
        listed = [one for one in self.workers if one.name == name]
        return not listed or listed[0].leaving or name in self.node.relay.configuration.leaving

    def places(self, services: tuple[str, ...]) -> int:
        """The places of workers that offer one of some services."""
        return sum(one.places for one in self.workers if not one.leaving and set(services) & set(one.services))

    def failed(self, name: str) -> None:
        """A worker could not be reached, or was lost."""
        self.troubled[name] = clock.now() + TROUBLE

    def put_back(self, name: str) -> None:
        """A worker handed a call back: others fill it; it is left alone for a while, longer each time in a row."""
        _, before = self.crowded.get(name, (clock.ZERO, CROWDED / 2))
        span = min(2 * before, MOST_CROWDED)
        self.crowded[name] = (clock.now() + span, span)

    def first_token(self, name: str, service: str, program: str) -> None:
        """A first token shows that the worker has a place and the model, and makes it the program's home."""
        self.crowded.pop(name, None)
        self.tokened[name, service] = clock.now() + HELD_LIFE
        if program:
            self.homes.pop(program, None)
            self.homes[program] = name
            while len(self.homes) > MOST_HOMES:
                self.homes.popitem(last=False)
