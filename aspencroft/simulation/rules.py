"""The judge of opaque calls: what callers, workers and the operator saw, held against the platform's rules."""

import collections
import dataclasses
import functools
import statistics

from aspencroft.configuration import http_route, route_table
from aspencroft.emulator import agent, worker_server
from aspencroft.errors import result
from aspencroft.proxy import events

NOT_OWN = ("OVERLOADED", "NO_WORKER", "PUT_BACK", "NO_PLAN", "NOT_PRIMARY", "NO_BACKUP", "UNREACHABLE")


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The platform's bounds, in seconds.

    Example: ``Bounds().drain == 3.0``
    """

    contact: float = 3.0
    drain: float = 3.0
    apply: float = 2.0
    revert: float = 0.25
    recovery: float = 12.0
    keep: float = 60.0
    window: float = 60.0
    grace: float = 8.0
    loss_slack: float = 0.2
    settle: float = 1.0


@dataclasses.dataclass
class Version:
    """A configuration that an operator sent: on which number it builds, what it would make of the routes.

    ``taken`` is when it was acknowledged, ``refused`` that it was turned down; neither: it may be in force or not.
    """

    number: int
    base: int
    sent: float
    routes: dict[str, dict]
    items: dict[tuple[str, str], str]
    valid: bool = True
    taken: float | None = None
    refused: bool = False

    @functools.cached_property
    def table(self) -> route_table.RouteTable:
        """The routes by host and prefix."""
        found = [http_route.of(name, spec) for name, spec in sorted(self.routes.items())]
        return route_table.EMPTY.changed((), found)

    def services(self, host: str, path: str) -> frozenset[str]:
        """The services to which a request may go under this version; empty when no route begins the path."""
        route = self.table.match(host, path)
        return frozenset(route.services()) if route is not None else frozenset()


@dataclasses.dataclass
class Trouble:
    """A time of trouble of a machine; ``planned`` when it was stopped in order; without an end it still goes on."""

    machine: str
    began: float
    planned: bool = False
    ended: float | None = None

    def touches(self, began: float, ended: float) -> bool:
        """Whether the trouble overlaps a time."""
        return self.began <= ended and (self.ended is None or self.ended >= began)


@dataclasses.dataclass(frozen=True)
class Refused:
    """What stood at the workers of a request's service in the moment of its refusal."""

    attempt: str
    taken: int
    waiting: int
    places: int


@dataclasses.dataclass
class History:
    """All that was seen of a day; times are the loop's seconds.

    ``lives`` are (began, number) of each edge's processes; ``draining`` is when the platform's list showed a worker as
    leaving or gone; ``read_back`` is the configuration at the end of the day;
    ``closing`` when the closing fault was over.
    """

    tries: list[agent.Try]
    programs: list[agent.Program]
    workers: list[worker_server.Worker]
    versions: list[Version]
    troubles: list[Trouble]
    draining: dict[str, float]
    lives: dict[str, list[float]]
    bounds: Bounds = Bounds()
    read_back: tuple[int, dict[tuple[str, str], str]] | None = None
    closing: tuple[float, float] | None = None
    refused: list[Refused] = dataclasses.field(default_factory=list)
    told: list[str] = dataclasses.field(default_factory=list)

    @functools.cached_property
    def by_attempt(self) -> dict[str, agent.Try]:
        """The tries by their id."""
        return {one.call.attempt: one for one in self.tries}

    @functools.cached_property
    def runs(self) -> list[tuple[worker_server.Worker, worker_server.Run]]:
        """All runs with their workers, in the order in which they began."""
        found = [(life, run) for life in self.workers for run in life.runs]
        return sorted(found, key=lambda one: (one[1].began, one[0].name, one[1].seal))

    @functools.cached_property
    def runs_of(self) -> dict[str, list[tuple[worker_server.Worker, worker_server.Run]]]:
        """Runs by the attempt's id."""
        found = collections.defaultdict(list)
        for life, run in self.runs:
            found[run.attempt].append((life, run))
        return found

    def in_touch(self, machine: str, at: float, since: float | None = None) -> bool:
        """Whether a machine was in touch: no trouble of its own, and none of any core or storage machine.

        In the time before.
        """
        began = (at if since is None else since) - self.bounds.contact
        return not any(
            one.touches(began, at)
            for one in self.troubles
            if one.machine == machine or not one.machine.startswith("edge")
        )


