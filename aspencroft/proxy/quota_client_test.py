"""Tests of the quota client: batches, refusals, a group without a primary, and cancelled callers."""

import asyncio
import datetime
import types

import pytest

from aspencroft.configuration import tenant
from aspencroft.errors import result
from aspencroft.node import settings
from aspencroft.proxy import quota_client
from aspencroft.runtime import clock
from aspencroft.sessions import request_quota
from aspencroft.simulation import loop

GROUPS = 4
ROUND_TRIP = clock.seconds(0.003)
BOUNDS = settings.QuotaBounds(clock.seconds(5), 0.1, 20)
TENANT = tenant.Tenant("busy", (), 10.0, 0.0, None)
WITHIN = clock.seconds(1)


class Groups:
    """Simulated session groups: each replies after a round trip or a set time, loses its replies, or has no primary."""

    def __init__(self):
        self.quotas = [request_quota.RequestQuotas() for _ in range(GROUPS + 1)]
        self.without_primary: set[int] = set()
        self.losing_replies: set[int] = set()
        self.answer_times: dict[int, datetime.timedelta] = {}
        self.asked: list[tuple[int, object]] = []

    async def submit(self, group_id, command, within):
        self.asked.append((group_id, command))
        if group_id in self.losing_replies:
            self.quotas[group_id].decide_reserve(command, clock.now(), 1)
            await clock.sleep(within)
            raise result.RequestError(result.ResultCode.UNREACHABLE, result.Ran.UNKNOWN)
        if group_id in self.without_primary:
            await clock.sleep(within)
            raise result.RequestError(result.ResultCode.NOT_PRIMARY)
        reply = self.quotas[group_id].decide_reserve(command, clock.now(), 1)[1]
        answer_time = self.answer_times.get(group_id, ROUND_TRIP)
        await clock.sleep(min(answer_time, within))
        if answer_time > within:
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN)
        return reply

    async def submit_once(self, record, command, within):
        self.asked.append((record, command))
        await clock.sleep(ROUND_TRIP)
        return self.quotas[record].decide_return(command, 1)[1]


def run_scenario(scenario):
    """Run a scenario with a client of four groups in simulated time."""
    event_loop = loop.SimLoop()

    async def start_and_run():
        groups = Groups()
        node = types.SimpleNamespace(
            settings=types.SimpleNamespace(talk_pairs=GROUPS, quota=BOUNDS),
            submit=groups.submit,
            incarnation_id=lambda: "edge-1 1",
            group_client=groups,
            failure_detector=types.SimpleNamespace(records={number: number for number in range(GROUPS + 1)}),
        )
        return await scenario(quota_client.QuotaClient(node), groups)

    try:
        return event_loop.run_until_complete(start_and_run())
    finally:
        event_loop.bury()


async def outcomes(client, count, within=WITHIN):
    """Reserve requests concurrently; return how many were granted and the result codes of the others."""
    replies = await asyncio.gather(*(client.reserve(TENANT, within) for _ in range(count)), return_exceptions=True)
    granted = [one for one in replies if isinstance(one, quota_client.Grant)]
    return len(granted), {one.result for one in replies if isinstance(one, result.RequestError)}


def test_a_tenant_without_a_limit_needs_no_quota_request():
    async def scenario(client, groups):
        return await client.reserve(tenant.Tenant("free", (), 0.0, 0.0, None), WITHIN), groups.asked

    assert run_scenario(scenario) == (None, [])


def test_concurrent_requests_are_reserved_in_batches_and_those_above_the_limit_are_refused():
    async def scenario(client, groups):
        replies = await outcomes(client, 80)
        return replies, len(groups.asked)

    (granted, refused), messages = run_scenario(scenario)
    assert (granted, refused) == (50, {result.ResultCode.OVER_QUOTA})
    assert messages <= 3


def test_a_refusal_comes_within_a_round_trip_and_tells_when_to_come_back():
    async def scenario(client, groups):
        await outcomes(client, 50)
        began = clock.now()
        with pytest.raises(result.RequestError) as caught:
            await client.reserve(TENANT, WITHIN)
        return caught.value, clock.now() - began

    refusal, took = run_scenario(scenario)
    assert took <= 2 * ROUND_TRIP
    assert refusal.ran is result.Ran.NOT_RUN
    assert clock.seconds(4.5) < refusal.retry <= clock.seconds(5)


def test_after_a_refusal_requests_are_refused_without_a_message_for_a_short_time_only():
    async def scenario(client, groups):
        await outcomes(client, 60)
        before = len(groups.asked)
        await outcomes(client, 100)
        silent = len(groups.asked) - before
        await clock.sleep(clock.seconds(5.1))
        return silent, (await outcomes(client, 10))[0]

    assert run_scenario(scenario) == (0, 10)


