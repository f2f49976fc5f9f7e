"""Joint selection of models, adapters and parked KV under one budget (the paper's Algorithm 1)."""

import bisect
import dataclasses
import itertools
import math
import random

from aspencroft.residency import candidate
from aspencroft.runtime import clock

COMPRESSION = ROUNDING = THRESHOLD = 0.05
MOST_OPTIONS = 32


@dataclasses.dataclass(frozen=True)
class Option:
    """A legal choice for one model: what it keeps of the model and its adapters."""

    size: int
    value: float
    members: tuple[candidate.Candidate, ...]


@dataclasses.dataclass(frozen=True)
class Selection:
    """What is to stay, its size and value; whether what is protected alone is too much."""

    chosen: tuple[candidate.Candidate, ...]
    size: int
    value: float
    shortfall: int


def groups_of(
    weights: tuple[candidate.Candidate, ...], protected: frozenset[str], budget: int
) -> tuple[tuple[Option, ...], ...]:
    """Legal options per model: an adapter only with its base, unless the base is protected."""
    models = {one.name: one for one in weights if one.kind == candidate.MODEL}
    found = []
    for base in dict.fromkeys([*models, *[one.base for one in weights if one.kind == candidate.ADAPTER]]):
        adapters = [one for one in weights if one.kind == candidate.ADAPTER and one.base == base]
        adapters.sort(key=lambda one: -one.density)
        own = (models[base],) if base in models else ()
        if not own and base not in protected:
            continue
        choices = [()] if not own else []
        for count in range(len(adapters) + 1):
            for picked in itertools.combinations(adapters, count):
                choices.append(own + picked)
                if len(choices) > MOST_OPTIONS:
                    break
        options = [
            Option(sum(one.size for one in members), sum(one.value for one in members), members)
            for members in choices
            if members
        ]
        options = [one for one in options if one.size <= budget and one.value > 0]
        if options:
            found.append(tuple(options))
    return tuple(found)


def scale(singles: list[candidate.Candidate], budget: int) -> float:
    """L: the better of the density prefix and the best single, at least half the optimum."""
    best = max((one.value for one in singles), default=0.0)
    room, prefix = budget, 0.0
    for one in sorted(singles, key=lambda single: -single.density):
        if one.size > room:
            break
        room -= one.size
        prefix += one.value
    return max(best, prefix)


def compressed(high: list[candidate.Candidate], threshold: float) -> list[candidate.Candidate]:
    """High-value KV by geometric value buckets, only the smallest of each bucket."""
    most = math.ceil(2 / THRESHOLD)
    growth = 1 / (1 - COMPRESSION)
    buckets: dict[int, list[candidate.Candidate]] = {}
    for one in high:
        buckets.setdefault(int(math.log(one.value / threshold, growth)), []).append(one)
    return [one for bucket in buckets.values() for one in sorted(bucket, key=lambda single: single.size)[:most]]


def frontier(groups: tuple[tuple[Option, ...], ...], unit: float, budget: int) -> list[Option]:
    """For each rounded value the smallest set that reaches it, sizes exact."""
    states: dict[int, tuple[int, float, tuple]] = {0: (0, 0.0, ())}
    for options in groups:
        fresh = dict(states)
        for rounded, (size, value, members) in states.items():
            for option in options:
                total = size + option.size
                if total > budget:
                    continue
                place = rounded + int(option.value / unit)
                held = fresh.get(place)
                if held is None or total < held[0]:
                    fresh[place] = (total, value + option.value, (members, option.members))
        states = fresh
    return [Option(size, value, flat(members)) for size, value, members in states.values()]


def flat(members: tuple) -> tuple[candidate.Candidate, ...]:
    """Nested pairs of members as one row."""
    row: list[candidate.Candidate] = []
    while members:
        members, last = members
        row.extend(last)
    return tuple(row)


def select(
    candidates: tuple[candidate.Candidate, ...],
    budget: int,
    weight_bytes: int = 0,
    kv_bytes: int = 0,
    protected: frozenset[str] = frozenset(),
) -> Selection:
    """A set within (1 - 0.15) of the best that fits beside what is protected."""
    free = budget - weight_bytes - kv_bytes
    if free < 0:
        return Selection((), 0, 0.0, -free)
    useful = [one for one in candidates if one.value > 0 and 0 < one.size <= free]
    weights = tuple(one for one in useful if one.kind != candidate.KV)
    kv = [one for one in useful if one.kind == candidate.KV]
    groups = groups_of(weights, protected, free)
    independent = all(len(options) == 1 for options in groups)
    singles = kv + (
        [
            candidate.Candidate(candidate.MODEL, "", one.size, one.value, clock.seconds(1), "")
            for options in groups
            for one in options
        ]
        if independent
        else []
    )
    level = scale(singles, free)
    threshold = THRESHOLD * level
    high = compressed([one for one in kv if one.value > threshold], threshold) if threshold else []
    groups += tuple((Option(one.size, one.value, (one,)),) for one in high)
    best_option = max((one.value for options in groups for one in options), default=0.0)
    floor = level if independent else max(level, best_option)
    unit = ROUNDING * floor / max(1, len(groups))
    row = frontier(groups, unit, free) if groups and unit else [Option(0, 0.0, ())]
    low = sorted((one for one in kv if one.value <= threshold), key=lambda one: -one.density)
    sizes = list(itertools.accumulate((one.size for one in low), initial=0))
    values = list(itertools.accumulate((one.value for one in low), initial=0.0))
    best, best_count = Option(0, 0.0, ()), 0
    for state in row:
        count = bisect.bisect_right(sizes, free - state.size) - 1
        if state.value + values[count] > best.value + values[best_count]:
            best, best_count = state, count
    return Selection(
        best.members + tuple(low[:best_count]),
        best.size + sizes[best_count],
        best.value + values[best_count],
        0,
    )


def optimum(candidates: list[candidate.Candidate], budget: int) -> float:
    """The best value by trying every legal set: the plain model of ``select``."""
    best = 0.0
    for mask in range(1 << len(candidates)):
        chosen = [one for place, one in enumerate(candidates) if mask >> place & 1]
        names = {one.name for one in chosen if one.kind == candidate.MODEL}
        if all(one.kind != candidate.ADAPTER or one.base in names for one in chosen):
            if sum(one.size for one in chosen) <= budget:
                best = max(best, sum(one.value for one in chosen))
    return best


def sample(chance: random.Random, adapters: bool) -> list[candidate.Candidate]:
    """Candidates at random, for the tests."""
    found = []
    for number in range(chance.randrange(1, 11)):
        kind = chance.choice([candidate.MODEL, candidate.KV, candidate.KV])
        models = [one.name for one in found if one.kind == candidate.MODEL]
        base = ""
        if adapters and models and chance.random() < 0.3:
            kind, base = candidate.ADAPTER, chance.choice(models)
        found.append(
            candidate.Candidate(
                kind,
                f"c{number}",
                chance.randrange(1, 40),
                chance.random() ** 3,
                clock.seconds(chance.choice([0.05, 0.6, 2.6, 8.9])),
                base,
            )
        )
    return found
