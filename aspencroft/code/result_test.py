"""Tests of ``aspencroft.code.result``."""

import pathlib

import aspencroft.code.result as result


def test_what_is_given_up_names_when_to_come_back():
    for entry in result.Result:
        given_up = entry.status >= 500 or entry.number in result.COME_BACK
        assert (result.Refusal(entry).document()["retry_after"] is not None) == given_up, entry


def test_docs_hold_the_table():
    page = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"
    assert result.table() in page.read_text()
    assert len({entry.number for entry in result.Result}) == len(list(result.Result))
