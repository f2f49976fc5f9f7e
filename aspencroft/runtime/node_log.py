"""The log of a process: events at once, repetitions counted, lines of lower levels kept in memory.

Lines from NOTICE on are written when they come and outlive a kill of the process. A cause that comes again and again
within ``REPEAT_WINDOW_S`` is written once, then counted. Lines below NOTICE wait in memory, the last
``KEPT_LINES`` of them, until a warning comes or somebody asks for them.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import time

import logbook

from aspencroft.runtime import events

KEPT_LINES = 2000
REPEAT_WINDOW_S = 10.0
MOST_CAUSES = 1024
LINE_FORMAT = "[{record.time:%Y-%m-%d %H:%M:%S.%f}] {record.level_name}: {record.channel}: {record.message}"

Cause = collections.abc.Hashable


def fields_of(record: logbook.LogRecord) -> events.EventFields | None:
    """An event's fields, or none of a line that is no event."""
    return record.extra.get(events.EXTRA) or None


def cause_of(record: logbook.LogRecord) -> Cause:
    """What two lines have in common that are repetitions of each other."""
    fields = fields_of(record)
    return (record.channel, record.message) if fields is None else fields.cause()


class EventFormatter(logbook.StringFormatter):
    """A line of text, with the fields of an event behind it."""

    def __init__(self) -> None:
        super().__init__(LINE_FORMAT)

    def format_record(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        """The line of a record."""
        line = super().format_record(record, handler)
        fields = fields_of(record)
        if fields is not None:
            line = f"{line} | {fields.text()}".replace("\n", "\\n")
        return line.encode(errors="backslashreplace").decode()


@dataclasses.dataclass
class Repetition:
    """A cause whose line was written: until when its repetitions are counted, how many came, and the last of them."""

    end: float
    count: int = 0
    last: logbook.LogRecord | None = None


class NodeLog(logbook.Handler):
    """Writes and keeps the lines of one process; ``output`` formats and writes a line."""

    def __init__(
        self,
        output: logbook.StreamHandler,
        monotonic: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__(logbook.NOTSET)
        self.output = output
        self.output.formatter = EventFormatter()
        self.monotonic = monotonic
        self.kept: collections.deque[logbook.LogRecord] = collections.deque(maxlen=KEPT_LINES)
        self.repetitions: dict[Cause, Repetition] = {}
        self.timer: asyncio.TimerHandle | None = None

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line, count it as a repetition, or keep it."""
        if record.level < logbook.NOTICE:
            self.kept.append(record)
            return
        self.end_windows()
        if self.is_repeated(record):
            self.schedule_end()
            return
        if record.level >= logbook.WARNING:
            self.write_kept()
        self.output.emit(record)

    def is_repeated(self, record: logbook.LogRecord) -> bool:
        """Whether the line of the same cause was written a moment ago; then it is counted."""
        if record.exc_info is not None:
            return False
        cause = cause_of(record)
        repetition = self.repetitions.get(cause)
        if repetition is None:
            if len(self.repetitions) >= MOST_CAUSES:
                self.end_windows(at_once=True)
            self.repetitions[cause] = Repetition(self.monotonic() + REPEAT_WINDOW_S)
            return False
        repetition.count += 1
        repetition.last = record
        return True

    def end_windows(self, *, at_once: bool = False) -> None:
        """Write the counts of the causes whose window is over; of all of them if ``at_once``."""
        now = self.monotonic()
        for cause, repetition in list(self.repetitions.items()):
            if not at_once and now < repetition.end:
                continue
            if repetition.last is None:
                del self.repetitions[cause]
                continue
            self.write_count(repetition)
            # What still flaps goes on being counted: its next line is again that of a whole window.
            repetition.end, repetition.count, repetition.last = now + REPEAT_WINDOW_S, 0, None

    def write_count(self, repetition: Repetition) -> None:
        """Write how often a cause came again, with the line of the last time."""
        last = repetition.last
        assert last is not None, "only a cause that came again is counted"
        counted = logbook.LogRecord(
            last.channel,
            last.level,
            "{} more within {:g} s, the last one: {}",
            (repetition.count, REPEAT_WINDOW_S, last.message),
            extra=dict(last.extra),
        )
        counted.heavy_init()
        self.output.emit(counted)

    def schedule_end(self) -> None:
        """Have the counts written when the window is over, though no other line comes then."""
        if self.timer is not None:
            return
        with contextlib.suppress(RuntimeError):  # a thread without a loop: the next line ends the window
            self.timer = asyncio.get_running_loop().call_later(REPEAT_WINDOW_S, self.on_timer)

    def on_timer(self) -> None:
        """End windows, and come again while there is something to count."""
        self.timer = None
        self.end_windows()
        if any(repetition.last is not None for repetition in self.repetitions.values()):
            self.schedule_end()

    def write_kept(self) -> list[str]:
        """Write the kept lines out and keep none of them; their texts."""
        records, self.kept = list(self.kept), collections.deque(maxlen=KEPT_LINES)
        for record in records:
            self.output.emit(record)
        return [self.output.format(record) for record in records]

    def close(self) -> None:
        """Write what was counted, at the end of the process."""
        self.end_windows(at_once=True)
        self.output.close()
