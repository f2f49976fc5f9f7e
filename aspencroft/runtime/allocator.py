"""Having the C library's allocator give large blocks back to the kernel as soon as they are freed."""

import ctypes

MMAP_THRESHOLD_PARAMETER = -3
TRIM_THRESHOLD_PARAMETER = -1
LARGE_BLOCK_BYTES = 256 << 10
KEPT_FREE_BYTES = 1 << 20


def return_free_pages() -> None:
    """Give all pages back that hold nothing, also amid the heap; after much was freed at once, as it takes a while."""
    try:
        trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return
    trim(0)


def return_large_blocks() -> bool:
    """Map blocks from 256 KiB on apart from the heap for good; whether the C library can be told so.

    By itself glibc raises that size to that of the largest block freed so far. Parts of snapshots (1 MiB) then come
    from the heap, and the small objects that are made between them keep their space from being given back. The
    parameters are those of mallopt(3).
    """
    try:
        set_parameter = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    mapped = set_parameter(MMAP_THRESHOLD_PARAMETER, LARGE_BLOCK_BYTES)
    trimmed = set_parameter(TRIM_THRESHOLD_PARAMETER, KEPT_FREE_BYTES)
    return bool(mapped and trimmed)
