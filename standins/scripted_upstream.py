"""A plain service or engine with responses scripted at the byte level."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream

from standins.processes import free_port

__all__ = ["ReceivedRequest", "ScriptedUpstream", "UpstreamCrash"]


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A received request.

    Attributes
    ----------
    head : str
        Request line and headers.
    body : bytes
        Body, of the length given in ``Content-Length``.
    connection : int
        Number of the connection, from 1.
    """

    head: str
    body: bytes
    connection: int

    def header(self, name: str) -> str | None:
        """Return the value of a header; None if it is missing."""
        for line in self.head.split("\r\n")[1:]:
            found, _, value = line.partition(":")
            if found.lower() == name.lower():
                return value.strip()
        return None


class UpstreamCrash(Exception):
    """Raised by a script to end its upstream."""


#: Writes the response to the connection; returns whether to keep it open.
Script = Callable[[ReceivedRequest, SocketStream], Awaitable[bool]]


@dataclass(slots=True)
class ScriptedUpstream:
    """Answers each request with a script.

    Attributes
    ----------
    script : callable
        Writes the response to a request.
    requests : list of ReceivedRequest
        All received requests, in order.
    closed_connections : int
        Number of connections closed by the peer.
    listener_delay_s : float
        Time from a crash until connections are refused, in seconds.
    port : int
        Local port.
    """

    script: Script
    requests: list[ReceivedRequest] = field(default_factory=list)
    closed_connections: int = 0
    listener_delay_s: float = 0.0
    port: int = field(default_factory=free_port)
    _connection_count: int = 0
    _crashed: anyio.Event | None = None

    @property
    def address(self) -> str:
        """Address of the upstream as ``IP:PORT``."""
        return f"127.0.0.1:{self.port}"

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled or until a script raises `UpstreamCrash`."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        self._crashed = anyio.Event()
        async with anyio.create_task_group() as connections:
            async with listener, anyio.create_task_group() as accepting:
                accepting.start_soon(listener.serve, self._serve, connections)
                task_status.started()
                await self._crashed.wait()
                await anyio.sleep(self.listener_delay_s)
                accepting.cancel_scope.cancel()
            connections.cancel_scope.cancel()

    async def _serve(self, stream: SocketStream) -> None:
        self._connection_count += 1
        number = self._connection_count
        buffer = b""
        async with stream:
            try:
                while True:
                    while b"\r\n\r\n" not in buffer:
                        buffer += await stream.receive()
                    head, _, buffer = buffer.partition(b"\r\n\r\n")
                    request = ReceivedRequest(head.decode("latin-1"), b"", number)
                    size = int(request.header("content-length") or 0)
                    while len(buffer) < size:
                        buffer += await stream.receive()
                    request = ReceivedRequest(request.head, buffer[:size], number)
                    buffer = buffer[size:]
                    self.requests.append(request)
                    if not await self.script(request, stream):
                        return
            except UpstreamCrash:
                self._crashed.set()
                if not self.listener_delay_s:
                    await anyio.sleep_forever()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed_connections += 1
