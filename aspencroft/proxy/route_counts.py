"""What became of calls by route: refusals and failed attempts by result, and the time that each stage took."""

import collections
import dataclasses
import datetime
import enum

from aspencroft.errors import result
from aspencroft.runtime import clock
from aspencroft.tracing import sample

MOST_ROUTES = 32
"""Routes counted by name, so that the labels stay few; those that come later are counted together."""
OTHER_ROUTES = "other"


class Stage(enum.StrEnum):
    """A part of a call's way that it may be held up in."""

    BEGIN = "begin"
    """The session group takes a turn in, or reserves a key."""
    CHOOSE = "choose"
    """A worker with room is waited for."""
    FIRST = "first"
    """From the send to the first bytes of a stream, or to the whole of a plain answer."""
    END = "end"
    """The session group takes the end of a turn in."""


@dataclasses.dataclass
class StageTime:
    """How often a stage was passed, whatever its end, and the time that it took."""

    count: int = 0
    total: datetime.timedelta = clock.ZERO
    longest: datetime.timedelta = clock.ZERO

    def add(self, span: datetime.timedelta) -> None:
        """A call left the stage after this time."""
        self.count += 1
        self.total += span
        self.longest = max(self.longest, span)

    def document(self) -> dict[str, int | float]:
        """The figures as ``/status`` shows them; times in seconds."""
        return {
            "count": self.count,
            "seconds": round(self.total.total_seconds(), 3),
            "longest": round(self.longest.total_seconds(), 3),
        }


class RouteCount:
    """The counts of one route; refusals and attempts by the number of the result."""

    def __init__(self) -> None:
        self.refused: collections.Counter[int] = collections.Counter()
        self.failed_attempts: collections.Counter[int] = collections.Counter()
        self.stages = {stage: StageTime() for stage in Stage}

    def document(self) -> dict[str, dict]:
        """The counts as ``/status`` shows them; stages that no call has left are omitted."""
        return {
            "refused": by_number(self.refused),
            "failed attempts": by_number(self.failed_attempts),
            "stages": {str(stage): each.document() for stage, each in self.stages.items() if each.count},
        }


class RouteCounts:
    """The counts of an edge's routes, by name; at most ``most`` of them."""

    def __init__(self, most: int = MOST_ROUTES) -> None:
        self.most = most
        self.routes: dict[str, RouteCount] = {}

    def of(self, route: str) -> RouteCount:
        """A route's counts; those of all others together once there are as many as may be."""
        if route not in self.routes and len(self.routes) >= self.most:
            route = OTHER_ROUTES
        return self.routes.setdefault(route, RouteCount())

    def note_refused(self, route: str, refusal: result.RequestError) -> None:
        """A call was admitted and then refused."""
        self.of(route).refused[refusal.result.number] += 1

    def note_failed_attempt(self, route: str, refusal: result.RequestError) -> None:
        """An attempt at a worker failed; another may follow."""
        self.of(route).failed_attempts[refusal.result.number] += 1

    def note_stage(self, route: str, stage: Stage, began: datetime.timedelta) -> None:
        """A call left a stage that it came to at a time of the loop's clock."""
        self.of(route).stages[stage].add(clock.now() - began)

    def samples(self) -> list[sample.Sample]:
        """The counts as metrics."""
        found = []
        for route, counts in self.routes.items():
            found += [
                sample.sample("aspencroft_route_refused_total", count, route=route, result=str(number))
                for number, count in sorted(counts.refused.items())
            ]
            found += [
                sample.sample("aspencroft_route_failed_attempts_total", count, route=route, result=str(number))
                for number, count in sorted(counts.failed_attempts.items())
            ]
            for stage, each in counts.stages.items():
                if each.count:
                    seconds = each.total.total_seconds()
                    found.append(sample.sample("aspencroft_route_stage_total", each.count, route=route, stage=stage))
                    found.append(
                        sample.sample("aspencroft_route_stage_seconds_total", seconds, route=route, stage=stage)
                    )
        return found

    def document(self) -> dict[str, dict]:
        """The counts by route, as ``/status`` shows them."""
        return {name: counts.document() for name, counts in self.routes.items()}


def by_number(counts: collections.Counter[int]) -> dict[str, int]:
    """Counts by the number of a result, in order, with keys as JSON has them."""
    return {str(number): count for number, count in sorted(counts.items())}
