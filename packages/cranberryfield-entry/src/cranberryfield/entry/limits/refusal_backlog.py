"""Backlog of refused requests, which decides when their callers may return."""

from dataclasses import dataclass

__all__ = ["RefusalBacklog", "record_refusal"]

MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class RefusalBacklog:
    """Cost of the requests that were refused and may come back.

    Attributes
    ----------
    cost : float
        Refused cost that the share had not covered at `at`.
    at : float
        Monotonic time in seconds of the last refusal.
    """

    cost: float = 0.0
    at: float = 0.0


def record_refusal(
    backlog: RefusalBacklog, cost: float, share_per_s: float, now: float
) -> float:
    """Record a refused request and return its retry delay in seconds.

    Parameters
    ----------
    backlog : RefusalBacklog
        Changed in place.
    cost : float
        Cost of the request.
    share_per_s : float
        This host's even share of the limit per second.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    float
        Time in which the even share covers all refused cost, so that retries do
        not displace new requests.

    Examples
    --------
    >>> backlog = RefusalBacklog()
    >>> [record_refusal(backlog, 500.0, 1_000.0, now) for now in (5.0, 5.1, 5.2, 9.0)]
    [0.5, 0.9, 1.3, 0.5]
    """
    elapsed_s = max(0.0, now - backlog.at)
    remaining = max(0.0, backlog.cost - elapsed_s * share_per_s)
    backlog.cost, backlog.at = remaining + cost, now
    return round(max(MIN_RETRY_AFTER_S, backlog.cost / share_per_s), 3)
