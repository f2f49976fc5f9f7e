"""Tests of ``aspencroft.sessions.token_budget``, through the commands of a session group."""

import random

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages
from aspencroft.sessions.call_sessions_test import (
    START,
    begin,
    due_commands,
    end,
    execute,
    rejection_of,
    run_due_commands,
    successor_of,
)


def test_concurrent_turns_over_many_edges_stay_under_the_budget_plus_one_turn():
    for seed in range(50):
        rng, calls, now = random.Random(seed), call_sessions.CallSessions(), START
        generated, running, max_tokens, budget = 0, {}, 10, 200
        for number in range(300):
            now += clock.seconds(0.05)
            if running and rng.random() < 0.5:
                attempt = rng.choice(list(running))
                edge = running.pop(attempt)
                outcome = rng.choice([messages.DONE, messages.NOT_RUN, messages.UNKNOWN, "edge lost"])
                used = rng.randrange(max_tokens + 1)
                if outcome == "edge lost":
                    for command in due_commands(calls, now, lambda incarnation: incarnation == edge):
                        execute(calls, command, now)
                        running.pop(command.attempt, None)
                        generated += used
                    continue
                generated += 0 if outcome == messages.NOT_RUN else used
                command = end(attempt, outcome, used=used if outcome == messages.DONE else 0)
                for _ in range(rng.choice([1, 2])):
                    execute(calls, command, now)
            else:
                edge = f"e{rng.randrange(8)} {number}"
                command = begin(f"t{number}", budget=budget, max_tokens=max_tokens, edge=edge)
                try:
                    for _ in range(rng.choice([1, 2])):
                        execute(calls, command, now)
                    running[command.attempt] = edge
                except result.RequestError as refusal:
                    assert refusal.result is result.ResultCode.OUT_OF_BUDGET and refusal.ran is result.Ran.NOT_RUN
            if rng.random() < 0.05:
                calls = successor_of(calls)
            assert generated + max_tokens * len(running) <= budget + max_tokens - 1
        assert generated > budget / 4


def test_the_first_budget_stays_in_force_and_is_only_lowered():
    calls = call_sessions.CallSessions()
    execute(calls, begin("a", budget=25), START)
    execute(calls, begin("b", budget=1000), START)
    execute(calls, begin("c", budget=0), START)
    assert rejection_of(calls, begin("d", budget=1000), START).result is result.ResultCode.OUT_OF_BUDGET
    execute(calls, end("a", messages.NOT_RUN), START)
    assert rejection_of(calls, begin("e", budget=15), START).result is result.ResultCode.OUT_OF_BUDGET
    execute(calls, begin("e", budget=21), START)
    assert rejection_of(calls, begin("f", budget=1000), START).result is result.ResultCode.OUT_OF_BUDGET
    execute(calls, end("b", messages.NOT_RUN), START)
    execute(calls, end("c", messages.NOT_RUN), START)
    execute(calls, begin("f"), START)
    execute(calls, begin("g"), START)
    assert rejection_of(calls, begin("h", budget=25), START).result is result.ResultCode.OUT_OF_BUDGET
    assert calls.budgets.accounts["p"].budget == 21


def test_without_a_budget_nothing_is_counted():
    calls = call_sessions.CallSessions()
    for number in range(50):
        execute(calls, begin(f"t{number}", max_tokens=10**9), START)
        execute(calls, end(f"t{number}", used=10**9), START)
    assert (calls.budgets.accounts["p"].used, calls.budgets.accounts["p"].reserved) == (0, 0)
    execute(calls, begin("counted", budget=10), START)
    assert rejection_of(calls, begin("more", budget=10), START).result is result.ResultCode.OUT_OF_BUDGET


def test_a_broken_stream_is_charged_in_full_and_a_turn_not_run_not_at_all():
    calls = call_sessions.CallSessions()
    execute(calls, begin("a", budget=100), START)
    execute(calls, end("a", messages.UNKNOWN, used=3), START)
    assert calls.budgets.accounts["p"].used == 10
    execute(calls, begin("b", budget=100), START)
    execute(calls, end("b", messages.NOT_RUN), START)
    assert (calls.budgets.accounts["p"].used, calls.budgets.accounts["p"].reserved) == (10, 0)
    execute(calls, begin("c", budget=100), START)
    execute(calls, end("c", used=4), START)
    assert (calls.budgets.accounts["p"].used, calls.budgets.accounts["p"].reserved) == (14, 0)


def test_a_program_that_goes_on_asking_is_not_forgotten_with_its_budget():
    calls, now = call_sessions.CallSessions(), START
    execute(calls, begin("a", budget=10, retained=False), now)
    execute(calls, end("a", messages.UNKNOWN), now)
    for number in range(12):
        now += clock.seconds(65)
        run_due_commands(calls, now)
        assert rejection_of(calls, begin(f"b{number}", budget=10), now).result is result.ResultCode.OUT_OF_BUDGET
    run_due_commands(calls, now + clock.seconds(69))
    assert "p" in calls.budgets.accounts
    run_due_commands(calls, now + clock.seconds(71))
    assert "p" not in calls.budgets.accounts and calls.size() == 0


def test_a_budget_outlives_takeovers_and_every_kept_turn_of_its_program():
    calls, now = call_sessions.CallSessions(), START
    execute(calls, begin("a", budget=100, retention_period=clock.seconds(300)), now)
    execute(calls, end("a"), now)
    for _ in range(4):
        now += clock.seconds(71)
        run_due_commands(calls, now)
        assert calls.budgets.accounts["p"].used == 7
        calls = successor_of(calls)
        assert calls.budgets.accounts["p"].used == 7
    run_due_commands(calls, now)
    run_due_commands(calls, now + clock.seconds(309))
    assert calls.budgets.accounts["p"].used == 7 and "a" in calls.history.retained
    run_due_commands(calls, now + clock.seconds(311))
    assert calls.size() == 0


def test_a_budget_outlives_a_long_turn_and_another_program_that_goes_on_from_its_turns():
    calls, late = call_sessions.CallSessions(), START + clock.seconds(200)
    execute(calls, begin("a", budget=10), START)
    execute(calls, end("a"), START)
    execute(calls, begin("b", "a", program="q", time_limit=clock.seconds(500)), START)
    execute(calls, begin("c", program="r", budget=10, time_limit=clock.seconds(500)), START)
    run_due_commands(calls, late)
    assert {name: (account.used, account.reserved) for name, account in calls.budgets.accounts.items()} == {
        "p": (7, 0),
        "q": (0, 0),
        "r": (0, 10),
    }


def test_a_program_that_was_forgotten_before_a_late_end_counts_none_of_its_turns():
    calls = call_sessions.CallSessions()
    execute(calls, begin("a"), START)
    execute(calls, end("a", messages.UNKNOWN), START)
    calls.apply(entry.Forget(("p",), (), (), (), ()))
    execute(calls, end("a"), START)
    execute(calls, begin("b", "a"), START)
    execute(calls, end("b"), START)
    assert calls.budgets.accounts["p"].retained == 1
    run_due_commands(calls, START + clock.seconds(80))
    run_due_commands(calls, START + clock.seconds(160))
    assert calls.size() == 0
