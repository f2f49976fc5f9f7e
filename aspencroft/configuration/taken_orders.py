"""A compact record of accepted orders, sorted by version, by which a repeated order is recognised.

Versions strictly increase, so an entry is found by bisection. The record is bounded: the oldest entries are discarded,
and the horizon is the highest version among them. An order at or below the horizon must not be rejected, because it
may have been accepted.
"""

import base64
import bisect
import dataclasses
import struct

from aspencroft.transport import codec

DIGEST_BYTES = 16
MAX_RECORDS = 1 << 16
MAX_RECORDS_IN_OLD_SNAPSHOT = 256
RECORD = struct.Struct(f">QQQ{DIGEST_BYTES}s")


@codec.kind(84)
@dataclasses.dataclass(frozen=True)
class Taken:
    """The record of an accepted configuration: its version, its digest and the plan revision that it led to."""

    version: int
    digest: bytes
    revision: str


class TakenOrders:
    """Versions, digests and plan revisions of the accepted orders.

    Example: ``TakenOrders().find(7) is None``
    """

    def __init__(self) -> None:
        self.records = bytearray()
        self.horizon = 0

    def __len__(self) -> int:
        return len(self.records) // RECORD.size

    def version_at(self, position: int) -> int:
        """Return the version of the record at a position."""
        return RECORD.unpack_from(self.records, position * RECORD.size)[0]

    def find(self, version: int) -> Taken | None:
        """Return the order that was accepted as a version, if it is still on record."""
        position = bisect.bisect_left(range(len(self)), version, key=self.version_at)
        if position == len(self) or self.version_at(position) != version:
            return None
        _, epoch, number, digest = RECORD.unpack_from(self.records, position * RECORD.size)
        return Taken(version, digest, f"{epoch}.{number}")

    def may_be_discarded(self, version: int) -> bool:
        """Whether the record of an order with this version may have been discarded."""
        return version <= self.horizon

    def add(self, taken: Taken) -> None:
        """Record an order, whose version is above all others, and discard the oldest records beyond the bound."""
        epoch, number = map(int, taken.revision.split("."))
        self.records += RECORD.pack(taken.version, epoch, number, taken.digest)
        excess = len(self) - MAX_RECORDS
        if excess > 0:
            self.horizon = self.version_at(excess - 1)
            del self.records[: excess * RECORD.size]

    def snapshot(self) -> dict:
        """Return the whole record as JSON types."""
        return {"horizon": self.horizon, "records": base64.b64encode(self.records).decode()}

    def restore(self, content: dict | list) -> None:
        """Replace the record with that of a snapshot.

        Earlier software wrote a list of the last 256 orders; if that list is full, older orders may be missing and
        it gets a horizon.
        """
        if isinstance(content, dict):
            self.horizon, self.records = content["horizon"], bytearray(base64.b64decode(content["records"]))
            return
        self.horizon, self.records = 0, bytearray()
        for version, digest, revision in content:
            self.add(Taken(version, bytes.fromhex(digest), revision))
        if len(content) >= MAX_RECORDS_IN_OLD_SNAPSHOT:
            self.horizon = max(0, content[0][0] - 1)
