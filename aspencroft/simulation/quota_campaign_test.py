"""Seeded days of tenants' requests through failures, and that their judge sees code that breaks a rule."""

import dataclasses

import pytest

from aspencroft.proxy import caller_access
from aspencroft.simulation import quota_campaign

HARD_RULES = ("QUOTA", "MARGIN", "TENANT", "KEY")


@pytest.mark.parametrize("seed", [4, 7])
def test_days_of_failures_break_none_of_the_rules(seed):
    found = quota_campaign.run_day(seed, count=4)
    assert found.wrong == []
    assert found.refused["OVER_QUOTA"] > 300 and found.ran > 300 and found.within_limits > 200


def test_takeovers_one_after_the_other_within_a_window_keep_the_limit(monkeypatch):
    monkeypatch.setattr(quota_campaign, "LEADER_FAULTS", (quota_campaign.TAKEOVERS,))
    found = quota_campaign.run_day(5, ("leader",), 1)
    assert [line for line in found.wrong if line.startswith(HARD_RULES)] == []
    assert any(quota_campaign.TAKEOVERS in one for one in found.done)


def test_four_takeovers_of_one_group_in_a_row_refuse_hardly_any_request_within_its_limit():
    assert quota_campaign.run_day(35).wrong == []


def test_an_edge_that_goes_on_with_its_first_keys_is_seen(monkeypatch):
    first_table = []
    plain = caller_access.CallerAccess.identify

    def identify(self, one, route):
        first_table.append(self.node.relay.configuration.key_table)
        holder = first_table[0].find(one.key_digest)
        return dataclasses.replace(one, tenant=holder.name) if holder else plain(self, one, route)

    monkeypatch.setattr(caller_access.CallerAccess, "identify", identify)
    broken = {line.split()[0] for line in quota_campaign.run_day(7, ("edge kill",), 2).wrong}
    assert broken & {"KEY", "TENANT"}
