"""Which further attempts a request may have."""

from cranberryfield.core.deployment import Route
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.relay.attempt_results import (
    SERVER_ERRORS,
    RelayAttemptOutcome,
    RelayAttemptResult,
)
from cranberryfield.entry.relay.request_state import RelayRequestState

__all__ = ["may_follow", "may_rerun", "may_try_another"]


def may_rerun(
    route: Route, result: RelayAttemptResult, state: RelayRequestState
) -> bool:
    """Return whether to run the request again after an error response.

    Parameters
    ----------
    route : Route
        Route of the request.
    result : RelayAttemptResult
        The attempt with the response.
    state : RelayRequestState
        The attempts so far, with this one.
    """
    return (
        result.response.status in SERVER_ERRORS
        and route.is_idempotent
        and state.possible_runs < route.max_attempts
    )


def may_try_another(
    route: Route, result: RelayAttemptResult, state: RelayRequestState
) -> bool:
    """Return whether another upstream may be tried after a failed attempt.

    Attempts that reached nobody, or another process, do not count.

    Parameters
    ----------
    route : Route
        Route of the request.
    result : RelayAttemptResult
        The failed attempt.
    state : RelayRequestState
        The attempts so far, with this one.
    """
    if result.outcome is RelayAttemptOutcome.BROKEN:
        return route.is_idempotent and state.possible_runs < route.max_attempts
    if result.outcome is RelayAttemptOutcome.NOT_RUN:
        attempts = state.possible_runs + state.refusals
        return attempts <= max(1, route.max_attempts)
    return True


def may_follow(
    route: Route,
    record: UpstreamRecord,
    candidates: list[UpstreamRecord],
    state: RelayRequestState,
) -> bool:
    """Return whether another attempt may follow one that gets no response.

    Parameters
    ----------
    route : Route
        Route of the request.
    record : UpstreamRecord
        Upstream of the attempt that begins now.
    candidates : list of UpstreamRecord
        Upstreams of the service.
    state : RelayRequestState
        The attempts before.
    """
    if not route.is_idempotent or state.possible_runs + 1 >= route.max_attempts:
        return False
    return any(
        one.upstream != record.upstream and one.process not in state.tried_processes
        for one in candidates
    )