def faults(history: History) -> list[str]:
    """Everything that must never happen and did, each line begins with the name of its rule."""
    found = list(history.told)
    for rule in (
        mixed,
        unasked,
        twice,
        refused,
        denied,
        routed,
        drained,
        lost_turns,
        lost_calls,
        ordered,
        budgeted,
        configured,
        stepped_back,
        written,
        recovered,
    ):
        found.extend(rule(history))
    return found


def repeatable(one: agent.Try) -> bool:
    """Whether the work of a try may be done more than once."""
    return one.use.kind == http_route.SAFE or one.use.resumable


def key_of(one: agent.Try) -> tuple[str, str]:
    """The operation of a keyed try."""
    return one.call.tenant, one.call.key


def mixed(history: History) -> list[str]:
    """MIXED: a good answer without the seal and whole body of a run of this very request, or of the key's first run."""
    found = []
    first: dict[tuple[str, str], tuple] = {}
    by_key = collections.defaultdict(list)
    for life, run in history.runs:
        one = history.by_attempt.get(run.attempt)
        if one is not None and one.call.key:
            by_key[key_of(one)].append((life, run))
            first.setdefault(key_of(one), (life, run))
    for one in history.tries:
        if not one.whole:
            continue
        own = by_key[key_of(one)] if one.call.key else history.runs_of.get(one.call.attempt, [])
        matching = [run for _, run in own if run.seal == one.seal]
        about = f"{one.call.attempt} at {one.edge} ({one.use.name}, {one.status})"
        if not matching:
            found.append(f"MIXED {about}: the seal {one.seal!r} is of none of its runs")
            continue
        run = matching[0]
        if one.use.resumable and len(own) > 1:
            made = {event for _, each in own for event in each.output.split(b"\n\n")}
            if any(event not in made for event in one.heard.split(b"\n\n")):
                found.append(f"MIXED {about}: an event came that none of its runs made")
        elif one.heard != run.output or one.status != run.status:
            found.append(
                f"MIXED {about}: {len(one.heard)} bytes came, {len(run.output)} with {run.status} were sent "
                f"by {run.seal}"
            )
        elif run.broke and one.good():
            found.append(f"MIXED {about}: its worker broke the answer off")
        elif one.call.key and one.good() and first[key_of(one)][1].seal != one.seal:
            found.append(f"MIXED {about}: the key's first run was {first[key_of(one)][1].seal}")
    return found


def chain_of(history: History, previous: str) -> tuple[bytes | None, str]:
    """Inputs and outputs of a turn's chain, and what is wrong with it if anything is."""
    line = []
    while previous:
        one = history.by_attempt.get(previous)
        if one is None or not one.good():
            return None, f"{previous} is no turn that was answered whole"
        line.append(one.call.body + one.output())
        previous = one.call.previous
    return b"".join(reversed(line)), ""


def unasked(history: History) -> list[str]:
    """UNASKED: a run of what no caller sent, or of a turn whose body is not its chain's and its own input."""
    found = []
    for life, run in history.runs:
        one = history.by_attempt.get(run.attempt)
        if one is None:
            found.append(f"UNASKED {life.name} ran {run.attempt!r}, which nobody sent")
            continue
        expected = one.call.body
        if one.use.retained and one.call.previous:
            before, wrong = chain_of(history, one.call.previous)
            if before is None:
                found.append(f"UNASKED {run.attempt} ran at {life.name}: {wrong}")
                continue
            expected = before + expected
        if (run.method, run.target, run.host) != (one.call.method, one.call.target, one.call.host):
            found.append(f"UNASKED {run.attempt} ran at {life.name} as {run.method} {run.target} of {run.host}")
        elif run.body != expected:
            found.append(
                f"UNASKED {run.attempt} ran at {life.name} with {len(run.body)} bytes instead of {len(expected)}, "
                f"the same up to {common(run.body, expected)}"
            )
    return found


