"""Tests of ``aspencroft.gateway.wait_queue``."""

import aspencroft.gateway.wait_queue as parked_module
from aspencroft.runtime import clock


def test_rows_are_bounded_keep_order_and_refuse_what_comes_too_late():
    parked, now = parked_module.Parked(), clock.seconds(100)
    far, guess = clock.seconds(900), clock.seconds(0.1)
    taken = [
        parked.offer(("a", ""), 5, parked_module.Waiting(number, far), now, guess) is None
        for number in range(parked_module.BOUND + 9)
    ]
    assert taken == [True] * parked_module.BOUND + [False] * 9 and parked.total() == parked_module.BOUND
    assert parked.offer(("b", ""), 0, parked_module.Waiting(0, now + clock.seconds(0.05)), now, guess) >= clock.seconds(
        1
    )
    assert parked.offer(("b", ""), 0, parked_module.Waiting(1, far), now, guess) is None
    assert parked.order() == [("b", ""), ("a", "")]
    for number in range(5):
        now += clock.seconds(1)
        assert parked.head(("a", "")).number == number
        parked.pop(("a", ""), now, served=True)
    soon = parked_module.Waiting(7, now + clock.seconds(30))
    assert parked.offer(("a", ""), 5, soon, now, guess) > clock.seconds(100)
    assert parked.too_late(now) == []
    now += clock.seconds(400)
    late = parked.too_late(now)
    assert late and late[0][0].number == parked_module.BOUND - 1 and parked.waits(("a", "")) < parked_module.BOUND - 5
