"""Request traces, which show how and why a request was routed as it was."""

import collections
import dataclasses
import datetime

from aspencroft.transport import codec

MAX_TRACES = 4096


@codec.kind(150)
@dataclasses.dataclass(frozen=True)
class Line:
    """One event of a request, with the time since its arrival by the node's clock."""

    after: datetime.timedelta
    what: str
    detail: str


@codec.kind(151)
@dataclasses.dataclass(frozen=True)
class Trace:
    """The events of a request at one node."""

    request: str
    node: str
    lane: str
    lines: tuple[Line, ...]


@codec.kind(152)
@dataclasses.dataclass(frozen=True)
class TraceRequest:
    """Query: ask a node for the traces of a request."""

    request: str


@codec.kind(153)
@dataclasses.dataclass(frozen=True)
class Told:
    """Reply: a node's own trace of a request and the copy that it keeps for another edge."""

    traces: tuple[Trace, ...]


def longest_by_node(traces: list[Trace]) -> list[Trace]:
    """Return one trace for each node, the longest that was received."""
    longest: dict[str, Trace] = {}
    for trace in traces:
        if trace.node not in longest or len(trace.lines) > len(longest[trace.node].lines):
            longest[trace.node] = trace
    return [longest[node] for node in sorted(longest)]


class Traces:
    """The newest traces of this node and the copies that it keeps for other edges, in memory."""

    def __init__(self, node: str):
        self.node = node
        self.held: collections.OrderedDict[str, Trace] = collections.OrderedDict()
        self.given: collections.OrderedDict[str, Trace] = collections.OrderedDict()

    def keep(self, trace: Trace) -> None:
        """Store a copy of another edge's trace, for use after that edge has failed."""
        self.given.pop(trace.request, None)
        self.given[trace.request] = trace
        while len(self.given) > MAX_TRACES:
            self.given.popitem(last=False)

    def find(self, request: str) -> tuple[Trace, ...]:
        """Return the traces of a request that are stored here."""
        return tuple(known[request] for known in (self.held, self.given) if request in known)

    def add(self, request: str, lane: str, after: datetime.timedelta, what: str, detail: str = "") -> None:
        """Add an event to a request's trace and evict the oldest traces."""
        trace = self.held.pop(request, None) or Trace(request, self.node, lane, ())
        if len(trace.lines) < 64:
            trace = dataclasses.replace(trace, lines=trace.lines + (Line(after, what, detail[:2000]),))
        self.held[request] = trace
        while len(self.held) > MAX_TRACES:
            self.held.popitem(last=False)


def document(trace: Trace) -> dict:
    """Return a trace as a JSON object."""
    return {
        "request": trace.request,
        "node": trace.node,
        "lane": trace.lane,
        "lines": [
            {"after": line.after.total_seconds(), "what": line.what, "detail": line.detail} for line in trace.lines
        ],
    }
