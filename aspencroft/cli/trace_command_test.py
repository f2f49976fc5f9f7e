"""Tests of ``aspencroft.cli.trace_command``."""

from aspencroft.cli import trace_command


def test_a_trace_reads_in_order():
    shown = {
        "request": "r",
        "stories": [
            {
                "node": "n",
                "lane": "chat",
                "lines": [
                    {"after": 0.0, "what": "taken in", "detail": "plan 1.1"},
                    {"after": 0.2, "what": "answered", "detail": "done"},
                ],
            }
        ],
    }
    text = trace_command.trace_text(shown)
    assert text.index("taken in") < text.index("answered")
