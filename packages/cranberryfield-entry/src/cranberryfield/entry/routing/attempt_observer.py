"""Updates the stability of upstreams from the results of attempts."""

from collections.abc import Callable

from cranberryfield.core.clock import Clock
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.membership.stability import after_failure, after_success
from cranberryfield.entry.requests.retry_policy import AttemptEnd, AttemptResult

__all__ = ["AttemptObserver", "make_attempt_observer"]

#: Callback with the upstream of an attempt and how the attempt ended.
AttemptObserver = Callable[[KnownUpstream, AttemptEnd], None]


def make_attempt_observer(clock: Clock) -> AttemptObserver:
    """Return a callback that updates an upstream's stability after each attempt.

    An attempt that was refused, or failed to connect, counts as a failure, so
    that other upstreams are preferred for a while. A broken stream does not: the
    connection may be at fault, and the next attempt opens a new one.

    Parameters
    ----------
    clock : Clock
        Monotonic time.

    Returns
    -------
    AttemptObserver
        Replaces the upstream's `stability`.
    """

    def observe(upstream: KnownUpstream, end: AttemptEnd) -> None:
        if end.result is AttemptResult.NOT_RUN:
            upstream.stability = after_failure(upstream.stability, clock())
        elif end.result is AttemptResult.FINISHED:
            upstream.stability = after_success(upstream.stability)

    return observe
