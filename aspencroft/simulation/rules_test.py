"""Tests of the judge: each rule sees what breaks it, and a day that breaks none is left alone."""

import random

from aspencroft.emulator import agent, worker_server
from aspencroft.errors import result
from aspencroft.proxy import call
from aspencroft.runtime import clock
from aspencroft.simulation import rules

CHAT = agent.Use("chat", "h", "/chat/", "stream", 0.3, 4.0, 1, retained=True)
DESK = agent.Use("desk", "h", "/desk/", "stream", 0.3, 4.0, 1, resumable=True)
ALERT = agent.Use("alert", "h", "/alert/", "non_idempotent", 0.2, 1.5, 1)
LOCK = agent.Use("lock", "h", "/lock/", "keyed", 0.2, 1.5, 2)


def route(use, service):
    return {"host": "h", "prefix": use.prefix, "kind": use.kind, "targets": [{"service": service}]}


ROUTES = {
    "chat": route(CHAT, "a"),
    "desk": route(DESK, "a"),
    "alert": route(ALERT, "a"),
    "lock": route(LOCK, "a"),
}


class Seen:
    """A day put together by hand."""

    def __init__(self):
        self.life = worker_server.Worker("i-1", "a", "north", worker_server.Work(), random.Random(1))
        first = rules.Version(1, 0, 0.0, ROUTES, {("routes", "chat"): "x"}, taken=0.1)
        self.history = rules.History(
            [],
            [],
            [self.life],
            [first],
            [],
            {},
            {"edge-0": [0.0], "edge-1": [0.0]},
            read_back=(1, {("routes", "chat"): "x"}),
        )

    def trying(self, use, attempt, at=10.0, body=b"in", edge="edge-0", **more):
        one = call.Call("POST", f"{use.prefix}x", "h", (), body, attempt, clock.seconds(4), clock.seconds(at), **more)
        found = agent.Try(one, use, edge, at, ended=at + 0.1)
        self.history.tries.append(found)
        return found

    def run(self, attempt, at=10.05, body=b"in", events=0, life=None, target=None, whole=True):
        life = life or self.life
        seal = f"{life.name}.{len(life.runs)}"
        output = (
            b"".join(b"id: %d\ndata: %s %d xx\n\n" % (number, seal.encode(), number) for number in range(1, events + 1))
            or b"done"
        )
        use = next(one.use for one in self.history.tries if one.call.attempt == attempt)
        life.arrivals.append(worker_server.Arrival(at, attempt, True))
        life.runs.append(
            worker_server.Run(
                attempt,
                "POST",
                target or f"{use.prefix}x",
                "h",
                (),
                body,
                at,
                seal,
                200,
                output,
                events,
                at,
                at + 0.02,
                whole,
            )
        )
        return life.runs[-1]

    def good(self, use, attempt, at=10.0, body=b"in", ran=None, events=None, **more):
        found = self.trying(use, attempt, at, body, **more)
        events = events if events is not None else 2 if use.kind == "stream" else 0
        run = self.run(attempt, at + 0.05, body if ran is None else ran, events)
        found.status, found.seal, found.heard, found.whole, found.outcome = (
            200,
            run.seal,
            run.output,
            True,
            agent.ANSWERED,
        )
        return found

    def refuse(self, found, kind, ran=result.Ran.NOT_RUN):
        found.outcome, found.refusal = agent.REFUSED, result.RequestError(kind, ran)
        return found

    def told(self):
        return sorted({one.split()[0] for one in rules.faults(self.history)})


def test_a_sound_day_breaks_no_rule():
    seen = Seen()
    first = seen.good(CHAT, "a1")
    seen.good(CHAT, "a2", 11.0, previous="a1", ran=b"in" + first.output() + b"in")
    seen.good(ALERT, "a3")
    held = seen.good(LOCK, "a4", key="k", tenant="t")
    repeat = seen.trying(LOCK, "a5", 12.0, key="k", tenant="t", edge="edge-1")
    repeat.status, repeat.seal, repeat.heard, repeat.whole, repeat.outcome = (
        200,
        held.seal,
        held.heard,
        True,
        agent.ANSWERED,
    )
    seen.refuse(seen.trying(CHAT, "a6"), result.ResultCode.OVERLOADED)
    seen.refuse(
        seen.trying(agent.Use("none", "h", "/none/", "safe", 0.1, 1.0, 0), "a7"),
        result.ResultCode.UNKNOWN_ROUTE,
    )
    assert seen.told() == []


