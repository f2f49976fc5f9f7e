"""Splits a stream into complete events, so that it can be resumed after the last one that was passed on.

A worker may fail in the middle of an event. What was passed on must then end with a complete event: an incomplete one
is dropped, and the worker that resumes the stream sends it again.
"""

import re

from aspencroft.errors import result

EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
"""The end of a line followed by an empty line, with any of the line endings that event streams allow."""
MAX_PENDING_BYTES = 1 << 20
"""Most bytes of one event that are buffered; a longer one is passed on as it arrives and its stream isn't resumed."""
LINE_END = re.compile(rb"\r\n|\n|\r")


def id_of(event: bytes) -> str:
    """The id of an event; "" if it has none.

    Example: ``id_of(b"id: 12") == "12"``
    """
    found = ""
    for line in LINE_END.split(event):
        name, _, value = line.partition(b":")
        if name == b"id":
            found = value.strip().decode("latin-1")
    return found


class EventBuffer:
    """Buffers incomplete events; ``last_id`` is the id of the last event that was passed on.

    Example: ``EventBuffer().last_id == ""``
    """

    def __init__(self) -> None:
        self.pending = b""
        self.last_id = ""
        self.has_passed = False
        self.is_numbered = True
        self.is_consecutive = True
        self.is_resumed = False

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes as they arrive; return the events that are now complete."""
        self.pending += chunk
        complete: list[bytes] = []
        start = 0
        for end in EVENT_END.finditer(self.pending):
            event = self.pending[start : end.end()]
            start = end.end()
            if self.take(event):
                complete.append(event)
        self.pending = self.pending[start:]
        if len(self.pending) > MAX_PENDING_BYTES:
            self.has_passed, self.is_numbered = True, False
            complete.append(self.rest())
        return b"".join(complete)

    def take(self, event: bytes) -> bool:
        """Record a complete event; return false if it was already passed on before the stream was resumed.

        Raises:
            RequestError: WORKER_BROKE if the worker that resumes the stream skipped events.

        """
        event_id = id_of(event)
        if self.is_resumed and event_id:
            if self.is_repeated(event_id):
                return False
            self.check_next(event_id)
        self.is_consecutive = self.is_consecutive and (not self.last_id or self.is_next(event_id))
        self.has_passed = True
        self.is_numbered = self.is_numbered and bool(event_id)
        self.last_id = event_id or self.last_id
        return True

    def is_next(self, event_id: str) -> bool:
        """Whether an id is the last one plus 1."""
        return event_id.isdecimal() and self.last_id.isdecimal() and int(event_id) == int(self.last_id) + 1

    def check_next(self, event_id: str) -> None:
        """If the ids have been consecutive so far, check that the resumed stream continues with the next one."""
        if self.last_id and self.is_consecutive and not self.is_next(event_id):
            raise result.RequestError(
                result.ResultCode.WORKER_BROKE,
                result.Ran.UNKNOWN,
                f"the resumed stream skips from event {self.last_id} to event {event_id}",
            )

    def is_repeated(self, event_id: str) -> bool:
        """Whether an event with this or a greater id was passed on: ids rise along a stream."""
        if event_id.isdecimal() and self.last_id.isdecimal():
            return int(event_id) <= int(self.last_id)
        return event_id == self.last_id

    def can_resume(self) -> bool:
        """Whether another worker can be told where to resume: nothing was passed on, or each event had an id."""
        return not self.has_passed or self.is_numbered

    def start_resumed(self) -> None:
        """Drop an incomplete event: the next bytes come from the worker that resumes the stream."""
        self.pending, self.is_resumed = b"", True

    def rest(self) -> bytes:
        """Return the bytes that remain at the end of the stream."""
        remaining, self.pending = self.pending, b""
        return remaining
