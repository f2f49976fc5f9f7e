"""The shared parts of prompts that are in use, and how many copies of each the memory of the workers can hold."""

import collections
import dataclasses
import datetime
import math

from aspencroft.runtime import clock

IN_USE = clock.seconds(60)
MOST_PARTS = 4096
MOST_PROGRAMS = 8
MOST_SERVICES = 256
MEMORY_SHARE = 0.5
OWN_GAIN = 0.02


@dataclasses.dataclass
class Part:
    """A part of prompts: its size in tokens, when it was seen last, and the first programs that used it."""

    tokens: int
    seen_at: datetime.timedelta
    programs: set[str]

    def shared(self) -> bool:
        """Whether several programs use it."""
        return len(self.programs) > 1


class WorkingSet:
    """The parts of the prompts that one edge lately sent to a service; those that several programs use are shared.

    ``tokens`` is the size of all, ``uses`` counts programs by part (at most ``MOST_PROGRAMS`` for each),
    ``single`` the parts that one program uses; ``own_tokens`` is the mean size of what belongs to one request.
    """

    def __init__(self):
        self.parts: collections.OrderedDict[str, Part] = collections.OrderedDict()
        self.tokens = 0
        self.uses = 0
        self.single = 0
        self.prompts = 0
        self.own_tokens = 0.0

    def saw(self, parts: tuple[tuple[str, int], ...], program: str) -> None:
        """Take in the parts (name, tokens) of a program's prompt; the last is the request's own and isn't shared."""
        now = clock.now()
        self.prompts += 1
        self.own_tokens += max(OWN_GAIN, 1 / self.prompts) * (parts[-1][1] - self.own_tokens)
        for name, tokens in parts[:-1]:
            before = self.forget(name)
            programs = before.programs if before is not None else set()
            if len(programs) < MOST_PROGRAMS:
                programs.add(program)
            self.keep(name, Part(tokens, now, programs))
        while self.parts and self.outdated(now):
            self.forget(next(iter(self.parts)))

    def keep(self, name: str, part: Part) -> None:
        """Count a part as the one used last."""
        self.parts[name] = part
        self.count(part, 1)

    def count(self, part: Part, sign: int) -> None:
        """Add a part to the sums, or take it out."""
        self.tokens += sign * part.tokens
        self.uses += sign * len(part.programs)
        self.single += sign * (not part.shared())

    def all_tokens(self) -> float:
        """The size of all parts in use, those too that this edge has not met yet.

        What share of the uses belongs to parts that are known is estimated by how many parts were met in one program
        only (I. J. Good, "The population frequencies of species", 1953); infinite while nothing was met twice.
        """
        known = 1.0 - self.single / self.uses if self.uses else 0.0
        return self.tokens / known if known > 0.0 else math.inf

    def home_parts(self, parts: tuple[tuple[str, int], ...], program: str) -> tuple[tuple[str, int], ...]:
        """The parts of a program's prompt from the one on by which it finds its homes, which counts as seen.

        That is the last shared part, or else the first part. Who holds it holds those before it too, and what all
        prompts begin with would send them all to the same homes.
        """
        if len(parts) < 2:
            return parts
        self.saw(parts, program)
        for place in range(len(parts) - 2, 0, -1):
            part = self.parts.get(parts[place][0])
            if part is not None and part.shared():
                return parts[place:]
        return parts

    def outdated(self, now: datetime.timedelta) -> bool:
        """Whether the part longest unused is to be forgotten."""
        oldest = next(iter(self.parts.values()))
        return len(self.parts) > MOST_PARTS or now - oldest.seen_at > IN_USE

    def forget(self, name: str) -> Part | None:
        """Drop a part; what was known of it, if it was here."""
        part = self.parts.pop(name, None)
        if part is not None:
            self.count(part, -1)
        return part

    def copies(self, workers: int, memory_tokens: int, slots: int) -> int:
        """How many workers may hold each shared part: as many as there is room for beside what must stay; at least one.

        ``memory_tokens`` is one worker's KV memory in tokens, 0 when it isn't known. What requests in all ``slots``
        hold of their own is never given away; a share of the rest is for sessions between their turns.
        """
        room = MEMORY_SHARE * max(0.0, memory_tokens - slots * self.own_tokens)
        all_tokens = self.all_tokens()
        return max(1, min(workers, math.floor(workers * room / all_tokens))) if all_tokens else 1


class WorkingSets:
    """The working sets of all services that an edge sends prompts to; those longest unused are forgotten first."""

    def __init__(self, most: int = MOST_SERVICES):
        self.most = most
        self.services: collections.OrderedDict[str, WorkingSet] = collections.OrderedDict()

    def of(self, service: str) -> WorkingSet:
        """One service's working set."""
        found = self.services.pop(service, None) or WorkingSet()
        self.services[service] = found
        while len(self.services) > self.most:
            self.services.popitem(last=False)
        return found
