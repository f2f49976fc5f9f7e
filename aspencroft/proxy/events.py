"""Reading a stream of events (text/event-stream) while its bytes pass on unchanged."""


class Reader:
    r"""Counts the events of a stream and gathers their data; keeps only what is not ended yet and the data."""

    def __init__(self):
        self.pending = b""
        self.data: list[bytes] = []
        self.lines: list[bytes] = []
        self.count = 0
        self.after_return = False

    def feed(self, part: bytes) -> None:
        """Take bytes in as they come, cut anywhere."""
        if self.after_return and part.startswith(b"\n"):
            part = part[1:]
        self.after_return = part.endswith(b"\r") if part else self.after_return
        text = (self.pending + part).replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *whole, self.pending = text.split(b"\n")
        for line in whole:
            self.take_line(line)

    def take_line(self, line: bytes) -> None:
        """Take one line in; an empty one ends an event, which counts when it has data."""
        if not line:
            if self.lines:
                self.count += 1
                self.data.append(b"\n".join(self.lines))
                self.lines = []
            return
        name, _, value = line.partition(b":")
        if name == b"data":
            self.lines.append(value[1:] if value.startswith(b" ") else value)

    def output(self) -> bytes:
        r"""The data of each event, each with a line feed behind."""
        return b"".join(one + b"\n" for one in self.data)
