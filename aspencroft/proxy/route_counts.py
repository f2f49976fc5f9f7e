"""Counts of calls by route: rejected calls and failed attempts by result, and the time spent in each stage."""

import collections
import dataclasses
import datetime
import enum

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.tracing import sample

MAX_ROUTES = 32
"""Most routes counted by name, to bound the number of metric labels; later ones are counted together."""
OTHER_ROUTES = "other"


class Stage(enum.StrEnum):
    """A stage of a call in which it may be delayed."""

    BEGIN = "begin"
    """The session group begins a turn or reserves a key."""
    CHOOSE = "choose"
    """The call waits for a worker with a free slot."""
    FIRST = "first"
    """From sending the request to the first bytes of a stream, or to the end of any other response."""
    END = "end"
    """The session group ends a turn."""


@dataclasses.dataclass
class StageTime:
    """How often calls left a stage, with whatever outcome, and the time that they spent in it."""

    count: int = 0
    total: datetime.timedelta = clock.ZERO
    longest: datetime.timedelta = clock.ZERO

    def add(self, span: datetime.timedelta) -> None:
        """Record that a call left the stage after this time."""
        self.count += 1
        self.total += span
        self.longest = max(self.longest, span)

    def document(self) -> dict[str, int | float]:
        """Return the values as shown by ``/status``; times in seconds."""
        return {
            "count": self.count,
            "seconds": round(self.total.total_seconds(), 3),
            "longest": round(self.longest.total_seconds(), 3),
        }


class RouteCount:
    """The counts of one route; rejected calls and failed attempts by result number."""

    def __init__(self) -> None:
        self.refused: collections.Counter[int] = collections.Counter()
        self.failed_attempts: collections.Counter[int] = collections.Counter()
        self.stages = {stage: StageTime() for stage in Stage}

    def document(self) -> dict[str, dict]:
        """Return the counts as shown by ``/status``; stages that no call has left are omitted."""
        return {
            "refused": by_number(self.refused),
            "failed attempts": by_number(self.failed_attempts),
            "stages": {str(stage): spent.document() for stage, spent in self.stages.items() if spent.count},
        }


class RouteCounts:
    """The counts of an edge's routes by name, for at most ``max_routes`` routes."""

    def __init__(self, max_routes: int = MAX_ROUTES) -> None:
        self.max_routes = max_routes
        self.routes: dict[str, RouteCount] = {}

    def of(self, route: str) -> RouteCount:
        """The counts of a route; routes beyond the maximum share one entry."""
        if route not in self.routes and len(self.routes) >= self.max_routes:
            route = OTHER_ROUTES
        return self.routes.setdefault(route, RouteCount())

    def record_refused(self, route: str, error: result.RequestError) -> None:
        """Count a call that was admitted and then rejected."""
        self.of(route).refused[error.result.number] += 1

    def record_failed_attempt(self, route: str, error: result.RequestError) -> None:
        """Count a failed attempt at a worker; another attempt may follow."""
        self.of(route).failed_attempts[error.result.number] += 1

    def record_stage(self, route: str, stage: Stage, began: datetime.timedelta) -> None:
        """Record that a call left a stage; ``began`` is when it entered, on the clock of the event loop."""
        self.of(route).stages[stage].add(clock.now() - began)

    def samples(self) -> list[sample.Sample]:
        """Return the counts as metrics."""
        metrics = []
        for route, counts in self.routes.items():
            metrics += [
                sample.sample("aspencroft_route_refused_total", count, route=route, result=str(number))
                for number, count in sorted(counts.refused.items())
            ]
            metrics += [
                sample.sample("aspencroft_route_failed_attempts_total", count, route=route, result=str(number))
                for number, count in sorted(counts.failed_attempts.items())
            ]
            for stage, stage_time in counts.stages.items():
                if stage_time.count:
                    seconds = stage_time.total.total_seconds()
                    metrics.append(
                        sample.sample("aspencroft_route_stage_total", stage_time.count, route=route, stage=stage)
                    )
                    metrics.append(
                        sample.sample("aspencroft_route_stage_seconds_total", seconds, route=route, stage=stage)
                    )
        return metrics

    def document(self) -> dict[str, dict]:
        """Return the counts by route, as shown by ``/status``."""
        return {name: counts.document() for name, counts in self.routes.items()}


def by_number(counts: collections.Counter[int]) -> dict[str, int]:
    """Sort counts by result number and make the keys strings for JSON."""
    return {str(number): count for number, count in sorted(counts.items())}
