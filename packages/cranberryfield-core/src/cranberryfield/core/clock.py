"""Clocks, passed as arguments to the code that depends on the time."""

import time
from collections.abc import Callable
from functools import partial

__all__ = ["Clock", "boot_time_clock", "monotonic_clock", "wall_clock"]

#: Function that returns the time in seconds since an arbitrary origin. The time
#: never goes back, except for that of `wall_clock`.
Clock = Callable[[], float]

monotonic_clock: Clock = time.monotonic

#: Monotonic clock that includes the time while the host was suspended. Leases
#: are measured with it, so that a host does not trust an expired one on resume.
#: Falls back to the monotonic clock where ``CLOCK_BOOTTIME`` is missing.
boot_time_clock: Clock = (
    partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    if hasattr(time, "CLOCK_BOOTTIME")
    else time.monotonic
)

#: Seconds since 1970 by this host's system clock; may be wrong and may jump.
wall_clock: Clock = time.time
