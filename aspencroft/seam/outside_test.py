"""Tests of ``aspencroft.seam.outside``."""

import aspencroft.seam.outside as outside


def test_only_sound_values_pass():
    assert outside.parsed(b'{"a": [1, 2.5, "\\u00e9", null, true]}') == {"a": [1, 2.5, "é", None, True]}
    assert outside.parsed(b"[" * outside.DEEPEST + b"]" * outside.DEEPEST)
    for raw in (b"", b"{", b"NaN", b"[-Infinity]", b"1e999", b'"\\ud800"', b'{"\\udc00": 1}', b"\xff",
                b"9223372036854775808", b"[" * 65 + b"]" * 65, b"[" * 100_000, b"1" * 5000):
        try:
            outside.parsed(raw)
        except outside.Unsound:
            continue
        raise AssertionError(raw[:40])
