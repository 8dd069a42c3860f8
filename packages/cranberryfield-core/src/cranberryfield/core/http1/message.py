"""Heads of requests and responses, with their headers as they came."""

from dataclasses import dataclass

__all__ = [
    "HOP_BY_HOP",
    "Headers",
    "RequestHead",
    "Response",
    "ResponseHead",
    "end_to_end",
    "find_header",
]

#: Names keep the case in which they came.
Headers = list[tuple[bytes, bytes]]

#: Headers that concern one connection only (RFC 9110, section 7.6.1).
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
    """A whole response."""

    status: int
    headers: Headers
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the value of the first header of a name.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        The headers.
    name : bytes
        Name in lower case.

    Returns
    -------
    str or None
        None without such a header.

    Examples
    --------
    >>> find_header([(b"Host", b"a.example")], b"host")
    'a.example'
    """
    for found, value in headers:
        if found.lower() == name:
            return value.decode("latin-1").strip()
    return None


def end_to_end(headers: Headers) -> Headers:
    """Leave out the headers that concern one connection only.

    Examples
    --------
    >>> end_to_end([(b"Connection", b"close, X-Hop"), (b"X-Hop", b"1"), (b"A", b"b")])
    [(b'A', b'b')]
    """
    named = find_header(headers, b"connection") or ""
    dropped = HOP_BY_HOP | {one.strip().lower().encode() for one in named.split(",")}
    return [(name, value) for name, value in headers if name.lower() not in dropped]
