"""The shared parts of prompts that are in use, and how many copies of each the memory of the workers can hold."""

import collections
import datetime
import math

from aspencroft.runtime import clock

IN_USE = clock.seconds(60)
MOST_PARTS = 4096
MEMORY_SHARE = 0.5


class WorkingSet:
    """The shared parts of the prompts that one edge lately sent to a service, with their sizes in tokens.

    Example: ``working_set.saw((("5c1e", 800), ("own", 40)))``, then ``working_set.tokens == 800``
    """

    def __init__(self):
        self.parts: collections.OrderedDict[str, tuple[int, datetime.timedelta]] = collections.OrderedDict()
        self.tokens = 0

    def saw(self, parts: tuple[tuple[str, int], ...]) -> None:
        """Take in the parts (name, tokens) of a prompt; the last is the request's own and isn't shared.

        Example: ``working_set.saw(call.parts)``
        """
        now = clock.now()
        for name, tokens in parts[:-1]:
            self.forget(name)
            self.parts[name] = (tokens, now)
            self.tokens += tokens
        while self.parts and self.outdated(now):
            self.forget(next(iter(self.parts)))

    def outdated(self, now: datetime.timedelta) -> bool:
        """Whether the part longest unused is to be forgotten.

        Example: ``working_set.outdated(clock.now())``
        """
        _, seen_at = next(iter(self.parts.values()))
        return len(self.parts) > MOST_PARTS or now - seen_at > IN_USE

    def forget(self, name: str) -> None:
        """Drop a part, if it is here.

        Example: ``working_set.forget("5c1e")``
        """
        tokens, _ = self.parts.pop(name, (0, None))
        self.tokens -= tokens

    def copies(self, workers: int, memory_tokens: int) -> int:
        """How many workers may hold each part: as many as a share of all memory has room for; at least one.

        ``memory_tokens`` is one worker's KV memory in tokens, 0 when it isn't known.

        Example: ``working_set.copies(workers=28, memory_tokens=452_141)``
        """
        if not self.tokens:
            return 1
        room = MEMORY_SHARE * workers * memory_tokens
        return max(1, min(workers, math.floor(room / self.tokens)))