def common(left: bytes, right: bytes) -> int:
    """How many first bytes are the same."""
    return next(
        (place for place, (one, other) in enumerate(zip(left, right, strict=False)) if one != other),
        min(len(left), len(right)),
    )


def twice(history: History) -> list[str]:
    """TWICE: a request that may not be repeated ran more than once, or an operation key within its window."""
    found = []
    for attempt, runs in history.runs_of.items():
        one = history.by_attempt.get(attempt)
        if one is not None and len(runs) > 1 and not repeatable(one):
            found.append(f"TWICE {attempt} ({one.use.name}) ran at {[life.name for life, _ in runs]}")
    by_key = collections.defaultdict(list)
    for life, run in history.runs:
        one = history.by_attempt.get(run.attempt)
        if one is not None and one.call.key:
            by_key[key_of(one)].append((one.began, run.began, life.name, run.attempt))
    for key, runs in by_key.items():
        began = min(history.by_attempt[attempt].began for *_, attempt in runs)
        if len(runs) > 1 and runs[1][0] - began < history.bounds.window:
            shown = ", ".join(f"{attempt} at {name} {at:.3f}" for _, at, name, attempt in runs)
            found.append(f"TWICE key {key[1]} ran {len(runs)} times: {shown}")
    return found


def refused(history: History) -> list[str]:
    """REFUSED: it was promised that a request did not run and never will, and it ran."""
    found = []
    for one in history.tries:
        if one.promised() and history.runs_of.get(one.call.attempt):
            life, run = history.runs_of[one.call.attempt][0]
            kind = "REFUSED" if not repeatable(one) else "REFUSED (repeatable)"
            found.append(
                f"{kind} {one.call.attempt} ({one.use.name}) at {one.edge} by {one.refusal} at {one.ended:.3f}, "
                f"and ran at {life.name} {run.began:.3f}"
            )
    return found


def denied(history: History) -> list[str]:
    """DENIED: a proper request ended with a 4xx of the product's own.

    Budgets, keys, routes and turns have their own rules.
    """
    proper = ("UNKNOWN_ROUTE", "UNKNOWN_TURN", "OUT_OF_BUDGET", "OPERATION_IN_PROGRESS", "OPERATION_UNKNOWN")
    return [
        f"DENIED {one.call.attempt} ({one.use.name}) at {one.edge} {one.ended:.3f}: {one.refusal}"
        for one in history.tries
        if one.refusal is not None and 300 <= one.refusal.result.status < 500 and one.refusal.result.name not in proper
    ]


def path_of(one: agent.Try) -> str:
    """A try's path without its query."""
    return one.call.target.split("?", 1)[0]


def routed(history: History) -> list[str]:
    """ROUTE: a service ran what no configuration ever sent lets go to it."""
    found = []
    allowed: dict[tuple[str, str], frozenset[str]] = {}
    for life, run in history.runs:
        one = history.by_attempt.get(run.attempt)
        if one is None:
            continue
        place = one.call.host, path_of(one)
        if place not in allowed:
            allowed[place] = frozenset().union(
                *(version.services(*place) for version in history.versions if version.valid)
            )
        if life.service not in allowed[place]:
            found.append(f"ROUTE {run.attempt} to {place} ran at {life.name} of {life.service}")
    return found


def drained(history: History) -> list[str]:
    """DRAIN: a request reached a worker too long after the list showed it as leaving.

    By an edge in touch all that time.
    """
    found = []
    for life in history.workers:
        shown = history.draining.get(life.name)
        for arrival in life.arrivals if shown is not None else ():
            one = history.by_attempt.get(arrival.attempt)
            if one is None or not arrival.taken or arrival.at <= shown + history.bounds.drain:
                continue
            if history.in_touch(one.edge, arrival.at, shown):
                found.append(
                    f"DRAIN {arrival.attempt} by {one.edge} reached {life.name} {arrival.at - shown:.2f} s after "
                    "it was shown as leaving"
                )
    return found


