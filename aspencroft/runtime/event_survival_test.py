"""Events are in the file of the log though the process is killed right after; what waits in memory is not."""

import pathlib
import signal
import subprocess
import sys

PROGRAM = """
import asyncio, os, pathlib, signal, sys
from aspencroft.cli import daemon
from aspencroft.node import settings
from aspencroft.proxy import outlier_detection
from aspencroft.runtime import clock
import logbook

seeds = ["127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:4"]
place = settings.check({"address": seeds[0], "http": "127.0.0.1:2", "area": "a", "seeds": seeds, "role": "core",
                        "log": sys.argv[1]})
with daemon.open_log(place).applicationbound():
    logbook.Logger("test").info("a line that waits")
    outliers = outlier_detection.OutlierDetector()
    outliers.set_workers({"chat": frozenset("abcd")})
    for number in range(40):
        for name in "bcd":
            outliers.record_outcome("chat", name, outlier_detection.GOOD, clock.seconds(1))
        outliers.record_outcome("chat", "a", outlier_detection.LOST, clock.seconds(1))
    os.kill(os.getpid(), signal.SIGKILL)
"""


def test_an_ejection_is_read_from_the_file_after_a_kill(tmp_path: pathlib.Path):
    log = tmp_path / "node.log"
    done = subprocess.run([sys.executable, "-c", PROGRAM, str(log)], capture_output=True, check=False, timeout=60)
    assert done.returncode == -signal.SIGKILL, done.stderr
    lines = log.read_text().splitlines()
    ejections = [line for line in lines if 'event=worker_ejected member="a"' in line]
    assert len(ejections) == 1 and "worker a of service chat: ejected: for 2 s: " in ejections[0], lines
    assert not any("a line that waits" in line for line in lines)