def test_a_raised_limit_clears_the_cached_refusal():
    async def scenario(client, groups):
        await outcomes(client, 60)
        raised = tenant.Tenant(TENANT.name, (), 20.0, 0.0, None)
        return type(await client.reserve(raised, WITHIN))

    assert run_scenario(scenario) is quota_client.Grant


def test_while_the_group_has_no_primary_the_reserve_grants_its_part_of_the_allowed_error_and_no_more():
    async def scenario(client, groups):
        groups.without_primary.add(client.group_of(TENANT.name))
        return await outcomes(client, 40)

    granted, refused = run_scenario(scenario)
    assert granted == BOUNDS.allowed_error(50) // quota_client.RESERVE_DIVISOR
    assert refused == {result.ResultCode.UNREACHABLE}


def test_waiting_requests_are_granted_when_the_group_has_a_primary_again():
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.without_primary.add(group_id)
        asyncio.get_running_loop().call_later(0.5, groups.without_primary.discard, group_id)
        return await outcomes(client, 40)

    assert run_scenario(scenario) == (40, set())


def test_requests_whose_grants_are_lost_on_the_way_are_counted_once():
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.losing_replies.add(group_id)
        groups.without_primary.add(client.other_group(group_id))
        asyncio.get_running_loop().call_later(0.9, groups.losing_replies.discard, group_id)
        first = await outcomes(client, 20, clock.seconds(2))
        return first, (await outcomes(client, 40))[0]

    assert run_scenario(scenario) == ((20, set()), 30)


def test_an_edge_that_reaches_no_group_refuses_in_time_and_promises_that_nothing_ran():
    async def scenario(client, groups):
        groups.without_primary.update(range(GROUPS + 1))
        began = clock.now()
        with pytest.raises(result.RequestError) as caught:
            await client.reserve(TENANT, WITHIN)
        return caught.value.result, caught.value.ran, clock.now() - began <= WITHIN + clock.seconds(0.01)

    assert run_scenario(scenario) == (result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN, True)


def test_grants_of_cancelled_callers_are_returned():
    async def scenario(client, groups):
        waiting = [asyncio.ensure_future(client.reserve(TENANT, WITHIN)) for _ in range(50)]
        await clock.sleep(ROUND_TRIP / 2)
        for one in waiting:
            one.cancel()
        await clock.sleep(clock.seconds(0.1))
        return (await outcomes(client, 50))[0]

    assert run_scenario(scenario) == 50


def test_a_grant_is_returned_early_but_not_late():
    async def scenario(client, groups):
        grant = await client.reserve(TENANT, WITHIN)
        client.return_grant(grant)
        await clock.sleep(clock.seconds(0.1))
        early = client.counts["given back"]
        grant = await client.reserve(TENANT, WITHIN)
        await clock.sleep(clock.seconds(2))
        client.return_grant(grant)
        return early, client.counts["given back"]

    assert run_scenario(scenario) == (1, 1)


def test_a_caller_waits_no_longer_than_it_has_time():
    async def scenario(client, groups):
        groups.without_primary.update(range(GROUPS + 1))
        began = clock.now()
        replies = await outcomes(client, 5, clock.seconds(0.2))
        return replies, clock.now() - began < clock.seconds(0.21)

    assert run_scenario(scenario) == ((0, {result.ResultCode.UNREACHABLE}), True)


def test_a_grant_that_arrives_at_the_moment_of_the_time_out_is_used():
    async def scenario(client, groups):
        groups.without_primary.update(range(GROUPS + 1))
        batches, take_batch = [], client.take_batch

        def recorded(queue):
            batches.append(take_batch(queue))
            return batches[-1]

        client.take_batch = recorded
        grant = quota_client.Grant(TENANT.name, 1, 1, clock.now(), clock.now())
        asyncio.get_running_loop().call_later(WITHIN.total_seconds(), lambda: batches[-1][0].set_result(grant))
        return await client.reserve(TENANT, WITHIN) is grant

    assert run_scenario(scenario)


@pytest.mark.parametrize("seconds", [0.1, 0.2, 0.4])
def test_a_group_that_always_answers_slowly_has_its_answers_used(seconds):
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.answer_times[group_id] = clock.seconds(seconds)
        replies = await outcomes(client, 20)
        await clock.sleep(clock.seconds(1))
        return replies, groups.quotas[group_id].windows[TENANT.name].total

    (granted, refused), counted = run_scenario(scenario)
    assert (granted, refused) == (20, set())
    assert counted <= 20


def test_late_grants_of_the_primary_are_returned_if_the_reserve_has_granted_the_requests():
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.answer_times[group_id] = clock.seconds(0.2)
        replies = await outcomes(client, 3)
        await clock.sleep(clock.seconds(1))
        return replies, groups.quotas[group_id].windows[TENANT.name].total

    assert run_scenario(scenario) == ((3, set()), 0)
