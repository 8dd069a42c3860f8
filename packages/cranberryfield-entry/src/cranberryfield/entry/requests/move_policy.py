"""Rules for moving running attempts to other upstreams; no I/O."""

from enum import Enum

import msgspec

__all__ = [
    "MoveCause",
    "TokenGapEstimator",
    "requested_tokens",
    "should_move",
    "silence_limit_s",
]

#: Weight of the newest gap in the exponential moving average.
GAP_WEIGHT = 0.1


class MoveCause(Enum):
    """Cause of ending an attempt before its answer is complete."""

    LEAVING = "upstream_reclaim"
    SILENT = "silent_connection"
    BROKEN = "upstream_lost"
    HOST_LOST = "host_lost"


class TokenGapEstimator:
    """Moving average of the time between the events of one stream.

    Parameters
    ----------
    started_at : float
        Monotonic time in seconds of the stream's start.
    """

    __slots__ = ("events", "heard_at", "mean_s")

    def __init__(self, started_at: float):
        self.heard_at = started_at
        self.events = 0
        self.mean_s = 0.0

    def record_events(self, now: float, events: int) -> None:
        """Record the arrival of `events` events at `now`, in seconds."""
        if self.events:
            gap_s = (now - self.heard_at) / events
            self.mean_s += GAP_WEIGHT * (gap_s - self.mean_s)
        self.events += events
        self.heard_at = now


def silence_limit_s(
    gap: TokenGapEstimator, factor: float, floor_s: float, first_event_s: float
) -> float:
    """Return the time without events after which a stream counts as silent.

    Parameters
    ----------
    gap : TokenGapEstimator
        Measured time between its events.
    factor : float
        Limit as a multiple of the mean gap.
    floor_s : float
        Lower bound of the limit, in seconds.
    first_event_s : float
        Limit before the first event, in seconds.

    Returns
    -------
    float
        Limit in seconds.

    Examples
    --------
    >>> gap = TokenGapEstimator(0.0)
    >>> silence_limit_s(gap, 8.0, 1.0, 10.0)
    10.0
    >>> for number in range(1, 200):
    ...     gap.record_events(number * 0.5, 1)
    >>> round(silence_limit_s(gap, 8.0, 1.0, 10.0), 2)
    4.0
    """
    if not gap.events:
        return first_event_s
    return max(floor_s, factor * gap.mean_s)


def should_move(
    tokens_left: int | None, gap_s: float, left_s: float, margin_s: float
) -> bool:
    """Return whether to move a run off a leaving upstream now.

    Parameters
    ----------
    tokens_left : int or None
        Upper bound of the tokens still to come; None if not known.
    gap_s : float
        Mean time between tokens, in seconds; 0 if not known.
    left_s : float
        Time until the upstream leaves, in seconds.
    margin_s : float
        Upper bound of the duration of a move, in seconds.

    Returns
    -------
    bool
        False while the run can still finish there or can move later.

    Examples
    --------
    >>> should_move(10, 0.02, 2.0, 0.8)
    False
    >>> should_move(100, 0.02, 2.0, 0.8)
    True
    >>> should_move(None, 0.02, 0.5, 0.8)
    True
    """
    if left_s <= margin_s:
        return True
    if tokens_left is None or not gap_s:
        return False
    return tokens_left * gap_s > left_s - margin_s


class _Limits(msgspec.Struct):
    max_tokens: int | None = None


def requested_tokens(body: bytes) -> int | None:
    """Return the ``max_tokens`` of a completion request, or None."""
    try:
        return msgspec.json.decode(body, type=_Limits).max_tokens
    except msgspec.DecodeError:
        return None
