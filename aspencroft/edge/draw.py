"""Drawing a worker for a call: only allowed services, workers that hold the model first."""

import dataclasses

import aspencroft.worker.worker as worker


@dataclasses.dataclass(frozen=True)
class Drawn:
    """The worker and service for a call, and why the others were left out.

    Example: ``draw(...).worker.name``
    """

    worker: worker.Worker | None
    service: str
    reasons: tuple[tuple[str, str], ...]
    full: bool


@dataclasses.dataclass(frozen=True)
class View:
    """What an edge knows at the moment of drawing.

    Example: ``View(workers, frozenset(), demand, frozenset(), held, {}, frozenset())``
    """

    workers: tuple[worker.Worker, ...]
    leaving: frozenset[str]
    demand: dict[str, int]
    troubled: frozenset[str]
    held: dict[str, frozenset[str]]
    homes: dict[str, str]
    quiet: frozenset[str]


def bars(one: worker.Worker, view: View, tried: frozenset[str]) -> str:
    """Why a worker must not be drawn at all, or nothing.

    Example: ``bars(one, view, frozenset()) == "leaving"``
    """
    if one.leaving or one.name in view.leaving:
        return "leaving"
    if one.name in tried:
        return "handed it back"
    if one.name in view.quiet:
        return "at rest"
    if one.name in view.troubled:
        return "failed lately"
    return ""


def draw(allowed: tuple[str, ...], program: str, view: View, tried: frozenset[str]) -> Drawn:
    """The best worker: a program's home, then holders of the model, then the least demand.

    Workers that failed lately, rest or handed the call back are the last resort, in this order of
    reluctance, and leaving ones are none at all.

    Example: ``draw(("planner",), "p1", view, frozenset()).worker``
    """
    reasons: list[tuple[str, str]] = []
    ranked = []
    full = False
    for one in view.workers:
        offered = [service for service in allowed if service in one.services]
        if not offered:
            reasons.append((one.name, "offers no allowed service"))
            continue
        bar = bars(one, view, tried)
        if bar in ("leaving", "handed it back"):
            reasons.append((one.name, bar))
            continue
        demand = view.demand.get(one.name, 0)
        if demand >= one.places:
            reasons.append((one.name, "full"))
            full = True
            continue
        holds = [service for service in offered if service in view.held.get(one.name, frozenset())]
        service = (holds or offered)[0]
        home = view.homes.get(program) == one.name
        rank = (bool(bar), not (home and holds), not holds, demand / one.places, one.name)
        ranked.append((rank, one, service, bar))
    if not ranked:
        return Drawn(None, "", tuple(reasons), full)
    ranked.sort(key=lambda entry: entry[0])
    _, best, service, bar = ranked[0]
    for rank, one, _, other in ranked[1:]:
        reasons.append((one.name, other or ("more demand" if rank[2] == ranked[0][0][2] else "does not hold the model")))
    return Drawn(best, service, tuple(reasons), full)


def test_never_a_leaving_worker_nor_a_service_outside():
    import itertools
    workers = tuple(worker.Worker(f"w{number}", "http://h", "model", services, number == 0, 1, 2)
                    for number, services in enumerate([("a",), ("a", "b"), ("b",), ("c",)]))
    for leaving, tried, troubled in itertools.product([frozenset(), frozenset({"w1"})], repeat=3):
        view = View(workers, leaving, {"w2": 2}, troubled, {"w1": frozenset({"b"})}, {}, frozenset())
        drawn = draw(("a", "b"), "p", view, tried)
        if drawn.worker is None:
            assert "w1" in leaving | tried
        else:
            assert drawn.worker.name == "w1" and drawn.service == "b"
            assert "w1" not in leaving | tried
