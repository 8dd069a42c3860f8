"""HTTP/1.1 connections on h11 and anyio, for requests that pass unchanged.

The frameworks behind the product's own interface normalise what they carry:
header names, URLs, encodings. These modules hand over what came.
"""

from cranberryfield.core.http1.client import (
    BrokenExchangeError,
    ConnectionPool,
    NotSentError,
    UpstreamConnection,
)
from cranberryfield.core.http1.fetch import fetch
from cranberryfield.core.http1.message import (
    RequestHead,
    Response,
    ResponseHead,
    find_header,
)
from cranberryfield.core.http1.server import (
    Exchange,
    ServerLimits,
    ServerState,
    serve_http,
)

__all__ = [
    "BrokenExchangeError",
    "ConnectionPool",
    "Exchange",
    "NotSentError",
    "RequestHead",
    "Response",
    "ResponseHead",
    "ServerLimits",
    "ServerState",
    "UpstreamConnection",
    "fetch",
    "find_header",
    "serve_http",
]
