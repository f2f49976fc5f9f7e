"""A worker's keep plan: target and ready sets, and the row of orders between them."""

import dataclasses

from aspencroft.residency import candidate, selection
from aspencroft.workers import adapter

DEVICE, HOST, LOADING, OFFLOADING = "device", "host", "loading", "offloading"


@dataclasses.dataclass(frozen=True)
class KeepPlan:
    """What one worker is to hold, what it holds ready, and what is protected."""

    worker: str
    target: tuple[str, ...]
    ready: tuple[str, ...]
    protected: tuple[str, ...]
    shortfall: int


@dataclasses.dataclass(frozen=True)
class Step:
    """The orders that may be given now; those that wait for an offload's end come in a later step."""

    release: tuple[str, ...]
    offload: tuple[str, ...]
    load: tuple[str, ...]
    restore: tuple[str, ...]

    def empty(self) -> bool:
        """Whether there is nothing to order."""
        return not (self.release or self.offload or self.load or self.restore)


def key(kind: str, name: str) -> str:
    """How orders and reports name a thing.

    Example: ``key("model", "coder") == "model:coder"``
    """
    return f"{kind}:{name}"


def step(held: dict[str, adapter.Kept], wanted: dict[str, int], protected: frozenset[str], memory: int) -> Step:
    """The orders that lead from what is held to what is wanted without ever overfilling the memory.

    Only what is displaced goes: an unwanted thing stays until its room is needed. A KV part is
    offloaded, never just released; its bytes count as taken until the worker says that the offload
    ended. What is protected stays.

    Example: ``step({}, {"model:coder": 15}, frozenset(), 72).load == ("model:coder",)``
    """
    used = sum(one.size for one in held.values() if one.place != HOST)
    release, offload, load, restore = [], [], [], []
    missing = sum(size for name, size in wanted.items() if name not in held or held[name].place == HOST)
    short = used + missing - memory - sum(one.size for one in held.values() if one.place == OFFLOADING)
    victims = [
        one
        for name, one in sorted(held.items())
        if name not in wanted and name not in protected and not one.busy and one.place == DEVICE
    ]
    for one in sorted(victims, key=lambda victim: victim.name.startswith(candidate.KV)):
        if short <= 0:
            break
        short -= one.size
        if one.name.startswith(candidate.KV):
            offload.append(one.name)
        else:
            release.append(one.name)
            used -= one.size
    for name, size in wanted.items():
        one = held.get(name)
        if one is not None and one.place != HOST:
            continue
        if used + size > memory:
            continue
        used += size
        if one is None:
            if not name.startswith(candidate.KV):
                load.append(name)
        else:
            restore.append(name) if name.startswith(candidate.KV) else load.append(name)
    return Step(tuple(release), tuple(offload), tuple(load), tuple(restore))


def wanted_of(chosen: selection.Selection, protected: dict[str, int]) -> dict[str, int]:
    """Names and sizes of the target set, protected things first, then by density."""
    wanted = dict(protected)
    for one in sorted(chosen.chosen, key=lambda single: -single.density):
        wanted[key(one.kind, one.name)] = one.size
    return wanted
