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


def test_without_its_data_a_stream_is_counted_and_next_to_nothing_is_held():
    """Guards against a worker that answers without end and fills the memory of the edge."""
    reader = events.Reader(keeps_data=False)
    reader.feed(b"id: 1\ndata: a\ndata: b\n\nid: 2\n\n")
    for _ in range(100):
        reader.feed(b"x" * 10_000)
    assert reader.held_bytes() <= events.COUNTED_LINE_BYTES
    reader.feed(b"\n\ndata: " + b"y" * 10_000)
    reader.feed(b"y" * 10_000 + b"\n\n")
    assert reader.count == 2 and reader.output() == b"" and reader.held_bytes() == 0


def test_held_bytes_are_those_of_the_data_and_of_the_unfinished_line():
    reader = events.Reader()
    reader.feed(b"data: abc\n\ndata: de")
    assert reader.held_bytes() == len(b" abc") + 1 + len(b"data: de")
