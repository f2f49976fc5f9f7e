"""What an edge knows of workers: the platform's list, its own requests there, and what their answers told."""

import collections
import dataclasses
import datetime
import math

from aspencroft.proxy import instance, outlier_detection, stream_pace, worker_selection
from aspencroft.runtime import clock

FIRST_SUSPICION, LONGEST_SUSPICION = clock.seconds(0.25), clock.seconds(8)
FAILURES_FORGOTTEN_AFTER = clock.seconds(20)
MISDIRECTED_FOR = clock.seconds(4)
FIRST_REJECTION_PAUSE, LONGEST_REJECTION_PAUSE = clock.seconds(0.05), clock.seconds(0.8)
CLOSES_BEFORE_LEAVING, LEAVING_FOR = 3, clock.seconds(1.5)
REPORTED_LOAD_DECAY = clock.seconds(1)
DRAINING_REMEMBERED = clock.seconds(60)


@dataclasses.dataclass
class WorkerState:
    """What is known of one worker's life beside the list."""

    running: int = 0
    reported_load: int = 0
    running_when_reported: int = 0
    reported_at: datetime.timedelta | None = None
    slots: int = 0
    failures: int = 0
    failed_at: datetime.timedelta = clock.ZERO
    suspect_until: datetime.timedelta = clock.ZERO
    rejections: int = 0
    rejecting_until: datetime.timedelta = clock.ZERO
    connection_closes: int = 0
    connection_closed: bool = False
    leaving_until: datetime.timedelta = clock.ZERO
    misdirections: int = 0
    misdirected_until: datetime.timedelta = clock.ZERO

    def load(self, now: datetime.timedelta) -> float:
        """The load in requests: our own, and those of others as told, which count for less with age."""
        others = self.reported_load - self.running_when_reported
        if self.reported_at is None or others <= 0:
            return float(self.running)
        return self.running + others * math.exp(-((now - self.reported_at) / REPORTED_LOAD_DECAY))


