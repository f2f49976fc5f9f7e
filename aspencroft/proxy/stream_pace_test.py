"""Tests of the estimates of workers' slowness from the pace of their streams."""

import asyncio
import collections.abc
import random

from aspencroft.proxy import stream_pace
from aspencroft.runtime import clock
from aspencroft.simulation import loop


def run_scenario(scenario: collections.abc.Callable) -> None:
    """Run a scenario in simulated time."""
    loop.SimLoop().run_until_complete(scenario(stream_pace.ServicePace()))


def test_a_busy_worker_is_distinguished_from_idle_ones_by_its_streams_alone():
    async def scenario(pace):
        random_source = random.Random(1)
        for _ in range(200):
            for name, seconds in (("busy", 0.051), ("idle", 0.03)):
                pace.observe(name, "north", seconds * random_source.uniform(0.95, 1.05), clock.now())
            await asyncio.sleep(0.1)
        now = clock.now()
        assert pace.slowness("busy", "north", now) > 1.5 and pace.slowness("idle", "north", now) < 1.15

    run_scenario(scenario)


def test_the_estimate_of_a_worker_decays_to_that_of_its_zone_and_that_to_idle():
    async def scenario(pace):
        pace.observe("idle", "south", 0.03, clock.now())
        for _ in range(20):
            pace.observe("busy", "north", 0.06, clock.now())
        at_once = pace.slowness("busy", "north", clock.now())
        assert at_once > 1.6 and pace.slowness("not seen yet", "north", clock.now()) > 1.6
        assert pace.slowness("not seen yet", "elsewhere", clock.now()) == 1.0
        await asyncio.sleep(3)
        later = pace.slowness("busy", "north", clock.now())
        assert 1.0 < pace.zone_slowness("north", clock.now()) < later < at_once
        await asyncio.sleep(60)
        assert pace.slowness("busy", "north", clock.now()) < 1.001, "the estimate of an unused worker decays to idle"

    run_scenario(scenario)


def test_the_estimated_pace_of_an_idle_worker_falls_quickly_and_rises_slowly():
    async def scenario(pace):
        for _ in range(10):
            pace.observe("i-1", "north", 0.06, clock.now())
        for _ in range(30):
            pace.observe("i-1", "north", 0.03, clock.now())
        assert pace.idle < 0.031
        for _ in range(10):
            pace.observe("i-1", "north", 0.06, clock.now())
        assert pace.idle < 0.034

    run_scenario(scenario)


def test_the_effect_of_one_long_gap_is_bounded():
    async def scenario(pace):
        pace.observe("i-1", "north", 0.03, clock.now())
        pace.observe("i-1", "north", 3000.0, clock.now())
        assert pace.slowness("i-1", "north", clock.now()) <= stream_pace.MAX_SLOWNESS

    run_scenario(scenario)


def test_estimates_of_removed_workers_are_dropped():
    async def scenario(_):
        paces = stream_pace.Paces()
        for name in ("i-1", "i-2"):
            paces.of("chat").observe(name, "north", 0.03, clock.now())
        paces.of("gone").observe("i-9", "north", 0.03, clock.now())
        paces.set_workers({"chat": frozenset(("i-1",))})
        assert list(paces.services) == ["chat"] and list(paces.of("chat").workers) == ["i-1"]

    run_scenario(scenario)


def test_a_stream_is_timed_from_the_first_events_seen_and_not_when_it_is_short():
    async def scenario(_):
        timer = stream_pace.PaceTimer()
        for count in (0, 2, 2, 3, 4):
            timer.record(count)
            await asyncio.sleep(0.1)
        assert timer.pace() is None, "two gaps are too few"
        timer.record(6)
        await asyncio.sleep(5)
        timer.record(6)
        assert abs(timer.pace() - 0.4 / 4) < 1e-6, "the time after the last event does not count"

    run_scenario(scenario)
