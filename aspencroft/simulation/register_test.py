"""Tests of ``aspencroft.simulation.register``."""

import dataclasses

from aspencroft.simulation import register


def test_the_register_model_sees_each_fault():
    first = register.Write(1.0, 1.1, {"services/a": '"one"'}, None, register.ACKNOWLEDGED, 5)
    second = register.Write(2.0, 2.1, {"services/a": '"two"'}, 5, register.ACKNOWLEDGED, 7)
    lost = register.Write(2.0, 2.2, {"services/a": '"three"'}, 5, register.ACKNOWLEDGED, 8)
    refused = register.Write(3.0, 3.1, {"services/a": '"four"'}, None, register.REFUSED, 0)
    unsure = register.Write(3.0, 3.1, {"services/a": '"five"'}, None, register.UNSURE, 0)

    def read(value, revision=7, at=4.0, current=True):
        return register.Read(at, at, "n", current, revision, {"services": {"a": value}})

    assert register.faults([first, second, refused, unsure], [read("two"), read("five", 9, 5.0)], {}) == []
    for writes, reads in (
        ([first, second], [read("one")]),
        ([first, second, lost], []),
        ([first, second, refused], [read("four")]),
        ([first, dataclasses.replace(second, expected=0)], []),
        ([first, second], [read("one", 5)]),
        ([first], [read("one", 9), read("one", 5, 6.0)]),
        ([first, second], [read("two", 5, current=False)]),
    ):
        assert register.faults(writes, reads, {}), (writes, reads)
    swing = [
        register.Write(
            0.0,
            0.1,
            {register.SWING: register.text_of({"services": ["handset"]})},
            None,
            register.ACKNOWLEDGED,
            1,
        ),
        register.Write(
            5.0,
            5.5,
            {register.SWING: register.text_of({"services": ["locks"]})},
            None,
            register.ACKNOWLEDGED,
            2,
        ),
    ]
    assert register.foreign_runs(swing, [(1.0, "handset"), (7.0, "handset"), (5.2, "locks"), (9.0, "locks")], {}) == []
    for run in ((1.0, "locks"), (7.6, "handset"), (6.0, "lights")):
        assert register.foreign_runs(swing, [run], {}), run
