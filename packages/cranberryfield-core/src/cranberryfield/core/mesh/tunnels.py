"""Tunnels: connections to upstreams through another process of the mesh."""

from collections.abc import Awaitable, Callable

import anyio
import structlog
from anyio.abc import ByteStream
from websockets.asyncio.client import connect
from websockets.exceptions import (
    ConnectionClosed,
    WebSocketException,
)

from cranberryfield.core.config.daemon import TlsFiles
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    ProtocolError,
)
from cranberryfield.core.mesh.tls import client_tls
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    EnvelopeKind,
    decode_frame,
    encode_frame,
)
from cranberryfield.core.messages.tunnels import (
    OpenTunnel,
    TunnelFailure,
    TunnelReply,
)

__all__ = [
    "TUNNEL_PATH",
    "TunnelError",
    "TunnelHandler",
    "TunnelStream",
    "open_tunnel",
    "serve_tunnel",
]

TUNNEL_PATH = "/tunnel"
READ_BYTES = 65_536
#: Pings of the process that has opened a tunnel, which detect that the other one hangs.
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 1.0
#: Time in which the first bytes follow the opening of a tunnel, in seconds. Later ones
#: have been held up, and their sender may have given up.
FIRST_BYTES_TIMEOUT_S = 1.0
#: Code and reason with which a tunnel is closed when the upstream has ended its
#: connection in good order. Every other end is a loss: libraries take further codes
#: for normal ones, and servers send some of them by themselves.
END_CLOSE_CODE = 1000
END_REASON = "end of the upstream's connection"
BROKEN_CLOSE_CODE = 1011

#: Errors of a connection to an upstream that has not ended in good order.
LOST_UPSTREAM = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)

logger = structlog.get_logger(__name__)


class TunnelError(Exception):
    """Raised if a tunnel is not opened.

    Parameters
    ----------
    failure : TunnelFailure
        The reason.
    """

    def __init__(self, failure: TunnelFailure):
        super().__init__(failure.value)
        self.failure = failure


#: Connects to the upstream at an address; raises a `TunnelError`.
TunnelHandler = Callable[[str], Awaitable[ByteStream]]


def _decode(data: bytes) -> Message:
    envelopes = decode_frame(data)
    if not envelopes:
        raise ProtocolError(ErrorKind.PROTOCOL, "no known message in the frame")
    return envelopes[0].message


def _encode(message: OpenTunnel | TunnelReply) -> bytes:
    return encode_frame((Envelope(EnvelopeKind.SEND, 0, message),))


def _is_end_of_upstream(error: ConnectionClosed) -> bool:
    """Return whether the other process has said that the upstream has ended."""
    received = error.rcvd
    return (
        received is not None
        and received.code == END_CLOSE_CODE
        and received.reason == END_REASON
    )


class TunnelStream(ByteStream):
    """Byte stream to an upstream through another process.

    Parameters
    ----------
    connection : websockets connection
        Open connection on which the tunnel has been accepted.
    """

    def __init__(self, connection):
        self._connection = connection

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        try:
            await self._connection.send(item)
        except ConnectionClosed as error:
            raise anyio.BrokenResourceError from error

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Receive the next bytes, as many as the other process has read at once.

        Raises
        ------
        anyio.EndOfStream
            If the upstream has ended its connection in good order.
        anyio.BrokenResourceError
            If the tunnel ends in any other way.
        """
        try:
            return await self._connection.recv(decode=False)
        except ConnectionClosed as error:
            if _is_end_of_upstream(error):
                raise anyio.EndOfStream from error
            raise anyio.BrokenResourceError from error

    async def send_eof(self) -> None:
        """Not supported; a request tells its own length."""
        raise NotImplementedError

    async def aclose(self) -> None:
        """Close the tunnel at once."""
        self._connection.transport.abort()


async def open_tunnel(
    peer_address: str, key: str, tls: TlsFiles | None, address: str
) -> TunnelStream:
    """Open a tunnel.

    Parameters
    ----------
    peer_address : str
        Mesh address of the process to connect through, ``IP:PORT``.
    key : str
        Shared key of the mesh.
    tls : TlsFiles or None
        Files for mutual TLS.
    address : str
        Address of the upstream, ``IP:PORT``.

    Returns
    -------
    TunnelStream
        The open tunnel.

    Raises
    ------
    TunnelError
        If the upstream cannot be reached through that process.
    """
    scheme = "wss" if tls else "ws"
    connection = None
    try:
        connection = await connect(
            f"{scheme}://{peer_address}{TUNNEL_PATH}",
            additional_headers={"Authorization": f"Bearer {key}"},
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=0,
            ssl=client_tls(tls),
            proxy=None,
        )
        await connection.send(_encode(OpenTunnel(address)))
        reply = _decode(await connection.recv(decode=False))
        failure = (
            reply.failure
            if isinstance(reply, TunnelReply)
            else TunnelFailure.UNAVAILABLE
        )
    except (
        OSError,
        ValueError,
        OverflowError,
        WebSocketException,
        CranberryfieldError,
    ) as error:
        # An address of another process may be none.
        if connection is not None:
            connection.transport.abort()
        raise TunnelError(TunnelFailure.UNAVAILABLE) from error
    except BaseException:
        if connection is not None:
            connection.transport.abort()
        raise
    if failure is not None:
        connection.transport.abort()
        raise TunnelError(failure)
    return TunnelStream(connection)


async def serve_tunnel(connection, handler: TunnelHandler | None) -> None:
    """Serve a tunnel that another process opens, until either end closes it.

    Parameters
    ----------
    connection : websockets connection
        Accepted connection.
    handler : callable or None
        Connects to the upstream; None if this process serves no tunnels.
    """
    request = _decode(await connection.recv(decode=False))
    if handler is None or not isinstance(request, OpenTunnel):
        await connection.send(_encode(TunnelReply(TunnelFailure.UNAVAILABLE)))
        return
    try:
        upstream = await handler(request.address)
    except TunnelError as error:
        await connection.send(_encode(TunnelReply(error.failure)))
        return
    try:
        await connection.send(_encode(TunnelReply(None)))
        await _forward(connection, upstream)
        # Without effect if the tunnel has been closed already.
        await connection.close(BROKEN_CLOSE_CODE)
    except ConnectionClosed:
        # The other process has closed the tunnel, as its caller has left.
        logger.debug("tunnel closed", address=request.address)
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(upstream)


async def _forward(connection, upstream: ByteStream) -> None:
    async with anyio.create_task_group() as tasks:

        async def forward_requests() -> None:
            try:
                with anyio.fail_after(FIRST_BYTES_TIMEOUT_S):
                    data = await connection.recv(decode=False)
                while True:
                    await upstream.send(data)
                    data = await connection.recv(decode=False)
            except (ConnectionClosed, TimeoutError, *LOST_UPSTREAM):
                tasks.cancel_scope.cancel()

        tasks.start_soon(forward_requests)
        try:
            while True:
                await connection.send(await upstream.receive(READ_BYTES))
        except anyio.EndOfStream:
            await connection.close(END_CLOSE_CODE, END_REASON)
        except LOST_UPSTREAM:
            await connection.close(BROKEN_CLOSE_CODE)
        except ConnectionClosed:
            logger.debug("tunnel closed while a response was sent")
        tasks.cancel_scope.cancel()
