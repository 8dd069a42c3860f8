"""One whole request and response."""

import anyio

from cranberryfield.core.http1.client import BrokenExchangeError, ConnectionPool
from cranberryfield.core.http1.message import RequestHead, Response

__all__ = ["fetch"]

MAX_BODY_BYTES = 4 << 20


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
        Connections.
    address : str
        ``IP:PORT`` of the server.
    head : RequestHead
        The request.
    body : bytes
        Its body.
    timeout_s : float
        Longest time for all of it, in seconds.

    Returns
    -------
    Response
        The response.

    Raises
    ------
    NotSentError
        If no byte of the request was written.
    BrokenExchangeError
        If no whole response came in time; the request may have been read.
    """
    connection = await pool.acquire(address)
    whole = False
    try:
        with anyio.fail_after(timeout_s):
            await connection.send(head, body)
            found = await connection.read_head()
            content = await connection.read_body(MAX_BODY_BYTES)
        whole = True
        return Response(found.status, found.headers, content)
    except TimeoutError as error:
        raise BrokenExchangeError("no whole response in time") from error
    finally:
        if whole:
            await pool.release(address, connection)
        else:
            await connection.close()
