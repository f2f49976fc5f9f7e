"""Tests of ``aspencroft.runtime.json_input``."""

from aspencroft.runtime import json_input


def test_only_sound_values_pass():
    assert json_input.parsed(b'{"a": [1, 2.5, "\\u00e9", null, true]}') == {"a": [1, 2.5, "é", None, True]}
    assert json_input.parsed(b"[" * json_input.DEEPEST + b"]" * json_input.DEEPEST)
    for raw in (
        b"",
        b"{",
        b"NaN",
        b"[-Infinity]",
        b"1e999",
        b'"\\ud800"',
        b'{"\\udc00": 1}',
        b"\xff",
        b"9223372036854775808",
        b"[" * 65 + b"]" * 65,
        b"[" * 100_000,
        b"1" * 5000,
    ):
        try:
            json_input.parsed(raw)
        except json_input.Unsound:
            continue
        raise AssertionError(raw[:40])
