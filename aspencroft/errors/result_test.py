"""Tests of ``aspencroft.errors.result``."""

import pathlib

from aspencroft.errors import result


def test_server_side_errors_and_listed_codes_carry_a_retry_delay():
    for entry in result.ResultCode:
        is_retriable = entry.status >= 500 or entry.number in result.RETRY_AFTER
        assert (result.RequestError(entry).document()["retry_after"] is not None) == is_retriable, entry


def test_docs_hold_the_table():
    page = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"
    assert result.table() in page.read_text()
    assert len({entry.number for entry in result.ResultCode}) == len(list(result.ResultCode))
