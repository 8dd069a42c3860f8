"""What a refusal may say of runs on other hosts."""

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    WasRun,
    error_of_kind,
)
from cranberryfield.entry.requests.request import Request

__all__ = ["refusal_over_all_hosts", "without_proof"]


def without_proof(error: CranberryfieldError) -> CranberryfieldError:
    """Return a refusal that no longer says that the request was not run.

    Parameters
    ----------
    error : CranberryfieldError
        The refusal of one host.

    Returns
    -------
    CranberryfieldError
        The same, saying ``unknown`` in place of ``no``.
    """
    if error.was_run is not WasRun.NO:
        return error
    return error_of_kind(
        error.kind,
        error.detail,
        was_run=WasRun.UNKNOWN,
        retry_after_s=error.retry_after_s,
    )


def refusal_over_all_hosts(
    request: Request, error: CranberryfieldError
) -> CranberryfieldError:
    """Return what this host may say when it refuses an idempotent request.

    Parameters
    ----------
    request : Request
        An idempotent request.
    error : CranberryfieldError
        Why this host refuses it.

    Returns
    -------
    CranberryfieldError
        Saying ``unknown`` in place of ``no`` if another host may have run the
        request under the same key.

    Notes
    -----
    Records of idempotent requests are kept without agreement, so a host that
    is cut off, and does not know it yet, cannot rule out a run elsewhere. For
    a non-idempotent request the claim in the log gives the proof.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> full = error_of_kind(ErrorKind.QUEUE_FULL, "64 wait")
    >>> for has_key in (True, False):
    ...     request = SimpleNamespace(has_caller_key=has_key)
    ...     refusal_over_all_hosts(request, full).was_run.value
    'unknown'
    'no'
    """
    says_of_key = error.response.retry or error.kind is ErrorKind.KEY_EXPIRED
    if request.has_caller_key and says_of_key:
        return without_proof(error)
    return error
