"""Times for which upstreams want no requests from this host."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from cranberryfield.core.ids import UpstreamId, UpstreamProcess
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = [
    "MAX_PAUSE_S",
    "UpstreamPauses",
    "forget_pauses",
    "paused_among",
    "record_pause",
    "time_to_first_end_s",
]

#: Longest pause that is observed, in seconds. An upstream that asks for more is asked
#: again after that.
MAX_PAUSE_S = 300.0


@dataclass(slots=True)
class UpstreamPauses:
    """Section of the blackboard: pauses by upstream process.

    Only what this host was told itself: an upstream that is full for one host may
    have room for another.

    Attributes
    ----------
    paused_until : dict
        Monotonic time in seconds, which counts suspensions, at which each pause ends.
    """

    paused_until: dict[UpstreamProcess, float] = field(default_factory=dict)


def record_pause(
    section: UpstreamPauses, process: UpstreamProcess, pause_s: float, now: float
) -> bool:
    """Record that an upstream wants no requests for a while.

    Answers may overtake each other, so a pause ends no earlier than was asked before.

    Parameters
    ----------
    section : UpstreamPauses
        Changed in place.
    process : tuple
        The upstream and its incarnation.
    pause_s : float
        Time from now, in seconds; cut at `MAX_PAUSE_S`.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the pause ends later than before.

    Examples
    --------
    >>> section, process = UpstreamPauses(), ("engine-1", 1)
    >>> [record_pause(section, process, pause_s, 10.0) for pause_s in (2.0, 1.0, 0.0)]
    [True, False, False]
    >>> section.paused_until
    {('engine-1', 1): 12.0}
    """
    until = now + min(pause_s, MAX_PAUSE_S)
    if until <= max(now, section.paused_until.get(process, now)):
        return False
    section.paused_until[process] = until
    return True


def paused_among(
    section: UpstreamPauses, candidates: Iterable[UpstreamRecord], now: float
) -> frozenset[UpstreamId]:
    """Return the upstreams that want no requests at present."""
    if not section.paused_until:
        return frozenset()
    return frozenset(
        one.upstream
        for one in candidates
        if section.paused_until.get(one.process, now) > now
    )


def time_to_first_end_s(
    section: UpstreamPauses, candidates: Iterable[UpstreamRecord], now: float
) -> float | None:
    """Return the time until the first pause ends; None if any upstream has none."""
    left_s = [section.paused_until.get(one.process, now) - now for one in candidates]
    return min(left_s) if left_s and min(left_s) > 0.0 else None


def forget_pauses(
    section: UpstreamPauses, is_live: Callable[[UpstreamProcess], bool], now: float
) -> None:
    """Remove pauses that have ended, and those of upstreams that are gone."""
    for process, until in list(section.paused_until.items()):
        if until <= now or not is_live(process):
            del section.paused_until[process]
