"""A TCP proxy that breaks connections in the ways that networks do."""

from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

__all__ = ["FaultProxy", "Faults"]

CHUNK_BYTES = 65_536


@dataclass(slots=True)
class Faults:
    """What the proxy does to traffic; change it at any time.

    Attributes
    ----------
    delay_s : float
        Added to each chunk, in seconds.
    refuse_new : bool
        Whether new connections are closed at once.
    silence_new : bool
        Whether new connections carry nothing, though they open.
    drop_to_target, drop_to_client : bool
        Whether all connections lose what goes in one direction.
    """

    delay_s: float = 0.0
    refuse_new: bool = False
    silence_new: bool = False
    drop_to_target: bool = False
    drop_to_client: bool = False


@dataclass(slots=True)
class _Pair:
    """One connection through the proxy."""

    client: SocketStream
    target: SocketStream
    silenced: bool = False


@dataclass(slots=True)
class FaultProxy:
    """Forwards one port to another address.

    Attributes
    ----------
    port : int
        Local port.
    target_host, target_port
        Where traffic goes.
    faults : Faults
        What is done to it.
    """

    port: int
    target_port: int
    target_host: str = "127.0.0.1"
    faults: Faults = field(default_factory=Faults)
    _pairs: list[_Pair] = field(default_factory=list)
    _tasks: TaskGroup | None = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        async with anyio.create_task_group() as self._tasks:
            task_status.started()
            await listener.serve(self._accept, self._tasks)

    def silence_open(self) -> None:
        """Carry nothing more on connections now open; new ones work."""
        for pair in self._pairs:
            pair.silenced = True

    async def cut_open(self) -> None:
        """Close all connections now open."""
        for pair in list(self._pairs):
            await anyio.aclose_forcefully(pair.client)
            await anyio.aclose_forcefully(pair.target)

    async def _accept(self, client: SocketStream) -> None:
        if self.faults.refuse_new:
            await anyio.aclose_forcefully(client)
            return
        try:
            target = await anyio.connect_tcp(self.target_host, self.target_port)
        except OSError:
            await anyio.aclose_forcefully(client)
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
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                dropped = (
                    self.faults.drop_to_target
                    if to_target
                    else self.faults.drop_to_client
                )
                if not (pair.silenced or dropped):
                    await sink.send(data)
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            if not pair.silenced:
                await self._end(sink)
        except (anyio.BrokenResourceError, OSError):
            await anyio.aclose_forcefully(source)
            await anyio.aclose_forcefully(sink)

    async def _end(self, sink: SocketStream) -> None:
        try:
            await sink.send_eof()
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
