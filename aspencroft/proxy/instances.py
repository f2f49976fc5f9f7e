"""An edge's view of the workers: the platform's list, its own requests in flight, and what responses reported."""

import collections
import dataclasses
import datetime
import math

from aspencroft.proxy import instance, outlier_detection, stream_pace, worker_selection
from aspencroft.runtime import clock

MIN_SUSPECT_TIME, MAX_SUSPECT_TIME = clock.seconds(0.25), clock.seconds(8)
FAILURE_STREAK_TIMEOUT = clock.seconds(20)
MISDIRECTED_EXCLUSION = clock.seconds(4)
MIN_REJECTION_PAUSE, MAX_REJECTION_PAUSE = clock.seconds(0.05), clock.seconds(0.8)
CLOSES_BEFORE_LEAVING, LEAVING_SUSPECT_TIME = 3, clock.seconds(1.5)
REPORTED_LOAD_DECAY = clock.seconds(1)
DRAINING_RETENTION = clock.seconds(60)


@dataclasses.dataclass
class WorkerState:
    """What an edge has observed of one worker, in addition to the list."""

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
        """The load in requests: our own, and those of other edges as last reported, whose weight decays with age."""
        others = self.reported_load - self.running_when_reported
        if self.reported_at is None or others <= 0:
            return float(self.running)
        return self.running + others * math.exp(-((now - self.reported_at) / REPORTED_LOAD_DECAY))


