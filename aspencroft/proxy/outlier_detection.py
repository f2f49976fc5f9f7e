"""Outlier detection of workers, by the failure rate of their requests compared to the other workers of a service."""

import collections
import dataclasses
import datetime
import math

import logbook

import aspencroft.workers.pool as pools
from aspencroft.errors import result
from aspencroft.runtime import clock, events

LOG = logbook.Logger("proxy.outlier_detection")
GOOD, FAILED, BROKE, LOST, STALE, UNREACHED, LATE = (
    "good",
    "failed",
    "broke",
    "lost",
    "stale",
    "unreached",
    "late",
)
WEIGHTS = {FAILED: 1.0, BROKE: 1.0, LOST: 1.0, STALE: 0.5, UNREACHED: 1.0, LATE: 0.5}
OUTCOME_DECAY = clock.seconds(8)
MIN_FAILURES = 2.5
MIN_OUTLIER_RATE = 0.08
SUSPECT_RATE = 0.05
REEJECTION_RATE = 0.2
PRIOR_FAILURES, PRIOR_ANSWERS = 0.2, 10.0
EJECTABLE_DIVISOR = 3
MIN_EJECTION_TIME, MAX_EJECTION_TIME = clock.seconds(2), clock.seconds(16)
EJECTION_HISTORY_TIME = clock.seconds(30)
SLOW_START_SHARE, SLOW_START_GROWTH = 0.1, 1.5


def outcome_of_error(error: result.RequestError) -> str:
    """Map an error of the connection pool to the outcome of a request; "" if it says nothing about the worker."""
    if isinstance(error, pools.ConnectionLostError) and error.reused:
        return STALE
    return {
        result.ResultCode.UNREACHABLE: UNREACHED,
        result.ResultCode.WORKER_LOST: LOST,
        result.ResultCode.WORKER_BROKE: BROKE,
        result.ResultCode.DEADLINE: LATE if error.ran is not result.Ran.NOT_RUN else "",
    }.get(error.result, "")


def peer_rate(failures: float, total: float) -> float:
    """The expected failure rate, estimated from the other workers; the prior allows a few failures to any worker.

    Example: ``peer_rate(0.0, 0.0) == 0.02``
    """
    return (failures + PRIOR_FAILURES) / (total + PRIOR_ANSWERS)


def exceeds_peer_rate(failures: float, total: float, rate: float) -> bool:
    """Whether ``failures`` of ``total`` requests are significantly more than the rate of the peers explains."""
    expected = total * rate
    return (
        failures >= MIN_FAILURES
        and failures / total >= MIN_OUTLIER_RATE
        and failures > expected + 3.0 * math.sqrt(expected) + 0.5
    )


@dataclasses.dataclass
class WorkerRecord:
    """The decaying counts of one worker's outcomes and its ejection state."""

    service: str
    good: float = 0.0
    failures: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    decayed_at: datetime.timedelta = clock.ZERO
    ejected_until: datetime.timedelta = clock.ZERO
    ejected_at: datetime.timedelta | None = None
    ejection_time: datetime.timedelta = clock.ZERO
    traffic_share: float = 1.0
    request_credit: float = 0.0
    ejection_denied: bool = False
    reason: str = ""

    def decay(self, now: datetime.timedelta) -> None:
        """Decay the counts to the time ``now``."""
        if now > self.decayed_at:
            factor = math.exp(-((now - self.decayed_at) / OUTCOME_DECAY))
            self.good *= factor
            for kind in self.failures:
                self.failures[kind] *= factor
            self.decayed_at = now

    def weight(self) -> float:
        """The weighted number of failures."""
        return sum(WEIGHTS[kind] * count for kind, count in self.failures.items())

    def total(self) -> float:
        """The number of all outcomes."""
        return self.good + sum(self.failures.values())


