"""Selects the core nodes that should be voters (witnesses); a pure function that changes as few voters as possible."""

MAX_WITNESSES = 9
"""Upper limit of voters: more would make each ballot and renewal costlier without tolerating any relevant loss."""


def choose_witnesses(
    present: tuple[str, ...], cores: tuple[str, ...], lost: frozenset[str], limit: int = MAX_WITNESSES
) -> tuple[str, ...]:
    """Return the target voters: the present ones that are not lost, then other live cores; an odd number.

    ``cores`` are the live core nodes in ring order, ``lost`` the present voters that have been down for a long time.
    A lost voter is replaced by a live core that is not a voter yet. Without such a core it stays, as it may come back.
    The number of voters never decreases.

    Example: ``choose_witnesses(("a", "b", "c"), ("a", "b", "d"), frozenset({"c"})) == ("a", "b", "d")``
    """
    remaining = [address for address in present if address not in lost]
    spare = [address for address in cores if address not in present]
    available = min(limit, len(remaining) + len(spare))
    size = max(len(present), available - (available + 1) % 2)
    return tuple(sorted([*remaining, *spare, *sorted(lost & set(present))][:size]))
