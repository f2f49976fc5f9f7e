"""The log of a replica in memory: a snapshot, the entries behind it and the chained digest at each of them."""

import dataclasses
import typing

from aspencroft.errors import result
from aspencroft.replication import log_records

DIGEST_RANGE_ENTRIES = 32
"""Entries between two positions that are compared: a repair sends at most so many too many."""

DENSE_DIGEST_ENTRIES = 1024
"""Entries at the end of the log that are compared one by one; more than a primary ever has in flight."""

ENTRY_OVERHEAD_BYTES = 250
"""Bytes of memory that an entry takes beside its body: objects, digest and places in lists."""


class LogTail(typing.NamedTuple):
    """The end of a log: entries, behind a snapshot where the log does not reach back far enough."""

    snapshot: log_records.EncodedSnapshot | None
    entries: tuple[log_records.Entry, ...]


class ReplicaLog:
    """Snapshot, entries and digests. Purely in memory: whoever changes it has written the change to disk before."""

    def __init__(self) -> None:
        self.snapshot = log_records.EMPTY_SNAPSHOT
        self.snapshot_bytes = 0
        self.entries: list[log_records.Entry] = []
        self.digests: list[bytes] = []
        self.entry_bytes = 0

    def replace_with(self, snapshot: log_records.Snapshot | log_records.EncodedSnapshot) -> None:
        """Hold a snapshot and no entries."""
        self.set_snapshot(log_records.encode_snapshot(snapshot))
        self.entries, self.digests, self.entry_bytes = [], [], 0

    def compact_to(self, snapshot: log_records.EncodedSnapshot) -> None:
        """Replace the entries up to a snapshot's sequence by that snapshot."""
        self.remove(slice(0, snapshot.sequence - self.snapshot.sequence))
        self.set_snapshot(snapshot)

    def truncate_to(self, count: int) -> None:
        """Hold no more than so many entries behind the snapshot."""
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
        """Hold another snapshot in front of the same entries."""
        self.snapshot, self.snapshot_bytes = snapshot, snapshot.size()

    def take_snapshot_body(self) -> bytes:
        """The snapshot's bytes in one piece, while its own pieces are freed.

        A start takes one copy of the snapshot beside the state that is built from it, and not two.
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
        """The digest at a sequence; None in front of the snapshot or behind the end."""
        offset = sequence - self.snapshot.sequence
        if offset == 0:
            return self.snapshot.digest
        return self.digests[offset - 1] if 0 < offset <= len(self.digests) else None

    def has_position(self, position: log_records.LogPosition | log_records.RepairGoal) -> bool:
        """Whether this log agrees with another up to a position of that one."""
        return self.digest_at(position.sequence) == position.digest

    def comparison_positions(self) -> tuple[log_records.LogPosition, ...]:
        """The positions by which another replica's log is compared: at the ends of ranges, and one by one at the end.

        Those at the end are more than a primary has in flight, so that one of them is where two members of a record
        begin to differ: a repair never truncates a backup below what was acknowledged.
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
        """Those entries behind a position that this log lacks.

        Raises:
            RequestError: The logs differ at the position, or this one holds other entries behind it.

        """
        present_count = self.last_position().sequence - previous.sequence
        present = tuple(self.entries[len(self.entries) - present_count :]) if present_count > 0 else ()
        if present_count < 0 or not self.has_position(previous) or present != entries[:present_count]:
            raise result.RequestError(result.ResultCode.NOT_PRIMARY, detail="the copies differ")
        return entries[present_count:]

    def read_after(self, position: log_records.LogPosition, max_bytes: int) -> LogTail:
        """What this log holds behind a position of another, at most so many bytes but at least one entry.

        Nothing where the logs differ at the position: neither may take the other's entries then.
        """
        snapshot, offset = None, position.sequence - self.snapshot.sequence
        if offset < 0:
            snapshot, offset = self.snapshot, 0
        elif not self.has_position(position):
            return LogTail(None, ())
        chosen: list[log_records.Entry] = []
        size = 0
        for entry in self.entries[offset:]:
            if chosen and size + len(entry.body) > max_bytes:
                break
            chosen.append(entry)
            size += len(entry.body)
        return LogTail(snapshot, tuple(chosen))
