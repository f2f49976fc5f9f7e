"""The cheapest days of ``aspencroft.simulation.behaviour_digests``; the command plays all."""

import datetime

import pytest

from aspencroft.errors import result
from aspencroft.simulation import behaviour_digests

CHEAPEST = ("forwarding 3", "model of three voters", "model of copies")


def test_the_cheapest_days_show_what_they_showed_before():
    kept = behaviour_digests.kept()
    found = behaviour_digests.play_apart(CHEAPEST, len(CHEAPEST))
    assert {name: one.digest for name, one in found.items()} == {name: kept[name] for name in CHEAPEST}


def test_a_digest_is_kept_of_every_day():
    assert behaviour_digests.kept().keys() == behaviour_digests.days().keys()


def test_the_canonical_form_holds_values_without_names_of_types_and_fields():
    refusal = result.RequestError(result.ResultCode.NO_WORKER, result.Ran.NOT_RUN, "log text", datetime.timedelta(1))
    assert behaviour_digests.plain([refusal, b"x", 0.5, {"b", "a"}]) == [
        [result.ResultCode.NO_WORKER.number, "not run", 86_400_000_000],
        "x:78",
        "0.5",
        ["a", "b"],
    ]
    assert behaviour_digests.plain(behaviour_digests.Observed("d", ("k",), 1, 2.0)) == ["d", ["k"], 1, "2.0"]
    assert behaviour_digests.values({"a": 1, "b": [{"c": 2}]}) == [1, [[2]]]
    with pytest.raises(TypeError):
        behaviour_digests.plain(object())


def test_a_word_that_is_renamed_everywhere_keeps_its_number():
    before, after = behaviour_digests.Words(), behaviour_digests.Words()
    assert [before(one) for one in ("done", "late", "done")] == [after(one) for one in ("whole", "late", "whole")]
