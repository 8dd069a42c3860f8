"""Errors for requests that no upstream has answered, with a time to come back."""

from random import Random

from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.request_state import RelayRequestState
from cranberryfield.entry.relay.upstream_limits import UpstreamLimiter
from cranberryfield.entry.relay.upstream_pauses import (
    UpstreamPauses,
    paused_among,
    time_to_first_end_s,
)

__all__ = ["unavailable_error"]

#: Bounds of the retry delay that is sent to refused callers, in seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 0.4
#: Fraction of the time until an upstream takes requests again over which the refused
#: callers are spread.
RETRY_SPREAD_FRACTION = 0.25


def unavailable_error(
    service: ServiceName,
    candidates: list[UpstreamRecord],
    state: RelayRequestState,
    limiter: UpstreamLimiter,
    pauses: UpstreamPauses,
    now: float,
    rng: Random,
) -> UnavailableError:
    """Return the error for a request that no upstream has answered.

    Parameters
    ----------
    service : ServiceName
        Service of the request.
    candidates : list of UpstreamRecord
        Upstreams that it may run on.
    state : RelayRequestState
        Its attempts.
    limiter : UpstreamLimiter
        Knows the limits that upstreams state.
    pauses : UpstreamPauses
        Upstreams that want no requests for a while.
    now : float
        Monotonic time in seconds.
    rng : random.Random
        Spreads the refused callers.
    """
    unavailable_s = _time_to_first_available_s(
        service, candidates, limiter, pauses, now
    )
    longest_s = max(MAX_RETRY_AFTER_S, RETRY_SPREAD_FRACTION * unavailable_s)
    retry_after_s = unavailable_s + rng.uniform(MIN_RETRY_AFTER_S, longest_s)
    if state.may_have_run:
        return UnavailableError(
            ErrorKind.UPSTREAM_FAILED,
            "no attempt succeeded, but one may have run the request",
            was_run=WasRun.UNKNOWN,
            retry_after_s=retry_after_s,
        )
    detail = "no upstream of the service is accepting the request"
    if unavailable_s:
        detail = "all upstreams of the service want no requests at present"
    elif state.origin is not None:
        version = state.origin.software_version
        detail = f"no upstream of version {version!r}, which began the stream"
        if not candidates:
            # Upstreams of a version that has been replaced do not come back.
            retry_after_s = None
    return UnavailableError(
        ErrorKind.NO_UPSTREAM,
        detail,
        was_run=WasRun.NO,
        retry_after_s=retry_after_s,
    )


def _time_to_first_available_s(
    service: ServiceName,
    candidates: list[UpstreamRecord],
    limiter: UpstreamLimiter,
    pauses: UpstreamPauses,
    now: float,
) -> float:
    """Return the time until the first upstream takes requests again, in seconds.

    That is 0 if one of them neither wants a pause nor is at its limit.
    """
    paused = paused_among(pauses, candidates, now)
    limited = [one for one in candidates if one.upstream not in paused]
    pause_s = time_to_first_end_s(
        pauses, (one for one in candidates if one.upstream in paused), now
    )
    if not limited:
        return pause_s or 0.0
    limited_s = limiter.retry_after_s(service, limited)
    if limited_s is None:
        return 0.0
    return limited_s if pause_s is None else min(limited_s, pause_s)
