"""Tests of ``aspencroft.runtime.node_log`` and ``aspencroft.runtime.events``."""

import asyncio
import io

import logbook
import pytest

from aspencroft.runtime import events, node_log

LOG = logbook.Logger("test")
FIELDS = events.EventFields(events.Event.TAKEOVER_REFUSED, 3, 7, member="n:1", reason="no majority")


class Time:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def written():
    """A stream, the clock and the log that writes to it."""
    stream, time = io.StringIO(), Time()
    log = node_log.NodeLog(logbook.StreamHandler(stream), time)
    with log.applicationbound():
        yield stream, time, log


def lines(stream) -> list[str]:
    return stream.getvalue().splitlines()


def test_an_event_is_written_at_once_with_its_fields_and_lower_levels_wait(written):
    stream, _, _ = written
    LOG.info("kept")
    LOG.debug("kept too")
    assert lines(stream) == []
    events.report(LOG, FIELDS, "group {}: takeover refused", 3)
    (line,) = lines(stream)
    assert line.endswith(
        "NOTICE: test: group 3: takeover refused | "
        'event=takeover_refused group=3 epoch=7 member="n:1" reason="no majority"'
    )


def test_a_cause_that_comes_again_is_written_once_with_a_count(written):
    stream, time, log = written
    for number in range(40):
        fields = events.EventFields(events.Event.TAKEOVER_REFUSED, 3, number, member="n:1", reason="no majority")
        events.report(LOG, fields, "refused in epoch {}", number)
        time.now += 0.2
    assert len(lines(stream)) == 1
    time.now += node_log.REPEAT_WINDOW_S
    log.on_timer()
    assert len(lines(stream)) == 2
    assert (
        "39 more within 10 s, the last one: refused in epoch 39 | event=takeover_refused group=3 epoch=39"
        in lines(stream)[1]
    )
    time.now += node_log.REPEAT_WINDOW_S
    log.on_timer()
    assert len(lines(stream)) == 2 and not log.repetitions


def test_other_causes_are_not_counted_as_repetitions(written):
    stream, _, _ = written
    for member in ("n:1", "n:2"):
        for reason in ("a", "b"):
            for group in (1, 2):
                fields = events.EventFields(events.Event.ROLE_CHANGED, group, member=member, reason=reason)
                events.report(LOG, fields, "changed")
    assert len(lines(stream)) == 8


def test_counts_are_written_by_a_timer_though_no_other_line_comes(monkeypatch):
    monkeypatch.setattr(node_log, "REPEAT_WINDOW_S", 0.05)
    stream = io.StringIO()

    async def flap():
        for _ in range(5):
            LOG.warning("the disk failed")
        await asyncio.sleep(0.12)

    with node_log.NodeLog(logbook.StreamHandler(stream)).applicationbound():
        asyncio.run(flap())
    assert len(lines(stream)) == 2 and "4 more within" in lines(stream)[1]


def test_a_warning_and_a_request_write_the_kept_lines_out_once(written):
    stream, _, log = written
    LOG.info("before {}", "the warning")
    LOG.warning("something")
    assert [line.partition("test: ")[2] for line in lines(stream)] == ["before the warning", "something"]
    LOG.info("later")
    assert [line.partition("test: ")[2] for line in log.write_kept()] == ["later"]
    assert log.write_kept() == [] and lines(stream)[-1].endswith("later")


def test_the_end_of_the_process_writes_the_counts(written):
    stream, _, log = written
    for _ in range(3):
        events.report(LOG, FIELDS, "refused")
    log.close()
    assert "2 more" in lines(stream)[-1]


def test_kept_lines_and_causes_are_bounded(written):
    _, _, log = written
    for number in range(node_log.KEPT_LINES + 5):
        LOG.info("line {}", number)
    assert len(log.kept) == node_log.KEPT_LINES
    for number in range(node_log.MOST_CAUSES + 5):
        LOG.warning("cause {}", number)
    assert len(log.repetitions) <= node_log.MOST_CAUSES


def test_values_of_any_kind_never_break_a_line(written):
    stream, _, _ = written
    fields = events.EventFields(events.Event.ORDER_REFUSED, member='a "name"\n', reason="{} %s \x00 \udcff")
    events.report(LOG, fields, "refused: {}", '{"a": 1}\n')
    assert "order_refused" in stream.getvalue() and r"\n" in stream.getvalue()
