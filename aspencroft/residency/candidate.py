"""What a worker may keep: identity, size, chance of reuse and cheapest cost of getting it back."""

import dataclasses
import datetime

from aspencroft.runtime import clock

MODEL, ADAPTER, KV = "model", "adapter", "kv"
BANDWIDTH = 24.3e9
WEIGHT_STARTUP = clock.ZERO
KV_STARTUP = clock.seconds(0.000707)
KV_BYTES = 131_072
LINEAR, SQUARE = 6.2e-5, 1.24e-9


@dataclasses.dataclass(frozen=True)
class Candidate:
    """One thing that could stay in a worker's memory."""

    kind: str
    name: str
    size: int
    chance: float
    cost: datetime.timedelta
    base: str

    @property
    def value(self) -> float:
        """Expected recovery work avoided, in seconds."""
        return self.chance * self.cost.total_seconds()

    @property
    def density(self) -> float:
        """Value for each byte."""
        return self.value / self.size


def reload_cost(size: int, startup: datetime.timedelta) -> datetime.timedelta:
    """Startup and transfer of so many bytes from the host."""
    return startup + clock.seconds(size / BANDWIDTH)


def recompute_cost(tokens: int) -> datetime.timedelta:
    """Prefill anew, fitted to the paper's 0.18, 2.64 and 8.89 s at 2.7K, 27.5K and 61.8K tokens."""
    return clock.seconds(LINEAR * tokens + SQUARE * tokens * tokens)


def recovery_cost(tokens: int, on_host: bool) -> datetime.timedelta:
    """The cheaper of reload and recompute for parked KV.

    Example: ``recovery_cost(27_500, True) < recovery_cost(27_500, False)``
    """
    recompute = recompute_cost(tokens)
    return min(recompute, reload_cost(tokens * KV_BYTES, KV_STARTUP)) if on_host else recompute
