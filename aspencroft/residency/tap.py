"""The intent tap: reads a planner's token stream beside its way to the caller."""

import dataclasses
import re

HEADER = re.compile(r'<call(?:s)? models?="([A-Za-z0-9._,\- ]{1,512})"')
OPENING = "<call"
LONGEST = 560


@dataclasses.dataclass(frozen=True)
class Intent:
    """What a tool-call header names: one model for certain, or a fan-out's candidate set."""

    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Tap:
    """The end of the stream that may still become a header."""

    rest: str = ""

    def feed(self, text: str) -> tuple["Tap", tuple[Intent, ...]]:
        """Take a piece of the stream; headers are found across the borders of pieces.

        Example: ``Tap('<call model="co').feed('der">')[1] == (Intent(("coder",)),)``
        """
        held = self.rest + text
        found, place = [], 0
        for match in HEADER.finditer(held):
            names = tuple(dict.fromkeys(name.strip() for name in match.group(1).split(",") if name.strip()))
            if names:
                found.append(Intent(names))
            place = match.end()
        return Tap(tail(held[place:])), tuple(found)


def tail(text: str) -> str:
    """The end of a text that may be the start of a header.

    Example: ``tail("abc <cal") == "<cal"``
    """
    place = text.rfind(OPENING)
    if place >= 0 and len(text) - place <= LONGEST:
        return text[place:]
    for length in range(min(len(OPENING) - 1, len(text)), 0, -1):
        if text.endswith(OPENING[:length]):
            return text[-length:]
    return ""
