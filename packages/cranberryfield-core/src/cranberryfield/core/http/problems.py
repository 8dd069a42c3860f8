"""Refusals as ``application/problem+json``."""

import math

import msgspec
from starlette.requests import Request as HttpRequest
from starlette.responses import Response

from cranberryfield.core.errors import CranberryfieldError

__all__ = ["Problem", "handle_error", "problem_of_error", "problem_response"]

MEDIA_TYPE = "application/problem+json"
DEFAULT_RETRY_AFTER_S = 1.0


class Problem(msgspec.Struct):
    """Body of a refusal.

    Attributes
    ----------
    title, kind : str
        Value of the `ErrorKind`.
    status : int
        HTTP status.
    detail : str
        One sentence for a person.
    was_run : str
        ``no``, ``yes`` or ``unknown``.
    retry_after_s : float or None
        Seconds after which coming back may help.
    """

    title: str
    status: int
    detail: str
    kind: str
    was_run: str
    retry_after_s: float | None = None


def problem_of_error(error: CranberryfieldError) -> Problem:
    """Describe a refusal.

    Parameters
    ----------
    error : CranberryfieldError
        Why.

    Returns
    -------
    Problem
        With a time to come back where coming back helps.
    """
    answer = error.answer
    retry_after_s = None
    if answer.retry:
        retry_after_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
    return Problem(
        error.kind.value.replace("_", " "),
        answer.status,
        error.detail,
        error.kind.value,
        error.was_run.value,
        retry_after_s,
    )


def problem_response(error: CranberryfieldError) -> Response:
    """Answer a refusal.

    Parameters
    ----------
    error : CranberryfieldError
        Why.

    Returns
    -------
    starlette.responses.Response
        The answer, with ``Retry-After`` where coming back helps.
    """
    problem = problem_of_error(error)
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(problem.retry_after_s))
    return Response(
        msgspec.json.encode(problem), problem.status, headers, media_type=MEDIA_TYPE
    )


async def handle_error(request: HttpRequest, error: CranberryfieldError) -> Response:
    """Turn an error raised by an endpoint into its answer."""
    return problem_response(error)
