"""Which nodes should be witnesses where the core keeps the replica set: a pure choice with little movement."""

MOST = 9


def witnesses(
    present: tuple[str, ...], cores: tuple[str, ...], lost: frozenset[str], most: int = MOST
) -> tuple[str, ...]:
    """The witnesses wished for: the present ones that are not lost, then other live cores, an odd number.

    ``cores`` are the live core nodes in ring order, ``lost`` those of the present witnesses that have been gone for
    long. A lost
    one is replaced by a live core that is no witness yet; without such a one it stays, as it may come back.
    There are never
    fewer witnesses than before.

    Example: ``witnesses(("a", "b", "c"), ("a", "b", "d"), frozenset({"c"})) == ("a", "b", "d")``
    """
    kept = [one for one in present if one not in lost]
    spare = [one for one in cores if one not in present]
    able = min(most, len(kept) + len(spare))
    size = max(len(present), able - (able + 1) % 2)
    return tuple(sorted([*kept, *spare, *sorted(lost & set(present))][:size]))
