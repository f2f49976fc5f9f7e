"""How much memory this process holds, as the kernel counts it."""

import os
import pathlib

STATM = pathlib.Path("/proc/self/statm")
RESIDENT_FIELD = 1


def resident_bytes(path: pathlib.Path = STATM) -> int:
    """Resident memory of this process in bytes; 0 where the kernel does not tell.

    Example: ``resident_bytes() > 1 << 20``
    """
    try:
        return int(path.read_text().split()[RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0
