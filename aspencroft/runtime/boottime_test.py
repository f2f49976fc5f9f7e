"""Tests of ``aspencroft.runtime.boottime``."""

from aspencroft.runtime import boottime


def test_clock_never_steps_back():
    loop = boottime.BoottimeLoop()
    readings = [loop.time() for _ in range(100)]
    loop.close()
    assert readings == sorted(readings)
