"""What machines grant to session groups: never more in sum than their memory, and never less than each group's base."""

import random

import pytest

from aspencroft.node import payload_ledger, payload_limit
from aspencroft.runtime import clock
from aspencroft.simulation import loop

GROUPS = 12


def run(scenario):
    """Run a scenario in simulated time."""
    simulated = loop.SimLoop()
    try:
        return simulated.run_until_complete(scenario(simulated))
    finally:
        simulated.bury()


def ledger_of(plan: payload_limit.PayloadPlan, held: dict[int, int]) -> payload_ledger.PayloadLedger:
    return payload_ledger.PayloadLedger(lambda: plan, lambda: held)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    ("memory_limit", "replicas"), [(290_000_000, 12), (330_000_000, 5), (150_000_000, 8), (1_000_000_000, 3)]
)
def test_the_largest_groups_that_a_machine_may_hold_together_never_exceed_its_memory(seed, memory_limit, replicas):
    """Guards against a machine that is killed for its memory once it holds the groups of one that was lost."""
    randomness = random.Random(seed)
    plan = payload_limit.plan(memory_limit, GROUPS, replicas)

    async def scenario(simulated):
        ledger, granted = ledger_of(plan, {}), {}
        for _ in range(200):
            group = randomness.randrange(1, GROUPS + 1)
            wanted = randomness.choice([0, plan.base_bytes, 3 << 20, 12 << 20, 40 << 20])
            reply = ledger.reserve(payload_ledger.ReservePayload(group, granted.get(group, 0), wanted))
            assert min(plan.base_bytes, payload_limit.MAX_GROUP_BYTES) <= reply.granted_bytes
            assert reply.granted_bytes <= max(wanted, plan.base_bytes)
            granted[group] = reply.granted_bytes
            sizes = sorted((max(plan.base_bytes, size) for size in granted.values()), reverse=True)
            assert sum(sizes[:replicas]) <= plan.total_bytes

    run(scenario)


def test_what_a_group_holds_counts_though_it_was_not_granted_and_without_a_renewal_a_grant_ends():
    """Guards against memory given away twice after a takeover or a restart, and against memory that nobody uses."""
    plan = payload_limit.plan(290_000_000, GROUPS, GROUPS)
    free = plan.total_bytes - (GROUPS - 1) * plan.base_bytes

    async def scenario(simulated):
        held = {}
        ledger = ledger_of(plan, held)
        large = payload_ledger.ReservePayload(1, 0, 20 << 20)
        assert ledger.reserve(large).granted_bytes == 20 << 20
        expected = free + plan.base_bytes - (20 << 20)
        assert ledger.reserve(payload_ledger.ReservePayload(2, 0, 1 << 30)).granted_bytes == min(
            expected, payload_limit.MAX_GROUP_BYTES
        )
        held[3] = 22 << 20
        assert ledger.others(4, plan) >= (20 << 20) + (22 << 20) + 8 * plan.base_bytes
        held.clear()
        await clock.sleep(payload_ledger.GRANT_PERIOD)
        assert ledger.others(4, plan) == (GROUPS - 1) * plan.base_bytes

    run(scenario)


def test_without_a_known_memory_limit_each_group_has_its_largest_limit_at_once():
    plan = payload_limit.plan(0, GROUPS, GROUPS)
    assert plan.base_bytes == payload_limit.MAX_GROUP_BYTES
