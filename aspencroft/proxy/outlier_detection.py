"""Which workers are sound: judged by how their answers end, against the other workers of the same service."""

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
LEAST_FAILURES = 2.5
OUTLIER_RATE = 0.08
SUSPECT_RATE = 0.05
RETURNING_RATE = 0.2
PRIOR_FAILURES, PRIOR_ANSWERS = 0.2, 10.0
EJECTABLE_PART = 3
FIRST_EJECTION, LONGEST_EJECTION = clock.seconds(2), clock.seconds(16)
FAILURES_FORGOTTEN_AFTER = clock.seconds(30)
SLOW_START_SHARE, SLOW_START_GROWTH = 0.1, 1.5


def outcome_of_error(refusal: result.RequestError) -> str:
    """How a request ended at a worker, by the pool's refusal; nothing when that tells nothing of the worker."""
    if isinstance(refusal, pools.ConnectionLostError) and refusal.reused:
        return STALE
    return {
        result.ResultCode.UNREACHABLE: UNREACHED,
        result.ResultCode.WORKER_LOST: LOST,
        result.ResultCode.WORKER_BROKE: BROKE,
        result.ResultCode.DEADLINE: LATE if refusal.ran is not result.Ran.NOT_RUN else "",
    }.get(refusal.result, "")


def peer_rate(bad: float, total: float) -> float:
    """The share of bad answers to expect by what the others gave; a few are expected of anybody.

    Example: ``peer_rate(0.0, 0.0) == 0.02``
    """
    return (bad + PRIOR_FAILURES) / (total + PRIOR_ANSWERS)


def exceeds_peer_rate(bad: float, total: float, rate: float) -> bool:
    """Whether so many bad answers of so many are surely more than chance gives at the others' rate."""
    expected = total * rate
    return bad >= LEAST_FAILURES and bad / total >= OUTLIER_RATE and bad > expected + 3.0 * math.sqrt(expected) + 0.5


@dataclasses.dataclass
class WorkerRecord:
    """One worker's answers, fading, and its standing."""

    service: str
    good: float = 0.0
    bad: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    at: datetime.timedelta = clock.ZERO
    ejected_until: datetime.timedelta = clock.ZERO
    ejected_at: datetime.timedelta | None = None
    span: datetime.timedelta = clock.ZERO
    share: float = 1.0
    credit: float = 0.0
    limited: bool = False
    reason: str = ""

    def fade(self, now: datetime.timedelta) -> None:
        """Let what was counted count for less."""
        if now > self.at:
            factor = math.exp(-((now - self.at) / OUTCOME_DECAY))
            self.good *= factor
            for kind in self.bad:
                self.bad[kind] *= factor
            self.at = now

    def weight(self) -> float:
        """Bad answers, by their weights."""
        return sum(WEIGHTS[kind] * count for kind, count in self.bad.items())

    def total(self) -> float:
        """All answers."""
        return self.good + sum(self.bad.values())


