"""Tests of ``aspencroft.cli.acwhy``."""

import aspencroft.cli.acwhy as acwhy_module


def test_a_story_reads_in_order():
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
    text = acwhy_module.told(shown)
    assert text.index("taken in") < text.index("answered")
