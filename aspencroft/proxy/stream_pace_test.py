"""What the pace of streams tells of workers whose load isn't told."""

import asyncio
import collections.abc
import random

from aspencroft.proxy import stream_pace
from aspencroft.runtime import clock
from aspencroft.simulation import loop


def play(scenario: collections.abc.Callable) -> None:
    """Run a scenario in simulated time."""
    loop.SimLoop().run_until_complete(scenario(stream_pace.ServicePace()))


def test_a_busy_worker_is_told_from_idle_ones_by_its_streams_alone():
    async def scenario(known):
        chance = random.Random(1)
        for _ in range(200):
            for name, seconds in (("busy", 0.051), ("idle", 0.03)):
                known.observe(name, "north", seconds * chance.uniform(0.95, 1.05), clock.now())
            await asyncio.sleep(0.1)
        now = clock.now()
        assert known.slowness("busy", "north", now) > 1.5 and known.slowness("idle", "north", now) < 1.15

    play(scenario)


def test_what_is_known_of_a_worker_fades_to_its_zone_and_that_to_idle():
    async def scenario(known):
        known.observe("idle", "south", 0.03, clock.now())
        for _ in range(20):
            known.observe("busy", "north", 0.06, clock.now())
        at_once = known.slowness("busy", "north", clock.now())
        assert at_once > 1.6 and known.slowness("not seen yet", "north", clock.now()) > 1.6
        assert known.slowness("not seen yet", "elsewhere", clock.now()) == 1.0
        await asyncio.sleep(3)
        later = known.slowness("busy", "north", clock.now())
        assert 1.0 < known.zone_slowness("north", clock.now()) < later < at_once
        await asyncio.sleep(60)
        assert known.slowness("busy", "north", clock.now()) < 1.001, "what was not tried lately is worth a try"

    play(scenario)


def test_the_pace_of_an_idle_worker_is_learnt_down_quickly_and_up_slowly():
    async def scenario(known):
        for _ in range(10):
            known.observe("i-1", "north", 0.06, clock.now())
        for _ in range(30):
            known.observe("i-1", "north", 0.03, clock.now())
        assert known.idle < 0.031
        for _ in range(10):
            known.observe("i-1", "north", 0.06, clock.now())
        assert known.idle < 0.034

    play(scenario)


def test_one_silent_stretch_does_not_count_without_bound():
    async def scenario(known):
        known.observe("i-1", "north", 0.03, clock.now())
        known.observe("i-1", "north", 3000.0, clock.now())
        assert known.slowness("i-1", "north", clock.now()) <= stream_pace.MAX_SLOWNESS

    play(scenario)


def test_what_is_known_of_workers_that_are_gone_is_dropped():
    async def scenario(_):
        paces = stream_pace.Paces()
        for name in ("i-1", "i-2"):
            paces.of("chat").observe(name, "north", 0.03, clock.now())
        paces.of("gone").observe("i-9", "north", 0.03, clock.now())
        paces.set_workers({"chat": frozenset(("i-1",))})
        assert list(paces.services) == ["chat"] and list(paces.of("chat").workers) == ["i-1"]

    play(scenario)


def test_a_stream_is_timed_from_the_first_events_seen_and_not_when_it_is_short():
    async def scenario(_):
        watch = stream_pace.Stopwatch()
        for count in (0, 2, 2, 3, 4):
            watch.saw(count)
            await asyncio.sleep(0.1)
        assert watch.pace() is None, "two gaps tell too little"
        watch.saw(6)
        await asyncio.sleep(5)
        watch.saw(6)
        assert abs(watch.pace() - 0.4 / 4) < 1e-6, "silence after the last event doesn't count"

    play(scenario)
