"""Times at which refused callers are told to come back."""

from random import Random

__all__ = ["spread_retry_after_s"]

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


def spread_retry_after_s(backlog_s: float, rng: Random) -> float:
    """Return a time to come back, different for each refused caller.

    Callers that are refused together would return together. The time is
    spread evenly over once to three times that for which there is work: the
    header has whole seconds only.

    Parameters
    ----------
    backlog_s : float
        Time until what is waiting is done, in seconds.
    rng : random.Random
        Seeded generator.

    Returns
    -------
    float
        Seconds, within fixed bounds.

    Examples
    --------
    >>> 2.0 <= spread_retry_after_s(2.0, Random(1)) <= 6.0
    True
    """
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, backlog_s))
    return base_s * (1.0 + 2.0 * rng.random())