def lost_turns(history: History) -> list[str]:
    """LOST: a turn that was answered whole not long ago is said to be unknown."""
    found = []
    for one in history.tries:
        behind = history.by_attempt.get(one.call.previous)
        if one.refusal is None or one.refusal.result.name != "UNKNOWN_TURN" or behind is None or not behind.good():
            continue
        if one.began < behind.ended + history.bounds.keep:
            found.append(
                f"LOST {one.call.attempt} at {one.edge} {one.ended:.3f}: turn {behind.call.attempt}, answered whole by "
                f"{behind.edge} at {behind.ended:.3f}, is unknown"
            )
    return found


def lost_calls(history: History) -> list[str]:
    """LOST: around planned work a call that was read ends without a whole answer.

    Though its worker did not break it off.
    """
    found = []
    for one in history.tries:
        if one.outcome != agent.BROKEN or not one.read:
            continue
        planned = [
            each
            for each in history.troubles
            if each.planned
            and each.machine == one.edge
            and each.began <= one.ended <= each.began + history.bounds.grace + 1
        ]
        others = [
            each
            for each in history.troubles
            if not each.planned and each.touches(one.began - history.bounds.contact, one.ended)
        ]
        runs = history.runs_of.get(one.call.attempt, [])
        late = one.ended - one.began >= one.call.time_limit.total_seconds() - history.bounds.loss_slack
        slow = (
            planned
            and runs
            and (runs[-1][1].ended is None or runs[-1][1].ended > planned[0].began + history.bounds.grace / 2)
        )
        if planned and not others and not late and not slow and not any(run.broke for _, run in runs):
            found.append(
                f"LOST {one.call.attempt} ({one.use.name}) at {one.edge}, stopped in order at {planned[0].began:.3f}, "
                f"broke off at {one.ended:.3f}"
            )
    return found


def ordered(history: History) -> list[str]:
    """ORDER: a piece of a stream is missing or comes twice, two runs are joined.

    Or an unfinished stream looks whole.
    """
    found = []
    for one in history.tries:
        if one.use.kind != http_route.STREAM or not one.heard or one.status != 200:
            continue
        seal, numbers = one.seal, []
        reader = events.Reader()
        reader.feed(one.heard)
        for data in reader.data:
            told, _, rest = data.partition(b" ")
            numbers.append((told.decode(), int(rest.split(b" ")[0])))
        first = int(one.call.resume_after or 0)
        wanted = [(seal, first + 1 + place) for place in range(len(numbers))]
        if [number for _, number in numbers] != [number for _, number in wanted]:
            found.append(f"ORDER {one.call.attempt} at {one.edge}: events {numbers[:40]}")
        elif numbers != wanted and not one.use.resumable:
            names = sorted({name for name, _ in numbers})
            found.append(f"ORDER {one.call.attempt} at {one.edge}: events of {names} under {seal}")
        elif one.whole and not any(run.whole for _, run in history.runs_of.get(one.call.attempt, [])):
            found.append(f"ORDER {one.call.attempt} at {one.edge}: {len(numbers)} events look whole, and are not")
    return found


def events_of(one: agent.Try) -> int:
    """How many whole events a caller got."""
    reader = events.Reader()
    reader.feed(one.heard)
    return reader.count


def budgeted(history: History) -> list[str]:
    """BUDGET: all turns of a program, broken ones counted, gave its caller more than its budget and one turn's most."""
    given, most, budget, _stride = collections.Counter(), collections.Counter(), {}, {}
    strides = {one.name: one.habit.stride for one in history.programs}
    for one in history.tries:
        name = one.call.program
        if one.call.budget and one.use.kind == http_route.STREAM:
            given[name] += events_of(one) * strides.get(name, 10)
            most[name] = max(most[name], one.call.reserve)
            budget[name] = one.call.budget
    return [
        f"BUDGET {name} got {given[name]} tokens of {budget[name]}, a turn's most is {most[name]}"
        for name in budget
        if given[name] > budget[name] + most[name]
    ]


def may_be_in_force(history: History, sent: float, at: float) -> list[Version]:
    """The versions by one of which a machine in touch may handle a request.

    The newest that had to be, and all later ones.
    """
    bound = max(
        (one.number for one in history.versions if one.taken is not None and one.taken + history.bounds.apply < sent),
        default=0,
    )
    return [one for one in history.versions if one.number >= bound and one.sent <= at and one.valid and not one.refused]


