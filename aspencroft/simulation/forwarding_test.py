"""Seeded days of opaque calls, and that the judge sees real code that breaks a rule."""

import contextlib
import dataclasses

import pytest

from aspencroft.emulator import worker_server
from aspencroft.proxy import call_state, forwarder, instances
from aspencroft.sessions import token_budget
from aspencroft.simulation import forwarding
from aspencroft.workers import pool


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_days_of_faults_break_none_of_the_rules(seed):
    assert forwarding.run_day(seed).wrong == []


def test_a_day_with_a_closing_fault_breaks_none_of_the_rules():
    found = forwarding.run_day(6, ("leader", "release", "edge kill"), 2, True)
    assert found.wrong == [] and found.done[-1].endswith("closing")


def test_the_same_seed_gives_the_same_day():
    first, second = (forwarding.run_day(8, count=2, closing=False) for _ in range(2))
    assert first.trace == second.trace and first.figures == second.figures and first.wrong == second.wrong == []


def test_a_quiet_day_ends_its_programs_by_their_aims():
    found = forwarding.run_day(9, ("invalid",), 2, False, 3.0).figures
    assert found["programs"]["by its aim"] >= 8 and not found["programs"].get("failed") and not found["unjust budgets"]
    assert not found["refused while places were free"] and not found["broken off"]


def test_status_tells_how_long_turns_and_keys_waited_for_their_groups(monkeypatch):
    edges = []
    begin = forwarder.Forwarder.__init__

    def noted(self, *given):
        begin(self, *given)
        edges.append(self)

    monkeypatch.setattr(forwarder.Forwarder, "__init__", noted)
    forwarding.run_day(9, ("invalid",), 2, False, 3.0)
    routes = [counts for edge in edges for counts in edge.routes.document().values()]
    passed = {stage for counts in routes for stage, figures in counts["stages"].items() if figures["seconds"] > 0}
    assert {"begin", "first", "end"} <= passed


def test_callers_that_leave_while_answers_come_leave_nothing_behind(monkeypatch):
    habits = tuple((dataclasses.replace(habit, leaves=0.3), 2 * rate) for habit, rate in forwarding.HABITS)
    monkeypatch.setattr(forwarding, "HABITS", habits)
    monkeypatch.setattr(forwarding, "FAULTS_AT_FIRST", worker_server.Faults(pieces=0.7))
    found = forwarding.run_day(1, ("invalid",), 2, False)
    assert found.wrong == [] and found.figures["programs"]["stopped"] > 5


@contextlib.contextmanager
def changed(place, name, other):
    held = getattr(place, name)
    setattr(place, name, other)
    try:
        yield held
    finally:
        setattr(place, name, held)


def told(seed, kinds, count=4, rate=1.5):
    return {one.split()[0] for one in forwarding.run_day(seed, kinds, count, False, rate).wrong}


def test_answers_in_excess_taken_for_the_next_ones_are_seen():
    held = worker_server.StandDialect.head

    def head(self, status, headers, attempt):
        return dataclasses.replace(held(self, status, headers, attempt), attempt=attempt)

    with changed(worker_server.StandDialect, "head", head):
        assert "MIXED" in told(302, ("garble",))


def test_a_worker_that_is_not_named_at_a_reused_address_is_seen():
    held = worker_server.StandDialect.request_headers

    def request_headers(self, one, instance_name, remaining):
        return tuple(
            header for header in held(self, one, instance_name, remaining) if header[0] != worker_server.EXPECT
        )

    with changed(worker_server.StandDialect, "request_headers", request_headers):
        assert "ROUTE" in told(301, ("crash",))


@pytest.mark.parametrize("seed", [302, 303, 304])
def test_budgets_that_are_not_counted_are_seen(seed):
    with changed(token_budget.TokenBudgets, "budget_in_force", lambda self, command, now: command.budget):
        assert told(seed, ("invalid",), 2, 4.0) == {"BUDGET"}


def test_keys_that_are_not_claimed_are_seen():
    async def nothing(self, state):
        return None

    with changed(forwarder.Forwarder, "reserve_key", nothing):
        assert "TWICE" in told(300, ("invalid",), 2)


def test_work_that_is_repeated_though_it_may_not_be_is_seen():
    with changed(call_state.CallState, "is_idempotent", lambda self: True):
        assert "TWICE" in told(301, ("answers lost",), 3)


def test_workers_that_drain_and_still_get_calls_are_seen():
    held = instances.Instances.update

    def take(self, snapshot, seen_at):
        return held(self, [dataclasses.replace(one, draining=False) for one in snapshot], seen_at)

    with (
        changed(instances.Instances, "update", take),
        changed(instances.Instances, "is_excluded", lambda self, name: False),
    ):
        assert "DRAIN" in told(302, ("release",), 3)


def test_broken_streams_that_look_whole_are_seen():
    held = pool.Response.parts

    async def parts(self):
        try:
            async for part in held(self):
                yield part
        except pool.result.RequestError:
            self.whole = True

    with changed(pool.Response, "parts", parts):
        assert "ORDER" in told(301, ("garble", "answers lost"))
