"""Bodies of error responses, as ``application/problem+json`` (RFC 9457)."""

import msgspec

from cranberryfield.core.errors import CranberryfieldError

__all__ = ["MEDIA_TYPE", "Problem", "problem_of_error"]

MEDIA_TYPE = "application/problem+json"
DEFAULT_RETRY_AFTER_S = 1.0


class Problem(msgspec.Struct):
    """Body of an error response.

    Attributes
    ----------
    title, kind : str
        Value of the `ErrorKind`; the title has spaces for its underscores.
    status : int
        HTTP status.
    detail : str
        Human-readable explanation in one sentence.
    was_run : str
        Whether an upstream ran the request: ``no``, ``yes`` or ``unknown``.
    retry_after_s : float or None
        Time to wait before a retry, in seconds; None if a retry is no use.
    """

    title: str
    status: int
    detail: str
    kind: str
    was_run: str
    retry_after_s: float | None = None


def problem_of_error(error: CranberryfieldError) -> Problem:
    """Build the body of the response to an error.

    Parameters
    ----------
    error : CranberryfieldError
        The error.

    Returns
    -------
    Problem
        Its ``retry_after_s`` is set if a retry may succeed.
    """
    response = error.response
    retry_after_s = None
    if response.retry:
        retry_after_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
    return Problem(
        error.kind.value.replace("_", " "),
        response.status,
        error.detail,
        error.kind.value,
        error.was_run.value,
        retry_after_s,
    )
