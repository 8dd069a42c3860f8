"""Single HTTP requests whose response is read whole."""

import anyio

from cranberryfield.core.http1.client import BrokenExchangeError, ConnectionPool
from cranberryfield.core.http1.message import RequestHead, Response

__all__ = ["fetch"]

MAX_BODY_BYTES = 1 << 19


async def fetch(
    pool: ConnectionPool,
    address: str,
    head: RequestHead,
    body: bytes,
    timeout_s: float,
) -> Response:
    """Send a request and read the whole response.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that provides the connection.
    address : str
        ``IP:PORT`` of the server.
    head : RequestHead
        Head of the request.
    body : bytes
        Body of the request.
    timeout_s : float
        Timeout for sending the request and reading the response, in seconds;
        opening a connection is not included.

    Returns
    -------
    Response
        The response.

    Raises
    ------
    NotSentError
        If no byte of the request was written.
    BrokenExchangeError
        If no complete response arrives within `timeout_s`; the server may have
        read the request.
    """
    connection = await pool.acquire(address)
    is_complete = False
    try:
        with anyio.fail_after(timeout_s):
            await connection.send(head, body)
            response_head = await connection.read_head()
            response_body = await connection.read_body(MAX_BODY_BYTES)
        is_complete = True
        return Response(response_head.status, response_head.headers, response_body)
    except TimeoutError as error:
        raise BrokenExchangeError("response incomplete at the timeout") from error
    finally:
        if is_complete:
            await pool.release(address, connection)
        else:
            await connection.close()
