"""A TCP proxy that injects network faults."""

import time
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

__all__ = ["FaultProxy", "Faults"]

CHUNK_BYTES = 65_536
HOLD_POLL_S = 0.005


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
class Traffic:
    """Byte counts of one direction.

    Attributes
    ----------
    sent : int
        Bytes forwarded or being forwarded.
    held : int
        Bytes currently held back.
    """

    sent: int = 0
    held: int = 0


@dataclass(slots=True)
class _Pair:
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
        Local port; 0 if connections come from a `standins.ports.SharedPort`.
    target_port, target_host
        Address to forward to.
    faults : Faults
        Faults to inject.
    to_target, to_client : Traffic
        Byte counts by direction.
    accepted_ns : list of int
        Wall-clock time of each accepted connection, in nanoseconds.
    is_open : bool
        Whether new connections are accepted.
    """

    port: int
    target_port: int
    target_host: str = "127.0.0.1"
    faults: Faults = field(default_factory=Faults)
    to_target: Traffic = field(default_factory=Traffic)
    to_client: Traffic = field(default_factory=Traffic)
    accepted_ns: list[int] = field(default_factory=list)
    is_open: bool = True
    _pairs: list[_Pair] = field(default_factory=list)
    _tasks: TaskGroup | None = None
    _listening: anyio.CancelScope | None = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            await self.start_listening()
            task_status.started()
            await anyio.sleep_forever()

    async def start_listening(self) -> None:
        """Start accepting connections, also after `stop_listening`."""
        self.is_open = True
        if self._listening is None and self.port:
            await self._tasks.start(self._listen)

    async def stop_listening(self) -> None:
        """Close the listening port, so that new connections are refused."""
        self.is_open = False
        if self._listening is not None:
            self._listening.cancel()
        while self._listening is not None:
            await anyio.sleep(HOLD_POLL_S)

    async def _listen(self, *, task_status) -> None:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        with anyio.CancelScope() as self._listening:
            async with listener:
                task_status.started()
                await listener.serve(self.accept, self._tasks)
        self._listening = None

    def silence_open(self) -> None:
        """Drop all further data of open connections; new connections work."""
        for pair in self._pairs:
            pair.silenced = True

    async def cut_open(self) -> None:
        """Close all open connections."""
        for pair in list(self._pairs):
            await anyio.aclose_forcefully(pair.client)
            await anyio.aclose_forcefully(pair.target)

    async def cut_silenced(self) -> None:
        """Close the silenced connections."""
        for pair in list(self._pairs):
            if pair.silenced:
                await anyio.aclose_forcefully(pair.client)
                await anyio.aclose_forcefully(pair.target)

    async def accept(self, client: SocketStream) -> None:
        """Forward one connection until it is closed."""
        self.accepted_ns.append(time.time_ns())
        if self.faults.refuse_new or not self.is_open:
            await anyio.aclose_forcefully(client)
            return
        try:
            target = await anyio.connect_tcp(self.target_host, self.target_port)
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        if not self.is_open:
            # The link was cut during the connection to the target.
            await anyio.aclose_forcefully(client)
            await anyio.aclose_forcefully(target)
            return
        pair = _Pair(client, target, self.faults.silence_new)
        self._pairs.append(pair)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, pair, client, target, True)
                tasks.start_soon(self._pump, pair, target, client, False)
        finally:
            self._pairs.remove(pair)
            await anyio.aclose_forcefully(client)
            await anyio.aclose_forcefully(target)

    async def _pump(
        self,
        pair: _Pair,
        source: SocketStream,
        sink: SocketStream,
        to_target: bool,
    ) -> None:
        traffic = self.to_target if to_target else self.to_client
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._wait_released(traffic, len(data), to_target)
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                dropped = (
                    self.faults.drop_to_target
                    if to_target
                    else self.faults.drop_to_client
                )
                if not (pair.silenced or dropped):
                    traffic.sent += len(data)
                    await sink.send(data)
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            await self._wait_released(traffic, 0, to_target)
            if not pair.silenced:
                await self._end(sink)
        except (anyio.BrokenResourceError, OSError):
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(sink)

    async def _wait_released(self, traffic: Traffic, size: int, to_target: bool):
        traffic.held += size
        try:
            while self._is_held(to_target):
                await anyio.sleep(HOLD_POLL_S)
        finally:
            traffic.held -= size

    def _is_held(self, to_target: bool) -> bool:
        faults = self.faults
        return faults.hold_to_target if to_target else faults.hold_to_client

    async def _end(self, sink: SocketStream) -> None:
        try:
            await sink.send_eof()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
