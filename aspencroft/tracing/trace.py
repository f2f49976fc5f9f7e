"""What a request leaves behind: why it went where it went."""

import collections
import dataclasses
import datetime

from aspencroft.transport import codec

MOST = 4096


@codec.kind(150)
@dataclasses.dataclass(frozen=True)
class Line:
    """One thing that happened to a request, by the node's clock since the request came."""

    after: datetime.timedelta
    what: str
    detail: str


@codec.kind(151)
@dataclasses.dataclass(frozen=True)
class Trace:
    """A request's lines."""

    request: str
    node: str
    lane: str
    lines: tuple[Line, ...]


@codec.kind(152)
@dataclasses.dataclass(frozen=True)
class TraceRequest:
    """Ask a node for what it knows of a request."""

    request: str


@codec.kind(153)
@dataclasses.dataclass(frozen=True)
class Told:
    """What a node knows of a request: its own trace, and what another edge gave it to keep."""

    traces: tuple[Trace, ...]


def joined(traces: list[Trace]) -> list[Trace]:
    """One trace for each node that told one: the longest."""
    best: dict[str, Trace] = {}
    for one in traces:
        if one.node not in best or len(one.lines) > len(best[one.node].lines):
            best[one.node] = one
    return [best[node] for node in sorted(best)]


class Traces:
    """The newest stories of this node, and those that another edge gave it to keep, in memory."""

    def __init__(self, node: str):
        self.node = node
        self.held: collections.OrderedDict[str, Trace] = collections.OrderedDict()
        self.given: collections.OrderedDict[str, Trace] = collections.OrderedDict()

    def keep(self, one: Trace) -> None:
        """Keep another edge's trace, for when that edge is gone."""
        self.given.pop(one.request, None)
        self.given[one.request] = one
        while len(self.given) > MOST:
            self.given.popitem(last=False)

    def told(self, request: str) -> tuple[Trace, ...]:
        """All that is known here of a request."""
        return tuple(known[request] for known in (self.held, self.given) if request in known)

    def add(self, request: str, lane: str, after: datetime.timedelta, what: str, detail: str = "") -> None:
        """Add a line to a request's trace; the oldest stories go."""
        known = self.held.pop(request, None) or Trace(request, self.node, lane, ())
        if len(known.lines) < 64:
            known = dataclasses.replace(known, lines=known.lines + (Line(after, what, detail[:2000]),))
        self.held[request] = known
        while len(self.held) > MOST:
            self.held.popitem(last=False)


def document(story: Trace) -> dict:
    """A trace as JSON."""
    return {
        "request": story.request,
        "node": story.node,
        "lane": story.lane,
        "lines": [{"after": one.after.total_seconds(), "what": one.what, "detail": one.detail} for one in story.lines],
    }
