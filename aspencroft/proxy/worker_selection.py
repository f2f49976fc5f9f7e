"""Selects the worker of a request by pure functions; each edge prefers the same workers for a prompt segment."""

import dataclasses
import functools
import hashlib
import math
import random

PREFERRED_UTILIZATION = 0.75
ZONE_CROSSING_COST = 0.15
PREVIOUS, PREFERRED, OVERFLOW, LEAST_LOADED, NONE = "last", "home", "spill", "least", "none"


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that a request may be sent to, in its current state.

    ``load`` is the number of requests running and waiting there; ``warming_up`` and ``suspect`` workers are used if no
    other has a free slot; a ``rejecting`` one has just rejected a request. ``slowness`` is the estimated time per event
    relative to an idle worker.
    """

    name: str
    zone: str
    slots: int
    load: float
    warming_up: bool = False
    suspect: bool = False
    rejecting: bool = False
    slowness: float = 1.0

    def utilization(self) -> float:
        """The load, rounded down to whole requests, divided by the slots.

        Example: ``Candidate("i-1", "north", 4, 2.0).utilization() == 0.5``
        """
        return math.floor(self.load + 1e-9) / max(1, self.slots)

    def cost(self) -> float:
        """The order of workers that are otherwise equal: estimated slowness plus utilization.

        Example: ``Candidate("i-1", "north", 4, 2.0, slowness=1.2).cost() == 1.7``
        """
        return self.slowness + self.utilization()

    def has_capacity(self, share: float) -> bool:
        """Whether the worker accepts requests and its load is below a share of its slots."""
        return not self.rejecting and self.load < share * max(1, self.slots)

    def rank(self) -> int:
        """0 for a worker that is neither warming up nor suspect, more for those to be used later.

        Example: ``Candidate("i-1", "north", 4, 2.0, warming_up=True).rank() == 1``
        """
        return self.warming_up + 2 * self.suspect


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen worker and the reason; the name is empty if there is none."""

    name: str
    kind: str
    reason: str


@functools.lru_cache(maxsize=65536)
def rendezvous_weight(segment: str, name: str) -> bytes:
    """The rendezvous hash of a worker for a prompt segment; on every edge the highest marks the preferred worker.

    Example: ``rendezvous_weight("5c1e", "i-1") == rendezvous_weight("5c1e", "i-1")``
    """
    return hashlib.blake2b(f"{len(segment)} {segment} {name}".encode(), digest_size=16).digest()


def preferred_workers(segment: str, candidates: tuple[Candidate, ...]) -> list[Candidate]:
    """The workers in the order in which they are preferred for a prompt segment."""
    return sorted(candidates, key=lambda worker: rendezvous_weight(segment, worker.name), reverse=True)


def choose(
    candidates: tuple[Candidate, ...],
    segments: tuple[tuple[str, int], ...],
    previous_worker: str,
    zone: str,
    randomness: random.Random,
    share: float = PREFERRED_UTILIZATION,
    load_limit: float = math.inf,
    copies: int = 1,
) -> Choice:
    """Choose the worker of the previous turn, else a preferred one of the first segment, else the less loaded of two.

    A segment has ``copies`` preferred workers over all zones. A preferred worker takes requests up to ``share`` of its
    slots; no worker is chosen whose load is at least ``load_limit`` times its slots.
    """
    if not candidates:
        return Choice("", NONE, "the service has no workers")
    if load_limit < math.inf:
        candidates = tuple(worker for worker in candidates if worker.load < load_limit * max(1, worker.slots))
        if not candidates:
            return Choice("", NONE, "all workers are at the load limit")
    if previous_worker:
        previous = next((worker for worker in candidates if worker.name == previous_worker), None)
        if previous is not None and not previous.suspect and previous.has_capacity(1.0):
            return Choice(
                previous_worker,
                PREVIOUS,
                f"{previous_worker} served the previous turn, {previous.load:.1f} of {previous.slots} slots in use",
            )
    if segments:
        preferred = choose_preferred(candidates, segments[0][0], share, zone, randomness, copies)
        if preferred is not None:
            return preferred
    return choose_least_loaded(candidates, zone, randomness)


