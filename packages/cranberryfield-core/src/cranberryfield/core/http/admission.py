"""Limits on the connections and bodies of a server that runs an ASGI application."""

import socket
from collections.abc import Callable
from contextlib import suppress

from cranberryfield.core.admission import (
    AdmittedConnection,
    BudgetExceededError,
    ByteBudget,
    ByteHolding,
    ConnectionTable,
    ShedReason,
)
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.http.problems import problem_response
from cranberryfield.core.http1.sockets import limit_kernel_buffers
from cranberryfield.core.listening import ACCEPTED_AT_ONCE, ListeningSocket

__all__ = ["AdmissionMiddleware", "AdmittingListener"]

KEY_HEADER = b"idempotency-key"
RETRY_S = 1.0
#: Memory of a request beside its body, as the server and its task keep it.
REQUEST_BYTES = 16_384
#: Sent to a caller for which there is no connection left.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Retry-After: 1\r\nConnection: close\r\n\r\n"
)


class _AdmittedSocket(socket.socket):
    """Accepted socket that leaves the table when it is closed."""

    use: "_ConnectionUse | None" = None

    def close(self) -> None:
        if self.use is not None:
            self.use.end()
        super().close()


class _ConnectionUse:
    """Requests in progress on one connection, of which HTTP/2 allows several.

    Parameters
    ----------
    raw : _AdmittedSocket
        The connection.
    listener : AdmittingListener
        Where it was accepted.

    Attributes
    ----------
    on_end : callable, optional
        Called when the connection is closed.
    """

    def __init__(self, raw: _AdmittedSocket, listener: "AdmittingListener"):
        self._raw = raw
        self._listener = listener
        self._working = 0
        self.on_end: Callable[[], None] | None = None
        self._waiting_since = listener.clock()
        self.admitted = AdmittedConnection(
            lambda: self.shed(ShedReason.CONNECTION_CLOSED)
        )

    @property
    def waits_s(self) -> float:
        """Time in seconds for which all its requests have waited for the caller."""
        return 0.0 if self._working else self._listener.clock() - self._waiting_since

    def change_working(self, by: int) -> None:
        """Change the number of requests that do not wait for the caller."""
        self._working += by
        self._waiting_since = self._listener.clock()
        if self._working:
            self._listener.table.mark_working(self.admitted)
        else:
            self._listener.table.mark_waiting(self.admitted)

    def shed(self, reason: ShedReason) -> None:
        """Close the connection, as a limit on all of them requires."""
        self._listener.on_shed(reason)
        # The caller may have closed it meanwhile.
        with suppress(OSError):
            self._raw.shutdown(socket.SHUT_RDWR)

    def end(self) -> None:
        """Forget the connection."""
        self._listener.forget(self)
        if self.on_end is not None:
            self.on_end()


class AdmittingListener(ListeningSocket):
    """Listening socket that accepts a limited number of connections.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    table : ConnectionTable
        Open connections.
    on_shed : callable
        Called when a limit costs a caller something.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        host: str,
        port: int,
        table: ConnectionTable,
        on_shed: Callable[[ShedReason], None],
        clock: Clock,
    ):
        super().__init__(host, port)
        limit_kernel_buffers(self)
        self.table = table
        self.on_shed = on_shed
        self.clock = clock
        self._uses: dict[AdmittedConnection, tuple] = {}
        self._by_peer: dict[tuple, _ConnectionUse] = {}

    def accept(self) -> tuple[socket.socket, tuple]:
        """Accept a connection, in the place of one that waits if there are too many."""
        if len(self._uses) - self.table.open_count >= ACCEPTED_AT_ONCE:
            # Those that gave way are not closed yet.
            raise BlockingIOError
        descriptor, peer = self._accept()
        raw = _AdmittedSocket(self.family, self.type, self.proto, fileno=descriptor)
        raw.setblocking(False)
        use = _ConnectionUse(raw, self)
        if not self.table.admit(use.admitted):
            self.on_shed(ShedReason.CONNECTION_REFUSED)
            # The caller may have left meanwhile.
            with suppress(OSError):
                raw.send(REFUSAL)
            raw.close()
            raise ConnectionAbortedError("too many connections")
        raw.use = use
        self.table.mark_waiting(use.admitted)
        self._uses[use.admitted] = peer[:2]
        self._by_peer[peer[:2]] = use
        return raw, peer

    def forget(self, use: _ConnectionUse) -> None:
        """Remove a closed connection."""
        self.table.remove(use.admitted)
        peer = self._uses.pop(use.admitted, None)
        if self._by_peer.get(peer) is use:
            del self._by_peer[peer]

    def shed_stalled(self, after_s: float) -> None:
        """Close the connections that have waited for their caller for that long."""
        for use in list(self._by_peer.values()):
            if use.waits_s >= after_s:
                use.shed(ShedReason.CONNECTION_CLOSED)

    def find(self, peer: tuple) -> _ConnectionUse | None:
        """Return the connection of a peer; None if it is closed."""
        return self._by_peer.get(tuple(peer))


class AdmissionMiddleware:
    """Tells an `AdmittingListener` which connections wait for their callers.

    Parameters
    ----------
    app : callable
        The ASGI application.
    listener : AdmittingListener
        The listener of its server.
    budget : ByteBudget
        Bytes of bodies that may be held.
    """

    def __init__(self, app: Callable, listener: AdmittingListener, budget: ByteBudget):
        self._app = app
        self._listener = listener
        self._budget = budget

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Run the application for one connection scope."""
        use = None
        if scope["type"] == "http" and scope.get("client"):
            use = self._listener.find(scope["client"])
        if use is None:
            await self._app(scope, receive, send)
            return
        holding = ByteHolding(self._budget)
        try:
            # HTTP/2 allows many requests on a connection.
            holding.resize(REQUEST_BYTES)
        except BudgetExceededError:
            self._listener.on_shed(ShedReason.REQUEST_REFUSED)
            await problem_response(_refusal(scope))(scope, receive, send)
            return
        is_read = False

        async def receive_part() -> dict:
            nonlocal is_read
            if is_read:
                return await receive()
            holding.evict = lambda: use.shed(ShedReason.REQUEST_REFUSED)
            use.change_working(-1)
            try:
                message = await receive()
            finally:
                holding.evict = None
                use.change_working(1)
            is_read = not message.get("more_body", False)
            try:
                holding.resize(holding.size + len(message.get("body", b"")))
            except BudgetExceededError as error:
                self._listener.on_shed(ShedReason.REQUEST_REFUSED)
                raise _refusal(scope) from error
            return message

        async def send_part(message: dict) -> None:
            use.change_working(-1)
            try:
                await send(message)
            finally:
                use.change_working(1)

        use.change_working(1)
        try:
            await self._app(scope, receive_part, send_part)
        finally:
            use.change_working(-1)
            holding.resize(0)


def _refusal(scope: dict) -> UnavailableError:
    # Another host may have run a request with the same key.
    has_key = any(name.lower() == KEY_HEADER for name, _ in scope["headers"])
    return UnavailableError(
        ErrorKind.QUEUE_FULL,
        "too many bytes of requests are held on this host",
        was_run=WasRun.UNKNOWN if has_key else WasRun.NO,
        retry_after_s=RETRY_S,
    )
