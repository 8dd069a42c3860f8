"""HTTP calls to any node, with the operator's key."""

from typing import TypeVar

import httpx
import msgspec

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
    error_of_kind,
)

__all__ = ["Connection"]

T = TypeVar("T")
TIMEOUT_S = 15.0


class _Problem(msgspec.Struct):
    kind: str
    detail: str
    was_run: str = "unknown"


class Connection:
    """Calls one node.

    Parameters
    ----------
    client : httpx.Client
        Set up with the node's address and the operator's key.
    """

    def __init__(self, client: httpx.Client):
        self._client = client

    @classmethod
    def from_address(cls, node: str, key: str) -> "Connection":
        """Prepare calls to a node.

        Parameters
        ----------
        node : str
            ``IP:PORT`` or a URL.
        key : str
            The operator's key.

        Returns
        -------
        Connection
            Nothing is sent yet.
        """
        url = node if "://" in node else f"http://{node}"
        return cls(
            httpx.Client(
                base_url=url,
                headers={"Authorization": f"Bearer {key}"},
                timeout=TIMEOUT_S,
                trust_env=False,
            )
        )

    def get(self, path: str, kind: type[T], **params: str) -> T:
        """Read a value.

        Parameters
        ----------
        path : str
            The endpoint.
        kind : type
            What it answers with.
        **params : str
            Query parameters.

        Returns
        -------
        object
            An instance of `kind`.

        Raises
        ------
        CranberryfieldError
            Of the kind that the node answered with.
        """
        return self._call("GET", path, kind, params=params)

    def post(self, path: str, body: msgspec.Struct, kind: type[T]) -> T:
        """Send a value and read the answer; see `get`."""
        return self._call("POST", path, kind, content=msgspec.json.encode(body))

    def _call(self, method: str, path: str, kind: type[T], **options) -> T:
        try:
            response = self._client.request(method, path, **options)
        except httpx.HTTPError as error:
            raise UnavailableError(
                ErrorKind.NOT_READY, f"no answer from {self._client.base_url}: {error}"
            ) from error
        if response.is_error:
            raise _error_of(response)
        return msgspec.json.decode(response.content, type=kind)


def _error_of(response: httpx.Response) -> CranberryfieldError:
    try:
        problem = msgspec.json.decode(response.content, type=_Problem)
        kind, was_run = ErrorKind(problem.kind), WasRun(problem.was_run)
    except (msgspec.DecodeError, ValueError):
        return error_of_kind(
            ErrorKind.PROTOCOL, f"the node answered {response.status_code}"
        )
    return error_of_kind(kind, problem.detail, was_run=was_run)
