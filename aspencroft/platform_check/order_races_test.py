"""Eight operators at once whose answers are mostly lost, repeated to any node, while the control primary is hurt."""

import collections

import pytest

from aspencroft.platform_check import operators, order_races


@pytest.mark.parametrize("seed", (401, 403, 405))
def test_of_racing_orders_one_is_taken_on_each_version_and_none_that_was_taken_is_refused(seed):
    total = judged_race(seed)
    assert total["unclear True"] > 0, total


@pytest.mark.parametrize("seed", (402, 404))
def test_of_racing_orders_that_all_get_clear_answers_none_that_was_taken_is_refused(seed):
    judged_race(seed)


def judged_race(seed: int) -> collections.Counter:
    """What came of a race in which no rule was broken and many orders were taken and refused."""
    total, found = order_races.race(seed)
    assert found == []
    assert total["taken"] > 15 and total["412 True"] > 15, total
    return total


@pytest.mark.parametrize("seed", (411, 412, 413, 414))
def test_of_drain_orders_at_once_as_many_are_taken_as_may_go_and_each_is_known_for_good(seed):
    assert order_races.drain_race(seed) == []


def test_the_judge_of_single_orders_sees_each_fault():
    def order(version: int, condition: int, answers: list[int], mark: int = 0, valid: bool = True) -> operators.Order:
        return operators.Order(True, condition, version, {"mark": mark}, 1.0, 0, 0.0, valid, answers)

    good = [order(3, 0, [503, 200, 200]), order(5, 3, [200], 1), order(5, 3, [412], 2), order(6, 5, [], 3)]
    assert operators.order_faults(good) == []
    assert operators.order_faults([*good, order(7, 6, [200, 412], 4)])
    assert operators.order_faults([*good, order(8, 3, [200], 5)])
    assert operators.order_faults([order(3, 0, [200], 1), order(3, 1, [200], 2)])
    assert operators.order_faults([*good, order(9, 8, [412], 6)])
    assert operators.order_faults([*good, order(9, 8, [412], 6), order(9, 8, [400], 7, valid=False)])
