"""A cache of turns that an edge saw recently, so that session groups need not send them again; turns are immutable."""

import collections

from aspencroft.sessions import entry

MAX_BYTES = 24 << 20


class TurnCache:
    """A bounded LRU cache of turns by attempt id."""

    def __init__(self, max_bytes: int = MAX_BYTES):
        self.max_bytes = max_bytes
        self.turns: collections.OrderedDict[str, entry.Turn] = collections.OrderedDict()
        self.size = 0

    def add(self, turns: tuple[entry.Turn, ...]) -> None:
        """Add turns; the least recently used ones are evicted, also of those just added if they are too many."""
        for turn in turns:
            if turn.attempt in self.turns:
                self.turns.move_to_end(turn.attempt)
                continue
            self.turns[turn.attempt] = turn
            self.size += len(turn.input) + len(turn.output)
        while self.size > self.max_bytes:
            _, evicted = self.turns.popitem(last=False)
            self.size -= len(evicted.input) + len(evicted.output)

    def history(self, attempt: str) -> list[entry.Turn] | None:
        """Return a turn and its predecessors, the oldest first; none if one of them is not cached."""
        history: list[entry.Turn] = []
        while attempt:
            turn = self.turns.get(attempt)
            if turn is None:
                return None
            history.append(turn)
            attempt = turn.previous
        history.reverse()
        for turn in history:
            self.turns.move_to_end(turn.attempt)
        return history


def size_of(history: list[entry.Turn]) -> int:
    """Return the bytes of the inputs and outputs of turns."""
    return sum(len(turn.input) + len(turn.output) for turn in history)


def parts_of(history: list[entry.Turn]) -> list[bytes]:
    """Return the inputs and outputs of turns, in order."""
    return [part for turn in history for part in (turn.input, turn.output)]
