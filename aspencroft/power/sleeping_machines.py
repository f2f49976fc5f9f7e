"""The quiet list: which machines may sleep while the traffic allows it."""

import dataclasses
import datetime

from aspencroft.runtime import clock

LOW, HIGH = 0.25, 0.6
LEAST_AWAKE = 2
CALM = clock.seconds(8)


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine that could sleep: its services, places, and the seconds it worked in the window."""

    name: str
    services: tuple[str, ...]
    places: int
    worked: float


def demand(machines: tuple[Machine, ...], window: datetime.timedelta) -> float:
    """The share of the machines' places that was used in the window."""
    places = sum(one.places for one in machines)
    return sum(one.worked for one in machines) / (places * window.total_seconds()) if places else 1.0


def forecast(demands: tuple[float, ...], step: datetime.timedelta, wake_time: datetime.timedelta) -> float:
    """The demand expected once a machine that is woken now could serve: the last trend goes on.

    A falling demand is not trusted: the newest one is the least that is expected.
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
    """The quiet list one step on: at most one machine more, or as many fewer as the demand asks for.

    Every service keeps a machine awake, and at least two stay awake in all. ``expected`` is the forecast.
    """
    awake = tuple(one for one in machines if one.name not in quiet)
    needed = max(demand(awake, window), expected)
    if wanted or needed > HIGH or len(awake) < LEAST_AWAKE:
        asleep = sorted(quiet - wanted)
        woken = set(wanted) | set(asleep[:1] if needed > HIGH or len(awake) < LEAST_AWAKE else ())
        return frozenset(one for one in quiet if one not in woken)
    if not calm or needed >= LOW or len(awake) <= LEAST_AWAKE:
        return quiet
    for one in sorted(awake, key=lambda machine: (machine.worked, machine.name)):
        rest = tuple(other for other in awake if other != one)
        covered = {service for other in rest for service in other.services}
        if set(one.services) <= covered and demand(rest, window) < HIGH:
            if sum(one.worked for one in awake) <= HIGH * window.total_seconds() * sum(m.places for m in rest):
                return quiet | {one.name}
    return quiet
