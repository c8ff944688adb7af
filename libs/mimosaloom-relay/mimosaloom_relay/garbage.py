"""Garbage collection of a process that allocates few long-lived objects."""

import gc

__all__ = ["configure_garbage_collection"]

# Allocated container objects between two collections of the youngest generation. A
# request leaves few reference cycles, but at Python's default of 700 the collector runs
# several times for each request.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 100


def configure_garbage_collection() -> None:
    """Collect seldom, and never scan the objects that exist after the start.

    To be called once all modules are imported. Reference counting frees most objects
    of a request; the collector only finds those in reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
