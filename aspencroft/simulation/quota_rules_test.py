"""The judge of tenants' limits and keys, on histories that are made up."""

import math

import pytest

from aspencroft.configuration import tenant
from aspencroft.emulator import agent, worker_server
from aspencroft.errors import result
from aspencroft.node import settings
from aspencroft.proxy import call
from aspencroft.runtime import clock
from aspencroft.simulation import forwarding, quota_rules, rules

BOUNDS = settings.QuotaBounds(clock.seconds(5), 0.1, 20)
KEY, OTHER_KEY = tenant.digest(b"key"), tenant.digest(b"other")
LIMITED = tenant.Tenant("t", (KEY,), 10.0, 0.0, None)
OTHER = tenant.Tenant("o", (OTHER_KEY,), 0.0, 0.0, None)
ALWAYS = quota_rules.LimitSpan({"t": LIMITED, "o": OTHER}, 0.0, math.inf)


def ran(sent, arrived=None, told="t", key=KEY):
    return quota_rules.RanRequest("a1", told, key, sent, sent if arrived is None else arrived)


def history(requests=(), spans=(ALWAYS,), tries=()):
    return quota_rules.QuotaHistory(list(tries), list(requests), list(spans), BOUNDS)


def rules_broken(*arguments, **named):
    return [line.split()[0] for line in quota_rules.faults(history(*arguments, **named))]


@pytest.mark.parametrize(("count", "broken"), [(50, []), (62, []), (63, ["MARGIN"]), (75, ["MARGIN"]), (76, ["QUOTA"])])
def test_a_window_may_hold_the_limit_and_half_of_the_allowed_error(count, broken):
    assert rules_broken([ran(10 + 0.05 * number) for number in range(count)]) == broken


def test_windows_begin_at_any_request():
    early = [ran(10 + 0.1 * number) for number in range(40)]
    late = [ran(14.5 + 0.01 * number) for number in range(60)]
    assert rules_broken(early) == rules_broken(late) == []
    assert rules_broken([*early, *late]) == ["QUOTA"]


def test_requests_that_arrive_behind_the_window_in_which_they_were_sent_do_not_count_in_it():
    late = [ran(10.0 + 0.01 * number, 15.5 + 0.01 * number) for number in range(76)]
    assert rules_broken(late) == []


def test_a_lower_limit_binds_windows_that_begin_once_no_edge_acts_on_the_higher_one():
    lower = tenant.Tenant("t", (KEY,), 2.0, 0.0, None)
    spans = [quota_rules.LimitSpan({"t": LIMITED}, 0.0, 20.0), quota_rules.LimitSpan({"t": lower}, 15.0, math.inf)]
    assert rules_broken([ran(19.0 + 0.05 * number) for number in range(60)], spans) == ["QUOTA"]
    assert rules_broken([ran(16.9 + 0.05 * number) for number in range(60)], spans) == []


def test_a_tenant_without_a_limit_may_run_any_number():
    assert rules_broken([ran(10 + 0.01 * number, told="o", key=OTHER_KEY) for number in range(500)]) == []


@pytest.mark.parametrize(
    ("told", "key", "broken"),
    [
        ("t", KEY, []),
        ("o", KEY, ["TENANT"]),
        ("", KEY, ["TENANT"]),
        ("t", "", ["KEY"]),
        ("t", tenant.digest(b"?"), ["KEY"]),
    ],
)
def test_a_request_runs_for_the_tenant_that_holds_its_key(told, key, broken):
    assert rules_broken([ran(10.0, told=told, key=key)]) == broken


def test_a_key_that_was_dropped_is_seen_once_no_edge_may_act_on_it():
    spans = [quota_rules.LimitSpan({"t": LIMITED}, 0.0, 20.0), quota_rules.LimitSpan({"o": OTHER}, 15.0, math.inf)]
    assert rules_broken([ran(19.9)], spans) == []
    assert rules_broken([ran(20.1)], spans) == ["KEY"]


def tries(count, refused=(), pause=0.2):
    found = []
    for number in range(count):
        one = call.Call("POST", "/", "h", (), b"", f"a{number}", clock.seconds(1), clock.ZERO, key_digest=KEY)
        found.append(agent.Try(one, forwarding.LIGHT, "edge-0", 10 + pause * number, ended=10.1 + pause * number))
        if number in refused:
            found[-1].refusal = result.RequestError(result.ResultCode.OVER_QUOTA)
    return found


def test_one_refusal_in_two_hundred_within_the_limit_is_too_many():
    assert rules_broken(tries=tries(400, {7})) == []
    assert rules_broken(tries=tries(400, {7, 8})) == ["UNJUST"]


def test_refusals_above_the_limit_are_no_fault():
    assert rules_broken(tries=tries(400, range(50, 400), pause=0.01)) == []
    assert rules_broken(tries=tries(400, range(49, 400), pause=0.01)) == ["UNJUST"]


def test_a_version_may_be_in_force_until_a_while_after_the_next_is_acknowledged():
    items = {("tenants", "t"): '{"rate": 3}'}
    versions = [
        rules.Version(1, 0, 5.0, {}, items, taken=6.0),
        rules.Version(2, 1, 7.0, {}, items, refused=True),
        rules.Version(3, 1, 8.0, {}, items),
        rules.Version(4, 3, 9.0, {}, {}, taken=10.0),
    ]
    spans = quota_rules.spans_of(versions, 4.0)
    assert [(span.began, span.ended) for span in spans] == [(5.0, 14.0), (8.0, 14.0), (9.0, math.inf)]
    assert spans[0].tenants["t"].rate == 3


def test_a_request_that_ran_twice_counts_once_at_its_first_arrival():
    life = worker_server.Worker("i-0", "s", "north", forwarding.PLAIN, None)
    headers = ((worker_server.TENANT, b"t"),)
    for at in (11.0, 12.0):
        life.arrivals.append(worker_server.Arrival(at, "a0", True))
        life.runs.append(worker_server.Run("a0", "POST", "/", "h", headers, b"", at, "seal"))
    assert quota_rules.ran_requests(tries(1), [life]) == [quota_rules.RanRequest("a0", "t", KEY, 10.0, 11.0)]
