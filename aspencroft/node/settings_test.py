"""Tests of ``aspencroft.node.settings``."""

from aspencroft.node import settings


def test_every_fault_of_the_settings_is_named():
    try:
        settings.check({"address": "x", "colour": 1, "seeds": ["127.0.0.1:1"]})
        raise AssertionError("taken")
    except settings.BadSettings as error:
        for word in ("address", "colour", "seeds", "http", "area"):
            assert word in str(error)


PLACE = {
    "address": "127.0.0.1:1",
    "http": "127.0.0.1:2",
    "area": "north",
    "seeds": ["127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:5"],
}


def test_of_newer_settings_only_what_may_change_is_taken_and_the_rest_is_named():
    before = settings.check(PLACE)
    fresh = settings.check(
        {**PLACE, "seeds": ["127.0.0.1:7", "127.0.0.1:8", "127.0.0.1:9"], "area": "south", "first_start": False}
    )
    merged, fixed = before.reloaded(fresh)
    assert (merged.seeds, merged.area, merged.first_start) == (fresh.seeds, "north", True)
    assert fixed == ("area",)
