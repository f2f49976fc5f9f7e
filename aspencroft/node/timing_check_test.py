"""The chain of times against the bounds of deployments, met and unmet, and how an unmet one is said."""

import asyncio
import dataclasses
import datetime
import random

import logbook
import pytest

from aspencroft.node import configuration_service, node, settings, timing_check
from aspencroft.runtime import clock, environment

SMALL = {"contact": 3, "acknowledge": 4, "apply": 2, "drain": 3, "recovery": 12, "unsettled": 5}
GROWN = {"contact": 4, "acknowledge": 5, "apply": 2.5, "drain": 4, "recovery": 15, "unsettled": 6}
EPOCH = datetime.datetime(2030, 1, 1, tzinfo=datetime.UTC)
PLACE = {
    "address": "127.0.0.1:7000",
    "http": "127.0.0.1:7001",
    "area": "north",
    "seeds": ["127.0.0.1:7000"],
    "witnesses": "core",
    "role": "edge",
    "currency": 12,
    "confirm": 0.25,
}


def times(**changed) -> timing_check.Times:
    members = timing_check.CONTROL_MEMBERS
    return dataclasses.replace(
        timing_check.times_in_force(
            clock.seconds(12), clock.seconds(0.25), configuration_service.APPLY_TIMEOUT, members
        ),
        **changed,
    )


def bounds(**given: float) -> timing_check.Bounds:
    return timing_check.Bounds(**{name: clock.seconds(value) for name, value in given.items()})


def made(given: dict) -> node.Node:
    around = environment.Environment(None, None, None, random.Random(1), lambda: EPOCH)
    return node.Node(settings.check({**PLACE, "bounds": given}), around)


@pytest.mark.parametrize("given", (SMALL, GROWN))
@pytest.mark.parametrize("members", (3, 5))
def test_the_bounds_of_small_and_grown_deployments_are_met(given, members):
    assert timing_check.violations(times(members=members), bounds(**given)) == ()


def test_a_deployment_without_bounds_demands_only_what_holds_everywhere():
    assert timing_check.violations(times(currency=clock.seconds(4), confirm=None), bounds()) == ()


@pytest.mark.parametrize(
    ("name", "seconds"),
    (("contact", 1), ("acknowledge", 0.1), ("apply", 0.5), ("drain", 1), ("recovery", 5), ("unsettled", 1)),
)
def test_each_bound_that_is_too_tight_is_named_with_its_figures(name, seconds):
    found = timing_check.violations(times(), bounds(**{**SMALL, name: seconds}))
    assert found and all(name in one for one in found), found
    assert any(f"{seconds:g} s" in one for one in found) or name in ("acknowledge", "unsettled")


@pytest.mark.parametrize(
    ("name", "seconds"),
    (
        ("heartbeat", 1),
        ("renewal", 0.8),
        ("order_timeout", 1.2),
        ("confirm", 0.9),
        ("lease", 9),
        ("primary_silence", 9),
        ("pull", 2),
        ("stale_parent", 4),
        ("list_period", 3),
        ("currency", 3),
        ("start_patience", 8),
    ),
)
def test_each_time_of_the_product_that_is_made_too_long_breaks_a_bound(name, seconds):
    assert timing_check.violations(times(**{name: clock.seconds(seconds)}), bounds(**SMALL))


def test_bounds_that_cannot_be_met_are_said_in_the_log_and_in_the_status():
    async def said(given: dict) -> tuple[list[str], list[str]]:
        with logbook.TestHandler() as log:
            shown = made(given).status()["unmet_bounds"]
        return shown, log.formatted_records

    unmet, records = asyncio.run(said({**SMALL, "contact": 0.5}))
    assert unmet and len(records) == len(unmet)
    assert any("0.5 s" in record and "cannot be met" in record for record in records)
    assert asyncio.run(said(SMALL)) == ([], [])
