"""Parser for server-sent events (text/event-stream), fed with the bytes of a stream that is passed on unchanged."""

COUNTED_LINE_BYTES = 64
"""Bytes of an unfinished line that suffice to tell whether it holds data."""


class Reader:
    """Counts the events of a stream and collects their data; it buffers only that data and the incomplete event.

    Without ``keeps_data`` it only counts, and buffers next to nothing of a line without end. ``held_bytes`` is what it
    buffers.
    """

    def __init__(self, keeps_data: bool = True):
        self.keeps_data = keeps_data
        self.data_bytes = 0
        self.pending = b""
        self.data: list[bytes] = []
        self.lines: list[bytes] = []
        self.count = 0
        self.after_return = False

    def feed(self, chunk: bytes) -> None:
        """Add bytes as they arrive, split at any position."""
        if self.after_return and chunk.startswith(b"\n"):
            chunk = chunk[1:]
        self.after_return = chunk.endswith(b"\r") if chunk else self.after_return
        normalized = (self.pending + chunk).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *complete, self.pending = normalized.split(b"\n")
        for line in complete:
            self.take_line(line)
        if not self.keeps_data:
            self.pending = self.pending[:COUNTED_LINE_BYTES]

    def held_bytes(self) -> int:
        """Return the bytes of data and of the unfinished line that are buffered."""
        return self.data_bytes + len(self.pending)

    def take_line(self, line: bytes) -> None:
        """Add one line; an empty one ends an event, which is counted if it has data."""
        if not line:
            if self.lines:
                self.count += 1
                if self.keeps_data:
                    self.data.append(b"\n".join(self.lines))
                self.lines = []
            return
        name, _, value = line.partition(b":")
        if name != b"data":
            return
        if self.keeps_data:
            self.lines.append(value[1:] if value.startswith(b" ") else value)
            self.data_bytes += len(value) + 1
        elif not self.lines:
            self.lines.append(b"")

    def output(self) -> bytes:
        """Return the data of all events, each followed by a line feed."""
        return b"".join(event_data + b"\n" for event_data in self.data)
