"""Request rates that upstreams state as their limits."""

from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryfield.core.ids import UpstreamProcess

__all__ = [
    "StatedLimit",
    "StatedLimits",
    "forget_limits",
    "limit_of",
    "merge_statement",
    "record_answer",
]

#: Time for which the end of a limit is remembered, in seconds, so that older
#: statements that arrive late do not count.
ENDED_LIMIT_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """Latest statement of an upstream on its limit.

    Attributes
    ----------
    rate_per_s : float or None
        Requests per second that it takes from all hosts together; None if it has
        stopped to state a limit.
    stated_at : float
        Monotonic time in seconds of the statement.
    """

    rate_per_s: float | None
    stated_at: float


@dataclass(slots=True)
class StatedLimits:
    """Section of the blackboard: limits by upstream process.

    Attributes
    ----------
    limits : dict
        Latest statement of each process that has stated a limit.
    """

    limits: dict[UpstreamProcess, StatedLimit] = field(default_factory=dict)


def limit_of(section: StatedLimits, process: UpstreamProcess) -> float | None:
    """Return the limit of an upstream in requests per second; None if it has none."""
    stated = section.limits.get(process)
    return None if stated is None else stated.rate_per_s


def record_answer(
    section: StatedLimits,
    process: UpstreamProcess,
    rate_per_s: float | None,
    sent_at: float,
    now: float,
) -> bool:
    """Record what an answer says of the limit.

    Parameters
    ----------
    section : StatedLimits
        Changed in place.
    process : tuple
        The upstream that answered and its incarnation.
    rate_per_s : float or None
        Limit that the answer states, in requests per second. None ends a limit that
        was stated before the request was sent; answers may overtake each other.
    sent_at, now : float
        When the request was sent, and the current time, monotonic, in seconds.

    Returns
    -------
    bool
        Whether the limit has changed.

    Examples
    --------
    >>> section, process = StatedLimits(), ("engine-1", 1)
    >>> record_answer(section, process, 1.4, sent_at=1.0, now=2.0)
    True
    >>> record_answer(section, process, None, sent_at=1.5, now=2.5)
    False
    >>> record_answer(section, process, None, sent_at=3.0, now=3.5)
    True
    """
    known = section.limits.get(process)
    has_limit = known is not None and known.rate_per_s is not None
    if rate_per_s is None and not (has_limit and sent_at > known.stated_at):
        return False
    section.limits[process] = StatedLimit(rate_per_s, now)
    return known is None or known.rate_per_s != rate_per_s


def merge_statement(
    section: StatedLimits, process: UpstreamProcess, statement: StatedLimit
) -> bool:
    """Merge a statement that another host has heard; return whether the limit changed.

    Parameters
    ----------
    section : StatedLimits
        Changed in place.
    process : tuple
        The upstream and its incarnation.
    statement : StatedLimit
        The statement; the latest one counts.
    """
    known = section.limits.get(process)
    if known is not None and known.stated_at >= statement.stated_at:
        return False
    section.limits[process] = statement
    known_rate = None if known is None else known.rate_per_s
    return known_rate != statement.rate_per_s


def forget_limits(
    section: StatedLimits, is_live: Callable[[UpstreamProcess], bool], now: float
) -> None:
    """Remove limits of upstreams that are gone, and limits that ended long ago.

    Parameters
    ----------
    section : StatedLimits
        Changed in place.
    is_live : callable
        Returns whether an upstream process is announced.
    now : float
        Monotonic time in seconds.
    """
    for process, stated in list(section.limits.items()):
        has_ended = stated.rate_per_s is None
        is_old = now - stated.stated_at > ENDED_LIMIT_RETENTION_S
        if not is_live(process) or (has_ended and is_old):
            del section.limits[process]
