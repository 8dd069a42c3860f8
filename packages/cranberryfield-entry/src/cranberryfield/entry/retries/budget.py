"""Retry budget per service, so that retries do not amplify an overload."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName

__all__ = ["MAX_SAVED", "RESERVE", "RetrySection", "note_first_attempt", "take_retry"]

#: Retries that a service may make before it has earned any.
RESERVE = 10.0
#: Maximum number of retries that a service can accumulate.
MAX_SAVED = 50.0


@dataclass(slots=True)
class RetrySection:
    """Section of the blackboard: retries left for each service."""

    left: dict[ServiceName, float] = field(default_factory=dict)


def note_first_attempt(
    section: RetrySection, service: ServiceName, ratio: float
) -> None:
    """Credit a service with the fraction of a retry that a first attempt earns.

    Parameters
    ----------
    section : RetrySection
        Changed in place.
    service : ServiceName
        The service.
    ratio : float
        Retries allowed per first attempt, the setting ``retry_budget``.
    """
    left = section.left.get(service, RESERVE)
    section.left[service] = max(left, min(MAX_SAVED, left + ratio))


def take_retry(section: RetrySection, service: ServiceName) -> bool:
    """Spend one retry; return False if less than one is left.

    Examples
    --------
    >>> section = RetrySection({"redacteur": 1.5})
    >>> take_retry(section, "redacteur"), take_retry(section, "redacteur")
    (True, False)
    """
    left = section.left.get(service, RESERVE)
    if left < 1.0:
        return False
    section.left[service] = left - 1.0
    return True
