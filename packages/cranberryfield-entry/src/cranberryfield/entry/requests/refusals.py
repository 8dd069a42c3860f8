"""Correction of `was_run` in errors for runs on other hosts."""

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    WasRun,
    error_of_kind,
)
from cranberryfield.entry.requests.request import Request

__all__ = ["mark_run_unknown", "refusal_across_hosts"]


def mark_run_unknown(error: CranberryfieldError) -> CranberryfieldError:
    """Return an error that does not claim that the request was not run.

    Parameters
    ----------
    error : CranberryfieldError
        Error of one host.

    Returns
    -------
    CranberryfieldError
        The same error, with ``unknown`` in place of ``no``.
    """
    if error.was_run is not WasRun.NO:
        return error
    return error_of_kind(
        error.kind,
        error.detail,
        was_run=WasRun.UNKNOWN,
        retry_after_s=error.retry_after_s,
    )


def refusal_across_hosts(
    request: Request, error: CranberryfieldError
) -> CranberryfieldError:
    """Return the error for an idempotent request, valid over all hosts.

    Parameters
    ----------
    request : Request
        An idempotent request.
    error : CranberryfieldError
        Error of this host.

    Returns
    -------
    CranberryfieldError
        The same error, with ``unknown`` in place of ``no`` if another host may
        have run the request under the same key.

    Notes
    -----
    Records of idempotent requests are replicated without consensus, so a host
    that is partitioned without knowing it cannot rule out a run elsewhere. For
    a non-idempotent request the claim in the replicated log gives the proof.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> full = error_of_kind(ErrorKind.QUEUE_FULL, "64 wait")
    >>> for has_key in (True, False):
    ...     request = SimpleNamespace(has_caller_key=has_key)
    ...     refusal_across_hosts(request, full).was_run.value
    'unknown'
    'no'
    """
    may_retry = error.response.retry or error.kind is ErrorKind.KEY_EXPIRED
    if request.has_caller_key and may_retry:
        return mark_run_unknown(error)
    return error
