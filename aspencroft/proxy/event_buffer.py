"""Whole events of a stream, so that it can be continued behind the last one that was passed on.

A worker may break off in the middle of an event. What was passed on then must end with a whole event: the rest of a
broken one is dropped, and the worker that continues gives it anew.
"""

import re

from aspencroft.errors import result

EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
"""The end of a line and an empty line behind it, with any of the line ends that such streams may have."""
MOST_PENDING_BYTES = 1 << 20
"""Bytes of one event that are held back at most; a longer one passes on as it comes and is not continued."""
LINE_END = re.compile(rb"\r\n|\n|\r")


def id_of(event: bytes) -> str:
    """The id of an event; "" when it names none.

    Example: ``id_of(b"id: 12") == "12"``
    """
    found = ""
    for line in LINE_END.split(event):
        name, _, value = line.partition(b":")
        if name == b"id":
            found = value.strip().decode("latin-1")
    return found


class EventBuffer:
    """Holds back what is no whole event yet; ``last_id`` is the id of the last event that was handed out.

    Example: ``EventBuffer().last_id == ""``
    """

    def __init__(self) -> None:
        self.pending = b""
        self.last_id = ""
        self.has_passed = False
        self.is_numbered = True
        self.is_consecutive = True
        self.is_continued = False

    def feed(self, part: bytes) -> bytes:
        """Take bytes in as they come; the whole events among all that came."""
        self.pending += part
        passed: list[bytes] = []
        start = 0
        for end in EVENT_END.finditer(self.pending):
            event = self.pending[start : end.end()]
            start = end.end()
            if self.take(event):
                passed.append(event)
        self.pending = self.pending[start:]
        if len(self.pending) > MOST_PENDING_BYTES:
            self.has_passed, self.is_numbered = True, False
            passed.append(self.rest())
        return b"".join(passed)

    def take(self, event: bytes) -> bool:
        """Note a whole event; false for one that was handed out before the stream was continued.

        Raises:
            RequestError: WORKER_BROKE where the worker that continues left events out.

        """
        number = id_of(event)
        if self.is_continued and number:
            if self.is_repeated(number):
                return False
            self.check_next(number)
        self.is_consecutive = self.is_consecutive and (not self.last_id or self.is_next(number))
        self.has_passed = True
        self.is_numbered = self.is_numbered and bool(number)
        self.last_id = number or self.last_id
        return True

    def is_next(self, number: str) -> bool:
        """Whether an id is the number that follows the last one."""
        return number.isdecimal() and self.last_id.isdecimal() and int(number) == int(self.last_id) + 1

    def check_next(self, number: str) -> None:
        """Where ids have counted up one by one so far, the first one of a continued stream must go on so."""
        if self.last_id and self.is_consecutive and not self.is_next(number):
            raise result.RequestError(
                result.ResultCode.WORKER_BROKE,
                result.Ran.UNKNOWN,
                f"a continued stream goes on with event {number} behind {self.last_id}",
            )

    def is_repeated(self, number: str) -> bool:
        """Whether an event with this id, or one behind it, was handed out: ids rise along a stream."""
        if number.isdecimal() and self.last_id.isdecimal():
            return int(number) <= int(self.last_id)
        return number == self.last_id

    def can_continue(self) -> bool:
        """Whether another worker can be told where to go on: nothing was handed out, or each event had an id."""
        return not self.has_passed or self.is_numbered

    def begin_again(self) -> None:
        """Drop the rest of a broken event: the next bytes are those of the worker that continues."""
        self.pending, self.is_continued = b"", True

    def rest(self) -> bytes:
        """What is left at the end of the stream."""
        left, self.pending = self.pending, b""
        return left
