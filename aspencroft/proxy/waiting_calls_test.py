"""Tests of the priority order of waiting calls."""

import contextlib

from aspencroft.proxy import waiting_calls


def test_a_more_urgent_call_precedes_those_that_wait_for_the_same_service_for_as_long_as_it_waits():
    calls = waiting_calls.WaitingCalls()
    with calls.enter(2, ("a", "b")) as late:
        assert not calls.is_preceded(late)
        with calls.enter(1, ("b",)) as urgent, calls.enter(0, ("c",)) as elsewhere, calls.enter(2, ("a",)) as equal:
            assert [calls.is_preceded(one) for one in (late, urgent, elsewhere, equal)] == [True, False, False, False]
        assert not calls.is_preceded(late)
    assert not calls.counts


class CountedRank(int):
    """A rank that counts its comparisons."""

    compared = 0

    def __lt__(self, other):
        CountedRank.compared += 1
        return int(self) < int(other)

    __hash__ = int.__hash__


def test_the_cost_of_asking_does_not_follow_the_number_of_waiting_calls():
    calls = waiting_calls.WaitingCalls()
    with contextlib.ExitStack() as stack:
        entered = [stack.enter_context(calls.enter(CountedRank(number % 3), ("a",))) for number in range(300)]
        CountedRank.compared = 0
        assert calls.is_preceded(entered[2])
        assert not calls.is_preceded(entered[0])
    assert CountedRank.compared <= 10
