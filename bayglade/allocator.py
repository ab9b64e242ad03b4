"""Settings of the C library's allocator."""

from bayglade.logs import event

MMAP_THRESHOLD_OPTION = -3
"""``M_MMAP_THRESHOLD`` of ``mallopt(3)``."""
MMAP_THRESHOLD_BYTES = 128 * 1024


def pin_mmap_threshold() -> None:
    """Have large blocks of memory returned to the system as soon as they are freed.

    By default the C library takes each larger block for a sign that such blocks come often, and serves them
    from its heap from then on. Bodies that grow there side by side leave gaps, which stay with the process.
    """
    # Imported late: it takes 9 ms, and all callers wait for daemons that start.
    import ctypes

    try:
        done = ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
    except (OSError, AttributeError) as error:
        event("INFO", "allocator not adjusted", error=repr(error))
        return
    if not done:
        event("INFO", "allocator not adjusted")
