"""Turns that an edge lately saw, so that their history need not be sent to it again; they never change."""

import collections

from aspencroft.sessions import entry

MOST_BYTES = 24 << 20


class TurnCache:
    """A bounded memory of turns by the id of their attempt; the longest unused go first."""

    def __init__(self, most: int = MOST_BYTES):
        self.most = most
        self.turns: collections.OrderedDict[str, entry.Turn] = collections.OrderedDict()
        self.size = 0

    def keep(self, turns: tuple[entry.Turn, ...]) -> None:
        """Take turns in."""
        for one in turns:
            if one.attempt in self.turns:
                self.turns.move_to_end(one.attempt)
                continue
            self.turns[one.attempt] = one
            self.size += len(one.input) + len(one.output)
        while self.size > self.most and len(self.turns) > len(turns):
            _, gone = self.turns.popitem(last=False)
            self.size -= len(gone.input) + len(gone.output)

    def line(self, attempt: str) -> list[entry.Turn] | None:
        """A turn and those before it, the oldest first; none when one of them is not here."""
        found: list[entry.Turn] = []
        while attempt:
            one = self.turns.get(attempt)
            if one is None:
                return None
            found.append(one)
            attempt = one.previous
        found.reverse()
        return found

    def holds(self, attempt: str) -> bool:
        """Whether a turn's whole chain is here."""
        return self.line(attempt) is not None

    def bytes_of(self, attempt: str) -> bytes | None:
        """The inputs and outputs of a turn's whole chain; none when a turn of it is not here."""
        found = self.line(attempt)
        if found is None:
            return None
        for one in found:
            self.turns.move_to_end(one.attempt)
        return b"".join(one.input + one.output for one in found)