def test_an_answer_must_be_the_whole_one_of_its_own_run():
    for change in ({"seal": "other"}, {"heard": b"don"}, {"status": 500}):
        seen = Seen()
        found = seen.good(ALERT, "a1")
        for name, value in change.items():
            setattr(found, name, value)
        assert seen.told() == ["MIXED"], change
    seen = Seen()
    seen.good(LOCK, "a1", key="k", tenant="t")
    seen.good(LOCK, "a2", 12.0, key="k", tenant="t")
    assert seen.told() == ["MIXED", "TWICE"]


def test_workers_run_just_what_was_asked():
    for change in ({"ran": b"other"}, {"target": "/chat/y"}):
        seen = Seen()
        found = seen.trying(ALERT, "a1")
        seen.run("a1", body=change.get("ran", b"in"), target=change.get("target", "/alert/x"))
        found.outcome = agent.BROKEN
        assert seen.told() == ["UNASKED"], change
    seen = Seen()
    seen.good(CHAT, "a1")
    seen.good(CHAT, "a2", 11.0, previous="a1", ran=b"in")
    assert seen.told() == ["UNASKED"]
    seen = Seen()
    seen.refuse(seen.trying(CHAT, "a1"), result.ResultCode.OVERLOADED)
    seen.good(CHAT, "a2", 11.0, previous="a1", ran=b"inin")
    assert seen.told() == ["UNASKED"]


def test_work_that_may_not_be_repeated_runs_once_and_what_was_refused_never():
    seen = Seen()
    seen.good(ALERT, "a1")
    seen.run("a1", 10.07)
    assert seen.told() == ["TWICE"]
    seen = Seen()
    seen.refuse(seen.trying(ALERT, "a1"), result.ResultCode.OVERLOADED)
    seen.run("a1", 11.0)
    assert seen.told() == ["REFUSED"]
    seen = Seen()
    seen.refuse(seen.trying(CHAT, "a1"), result.ResultCode.OUT_OF_BUDGET)
    seen.run("a1", 11.0)
    assert seen.told() == ["REFUSED"]


def test_services_and_leaving_workers_get_what_they_may():
    seen = Seen()
    other = worker_server.Worker("i-2", "b", "north", worker_server.Work(), random.Random(1))
    seen.history.workers.append(other)
    found = seen.trying(ALERT, "a1")
    seen.run("a1", life=other)
    found.outcome = agent.BROKEN
    assert seen.told() == ["CONFIG", "ROUTE"]
    for trouble, told in (
        (None, ["DRAIN"]),
        (rules.Trouble("edge-0", 8.0, False, 9.0), []),
        (rules.Trouble("core-1", 1.0), []),
    ):
        seen = Seen()
        seen.good(ALERT, "a1")
        seen.history.draining["i-1"] = 6.9
        seen.history.troubles.extend([trouble] if trouble else [])
        assert seen.told() == told, trouble


def test_kept_turns_are_not_lost():
    seen = Seen()
    seen.good(CHAT, "a1")
    seen.refuse(seen.trying(CHAT, "a2", 60.0, previous="a1"), result.ResultCode.UNKNOWN_TURN)
    assert seen.told() == ["LOST"]
    seen.history.tries[-1].began = 71.0
    assert seen.told() == []


def test_calls_end_whole_around_planned_stops():
    for planned, told in ((True, ["LOST"]), (False, [])):
        seen = Seen()
        seen.trying(ALERT, "a1").outcome = agent.BROKEN
        seen.history.troubles.append(rules.Trouble("edge-0", 9.9, planned))
        assert seen.told() == told


def test_streams_come_whole_and_in_order():
    seen = Seen()
    found = seen.good(CHAT, "a1", events=3)
    pieces = [piece + b"\n\n" for piece in found.heard.split(b"\n\n")[:-1]]
    for heard in (pieces[0] + pieces[2], pieces[0] + pieces[0] + pieces[1]):
        found.heard, found.whole, found.outcome = heard, False, agent.BROKEN
        assert seen.told() == ["ORDER"]
    found.heard = b"".join(pieces[:2])
    assert seen.told() == []
    found.whole = True
    assert seen.told() == ["MIXED"]
    seen.life.runs[0].whole = False
    assert seen.told() == ["MIXED", "ORDER"]


def test_budgets_hold_with_broken_tries_counted():
    for budget, told in ((30, []), (19, ["BUDGET"])):
        seen = Seen()
        habit = agent.Habit(CHAT, ())
        seen.history.programs.append(agent.Program("p", habit, budget, 0.0, 1.0, False))
        for attempt in ("a1", "a2"):
            found = seen.good(CHAT, attempt, program="p", budget=budget, reserve=20)
            found.whole, found.outcome = False, agent.BROKEN
        assert seen.told() == told


