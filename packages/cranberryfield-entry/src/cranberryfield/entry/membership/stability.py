"""Flap damping and failure backoff for upstreams."""

from dataclasses import dataclass, replace

__all__ = [
    "STABLE",
    "Stability",
    "after_failure",
    "after_return",
    "after_success",
    "is_suppressed",
    "penalty_at",
]

#: Half-life of the return penalty, in seconds.
HALF_LIFE_S = 20.0
RETURN_PENALTY = 1.0
MAX_PENALTY = 6.0
#: Penalty above which an upstream is suppressed.
SUPPRESS_ABOVE = 2.5
#: Penalty below which a suppressed upstream is used again.
REUSE_BELOW = 1.0
#: Pause after the first failed connection, doubled with each further failure.
FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 8.0


@dataclass(frozen=True, slots=True)
class Stability:
    """Recent failures and returns of an upstream.

    Attributes
    ----------
    penalty : float
        Return penalty at `changed_at`.
    changed_at : float
        Monotonic time in seconds of the last return.
    suppressed : bool
        Whether, at `changed_at`, the penalty had exceeded `SUPPRESS_ABOVE` and
        not yet fallen below `REUSE_BELOW`.
    failures : int
        Number of consecutive failed connection attempts.
    paused_until : float
        Monotonic time in seconds until which the upstream is avoided.
    """

    penalty: float = 0.0
    changed_at: float = 0.0
    suppressed: bool = False
    failures: int = 0
    paused_until: float = float("-inf")


#: Stability of an upstream without failures or returns.
STABLE = Stability()


def penalty_at(stability: Stability, now: float) -> float:
    """Return the penalty after exponential decay.

    Examples
    --------
    >>> penalty_at(Stability(penalty=2.0, changed_at=0.0), HALF_LIFE_S)
    1.0
    """
    elapsed_s = max(0.0, now - stability.changed_at)
    return stability.penalty * 0.5 ** (elapsed_s / HALF_LIFE_S)


def _is_flap_suppressed(stability: Stability, now: float) -> bool:
    return stability.suppressed and penalty_at(stability, now) >= REUSE_BELOW


def after_return(stability: Stability, now: float) -> Stability:
    """Return the stability after an upstream that was gone has returned."""
    penalty = min(MAX_PENALTY, penalty_at(stability, now) + RETURN_PENALTY)
    suppressed = _is_flap_suppressed(stability, now) or penalty > SUPPRESS_ABOVE
    return Stability(penalty, now, suppressed)


def after_failure(stability: Stability, now: float) -> Stability:
    """Return the stability after a failed connection attempt."""
    failures = stability.failures + 1
    pause_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2 ** (failures - 1))
    return replace(stability, failures=failures, paused_until=now + pause_s)


def after_success(stability: Stability) -> Stability:
    """Return the stability after a successful connection; resets failures."""
    if not stability.failures:
        return stability
    return replace(stability, failures=0, paused_until=float("-inf"))


def is_suppressed(stability: Stability, now: float) -> bool:
    """Return whether other upstreams should be preferred."""
    return now < stability.paused_until or _is_flap_suppressed(stability, now)
