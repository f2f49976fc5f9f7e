"""Estimates how slow workers are from the pace of the streams that they send.

Many edges share the workers, and workers need not report their load: the requests of other edges show in the time
between events. An edge sees each worker rarely, so its estimate of a worker decays to that of the worker's zone, and
the estimate of a zone to the pace of an idle worker: a worker that was not used recently is worth trying again.
"""

import collections
import dataclasses
import datetime
import math

from aspencroft.runtime import clock

MIN_GAPS = 3
WORKER_ESTIMATE_DECAY = clock.seconds(2)
ZONE_ESTIMATE_DECAY = clock.seconds(4)
GAIN = 0.4
IDLE_GAIN_DOWN, IDLE_GAIN_UP = 0.2, 0.01
MAX_SLOWNESS = 8.0


@dataclasses.dataclass
class Estimate:
    """A decaying mean of slowness: 1.0 is the pace of an idle worker."""

    value: float
    at: datetime.timedelta

    def weight(self, now: datetime.timedelta, decay_time: datetime.timedelta) -> float:
        """The remaining weight of the estimate, from 1 down to 0."""
        return math.exp(-((now - self.at) / decay_time))

    def decayed(self, now: datetime.timedelta, decay_time: datetime.timedelta, prior: float) -> float:
        """The estimate decayed to the time ``now``, between its value and the prior."""
        return prior + (self.value - prior) * self.weight(now, decay_time)


class ServicePace:
    """The pace of one service: that of an idle worker in seconds per event, and the slowness of zones and workers."""

    def __init__(self):
        self.idle = 0.0
        self.zones: dict[str, Estimate] = {}
        self.workers: dict[str, Estimate] = {}

    def observe(self, name: str, zone: str, seconds_per_event: float, now: datetime.timedelta) -> None:
        """Update the estimates with the pace of a worker's stream."""
        if not self.idle:
            self.idle = seconds_per_event
        gain = IDLE_GAIN_DOWN if seconds_per_event < self.idle else IDLE_GAIN_UP
        self.idle += gain * (seconds_per_event - self.idle)
        slowness = min(MAX_SLOWNESS, seconds_per_event / self.idle)
        zone_slowness = self.zone_slowness(zone, now)
        worker_slowness = self.slowness(name, zone, now)
        self.zones[zone] = Estimate(zone_slowness + GAIN * (slowness - zone_slowness), now)
        self.workers[name] = Estimate(worker_slowness + GAIN * (slowness - worker_slowness), now)

    def zone_slowness(self, zone: str, now: datetime.timedelta) -> float:
        """The estimated slowness of the workers of a zone."""
        estimate = self.zones.get(zone)
        return 1.0 if estimate is None else estimate.decayed(now, ZONE_ESTIMATE_DECAY, 1.0)

    def slowness(self, name: str, zone: str, now: datetime.timedelta) -> float:
        """The estimated slowness of a worker."""
        prior = self.zone_slowness(zone, now)
        estimate = self.workers.get(name)
        return prior if estimate is None else estimate.decayed(now, WORKER_ESTIMATE_DECAY, prior)


class Paces:
    """The paces of all services whose streams an edge forwards."""

    def __init__(self):
        self.services: dict[str, ServicePace] = collections.defaultdict(ServicePace)

    def of(self, service: str) -> ServicePace:
        """The pace of one service."""
        return self.services[service]

    def set_workers(self, services: dict[str, frozenset[str]]) -> None:
        """Set the current workers by service; the estimates of others are dropped."""
        for service in [one for one in self.services if one not in services]:
            del self.services[service]
        for service, pace in self.services.items():
            for name in [one for one in pace.workers if one not in services[service]]:
                del pace.workers[name]


class PaceTimer:
    """Measures the pace of the events of one stream, from the first to the last."""

    def __init__(self):
        self.first: tuple[int, datetime.timedelta] | None = None
        self.last: tuple[int, datetime.timedelta] | None = None

    def record(self, events: int) -> None:
        """Record that the stream has this many events so far."""
        if not events or (self.last is not None and events == self.last[0]):
            return
        self.last = (events, clock.now())
        if self.first is None:
            self.first = self.last

    def pace(self) -> float | None:
        """Return the seconds per event; none if there were too few events."""
        if self.first is None or self.last is None or self.last[0] - self.first[0] < MIN_GAPS:
            return None
        return (self.last[1] - self.first[1]).total_seconds() / (self.last[0] - self.first[0])
