"""What a request leaves behind: why it went where it went."""

import collections
import dataclasses
import datetime

import aspencroft.link.record as record

MOST = 4096


@record.kind(150)
@dataclasses.dataclass(frozen=True)
class Line:
    """One thing that happened to a request, by the node's clock since the request came."""

    after: datetime.timedelta
    what: str
    detail: str


@record.kind(151)
@dataclasses.dataclass(frozen=True)
class Story:
    """A request's lines.

    Example: ``story.lines[-1].what == "answered"``
    """

    request: str
    node: str
    lane: str
    lines: tuple[Line, ...]


@record.kind(152)
@dataclasses.dataclass(frozen=True)
class TellStory:
    """Ask a node for what it knows of a request."""

    request: str


class Stories:
    """The newest stories of this node, in memory.

    Example: ``stories.add("id", "chat", span, "drawn", "m1")``
    """

    def __init__(self, node: str):
        self.node = node
        self.held: collections.OrderedDict[str, Story] = collections.OrderedDict()

    def add(self, request: str, lane: str, after: datetime.timedelta, what: str, detail: str = "") -> None:
        """Add a line to a request's story; the oldest stories go.

        Example: ``stories.add("id", "chat", span, "accepted")``
        """
        known = self.held.pop(request, None) or Story(request, self.node, lane, ())
        if len(known.lines) < 64:
            known = dataclasses.replace(known, lines=known.lines + (Line(after, what, detail[:2000]),))
        self.held[request] = known
        while len(self.held) > MOST:
            self.held.popitem(last=False)


def document(story: Story) -> dict:
    """A story as JSON.

    Example: ``document(story)["lines"][0]["what"]``
    """
    return {"request": story.request, "node": story.node, "lane": story.lane,
            "lines": [{"after": one.after.total_seconds(), "what": one.what, "detail": one.detail}
                      for one in story.lines]}


def test_stories_are_bounded():
    stories = Stories("n:1")
    for number in range(MOST + 10):
        stories.add(f"r{number}", "chat", datetime.timedelta(), "accepted")
    assert len(stories.held) == MOST and "r0" not in stories.held
