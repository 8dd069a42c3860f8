"""Learns from the ends of attempts which upstreams can be reached."""

from collections.abc import Callable

from cranberryfield.core.clock import Clock
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.membership.stability import after_failure, after_success
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult

__all__ = ["AttemptObserver", "make_observer"]

#: Takes the upstream of an attempt and how the attempt ended.
AttemptObserver = Callable[[KnownUpstream, AttemptEnd], None]


def make_observer(clock: Clock) -> AttemptObserver:
    """Return the function that is told how each attempt ended.

    An attempt that was refused, or never got a connection, makes other
    upstreams preferred for a while. A stream that broke does not by itself:
    the connection may be at fault, and the next attempt opens a new one.

    Parameters
    ----------
    clock : Clock
        Monotonic time.

    Returns
    -------
    AttemptObserver
        Changes the upstream's `stability`.
    """

    def observe(upstream: KnownUpstream, end: AttemptEnd) -> None:
        if end.result is AttemptResult.NOT_RUN:
            upstream.stability = after_failure(upstream.stability, clock())
        elif end.result is AttemptResult.FINISHED:
            upstream.stability = after_success(upstream.stability)

    return observe
