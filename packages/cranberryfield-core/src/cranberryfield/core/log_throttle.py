"""Log lines of events that outsiders can cause as often as they like."""

import math

import structlog

from cranberryfield.core.clock import Clock

__all__ = ["LogThrottle"]

#: Time between two lines of one event, in seconds.
INTERVAL_S = 10.0
#: Maximum number of events that are told apart.
MAX_EVENTS = 100

logger = structlog.get_logger(__name__)


class LogThrottle:
    """Logs each event at most once in `INTERVAL_S`, with how often it happened.

    Parameters
    ----------
    clock : Clock
        Monotonic time.

    Examples
    --------
    >>> from structlog.testing import capture_logs
    >>> now = 0.0
    >>> throttle = LogThrottle(lambda: now)
    >>> with capture_logs() as lines:
    ...     for now in (0.0, 1.0, 2.0, 11.0):
    ...         throttle.warn("connection refused", listener="callers")
    >>> [line["count"] for line in lines]
    [1, 3]
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._logged_at: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def warn(self, event: str, **fields: str) -> None:
        """Count an event, and log it unless it was logged shortly before."""
        key = f"{event} {sorted(fields.items())}"
        if key not in self._counts and len(self._counts) >= MAX_EVENTS:
            key = event = "other events"
        self._counts[key] = self._counts.get(key, 0) + 1
        now = self._clock()
        if now - self._logged_at.get(key, -math.inf) < INTERVAL_S:
            return
        self._logged_at[key] = now
        logger.warning(event, count=self._counts[key], **fields)
        self._counts[key] = 0
