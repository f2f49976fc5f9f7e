"""The quiet list: the machines that get no new calls, so that they can sleep while traffic is low."""

import dataclasses
import datetime

from aspencroft.runtime import clock

LOW_DEMAND, HIGH_DEMAND = 0.25, 0.6
MIN_AWAKE = 2
MIN_STABLE_TIME = clock.seconds(8)


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine that may sleep: its services, its concurrent places, and its busy seconds in the window."""

    name: str
    services: tuple[str, ...]
    places: int
    worked: float


def demand(machines: tuple[Machine, ...], window: datetime.timedelta) -> float:
    """Return the share of the machines' capacity that was used in the window."""
    places = sum(machine.places for machine in machines)
    return sum(machine.worked for machine in machines) / (places * window.total_seconds()) if places else 1.0


def forecast(demands: tuple[float, ...], step: datetime.timedelta, wake_time: datetime.timedelta) -> float:
    """Return the demand expected when a machine that is woken now could serve, by linear extrapolation.

    A falling trend is ignored: the forecast is never below the newest demand.
    """
    if len(demands) < 2:
        return demands[-1] if demands else 0.0
    slope = (demands[-1] - demands[0]) / (len(demands) - 1)
    return demands[-1] + max(0.0, slope) * (wake_time / step)


def next_list(
    machines: tuple[Machine, ...],
    quiet: frozenset[str],
    wanted: frozenset[str],
    window: datetime.timedelta,
    calm: bool,
    expected: float = 0.0,
) -> frozenset[str]:
    """Return the next quiet list, with at most one machine more, or fewer machines as demand requires.

    Every service keeps at least one machine awake, and at least two machines stay awake in total. ``expected`` is the
    forecast of the demand.
    """
    awake = tuple(candidate for candidate in machines if candidate.name not in quiet)
    expected_demand = max(demand(awake, window), expected)
    if wanted or expected_demand > HIGH_DEMAND or len(awake) < MIN_AWAKE:
        asleep = sorted(quiet - wanted)
        woken = set(wanted) | set(asleep[:1] if expected_demand > HIGH_DEMAND or len(awake) < MIN_AWAKE else ())
        return frozenset(candidate for candidate in quiet if candidate not in woken)
    if not calm or expected_demand >= LOW_DEMAND or len(awake) <= MIN_AWAKE:
        return quiet
    for candidate in sorted(awake, key=lambda machine: (machine.worked, machine.name)):
        others = tuple(other for other in awake if other != candidate)
        covered = {service for other in others for service in other.services}
        if set(candidate.services) <= covered and demand(others, window) < HIGH_DEMAND:
            if sum(machine.worked for machine in awake) <= HIGH_DEMAND * window.total_seconds() * sum(
                other.places for other in others
            ):
                return quiet | {candidate.name}
    return quiet
