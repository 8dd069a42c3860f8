"""Retry budget of the relay, bounded per time window over all hosts.

Each host earns retries in proportion to its own requests and receives an equal
share of a fixed allowance per window.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName

__all__ = ["WindowedRetryBudget", "credit_request", "spend_windowed_retry"]

#: Fraction of the permitted total that is granted, so that the limit also holds
#: over a sliding window, in which saved and newly earned retries add up.
GRANTED_FRACTION = 0.5


@dataclass(slots=True)
class _Balance:
    retries: float
    updated_at: float


@dataclass(slots=True)
class WindowedRetryBudget:
    """Section of the blackboard: retries that this host may still make.

    Attributes
    ----------
    ratio : float
        Retries permitted per request.
    allowance : float
        Additional retries permitted per window, for all hosts together.
    window_s : float
        Length of the window in seconds.
    host_count : callable
        Returns the number of hosts that share the allowance.
    """

    ratio: float
    allowance: float
    window_s: float
    host_count: Callable[[], int]
    _balances: dict[ServiceName, _Balance] = field(default_factory=dict)

    def max_retries(self) -> float:
        """Return the maximum number of retries that a service can accumulate."""
        return max(1.0, GRANTED_FRACTION * self.allowance / max(1, self.host_count()))

    def refill(self, service: ServiceName, now: float) -> _Balance:
        """Refill the balance of a service from the allowance and return it."""
        limit = self.max_retries()
        balance = self._balances.get(service)
        if balance is None:
            balance = self._balances[service] = _Balance(limit, now)
        refilled = (now - balance.updated_at) * limit / self.window_s
        balance.retries = min(limit, balance.retries + refilled)
        balance.updated_at = now
        return balance


def credit_request(
    budget: WindowedRetryBudget, service: ServiceName, now: float
) -> None:
    """Credit a request's fraction of a retry to the service's balance."""
    balance = budget.refill(service, now)
    balance.retries = min(
        budget.max_retries(), balance.retries + GRANTED_FRACTION * budget.ratio
    )


def spend_windowed_retry(
    budget: WindowedRetryBudget, service: ServiceName, now: float
) -> bool:
    """Spend one retry; return False if less than one is left.

    Examples
    --------
    >>> hosts = lambda: 2
    >>> budget = WindowedRetryBudget(0.2, 4.0, window_s=10.0, host_count=hosts)
    >>> [spend_windowed_retry(budget, "drafts", 0.0) for _ in range(2)]
    [True, False]
    """
    balance = budget.refill(service, now)
    if balance.retries < 1.0:
        return False
    balance.retries -= 1.0
    return True
