"""What the end of an attempt says about the software version of its upstream."""

from cranberryfield.core.deployment import Route
from cranberryfield.entry.relay.attempt_results import (
    SERVER_ERRORS,
    RelayAttemptOutcome,
    RelayAttemptResult,
)
from cranberryfield.entry.rollouts import Judgement

__all__ = ["judge_cancelled", "judge_result"]

MS_PER_S = 1000
#: Time before a deadline from which a cancelled attempt counts as late, in seconds.
#: Callers stop waiting at the deadline too, often a little before the relay.
DEADLINE_MARGIN_S = 0.05


def judge_result(result: RelayAttemptResult) -> Judgement:
    """Return what the result of an attempt says.

    Errors that the caller has caused are no failures. An upstream that asks for a
    pause is full, and one that refuses to run a request is not at fault.

    Parameters
    ----------
    result : RelayAttemptResult
        How the attempt ended.
    """
    match result.outcome:
        case RelayAttemptOutcome.NOT_SENT | RelayAttemptOutcome.MISDIRECTED:
            return Judgement.NOT_SENT
        case RelayAttemptOutcome.NOT_RUN:
            return Judgement.UNJUDGED
        case RelayAttemptOutcome.BROKEN:
            return Judgement.FAILURE
        case RelayAttemptOutcome.STREAMED:
            return Judgement.SUCCESS
    if result.response.status not in SERVER_ERRORS:
        return Judgement.SUCCESS
    is_full = result.metadata is not None and result.metadata.pause_s is not None
    return Judgement.UNJUDGED if is_full else Judgement.FAILURE


def judge_cancelled(
    route: Route, arrived_at: float, started_at: float, deadline: float, now: float
) -> Judgement:
    """Return what a cancelled attempt says.

    Parameters
    ----------
    route : Route
        Route of the request.
    arrived_at, started_at : float
        Monotonic time in seconds at which the request arrived and at which the attempt
        was sent.
    deadline : float
        Deadline of the request. An attempt that is cut off there is a failure if it had
        the route's target time, or half of the request's time if that is less.
    now : float
        Monotonic time in seconds.
    """
    if now < deadline - DEADLINE_MARGIN_S:
        return Judgement.UNJUDGED
    needed_s = min(route.target_ms / MS_PER_S, (deadline - arrived_at) / 2)
    had_time = now - started_at >= needed_s
    return Judgement.FAILURE if had_time else Judgement.UNJUDGED
