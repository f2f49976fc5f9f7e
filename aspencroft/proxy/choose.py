"""Which worker a request goes to: a pure choice, the same on every edge where that matters, with its reason."""

import dataclasses
import functools
import hashlib
import math
import random

SHARE = 0.75
LAST, HOME, SPILL, LEAST, NONE = "last", "home", "spill", "least", "none"


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker that a request may go to, as it is known at this moment.

    ``load`` is requests running and waiting there; ``cold`` and ``doubtful`` workers are taken when no
    other has room; a ``crowded`` one turned a request away a moment ago.

    Example: ``Candidate("i-1", "north", 32, 3.0)``
    """

    name: str
    zone: str
    slots: int
    load: float
    cold: bool = False
    doubtful: bool = False
    crowded: bool = False

    def fill(self) -> float:
        """How full the worker is: whole requests over slots.

        Example: ``Candidate("i-1", "north", 4, 2.0).fill() == 0.5``
        """
        return math.floor(self.load + 1e-9) / max(1, self.slots)

    def room(self, share: float) -> bool:
        """Whether one more request would stay within a share of the slots.

        Example: ``Candidate("i-1", "north", 4, 2.0).room(0.75)``
        """
        return not self.crowded and self.load < share * max(1, self.slots)

    def rank(self) -> int:
        """0 for a sound warm worker, more for those to be taken later.

        Example: ``Candidate("i-1", "north", 4, 2.0, cold=True).rank() == 1``
        """
        return self.cold + 2 * self.doubtful


@dataclasses.dataclass(frozen=True)
class Choice:
    """The worker chosen and why; an empty name when there is none."""

    name: str
    kind: str
    reason: str


@functools.lru_cache(maxsize=65536)
def weight(part: str, name: str) -> bytes:
    """A worker's lot for a part; the highest is the part's first home, on every edge.

    Example: ``weight("5c1e", "i-1") == weight("5c1e", "i-1")``
    """
    return hashlib.blake2b(f"{len(part)} {part} {name}".encode(), digest_size=16).digest()


def homes(part: str, instances: tuple[Candidate, ...]) -> list[Candidate]:
    """The workers in the order in which they are a part's homes.

    Example: ``homes("5c1e", candidates)[0].name``
    """
    return sorted(instances, key=lambda one: weight(part, one.name), reverse=True)


def choose(
    instances: tuple[Candidate, ...],
    parts: tuple[tuple[str, int], ...],
    last: str,
    zone: str,
    randomness: random.Random,
    share: float = SHARE,
    most: float = math.inf,
) -> Choice:
    """One worker: that of the turn before, else the home of the first shared part, else the lesser of two loads.

    A home takes requests up to ``share`` of its slots; no worker is chosen whose load is ``most`` times its slots.

    Example: ``choose(candidates, (("5c1e", 800),), "", "north", randomness).name``
    """
    if not instances:
        return Choice("", NONE, "no worker is there")
    if most < math.inf:
        instances = tuple(one for one in instances if one.load < most * max(1, one.slots))
        if not instances:
            return Choice("", NONE, "all workers are full")
    if last:
        known = next((one for one in instances if one.name == last), None)
        if known is not None and not known.doubtful and known.room(1.0):
            return Choice(last, LAST, f"{last} served the turn before, {known.load:.1f} of {known.slots} slots taken")
    if parts:
        found = at_home(instances, parts[0][0], share, zone)
        if found is not None:
            return found
    return least(instances, zone, randomness)


def at_home(instances: tuple[Candidate, ...], part: str, share: float, zone: str) -> Choice | None:
    """The first home of a part that has room; none when all homes are full.

    A part has homes in each zone: those of the own zone come first until half of the share is taken there, as long prompts and
    answers cross no border then and each zone's homes have fewer to serve; then those elsewhere, then all up to the share.

    Example: ``at_home(candidates, "5c1e", 0.75, "north")``
    """
    order = homes(part, instances)
    near = [one for one in order if one.zone == zone]
    far = [one for one in order if one.zone != zone]
    rounds = [(order, share), (order, 1.0)]
    if near:
        rounds = [(near, share / 2), (far, share / 2), (near + far, share), (near + far, 1.0)]
    first = (near or order)[0]
    for side, limit in rounds:
        for rank in sorted({one.rank() for one in side}):
            for one in side:
                if one.rank() == rank and one.room(limit):
                    where = "its zone's" if one.zone == zone else "a"
                    why = f"{one.name} is {where} home {order.index(one) + 1} of part {part}, {one.load:.1f} of {one.slots} slots taken"
                    return Choice(one.name, HOME if one is first else SPILL, why)
    return None


def least(instances: tuple[Candidate, ...], zone: str, randomness: random.Random) -> Choice:
    """The less loaded of two workers drawn from each side of the zone's border; the first drawn, the zone's own, at equal loads.

    Example: ``least(candidates, "north", randomness)``
    """
    best, near, far = 99, [], []
    for one in instances:
        late = 8 * one.crowded + 4 * (one.load >= one.slots) + one.cold + 2 * one.doubtful
        if late < best:
            best, near, far = late, [], []
        if late == best:
            (near if one.zone == zone else far).append(one)
    drawn = [one for side in (near, far) for one in randomness.sample(side, min(2, len(side)))]
    one = min(drawn, key=Candidate.fill)
    why = f"{one.name} has the least load of {len(drawn)} drawn, {one.load:.1f} of {one.slots} slots taken"
    return Choice(one.name, LEAST, why)
