"""HTTP/1.1 client and server on h11 and anyio, for requests relayed unchanged.

The web frameworks of the completion and operator interfaces normalise header
names, URLs and encodings; these modules preserve them as received.
"""

from cranberryfield.core.http1.client import (
    BrokenExchangeError,
    ConnectionPool,
    NotSentError,
    ResponseTimeoutError,
    UpstreamConnection,
    connect_directly,
    open_stream,
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
    find_lost_connection,
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
    "ResponseTimeoutError",
    "ServerLimits",
    "ServerState",
    "UpstreamConnection",
    "connect_directly",
    "fetch",
    "find_header",
    "find_lost_connection",
    "open_stream",
    "serve_http",
]
