"""An edge's questions about tenants' requests: batches, refusals, a group without a primary, callers that leave."""

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
    """Session groups as an edge meets them: each answers after a round trip, or has no primary."""

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
        takes = self.answer_times.get(group_id, ROUND_TRIP)
        await clock.sleep(min(takes, within))
        if takes > within:
            raise result.RequestError(result.ResultCode.OUTCOME_UNKNOWN, result.Ran.UNKNOWN)
        return reply

    async def submit_once(self, record, command, within):
        self.asked.append((record, command))
        await clock.sleep(ROUND_TRIP)
        return self.quotas[record].decide_return(command, 1)[1]


def played(scenario):
    """A scenario with a client of four groups, in simulated time."""
    simulated = loop.SimLoop()

    async def whole():
        groups = Groups()
        own = types.SimpleNamespace(
            settings=types.SimpleNamespace(talk_pairs=GROUPS, quota=BOUNDS),
            submit=groups.submit,
            incarnation_id=lambda: "edge-1 1",
            group_client=groups,
            failure_detector=types.SimpleNamespace(records={number: number for number in range(GROUPS + 1)}),
        )
        return await scenario(quota_client.QuotaClient(own), groups)

    try:
        return simulated.run_until_complete(whole())
    finally:
        simulated.bury()


async def outcomes(client, count, within=WITHIN):
    """How many of some requests at once are granted, and the results of the others."""
    found = await asyncio.gather(*(client.reserve(TENANT, within) for _ in range(count)), return_exceptions=True)
    granted = [one for one in found if isinstance(one, quota_client.Grant)]
    return len(granted), {one.result for one in found if isinstance(one, result.RequestError)}


def test_a_tenant_without_a_limit_is_asked_for_nowhere():
    async def scenario(client, groups):
        return await client.reserve(tenant.Tenant("free", (), 0.0, 0.0, None), WITHIN), groups.asked

    assert played(scenario) == (None, [])


def test_requests_at_once_are_asked_for_together_and_those_above_the_limit_are_refused():
    async def scenario(client, groups):
        found = await outcomes(client, 80)
        return found, len(groups.asked)

    (granted, refused), messages = played(scenario)
    assert (granted, refused) == (50, {result.ResultCode.OVER_QUOTA})
    assert messages <= 3


def test_a_refusal_comes_within_a_round_trip_and_tells_when_to_come_back():
    async def scenario(client, groups):
        await outcomes(client, 50)
        began = clock.now()
        with pytest.raises(result.RequestError) as caught:
            await client.reserve(TENANT, WITHIN)
        return caught.value, clock.now() - began

    refusal, took = played(scenario)
    assert took <= 2 * ROUND_TRIP
    assert refusal.ran is result.Ran.NOT_RUN
    assert clock.seconds(4.5) < refusal.retry <= clock.seconds(5)


def test_what_would_be_refused_is_refused_without_a_message_for_a_moment_only():
    async def scenario(client, groups):
        await outcomes(client, 60)
        before = len(groups.asked)
        await outcomes(client, 100)
        silent = len(groups.asked) - before
        await clock.sleep(clock.seconds(5.1))
        return silent, (await outcomes(client, 10))[0]

    assert played(scenario) == (0, 10)


def test_a_raised_limit_ends_the_memory_of_refusals():
    async def scenario(client, groups):
        await outcomes(client, 60)
        raised = tenant.Tenant(TENANT.name, (), 20.0, 0.0, None)
        return type(await client.reserve(raised, WITHIN))

    assert played(scenario) is quota_client.Grant


def test_while_the_group_has_no_primary_the_reserve_grants_its_part_of_the_allowed_error_and_no_more():
    async def scenario(client, groups):
        groups.without_primary.add(client.group_of(TENANT.name))
        return await outcomes(client, 40)

    granted, refused = played(scenario)
    assert granted == BOUNDS.allowed_error(50) // quota_client.RESERVE_DIVISOR
    assert refused == {result.ResultCode.UNREACHABLE}


