"""Selection of a worker for a call: only allowed services, workers that have the model loaded first."""

import dataclasses
import itertools
import random

from aspencroft.workers import worker

FAILED_LATELY, ASLEEP = "failed lately", "at rest"
STATE_RANKS = {"": 0, FAILED_LATELY: 1, ASLEEP: 2}


@dataclasses.dataclass(frozen=True)
class Selection:
    """The result of a selection.

    It has the worker and service, why the other workers were left out, whether capacity may become free, and which
    sleeping workers should be woken.
    """

    worker: worker.Worker | None
    service: str
    reasons: tuple[tuple[str, str], ...]
    full: bool
    wake: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class View:
    """What an edge knows about workers at the moment of a selection."""

    workers: tuple[worker.Worker, ...]
    leaving: frozenset[str]
    demand: dict[str, int]
    troubled: frozenset[str]
    crowded: frozenset[str]
    held: dict[str, frozenset[str]]
    homes: dict[str, str]
    quiet: frozenset[str]


def exclusion_reason(one: worker.Worker, view: View, tried_workers: frozenset[str]) -> str:
    """Return why a worker must not be selected now, or an empty text."""
    if one.leaving or one.name in view.leaving:
        return "leaving"
    if one.name in tried_workers:
        return "handed it back"
    if one.name in view.crowded:
        return "handed others back just now"
    if view.demand.get(one.name, 0) >= one.places:
        return "full"
    return ""


def select_worker(
    allowed: tuple[str, ...], program: str, view: View, tried_workers: frozenset[str], randomness: random.Random
) -> Selection:
    """Select the best worker: a program's home, then workers with the model, then the lesser demand of two at random.

    All edges know the same list, so ties are broken at random: a tie broken by name would send the calls of all edges
    to one worker. Workers that failed lately are selected only if no healthy one is left, sleeping ones only if no
    awake one offers the service at all. While awake ones are merely full, the sleeping ones are returned to be woken
    and the call waits. Draining workers are never selected.
    """
    reasons: list[tuple[str, str]] = []
    ranked, awake, full, wake = [], 0, False, []
    for one in view.workers:
        offered = [service for service in allowed if service in one.services]
        if not offered:
            reasons.append((one.name, "offers no allowed service"))
            continue
        exclusion = exclusion_reason(one, view, tried_workers)
        is_asleep = one.name in view.quiet
        if exclusion != "leaving" and not is_asleep and one.name not in view.troubled:
            awake += 1
        if exclusion:
            reasons.append((one.name, exclusion))
            full = full or exclusion != "leaving"
            continue
        state = ASLEEP if is_asleep else FAILED_LATELY if one.name in view.troubled else ""
        holds = [service for service in offered if service in view.held.get(one.name, frozenset())]
        home = view.homes.get(program) == one.name
        rank = (STATE_RANKS[state], not (home and holds), not holds)
        ranked.append((rank, one, (holds or offered)[0], state))
    if awake and ranked and all(state == ASLEEP for _, _, _, state in ranked):
        wake = [one.name for _, one, _, _ in ranked]
        reasons.extend((name, ASLEEP) for name in wake)
        ranked, full = [], True
    if not ranked:
        return Selection(None, "", tuple(reasons), full, tuple(wake))
    ranked.sort(key=lambda entry: entry[0])
    best_ranked = list(next(group for _, group in itertools.groupby(ranked, key=lambda entry: entry[0])))
    pair = randomness.sample(best_ranked, 2) if len(best_ranked) > 1 else best_ranked
    best = min(pair, key=lambda entry: view.demand.get(entry[1].name, 0) / entry[1].places)
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
    return Selection(best[1], best[2], tuple(reasons), full, ())


def sample_view(count: int, **changes) -> View:
    """Return a view of workers w0 to w(count-1) of service a without further knowledge, with some fields changed."""
    workers = tuple(worker.Worker(f"w{number}", "http://h", "model", ("a",), False, 1, 2) for number in range(count))
    return dataclasses.replace(View(workers, frozenset(), {}, frozenset(), frozenset(), {}, {}, frozenset()), **changes)
