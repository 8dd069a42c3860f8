"""Response bodies of ``GET /v1/requests/{key}``."""

from base64 import b64encode

import msgspec

from cranberryfield.core.errors import CranberryfieldError, ErrorKind, WasRun
from cranberryfield.core.ids import RequestKey
from cranberryfield.core.messages.claims import ClaimState, ClaimView
from cranberryfield.core.messages.requests import RecordCopy
from cranberryfield.entry.requests.claims import refusal_from_claim
from cranberryfield.entry.requests.records import (
    EVENT_STREAM,
    Outcome,
    RequestRecord,
    RequestState,
)

__all__ = [
    "OutcomeView",
    "RequestStateView",
    "is_authoritative",
    "view_of_claim",
    "view_of_copy",
    "view_of_record",
]


class OutcomeView(msgspec.Struct):
    """Complete answer of a request.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type; the body of an event stream has one event per line.
    body : str
        Body as text or as base64.
    is_base64 : bool
        Whether the body is encoded as base64, since it is not valid UTF-8.
    """

    status: int
    content_type: str
    body: str
    is_base64: bool = False


class RequestStateView(msgspec.Struct):
    """Body of ``GET /v1/requests/{key}``."""

    key: str
    state: str
    service: str | None = None
    events: int | None = None
    kind: str | None = None
    was_run: str | None = None
    outcome: OutcomeView | None = None


def is_authoritative(record: RequestRecord) -> bool:
    """Return whether a local record suffices to report the state of its request."""
    if record.request.idempotent:
        return True
    return record.state is not RequestState.FAILED


def view_of_record(key: RequestKey, record: RequestRecord) -> RequestStateView:
    """Return the view of a record of this host."""
    error = record.error
    outcome = None
    if record.state is RequestState.ANSWERED:
        outcome = _outcome_view(record.to_outcome())
    return RequestStateView(
        key,
        record.state.value,
        record.request.service,
        len(record.events),
        error.kind.value if error else None,
        error.was_run.value if error else None,
        outcome,
    )


def view_of_copy(key: RequestKey, copy: RecordCopy) -> RequestStateView:
    """Return the view of a record that another host runs or has run."""
    view = RequestStateView(key, RequestState.RUNNING.value, events=len(copy.events))
    end = copy.end
    if end is None:
        return view
    if end.kind is not None:
        failed = _failed_view(key, ErrorKind(end.kind), WasRun(end.was_run))
        failed.events = len(copy.events)
        return failed
    view.state = RequestState.ANSWERED.value
    complete = Outcome(200, EVENT_STREAM, b"\n".join(copy.events))
    if end.status:
        complete = Outcome(end.status, end.content_type, end.body)
    view.outcome = _outcome_view(complete)
    return view


def view_of_claim(key: RequestKey, claim: ClaimView) -> RequestStateView:
    """Return the view of a claim, whose request any host may have run.

    Parameters
    ----------
    key : RequestKey
        Idempotency key of the request.
    claim : ClaimView
        Claim of the key.

    Returns
    -------
    RequestStateView
        View without the service, which a claim does not contain.

    Examples
    --------
    >>> view = ClaimView(False, ClaimState.RELEASED, 1, "entry-1")
    >>> view_of_claim("k", view).was_run
    'no'
    """
    match claim.state:
        case ClaimState.CLAIMED | ClaimState.DISPATCHED:
            return RequestStateView(key, RequestState.RUNNING.value)
        case ClaimState.ANSWERED:
            answered = RequestStateView(key, RequestState.ANSWERED.value)
            if claim.answer is not None:
                stored = Outcome(claim.status, claim.content_type, claim.answer)
                answered.outcome = _outcome_view(stored)
            return answered
        case ClaimState.RELEASED:
            return _failed_view(key, ErrorKind.UPSTREAM_FAILED, WasRun.NO)
    error: CranberryfieldError = refusal_from_claim(claim)
    return _failed_view(key, error.kind, error.was_run)


def _failed_view(key: RequestKey, kind: ErrorKind, was_run: WasRun) -> RequestStateView:
    return RequestStateView(
        key, RequestState.FAILED.value, kind=kind.value, was_run=was_run.value
    )


def _outcome_view(outcome: Outcome) -> OutcomeView:
    try:
        text = outcome.body.decode()
    except UnicodeDecodeError:
        text = b64encode(outcome.body).decode()
        return OutcomeView(outcome.status, outcome.content_type, text, True)
    return OutcomeView(outcome.status, outcome.content_type, text)