class Instances:
    """An edge's view of the workers; it sends no probes and uses only the list and the outcomes of requests."""

    def __init__(self):
        self.listed: dict[str, instance.Instance] = {}
        self.drained_at: dict[str, datetime.timedelta] = {}
        self.services: dict[str, tuple[instance.Instance, ...]] = {}
        self.states: dict[str, WorkerState] = collections.defaultdict(WorkerState)
        self.outliers = outlier_detection.OutlierDetector()
        self.paces = stream_pace.Paces()
        self.list_read_at: datetime.timedelta | None = None
        self.list_confirmed_at: datetime.timedelta | None = None

    def update(self, snapshot: list[instance.Instance], list_read_at: datetime.timedelta) -> None:
        """Apply the platform's list as it was read at a time of the loop's clock; an older one is ignored.

        A worker once seen draining stays excluded, because a list that arrives later may be out of date.
        """
        if self.list_read_at is not None and list_read_at < self.list_read_at:
            return
        self.list_read_at = list_read_at
        self.confirm(list_read_at)
        self.listed = {worker.name: worker for worker in snapshot}
        self.drained_at.update({worker.name: list_read_at for worker in snapshot if worker.draining})
        self.drained_at = {name: at for name, at in self.drained_at.items() if list_read_at - at < DRAINING_RETENTION}
        services = collections.defaultdict(list)
        for worker in snapshot:
            if worker.name not in self.drained_at:
                services[worker.service].append(worker)
        self.services = {name: tuple(found) for name, found in services.items()}
        names = {name: frozenset(worker.name for worker in found) for name, found in self.services.items()}
        self.outliers.set_workers(names)
        self.paces.set_workers(names)
        for name in [name for name, state in self.states.items() if name not in self.listed and not state.running]:
            del self.states[name]

    def confirm(self, at: datetime.timedelta) -> None:
        """Record that the last list applied was still current at this time."""
        self.list_confirmed_at = at if self.list_confirmed_at is None else max(self.list_confirmed_at, at)

    def age(self) -> datetime.timedelta | None:
        """The time since the list was last known to be current; none before the first list."""
        return None if self.list_confirmed_at is None else clock.now() - self.list_confirmed_at

    def of(self, service: str) -> tuple[instance.Instance, ...]:
        """The workers of a service that are neither draining nor gone."""
        return tuple(worker for worker in self.services.get(service, ()) if not self.is_excluded(worker.name))

    def is_excluded(self, name: str) -> bool:
        """Whether no request may be sent to a worker now, because it is draining or gone."""
        worker = self.listed.get(name)
        if worker is None or name in self.drained_at:
            return True
        state = self.states.get(name)
        return state is not None and state.misdirected_until > clock.now()

    def candidates(
        self, service: str, without: frozenset[str] = frozenset(), idempotent: bool = True
    ) -> tuple[worker_selection.Candidate, ...]:
        """The workers to choose from, except those in ``without``, which were tried already.

        Ejected outliers are omitted unless no other worker is left. A request that is not ``idempotent`` is lost if its
        worker fails, so suspect workers come after the others for it.
        """
        now, found, ejected = clock.now(), [], []
        list_age = now - self.list_read_at if self.list_read_at is not None else clock.ZERO
        paces = self.paces.of(service)
        for worker in self.services.get(service, ()):
            if worker.name in without:
                continue
            state = self.states.get(worker.name)
            slowness = paces.slowness(worker.name, worker.zone, now)
            if state is None:
                found.append(
                    worker_selection.Candidate(
                        worker.name, worker.zone, worker.slots, 0.0, worker.cold > list_age, slowness=slowness
                    )
                )
            elif state.misdirected_until <= now:
                candidate = worker_selection.Candidate(
                    worker.name,
                    worker.zone,
                    state.slots or worker.slots,
                    state.load(now),
                    worker.cold > list_age,
                    state.suspect_until > now or state.leaving_until > now,
                    state.rejecting_until > now,
                    slowness,
                )
                if worker.name in self.outliers.records:
                    candidate.suspect = candidate.suspect or self.outliers.is_suspect(worker.name, idempotent, now)
                    if not self.outliers.admit(worker.name, idempotent, now):
                        ejected.append(candidate)
                        continue
                found.append(candidate)
        return tuple(found or ejected)

    def begin_request(self, name: str) -> None:
        """Record that a request is being sent to a worker."""
        self.states[name].running += 1

    def end_request(self, name: str) -> None:
        """Record the end of a request to a worker."""
        state = self.states[name]
        state.running = max(0, state.running - 1)
        if not state.running and name not in self.listed:
            del self.states[name]

    def record_load(self, name: str, running: int, waiting: int, slots: int) -> None:
        """Record the load that a worker reported with a response."""
        state = self.states[name]
        state.reported_load, state.running_when_reported, state.reported_at = (
            running + waiting,
            state.running,
            clock.now(),
        )
        if slots > 0:
            state.slots = slots

    def load(self, name: str) -> float:
        """A worker's load in requests: our own, and those of other edges as last reported, decayed with age."""
        state = self.states.get(name)
        return state.load(clock.now()) if state is not None else 0.0

    def record_answer(self, name: str, kind: str = outlier_detection.GOOD) -> None:
        """Record that a worker answered a request, with its outcome, a kind of ``outlier_detection``.

        Any answer shows that the worker is reachable, so earlier connection failures and rejections are cleared.
        """
        state = self.states[name]
        state.failures = state.rejections = state.misdirections = 0
        state.suspect_until = state.rejecting_until = clock.ZERO
        if state.connection_closed:
            state.connection_closed = False
        else:
            state.connection_closes, state.leaving_until = 0, clock.ZERO
        self.record_outcome(name, kind)

    def record_failure(self, name: str, kind: str = outlier_detection.LOST) -> None:
        """Record that a worker was unreachable, lost or broke off its response; it is suspect, each time for longer.

        ``kind`` is the result of ``outlier_detection.outcome_of_error``. An empty kind, a late response and a stale
        connection do not make the worker suspect.
        """
        self.record_outcome(name, kind)
        if kind in ("", outlier_detection.LATE, outlier_detection.STALE):
            return
        state, now = self.states[name], clock.now()
        if now - state.failed_at > FAILURE_STREAK_TIMEOUT:
            state.failures = 0
        if state.suspect_until <= now:
            state.failures += 1
        state.failed_at = now
        state.suspect_until = now + min(MAX_SUSPECT_TIME, MIN_SUSPECT_TIME * 2 ** min(state.failures - 1, 16))

    def record_pace(self, name: str, seconds_per_event: float) -> None:
        """Record the pace of a worker's stream."""
        worker = self.listed.get(name)
        if worker is not None:
            self.paces.of(worker.service).observe(name, worker.zone, seconds_per_event, clock.now())

    def record_outcome(self, name: str, kind: str) -> None:
        """Record the outcome of a request at a worker for outlier detection."""
        worker = self.listed.get(name)
        if worker is not None:
            self.outliers.record_outcome(worker.service, name, kind, clock.now())

    def record_rejection(self, name: str) -> None:
        """Record that a worker rejected a request without running it; other workers are preferred for a short time."""
        state, now = self.states[name], clock.now()
        if state.rejecting_until <= now:
            state.rejections += 1
        state.rejecting_until = now + min(MAX_REJECTION_PAUSE, MIN_REJECTION_PAUSE * 2 ** min(state.rejections - 1, 16))

    def record_connection_close(self, name: str) -> None:
        """Record that a response closed its connection; several in a row mean that the worker stops: it is suspect."""
        state = self.states[name]
        state.connection_closes, state.connection_closed = state.connection_closes + 1, True
        if state.connection_closes >= CLOSES_BEFORE_LEAVING:
            state.leaving_until = clock.now() + LEAVING_SUSPECT_TIME

    def record_misdirection(self, name: str) -> None:
        """Record that another worker has the address; exclude this one, each time for longer if it stays listed."""
        state = self.states[name]
        state.misdirections += 1
        state.misdirected_until = clock.now() + MISDIRECTED_EXCLUSION * 2 ** min(state.misdirections - 1, 8)
