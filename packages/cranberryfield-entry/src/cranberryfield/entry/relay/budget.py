"""Retry budget of the relay, bounded per time window over all hosts.

Each host earns retries in proportion to its own requests and receives an equal
share of a fixed allowance per window.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName

__all__ = ["RetryBudget", "note_request", "take_retry"]

#: Fraction of the permitted total that is granted, so that the limit also holds
#: over a sliding window, in which saved and newly earned retries add up.
USED_PART = 0.5


@dataclass(slots=True)
class _Saved:
    retries: float
    at: float


@dataclass(slots=True)
class RetryBudget:
    """Section of the blackboard: retries that this host may still make.

    Attributes
    ----------
    ratio : float
        Retries permitted per request.
    allowance : float
        Additional retries permitted per window, for all hosts together.
    window_s : float
        Length of the window in seconds.
    hosts : callable
        Returns the number of hosts that share the allowance.
    """

    ratio: float
    allowance: float
    window_s: float
    hosts: Callable[[], int]
    _saved: dict[ServiceName, _Saved] = field(default_factory=dict)

    def most(self) -> float:
        """Return the maximum number of retries that a service can accumulate."""
        return max(1.0, USED_PART * self.allowance / max(1, self.hosts()))

    def refilled(self, service: ServiceName, now: float) -> _Saved:
        """Refill the balance of a service from the allowance and return it."""
        most = self.most()
        saved = self._saved.get(service)
        if saved is None:
            saved = self._saved[service] = _Saved(most, now)
        gained = (now - saved.at) * most / self.window_s
        saved.retries = min(most, saved.retries + gained)
        saved.at = now
        return saved


def note_request(budget: RetryBudget, service: ServiceName, now: float) -> None:
    """Credit a request's fraction of a retry to the service's balance."""
    saved = budget.refilled(service, now)
    saved.retries = min(budget.most(), saved.retries + USED_PART * budget.ratio)


def take_retry(budget: RetryBudget, service: ServiceName, now: float) -> bool:
    """Spend one retry; return False if less than one is left.

    Examples
    --------
    >>> budget = RetryBudget(0.2, allowance=4.0, window_s=10.0, hosts=lambda: 2)
    >>> take_retry(budget, "drafts", 0.0), take_retry(budget, "drafts", 0.0)
    (True, False)
    """
    saved = budget.refilled(service, now)
    if saved.retries < 1.0:
        return False
    saved.retries -= 1.0
    return True
