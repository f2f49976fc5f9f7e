"""Tests of ``aspencroft.sessions.token_budget``, through the commands of a session group."""

import random

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.sessions import call_sessions, entry, messages
from aspencroft.sessions.call_sessions_test import START, begin, due, end, refused, settle, take, taken_over


def test_concurrent_turns_over_many_edges_stay_under_the_budget_plus_one_turn():
    for seed in range(50):
        chance, book, now = random.Random(seed), call_sessions.CallSessions(), START
        given, running, most, budget = 0, {}, 10, 200
        for number in range(300):
            now += clock.seconds(0.05)
            if running and chance.random() < 0.5:
                attempt = chance.choice(list(running))
                edge = running.pop(attempt)
                outcome = chance.choice([messages.DONE, messages.NOT_RUN, messages.UNKNOWN, "edge lost"])
                used = chance.randrange(most + 1)
                if outcome == "edge lost":
                    for command in due(book, now, lambda life: life == edge):
                        take(book, command, now)
                        running.pop(command.attempt, None)
                        given += used
                    continue
                given += 0 if outcome == messages.NOT_RUN else used
                command = end(attempt, outcome, used=used if outcome == messages.DONE else 0)
                for _ in range(chance.choice([1, 2])):
                    take(book, command, now)
            else:
                edge = f"e{chance.randrange(8)} {number}"
                command = begin(f"t{number}", budget=budget, most=most, edge=edge)
                try:
                    for _ in range(chance.choice([1, 2])):
                        take(book, command, now)
                    running[command.attempt] = edge
                except result.RequestError as refusal:
                    assert refusal.result is result.ResultCode.OUT_OF_BUDGET and refusal.ran is result.Ran.NOT_RUN
            if chance.random() < 0.05:
                book = taken_over(book)
            assert given + most * len(running) <= budget + most - 1
        assert given > budget / 4


def test_the_budget_said_first_stands_and_is_only_lowered():
    book = call_sessions.CallSessions()
    take(book, begin("a", budget=25), START)
    take(book, begin("b", budget=1000), START)
    take(book, begin("c", budget=0), START)
    assert refused(book, begin("d", budget=1000), START).result is result.ResultCode.OUT_OF_BUDGET
    take(book, end("a", messages.NOT_RUN), START)
    assert refused(book, begin("e", budget=15), START).result is result.ResultCode.OUT_OF_BUDGET
    take(book, begin("e", budget=21), START)
    assert refused(book, begin("f", budget=1000), START).result is result.ResultCode.OUT_OF_BUDGET
    take(book, end("b", messages.NOT_RUN), START)
    take(book, end("c", messages.NOT_RUN), START)
    take(book, begin("f"), START)
    take(book, begin("g"), START)
    assert refused(book, begin("h", budget=25), START).result is result.ResultCode.OUT_OF_BUDGET
    assert book.budgets.accounts["p"].budget == 21


def test_without_a_budget_nothing_is_counted():
    book = call_sessions.CallSessions()
    for number in range(50):
        take(book, begin(f"t{number}", most=10**9), START)
        take(book, end(f"t{number}", used=10**9), START)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (0, 0)
    take(book, begin("counted", budget=10), START)
    assert refused(book, begin("more", budget=10), START).result is result.ResultCode.OUT_OF_BUDGET


def test_a_broken_stream_is_charged_in_full_and_a_turn_not_run_not_at_all():
    book = call_sessions.CallSessions()
    take(book, begin("a", budget=100), START)
    take(book, end("a", messages.UNKNOWN, used=3), START)
    assert book.budgets.accounts["p"].used == 10
    take(book, begin("b", budget=100), START)
    take(book, end("b", messages.NOT_RUN), START)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (10, 0)
    take(book, begin("c", budget=100), START)
    take(book, end("c", used=4), START)
    assert (book.budgets.accounts["p"].used, book.budgets.accounts["p"].reserved) == (14, 0)


def test_a_program_that_goes_on_asking_is_not_forgotten_with_its_budget():
    book, now = call_sessions.CallSessions(), START
    take(book, begin("a", budget=10, retained=False), now)
    take(book, end("a", messages.UNKNOWN), now)
    for number in range(12):
        now += clock.seconds(65)
        settle(book, now)
        assert refused(book, begin(f"b{number}", budget=10), now).result is result.ResultCode.OUT_OF_BUDGET
    settle(book, now + clock.seconds(69))
    assert "p" in book.budgets.accounts
    settle(book, now + clock.seconds(71))
    assert "p" not in book.budgets.accounts and book.size() == 0


def test_a_budget_outlives_takeovers_and_every_kept_turn_of_its_program():
    book, now = call_sessions.CallSessions(), START
    take(book, begin("a", budget=100, keep=clock.seconds(300)), now)
    take(book, end("a"), now)
    for _ in range(4):
        now += clock.seconds(71)
        settle(book, now)
        assert book.budgets.accounts["p"].used == 7
        book = taken_over(book)
        assert book.budgets.accounts["p"].used == 7
    settle(book, now)
    settle(book, now + clock.seconds(309))
    assert book.budgets.accounts["p"].used == 7 and "a" in book.history.retained
    settle(book, now + clock.seconds(311))
    assert book.size() == 0


def test_a_budget_outlives_a_long_turn_and_another_program_that_goes_on_from_its_turns():
    book, late = call_sessions.CallSessions(), START + clock.seconds(200)
    take(book, begin("a", budget=10), START)
    take(book, end("a"), START)
    take(book, begin("b", "a", program="q", within=clock.seconds(500)), START)
    take(book, begin("c", program="r", budget=10, within=clock.seconds(500)), START)
    settle(book, late)
    assert {name: (one.used, one.reserved) for name, one in book.budgets.accounts.items()} == {
        "p": (7, 0),
        "q": (0, 0),
        "r": (0, 10),
    }


def test_a_program_that_was_forgotten_before_a_late_end_counts_none_of_its_turns():
    book = call_sessions.CallSessions()
    take(book, begin("a"), START)
    take(book, end("a", messages.UNKNOWN), START)
    book.apply(entry.Forget(("p",), (), (), (), ()))
    take(book, end("a"), START)
    take(book, begin("b", "a"), START)
    take(book, end("b"), START)
    assert book.budgets.accounts["p"].retained == 1
    settle(book, START + clock.seconds(80))
    settle(book, START + clock.seconds(160))
    assert book.size() == 0


# -- turns -------------------------------------------------------------------------------------------