def configured(history: History) -> list[str]:
    """CONFIG: a machine in touch handled a request as only a version allows that had to be replaced by then."""
    found = []
    for one in history.tries:
        runs = history.runs_of.get(one.call.attempt, [])
        unknown = one.refusal is not None and one.refusal.result is result.ResultCode.UNKNOWN_ROUTE
        if not (runs or unknown) or not history.in_touch(one.edge, one.ended):
            continue
        at = max([one.ended, *(run.began for _, run in runs)])
        versions = may_be_in_force(history, one.began, at)
        if not versions:
            continue
        place = one.call.host, path_of(one)
        allowed = [version.services(*place) for version in versions]
        if unknown and all(allowed):
            found.append(
                f"CONFIG {one.call.attempt} to {place} sent to {one.edge} at {one.began:.3f}: no route, though "
                f"versions {[version.number for version in versions]} have it"
            )
        for life, _run in runs:
            if not any(life.service in services for services in allowed):
                found.append(
                    f"CONFIG {one.call.attempt} to {place} sent to {one.edge} at {one.began:.3f} ran at "
                    f"{life.service}, which {[version.number for version in versions]} do not allow"
                )
    return found


def stepped_back(history: History) -> list[str]:
    """CONFIG: within one life a machine handled a request as only older versions do than one whose effect was seen.

    Before.
    """
    found = []
    sent = sorted((one for one in history.versions if one.valid), key=lambda one: one.number)
    seen: dict[tuple[str, int], list[tuple[float, int, str]]] = collections.defaultdict(list)
    looks = []
    for one in history.tries:
        unknown = one.refusal is not None and one.refusal.result is result.ResultCode.UNKNOWN_ROUTE
        place = one.call.host, path_of(one)
        for at, service in [(run.began, life.service) for life, run in history.runs_of.get(one.call.attempt, [])] + (
            [(one.ended, "")] if unknown else []
        ):
            able = [
                version.number
                for version in sent
                if version.sent <= at
                and (service in version.services(*place) if service else not version.services(*place))
            ]
            if able:
                life = sum(began <= one.began for began in history.lives.get(one.edge, ()))
                same = life == sum(began <= at for began in history.lives.get(one.edge, ()))
                if same:
                    looks.append((one, at, life, min(able), max(able)))
    looks.sort(key=lambda look: look[1])
    for one, at, life, low, _ in looks:
        seen[one.edge, life].append((at, low, one.call.attempt))
    for one, at, life, _, high in looks:
        slow = any(
            each.touches(one.began - history.bounds.contact, at)
            for each in history.troubles
            if each.machine == one.edge
        )
        slack = history.bounds.revert * (8 if slow else 1)
        older = [each for each in seen[one.edge, life] if each[0] + slack < one.began and each[1] > high]
        if older:
            found.append(
                f"CONFIG {one.edge} went back: {older[0][2]} showed version {older[0][1]} at {older[0][0]:.3f}, and "
                f"{one.call.attempt} sent at {one.began:.3f} was handled by {high} or older"
            )
    return found


def written(history: History) -> list[str]:
    """CONFIG and LOST: what was acknowledged of the operators' versions.

    And what is read back at the end of the day.
    """
    found = [
        f"CONFIG version {one.number} is invalid and was acknowledged"
        for one in history.versions
        if one.taken is not None and not one.valid
    ]
    bases = collections.Counter(one.base for one in history.versions if one.taken is not None)
    found.extend(
        f"CONFIG {count} versions on top of {base} were acknowledged" for base, count in bases.items() if count > 1
    )
    newest = max((one.number for one in history.versions if one.taken is not None), default=0)
    if history.read_back is None:
        return [*found, "CONFIG nothing was read back"]
    number, items = history.read_back
    if number < newest:
        found.append(f"LOST version {newest} was acknowledged, and {number} is read back")
    same = [one for one in history.versions if one.number == number]
    if number and not any(one.items == items for one in same):
        found.append(f"CONFIG version {number} differs from what was sent under its number")
    if any(one.items == items for one in same) and all(one.refused for one in same if one.items == items):
        found.append(f"CONFIG version {number} was refused and is read back")
    return found


