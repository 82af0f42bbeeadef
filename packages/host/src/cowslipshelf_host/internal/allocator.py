"""Let the C library's allocator return freed memory to the kernel."""

import ctypes

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
LARGE_BYTES = 262_144
"""Size from which a block is mapped by itself, and unmapped when it is freed."""
MAX_ARENAS = 2


def return_freed_memory() -> None:
    """Keep the allocator from holding freed blocks of each thread.

    By default, glibc raises the size from which blocks are mapped by themselves to that
    of the largest one freed, and has eight arenas for each processor. After a burst of
    long bodies every arena keeps the memory of some of them. Other C libraries have no
    `mallopt` and are left as they are.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        return
    mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
    mallopt(M_ARENA_MAX, MAX_ARENAS)
