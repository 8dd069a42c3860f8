"""Retry budget per service, so that retries do not amplify an overload."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName

__all__ = [
    "INITIAL_RETRIES",
    "MAX_ACCUMULATED_RETRIES",
    "RetryBudgetSection",
    "credit_first_attempt",
    "spend_retry",
]

#: Retries that a service may make before it has earned any.
INITIAL_RETRIES = 10.0
#: Maximum number of retries that a service can accumulate.
MAX_ACCUMULATED_RETRIES = 50.0


@dataclass(slots=True)
class RetryBudgetSection:
    """Section of the blackboard: retries left for each service."""

    retries_left: dict[ServiceName, float] = field(default_factory=dict)


def credit_first_attempt(
    section: RetryBudgetSection, service: ServiceName, ratio: float
) -> None:
    """Credit a service with the fraction of a retry that a first attempt earns.

    Parameters
    ----------
    section : RetryBudgetSection
        Changed in place.
    service : ServiceName
        The service.
    ratio : float
        Retries allowed per first attempt, the setting ``retry_budget``.
    """
    retries_left = section.retries_left.get(service, INITIAL_RETRIES)
    section.retries_left[service] = max(
        retries_left, min(MAX_ACCUMULATED_RETRIES, retries_left + ratio)
    )


def spend_retry(section: RetryBudgetSection, service: ServiceName) -> bool:
    """Spend one retry; return False if less than one is left.

    Examples
    --------
    >>> section = RetryBudgetSection({"redacteur": 1.5})
    >>> spend_retry(section, "redacteur"), spend_retry(section, "redacteur")
    (True, False)
    """
    retries_left = section.retries_left.get(service, INITIAL_RETRIES)
    if retries_left < 1.0:
        return False
    section.retries_left[service] = retries_left - 1.0
    return True
