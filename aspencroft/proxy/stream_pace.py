"""How slow workers are, learnt from the pace of the streams that they answer with.

Many edges share the workers and no worker need tell its load: what others send shows in how fast events follow one
another. An edge sees each worker rarely, so what it knows of one fades to what it knows of that worker's zone, and
that to the pace of an idle worker: what wasn't tried lately is worth a try.
"""

import collections
import dataclasses
import datetime
import math

from aspencroft.runtime import clock

LEAST_GAPS = 3
WORKER_MEMORY = clock.seconds(2)
ZONE_MEMORY = clock.seconds(4)
GAIN = 0.4
IDLE_GAIN_DOWN, IDLE_GAIN_UP = 0.2, 0.01
MOST_SLOWNESS = 8.0


@dataclasses.dataclass
class Estimate:
    """A fading mean of slowness: 1.0 is the pace of an idle worker."""

    value: float
    at: datetime.timedelta

    def weight(self, now: datetime.timedelta, memory: datetime.timedelta) -> float:
        """How much the estimate still counts, from 1 to 0."""
        return math.exp(-((now - self.at) / memory))

    def faded(self, now: datetime.timedelta, memory: datetime.timedelta, prior: float) -> float:
        """The estimate as it counts now, between its value and what is thought without it."""
        return prior + (self.value - prior) * self.weight(now, memory)


class ServicePace:
    """One service's pace: that of an idle worker in seconds an event, and the slowness of zones and workers."""

    def __init__(self):
        self.idle = 0.0
        self.zones: dict[str, Estimate] = {}
        self.workers: dict[str, Estimate] = {}

    def observe(self, name: str, zone: str, seconds_an_event: float, now: datetime.timedelta) -> None:
        """A worker's stream came at this pace."""
        if not self.idle:
            self.idle = seconds_an_event
        gain = IDLE_GAIN_DOWN if seconds_an_event < self.idle else IDLE_GAIN_UP
        self.idle += gain * (seconds_an_event - self.idle)
        slowness = min(MOST_SLOWNESS, seconds_an_event / self.idle)
        of_zone = self.of_zone(zone, now)
        of_worker = self.slowness(name, zone, now)
        self.zones[zone] = Estimate(of_zone + GAIN * (slowness - of_zone), now)
        self.workers[name] = Estimate(of_worker + GAIN * (slowness - of_worker), now)

    def of_zone(self, zone: str, now: datetime.timedelta) -> float:
        """The slowness of a zone's workers as far as it is known."""
        known = self.zones.get(zone)
        return 1.0 if known is None else known.faded(now, ZONE_MEMORY, 1.0)

    def slowness(self, name: str, zone: str, now: datetime.timedelta) -> float:
        """The slowness of a worker as far as it is known."""
        prior = self.of_zone(zone, now)
        known = self.workers.get(name)
        return prior if known is None else known.faded(now, WORKER_MEMORY, prior)


class Paces:
    """The paces of all services that an edge sends streams to."""

    def __init__(self):
        self.services: dict[str, ServicePace] = collections.defaultdict(ServicePace)

    def of(self, service: str) -> ServicePace:
        """One service's pace."""
        return self.services[service]

    def set_workers(self, services: dict[str, frozenset[str]]) -> None:
        """The workers that there are, by service; what is known of others is dropped."""
        for service in [one for one in self.services if one not in services]:
            del self.services[service]
        for service, pace in self.services.items():
            for name in [one for one in pace.workers if one not in services[service]]:
                del pace.workers[name]


class Stopwatch:
    """Times the events of one stream, from the first that was seen to the last."""

    def __init__(self):
        self.first: tuple[int, datetime.timedelta] | None = None
        self.last: tuple[int, datetime.timedelta] | None = None

    def saw(self, events: int) -> None:
        """So many events have come by now."""
        if not events or (self.last is not None and events == self.last[0]):
            return
        self.last = (events, clock.now())
        if self.first is None:
            self.first = self.last

    def pace(self) -> float | None:
        """Seconds an event; none when there were too few to tell."""
        if self.first is None or self.last is None or self.last[0] - self.first[0] < LEAST_GAPS:
            return None
        return (self.last[1] - self.first[1]).total_seconds() / (self.last[0] - self.first[0])
