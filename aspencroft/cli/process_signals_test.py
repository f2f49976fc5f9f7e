"""Tests of ``aspencroft.cli.process_signals``."""

import signal
import subprocess
import sys

from aspencroft.cli import process_signals

LARGE = ("asyncio", "logbook", "uvicorn", "msgspec", "aspencroft.node.node")


def test_signals_are_taken_before_anything_large_is_imported():
    program = "import sys; from aspencroft.cli import entry; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True).stdout.split()
    assert "aspencroft.cli.process_signals" in loaded
    assert not set(LARGE) & set(loaded)


def test_signals_that_came_early_are_kept_until_they_are_taken_up():
    received = process_signals.ProcessSignals()
    received.note(signal.SIGHUP, None)
    received.note(signal.SIGHUP, None)
    assert not received.stop
    assert [received.take_reload(), received.take_reload()] == [True, False]
    received.note(signal.SIGTERM, None)
    assert received.stop
