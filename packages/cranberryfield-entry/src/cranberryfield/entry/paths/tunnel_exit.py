"""Connects the tunnels of other relays to upstreams."""

import anyio
import structlog
from anyio.abc import ByteStream, SocketStream

from cranberryfield.core.clock import Clock
from cranberryfield.core.http1 import NotSentError, open_stream
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.mesh.tunnels import TunnelError
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.tunnels import TunnelFailure, UpstreamPaused
from cranberryfield.entry.paths.section import UpstreamPaths, needs_tunnel
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.relay.upstream_pauses import (
    UpstreamPauses,
    paused_among,
    record_pause,
)

__all__ = ["TunnelExit", "may_connect"]

#: Shorter than the time that the other relay waits for a tunnel.
CONNECT_TIMEOUT_S = 0.25
#: Maximum number of tunnels at the same time.
MAX_TUNNELS = 500

logger = structlog.get_logger(__name__)


def may_connect(
    record: UpstreamRecord | None,
    paths: UpstreamPaths,
    pauses: UpstreamPauses,
    now: float,
) -> bool:
    """Return whether this host may connect another relay to an upstream.

    The upstream counts this host's connections and those of its tunnels together, so
    what it has told this host binds both.

    Parameters
    ----------
    record : UpstreamRecord or None
        The upstream at the address, unless it is leaving; None if there is none.
    paths : UpstreamPaths
        Which upstreams this host reaches.
    pauses : UpstreamPauses
        Upstreams that want no requests from this host.
    now : float
        Monotonic time in seconds.
    """
    if record is None or needs_tunnel(paths, record.address):
        return False
    return not paused_among(pauses, (record,), now)


class _CountedStream(ByteStream):
    """Stream to an upstream that counts as a tunnel until it is closed."""

    def __init__(self, stream: SocketStream, on_close):
        self._stream = stream
        self._on_close = on_close

    async def send(self, item: bytes) -> None:
        await self._stream.send(item)

    async def receive(self, max_bytes: int = 65536) -> bytes:
        return await self._stream.receive(max_bytes)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        on_close, self._on_close = self._on_close, lambda: None
        on_close()
        await anyio.aclose_forcefully(self._stream)


class TunnelExit:
    """Connects tunnels, and learns the pauses that upstreams ask for in them.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    paths : UpstreamPaths
        Which upstreams this host reaches.
    pauses : UpstreamPauses
        Upstreams that want no requests from this host.
    mesh : Mesh
        Links to other processes.
    clock : Clock
        Monotonic time that counts suspensions.
    """

    def __init__(
        self,
        table: RegistryTable,
        paths: UpstreamPaths,
        pauses: UpstreamPauses,
        mesh: Mesh,
        clock: Clock,
    ):
        self._table = table
        self._paths = paths
        self._pauses = pauses
        self._clock = clock
        self._open_count = 0
        self._is_stopping = False
        mesh.handle_tunnels(self._connect)
        mesh.handle(UpstreamPaused, self._on_pause)

    @property
    def open_count(self) -> int:
        """Number of open tunnels."""
        return self._open_count

    def stop(self) -> None:
        """Accept no more tunnels; open ones go on."""
        self._is_stopping = True

    async def _connect(self, address: str) -> ByteStream:
        record = self._table.active_at(address)
        is_full = self._is_stopping or self._open_count >= MAX_TUNNELS
        if is_full or not may_connect(record, self._paths, self._pauses, self._clock()):
            raise TunnelError(TunnelFailure.UNAVAILABLE)
        self._open_count += 1
        try:
            stream = await open_stream(address, CONNECT_TIMEOUT_S)
        except NotSentError as error:
            self._close_one()
            failure = TunnelFailure.UNREACHABLE
            if error.is_refused:
                failure = TunnelFailure.REFUSED
            raise TunnelError(failure) from error
        except BaseException:
            self._close_one()
            raise
        return _CountedStream(stream, self._close_one)

    def _close_one(self) -> None:
        self._open_count -= 1

    def _on_pause(self, sender: NodeId, message: UpstreamPaused) -> None:
        process = (message.upstream, message.incarnation)
        if record_pause(self._pauses, process, message.pause_s, self._clock()):
            logger.info(
                "upstream paused",
                upstream=message.upstream,
                incarnation=message.incarnation,
                pause_ms=round(1000 * message.pause_s),
                told_by=sender,
            )
