"""Retry budget of the relay, bounded per time window over all hosts.

Each host earns retries in proportion to its own requests and receives an equal
share of a fixed allowance per window.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName

__all__ = [
    "WindowedRetryBudget",
    "credit_request",
    "has_windowed_retry",
    "spend_windowed_retry",
]

#: Fraction of the permitted total that is granted, so that the limit also holds
#: over a sliding window, in which saved and newly earned retries add up.
GRANTED_FRACTION = 0.5
#: Parts of a window in which earned retries are counted and expire together.
PARTS_PER_WINDOW = 20


@dataclass(slots=True)
class _EarnedRetries:
    """Retries that were earned in one part of a window and not yet spent."""

    earned_at: float
    retries: float


@dataclass(slots=True)
class _Balance:
    """Retries of one service.

    Attributes
    ----------
    allowance : float
        Retries saved from the allowance.
    updated_at : float
        Monotonic time in seconds of its last refill.
    earned : deque of _EarnedRetries
        Retries earned in the last window, oldest first.
    """

    allowance: float
    updated_at: float
    earned: deque[_EarnedRetries] = field(default_factory=deque)

    @property
    def retries(self) -> float:
        """Retries that may be made now."""
        return self.allowance + sum(part.retries for part in self.earned)

    def spend_one(self) -> None:
        """Take one retry, first from those that expire first."""
        needed = 1.0
        while needed > 0.0 and self.earned:
            taken = min(needed, self.earned[0].retries)
            self.earned[0].retries -= taken
            needed -= taken
            if not self.earned[0].retries:
                self.earned.popleft()
        self.allowance -= needed


@dataclass(slots=True)
class WindowedRetryBudget:
    """Section of the blackboard: retries that this host may still make.

    A host that starts has none, as it may have spent its share before a restart.

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
    started_at : float
        Monotonic time in seconds of the host's start.
    """

    ratio: float
    allowance: float
    window_s: float
    host_count: Callable[[], int]
    started_at: float
    _balances: dict[ServiceName, _Balance] = field(default_factory=dict)

    def max_allowance(self) -> float:
        """Return the maximum that a service can save from the allowance."""
        return max(1.0, GRANTED_FRACTION * self.allowance / max(1, self.host_count()))

    def refill(self, service: ServiceName, now: float) -> _Balance:
        """Bring the balance of a service up to date and return it."""
        limit = self.max_allowance()
        balance = self._balances.get(service)
        if balance is None:
            balance = self._balances[service] = _Balance(0.0, self.started_at)
        refilled = (now - balance.updated_at) * limit / self.window_s
        balance.allowance = min(limit, balance.allowance + refilled)
        balance.updated_at = now
        while balance.earned and now - balance.earned[0].earned_at >= self.window_s:
            balance.earned.popleft()
        return balance


def credit_request(
    budget: WindowedRetryBudget, service: ServiceName, now: float
) -> None:
    """Credit a request's fraction of a retry to the service's balance.

    It expires after a window, so that a retry is never made long after the
    requests that permit it.
    """
    earned = budget.refill(service, now).earned
    retries = GRANTED_FRACTION * budget.ratio
    part_s = budget.window_s / PARTS_PER_WINDOW
    if earned and now - earned[-1].earned_at < part_s:
        earned[-1].retries += retries
    else:
        earned.append(_EarnedRetries(now, retries))


def has_windowed_retry(
    budget: WindowedRetryBudget, service: ServiceName, now: float
) -> bool:
    """Return whether a retry could be spent now."""
    return budget.refill(service, now).retries >= 1.0


def spend_windowed_retry(
    budget: WindowedRetryBudget, service: ServiceName, now: float
) -> bool:
    """Spend one retry; return False if less than one is left.

    Examples
    --------
    >>> hosts = lambda: 2
    >>> budget = WindowedRetryBudget(0.2, 4.0, 10.0, hosts, started_at=0.0)
    >>> [spend_windowed_retry(budget, "drafts", at) for at in (9.0, 11.0, 11.0)]
    [False, True, False]
    """
    if not has_windowed_retry(budget, service, now):
        return False
    budget.refill(service, now).spend_one()
    return True
