"""Which nodes should be voters (witnesses) where the core has them: a pure choice with little movement."""

MAX_WITNESSES = 9
"""More voters would make each ballot and renewal dearer and bear no loss that matters."""


def choose_witnesses(
    present: tuple[str, ...], cores: tuple[str, ...], lost: frozenset[str], limit: int = MAX_WITNESSES
) -> tuple[str, ...]:
    """The voters to have: the present ones that are not lost, then other live cores, an odd number.

    ``cores`` are the live core nodes in ring order, ``lost`` the present voters that have been gone for long. A lost
    one is replaced by a live core that is no voter yet; without such a core it stays, as it may come back. There are
    never fewer voters than before.

    Example: ``choose_witnesses(("a", "b", "c"), ("a", "b", "d"), frozenset({"c"})) == ("a", "b", "d")``
    """
    remaining = [address for address in present if address not in lost]
    spare = [address for address in cores if address not in present]
    available = min(limit, len(remaining) + len(spare))
    size = max(len(present), available - (available + 1) % 2)
    return tuple(sorted([*remaining, *spare, *sorted(lost & set(present))][:size]))
