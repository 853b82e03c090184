"""Return of freed memory to the operating system."""

from __future__ import annotations

import ctypes

#: `M_MMAP_THRESHOLD` of `mallopt` in glibc.
_M_MMAP_THRESHOLD = -3
_MMAP_THRESHOLD_BYTES = 64 << 10


def return_large_blocks() -> None:
    """Makes the C library return each freed block of 64 KiB or more to the system at once.

    By default glibc raises the threshold to the size of freed blocks; bodies then lie in the heap,
    whose parts are kept as long as anything behind them is used. Does nothing without `mallopt`.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