def test_what_waits_goes_on_when_the_group_has_a_primary_again():
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.without_primary.add(group_id)
        asyncio.get_running_loop().call_later(0.5, groups.without_primary.discard, group_id)
        return await outcomes(client, 40)

    assert played(scenario) == (40, set())


def test_requests_whose_grants_are_lost_on_the_way_are_counted_once():
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.losing_replies.add(group_id)
        groups.without_primary.add(client.other_group(group_id))
        asyncio.get_running_loop().call_later(0.9, groups.losing_replies.discard, group_id)
        first = await outcomes(client, 20, clock.seconds(2))
        return first, (await outcomes(client, 40))[0]

    assert played(scenario) == ((20, set()), 30)


def test_an_edge_that_reaches_no_group_refuses_in_time_and_promises_that_nothing_ran():
    async def scenario(client, groups):
        groups.without_primary.update(range(GROUPS + 1))
        began = clock.now()
        with pytest.raises(result.RequestError) as caught:
            await client.reserve(TENANT, WITHIN)
        return caught.value.result, caught.value.ran, clock.now() - began <= WITHIN + clock.seconds(0.01)

    assert played(scenario) == (result.ResultCode.UNREACHABLE, result.Ran.NOT_RUN, True)


def test_grants_of_callers_that_left_go_back():
    async def scenario(client, groups):
        waiting = [asyncio.ensure_future(client.reserve(TENANT, WITHIN)) for _ in range(50)]
        await clock.sleep(ROUND_TRIP / 2)
        for one in waiting:
            one.cancel()
        await clock.sleep(clock.seconds(0.1))
        return (await outcomes(client, 50))[0]

    assert played(scenario) == 50


def test_a_grant_goes_back_once_and_not_late():
    async def scenario(client, groups):
        grant = await client.reserve(TENANT, WITHIN)
        client.give_back(grant)
        await clock.sleep(clock.seconds(0.1))
        early = client.counts["given back"]
        grant = await client.reserve(TENANT, WITHIN)
        await clock.sleep(clock.seconds(2))
        client.give_back(grant)
        return early, client.counts["given back"]

    assert played(scenario) == (1, 1)


def test_a_caller_waits_no_longer_than_it_has_time():
    async def scenario(client, groups):
        groups.without_primary.update(range(GROUPS + 1))
        began = clock.now()
        found = await outcomes(client, 5, clock.seconds(0.2))
        return found, clock.now() - began < clock.seconds(0.21)

    assert played(scenario) == ((0, {result.ResultCode.UNREACHABLE}), True)


def test_a_grant_that_comes_in_the_moment_in_which_a_caller_has_waited_long_enough_is_used():
    async def scenario(client, groups):
        groups.without_primary.update(range(GROUPS + 1))
        batches, take_batch = [], client.take_batch

        def noted(queue):
            batches.append(take_batch(queue))
            return batches[-1]

        client.take_batch = noted
        grant = quota_client.Grant(TENANT.name, 1, 1, clock.now(), clock.now())
        asyncio.get_running_loop().call_later(WITHIN.total_seconds(), lambda: batches[-1][0].set_result(grant))
        return await client.reserve(TENANT, WITHIN) is grant

    assert played(scenario)


@pytest.mark.parametrize("seconds", [0.1, 0.2, 0.4])
def test_a_group_that_always_answers_slowly_has_its_answers_used(seconds):
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.answer_times[group_id] = clock.seconds(seconds)
        found = await outcomes(client, 20)
        await clock.sleep(clock.seconds(1))
        return found, groups.quotas[group_id].windows[TENANT.name].total

    (granted, refused), counted = played(scenario)
    assert (granted, refused) == (20, set())
    assert counted <= 20


def test_what_a_group_grants_after_the_reserve_did_goes_back():
    async def scenario(client, groups):
        group_id = client.group_of(TENANT.name)
        groups.answer_times[group_id] = clock.seconds(0.2)
        found = await outcomes(client, 3)
        await clock.sleep(clock.seconds(1))
        return found, groups.quotas[group_id].windows[TENANT.name].total

    assert played(scenario) == ((3, set()), 0)
