"""Time sources passed to every decision."""

import time
from collections.abc import Callable
from functools import partial

__all__ = ["Clock", "monotonic_clock", "suspension_clock", "wall_clock"]

#: Returns seconds from an arbitrary origin; never goes back.
Clock = Callable[[], float]

monotonic_clock: Clock = time.monotonic

#: Monotonic, and counts the time in which the host was suspended; leases are
#: measured by it, so that a host that wakes up does not trust an old one.
suspension_clock: Clock = (
    partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    if hasattr(time, "CLOCK_BOOTTIME")
    else time.monotonic
)

#: Seconds since 1970 as this host believes; may be wrong and may jump.
wall_clock: Clock = time.time
