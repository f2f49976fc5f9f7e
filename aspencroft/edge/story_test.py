"""Tests of ``aspencroft.edge.story``."""

import datetime

import aspencroft.edge.story as story


def test_stories_are_bounded():
    stories = story.Stories("n:1")
    for number in range(story.MOST + 10):
        stories.add(f"r{number}", "chat", datetime.timedelta(), "accepted")
    assert len(stories.held) == story.MOST and "r0" not in stories.held
