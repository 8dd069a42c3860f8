"""Retry delays for refused callers."""

from random import Random

__all__ = ["jittered_retry_after_s"]

MIN_BASE_DELAY_S = 1.0
MAX_BASE_DELAY_S = 30.0


def jittered_retry_after_s(backlog_s: float, rng: Random) -> float:
    """Return a retry delay with jitter.

    Callers that are refused at the same time would otherwise return at the same
    time. The delay is uniform between one and three times the backlog; a
    narrower range would collapse in the header, which has whole seconds only.

    Parameters
    ----------
    backlog_s : float
        Time until the waiting work is done, in seconds.
    rng : random.Random
        Seeded generator.

    Returns
    -------
    float
        Delay in seconds; at most three times `MAX_BASE_DELAY_S`.

    Examples
    --------
    >>> 2.0 <= jittered_retry_after_s(2.0, Random(1)) <= 6.0
    True
    """
    base_s = min(MAX_BASE_DELAY_S, max(MIN_BASE_DELAY_S, backlog_s))
    return base_s * (1.0 + 2.0 * rng.random())
