"""Tests of ``aspencroft.workers.worker``."""

from aspencroft.workers import worker


def test_unreadable_rows_are_left_out():
    assert worker.of({"name": "m1"}) is None and worker.of(3) is None
    for url in ("http://[::1", "http://a:99999", "ftp://a", "http://a:1\n", "http://", 7):
        assert worker.of({"name": "m1", "url": url, "kind": "plain", "services": ["a"]}) is None, url
    row = {"name": "m1", "url": "http://127.0.0.1:1", "kind": "plain", "services": ["a"], "new": 1}
    assert worker.of(row).services == ("a",)
