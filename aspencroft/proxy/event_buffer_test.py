"""Tests of ``aspencroft.proxy.event_buffer``."""

import hypothesis
import hypothesis.strategies
import pytest

from aspencroft.errors import result
from aspencroft.proxy import event_buffer, events


def event(number: int, end: bytes = b"\n", first: bytes = b"") -> bytes:
    return first + b"id: %d" % number + end + b"data: words %d" % number + end + end


def split(stream: bytes, positions: list[int]) -> list[bytes]:
    edges = sorted({min(position, len(stream)) for position in positions})
    return [stream[start:end] for start, end in zip([0, *edges], [*edges, len(stream)], strict=True)]


POSITIONS = hypothesis.strategies.lists(hypothesis.strategies.integers(0, 200), max_size=12)
LINE_ENDS = hypothesis.strategies.sampled_from([b"\n", b"\r\n", b"\r"])


@hypothesis.settings(deadline=None, derandomize=True, database=None)
@hypothesis.given(
    POSITIONS, POSITIONS, LINE_ENDS, hypothesis.strategies.integers(0, 120), hypothesis.strategies.integers(0, 3)
)
def test_a_stream_broken_anywhere_and_resumed_anywhere_has_each_event_once(before, after, end, broken_at, overlap):
    stream = b"".join(event(number, end) for number in range(1, 7))
    buffer, passed = event_buffer.EventBuffer(), b""
    for chunk in split(stream[:broken_at], before):
        passed += buffer.feed(chunk)
    assert stream.startswith(passed) and buffer.can_resume()
    last = int(buffer.last_id or 0)
    buffer.start_resumed()
    for chunk in split(b"".join(event(number, end) for number in range(max(1, last + 1 - overlap), 7)), after):
        passed += buffer.feed(chunk)
    passed += buffer.rest()
    reader = events.Reader()
    reader.feed(passed)
    assert reader.data == [b"words %d" % number for number in range(1, 7)]


@hypothesis.settings(deadline=None, derandomize=True, database=None)
@hypothesis.given(hypothesis.strategies.binary(max_size=300), POSITIONS)
def test_any_bytes_pass_unchanged_unless_the_stream_is_resumed(stream, positions):
    buffer = event_buffer.EventBuffer()
    assert b"".join(buffer.feed(chunk) for chunk in split(stream, positions)) + buffer.rest() == stream


def test_repeated_ids_pass_unless_the_stream_is_resumed():
    buffer = event_buffer.EventBuffer()
    assert buffer.feed(event(5) + event(5) + event(2)) == event(5) + event(5) + event(2)


def test_a_resumed_stream_that_skips_events_is_an_error():
    buffer = event_buffer.EventBuffer()
    buffer.feed(event(1) + event(2))
    buffer.start_resumed()
    with pytest.raises(result.RequestError):
        buffer.feed(event(4))


def test_ids_that_are_not_consecutive_need_only_rise():
    buffer = event_buffer.EventBuffer()
    buffer.feed(event(10) + event(20))
    buffer.start_resumed()
    assert buffer.feed(event(20) + event(40)) == event(40)


@pytest.mark.parametrize("head", [b"data: x\n\n", b"id:\ndata: x\n\n"])
def test_a_stream_with_an_event_that_has_no_id_cannot_be_resumed(head):
    buffer = event_buffer.EventBuffer()
    assert buffer.can_resume()
    assert buffer.feed(head) == head and not buffer.can_resume()


def test_a_line_before_the_id_belongs_to_its_event():
    buffer = event_buffer.EventBuffer()
    stream = event(1, first=b"weight-versions: 7\n")
    assert buffer.feed(stream[:9]) + buffer.feed(stream[9:]) == stream and buffer.last_id == "1"


def test_the_buffer_of_an_incomplete_event_is_bounded(monkeypatch):
    monkeypatch.setattr(event_buffer, "MAX_PENDING_BYTES", 100)
    buffer = event_buffer.EventBuffer()
    assert buffer.feed(b"data: " + b"x" * 200) == b"data: " + b"x" * 200 and not buffer.can_resume()
