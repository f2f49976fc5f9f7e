"""The record of all orders that were taken: compact, in the order of their versions, so that a repeat is known again.

Versions strictly increase, so a record is found by bisection. The record is bounded: the oldest entries go, and the
horizon says up to which version they did. Nothing at or below the horizon may be called refused.
"""

import base64
import bisect
import dataclasses
import struct

from aspencroft.transport import codec

DIGEST_BYTES = 16
MOST_RECORDS = 1 << 16
EARLIER_RECORDS = 256
RECORD = struct.Struct(f">QQQ{DIGEST_BYTES}s")


@codec.kind(84)
@dataclasses.dataclass(frozen=True)
class Taken:
    """What is remembered of a configuration that was taken: its number, its digest, the plan's revision since."""

    version: int
    digest: bytes
    revision: str


class TakenOrders:
    """Versions, digests and plan revisions of the orders that were taken.

    Example: ``TakenOrders().find(7) is None``
    """

    def __init__(self) -> None:
        self.records = bytearray()
        self.horizon = 0

    def __len__(self) -> int:
        return len(self.records) // RECORD.size

    def version_at(self, place: int) -> int:
        """The version of the record at a place."""
        return RECORD.unpack_from(self.records, place * RECORD.size)[0]

    def find(self, version: int) -> Taken | None:
        """The order that was taken under a version, if it is still on record."""
        place = bisect.bisect_left(range(len(self)), version, key=self.version_at)
        if place == len(self) or self.version_at(place) != version:
            return None
        _, epoch, number, digest = RECORD.unpack_from(self.records, place * RECORD.size)
        return Taken(version, digest, f"{epoch}.{number}")

    def forgotten(self, version: int) -> bool:
        """Whether an order under a version may have been taken so long ago that its record is gone."""
        return version <= self.horizon

    def add(self, taken: Taken) -> None:
        """Record an order; its version is above all others. The oldest record goes where there are too many."""
        epoch, number = map(int, taken.revision.split("."))
        self.records += RECORD.pack(taken.version, epoch, number, taken.digest)
        excess = len(self) - MOST_RECORDS
        if excess > 0:
            self.horizon = self.version_at(excess - 1)
            del self.records[: excess * RECORD.size]

    def snapshot(self) -> dict:
        """The whole record as JSON's types."""
        return {"horizon": self.horizon, "records": base64.b64encode(self.records).decode()}

    def restore(self, shown: dict | list) -> None:
        """Become what a snapshot shows; earlier software wrote a list of the last 256 orders: a full one has a
        horizon.
        """
        if isinstance(shown, dict):
            self.horizon, self.records = shown["horizon"], bytearray(base64.b64decode(shown["records"]))
            return
        self.horizon, self.records = 0, bytearray()
        for version, digest, revision in shown:
            self.add(Taken(version, bytes.fromhex(digest), revision))
        if len(shown) >= EARLIER_RECORDS:
            self.horizon = max(0, shown[0][0] - 1)
