"""Tracks the shared prompt segments in use, and how many copies of each fit into the memory of the workers."""

import collections
import dataclasses
import datetime
import math

from aspencroft.runtime import clock

SEGMENT_TIMEOUT = clock.seconds(60)
MAX_SEGMENTS = 4096
MAX_PROGRAMS = 8
MAX_SERVICES = 256
MEMORY_SHARE = 0.5
OWN_GAIN = 0.02


@dataclasses.dataclass
class Segment:
    """A prompt segment: its size in tokens, when it was last used, and the first programs that used it."""

    tokens: int
    seen_at: datetime.timedelta
    programs: set[str]

    def shared(self) -> bool:
        """Whether more than one program uses the segment."""
        return len(self.programs) > 1


class WorkingSet:
    """The prompt segments that one edge recently sent to a service; those that several programs use are shared.

    ``tokens`` is the size of all segments, ``uses`` the sum of programs over the segments (at most ``MAX_PROGRAMS``
    each), ``unshared`` the number of segments with one program, ``own_tokens`` the mean size of the segment that
    belongs to a single request.
    """

    def __init__(self):
        self.segments: collections.OrderedDict[str, Segment] = collections.OrderedDict()
        self.tokens = 0
        self.uses = 0
        self.unshared = 0
        self.prompts = 0
        self.own_tokens = 0.0

    def record_prompt(self, segments: tuple[tuple[str, int], ...], program: str) -> None:
        """Record the segments (name, tokens) of a program's prompt; the last is the request's own and never shared."""
        now = clock.now()
        self.prompts += 1
        self.own_tokens += max(OWN_GAIN, 1 / self.prompts) * (segments[-1][1] - self.own_tokens)
        for name, tokens in segments[:-1]:
            previous = self.remove(name)
            programs = previous.programs if previous is not None else set()
            if len(programs) < MAX_PROGRAMS:
                programs.add(program)
            self.add(name, Segment(tokens, now, programs))
        while self.segments and self.has_outdated(now):
            self.remove(next(iter(self.segments)))

    def add(self, name: str, segment: Segment) -> None:
        """Add a segment as the most recently used one."""
        self.segments[name] = segment
        self.count(segment, 1)

    def count(self, segment: Segment, sign: int) -> None:
        """Add a segment to the sums (``sign`` 1) or subtract it (-1)."""
        self.tokens += sign * segment.tokens
        self.uses += sign * len(segment.programs)
        self.unshared += sign * (not segment.shared())

    def all_tokens(self) -> float:
        """Estimate the size of all segments in use, including those that this edge has not seen yet.

        The share of uses that belongs to known segments is estimated from the number of segments seen in one program
        only (I. J. Good, "The population frequencies of species", 1953); infinite while no segment was seen twice.
        """
        known = 1.0 - self.unshared / self.uses if self.uses else 0.0
        return self.tokens / known if known > 0.0 else math.inf

    def routing_segments(self, segments: tuple[tuple[str, int], ...], program: str) -> tuple[tuple[str, int], ...]:
        """Record a program's prompt and return its segments from the one that determines its preferred workers.

        That is the last shared segment, or else the first one. A worker that holds it holds those before it too, and a
        segment that all prompts begin with would send them all to the same workers.
        """
        if len(segments) < 2:
            return segments
        self.record_prompt(segments, program)
        for position in range(len(segments) - 2, 0, -1):
            segment = self.segments.get(segments[position][0])
            if segment is not None and segment.shared():
                return segments[position:]
        return segments

    def has_outdated(self, now: datetime.timedelta) -> bool:
        """Whether the least recently used segment is to be removed."""
        oldest = next(iter(self.segments.values()))
        return len(self.segments) > MAX_SEGMENTS or now - oldest.seen_at > SEGMENT_TIMEOUT

    def remove(self, name: str) -> Segment | None:
        """Remove and return a segment; none if it is not present."""
        segment = self.segments.pop(name, None)
        if segment is not None:
            self.count(segment, -1)
        return segment

    def copies(self, workers: int, memory_tokens: int, slots: int) -> int:
        """How many workers may hold each shared segment: as many as fit beside what must stay in memory; at least one.

        ``memory_tokens`` is one worker's KV memory in tokens, 0 if not known. The tokens of running requests in all
        ``slots`` are reserved; of the rest a share is left to sessions between their turns.
        """
        available = MEMORY_SHARE * max(0.0, memory_tokens - slots * self.own_tokens)
        all_tokens = self.all_tokens()
        return max(1, min(workers, math.floor(workers * available / all_tokens))) if all_tokens else 1


class WorkingSets:
    """The working sets of the services that an edge sends prompts to; the least recently used ones are evicted."""

    def __init__(self, max_services: int = MAX_SERVICES):
        self.max_services = max_services
        self.services: collections.OrderedDict[str, WorkingSet] = collections.OrderedDict()

    def of(self, service: str) -> WorkingSet:
        """The working set of one service."""
        found = self.services.pop(service, None) or WorkingSet()
        self.services[service] = found
        while len(self.services) > self.max_services:
            self.services.popitem(last=False)
        return found
