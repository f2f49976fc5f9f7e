"""Tests of the log in memory: truncation, compaction, comparison and selection of missing entries."""

import pytest

from aspencroft.errors import result
from aspencroft.replication import log_records, replica_log


def make_log(count: int, epoch: int = 1) -> replica_log.ReplicaLog:
    """Make a log of ``count`` entries with 10 bytes each."""
    log = replica_log.ReplicaLog()
    for sequence in range(1, count + 1):
        log.append(log_records.Entry(epoch, sequence, b"x" * 10))
    return log


def compact(log: replica_log.ReplicaLog, sequence: int) -> None:
    """Replace the entries up to a sequence by a snapshot."""
    log.compact_to(log_records.EncodedSnapshot(1, sequence, log.digest_at(sequence), (b"state",)))


def test_a_compacted_log_ends_where_it_did_and_knows_no_digest_in_front_of_its_snapshot():
    log = make_log(9)
    end, digest = log.last_position(), log.digest_at(4)
    compact(log, 4)
    assert log.last_position() == end and log.digest_at(4) == digest
    assert log.digest_at(3) is None and log.digest_at(10) is None
    assert [entry.sequence for entry in log.entries] == [5, 6, 7, 8, 9]
    assert log.entry_bytes == 5 * (10 + replica_log.ENTRY_OVERHEAD_BYTES) and log.snapshot_bytes == 5


def test_a_truncated_log_is_that_of_the_entries_left():
    log = make_log(9)
    log.truncate_to(6)
    shorter = make_log(6)
    assert log.last_position() == shorter.last_position() and log.entry_bytes == shorter.entry_bytes
    assert len(log.digests) == len(log.entries) == 6


def test_missing_entries_are_selected_and_differing_logs_are_rejected():
    log, longer, other = make_log(5), make_log(8), make_log(8, epoch=2)
    previous = log_records.LogPosition(3, longer.digest_at(3))
    assert log.select_missing(previous, tuple(longer.entries[3:])) == tuple(longer.entries[5:])
    for differing in (
        (log_records.LogPosition(3, other.digest_at(3)), tuple(other.entries[3:])),
        (previous, tuple(other.entries[3:])),
        (longer.last_position(), ()),
    ):
        with pytest.raises(result.RequestError):
            log.select_missing(*differing)


def test_a_tail_is_bounded_in_bytes_has_one_entry_at_least_and_begins_with_the_snapshot_if_need_be():
    log = make_log(9)
    position = log_records.LogPosition(2, log.digest_at(2))
    assert [entry.sequence for entry in log.read_after(position, 25).entries] == [3, 4]
    assert [entry.sequence for entry in log.read_after(position, 1).entries] == [3]
    assert log.read_after(log_records.LogPosition(2, b"another!"), 25) == (None, ())
    compact(log, 4)
    snapshot, entries = log.read_after(position, 25)
    assert snapshot is log.snapshot and [entry.sequence for entry in entries] == [5, 6]


def test_positions_to_compare_are_range_ends_and_each_entry_at_the_end(monkeypatch):
    monkeypatch.setattr(replica_log, "DENSE_DIGEST_ENTRIES", 3)
    log = make_log(100)
    positions = log.comparison_positions()
    assert [position.sequence for position in positions] == [0, 32, 64, 96, 98, 99, 100]
    assert all(log.has_position(position) for position in positions)
