"""The daemons' event loop: its clock goes on counting while a machine is suspended."""

import asyncio
import time


class BoottimeLoop(asyncio.SelectorEventLoop):
    """A selector loop on CLOCK_BOOTTIME, so that a claim ends during a suspension too."""

    def time(self) -> float:
        """Seconds since the machine's boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