def recovered(history: History) -> list[str]:
    """RECOVER: after a closing fault less than a quarter of the requests is served."""
    if history.closing is None:
        return []
    began, ended = history.closing
    before = [one for one in history.tries if one.ended and one.ended < began and one.outcome != agent.GONE]
    after = [one for one in history.tries if one.began > ended + history.bounds.recovery and one.outcome != agent.GONE]

    def share(tries: list[agent.Try]) -> float:
        return sum(one.good() for one in tries) / len(tries)

    if not before or share(before) < 0.25 or not after or share(after) >= 0.25:
        return []
    return [
        f"RECOVER {share(after):.2f} of {len(after)} tries were served later than {history.bounds.recovery} s "
        "after the closing fault"
    ]


def figures(history: History) -> dict:
    """What the day was worth: programs by their ends, refusals while places were free, what the tier added to a turn.

    Times are in milliseconds.
    """
    programs = collections.Counter()
    for one in history.programs:
        if one.runaway:
            programs["runaway"] += 1
        elif one.outcome == agent.ENDED:
            programs["by its aim" if one.ended <= one.aim else "late"] += 1
        else:
            programs[one.outcome] += 1
    refusals = collections.Counter(one.refusal.result.name for one in history.tries if one.refusal is not None)
    free = 0
    for one in history.refused:
        asked = history.by_attempt.get(one.attempt)
        calm = asked is not None and history.in_touch(asked.edge, asked.ended)
        free += calm and one.taken < one.places / 2 and not one.waiting
    added, firsts, ends = [], [], []
    arrived = {arrival.attempt: arrival.at for life in history.workers for arrival in life.arrivals if arrival.taken}
    for one in history.tries:
        runs = history.runs_of.get(one.call.attempt, [])
        if (
            one.good()
            and one.use.kind == http_route.STREAM
            and runs
            and one.call.attempt in arrived
            and runs[-1][1].whole
        ):
            run = runs[-1][1]
            firsts.append(1000 * (arrived[one.call.attempt] - one.began))
            ends.append(1000 * (one.ended - run.ended))
            added.append(1000 * (arrived[one.call.attempt] - one.began + one.ended - run.ended))
    broken = sum(one.outcome == agent.BROKEN and one.read for one in history.tries)
    return {
        "programs": dict(sorted(programs.items())),
        "refusals": dict(sorted(refusals.items())),
        "tries": len(history.tries),
        "refused while places were free": free,
        "broken off": broken,
        "unjust budgets": len(unjust(history)),
        "to the worker": middle(firsts),
        "after its end": middle(ends),
        "added to a turn": middle(added),
    }


def middle(row: list[float]) -> tuple[float, float]:
    """Median and the value that 95 of 100 do not exceed; zeros of an empty row.

    Example: ``middle([1.0, 2.0, 3.0]) == (2.0, 3.0)``
    """
    if not row:
        return 0.0, 0.0
    row = sorted(row)
    return round(statistics.median(row), 2), round(row[int(len(row) * 0.95)], 2)


def unjust(history: History) -> list[str]:
    """Turns that were refused for a spent budget though one more turn fitted.

    Those that ended unclear counted at their most.
    """
    found, tries = [], collections.defaultdict(list)
    strides = {one.name: one.habit.stride for one in history.programs}
    for one in history.tries:
        tries[one.call.program].append(one)
    for one in history.tries:
        if one.refusal is None or one.refusal.result is not result.ResultCode.OUT_OF_BUDGET:
            continue
        spent = 0
        for other in tries[one.call.program]:
            if other is one or other.use.kind != http_route.STREAM or other.began > one.ended:
                continue
            if other.promised() and other.ended < one.began:
                continue
            over = other.ended and other.ended < one.began
            spent += (
                events_of(other) * strides.get(one.call.program, 10) if over and other.good() else other.call.reserve
            )
        if spent + one.call.reserve <= one.call.budget:
            found.append(f"{one.call.attempt} of {one.call.program}: {spent} spent of {one.call.budget}")
    return found
