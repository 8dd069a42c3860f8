"""How far an upstream can be relied on: its failures and its returns."""

from dataclasses import dataclass, replace

__all__ = [
    "STEADY",
    "Stability",
    "after_failure",
    "after_return",
    "after_success",
    "is_suppressed",
    "penalty_at",
]

#: The penalty of each return halves in this time, in seconds.
HALF_LIFE_S = 20.0
RETURN_PENALTY = 1.0
MAX_PENALTY = 6.0
#: An upstream is suppressed above the one and used again below the other.
SUPPRESS_ABOVE = 2.5
REUSE_BELOW = 1.0
#: Pause after the first connection that failed; doubles with each further one.
FAILURE_PAUSE_S = 0.5
MAX_FAILURE_PAUSE_S = 8.0


@dataclass(frozen=True, slots=True)
class Stability:
    """What is remembered of an upstream's failures and returns.

    Attributes
    ----------
    penalty : float
        Weight of its returns as of `changed_at`.
    changed_at : float
        Monotonic time in seconds.
    suppressed : bool
        Whether the penalty has been above the limit and not yet fallen below
        the lower one, as of `changed_at`.
    failures : int
        Fresh connections that failed in a row.
    paused_until : float
        Monotonic time in seconds until which it is left alone.
    """

    penalty: float = 0.0
    changed_at: float = 0.0
    suppressed: bool = False
    failures: int = 0
    paused_until: float = float("-inf")


#: An upstream of which nothing bad is known.
STEADY = Stability()


def penalty_at(stability: Stability, now: float) -> float:
    """Return the penalty after exponential decay.

    Examples
    --------
    >>> penalty_at(Stability(penalty=2.0, changed_at=0.0), HALF_LIFE_S)
    1.0
    """
    elapsed_s = max(0.0, now - stability.changed_at)
    return stability.penalty * 0.5 ** (elapsed_s / HALF_LIFE_S)


def _is_damped(stability: Stability, now: float) -> bool:
    return stability.suppressed and penalty_at(stability, now) >= REUSE_BELOW


def after_return(stability: Stability, now: float) -> Stability:
    """Count one more return of an upstream that had gone."""
    penalty = min(MAX_PENALTY, penalty_at(stability, now) + RETURN_PENALTY)
    suppressed = _is_damped(stability, now) or penalty > SUPPRESS_ABOVE
    return Stability(penalty, now, suppressed)


def after_failure(stability: Stability, now: float) -> Stability:
    """Count a fresh connection that failed."""
    failures = stability.failures + 1
    pause_s = min(MAX_FAILURE_PAUSE_S, FAILURE_PAUSE_S * 2 ** (failures - 1))
    return replace(stability, failures=failures, paused_until=now + pause_s)


def after_success(stability: Stability) -> Stability:
    """Forget the failures of an upstream that was reached."""
    if not stability.failures:
        return stability
    return replace(stability, failures=0, paused_until=float("-inf"))


def is_suppressed(stability: Stability, now: float) -> bool:
    """Say whether other upstreams are to be preferred."""
    return now < stability.paused_until or _is_damped(stability, now)
