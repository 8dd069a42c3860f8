"""Reading of request bodies up to a size limit."""

from typing import TypeVar

import msgspec
from starlette.requests import Request as HttpRequest

from cranberryfield.core.errors import CallerError, ErrorKind

__all__ = ["decode_json", "read_body"]

T = TypeVar("T")


async def read_body(request: HttpRequest, limit: int) -> bytes:
    """Read a request body of at most `limit` bytes.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.
    limit : int
        Largest size in bytes.

    Returns
    -------
    bytes
        The body.

    Raises
    ------
    CallerError
        Of kind ``body_too_large`` if the body is larger than `limit`.
    """
    # One buffer, as a list of small parts would take many times their bytes.
    body = bytearray()
    async for chunk in request.stream():
        if len(body) + len(chunk) > limit:
            raise CallerError(
                ErrorKind.BODY_TOO_LARGE, f"request body is larger than {limit} bytes"
            )
        body += chunk
    return bytes(body)


async def decode_json(request: HttpRequest, body_type: type[T], limit: int) -> T:
    """Read a JSON request body and decode it to a type.

    Parameters
    ----------
    request : starlette.requests.Request
        The request.
    body_type : type
        Type that the body must match.
    limit : int
        Largest size in bytes.

    Returns
    -------
    object
        An instance of `body_type`.

    Raises
    ------
    CallerError
        Of kind ``body_too_large`` or ``bad_request``.
    """
    body = await read_body(request, limit)
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CallerError(
            ErrorKind.BAD_REQUEST, f"invalid JSON body: {error}"
        ) from error
