"""Finds what holds the event loop for too long.

All roles of a process run on one loop, so a step that computes for long delays
heartbeats, leases and requests alike.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import structlog

from cranberryfield.core.clock import Clock, monotonic_clock
from cranberryfield.core.metrics import Metrics

__all__ = ["LoopMonitor", "timed_step"]

CHECK_INTERVAL_S = 0.5
#: Lateness from which the loop counts as held, in seconds.
HELD_S = 0.1
#: Duration of a step from which it is logged, in seconds.
SLOW_STEP_S = 0.02
MS_PER_S = 1000

logger = structlog.get_logger(__name__)


class _SlowestStep:
    """The step that took longest since the last check."""

    def __init__(self):
        self.name: str | None = None
        self.duration_s = 0.0

    def record(self, name: str, duration_s: float) -> None:
        if duration_s > self.duration_s:
            self.name, self.duration_s = name, duration_s

    def take(self) -> str | None:
        name = self.name
        self.name, self.duration_s = None, 0.0
        return name


_slowest_step = _SlowestStep()


@contextmanager
def timed_step(
    name: str, processor_time: Callable[[], float] = time.thread_time
) -> Iterator[None]:
    """Log a step without I/O that takes `SLOW_STEP_S` of processor time or more.

    Parameters
    ----------
    name : str
        Name of the step, for the log and for `LoopMonitor`.
    processor_time : callable
        Returns the processor time of the thread in seconds.

    Examples
    --------
    >>> with timed_step("plan"):
    ...     pass
    """
    started_at = processor_time()
    try:
        yield
    finally:
        duration_s = processor_time() - started_at
        _slowest_step.record(name, duration_s)
        if duration_s >= SLOW_STEP_S:
            took_ms = round(duration_s * MS_PER_S, 1)
            logger.warning("slow step", step=name, took_ms=took_ms)


class LoopMonitor:
    """Measures how late the event loop runs its timers.

    Parameters
    ----------
    metrics : Metrics
        Receives the lateness, as `loop_lateness`.
    clock : Clock
        Monotonic time that does not count suspensions.
    """

    def __init__(self, metrics: Metrics, clock: Clock = monotonic_clock):
        self._metrics = metrics
        self._clock = clock

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            due_at = self._clock() + CHECK_INTERVAL_S
            await anyio.sleep(CHECK_INTERVAL_S)
            self.record(max(0.0, self._clock() - due_at))

    def record(self, lateness_s: float) -> None:
        """Record the lateness of one timer, in seconds."""
        self._metrics.observe("loop_lateness", lateness_s)
        step = _slowest_step.take()
        if lateness_s >= HELD_S:
            logger.warning(
                "event loop held",
                late_ms=round(lateness_s * MS_PER_S, 1),
                slowest_step=step,
            )
