"""HTTP/1.1 client connections with a pool for their reuse."""

import select
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

import anyio
import h11
import structlog
from anyio.abc import ByteStream, SocketAttribute, SocketStream

from cranberryfield.core.clock import Clock
from cranberryfield.core.http1.message import RequestHead, ResponseHead, find_header
from cranberryfield.core.http1.sockets import (
    enable_dead_peer_detection,
    limit_kernel_buffers,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.numbers import parse_count

__all__ = [
    "BrokenExchangeError",
    "ConnectionPool",
    "NotSentError",
    "ResponseTimeoutError",
    "UpstreamConnection",
    "connect_directly",
    "open_stream",
]

READ_BYTES = 65_536
#: Bytes of a request that are sent at once.
SEND_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_PORT = 65_535
#: Maximum number of informational responses before a response.
MAX_INFORMATIONAL_RESPONSES = 16
#: Idle time for which a connection is reused if the server sends no
#: ``Keep-Alive`` timeout, in seconds.
DEFAULT_KEEP_ALIVE_S = 4.0
#: Subtracted from the server's ``Keep-Alive`` timeout to allow for network
#: delay, in seconds.
KEEP_ALIVE_MARGIN_S = 1.0
#: Requests whose ids a connection remembers.
MAX_CARRIED_IDS = 64
#: Length from which on their digest is remembered instead, and its size in bytes.
MAX_ID_CHARS = 64
ID_DIGEST_BYTES = 32
#: Maximum number of idle connections to one address.
MAX_IDLE_PER_ADDRESS = 32

logger = structlog.get_logger(__name__)


class NotSentError(Exception):
    """Raised if no byte of the request was written.

    Parameters
    ----------
    detail : str
        Explanation for the log.
    is_refused : bool
        Whether the host refused the connection, as no process listens there.
    """

    def __init__(self, detail: str, is_refused: bool = False):
        super().__init__(detail)
        self.is_refused = is_refused


class BrokenExchangeError(Exception):
    """Raised if the exchange fails after the server may have read the request."""


class ResponseTimeoutError(BrokenExchangeError):
    """Raised if the server does not respond in time; its connection is still open."""


class UpstreamConnection:
    """Client connection that carries one exchange at a time.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The open connection.
    via : NodeId, optional
        The process through which it leads, if any. Such a connection carries one
        exchange only.
    """

    def __init__(self, stream: ByteStream, via: NodeId | None = None):
        self._stream = stream
        self._via = via
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._must_close = False
        self._exchange_count = 0
        self._carried_ids: deque[str] = deque(maxlen=MAX_CARRIED_IDS)
        self.idle_since = 0.0

    @property
    def via(self) -> NodeId | None:
        """The process through which the connection leads, if any."""
        return self._via

    @property
    def is_reused(self) -> bool:
        """Whether the connection carried an exchange before the current one."""
        return self._exchange_count > 1

    @property
    def is_reusable(self) -> bool:
        """Whether the last exchange is complete and another one may follow."""
        return (
            not self._must_close
            and self._via is None
            and self._connection.our_state is h11.DONE
            and self._connection.their_state is h11.DONE
            and not self._connection.trailing_data[0]
        )

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was sent lately.

        An answer that the server writes once more could not be told from that to a
        second request with the id.
        """
        return _short_id(request_id) in self._carried_ids

    def is_open_at(self, now: float) -> bool:
        """Return whether the server is expected to still accept a request."""
        return now - self.idle_since < self._keep_alive_s and self._has_no_input()

    def _has_no_input(self) -> bool:
        """Return whether the socket is open with no data or end of file to read."""
        raw = self._stream.extra(SocketAttribute.raw_socket)
        if raw.fileno() < 0:
            return False
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLIN)
        return not poller.poll(0)

    async def send(
        self, head: RequestHead, body: bytes, request_id: str | None = None
    ) -> None:
        """Send a request.

        Parameters
        ----------
        head : RequestHead
            Head of the request.
        body : bytes
            Its body.
        request_id : str, optional
            Id that answers to it name.

        Raises
        ------
        BrokenExchangeError
            If the connection is closed or reset while sending.
        """
        if self._exchange_count:
            self._connection.start_next_cycle()
        self._exchange_count += 1
        if request_id is not None:
            self._carried_ids.append(_short_id(request_id))
        headers = head.headers
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        request = h11.Request(method=head.method, target=head.target, headers=headers)
        data = self._connection.send(request)
        if body:
            self._connection.send(h11.Data(data=body))
        # Has no bytes, as the request has a length.
        self._connection.send(h11.EndOfMessage())
        try:
            if len(body) <= SEND_BYTES:
                await self._stream.send(data + body)
                return
            # In parts, since a stream copies what it cannot send at once.
            await self._stream.send(data)
            for start in range(0, len(body), SEND_BYTES):
                await self._stream.send(body[start : start + SEND_BYTES])
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            raise BrokenExchangeError(
                "connection closed while sending the request"
            ) from error

    async def read_head(self) -> ResponseHead:
        """Read the head of the next response on the connection."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._update_keep_alive(event)
                return ResponseHead(event.status_code, event.headers.raw_items())
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenExchangeError("connection closed before the response")
        self._must_close = True
        raise BrokenExchangeError("too many informational responses")

    async def read_part(self) -> bytes | None:
        """Read the next part of the body; return None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenExchangeError("connection closed before the end of the body")

    async def read_body(self, limit: int) -> bytes:
        """Read the whole body.

        Raises
        ------
        BrokenExchangeError
            If the connection is closed first or the body is larger than `limit`
            bytes.
        """
        parts = []
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > limit:
                raise BrokenExchangeError(f"response body is larger than {limit} bytes")
            parts.append(part)
        return b"".join(parts)

    def start_next_response(self) -> bool:
        """Prepare to read another response, after one to an earlier request.

        Returns
        -------
        bool
            False if the connection cannot carry another response.
        """
        if self._must_close or self._connection.their_state is not h11.DONE:
            return False
        rest, _ = self._connection.trailing_data
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        self._connection = parser
        return True

    async def _next_event(self):
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                self._must_close = True
                raise BrokenExchangeError(
                    f"invalid or incomplete HTTP response: {error}"
                ) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                OSError,
            ) as error:
                self._must_close = True
                raise BrokenExchangeError(
                    "connection lost before the end of the response"
                ) from error
            self._connection.receive_data(data)

    def _update_keep_alive(self, response: h11.Response) -> None:
        headers = response.headers.raw_items()
        given = find_header(headers, b"keep-alive")
        if given is not None:
            self._keep_alive_s = _parse_keep_alive(given) - KEEP_ALIVE_MARGIN_S
        connection = (find_header(headers, b"connection") or "").lower()
        self._must_close = self._must_close or "close" in connection

    async def close(self) -> None:
        """Close the connection immediately, also if the task is cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


def _short_id(request_id: str) -> str:
    """Return an id of bounded length, as callers choose theirs."""
    if len(request_id) <= MAX_ID_CHARS:
        return request_id
    return blake2b(request_id.encode(), digest_size=ID_DIGEST_BYTES).hexdigest()


def _parse_keep_alive(value: str) -> float:
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        timeout_s = parse_count(seconds.strip())
        if name.strip().lower() == "timeout" and timeout_s is not None:
            return float(timeout_s)
    return DEFAULT_KEEP_ALIVE_S


async def open_stream(address: str, timeout_s: float) -> SocketStream:
    """Open a stream to a server that notices a dead server.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout_s : float
        Timeout in seconds.

    Returns
    -------
    anyio.abc.SocketStream
        The open stream.

    Raises
    ------
    NotSentError
        If it cannot be opened in time.
    """
    host, _, port = address.rpartition(":")
    port_number = parse_count(port)
    if port_number is None or port_number > MAX_PORT:
        raise NotSentError(f"{address} is not an address")
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(host, port_number)
    except (OSError, TimeoutError, ValueError) as error:
        is_refused = isinstance(error.__cause__, ConnectionRefusedError)
        raise NotSentError(f"cannot connect to {address}", is_refused) from error
    raw = stream.extra(SocketAttribute.raw_socket)
    enable_dead_peer_detection(raw)
    limit_kernel_buffers(raw)
    return stream


async def connect_directly(address: str, timeout_s: float) -> UpstreamConnection:
    """Open a connection to a server; see `open_stream`."""
    return UpstreamConnection(await open_stream(address, timeout_s))


@dataclass(slots=True)
class ConnectionPool:
    """Pool of idle connections by address.

    Attributes
    ----------
    clock : Clock
        Monotonic clock.
    connect_timeout_s : float
        Timeout for opening a connection, in seconds.
    opened_count : int
        Number of connections opened so far.
    dial : callable, optional
        Opens the connection to an address; by default a direct one.
    """

    clock: Clock
    connect_timeout_s: float = 0.5
    opened_count: int = 0
    dial: Callable[[str], Awaitable[UpstreamConnection]] | None = None
    _idle_connections: dict[str, deque[UpstreamConnection]] = field(
        default_factory=dict
    )

    async def acquire(
        self, address: str, request_id: str | None = None
    ) -> UpstreamConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        request_id : str, optional
            Id of the request; a connection that has carried it is not returned.

        Returns
        -------
        UpstreamConnection
            Ready for a request.

        Raises
        ------
        NotSentError
            If no connection can be opened within `connect_timeout_s`.
        """
        connection, expired = self._take(address, request_id)
        try:
            await _close_each(expired)
        except BaseException:
            if connection is not None:
                await connection.close()
            raise
        return connection if connection is not None else await self.open(address)

    def _take(
        self, address: str, request_id: str | None
    ) -> tuple[UpstreamConnection | None, list[UpstreamConnection]]:
        """Take the newest usable connection out of the pool, and expired ones.

        As every change of the pool it has no step that waits, since other tasks use
        the pool meanwhile.
        """
        idle = self._idle_connections.get(address, deque())
        now = self.clock()
        taken, carried, expired = None, [], []
        while idle and taken is None:
            connection = idle.pop()
            if not connection.is_open_at(now):
                expired.append(connection)
            elif request_id is not None and connection.has_carried(request_id):
                carried.append(connection)
            else:
                taken = connection
        idle.extend(reversed(carried))
        if not idle:
            self._idle_connections.pop(address, None)
        return taken, expired

    async def open(self, address: str) -> UpstreamConnection:
        """Open a new connection."""
        if self.dial is not None:
            connection = await self.dial(address)
        else:
            connection = await connect_directly(address, self.connect_timeout_s)
        self.opened_count += 1
        return connection

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address is still open."""
        now = self.clock()
        idle = self._idle_connections.get(address, ())
        return any(connection.is_open_at(now) for connection in idle)

    async def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if connection.is_reusable:
            await self.keep(address, connection)
        else:
            await connection.close()

    async def keep(self, address: str, connection: UpstreamConnection) -> None:
        """Keep an idle connection for a later request."""
        idle = self._idle_connections.setdefault(address, deque())
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            await connection.close()
            return
        connection.idle_since = self.clock()
        idle.append(connection)

    async def close_address(self, address: str) -> None:
        """Close all idle connections to an address."""
        await _close_each(self._idle_connections.pop(address, ()))

    async def close_all(self) -> None:
        """Close all idle connections."""
        taken, self._idle_connections = self._idle_connections, {}
        await _close_each(one for idle in taken.values() for one in idle)

    async def close_expired(self) -> None:
        """Close the idle connections that the servers closed or soon will."""
        now = self.clock()
        expired: list[UpstreamConnection] = []
        for address, idle in list(self._idle_connections.items()):
            kept = deque()
            for connection in idle:
                (kept if connection.is_open_at(now) else expired).append(connection)
            if kept:
                self._idle_connections[address] = kept
            else:
                del self._idle_connections[address]
        await _close_each(expired)


async def _close_each(connections: Iterable[UpstreamConnection]) -> None:
    """Close connections that nothing else refers to; all of them in any case."""
    with anyio.CancelScope(shield=True):
        for connection in connections:
            await connection.close()
