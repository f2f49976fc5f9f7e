"""Mapping of programs, operation keys and tenants to session groups."""

from aspencroft.replication import replica_changes


def group_of(key: str, session_groups: int) -> int:
    """Return the id of the session group of a key; ids start at 1, as 0 is the control group.

    Example: ``1 <= group_of("program", 4) <= 4``
    """
    return 1 + replica_changes.hash_of(key) % session_groups
