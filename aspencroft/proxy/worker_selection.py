"""Which worker a request goes to: a pure choice, the same on every edge where that matters, with its reason."""

import dataclasses
import functools
import hashlib
import math
import random

PREFERRED_UTILIZATION = 0.75
ZONE_CROSSING_COST = 0.15
LAST, HOME, SPILL, LEAST, NONE = "last", "home", "spill", "least", "none"


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that a request may go to, as it is known at this moment.

    ``load`` is requests running and waiting there; ``warming_up`` and ``suspect`` workers are taken when no
    other has room; a ``rejecting`` one rejected a request a moment ago. ``slowness`` is how many times as long as an
    idle worker it takes for an event, as far as that is known.
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
        """How full the worker is: whole requests over slots.

        Example: ``Candidate("i-1", "north", 4, 2.0).utilization() == 0.5``
        """
        return math.floor(self.load + 1e-9) / max(1, self.slots)

    def cost(self) -> float:
        """What orders workers that are equal otherwise: how slow, and how full as far as that is known.

        Example: ``Candidate("i-1", "north", 4, 2.0, slowness=1.2).cost() == 1.7``
        """
        return self.slowness + self.utilization()

    def has_capacity(self, share: float) -> bool:
        """Whether one more request would stay within a share of the slots."""
        return not self.rejecting and self.load < share * max(1, self.slots)

    def rank(self) -> int:
        """0 for a sound warm worker, more for those to be taken later.

        Example: ``Candidate("i-1", "north", 4, 2.0, warming_up=True).rank() == 1``
        """
        return self.warming_up + 2 * self.suspect


@dataclasses.dataclass(frozen=True)
class Choice:
    """The worker chosen and why; an empty name when there is none."""

    name: str
    kind: str
    reason: str


@functools.lru_cache(maxsize=65536)
def rendezvous_weight(part: str, name: str) -> bytes:
    """A worker's lot for a part; the highest is the part's first home, on every edge.

    Example: ``rendezvous_weight("5c1e", "i-1") == rendezvous_weight("5c1e", "i-1")``
    """
    return hashlib.blake2b(f"{len(part)} {part} {name}".encode(), digest_size=16).digest()


def preferred_workers(part: str, instances: tuple[Candidate, ...]) -> list[Candidate]:
    """The workers in the order in which they are a part's homes."""
    return sorted(instances, key=lambda one: rendezvous_weight(part, one.name), reverse=True)


def choose(
    instances: tuple[Candidate, ...],
    parts: tuple[tuple[str, int], ...],
    last: str,
    zone: str,
    randomness: random.Random,
    share: float = PREFERRED_UTILIZATION,
    load_limit: float = math.inf,
    copies: int = 1,
) -> Choice:
    """One worker: that of the turn before, else a home of the first shared part, else the lesser of two loads.

    A part has ``copies`` homes, over all zones. A home takes requests up to ``share`` of its slots; no worker is
    chosen whose load is ``load_limit`` times its slots.
    """
    if not instances:
        return Choice("", NONE, "no worker is there")
    if load_limit < math.inf:
        instances = tuple(one for one in instances if one.load < load_limit * max(1, one.slots))
        if not instances:
            return Choice("", NONE, "all workers are full")
    if last:
        known = next((one for one in instances if one.name == last), None)
        if known is not None and not known.suspect and known.has_capacity(1.0):
            return Choice(last, LAST, f"{last} served the turn before, {known.load:.1f} of {known.slots} slots taken")
    if parts:
        found = choose_preferred(instances, parts[0][0], share, zone, randomness, copies)
        if found is not None:
            return found
    return choose_least_loaded(instances, zone, randomness)


def choose_preferred(
    instances: tuple[Candidate, ...],
    part: str,
    share: float,
    zone: str,
    randomness: random.Random,
    copies: int,
) -> Choice | None:
    """One of a part's homes that have room; none when all workers are full.

    Each zone has its portion of a part's ``copies``. The homes of the own zone come first until half of the share is
    taken there, as long prompts and answers cross no border then; then those elsewhere, then all up to the share.
    Among equals the lesser cost of two drawn by lot is taken: an edge knows little of what others send. Homes elsewhere
    that are clearly quicker come before those of the own zone: they hold the part for their own zone anyway.
    """
    order = preferred_workers(part, instances)
    near = [one for one in order if one.zone == zone]
    far = [one for one in order if one.zone != zone]
    sides = [(order, copies, share), (order, copies, 1.0)]
    if near:
        near_copies = max(1, copies * len(near) // len(order))
        far_copies = max(1, copies - near_copies)
        both, all_copies = near + far, near_copies + far_copies
        sides = [
            (near, near_copies, share / 2),
            (far, far_copies, share / 2),
            (both, near_copies, share),
            (both, all_copies, 1.0),
        ]
    first = sides[0][0][: sides[0][1]]
    for side, width, limit in sides:
        for rank in sorted({one.rank() for one in side}):
            one = draw_preferred(side, width, limit, rank, randomness)
            if one is None:
                continue
            if side is near and far:
                other = draw_preferred(far, far_copies, limit, rank, randomness)
                if other is not None and other.slowness + ZONE_CROSSING_COST < one.slowness:
                    one = other
            where = "its zone's" if one.zone == zone else "a"
            taken = f"{one.load:.1f} of {one.slots} slots taken, {one.slowness:.2f} times as slow as idle"
            why = f"{one.name} is {where} home {order.index(one) + 1} of part {part}, {taken}"
            return Choice(one.name, HOME if one in first else SPILL, why)
    return None


def draw_preferred(
    side: list[Candidate], width: int, limit: float, rank: int, randomness: random.Random
) -> Candidate | None:
    """The lesser cost of two drawn among the first homes of a rank that have room; none when no home has."""
    open_homes = [one for one in side if one.rank() == rank and one.has_capacity(limit)][:width]
    if not open_homes:
        return None
    return min(randomness.sample(open_homes, min(2, len(open_homes))), key=Candidate.cost)


def choose_least_loaded(instances: tuple[Candidate, ...], zone: str, randomness: random.Random) -> Choice:
    """The less loaded of two workers drawn from each side of the zone's border.

    The first drawn, the zone's own, at equal loads.
    """
    best, near, far = 99, [], []
    for one in instances:
        late = 8 * one.rejecting + 4 * (one.load >= one.slots) + one.warming_up + 2 * one.suspect
        if late < best:
            best, near, far = late, [], []
        if late == best:
            (near if one.zone == zone else far).append(one)
    drawn = [one for side in (near, far) for one in randomness.sample(side, min(2, len(side)))]
    one = min(drawn, key=Candidate.utilization)
    why = f"{one.name} has the least load of {len(drawn)} drawn, {one.load:.1f} of {one.slots} slots taken"
    return Choice(one.name, LEAST, why)
