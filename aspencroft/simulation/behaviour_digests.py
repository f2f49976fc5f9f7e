"""Digests of what seeded simulated days show, to prove that a refactoring left the behaviour as it was.

A digest is over observations alone: requests, answers, runs, orders, times and the state at the end, as lists of
values. It holds no names of Python classes, modules or fields, and no log texts; of fixed words, such as outcomes, it
holds only which of them are equal. ``behaviour_digests.json`` beside this module keeps the digests of all days.

Each day is played in a process of its own with ``PYTHONHASHSEED=0``: the course of the older campaigns depends on
the hash seed.
"""

import collections
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import datetime
import enum
import hashlib
import json
import multiprocessing
import os
import pathlib
import sys
import time
import typing
import unittest.mock

import defopt

from aspencroft.errors import result
from aspencroft.simulation import campaign, cutoff, explorer, forwarding, model_check, simulated_cluster

KEPT = pathlib.Path(__file__).with_suffix(".json")
MOST_PROCESSES = 6
APART = simulated_cluster.Size(2, 3, 5, apart=True)
CUTOFF = simulated_cluster.Size(12, 3, 5, apart=True)
CUTOFF_ROUNDS = 2
CAMPAIGN_FAULTS, APART_FAULTS, FORWARDING_FAULTS = 7, 5, 9
FAULT_GROUPS = 6
APART_KINDS = (*campaign.APART[-3:], "leader", "cut")
CAMPAIGN_SEEDS = (1, 3, 4, 5, 6, 11, 13, 14)
APART_SEEDS = (2,)
FORWARDING_SEEDS = (1, 3, 5, 9, 13, 18, 21)
CUTOFF_SEEDS = (1, 2)
MODEL_STATES = explorer.Bound(depth=80, states=6_000)


class Words:
    """Numbers for fixed words in the order of their first use: a word that is renamed everywhere keeps its number.

    Example: ``Words()("done") == 0``
    """

    def __init__(self):
        self.numbers: dict[str, int] = {}

    def __call__(self, word: str) -> int:
        """The number of a word."""
        return self.numbers.setdefault(word, len(self.numbers))


def plain(value) -> typing.Any:
    """A value in the canonical form: lists of JSON scalars.

    Records become the lists of their fields' values, enumeration members their values; mappings and sets are sorted.

    Example: ``plain({2: 0.5, 1: b"x"}) == [[1, "x:78"], [2, "0.5"]]``
    """
    if isinstance(value, enum.Enum):
        return plain(value.value)
    if value is None or isinstance(value, bool | int | str):
        return value
    if isinstance(value, float):
        return repr(value)
    if isinstance(value, bytes):
        return f"x:{value.hex()}"
    if isinstance(value, datetime.timedelta):
        return value // datetime.timedelta(microseconds=1)
    if isinstance(value, result.RequestError):
        return [value.result.number, plain(value.ran), plain(value.retry)]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, collections.abc.Mapping):
        return sorted(([plain(key), plain(each)] for key, each in value.items()), key=json.dumps)
    if isinstance(value, collections.abc.Set):
        return sorted(map(plain, value), key=json.dumps)
    if isinstance(value, collections.abc.Sequence):
        return [plain(each) for each in value]
    raise TypeError(f"no canonical form of {value!r}")


def values(record) -> typing.Any:
    """The values of a JSON document in their order, without the names of its fields.

    Example: ``values({"a": 1, "b": [{"c": 2}]}) == [1, [[2]]]``
    """
    if isinstance(record, collections.abc.Mapping):
        return [values(each) for each in record.values()]
    if isinstance(record, list | tuple):
        return [values(each) for each in record]
    return plain(record)


