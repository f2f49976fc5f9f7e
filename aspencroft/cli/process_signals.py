"""The daemons' signals, taken from a program's first line on: before that they would end the process.

Nothing large is imported here, since this module is loaded before all others.
"""

import signal
import types

STOPS = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP


class ProcessSignals:
    """Signals received and not yet acted on."""

    def __init__(self) -> None:
        self.stop = False
        self.reload = False

    def install(self) -> None:
        """Note signals from now on, for as long as the process lives."""
        for number in (*STOPS, RELOAD):
            signal.signal(number, self.note)

    def note(self, number: int, _frame: types.FrameType | None) -> None:
        """Note one signal; the handler that the interpreter calls."""
        if number == RELOAD:
            self.reload = True
        else:
            self.stop = True

    def take_reload(self) -> bool:
        """Whether the settings are to be read again; asking clears it."""
        asked, self.reload = self.reload, False
        return asked


RECEIVED = ProcessSignals()
