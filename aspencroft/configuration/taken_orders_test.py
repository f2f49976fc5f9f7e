"""The record of taken orders: found by version, bounded, with a horizon below which nothing is called refused."""

import json

import pytest

from aspencroft.configuration import control_state, operator_configuration, taken_orders
from aspencroft.configuration.operator_configuration_test import Store, order, service
from aspencroft.errors import result


def taken(version: int) -> taken_orders.Taken:
    return taken_orders.Taken(version, version.to_bytes(taken_orders.DIGEST_BYTES, "big"), f"3.{version + 1}")


def test_each_of_a_long_day_is_found_with_its_digest_and_revision_and_no_other_is():
    held = taken_orders.TakenOrders()
    versions = [number * 3 + number % 2 for number in range(1, 23_001)]
    for version in versions:
        held.add(taken(version))
    assert len(held) == 23_000 and held.horizon == 0
    for version in versions:
        assert held.find(version) == taken(version)
    assert not any(held.find(version + 1) for version in versions)
    assert held.find(0) is None and held.find(versions[-1] + 1) is None
    assert len(json.dumps(held.snapshot())) < 23_000 * 56


def test_it_is_whole_after_a_snapshot_at_any_size():
    held = taken_orders.TakenOrders()
    for version in range(1, 60):
        fresh = taken_orders.TakenOrders()
        fresh.restore(json.loads(json.dumps(held.snapshot())))
        assert fresh.snapshot() == held.snapshot() and len(fresh) == len(held)
        assert all(fresh.find(one) == held.find(one) for one in range(version + 2))
        held.add(taken(version))


def test_at_its_bound_the_oldest_go_and_the_horizon_says_so(monkeypatch):
    monkeypatch.setattr(taken_orders, "MOST_RECORDS", 10)
    held = taken_orders.TakenOrders()
    for version in range(2, 42, 2):
        held.add(taken(version))
    assert len(held) == 10 and held.horizon == 20
    assert held.forgotten(20) and not held.forgotten(21)
    assert held.find(20) is None and held.find(22) == taken(22)
    fresh = taken_orders.TakenOrders()
    fresh.restore(held.snapshot())
    assert fresh.horizon == 20


def test_a_list_of_earlier_software_is_read_and_a_full_one_has_a_horizon():
    for count, horizon in ((0, 0), (255, 0), (256, 6)):
        shown = [[number + 7, taken(number).digest.hex(), f"1.{number}"] for number in range(count)]
        held = taken_orders.TakenOrders()
        held.restore(shown)
        assert len(held) == count and held.horizon == horizon
        assert all(held.find(number + 7).digest == taken(number).digest for number in range(count))


def test_every_order_of_a_long_day_is_known_again_also_after_a_restart_and_never_taken_twice():
    view = control_state.ControlState()
    orders = [order(number + 1, number, [service("s", f"words {number}")]) for number in range(3000)]
    for command in orders:
        events, _ = view.decide(command, None, 3)
        view.apply(events[0])
    fresh = control_state.ControlState()
    fresh.restore(view.snapshot())
    for command in orders:
        events, reply = fresh.decide(command, None, 4)
        assert events == () and reply.again and reply.revision == f"3.{command.version}"


def test_below_the_horizon_a_repeat_is_left_without_a_clear_answer_and_a_hopeless_order_is_still_refused(monkeypatch):
    monkeypatch.setattr(taken_orders, "MOST_RECORDS", 5)
    store = Store()
    orders = [order(2 * number + 2, 2 * number, [service("s", f"words {number}")]) for number in range(12)]
    for command in orders:
        assert not store.apply(command).again
    store.restart()
    answers = [store.apply(command) for command in orders]
    assert answers[:7] == [result.ResultCode.OUTCOME_UNKNOWN] * 7
    assert all(isinstance(one, operator_configuration.Applied) and one.again for one in answers[7:])
    assert store.apply(order(6, 4, [service("s", "other")])) is result.ResultCode.OUTCOME_UNKNOWN
    assert store.apply(order(6, 24, [service("s", "other")])) is result.ResultCode.PLAN_INVALID
    assert store.apply(order(6, 6, [service("s", "other")])) is result.ResultCode.REVISION_DIFFERS
    assert store.apply(order(26, 22, [service("s", "other")])) is result.ResultCode.REVISION_DIFFERS
    with pytest.raises(result.RequestError) as caught:
        store.state_machine.decide(orders[0], None, 3)
    assert caught.value.ran is result.Ran.UNKNOWN and caught.value.result.status >= 500


def test_an_order_without_a_whole_digest_is_refused_as_it_could_not_be_known_again():
    short = operator_configuration.ApplyConfiguration(1, 0, True, (), (), b"short")
    assert Store().apply(short) is result.ResultCode.PLAN_INVALID