def test_a_budget_is_spent_only_when_one_more_turn_does_not_fit():
    seen = Seen()
    seen.history.programs.append(agent.Program("p", agent.Habit(CHAT, ()), 100, 0.0, 1.0, False))
    seen.good(CHAT, "a1", program="p", budget=100, reserve=60)
    seen.refuse(seen.trying(CHAT, "a2", 11.0, program="p", budget=100, reserve=60), result.ResultCode.OUT_OF_BUDGET)
    assert len(rules.unjust(seen.history)) == 1
    seen.history.tries[0].whole = False
    assert rules.unjust(seen.history) == []


def test_versions_are_in_force_in_time_and_never_go_back():
    def day(sent, service):
        seen = Seen()
        other = worker_server.Worker("i-2", "b", "north", worker_server.Work(), random.Random(1))
        seen.history.workers.append(other)
        moved = {**ROUTES, "alert": route(ALERT, "b")}
        seen.history.versions.append(rules.Version(3, 1, 9.0, moved, {("routes", "chat"): "y"}, taken=9.5))
        seen.history.read_back = 3, {("routes", "chat"): "y"}
        for number, (at, one) in enumerate(zip(sent, service, strict=False)):
            found = seen.trying(ALERT, f"b{number}", at)
            seen.run(found.call.attempt, at + 0.05, life=other if one == "b" else seen.life)
            found.outcome = agent.BROKEN
        return seen

    assert day([10.0], "a").told() == [] and day([11.4, 11.6], "ab").told() == []
    assert day([11.6], "a").told() == ["CONFIG"]
    back = day([10.0, 10.4], "ba")
    assert [one for one in rules.faults(back.history) if "went back" in one] and day([10.0, 10.1], "ba").told() == []
    back.history.lives["edge-0"].append(10.2)
    assert back.told() == []
    dropped = day([], "")
    dropped.refuse(dropped.trying(ALERT, "a1", 20.0), result.ResultCode.UNKNOWN_ROUTE)
    assert dropped.told() == ["CONFIG"]


def test_what_is_read_back_is_what_was_acknowledged():
    seen = Seen()
    seen.history.versions.append(rules.Version(5, 1, 1.0, ROUTES, {("routes", "chat"): "y"}, taken=2.0))
    assert seen.told() == ["LOST"]
    seen.history.read_back = 5, {("routes", "chat"): "z"}
    assert seen.told() == ["CONFIG"]
    seen.history.read_back = 5, {("routes", "chat"): "y"}
    assert seen.told() == []
    seen.history.versions.append(rules.Version(6, 1, 1.0, ROUTES, {}, taken=2.0))
    seen.history.read_back = 6, {}
    assert seen.told() == ["CONFIG"]
    seen = Seen()
    seen.history.versions.append(rules.Version(5, 1, 1.0, {}, {}, valid=False, taken=2.0))
    seen.history.read_back = 5, {}
    assert seen.told() == ["CONFIG"]
    seen.history.read_back = None
    assert seen.told() == ["CONFIG"]


def test_service_returns_after_a_closing_fault():
    for served, told in ((0, ["RECOVER"]), (2, [])):
        seen = Seen()
        seen.good(ALERT, "a1")
        seen.history.closing = 20.0, 22.0
        for number in range(4):
            seen.refuse(seen.trying(ALERT, f"b{number}", 35.0 + number), result.ResultCode.NO_PLAN)
        for number in range(served):
            seen.good(ALERT, f"c{number}", 36.0)
        assert seen.told() == told


def test_figures_count_programs_refusals_and_what_the_tier_adds():
    seen = Seen()
    habit = agent.Habit(CHAT, ())
    seen.history.programs.extend(
        [
            agent.Program("p", habit, 9, 0.0, 5.0, False, agent.ENDED, ended=4.0),
            agent.Program("q", habit, 9, 0.0, 5.0, False, agent.ENDED, ended=6.0),
            agent.Program("r", habit, 9, 0.0, 5.0, True, agent.SPENT),
        ]
    )
    seen.good(CHAT, "a1")
    seen.refuse(seen.trying(CHAT, "a2"), result.ResultCode.OVERLOADED)
    seen.history.refused.extend([rules.Refused("a2", 1, 0, 8), rules.Refused("a2", 7, 0, 8)])
    found = rules.figures(seen.history)
    assert found["programs"] == {"by its aim": 1, "late": 1, "runaway": 1} and found["refusals"] == {"OVERLOADED": 1}
    assert found["refused while places were free"] == 1
    assert found["to the worker"][0] == 50.0 and found["after its end"][0] == 30.0
