"""Tests of ``aspencroft.errors.result``."""

import pathlib

from aspencroft.errors import result


def test_what_is_given_up_names_when_to_come_back():
    for entry in result.ResultCode:
        given_up = entry.status >= 500 or entry.number in result.COME_BACK
        assert (result.RequestError(entry).document()["retry_after"] is not None) == given_up, entry


def test_docs_hold_the_table():
    page = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"
    assert result.table() in page.read_text()
    assert len({entry.number for entry in result.ResultCode}) == len(list(result.ResultCode))
