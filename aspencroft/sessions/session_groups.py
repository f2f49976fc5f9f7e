"""Which session group a program, an operation key or a tenant belongs to."""

from aspencroft.replication import replica_changes


def group_of(key: str, session_groups: int) -> int:
    """The id of the session group of a key; groups are numbered from 1, as 0 is the control group.

    Example: ``1 <= group_of("program", 4) <= 4``
    """
    return 1 + replica_changes.hash_of(key) % session_groups