def choose_preferred(
    candidates: tuple[Candidate, ...],
    segment: str,
    share: float,
    zone: str,
    randomness: random.Random,
    copies: int,
) -> Choice | None:
    """Choose a preferred worker of a segment that has a free slot; none if all workers are full.

    Each zone has its portion of a segment's ``copies``. The preferred workers of the own zone come first up to half of
    the share, so that long prompts and answers do not cross zones; then those of other zones, then all up to the share.
    Among equals the cheaper of two drawn at random is taken, because an edge knows little of what others send.
    Preferred workers of other zones that are clearly faster come before those of the own zone: they hold the segment
    for their own zone anyway.
    """
    order = preferred_workers(segment, candidates)
    local = [worker for worker in order if worker.zone == zone]
    remote = [worker for worker in order if worker.zone != zone]
    tiers = [(order, copies, share), (order, copies, 1.0)]
    if local:
        local_copies = max(1, copies * len(local) // len(order))
        remote_copies = max(1, copies - local_copies)
        local_first, all_copies = local + remote, local_copies + remote_copies
        tiers = [
            (local, local_copies, share / 2),
            (remote, remote_copies, share / 2),
            (local_first, local_copies, share),
            (local_first, all_copies, 1.0),
        ]
    first = tiers[0][0][: tiers[0][1]]
    for group, count, limit in tiers:
        for rank in sorted({worker.rank() for worker in group}):
            worker = draw_preferred(group, count, limit, rank, randomness)
            if worker is None:
                continue
            if group is local and remote:
                remote_worker = draw_preferred(remote, remote_copies, limit, rank, randomness)
                if remote_worker is not None and remote_worker.slowness + ZONE_CROSSING_COST < worker.slowness:
                    worker = remote_worker
            where = "local" if worker.zone == zone else "remote"
            usage = f"{worker.load:.1f} of {worker.slots} slots in use, {worker.slowness:.2f} times as slow as idle"
            reason = (
                f"{worker.name} is {where} preferred worker {order.index(worker) + 1} of segment {segment}, {usage}"
            )
            return Choice(worker.name, PREFERRED if worker in first else OVERFLOW, reason)
    return None


def draw_preferred(
    group: list[Candidate], count: int, limit: float, rank: int, randomness: random.Random
) -> Candidate | None:
    """Draw two of the first workers of a rank that have a free slot and return the cheaper; none if none has one."""
    available = [worker for worker in group if worker.rank() == rank and worker.has_capacity(limit)][:count]
    if not available:
        return None
    return min(randomness.sample(available, min(2, len(available))), key=Candidate.cost)


def choose_least_loaded(candidates: tuple[Candidate, ...], zone: str, randomness: random.Random) -> Choice:
    """Choose the least loaded of two workers drawn from the own zone and two from the other zones.

    At equal load a worker of the own zone is chosen.
    """
    lowest_penalty, local, remote = 99, [], []
    for worker in candidates:
        penalty = 8 * worker.rejecting + 4 * (worker.load >= worker.slots) + worker.warming_up + 2 * worker.suspect
        if penalty < lowest_penalty:
            lowest_penalty, local, remote = penalty, [], []
        if penalty == lowest_penalty:
            (local if worker.zone == zone else remote).append(worker)
    drawn = [worker for group in (local, remote) for worker in randomness.sample(group, min(2, len(group)))]
    worker = min(drawn, key=Candidate.utilization)
    reason = (
        f"{worker.name} is the least loaded of {len(drawn)} drawn, {worker.load:.1f} of {worker.slots} slots in use"
    )
    return Choice(worker.name, LEAST_LOADED, reason)
