"""Drawing a worker for a call: only allowed services, workers that hold the model first."""

import dataclasses
import itertools
import random

from aspencroft.workers import worker

FAILED, RESTS = "failed lately", "at rest"
RELUCTANCE = {"": 0, FAILED: 1, RESTS: 2}


@dataclasses.dataclass(frozen=True)
class Drawn:
    """The worker and service for a call, why the others were left out, whether places may become free,
    and which resting workers should be woken.
    """

    worker: worker.Worker | None
    service: str
    reasons: tuple[tuple[str, str], ...]
    full: bool
    wake: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class View:
    """What an edge knows at the moment of drawing."""

    workers: tuple[worker.Worker, ...]
    leaving: frozenset[str]
    demand: dict[str, int]
    troubled: frozenset[str]
    crowded: frozenset[str]
    held: dict[str, frozenset[str]]
    homes: dict[str, str]
    quiet: frozenset[str]


def bars(one: worker.Worker, view: View, tried: frozenset[str]) -> str:
    """Why a worker must not be drawn now, or nothing."""
    if one.leaving or one.name in view.leaving:
        return "leaving"
    if one.name in tried:
        return "handed it back"
    if one.name in view.crowded:
        return "handed others back just now"
    if view.demand.get(one.name, 0) >= one.places:
        return "full"
    return ""


def draw(allowed: tuple[str, ...], program: str, view: View, tried: frozenset[str], chance: random.Random) -> Drawn:
    """The best worker: a program's home, then holders of the model, then the lesser demand of two by lot.

    All edges know the same list, so equal ranks are broken by lot: a tie by name would send the calls of
    all edges to one worker. Workers that failed lately are drawn only when no sound one is left, resting
    ones only when no awake one offers the service at all; while awake ones are merely full, the resting
    ones are named to be woken and the call waits. Leaving workers are never drawn.
    """
    reasons: list[tuple[str, str]] = []
    ranked, awake, full, wake = [], 0, False, []
    for one in view.workers:
        offered = [service for service in allowed if service in one.services]
        if not offered:
            reasons.append((one.name, "offers no allowed service"))
            continue
        bar = bars(one, view, tried)
        rests = one.name in view.quiet
        if bar != "leaving" and not rests and one.name not in view.troubled:
            awake += 1
        if bar:
            reasons.append((one.name, bar))
            full = full or bar != "leaving"
            continue
        state = RESTS if rests else FAILED if one.name in view.troubled else ""
        holds = [service for service in offered if service in view.held.get(one.name, frozenset())]
        home = view.homes.get(program) == one.name
        rank = (RELUCTANCE[state], not (home and holds), not holds)
        ranked.append((rank, one, (holds or offered)[0], state))
    if awake and ranked and all(state == RESTS for _, _, _, state in ranked):
        wake = [one.name for _, one, _, _ in ranked]
        reasons.extend((name, RESTS) for name in wake)
        ranked, full = [], True
    if not ranked:
        return Drawn(None, "", tuple(reasons), full, tuple(wake))
    ranked.sort(key=lambda entry: entry[0])
    first = list(next(group for _, group in itertools.groupby(ranked, key=lambda entry: entry[0])))
    two = chance.sample(first, 2) if len(first) > 1 else first
    best = min(two, key=lambda entry: view.demand.get(entry[1].name, 0) / entry[1].places)
    for rank, one, _, state in ranked:
        if one is not best[1]:
            reasons.append(
                (
                    one.name,
                    state
                    or (
                        "the lot, or more demand"
                        if rank == best[0]
                        else "does not hold the model"
                        if rank[2]
                        else "is not the home"
                    ),
                )
            )
    return Drawn(best[1], best[2], tuple(reasons), full, ())


def sample_view(count: int, **changes) -> View:
    """Workers w0 to w(count-1) of service a, nothing known of them, with some things changed."""
    workers = tuple(worker.Worker(f"w{number}", "http://h", "model", ("a",), False, 1, 2) for number in range(count))
    return dataclasses.replace(View(workers, frozenset(), {}, frozenset(), frozenset(), {}, {}, frozenset()), **changes)
