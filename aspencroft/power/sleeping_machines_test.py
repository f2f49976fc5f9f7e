"""Tests of ``aspencroft.power.sleeping_machines``."""

import dataclasses
import random

from aspencroft.power import sleeping_machines
from aspencroft.runtime import clock


def test_a_rising_demand_is_seen_ahead_and_a_falling_one_is_not_trusted():
    step, wake_time = clock.seconds(1), clock.seconds(4)
    assert sleeping_machines.forecast((0.1, 0.2, 0.3), step, wake_time) > 0.69
    assert sleeping_machines.forecast((0.5, 0.3), step, wake_time) == 0.3
    assert sleeping_machines.forecast((), step, wake_time) == 0.0
    machines = tuple(sleeping_machines.Machine(f"m{number}", ("a",), 8, 24.0) for number in range(4))
    assert sleeping_machines.next_list(machines, frozenset({"m3"}), frozenset(), clock.seconds(10), True, 0.3) == {"m3"}
    assert (
        sleeping_machines.next_list(machines, frozenset({"m3"}), frozenset(), clock.seconds(10), True, 0.7)
        == frozenset()
    )


def test_every_service_stays_awake_and_demand_wakes_machines():
    window = clock.seconds(10)
    for seed in range(200):
        rng = random.Random(seed)
        machines = tuple(
            sleeping_machines.Machine(
                f"m{number}",
                tuple(rng.sample("abc", rng.randrange(1, 4))),
                8,
                rng.random() * rng.choice([1, 60]),
            )
            for number in range(rng.randrange(1, 9))
        )
        quiet: frozenset[str] = frozenset()
        all_services = {service for machine in machines for service in machine.services}
        for _ in range(12):
            next_quiet = sleeping_machines.next_list(machines, quiet, frozenset(), window, rng.random() < 0.8)
            assert len(next_quiet - quiet) <= 1
            quiet = next_quiet
            awake = [machine for machine in machines if machine.name not in quiet]
            assert {service for machine in awake for service in machine.services} == all_services
            assert len(awake) >= min(sleeping_machines.MIN_AWAKE, len(machines))
        busy = tuple(dataclasses.replace(machine, worked=machine.places * 10.0) for machine in machines)
        while quiet:
            next_quiet = sleeping_machines.next_list(busy, quiet, frozenset(), window, True)
            assert len(next_quiet) == len(quiet) - 1
            quiet = next_quiet
