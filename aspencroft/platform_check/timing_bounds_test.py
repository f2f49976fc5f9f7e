"""The platform's time bounds reach the product's check of its own times: met in four deployments, unmet in another."""

import pytest

from aspencroft.node import configuration_service, timing_check
from aspencroft.runtime import clock

import settings_file

SMALL = {
    "contact-ms": 3000,
    "ack-timer-ms": 4000,
    "config-apply-ms": 2000,
    "drain-timer-ms": 3000,
    "recovery-s": 12,
    "outer-bound-ms": 5000,
    "key-window-s": 60,
}
GROWN = {
    "contact-ms": 4000,
    "ack-timer-ms": 5000,
    "config-apply-ms": 2500,
    "drain-timer-ms": 4000,
    "recovery-s": 15,
    "outer-bound-ms": 6000,
    "key-window-s": 60,
}
DEPLOYMENTS = {
    "first small": {**SMALL, "catch-up-s": 4.8},
    "second small": {**SMALL, "catch-up-s": 4},
    "first grown": {**GROWN, "catch-up-s": 6, "recovery-s": 12},
    "second grown": {**GROWN, "catch-up-s": 6},
}


def unmet(timing_bounds: dict | None) -> tuple[str, ...]:
    document = {
        "machine-class": "core",
        "ip-address": "10.0.0.1",
        "internal-port-range": [7000, 7010],
        "seed-nodes": ["10.0.0.2:9000"],
        "zone-id": "z",
        "node-name": "core-z-1",
    }
    if timing_bounds is not None:
        document["timing-bounds"] = timing_bounds
    place = settings_file.of(document).settings
    times = timing_check.times_in_force(
        place.currency, place.confirm, configuration_service.APPLY_TIMEOUT, timing_check.CONTROL_MEMBERS
    )
    return timing_check.violations(times, place.bounds)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_a_tree_of_five_levels_meets_the_bounds_though_every_push_is_lost(name, monkeypatch):
    """Four children a relay: 341 nodes, more than any deployment played so far has."""
    monkeypatch.setattr(timing_check, "RELAY_LEVELS", 5)
    assert unmet(DEPLOYMENTS[name]) == ()


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_the_bounds_of_a_deployment_are_handed_over_and_met(name):
    given = settings_file.bounds_of({"timing-bounds": DEPLOYMENTS[name]})
    assert clock.seconds(given["contact"]) in (clock.seconds(3), clock.seconds(4))
    assert set(given) == {"contact", "acknowledge", "apply", "drain", "recovery", "unsettled"}
    assert unmet(DEPLOYMENTS[name]) == ()


def test_a_deployment_that_cannot_be_met_is_found_and_one_without_bounds_demands_nothing():
    assert any("contact (0.5 s)" in one for one in unmet({**SMALL, "contact-ms": 500}))
    assert any("drain (0.4 s)" in one for one in unmet({**SMALL, "drain-timer-ms": 400}))
    assert unmet(None) == unmet({}) == ()
