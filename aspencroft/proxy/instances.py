"""What an edge knows of workers: the platform's list, its own requests there, and what their answers told."""

import collections
import dataclasses
import datetime
import math

from aspencroft.proxy import choose, instance, judgement, pace
from aspencroft.runtime import clock

FIRST_BAR, MOST_BAR = clock.seconds(0.25), clock.seconds(8)
FORGIVEN = clock.seconds(20)
MISDIRECTED = clock.seconds(4)
FIRST_CROWD, MOST_CROWD = clock.seconds(0.05), clock.seconds(0.8)
CLOSES, LEAVING = 3, clock.seconds(1.5)
DECAY = clock.seconds(1)
FORGOTTEN = clock.seconds(60)


@dataclasses.dataclass
class Known:
    """What is known of one worker's life beside the list."""

    running: int = 0
    told: int = 0
    told_running: int = 0
    told_at: datetime.timedelta | None = None
    slots: int = 0
    failures: int = 0
    failed_at: datetime.timedelta = clock.ZERO
    barred_until: datetime.timedelta = clock.ZERO
    crowds: int = 0
    crowded_until: datetime.timedelta = clock.ZERO
    closes: int = 0
    closed: bool = False
    leaving_until: datetime.timedelta = clock.ZERO
    wrong: int = 0
    wrong_until: datetime.timedelta = clock.ZERO

    def load(self, now: datetime.timedelta) -> float:
        """The load in requests: our own, and those of others as told, which count for less with age."""
        others = self.told - self.told_running
        if self.told_at is None or others <= 0:
            return float(self.running)
        return self.running + others * math.exp(-((now - self.told_at) / DECAY))


class Instances:
    """An edge's knowledge of workers; nothing here is asked of a worker, all of it is met or heard."""

    def __init__(self):
        self.listed: dict[str, instance.Instance] = {}
        self.drained: dict[str, datetime.timedelta] = {}
        self.services: dict[str, tuple[instance.Instance, ...]] = {}
        self.known: dict[str, Known] = collections.defaultdict(Known)
        self.judgement = judgement.Judgement()
        self.paces = pace.Paces()
        self.seen_at: datetime.timedelta | None = None
        self.fresh_at: datetime.timedelta | None = None

    def take(self, snapshot: list[instance.Instance], seen_at: datetime.timedelta) -> None:
        """Take the platform's list as it was read at a time of the loop's clock; an older one is left.

        A worker that was seen draining stays so, whatever a list says that comes late.
        """
        if self.seen_at is not None and seen_at < self.seen_at:
            return
        self.seen_at = seen_at
        self.confirm(seen_at)
        self.listed = {one.name: one for one in snapshot}
        self.drained.update({one.name: seen_at for one in snapshot if one.draining})
        self.drained = {name: at for name, at in self.drained.items() if seen_at - at < FORGOTTEN}
        services = collections.defaultdict(list)
        for one in snapshot:
            if one.name not in self.drained:
                services[one.service].append(one)
        self.services = {name: tuple(found) for name, found in services.items()}
        there = {name: frozenset(one.name for one in found) for name, found in self.services.items()}
        self.judgement.take(there)
        self.paces.take(there)
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
        return tuple(one for one in self.services.get(service, ()) if not self.barred(one.name))

    def barred(self, name: str) -> bool:
        """Whether no request may be sent to a worker at this moment: it is draining or gone."""
        one = self.listed.get(name)
        if one is None or name in self.drained:
            return True
        known = self.known.get(name)
        return known is not None and known.wrong_until > clock.now()

    def candidates(
        self, service: str, without: frozenset[str] = frozenset(), repeatable: bool = True
    ) -> tuple[choose.Candidate, ...]:
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
                found.append(choose.Candidate(one.name, one.zone, one.slots, 0.0, one.cold > since, slowness=slowness))
            elif known.wrong_until <= now:
                candidate = choose.Candidate(
                    one.name,
                    one.zone,
                    known.slots or one.slots,
                    known.load(now),
                    one.cold > since,
                    known.barred_until > now or known.leaving_until > now,
                    known.crowded_until > now,
                    slowness,
                )
                if one.name in self.judgement.records:
                    candidate.doubtful = candidate.doubtful or self.judgement.suspect(one.name, repeatable, now)
                    if not self.judgement.admits(one.name, repeatable, now):
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

    def told(self, name: str, running: int, waiting: int, slots: int) -> None:
        """A worker's answer told its load."""
        known = self.known[name]
        known.told, known.told_running, known.told_at = running + waiting, known.running, clock.now()
        if slots > 0:
            known.slots = slots

    def load(self, name: str) -> float:
        """A worker's load in requests: our own, and those of others as told, which count for less with age."""
        known = self.known.get(name)
        return known.load(clock.now()) if known is not None else 0.0

    def answered(self, name: str, kind: str = judgement.GOOD) -> None:
        """A worker answered a request, well or with a failure of its own (a kind of ``judgement``).

        Whatever the answer, the worker is there: what went wrong before in reaching it is forgiven.
        """
        known = self.known[name]
        known.failures = known.crowds = known.wrong = 0
        known.barred_until = known.crowded_until = clock.ZERO
        if known.closed:
            known.closed = False
        else:
            known.closes, known.leaving_until = 0, clock.ZERO
        self.heard(name, kind)

    def failed(self, name: str, kind: str = judgement.LOST) -> None:
        """A worker could not be reached, was lost or broke its answer off: it is doubtful for a while that grows.

        ``kind`` is what ``judgement.kind_of`` makes of the refusal; an empty one, or a late answer, leaves
        the worker as it is.
        """
        self.heard(name, kind)
        if kind in ("", judgement.LATE, judgement.STALE):
            return
        known, now = self.known[name], clock.now()
        if now - known.failed_at > FORGIVEN:
            known.failures = 0
        if known.barred_until <= now:
            known.failures += 1
        known.failed_at = now
        known.barred_until = now + min(MOST_BAR, FIRST_BAR * 2 ** min(known.failures - 1, 16))

    def paced(self, name: str, seconds_an_event: float) -> None:
        """A worker's stream came at this pace."""
        one = self.listed.get(name)
        if one is not None:
            self.paces.of(one.service).observe(name, one.zone, seconds_an_event, clock.now())

    def heard(self, name: str, kind: str) -> None:
        """Count how a request ended at a worker for its judgement."""
        one = self.listed.get(name)
        if one is not None:
            self.judgement.heard(one.service, name, kind, clock.now())

    def full(self, name: str) -> None:
        """A worker turned a request away without running it: it is crowded for a moment."""
        known, now = self.known[name], clock.now()
        if known.crowded_until <= now:
            known.crowds += 1
        known.crowded_until = now + min(MOST_CROWD, FIRST_CROWD * 2 ** min(known.crowds - 1, 16))

    def leaving(self, name: str) -> None:
        """A worker's answer closed its connection: several in a row say that it is leaving, so others come first."""
        known = self.known[name]
        known.closes, known.closed = known.closes + 1, True
        if known.closes >= CLOSES:
            known.leaving_until = clock.now() + LEAVING

    def misdirected(self, name: str) -> None:
        """Another worker has the address: this one is gone, unless the list goes on naming it for long."""
        known = self.known[name]
        known.wrong += 1
        known.wrong_until = clock.now() + MISDIRECTED * 2 ** min(known.wrong - 1, 8)
