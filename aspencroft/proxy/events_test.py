"""Tests of the parser for server-sent events."""

import random

from aspencroft.proxy import events


def test_events_are_the_same_however_the_stream_is_cut():
    for seed in range(300):
        random_source = random.Random(seed)
        end = random_source.choice([b"\n", b"\r\n"])
        data = [
            bytes(random_source.choices(b"ab: \xff", k=random_source.randrange(9)))
            for _ in range(random_source.randrange(6))
        ]
        stream = b"".join(b"id: %d" % number + end + b"data: " + one + end + end for number, one in enumerate(data))
        reader, position = events.Reader(), 0
        while position < len(stream):
            step = random_source.randrange(1, 9)
            reader.feed(stream[position : position + step])
            position += step
        assert reader.count == len(data)
        assert reader.output() == b"".join(one + b"\n" for one in data)


def test_comments_and_an_unfinished_event_do_not_count():
    reader = events.Reader()
    reader.feed(b": hello\n\nid: 1\ndata: a\ndata: b\n\nid: 2\ndata: c\n")
    assert reader.count == 1 and reader.output() == b"a\nb\n"
