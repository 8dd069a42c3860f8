"""HTTP client for the operator endpoints of one node."""

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import cache
from typing import TypeVar

import httpx
import msgspec

from cranberryfield.client.options import Target
from cranberryfield.core.errors import (
    CallerError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
    error_of_kind,
)

__all__ = ["Connection", "open_connection"]

T = TypeVar("T")
REQUEST_TIMEOUT_S = 15.0


class _ProblemBody(msgspec.Struct):
    kind: str
    detail: str
    was_run: str = "unknown"


class Connection:
    """HTTP connection to one node.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client configured with the node's address and the operator's key.
    """

    def __init__(self, client: httpx.AsyncClient):
        self._client = client

    @classmethod
    def from_address(cls, node: str, key: str) -> "Connection":
        """Create a connection to a node.

        Parameters
        ----------
        node : str
            ``IP:PORT`` or a URL.
        key : str
            The operator's key.

        Returns
        -------
        Connection
            The connection; nothing has been sent yet.

        Raises
        ------
        CallerError
            Of kind ``bad_request`` if the address or the key is malformed.
        """
        url = node if "://" in node else f"http://{node}"
        try:
            client = httpx.AsyncClient(
                base_url=url,
                headers={"Authorization": f"Bearer {key}"},
                timeout=REQUEST_TIMEOUT_S,
                trust_env=False,
                verify=_tls_context() if url.startswith("https:") else False,
            )
        except (httpx.InvalidURL, ValueError) as error:
            raise CallerError(
                ErrorKind.BAD_REQUEST, f"--node or --key is invalid: {error}"
            ) from error
        return cls(client)

    async def get(self, path: str, response_type: type[T], **params: str | None) -> T:
        """Send a GET request and decode the response.

        Parameters
        ----------
        path : str
            Path of the endpoint.
        response_type : type
            Type of the response body.
        **params : str or None
            Query parameters; those that are None are omitted.

        Returns
        -------
        object
            An instance of `response_type`.

        Raises
        ------
        CranberryfieldError
            Of the kind in the node's error response; ``not_ready`` if the node
            did not respond; ``protocol`` if the response cannot be decoded.
        """
        query = {name: value for name, value in params.items() if value is not None}
        return await self._call("GET", path, response_type, params=query)

    async def post(self, path: str, body: msgspec.Struct, response_type: type[T]) -> T:
        """Send a value as a POST request and decode the response, as `get` does."""
        return await self._call(
            "POST", path, response_type, content=msgspec.json.encode(body)
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._client.aclose()

    async def _call(
        self, method: str, path: str, response_type: type[T], **options
    ) -> T:
        try:
            response = await self._client.request(method, path, **options)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            reason = str(error) or type(error).__name__
            raise UnavailableError(
                ErrorKind.NOT_READY, f"no answer from {self._client.base_url}: {reason}"
            ) from error
        if response.is_error:
            raise _decode_error(response)
        try:
            return msgspec.json.decode(response.content, type=response_type)
        except msgspec.DecodeError as error:
            raise error_of_kind(
                ErrorKind.PROTOCOL, f"cannot decode the response to {path}: {error}"
            ) from error


@asynccontextmanager
async def open_connection(target: Target) -> AsyncIterator[Connection]:
    """Open a connection to the target node.

    Parameters
    ----------
    target : Target
        Address of the node and the operator's key.

    Yields
    ------
    Connection
        The connection, closed on exit.
    """
    connection = Connection.from_address(target.node, target.key)
    try:
        yield connection
    finally:
        await connection.close()


@cache
def _tls_context() -> ssl.SSLContext:
    # Cached because loading the CA certificates takes longer than a request.
    return httpx.create_ssl_context()


def _decode_error(response: httpx.Response) -> CranberryfieldError:
    try:
        problem = msgspec.json.decode(response.content, type=_ProblemBody)
        kind, was_run = ErrorKind(problem.kind), WasRun(problem.was_run)
    except (msgspec.DecodeError, ValueError):
        return error_of_kind(
            ErrorKind.PROTOCOL,
            f"unrecognized error response with status {response.status_code}",
        )
    return error_of_kind(kind, problem.detail, was_run=was_run)
