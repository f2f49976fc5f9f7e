"""The record of rejected orders that a later state could accept, so that a rejected order stays rejected.

An order whose condition is below the current version can never become valid, as versions only increase. An order whose
condition is the current version or above it could: when that version is reached, or when another writer adds a
resource that it lacked. Its rejection is therefore an event in the control group's log, and it is reported only after
all members hold it. The event is discarded when the version passes the condition, so the record is limited to orders
that could still be accepted.
"""

import collections.abc
import dataclasses

from aspencroft.transport import codec

MAX_REFUSALS = 4096
"""The bound of the record; when it is full, a rejection that would need an entry is reported as unknown outcome."""


@codec.kind(188)
@dataclasses.dataclass(frozen=True)
class OrderRefused:
    """Event: an order was rejected, with the number of the result that was reported."""

    version: int
    condition: int
    digest: bytes
    result: int


class RefusedOrders:
    """The rejections that must last, by version and digest of the order.

    Example: ``len(RefusedOrders()) == 0``
    """

    def __init__(self) -> None:
        self.refusals: dict[tuple[int, bytes], OrderRefused] = {}

    def __len__(self) -> int:
        return len(self.refusals)

    def find(self, version: int, condition: int, digest: bytes) -> OrderRefused | None:
        """Return the rejection of an order, if it is on record."""
        refusal = self.refusals.get((version, digest))
        return refusal if refusal is not None and refusal.condition == condition else None

    def is_full(self) -> bool:
        """Whether the record has reached its bound."""
        return len(self.refusals) >= MAX_REFUSALS

    def add(self, refused: OrderRefused) -> None:
        """Record a rejection."""
        self.refusals[refused.version, refused.digest] = refused

    def discard_below(self, version: int) -> None:
        """Discard rejections of orders with a condition below a version, as these can never be accepted."""
        if self.refusals:
            self.refusals = {key: refusal for key, refusal in self.refusals.items() if refusal.condition >= version}

    def snapshot(self) -> list[list]:
        """Return the record as JSON types."""
        return [
            [refusal.version, refusal.condition, refusal.digest.hex(), refusal.result]
            for refusal in self.refusals.values()
        ]

    def restore(self, rows: collections.abc.Iterable[list]) -> None:
        """Replace the record with that of a snapshot."""
        self.refusals = {}
        for version, condition, digest, result_number in rows:
            self.add(OrderRefused(version, condition, bytes.fromhex(digest), result_number))
