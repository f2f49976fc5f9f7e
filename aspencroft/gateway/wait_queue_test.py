"""Tests of ``aspencroft.gateway.wait_queue``."""

import aspencroft.gateway.wait_queue as queue_module
from aspencroft.runtime import clock


def test_rows_are_bounded_keep_order_and_refuse_what_comes_too_late():
    parked, now = queue_module.WaitQueue(), clock.seconds(100)
    far_end, default_interval = clock.seconds(900), clock.seconds(0.1)
    accepted = [
        parked.offer(("a", ""), 5, queue_module.SampleCall(number, far_end), now, default_interval) is None
        for number in range(queue_module.MAX_CALLS_PER_ROW + 9)
    ]
    assert (
        accepted == [True] * queue_module.MAX_CALLS_PER_ROW + [False] * 9
        and parked.total() == queue_module.MAX_CALLS_PER_ROW
    )
    assert parked.offer(
        ("b", ""), 0, queue_module.SampleCall(0, now + clock.seconds(0.05)), now, default_interval
    ) >= clock.seconds(1)
    assert parked.offer(("b", ""), 0, queue_module.SampleCall(1, far_end), now, default_interval) is None
    assert parked.rows_by_urgency() == [("b", ""), ("a", "")]
    for number in range(5):
        now += clock.seconds(1)
        assert parked.head(("a", "")).number == number
        parked.pop(("a", ""), now, served=True)
    soon = queue_module.SampleCall(7, now + clock.seconds(30))
    assert parked.offer(("a", ""), 5, soon, now, default_interval) > clock.seconds(100)
    assert parked.too_late(now) == []
    now += clock.seconds(400)
    late = parked.too_late(now)
    assert (
        late
        and late[0][0].number == queue_module.MAX_CALLS_PER_ROW - 1
        and parked.waits(("a", "")) < queue_module.MAX_CALLS_PER_ROW - 5
    )
