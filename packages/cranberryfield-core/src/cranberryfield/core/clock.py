"""Time source passed to every decision."""

import time
from collections.abc import Callable

__all__ = ["Clock", "monotonic_clock"]

#: Returns seconds from an arbitrary origin; never goes back.
Clock = Callable[[], float]

monotonic_clock: Clock = time.monotonic
