"""HTTP/1.1 server that calls a handler for each complete request."""

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import h11
import structlog
from anyio.abc import SocketAttribute

from cranberryfield.core.admission import (
    BudgetExceededError,
    ByteBudget,
    ConnectionTable,
    ShedReason,
)
from cranberryfield.core.http1.message import RequestHead, find_header
from cranberryfield.core.http1.peer_wait import PeerWait
from cranberryfield.core.http1.response_writer import WRITE_BYTES, ResponseWriter
from cranberryfield.core.http1.sockets import (
    enable_dead_peer_detection,
    limit_kernel_buffers,
)
from cranberryfield.core.http1.streams import AcceptedStream

__all__ = [
    "Exchange",
    "Handler",
    "ServerLimits",
    "ServerState",
    "find_lost_connection",
    "serve_http",
]

#: Bytes that are read at once, of a head and of a body.
HEAD_READ_BYTES = 16_384
BODY_READ_BYTES = 65_536
#: Bytes of pipelined requests buffered while a request is handled.
MAX_PIPELINED_BYTES = 16_384
#: Memory of one header field beside its bytes, as the parser and a request keep it.
FIELD_OVERHEAD_BYTES = 300
#: Connections that the kernel queues until they are accepted.
BACKLOG = 1024
#: Time for which what follows a refused request is read, in seconds, and the number of
#: bytes. A connection that is closed with unread bytes may cost the caller the answer.
LINGER_S = 1.0
MAX_LINGER_BYTES = 16 << 20
#: Pause after an error of the listener, in seconds.
ACCEPT_RETRY_S = 0.05
PROVISIONAL_HEADER_BYTES = 1 << 20
PROVISIONAL_TIMEOUT_S = 60.0
#: Retry delay of requests that are refused for now, in seconds.
RETRY_S = 1
#: Bounds of a server that is given none, for tests and small tools.
DEFAULT_MAX_CONNECTIONS = 1_024
DEFAULT_MAX_HELD_BYTES = 64 << 20
BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NOT_READY = 503
#: The parser has no limit of its own, as the limits may change while it lives.
MAX_PARSER_BYTES = 1 << 30