def digest(*observations) -> str:
    """The SHA-256 of observations in their canonical form."""
    text = json.dumps(plain(observations), separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()


@contextlib.contextmanager
def days_made(module) -> collections.abc.Iterator[list]:
    """The days that a campaign makes inside the context, for it returns no more than summaries of them."""
    make, days = module.Day, []

    def noted(*arguments, **named):
        days.append(make(*arguments, **named))
        return days[-1]

    with unittest.mock.patch.object(module, "Day", noted):
        yield days


def final_versions(cluster: simulated_cluster.SimulatedCluster) -> list:
    """Each living node at the end, with the version of the configuration that it holds."""
    return [
        [name, cluster.nodes[name].relay.configuration.version]
        for name in cluster.names()
        if cluster.alive(name) and name in cluster.nodes
    ]


@dataclasses.dataclass(frozen=True)
class Observed:
    """A day's digest, the kinds of faults that it met, how many rules it broke, and the seconds that it took."""

    digest: str
    kinds: tuple[str, ...] = ()
    broken: int = 0
    seconds: float = 0.0


def kinds_in(done: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """The kinds of faults in a day's course, whose lines are a time, a kind and perhaps a machine.

    Example: ``kinds_in(["3.1 edge kill edge-0", "4.0 list"]) == ("edge kill", "list")``
    """
    known = {*campaign.FAULTS, *campaign.APART, *forwarding.FAULTS}
    found = set()
    for line in done:
        words = line.split()[1:]
        whole, first = " ".join(words), " ".join(words[:-1])
        found.add(whole if whole in known or not first else first)
    return tuple(sorted(found))


def campaign_day(seed: int, apart: bool) -> Observed:
    """A day of the older campaigns; ``apart`` puts the control group on the cores' disks."""
    with days_made(campaign) as days:
        if apart:
            shown = campaign.run_day(seed, APART_KINDS, APART_FAULTS, APART, {"witnesses": "core"})
        else:
            kinds = campaign.FAULTS[(seed - 1) % FAULT_GROUPS :: FAULT_GROUPS]
            shown = campaign.run_day(seed, kinds, CAMPAIGN_FAULTS)
    day, word = days[0], Words()
    cluster = day.cluster
    noted = [
        dataclasses.astuple(
            dataclasses.replace(one, ran=word(one.ran), text=one.text if one.result == 0 else "", operation="")
        )
        for one in day.asking.noted
    ]
    writes = [dataclasses.astuple(dataclasses.replace(one, outcome=word(one.outcome))) for one in day.operators.writes]
    observed = digest(
        noted,
        [values(body) for body in cluster.world.seen()],
        cluster.world.ran(),
        cluster.world.put_out(),
        cluster.marked,
        writes,
        day.operators.reads,
        day.document,
        day.returned,
        len(shown["wrong"]),
        cluster.wire.trace,
        final_versions(cluster),
        cluster.loop.time(),
    )
    return Observed(observed, kinds_in(shown["done"]), len(shown["wrong"]))


def forwarding_day(seed: int) -> Observed:
    """A day of opaque calls."""
    with days_made(forwarding) as days:
        shown = forwarding.run_day(seed, count=FORWARDING_FAULTS)
    day, word = days[0], Words()
    cluster = day.world
    tries = [
        [
            one.call.attempt,
            one.edge,
            one.began,
            word(one.outcome),
            one.ended,
            one.first,
            one.status,
            one.seal,
            one.heard,
            one.whole,
            one.read,
            one.refusal,
            one.repeat,
        ]
        for one in day.agents.tries
    ]
    programs = [
        [one.name, one.budget, one.began, one.aim, one.runaway, word(one.outcome), one.ended, one.turns]
        for one in day.agents.programs
    ]
    observed = digest(
        tries,
        programs,
        [[life.name, life.runs] for life in cluster.workers],
        day.operator.versions,
        cluster.troubles,
        cluster.draining,
        cluster.lives,
        cluster.refused,
        day.read_back,
        day.closing,
        len(shown.wrong),
        cluster.wire.trace,
        final_versions(cluster),
        cluster.loop.time(),
    )
    return Observed(observed, kinds_in(shown.done), len(shown.wrong))


def cutoff_day(seed: int) -> Observed:
    """A day of orders and reads while cores and edges are cut off."""

    async def trouble(cluster: simulated_cluster.SimulatedCluster, trial: cutoff.Trial) -> None:
        await cutoff.random_trouble(cluster, trial, CUTOFF_ROUNDS)

    trial = cutoff.play(seed, trouble, CUTOFF)
    cluster = trial.cluster
    observed = digest(
        trial.acknowledged,
        list(trial.counts.values()),
        len(trial.events),
        len(trial.faults),
        cluster.wire.trace,
        final_versions(cluster),
        cluster.loop.time(),
    )
    return Observed(observed, broken=len(trial.faults))


def model_day(checks: tuple[model_check.Check, ...]) -> Observed:
    """Bounded explorations of the protocol's models: states, steps and depth of each."""
    found = [explorer.explore(one.model(), MODEL_STATES) for one in checks]
    rows = [[one.states, one.steps, one.depth, one.complete, one.violation is not None] for one in found]
    return Observed(digest(rows), broken=sum(one.violation is not None for one in found))


def days() -> dict[str, tuple[collections.abc.Callable[..., Observed], tuple]]:
    """All days by name, the long ones first."""
    return {
        **{f"cutoff {seed}": (cutoff_day, (seed,)) for seed in CUTOFF_SEEDS},
        **{f"campaign {seed}": (campaign_day, (seed, False)) for seed in CAMPAIGN_SEEDS},
        **{f"campaign apart {seed}": (campaign_day, (seed, True)) for seed in APART_SEEDS},
        **{f"forwarding {seed}": (forwarding_day, (seed,)) for seed in FORWARDING_SEEDS},
        "model of three voters": (model_voters, (3,)),
        "model of five voters": (model_voters, (5,)),
        "model of copies": (model_copies, ()),
    }


def model_voters(voters: int) -> Observed:
    """The checks of so many voters."""
    return model_day(model_check.voting_checks(model_check.FIVE[:voters]))


def model_copies() -> Observed:
    """The checks of a group's copies."""
    return model_day(model_check.copies_checks())


def play(name: str) -> Observed:
    """Play a day by its name."""
    function, arguments = days()[name]
    began = time.perf_counter()
    observed = function(*arguments)
    return dataclasses.replace(observed, seconds=time.perf_counter() - began)


def play_apart(names: collections.abc.Iterable[str], processes: int) -> dict[str, Observed]:
    """Play days, each in a fresh process with the same hash seed, so that none depends on another."""
    names, spawn = list(names), multiprocessing.get_context("spawn")
    with unittest.mock.patch.dict(os.environ, PYTHONHASHSEED="0"):
        pool = concurrent.futures.ProcessPoolExecutor(
            min(processes, MOST_PROCESSES), mp_context=spawn, max_tasks_per_child=1
        )
        with pool:
            return dict(zip(names, pool.map(play, names), strict=True))


def kept() -> dict[str, str]:
    """The digests that are kept, by name of day.

    Example: ``kept().keys() == days().keys()``
    """
    return json.loads(KEPT.read_text())


def missing(found: collections.abc.Iterable[Observed]) -> list[str]:
    """Kinds of faults that the campaigns know and no day met."""
    met = {kind for one in found for kind in one.kinds}
    return sorted({*campaign.FAULTS, *campaign.APART, *forwarding.FAULTS} - met)


def behaviour_digests(*, check: bool = False, processes: int = 4, only: str = "") -> None:
    """Play all days and keep their digests, or compare them with those kept.

    :param check: compare, print the days that differ and exit with 1 if there are any; keep nothing
    :param processes: how many days at once, six at most
    :param only: compare just the day of this name
    """
    if only and (not check or only not in days()):
        sys.exit(f"only: one of {', '.join(days())}, together with --check")
    began = time.perf_counter()
    found = play_apart([only] if only else days(), processes)
    for name, one in found.items():
        print(f"{name}: {one.digest[:16]}, {one.seconds:.1f} s, {one.broken} broken; {', '.join(one.kinds)}")
    print(f"{len(found)} days in {time.perf_counter() - began:.1f} s; kinds not met: {missing(found.values())}")
    digests = {name: one.digest for name, one in found.items()}
    if not check:
        KEPT.write_text(json.dumps(digests, indent=1) + "\n")
        return
    before = {name: digest for name, digest in kept().items() if not only or name == only}
    differing = sorted(name for name in {*before, *digests} if before.get(name) != digests.get(name))
    print(*(f"differs: {name}" for name in differing), f"{len(differing)} days differ", sep="\n")
    sys.exit(1 if differing else 0)


if __name__ == "__main__":
    defopt.run(behaviour_digests)
