"""Clients on loopback that send more than they may, or do not read their answers."""

import errno
import selectors
import socket
import threading
import time
from dataclasses import dataclass, field

from standins.process_usage import ProcessUsage, measure_usage
from standins.processes import wait_until

__all__ = ["PROCESS_ENDED", "Crowd", "CrowdSpec"]

#: Breach of a server that has no process any more.
PROCESS_ENDED = "the process has ended"

PIECE_BYTES = 1 << 18
READ_BYTES = 1 << 16
OPENED_AT_ONCE = 20
MEASURE_INTERVAL_S = 0.01
SELECT_TIMEOUT_S = 0.01
#: Time without a sent byte or a new connection after which the crowd waits for the
#: server only.
SETTLED_S = 1.5
#: The same while connections are not established, as the kernel repeats its attempts.
CONNECTING_S = 10.0
#: Guard against hanging, not an assertion.
SETTLE_TIMEOUT_S = 120.0


@dataclass(frozen=True, slots=True)
class CrowdSpec:
    """What the clients of a crowd do.

    Attributes
    ----------
    connections : int
        Number of connections that are open at a time.
    head : bytes
        Bytes that each connection sends first.
    unit : bytes
        Bytes that it sends again and again after that; empty to send nothing more.
    sent_bytes : int
        Number of bytes after which a connection sends no more.
    reads : bool
        Whether the clients read what they are sent.
    reconnections : int
        Number of connections that are opened in place of closed ones.
    closes : bool
        Whether a client closes its connection once it has sent everything.
    """

    connections: int
    head: bytes
    unit: bytes = b""
    sent_bytes: int = 0
    reads: bool = False
    reconnections: int = 0
    closes: bool = False


@dataclass(slots=True, eq=False)
class _Client:
    connection: socket.socket
    pending: memoryview
    left_bytes: int


@dataclass(slots=True)
class Crowd:
    """Clients of one spec, run by a thread until the crowd is stopped.

    The thread measures the server, and closes all connections for good at the first
    measurement beyond a bound.

    Attributes
    ----------
    spec : CrowdSpec
        What the clients do.
    address : tuple of (str, int)
        Address that they connect to.
    pid : int
        Process id of the server.
    max_memory_bytes, max_descriptors : int
        Bounds on the usage of the server.
    peak : ProcessUsage
        Largest memory and largest number of descriptors measured.
    breach : str
        The bound that was passed; empty if none.
    closed_count : int
        Connections that the server has closed.
    """

    spec: CrowdSpec
    address: tuple[str, int]
    pid: int
    max_memory_bytes: int
    max_descriptors: int
    peak: ProcessUsage = ProcessUsage(0, 0, 0)
    breach: str = ""
    closed_count: int = 0
    _selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    _clients: set[_Client] = field(default_factory=set)
    _connecting: set[_Client] = field(default_factory=set)
    #: Clients that have sent everything and do not read.
    _silent: set[_Client] = field(default_factory=set)
    _left_reconnections: int = 0
    _missing: int = 0
    _progress_at: float = 0.0
    _stop: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None
    _piece: bytes = b""

    def __enter__(self) -> "Crowd":
        unit = self.spec.unit
        self._piece = unit * max(1, PIECE_BYTES // len(unit)) if unit else b""
        self._missing = self.spec.connections
        self._left_reconnections = self.spec.reconnections
        self._progress_at = time.monotonic()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        self._thread.join()

    def wait_until_settled(self) -> None:
        """Wait until nothing more is sent, or a bound is passed."""

        def is_settled() -> bool:
            idle_s = time.monotonic() - self._progress_at
            limit_s = CONNECTING_S if self._connecting else SETTLED_S
            return bool(self.breach) or idle_s > limit_s

        wait_until(is_settled, "the crowd has sent what it can", SETTLE_TIMEOUT_S)

    def _run(self) -> None:
        measured_at = 0.0
        try:
            while not self._stop.is_set() and not self.breach:
                self._open_missing()
                self._step()
                now = time.monotonic()
                if now - measured_at >= MEASURE_INTERVAL_S:
                    self._measure()
                    self._replace_closed()
                    measured_at = time.monotonic()
        finally:
            for client in list(self._clients):
                self._close(client)
            self._selector.close()

    def _measure(self) -> None:
        usage = measure_usage(self.pid)
        if usage is None:
            self.breach = PROCESS_ENDED
            return
        if usage.memory_bytes > self.peak.memory_bytes:
            self.peak = ProcessUsage(
                usage.resident_bytes, usage.queued_bytes, self.peak.descriptors
            )
        if usage.descriptors > self.peak.descriptors:
            self.peak = ProcessUsage(
                self.peak.resident_bytes, self.peak.queued_bytes, usage.descriptors
            )
        if usage.memory_bytes > self.max_memory_bytes:
            self.breach = f"memory: {usage}"
        elif usage.descriptors > self.max_descriptors:
            self.breach = f"descriptors: {usage}"

    def _open_missing(self) -> None:
        """Open connections, few at a time so that no listener's queue overflows."""
        for _ in range(min(self._missing, OPENED_AT_ONCE)):
            connection = socket.socket()
            connection.setblocking(False)
            code = connection.connect_ex(self.address)
            if code not in (0, errno.EINPROGRESS):
                connection.close()
                return
            self._missing -= 1
            self._progress_at = time.monotonic()
            client = _Client(
                connection, memoryview(self.spec.head), self.spec.sent_bytes
            )
            self._clients.add(client)
            self._connecting.add(client)
            events = selectors.EVENT_READ if self.spec.reads else 0
            self._selector.register(connection, events | selectors.EVENT_WRITE, client)

    def _step(self) -> None:
        for key, events in self._selector.select(SELECT_TIMEOUT_S):
            client = key.data
            try:
                if events & selectors.EVENT_READ:
                    self._read(client)
                elif events & selectors.EVENT_WRITE:
                    self._write(client)
            except BlockingIOError:
                continue
            except OSError:
                self._replace(client)

    def _write(self, client: _Client) -> None:
        if client in self._connecting:
            self._connecting.remove(client)
            self._progress_at = time.monotonic()
        if not client.pending:
            size = min(len(self._piece), client.left_bytes)
            client.pending = memoryview(self._piece)[:size]
            client.left_bytes -= size
        if client.pending:
            sent = client.connection.send(client.pending)
            client.pending = client.pending[sent:]
            self._progress_at = time.monotonic()
        elif self.spec.closes:
            self._replace(client)
        elif self.spec.reads:
            self._selector.modify(client.connection, selectors.EVENT_READ, client)
        else:
            self._selector.unregister(client.connection)
            self._silent.add(client)

    def _read(self, client: _Client) -> None:
        if not client.connection.recv(READ_BYTES):
            self._replace(client)

    def _replace_closed(self) -> None:
        """Replace the silent clients whose connection the server has closed."""
        for client in list(self._silent):
            try:
                # Takes nothing, so that the answers stay unread.
                is_closed = not client.connection.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                continue
            except OSError:
                is_closed = True
            if is_closed:
                self._replace(client)

    def _replace(self, client: _Client) -> None:
        self.closed_count += 1
        self._close(client)
        if self._left_reconnections:
            self._left_reconnections -= 1
            self._missing += 1

    def _close(self, client: _Client) -> None:
        self._clients.discard(client)
        self._connecting.discard(client)
        if client in self._silent:
            self._silent.remove(client)
        else:
            self._selector.unregister(client.connection)
        client.connection.close()