#: Errors of a connection that the peer or the network has ended.
LOST_CONNECTION = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    ConnectionError,
)

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class ServerLimits:
    """Limits on the size of requests, in bytes, and read timeouts, in seconds.

    Attributes
    ----------
    is_provisional : bool
        Whether the limits in force are not known yet. Nothing is denied by provisional
        ones: a larger request is refused for now, with 503.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    is_provisional: bool = False

    @classmethod
    def provisional(cls) -> "ServerLimits":
        """Return limits that protect the process until those in force are known."""
        return cls(
            max_header_bytes=PROVISIONAL_HEADER_BYTES,
            header_timeout_s=PROVISIONAL_TIMEOUT_S,
            idle_timeout_s=PROVISIONAL_TIMEOUT_S,
            is_provisional=True,
        )


@dataclass(slots=True)
class ServerState:
    """State that all connections of one server share.

    Attributes
    ----------
    limits : ServerLimits
        Limits, read anew for each request so that they may change.
    connection_close : bool
        Whether responses carry ``Connection: close``.
    stop_event : anyio.Event
        Set to stop accepting connections and to close the idle ones.
    active_requests : int
        Number of requests that are being read or handled.
    table : ConnectionTable
        Open connections of the listener.
    budget : ByteBudget
        Bytes that its connections, and those of other listeners, may hold.
    on_shed : callable
        Called when a limit on all connections costs a caller something.
    """

    limits: ServerLimits = field(default_factory=ServerLimits)
    connection_close: bool = False
    stop_event: anyio.Event = field(default_factory=anyio.Event)
    active_requests: int = 0
    table: ConnectionTable = field(
        default_factory=lambda: ConnectionTable(DEFAULT_MAX_CONNECTIONS)
    )
    budget: ByteBudget = field(
        default_factory=lambda: ByteBudget(DEFAULT_MAX_HELD_BYTES)
    )
    on_shed: Callable[[ShedReason], None] = lambda reason: None


class Exchange:
    """A request and the response to it.

    Parameters
    ----------
    head : RequestHead
        Head of the request.
    body : bytes
        Body of the request, decoded from any transfer coding.
    connection : h11.Connection
        Protocol state of the connection.
    writer : ResponseWriter
        Writes to the connection.
    must_close : bool
        Whether the response carries ``Connection: close``.
    """

    def __init__(
        self,
        head: RequestHead,
        body: bytes,
        connection: h11.Connection,
        writer: ResponseWriter,
        must_close: bool,
    ):
        self._head = head
        self._body = body
        self._connection = connection
        self._writer = writer
        self._must_close = must_close
        self._broken = False

    @property
    def head(self) -> RequestHead:
        """Head of the request."""
        return self._head

    @property
    def body(self) -> bytes:
        """Body of the request."""
        return self._body

    @property
    def response_started(self) -> bool:
        """Whether the head of a response has been sent."""
        return self._connection.our_state is not h11.SEND_RESPONSE

    @property
    def is_broken(self) -> bool:
        """Whether the connection must be closed without further use."""
        return self._broken

    async def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response."""
        framed_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        data = self._head_bytes(status, framed_headers)
        if body:
            self._connection.send(h11.Data(data=body))
        # Has no bytes, as the response has a length.
        self._connection.send(h11.EndOfMessage())
        if len(body) <= WRITE_BYTES:
            await self._writer.write_through(data + body)
            return
        # Apart, since together they would be a copy.
        await self._writer.write_through(data)
        await self._writer.write_through(body)

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a response whose body length is not known yet."""
        await self._writer.write_through(self._head_bytes(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the response body."""
        await self._writer.write(self._connection.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """Send the end of the response body."""
        await self._writer.write_through(self._connection.send(h11.EndOfMessage()))

    def may_keep(self, size: int) -> bool:
        """Return whether bytes of a response may be kept until it is sent.

        Parameters
        ----------
        size : int
            Number of bytes, with those that are kept already.
        """
        return self._writer.may_keep(size)

    def abort(self) -> None:
        """Close the connection without sending the end of the body."""
        self._broken = True

    def _head_bytes(self, status: int, headers: list[tuple[bytes, bytes]]) -> bytes:
        if self._must_close:
            headers = [*headers, (b"Connection", b"close")]
        return self._connection.send(h11.Response(status_code=status, headers=headers))


#: Responds to one request; is cancelled if the caller disconnects.
Handler = Callable[[Exchange], Awaitable[None]]


class _BadRequestError(Exception):
    """Raised for a malformed, ambiguous or too large request."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


async def serve_http(
    address: tuple[str, int],
    handler: Handler,
    state: ServerState,
    *,
    task_status=anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until `state.stop_event` is set; return when all have ended.

    Parameters
    ----------
    address : tuple of (str, int)
        IP address and port to bind.
    handler : callable
        Responds to one request.
    state : ServerState
        Limits and shutdown state of the server.
    task_status : anyio.abc.TaskStatus
        Reports the task as started once the port is bound.
    """
    host, port = address
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=port, backlog=BACKLOG
    )
    sockets = [one.extra(SocketAttribute.raw_socket) for one in listener.listeners]
    for one in sockets:
        # Accepted sockets inherit the limits.
        limit_kernel_buffers(one)

    async def serve_connection(connection: _Connection) -> None:
        try:
            await connection.run()
        except Exception as error:
            if (lost := find_lost_connection(error)) is not None:
                cause = lost.__cause__ or lost
                logger.info("caller's connection lost", cause=repr(cause))
                return
            logger.exception("connection closed after an unhandled exception")
        finally:
            connection.close()

    async with (
        anyio.create_task_group() as connections,
        listener,
        anyio.create_task_group() as accepting,
    ):

        def start(raw: socket.socket) -> None:
            connection = _Connection.admit(raw, handler, state)
            if connection is not None:
                connections.start_soon(serve_connection, connection)

        for one in sockets:
            accepting.start_soon(_accept, one, start)
        task_status.started()
        await state.stop_event.wait()
        accepting.cancel_scope.cancel()


async def _accept(
    listener: socket.socket, start: Callable[[socket.socket], None]
) -> None:
    """Accept connections until cancelled.

    An error of one connection, or a lack of descriptors, is not the listener's end.
    """
    while True:
        await anyio.wait_readable(listener)
        try:
            start(accept_connection(listener))
        except BlockingIOError:
            continue
        except OSError as error:
            logger.warning("connection not accepted", cause=repr(error))
            await anyio.sleep(ACCEPT_RETRY_S)


def accept_connection(listener: socket.socket) -> socket.socket:
    """Accept one connection; its socket does not block."""
    raw, _ = listener.accept()
    raw.setblocking(False)
    return raw


def _printable(head: RequestHead) -> str:
    return head.target.decode("latin-1")


def find_lost_connection(error: Exception) -> Exception | None:
    """Return the loss of the connection if `error` is nothing else, else None.

    Task groups wrap the errors of their tasks.
    """
    if isinstance(error, LOST_CONNECTION):
        return error
    if not isinstance(error, ExceptionGroup):
        return None
    lost = [find_lost_connection(one) for one in error.exceptions]
    return None if None in lost else lost[0]


