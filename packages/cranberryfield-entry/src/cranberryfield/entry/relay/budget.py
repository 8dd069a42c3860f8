"""Bounds what is sent beyond the first attempt of each request.

The bound holds over all hosts: each earns a part of the ratio by its own
requests and has its share of a fixed allowance for each window.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName

__all__ = ["RetryBudget", "note_request", "take_retry"]

#: Part of the permitted total that is used, for windows that slide.
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
        Further retries permitted to all hosts together in one window.
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
        """Return how many retries may be saved up."""
        return max(1.0, USED_PART * self.allowance / max(1, self.hosts()))

    def refilled(self, service: ServiceName, now: float) -> _Saved:
        """Return what is saved for a service, with the allowance since."""
        most = self.most()
        saved = self._saved.get(service)
        if saved is None:
            saved = self._saved[service] = _Saved(most, now)
        gained = (now - saved.at) * most / self.window_s
        saved.retries = min(most, saved.retries + gained)
        saved.at = now
        return saved


def note_request(budget: RetryBudget, service: ServiceName, now: float) -> None:
    """Earn a part of a retry by a request."""
    saved = budget.refilled(service, now)
    saved.retries = min(budget.most(), saved.retries + USED_PART * budget.ratio)


def take_retry(budget: RetryBudget, service: ServiceName, now: float) -> bool:
    """Spend one retry; return False if there is none left.

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
