"""Exchange of stated limits between relays and the leader, in periodic reports."""

from collections.abc import Iterable

import structlog
import xxhash

from cranberryfield.core.ids import UpstreamProcess
from cranberryfield.core.messages.reports import UpstreamLimit
from cranberryfield.entry.limits.stated_limits import (
    StatedLimit,
    StatedLimits,
    merge_statement,
)

__all__ = [
    "digest_limits",
    "make_limit_report",
    "merge_limit_report",
    "unreported_limits",
]

MS_PER_S = 1000

logger = structlog.get_logger(__name__)


def digest_limits(section: StatedLimits) -> int:
    """Return a hash of the limits in force that ignores their order.

    Examples
    --------
    >>> digest_limits(StatedLimits()) == digest_limits(StatedLimits())
    True
    """
    total = 0
    for process, stated in section.limits.items():
        if stated.rate_per_s is not None:
            total ^= xxhash.xxh64_intdigest(f"{process}{stated.rate_per_s}".encode())
    return total


def make_limit_report(
    section: StatedLimits, processes: Iterable[UpstreamProcess], now: float
) -> tuple[UpstreamLimit, ...]:
    """Return the latest statements of some upstreams.

    Parameters
    ----------
    section : StatedLimits
        Limits known to this host.
    processes : iterable of UpstreamProcess
        Upstreams that have stated a limit.
    now : float
        Monotonic time in seconds.
    """
    return tuple(
        UpstreamLimit(
            *process,
            section.limits[process].rate_per_s,
            (now - section.limits[process].stated_at) * MS_PER_S,
        )
        for process in processes
    )


def merge_limit_report(
    section: StatedLimits, limits: Iterable[UpstreamLimit], now: float
) -> None:
    """Merge the limits that another host has sent.

    Parameters
    ----------
    section : StatedLimits
        Changed in place.
    limits : iterable of UpstreamLimit
        Limits known to the other host.
    now : float
        Monotonic time in seconds.
    """
    for one in limits:
        statement = StatedLimit(one.rate_per_s, now - one.age_ms / MS_PER_S)
        if merge_statement(section, (one.upstream, one.incarnation), statement):
            logger.info(
                "upstream limit changed",
                upstream=one.upstream,
                incarnation=one.incarnation,
                rate_per_s=one.rate_per_s,
                age_ms=round(one.age_ms),
            )


def unreported_limits(
    section: StatedLimits, reported: dict[UpstreamProcess, float | None]
) -> tuple[UpstreamProcess, ...]:
    """Return the upstreams whose limits differ from those that the leader knows.

    Parameters
    ----------
    section : StatedLimits
        Limits known to this host.
    reported : dict
        Limits known to the leader, by upstream process.

    Examples
    --------
    >>> section = StatedLimits({("engine-1", 1): StatedLimit(1.4, 0.0)})
    >>> unreported_limits(section, {})
    (('engine-1', 1),)
    >>> unreported_limits(section, {("engine-1", 1): 1.4})
    ()
    """
    return tuple(
        process
        for process, stated in section.limits.items()
        if process not in reported or reported[process] != stated.rate_per_s
    )
