"""Tests of the chained digest and of the records of a snapshot on disk."""

import pytest

from aspencroft.replication import log_records


@pytest.mark.parametrize("changed", range(4))
def test_the_chained_digest_tells_any_difference(changed):
    entries = [log_records.Entry(1, number, bytes([number]) * 20) for number in range(1, 5)]
    other_epoch = [
        log_records.Entry(2, entry.sequence, entry.body) if index == changed else entry
        for index, entry in enumerate(entries)
    ]
    other_body = [
        log_records.Entry(1, entry.sequence, entry.body[:-1] + b"x") if index == changed else entry
        for index, entry in enumerate(entries)
    ]
    digests = set()
    for chained in (entries, other_epoch, other_body, entries[::-1], entries[1:]):
        digest = log_records.NO_DIGEST
        for entry in chained:
            digest = log_records.digest_after(digest, entry)
        digests.add(digest)
        assert len(digest) == len(log_records.NO_DIGEST)
    assert len(digests) == 5


def test_a_snapshot_is_stored_in_bounded_chunks_and_its_end_counts_them(monkeypatch):
    monkeypatch.setattr(log_records, "STORED_CHUNK_BYTES", 10)
    snapshot = log_records.EncodedSnapshot(3, 8, b"digest 8", (b"x" * 6, b"y" * 6, b"z" * 25, b"end"))
    *chunks, end = snapshot.stored_records()
    assert [chunk.index for chunk in chunks] == [0, 1, 2]
    assert b"".join(chunk.body for chunk in chunks) == snapshot.body
    assert end == log_records.StoredSnapshot(3, 8, b"digest 8", 3)
