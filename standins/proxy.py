"""A TCP proxy that injects network faults."""

import time
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

__all__ = ["FaultProxy", "Faults"]

CHUNK_BYTES = 65_536
HOLD_POLL_INTERVAL_S = 0.005


@dataclass(slots=True)
class Faults:
    """Faults that the proxy injects; they can be changed at any time.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk in seconds.
    refuse_new : bool
        Whether new connections are closed immediately.
    silence_new : bool
        Whether new connections are accepted but all their data is dropped.
    drop_to_target, drop_to_client : bool
        Whether all data in this direction is dropped, on all connections.
    hold_to_target, hold_to_client : bool
        Whether data in this direction is held back until the flag is cleared.
    """

    delay_s: float = 0.0
    refuse_new: bool = False
    silence_new: bool = False
    drop_to_target: bool = False
    drop_to_client: bool = False
    hold_to_target: bool = False
    hold_to_client: bool = False


@dataclass(slots=True)
class ByteCounts:
    """Byte counts of one direction.

    Attributes
    ----------
    forwarded : int
        Bytes forwarded or being forwarded.
    held : int
        Bytes currently held back.
    """

    forwarded: int = 0
    held: int = 0


@dataclass(slots=True)
class _ProxiedConnection:
    """One connection through the proxy."""

    client: SocketStream
    target: SocketStream
    silenced: bool = False


@dataclass(slots=True)
class FaultProxy:
    """Forwards connections from a local port to a target address.

    Attributes
    ----------
    port : int
        Local port; 0 if connections come from a `standins.shared_port.SharedPort`.
    target_port, target_host
        Address to forward to.
    faults : Faults
        Faults to inject.
    to_target, to_client : ByteCounts
        Byte counts by direction.
    accept_times_ns : list of int
        Wall-clock time of each accepted connection, in nanoseconds.
    is_accepting : bool
        Whether new connections are accepted.
    """

    port: int
    target_port: int
    target_host: str = "127.0.0.1"
    faults: Faults = field(default_factory=Faults)
    to_target: ByteCounts = field(default_factory=ByteCounts)
    to_client: ByteCounts = field(default_factory=ByteCounts)
    accept_times_ns: list[int] = field(default_factory=list)
    is_accepting: bool = True
    _connections: list[_ProxiedConnection] = field(default_factory=list)
    _tasks: TaskGroup | None = None
    _listen_scope: anyio.CancelScope | None = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            await self.start_listening()
            task_status.started()
            await anyio.sleep_forever()

    async def start_listening(self) -> None:
        """Start accepting connections, also after `stop_listening`."""
        self.is_accepting = True
        if self._listen_scope is None and self.port:
            await self._tasks.start(self._listen)

    async def stop_listening(self) -> None:
        """Close the listening port, so that new connections are refused."""
        self.is_accepting = False
        if self._listen_scope is not None:
            self._listen_scope.cancel()
        while self._listen_scope is not None:
            await anyio.sleep(HOLD_POLL_INTERVAL_S)

    async def _listen(self, *, task_status) -> None:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        with anyio.CancelScope() as self._listen_scope:
            async with listener:
                task_status.started()
                await listener.serve(self.accept, self._tasks)
        self._listen_scope = None

    def silence_open_connections(self) -> None:
        """Drop all further data of open connections; new connections work."""
        for connection in self._connections:
            connection.silenced = True

    async def close_open_connections(self) -> None:
        """Close all open connections."""
        for connection in list(self._connections):
            await anyio.aclose_forcefully(connection.client)
            await anyio.aclose_forcefully(connection.target)

    async def close_silenced_connections(self) -> None:
        """Close the silenced connections."""
        for connection in list(self._connections):
            if connection.silenced:
                await anyio.aclose_forcefully(connection.client)
                await anyio.aclose_forcefully(connection.target)

    async def accept(self, client: SocketStream) -> None:
        """Forward one connection until it is closed."""
        self.accept_times_ns.append(time.time_ns())
        if self.faults.refuse_new or not self.is_accepting:
            await anyio.aclose_forcefully(client)
            return
        try:
            target = await anyio.connect_tcp(self.target_host, self.target_port)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        if not self.is_accepting:
            # The link was cut during the connection to the target.
            await anyio.aclose_forcefully(client)
            await anyio.aclose_forcefully(target)
            return
        connection = _ProxiedConnection(client, target, self.faults.silence_new)
        self._connections.append(connection)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward, connection, client, target, True)
                tasks.start_soon(self._forward, connection, target, client, False)
        finally:
            self._connections.remove(connection)
            await anyio.aclose_forcefully(client)
            await anyio.aclose_forcefully(target)

    async def _forward(
        self,
        connection: _ProxiedConnection,
        source: SocketStream,
        destination: SocketStream,
        to_target: bool,
    ) -> None:
        counts = self.to_target if to_target else self.to_client
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._wait_while_held(counts, len(data), to_target)
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                dropped = (
                    self.faults.drop_to_target
                    if to_target
                    else self.faults.drop_to_client
                )
                if not (connection.silenced or dropped):
                    counts.forwarded += len(data)
                    await destination.send(data)
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            await self._wait_while_held(counts, 0, to_target)
            if not connection.silenced:
                await self._send_eof(destination)
        except (anyio.BrokenResourceError, OSError):
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(destination)

    async def _wait_while_held(self, counts: ByteCounts, size: int, to_target: bool):
        counts.held += size
        try:
            while self._is_held(to_target):
                await anyio.sleep(HOLD_POLL_INTERVAL_S)
        finally:
            counts.held -= size

    def _is_held(self, to_target: bool) -> bool:
        faults = self.faults
        return faults.hold_to_target if to_target else faults.hold_to_client

    async def _send_eof(self, destination: SocketStream) -> None:
        try:
            await destination.send_eof()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