class Instances:
    """An edge's knowledge of workers; nothing here is asked of a worker, all of it is met or heard."""

    def __init__(self):
        self.listed: dict[str, instance.Instance] = {}
        self.drained: dict[str, datetime.timedelta] = {}
        self.services: dict[str, tuple[instance.Instance, ...]] = {}
        self.known: dict[str, WorkerState] = collections.defaultdict(WorkerState)
        self.outliers = outlier_detection.OutlierDetector()
        self.paces = stream_pace.Paces()
        self.seen_at: datetime.timedelta | None = None
        self.fresh_at: datetime.timedelta | None = None

    def update(self, snapshot: list[instance.Instance], seen_at: datetime.timedelta) -> None:
        """Take the platform's list as it was read at a time of the loop's clock; an older one is left.

        A worker that was seen draining stays so, whatever a list says that comes late.
        """
        if self.seen_at is not None and seen_at < self.seen_at:
            return
        self.seen_at = seen_at
        self.confirm(seen_at)
        self.listed = {one.name: one for one in snapshot}
        self.drained.update({one.name: seen_at for one in snapshot if one.draining})
        self.drained = {name: at for name, at in self.drained.items() if seen_at - at < DRAINING_REMEMBERED}
        services = collections.defaultdict(list)
        for one in snapshot:
            if one.name not in self.drained:
                services[one.service].append(one)
        self.services = {name: tuple(found) for name, found in services.items()}
        there = {name: frozenset(one.name for one in found) for name, found in self.services.items()}
        self.outliers.set_workers(there)
        self.paces.set_workers(there)
        for name in [name for name, known in self.known.items() if name not in self.listed and not known.running]:
            del self.known[name]

    def confirm(self, at: datetime.timedelta) -> None:
        """The list taken last was still the platform's at this time."""
        self.fresh_at = at if self.fresh_at is None else max(self.fresh_at, at)

    def age(self) -> datetime.timedelta | None:
        """How long ago the list was surely the platform's; none before the first."""
        return None if self.fresh_at is None else clock.now() - self.fresh_at

    def of(self, service: str) -> tuple[instance.Instance, ...]:
        """A service's workers that are neither draining nor gone."""
        return tuple(one for one in self.services.get(service, ()) if not self.is_excluded(one.name))

    def is_excluded(self, name: str) -> bool:
        """Whether no request may be sent to a worker at this moment: it is draining or gone."""
        one = self.listed.get(name)
        if one is None or name in self.drained:
            return True
        known = self.known.get(name)
        return known is not None and known.misdirected_until > clock.now()

    def candidates(
        self, service: str, without: frozenset[str] = frozenset(), repeatable: bool = True
    ) -> tuple[worker_selection.Candidate, ...]:
        """What to choose from; ``without`` names those that were tried.

        Workers that are judged unsound are left out while any other is there. A request that is not
        ``repeatable`` is lost with the worker's failure, so suspects come after the others for it.
        """
        now, found, held = clock.now(), [], []
        since = now - self.seen_at if self.seen_at is not None else clock.ZERO
        paces = self.paces.of(service)
        for one in self.services.get(service, ()):
            if one.name in without:
                continue
            known = self.known.get(one.name)
            slowness = paces.slowness(one.name, one.zone, now)
            if known is None:
                found.append(
                    worker_selection.Candidate(one.name, one.zone, one.slots, 0.0, one.cold > since, slowness=slowness)
                )
            elif known.misdirected_until <= now:
                candidate = worker_selection.Candidate(
                    one.name,
                    one.zone,
                    known.slots or one.slots,
                    known.load(now),
                    one.cold > since,
                    known.suspect_until > now or known.leaving_until > now,
                    known.rejecting_until > now,
                    slowness,
                )
                if one.name in self.outliers.records:
                    candidate.suspect = candidate.suspect or self.outliers.is_suspect(one.name, repeatable, now)
                    if not self.outliers.admit(one.name, repeatable, now):
                        held.append(candidate)
                        continue
                found.append(candidate)
        return tuple(found or held)

    def begin(self, name: str) -> None:
        """A request is sent to a worker."""
        self.known[name].running += 1

    def end(self, name: str) -> None:
        """A request that was sent to a worker is over."""
        known = self.known[name]
        known.running = max(0, known.running - 1)
        if not known.running and name not in self.listed:
            del self.known[name]

    def record_load(self, name: str, running: int, waiting: int, slots: int) -> None:
        """A worker's answer told its load."""
        known = self.known[name]
        known.reported_load, known.running_when_reported, known.reported_at = (
            running + waiting,
            known.running,
            clock.now(),
        )
        if slots > 0:
            known.slots = slots

    def load(self, name: str) -> float:
        """A worker's load in requests: our own, and those of others as told, which count for less with age."""
        known = self.known.get(name)
        return known.load(clock.now()) if known is not None else 0.0

    def record_answer(self, name: str, kind: str = outlier_detection.GOOD) -> None:
        """A worker answered a request, well or with a failure of its own (a kind of ``outlier_detection``).

        Whatever the answer, the worker is there: what went wrong before in reaching it is forgiven.
        """
        known = self.known[name]
        known.failures = known.rejections = known.misdirections = 0
        known.suspect_until = known.rejecting_until = clock.ZERO
        if known.connection_closed:
            known.connection_closed = False
        else:
            known.connection_closes, known.leaving_until = 0, clock.ZERO
        self.record_outcome(name, kind)

    def record_failure(self, name: str, kind: str = outlier_detection.LOST) -> None:
        """A worker could not be reached, was lost or broke its answer off: it is suspect for a while that grows.

        ``kind`` is what ``outlier_detection.outcome_of_error`` makes of the refusal; an empty one, or a late answer,
        leaves the worker as it is.
        """
        self.record_outcome(name, kind)
        if kind in ("", outlier_detection.LATE, outlier_detection.STALE):
            return
        known, now = self.known[name], clock.now()
        if now - known.failed_at > FAILURES_FORGOTTEN_AFTER:
            known.failures = 0
        if known.suspect_until <= now:
            known.failures += 1
        known.failed_at = now
        known.suspect_until = now + min(LONGEST_SUSPICION, FIRST_SUSPICION * 2 ** min(known.failures - 1, 16))

    def record_pace(self, name: str, seconds_an_event: float) -> None:
        """A worker's stream came at this pace."""
        one = self.listed.get(name)
        if one is not None:
            self.paces.of(one.service).observe(name, one.zone, seconds_an_event, clock.now())

    def record_outcome(self, name: str, kind: str) -> None:
        """Count how a request ended at a worker for its outlier detection."""
        one = self.listed.get(name)
        if one is not None:
            self.outliers.record_outcome(one.service, name, kind, clock.now())

    def record_rejection(self, name: str) -> None:
        """A worker rejected a request without running it: it is crowded for a moment."""
        known, now = self.known[name], clock.now()
        if known.rejecting_until <= now:
            known.rejections += 1
        known.rejecting_until = now + min(
            LONGEST_REJECTION_PAUSE, FIRST_REJECTION_PAUSE * 2 ** min(known.rejections - 1, 16)
        )

    def record_connection_close(self, name: str) -> None:
        """A worker's answer closed its connection: several in a row say that it is leaving, so others come first."""
        known = self.known[name]
        known.connection_closes, known.connection_closed = known.connection_closes + 1, True
        if known.connection_closes >= CLOSES_BEFORE_LEAVING:
            known.leaving_until = clock.now() + LEAVING_FOR

    def record_misdirection(self, name: str) -> None:
        """Another worker has the address: this one is gone, unless the list goes on naming it for long."""
        known = self.known[name]
        known.misdirections += 1
        known.misdirected_until = clock.now() + MISDIRECTED_FOR * 2 ** min(known.misdirections - 1, 8)
