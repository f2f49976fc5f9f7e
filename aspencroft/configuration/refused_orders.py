"""Orders that were refused although a later state could take them: what was refused stays refused.

An order whose condition lies behind the version is refused for good, as versions only grow. One whose condition is the
version or lies ahead of it could become valid: when that version comes, or when another writer adds the resource that
it lacked. Its refusal is an event of the control group, told only once all members hold it. It is forgotten when the
version passes its condition, so the record holds no more than what could still be taken.
"""

import collections.abc
import dataclasses

from aspencroft.transport import codec

MOST_REFUSALS = 4096
"""Refusals on record at once; beyond, an order that would need another one gets no clear answer."""


@codec.kind(188)
@dataclasses.dataclass(frozen=True)
class OrderRefused:
    """Event: an order was refused, with the number of the result that it was told."""

    version: int
    condition: int
    digest: bytes
    result: int


class RefusedOrders:
    """The refusals that must last, by version and digest of the order.

    Example: ``len(RefusedOrders()) == 0``
    """

    def __init__(self) -> None:
        self.refusals: dict[tuple[int, bytes], OrderRefused] = {}

    def __len__(self) -> int:
        return len(self.refusals)

    def find(self, version: int, condition: int, digest: bytes) -> OrderRefused | None:
        """The refusal of this very order, if it is on record."""
        found = self.refusals.get((version, digest))
        return found if found is not None and found.condition == condition else None

    def is_full(self) -> bool:
        """Whether no other refusal may be recorded now."""
        return len(self.refusals) >= MOST_REFUSALS

    def add(self, refused: OrderRefused) -> None:
        """Record a refusal."""
        self.refusals[refused.version, refused.digest] = refused

    def forget_below(self, version: int) -> None:
        """Forget the refusals of orders that build on what was before a version: they can never be taken."""
        if self.refusals:
            self.refusals = {key: kept for key, kept in self.refusals.items() if kept.condition >= version}

    def snapshot(self) -> list[list]:
        """The record as JSON's types."""
        return [[kept.version, kept.condition, kept.digest.hex(), kept.result] for kept in self.refusals.values()]

    def restore(self, shown: collections.abc.Iterable[list]) -> None:
        """Become what a snapshot shows."""
        self.refusals = {}
        for version, condition, digest, number in shown:
            self.add(OrderRefused(version, condition, bytes.fromhex(digest), number))
