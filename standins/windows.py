"""Counts of events in sliding windows of time."""

from collections.abc import Sequence

__all__ = ["most_in_window"]


def most_in_window(times: Sequence[float], window_s: float) -> int:
    """Return the largest number of events in any window.

    Parameters
    ----------
    times : sequence of float
        Times of the events in seconds, in order.
    window_s : float
        Length of the window in seconds, without its end.

    Examples
    --------
    >>> most_in_window([0.0, 1.0, 3.9, 4.0], 4.0)
    3
    """
    most, first = 0, 0
    for last, time in enumerate(times):
        while time - times[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
