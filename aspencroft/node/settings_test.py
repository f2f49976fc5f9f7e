"""Tests of ``aspencroft.node.settings``."""

from aspencroft.node import settings


def test_every_fault_of_the_settings_is_named():
    try:
        settings.check({"address": "x", "colour": 1, "seeds": ["127.0.0.1:1"]})
        raise AssertionError("taken")
    except settings.BadSettings as error:
        for word in ("address", "colour", "seeds", "http", "area"):
            assert word in str(error)
