"""How much of what callers send a group may hold, so that no machine's memory is exceeded when others are lost."""

import dataclasses

from aspencroft.sessions import call_sessions

PROCESS_BYTES = 58_000_000
"""A storage process without any state, and room for what is under way."""
MEMORY_PER_PAYLOAD = 2.1
"""Bytes of memory for each byte of history in turns of 3 KB: objects, journal and snapshot with it (docs/ledger.md)."""
LEAST_BYTES = 1 << 20
MAX_GROUP_BYTES = call_sessions.MAX_PAYLOAD_BYTES
BASE_NUMERATOR, BASE_DENOMINATOR = 3, 4
"""The bases of all groups together take this part of a machine's memory; the rest goes to those that need more."""


@dataclasses.dataclass(frozen=True)
class PayloadPlan:
    """How a machine divides its memory for history and kept answers among session groups, in bytes of these.

    ``groups`` is the number of session groups, ``replicas`` how many of them the machine may have to hold.
    """

    total_bytes: int
    base_bytes: int
    groups: int
    replicas: int


def plan(memory_limit: int, groups: int, replicas: int) -> PayloadPlan:
    """Divide the bytes that a process may take, 0 where that is not known: then each group has its largest limit.

    Example: ``plan(290_000_000, 12, 12) == PayloadPlan(110_476_190, 6_904_761, 12, 12)``
    """
    base = payload_limit(memory_limit, replicas)
    if memory_limit:
        base = max(LEAST_BYTES, base * BASE_NUMERATOR // BASE_DENOMINATOR)
    total = int((memory_limit - PROCESS_BYTES) / MEMORY_PER_PAYLOAD)
    return PayloadPlan(max(total, replicas * base), base, groups, replicas)


def replicas_on_a_disk(groups: int, copies: int, disks: int, losses: int) -> int:
    """How many replicas a disk holds at most where they are spread evenly and as many disks are lost as is borne.

    Example: ``replicas_on_a_disk(groups=12, copies=3, disks=10, losses=2) == 5``
    """
    left = max(1, disks - losses)
    return min(groups, -(-groups * copies // left))


def payload_limit(memory_limit: int, replicas: int) -> int:
    """Bytes of history and kept answers for each of some equal groups in the memory of a process, 0 where not known.

    Never more than the bound that a group has anyway, which keeps starts and repairs short.

    Example: ``payload_limit(150_000_000, 5) == 8_761_904``
    """
    if not memory_limit:
        return call_sessions.MAX_PAYLOAD_BYTES
    share = int((memory_limit - PROCESS_BYTES) / MEMORY_PER_PAYLOAD / replicas)
    return min(call_sessions.MAX_PAYLOAD_BYTES, max(LEAST_BYTES, share))