class OutlierDetector:
    """One edge's outlier detection; it sends no probes and ignores what workers report about their own health.

    A worker that fails more often than the others of its service is ejected for a while, at most a third of a service
    at once. It returns with a small share of its traffic, which grows (slow start), and is ejected for longer if it
    fails again.
    """

    def __init__(self):
        self.records: dict[str, WorkerRecord] = {}
        self.services: dict[str, frozenset[str]] = {}
        self.counts = {"ejected": 0, "not ejected": 0, "returned": 0}

    def set_workers(self, services: dict[str, frozenset[str]]) -> None:
        """Set the current workers by service; the records of others are dropped."""
        self.services = services
        listed = {name for names in services.values() for name in names}
        for name in [name for name in self.records if name not in listed]:
            del self.records[name]

    def record_outcome(self, service: str, name: str, kind: str, now: datetime.timedelta) -> None:
        """Record the outcome of a request at a worker."""
        if name not in self.services.get(service, ()) or (kind != GOOD and kind not in WEIGHTS):
            return
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = WorkerRecord(service, decayed_at=now)
        record.decay(now)
        if kind == GOOD:
            record.good += 1.0
            if record.traffic_share < 1.0 and now >= record.ejected_until:
                record.traffic_share = min(1.0, record.traffic_share * SLOW_START_GROWTH)
                if record.traffic_share == 1.0:
                    self.counts["returned"] += 1
                    report(events.Event.WORKER_RETURNED, name, service, "its responses are good again")
            return
        record.failures[kind] += 1.0
        self.review(name, record, kind, now)

    def review(self, name: str, record: WorkerRecord, kind: str, now: datetime.timedelta) -> None:
        """Decide after a failure whether to eject a worker; the only worker of a service is never ejected."""
        if now < record.ejected_until or len(self.services[record.service]) < 2:
            return
        failures, total, rate = record.weight(), record.total(), self.rate(name, record.service, now)
        fails_again = (
            record.traffic_share < 1.0 and WEIGHTS[kind] == 1.0 and failures / total > REEJECTION_RATE + 2.0 * rate
        )
        if not fails_again and not exceeds_peer_rate(failures, total, rate):
            return
        names = self.services[record.service]
        ejected = sum(1 for other in names if other in self.records and self.records[other].ejected_until > now)
        kinds = ", ".join(
            f"{outcome} {count:.1f}" for outcome, count in sorted(record.failures.items()) if count >= 0.1
        )
        record.reason = f"{failures:.1f} of {total:.1f} requests failed ({kinds}), {100 * rate:.0f} % expected"
        if ejected >= len(names) // EJECTABLE_DIVISOR:
            record.ejection_denied = True
            self.counts["not ejected"] += 1
            report(
                events.Event.WORKER_NOT_EJECTED,
                name,
                record.service,
                record.reason,
                "too many workers are ejected already",
            )
            return
        is_repeated = (
            record.ejected_at is not None and now - record.ejected_at < EJECTION_HISTORY_TIME + record.ejection_time
        )
        record.ejection_time = min(MAX_EJECTION_TIME, record.ejection_time * 2) if is_repeated else MIN_EJECTION_TIME
        record.ejected_at, record.ejected_until = now, now + record.ejection_time
        record.traffic_share, record.request_credit, record.ejection_denied = SLOW_START_SHARE, 0.0, False
        record.good, record.failures = 0.0, collections.Counter()
        self.counts["ejected"] += 1
        detail = f"for {record.ejection_time.total_seconds():g} s: {record.reason}"
        report(
            events.Event.WORKER_EJECTED,
            name,
            record.service,
            detail,
            "failure rate above that of the other workers of its service",
        )

    def rate(self, name: str, service: str, now: datetime.timedelta) -> float:
        """The failure rate of the other workers of a service."""
        failures = total = 0.0
        for other in self.services.get(service, ()):
            record = self.records.get(other)
            if record is not None and other != name:
                record.decay(now)
                failures += record.weight()
                total += record.total()
        return peer_rate(failures, total)

    def admit(self, name: str, idempotent: bool, now: datetime.timedelta) -> bool:
        """Whether outlier detection lets a worker have the next request, which is charged to its slow start.

        A returning worker gets only its share of the idempotent requests.
        """
        record = self.records.get(name)
        if record is None or record.traffic_share >= 1.0:
            return True
        if now < record.ejected_until or not idempotent:
            return False
        record.request_credit += record.traffic_share
        if record.request_credit < 1.0:
            return False
        record.request_credit -= 1.0
        return True

    def is_suspect(self, name: str, idempotent: bool, now: datetime.timedelta) -> bool:
        """Whether other workers should be preferred: this one could not be ejected because too many are, or it has
        some failures and the request may be sent only once.
        """
        record = self.records.get(name)
        if record is None:
            return False
        record.decay(now)
        failures, total = record.weight(), record.total()
        if record.ejection_denied:
            record.ejection_denied = exceeds_peer_rate(failures, total, self.rate(name, record.service, now))
        if record.ejection_denied or idempotent or failures < 0.5:
            return record.ejection_denied
        return failures / total > SUSPECT_RATE + 2.0 * self.rate(name, record.service, now)

    def ejected(self, now: datetime.timedelta) -> dict[str, str]:
        """The workers that are ejected now, each with the reason in words."""
        return {name: record.reason for name, record in self.records.items() if now < record.ejected_until}

    def explain(self, name: str, now: datetime.timedelta) -> str:
        """Describe why a worker is ejected, could not be ejected or is in slow start; "" if it is none of these."""
        record = self.records.get(name)
        if record is None or (record.traffic_share >= 1.0 and not record.ejection_denied):
            return ""
        if now < record.ejected_until:
            left = (record.ejected_until - now).total_seconds()
            return f"{name} is ejected for another {left:.1f} s: {record.reason}"
        if record.ejection_denied:
            return f"{name} is not ejected because too many workers are: {record.reason}"
        return f"{name} is in slow start with a share of {record.traffic_share:.2f}: {record.reason}"


def report(event: events.Event, name: str, service: str, detail: str, reason: str = "") -> None:
    """Log a decision on a worker; ``reason`` has no figures, so that it is the same each time, ``detail`` may have."""
    events.report(
        LOG,
        events.EventFields(event, member=name, reason=reason or detail),
        "worker {} of service {}: {}: {}",
        name,
        service,
        event.value.removeprefix("worker_").replace("_", " "),
        detail,
    )
