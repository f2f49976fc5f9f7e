"""The log of a replica in memory: a snapshot, the entries after it and the chained digest at each entry."""

import dataclasses
import typing

from aspencroft.errors import result
from aspencroft.replication import log_records

DIGEST_RANGE_ENTRIES = 32
"""Entries between two compared positions: a repair sends at most this many entries that the peer already holds."""

DENSE_DIGEST_ENTRIES = 1024
"""Entries at the end of the log that are compared one by one: more than a primary ever has in flight."""

ENTRY_OVERHEAD_BYTES = 250
"""Memory in bytes that an entry takes in addition to its body: objects, digest and list slots."""


class LogTail(typing.NamedTuple):
    """The end of a log: entries, preceded by a snapshot if the entries do not reach back far enough."""

    snapshot: log_records.EncodedSnapshot | None
    entries: tuple[log_records.Entry, ...]


class ReplicaLog:
    """Snapshot, entries and digests, in memory only: callers write each change to disk first."""

    def __init__(self) -> None:
        self.snapshot = log_records.EMPTY_SNAPSHOT
        self.snapshot_bytes = 0
        self.entries: list[log_records.Entry] = []
        self.digests: list[bytes] = []
        self.entry_bytes = 0

    def replace_with(self, snapshot: log_records.Snapshot | log_records.EncodedSnapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.set_snapshot(log_records.encode_snapshot(snapshot))
        self.entries, self.digests, self.entry_bytes = [], [], 0

    def compact_to(self, snapshot: log_records.EncodedSnapshot) -> None:
        """Replace the entries up to a snapshot's sequence by that snapshot."""
        self.remove(slice(0, snapshot.sequence - self.snapshot.sequence))
        self.set_snapshot(snapshot)

    def truncate_to(self, count: int) -> None:
        """Keep only the first ``count`` entries after the snapshot."""
        self.remove(slice(count, None))

    def remove(self, span: slice) -> None:
        """Remove a span of entries and their digests."""
        self.entry_bytes -= sum(len(entry.body) + ENTRY_OVERHEAD_BYTES for entry in self.entries[span])
        del self.entries[span], self.digests[span]

    def append(self, entry: log_records.Entry) -> None:
        """Add an entry and its digest."""
        self.digests.append(log_records.digest_after(self.last_position().digest, entry))
        self.entries.append(entry)
        self.entry_bytes += len(entry.body) + ENTRY_OVERHEAD_BYTES

    def set_snapshot(self, snapshot: log_records.EncodedSnapshot) -> None:
        """Replace the snapshot and keep the entries."""
        self.snapshot, self.snapshot_bytes = snapshot, snapshot.size()

    def take_snapshot_body(self) -> bytes:
        """Return the snapshot's bytes in one piece and free its pieces.

        A start thus needs memory for one copy of the snapshot beside the state that is built from it, not for two.
        """
        body = self.snapshot.body
        self.snapshot = dataclasses.replace(self.snapshot, pieces=())
        return body

    def last_position(self) -> log_records.LogPosition:
        """Sequence and digest at the end of the log."""
        if self.entries:
            return log_records.LogPosition(self.entries[-1].sequence, self.digests[-1])
        return log_records.LogPosition(self.snapshot.sequence, self.snapshot.digest)

    def digest_at(self, sequence: int) -> bytes | None:
        """The digest at a sequence; None before the snapshot or after the end."""
        offset = sequence - self.snapshot.sequence
        if offset == 0:
            return self.snapshot.digest
        return self.digests[offset - 1] if 0 < offset <= len(self.digests) else None

    def has_position(self, position: log_records.LogPosition | log_records.RepairGoal) -> bool:
        """Whether this log matches another log up to one of its positions."""
        return self.digest_at(position.sequence) == position.digest

    def comparison_positions(self) -> tuple[log_records.LogPosition, ...]:
        """The positions for the comparison with another log: the ends of ranges, and each one near the end.

        Those near the end are more than a primary has in flight, so the exact point at which two members diverge is
        among them: a repair never truncates a backup below what was acknowledged.
        """
        positions = [log_records.LogPosition(self.snapshot.sequence, self.snapshot.digest)]
        range_ends = range(DIGEST_RANGE_ENTRIES - 1, len(self.entries), DIGEST_RANGE_ENTRIES)
        dense = range(max(0, len(self.entries) - DENSE_DIGEST_ENTRIES), len(self.entries))
        for offsets in (range_ends, dense):
            positions.extend(
                log_records.LogPosition(self.entries[offset].sequence, self.digests[offset]) for offset in offsets
            )
        return tuple(sorted(set(positions), key=lambda position: position.sequence))

    def select_missing(
        self, previous: log_records.LogPosition, entries: tuple[log_records.Entry, ...]
    ) -> tuple[log_records.Entry, ...]:
        """Select the entries after a position that this log lacks.

        Raises:
            RequestError: The logs differ at the position, or this one holds other entries after it.

        """
        present_count = self.last_position().sequence - previous.sequence
        present = tuple(self.entries[len(self.entries) - present_count :]) if present_count > 0 else ()
        if present_count < 0 or not self.has_position(previous) or present != entries[:present_count]:
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="the logs differ")
        return entries[present_count:]

    def read_after(self, position: log_records.LogPosition, max_bytes: int) -> LogTail:
        """Read the entries after a position of another log: at most ``max_bytes``, but at least one entry.

        Returns nothing if the logs differ at the position: then neither may take the other's entries.
        """
        snapshot, offset = None, position.sequence - self.snapshot.sequence
        if offset < 0:
            snapshot, offset = self.snapshot, 0
        elif not self.has_position(position):
            return LogTail(None, ())
        selected: list[log_records.Entry] = []
        size = 0
        for entry in self.entries[offset:]:
            if selected and size + len(entry.body) > max_bytes:
                break
            selected.append(entry)
            size += len(entry.body)
        return LogTail(snapshot, tuple(selected))
