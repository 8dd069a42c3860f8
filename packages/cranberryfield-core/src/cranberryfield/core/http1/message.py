"""Requests and responses, with their headers as received."""

from dataclasses import dataclass

__all__ = [
    "HOP_BY_HOP",
    "Headers",
    "RequestHead",
    "Response",
    "ResponseHead",
    "find_header",
    "remove_hop_by_hop",
]

#: Pairs of name and value; names keep the case in which they were received.
Headers = list[tuple[bytes, bytes]]

#: Headers that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: Headers


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers


@dataclass(frozen=True, slots=True)
class Response:
    """Response with its whole body."""

    status: int
    headers: Headers
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the value of the first header called `name`.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        The headers.
    name : bytes
        Header name in lower case.

    Returns
    -------
    str or None
        None if there is no such header.

    Examples
    --------
    >>> find_header([(b"Host", b"a.example")], b"host")
    'a.example'
    """
    for found, value in headers:
        if found.lower() == name:
            return value.decode("latin-1").strip()
    return None


def remove_hop_by_hop(headers: Headers) -> Headers:
    """Return the headers without those that apply to one connection only.

    Examples
    --------
    >>> headers = [(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"A", b"b")]
    >>> remove_hop_by_hop(headers)
    [(b'A', b'b')]
    """
    connection_options = find_header(headers, b"connection") or ""
    dropped = HOP_BY_HOP | {
        option.strip().lower().encode() for option in connection_options.split(",")
    }
    return [(name, value) for name, value in headers if name.lower() not in dropped]