class OutlierDetector:
    """One edge's outlier detection of workers; it asks nobody and believes no worker's word on its own health.

    A worker that is worse than the others of its service gets nothing for a while; no more than a third of a
    service at once. It comes back by small shares of what it would get, and goes for longer if it fails again.
    """

    def __init__(self):
        self.records: dict[str, WorkerRecord] = {}
        self.services: dict[str, frozenset[str]] = {}
        self.counts = {"ejected": 0, "not ejected": 0, "returned": 0}

    def set_workers(self, services: dict[str, frozenset[str]]) -> None:
        """The workers that there are, by service; what is known of others is dropped."""
        self.services = services
        there = {name for names in services.values() for name in names}
        for name in [name for name in self.records if name not in there]:
            del self.records[name]

    def record_outcome(self, service: str, name: str, kind: str, now: datetime.timedelta) -> None:
        """A request ended at a worker, well or in one of the bad ways."""
        if name not in self.services.get(service, ()) or (kind != GOOD and kind not in WEIGHTS):
            return
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = WorkerRecord(service, at=now)
        record.fade(now)
        if kind == GOOD:
            record.good += 1.0
            if record.share < 1.0 and now >= record.ejected_until:
                record.share = min(1.0, record.share * SLOW_START_GROWTH)
                if record.share == 1.0:
                    self.counts["returned"] += 1
                    report(events.Event.WORKER_RETURNED, name, service, "it answers well again")
            return
        record.bad[kind] += 1.0
        self.review(name, record, kind, now)

    def review(self, name: str, record: WorkerRecord, kind: str, now: datetime.timedelta) -> None:
        """Judge a worker after a bad answer; one that is alone is not judged."""
        if now < record.ejected_until or len(self.services[record.service]) < 2:
            return
        bad, total, rate = record.weight(), record.total(), self.rate(name, record.service, now)
        again = record.share < 1.0 and WEIGHTS[kind] == 1.0 and bad / total > RETURNING_RATE + 2.0 * rate
        if not again and not exceeds_peer_rate(bad, total, rate):
            return
        names = self.services[record.service]
        out = sum(1 for one in names if one in self.records and self.records[one].ejected_until > now)
        kinds = ", ".join(f"{one} {count:.1f}" for one, count in sorted(record.bad.items()) if count >= 0.1)
        record.reason = f"{bad:.1f} of {total:.1f} answers bad ({kinds}), {100 * rate:.0f} % expected"
        if out >= len(names) // EJECTABLE_PART:
            record.limited = True
            self.counts["not ejected"] += 1
            report(events.Event.WORKER_NOT_EJECTED, name, record.service, record.reason, "too many are ejected already")
            return
        remembered = record.ejected_at is not None and now - record.ejected_at < FAILURES_FORGOTTEN_AFTER + record.span
        record.span = min(LONGEST_EJECTION, record.span * 2) if remembered else FIRST_EJECTION
        record.ejected_at, record.ejected_until = now, now + record.span
        record.share, record.credit, record.limited = SLOW_START_SHARE, 0.0, False
        record.good, record.bad = 0.0, collections.Counter()
        self.counts["ejected"] += 1
        detail = f"for {record.span.total_seconds():g} s: {record.reason}"
        report(events.Event.WORKER_EJECTED, name, record.service, detail, "worse than the others of its service")

    def rate(self, name: str, service: str, now: datetime.timedelta) -> float:
        """The share of bad answers that the other workers of a service give."""
        bad = total = 0.0
        for one in self.services.get(service, ()):
            record = self.records.get(one)
            if record is not None and one != name:
                record.fade(now)
                bad += record.weight()
                total += record.total()
        return peer_rate(bad, total)

    def admit(self, name: str, repeatable: bool, now: datetime.timedelta) -> bool:
        """Whether a worker may get the next request, as far as outlier detection goes; it counts as asked.

        One that comes back gets its share of the requests that may be repeated.
        """
        record = self.records.get(name)
        if record is None or record.share >= 1.0:
            return True
        if now < record.ejected_until or not repeatable:
            return False
        record.credit += record.share
        if record.credit < 1.0:
            return False
        record.credit -= 1.0
        return True

    def is_suspect(self, name: str, repeatable: bool, now: datetime.timedelta) -> bool:
        """Whether others should come first: it is bad but too many are, or it may be and the request is sent once
        only.
        """
        record = self.records.get(name)
        if record is None:
            return False
        record.fade(now)
        bad, total = record.weight(), record.total()
        if record.limited:
            record.limited = exceeds_peer_rate(bad, total, self.rate(name, record.service, now))
        if record.limited or repeatable or bad < 0.5:
            return record.limited
        return bad / total > SUSPECT_RATE + 2.0 * self.rate(name, record.service, now)

    def ejected(self, now: datetime.timedelta) -> dict[str, str]:
        """The workers that get nothing at this moment, each with the reason in words."""
        return {name: record.reason for name, record in self.records.items() if now < record.ejected_until}

    def explain(self, name: str, now: datetime.timedelta) -> str:
        """What is held against a worker, in words; nothing when it is sound."""
        record = self.records.get(name)
        if record is None or (record.share >= 1.0 and not record.limited):
            return ""
        if now < record.ejected_until:
            left = (record.ejected_until - now).total_seconds()
            return f"{name} gets nothing for {left:.1f} s more: {record.reason}"
        if record.limited:
            return f"{name} is bad, but too many are: {record.reason}"
        return f"{name} comes back with a share of {record.share:.2f}: {record.reason}"


def report(event: events.Event, name: str, service: str, detail: str, reason: str = "") -> None:
    """Log what was decided of a worker; ``reason`` stays the same from one time to the next, ``detail`` has figures."""
    events.report(
        LOG,
        events.EventFields(event, member=name, reason=reason or detail),
        "worker {} of service {}: {}: {}",
        name,
        service,
        event.value.removeprefix("worker_").replace("_", " "),
        detail,
    )
