"""Tests of ``aspencroft.configuration.taken_orders``: lookup by version, the bound of the record and its horizon."""

import json

import pytest

from aspencroft.configuration import control_state, operator_configuration, taken_orders
from aspencroft.configuration.operator_configuration_test import Store, order, service
from aspencroft.errors import result


def taken(version: int) -> taken_orders.Taken:
    return taken_orders.Taken(version, version.to_bytes(taken_orders.DIGEST_BYTES, "big"), f"3.{version + 1}")


def test_each_of_a_long_day_is_found_with_its_digest_and_revision_and_no_other_is():
    record = taken_orders.TakenOrders()
    versions = [number * 3 + number % 2 for number in range(1, 23_001)]
    for version in versions:
        record.add(taken(version))
    assert len(record) == 23_000 and record.horizon == 0
    for version in versions:
        assert record.find(version) == taken(version)
    assert not any(record.find(version + 1) for version in versions)
    assert record.find(0) is None and record.find(versions[-1] + 1) is None
    assert len(json.dumps(record.snapshot())) < 23_000 * 56


def test_it_is_whole_after_a_snapshot_at_any_size():
    record = taken_orders.TakenOrders()
    for version in range(1, 60):
        restored = taken_orders.TakenOrders()
        restored.restore(json.loads(json.dumps(record.snapshot())))
        assert restored.snapshot() == record.snapshot() and len(restored) == len(record)
        assert all(restored.find(one) == record.find(one) for one in range(version + 2))
        record.add(taken(version))


def test_at_its_bound_the_oldest_go_and_the_horizon_says_so(monkeypatch):
    monkeypatch.setattr(taken_orders, "MAX_RECORDS", 10)
    record = taken_orders.TakenOrders()
    for version in range(2, 42, 2):
        record.add(taken(version))
    assert len(record) == 10 and record.horizon == 20
    assert record.may_be_discarded(20) and not record.may_be_discarded(21)
    assert record.find(20) is None and record.find(22) == taken(22)
    restored = taken_orders.TakenOrders()
    restored.restore(record.snapshot())
    assert restored.horizon == 20


def test_a_list_of_earlier_software_is_read_and_a_full_one_has_a_horizon():
    for count, horizon in ((0, 0), (255, 0), (256, 6)):
        old_snapshot = [[number + 7, taken(number).digest.hex(), f"1.{number}"] for number in range(count)]
        record = taken_orders.TakenOrders()
        record.restore(old_snapshot)
        assert len(record) == count and record.horizon == horizon
        assert all(record.find(number + 7).digest == taken(number).digest for number in range(count))


def test_every_order_of_a_long_day_is_known_again_also_after_a_restart_and_never_taken_twice():
    state = control_state.ControlState()
    orders = [order(number + 1, number, [service("s", f"words {number}")]) for number in range(3000)]
    for command in orders:
        events, _ = state.decide(command, None, 3)
        state.apply(events[0])
    restored = control_state.ControlState()
    restored.restore(state.snapshot())
    for command in orders:
        events, reply = restored.decide(command, None, 4)
        assert events == () and reply.again and reply.revision == f"3.{command.version}"


def test_below_the_horizon_a_repeat_is_left_without_a_clear_answer_and_a_hopeless_order_is_still_refused(monkeypatch):
    monkeypatch.setattr(taken_orders, "MAX_RECORDS", 5)
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
