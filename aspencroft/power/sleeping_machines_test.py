"""Tests of ``aspencroft.power.sleeping_machines``."""

import dataclasses
import random

import aspencroft.power.sleeping_machines as quiet_module
from aspencroft.runtime import clock


def test_a_rising_demand_is_seen_ahead_and_a_falling_one_is_not_trusted():
    step, wake = clock.seconds(1), clock.seconds(4)
    assert quiet_module.forecast((0.1, 0.2, 0.3), step, wake) > 0.69
    assert quiet_module.forecast((0.5, 0.3), step, wake) == 0.3
    assert quiet_module.forecast((), step, wake) == 0.0
    machines = tuple(quiet_module.Machine(f"m{number}", ("a",), 8, 24.0) for number in range(4))
    assert quiet_module.next_list(machines, frozenset({"m3"}), frozenset(), clock.seconds(10), True, 0.3) == {"m3"}
    assert quiet_module.next_list(machines, frozenset({"m3"}), frozenset(), clock.seconds(10), True, 0.7) == frozenset()


def test_every_service_stays_awake_and_demand_wakes_machines():
    window = clock.seconds(10)
    for seed in range(200):
        chance = random.Random(seed)
        machines = tuple(
            quiet_module.Machine(
                f"m{number}",
                tuple(chance.sample("abc", chance.randrange(1, 4))),
                8,
                chance.random() * chance.choice([1, 60]),
            )
            for number in range(chance.randrange(1, 9))
        )
        quiet: frozenset[str] = frozenset()
        every = {service for one in machines for service in one.services}
        for _ in range(12):
            fresh = quiet_module.next_list(machines, quiet, frozenset(), window, chance.random() < 0.8)
            assert len(fresh - quiet) <= 1
            quiet = fresh
            awake = [one for one in machines if one.name not in quiet]
            assert {service for one in awake for service in one.services} == every
            assert len(awake) >= min(quiet_module.LEAST_AWAKE, len(machines))
        busy = tuple(dataclasses.replace(one, worked=one.places * 10.0) for one in machines)
        while quiet:
            fresh = quiet_module.next_list(busy, quiet, frozenset(), window, True)
            assert len(fresh) == len(quiet) - 1
            quiet = fresh
