"""Error responses of endpoints that Starlette serves."""

import math

import msgspec
from starlette.requests import Request as HttpRequest
from starlette.responses import Response

from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.problems import MEDIA_TYPE, problem_of_error

__all__ = ["handle_error", "problem_response"]


def problem_response(error: CranberryfieldError) -> Response:
    """Build the response to an error.

    Parameters
    ----------
    error : CranberryfieldError
        The error.

    Returns
    -------
    starlette.responses.Response
        The response, with ``Retry-After`` if a retry may succeed.
    """
    problem = problem_of_error(error)
    headers = {}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(problem.retry_after_s))
    return Response(
        msgspec.json.encode(problem), problem.status, headers, media_type=MEDIA_TYPE
    )


async def handle_error(request: HttpRequest, error: CranberryfieldError) -> Response:
    """Convert an error raised by an endpoint to a response."""
    return problem_response(error)