class _Connection:
    """Server side of one connection, which handles its requests in order."""

    def __init__(self, stream: AcceptedStream, handler: Handler, state: ServerState):
        self._stream = stream
        self._handler = handler
        self._state = state
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_PARSER_BYTES
        )
        self._unparsed_bytes = 0
        self._pipelined = bytearray()
        self._received_eof = False
        #: Whether a request has begun that has not been read whole.
        self._is_reading = False
        self._waiting = PeerWait(state.budget, state.table, state.on_shed)
        self._scope = anyio.CancelScope()

    @classmethod
    def admit(
        cls, raw: socket.socket, handler: Handler, state: ServerState
    ) -> "_Connection | None":
        """Return the connection of an accepted socket; None if there are too many."""
        enable_dead_peer_detection(raw)
        connection = cls(AcceptedStream(raw), handler, state)
        if state.table.admit(connection._waiting.admitted):
            connection._waiting.for_request(connection._scope)
            return connection
        state.on_shed(ShedReason.CONNECTION_REFUSED)
        connection._refuse_now()
        connection._stream.close()
        return None

    def close(self) -> None:
        """Close the connection."""
        self._waiting.close()
        self._stream.close()

    async def run(self) -> None:
        """Handle requests until the connection has to be closed."""
        with self._scope:
            await self._serve_requests()
        if self._waiting.evicted_for is not None and self._is_reading:
            self._refuse_now()

    def _refuse_now(self) -> None:
        """Send a refusal, as far as the kernel takes it at once."""
        if self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            with suppress(anyio.BrokenResourceError):
                self._stream.send_now(self._refusal(NOT_READY))

    async def _serve_requests(self) -> None:
        while True:
            try:
                has_data = await self._wait_for_bytes()
                if not has_data:
                    return
                self._state.active_requests += 1
                try:
                    keep_alive = await self._serve_request()
                finally:
                    self._state.active_requests -= 1
            except _BadRequestError as error:
                await self._refuse(error)
                return
            if not keep_alive:
                return

    async def _wait_for_bytes(self) -> bool:
        """Wait for data of a request; return False if the connection must close."""
        self._waiting.hold_request(0)
        if self._connection.trailing_data[0] or self._pipelined:
            return True
        self._waiting.for_request(self._scope)
        idle_since = anyio.current_time()
        while True:
            deadline = idle_since + self._state.limits.idle_timeout_s
            if anyio.current_time() >= deadline:
                return False
            is_over, received = await self._wait_until(deadline)
            # The limit may have grown in the meantime.
            if is_over:
                return received

    async def _wait_until(self, deadline: float) -> tuple[bool, bool]:
        """Wait for bytes, the end of the connection, a stop of the server, or a time.

        Returns whether it was another end than the time, and whether it was bytes.
        """
        is_over = received = False

        async def receive() -> None:
            nonlocal is_over, received
            received = await self._receive()
            is_over = True
            tasks.cancel_scope.cancel()

        async def stop() -> None:
            nonlocal is_over
            await self._state.stop_event.wait()
            is_over = True
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.cancel_scope.deadline = deadline
            tasks.start_soon(receive)
            tasks.start_soon(stop)
        return is_over, received

    async def _receive(self, max_bytes: int = HEAD_READ_BYTES) -> bool:
        """Pass received bytes to the parser; return False at end of file."""
        if self._pipelined:
            data, self._pipelined = bytes(self._pipelined), bytearray()
        elif self._received_eof:
            return False
        else:
            self._waiting.record_progress()
            try:
                data = await self._stream.receive(max_bytes)
            except anyio.EndOfStream:
                self._received_eof = True
                return False
        self._feed(data)
        return True

    def _feed(self, data: bytes) -> None:
        self._unparsed_bytes += len(data)
        self._connection.receive_data(data)

    async def _next_event(self, read_bytes: int = HEAD_READ_BYTES):
        while True:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint or BAD_REQUEST
                raise _BadRequestError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                self._unparsed_bytes = 0
                return event
            if self._unparsed_bytes > self._state.limits.max_header_bytes:
                raise self._too_large(HEADERS_TOO_LARGE, "head")
            if self._unparsed_bytes > HEAD_READ_BYTES:
                self._waiting.hold_beside_request(self._unparsed_bytes)
            if self._connection.they_are_waiting_for_100_continue:
                interim_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                if not self._stream.send_now(self._connection.send(interim_response)):
                    await self._stream.flush(WRITE_BYTES)
            if not await self._receive(read_bytes):
                raise anyio.EndOfStream

    async def _serve_request(self) -> bool:
        """Read and handle one request; return whether another one may follow."""
        self._waiting.for_request(self._scope)
        self._is_reading = True
        try:
            with anyio.fail_after(self._state.limits.header_timeout_s):
                head = await self._read_head()
            with anyio.fail_after(self._state.limits.idle_timeout_s):
                body = await self._read_body()
        except (TimeoutError, anyio.EndOfStream):
            return False
        except BudgetExceededError as error:
            self._state.on_shed(ShedReason.REQUEST_REFUSED)
            raise _BadRequestError(
                NOT_READY, "too many bytes of requests are held"
            ) from error
        self._is_reading = False
        self._waiting.end()
        must_close = self._state.connection_close
        exchange = await self._handle(head, body, must_close)
        if exchange is None:
            return False
        if exchange.is_broken or not exchange.response_started:
            return False
        if self._connection.our_state is not h11.DONE:
            return False
        if self._connection.their_state is not h11.DONE:
            return False
        self._connection.start_next_cycle()
        return not must_close

    async def _read_head(self) -> RequestHead:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            raise _BadRequestError(BAD_REQUEST, "no request head received")
        headers = event.headers.raw_items()
        _refuse_ambiguous_headers(headers)
        size = sum(len(name) + len(value) for name, value in headers)
        limits = self._state.limits
        if size + len(event.target) > limits.max_header_bytes:
            raise self._too_large(HEADERS_TOO_LARGE, "head")
        length = find_header(headers, b"content-length")
        if length is not None and int(length) > limits.max_body_bytes:
            raise self._too_large(BODY_TOO_LARGE, "body")
        self._waiting.hold_request(size + FIELD_OVERHEAD_BYTES * len(headers))
        return RequestHead(event.method, event.target, headers)

    def _too_large(self, status: int, part: str) -> _BadRequestError:
        detail = f"request {part} exceeds the size limit of the server"
        if self._state.limits.is_provisional:
            return _BadRequestError(NOT_READY, f"{detail}, which is not known yet")
        return _BadRequestError(status, detail)

    async def _read_body(self) -> bytes:
        held_bytes = self._waiting.holding.size
        # One buffer, as a list of small parts would take many times their bytes.
        body = bytearray()
        while True:
            event = await self._next_event(BODY_READ_BYTES)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                continue
            if len(body) + len(event.data) > self._state.limits.max_body_bytes:
                raise self._too_large(BODY_TOO_LARGE, "body")
            body += event.data
            self._waiting.hold_request(held_bytes + len(body))

    async def _handle(
        self, head: RequestHead, body: bytes, must_close: bool
    ) -> Exchange | None:
        """Run the handler; return None if the caller has left or does not read."""
        disconnected = False
        has_ended = False

        async def watch_for_disconnect() -> None:
            nonlocal disconnected
            while len(self._pipelined) < MAX_PIPELINED_BYTES:
                left_bytes = MAX_PIPELINED_BYTES - len(self._pipelined)
                try:
                    data = await self._stream.receive(left_bytes)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    disconnected = True
                    tasks.cancel_scope.cancel()
                    return
                self._pipelined += data

        async with anyio.create_task_group() as tasks:
            exchange = Exchange(
                head,
                body,
                self._connection,
                ResponseWriter(self._stream, self._waiting, tasks.cancel_scope),
                must_close,
            )
            tasks.start_soon(watch_for_disconnect)
            await self._handler(exchange)
            has_ended = True
            tasks.cancel_scope.cancel()
        self._received_eof = self._received_eof or disconnected
        if not (has_ended or disconnected):
            logger.info("caller does not take the response", target=_printable(head))
        return exchange if has_ended and not disconnected else None

    async def _refuse(self, error: _BadRequestError) -> None:
        logger.info("request refused", status=error.status, detail=error.detail)
        if self._connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._waiting.hold_request(0)
        self._waiting.for_request(self._scope)
        with anyio.move_on_after(LINGER_S):
            if not self._stream.send_now(self._refusal(error.status)):
                await self._stream.flush(WRITE_BYTES)
            self._stream.end_sending()
            await self._discard_rest()

    def _refusal(self, status: int) -> bytes:
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == NOT_READY:
            headers.append((b"Retry-After", str(RETRY_S).encode()))
        response = h11.Response(status_code=status, headers=headers)
        return self._connection.send(response) + self._connection.send(
            h11.EndOfMessage()
        )

    async def _discard_rest(self) -> None:
        """Read what the caller goes on sending, so that it gets the refusal."""
        discarded_bytes = 0
        while discarded_bytes < MAX_LINGER_BYTES:
            try:
                data = await self._stream.receive(BODY_READ_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
            discarded_bytes += len(data)


def _refuse_ambiguous_headers(headers: list[tuple[bytes, bytes]]) -> None:
    """Refuse headers that parsers may interpret differently.

    A request with two body lengths can be used for request smuggling.
    """
    names = [name.lower() for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise _BadRequestError(
            BAD_REQUEST, "both Transfer-Encoding and Content-Length are given"
        )
    if names.count(b"host") > 1:
        raise _BadRequestError(BAD_REQUEST, "more than one Host header is given")
