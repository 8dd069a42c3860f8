"""All links of one process: listening, dialling, and handing messages over."""

import ssl
from collections.abc import Awaitable, Callable
from hmac import compare_digest

import anyio
import structlog
from anyio.abc import TaskGroup
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException

from cranberryfield.core.config.daemon import TlsFiles, split_address
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    ProtocolError,
    UnavailableError,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh.link import Link
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    EnvelopeKind,
    decode_frame,
    encode_frame,
)
from cranberryfield.core.messages.links import Failure, Hello

__all__ = ["Handler", "Mesh"]

PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
OPEN_TIMEOUT_S = 2.0
REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 2.0

#: Handles one message from a node; may return a reply, or an awaitable of one.
Handler = Callable[[NodeId, Message], Message | None | Awaitable[Message | None]]

logger = structlog.get_logger(__name__)


class Mesh:
    """Links to other processes and the handlers of their messages.

    Parameters
    ----------
    hello : Hello
        What this process says of itself.
    key : str
        Shared key of the mesh.
    tls : TlsFiles, optional
        Files for mutual TLS.
    """

    def __init__(self, hello: Hello, key: str, tls: TlsFiles | None = None):
        self._hello = hello
        self._key = key
        self._tls = tls
        self._links: dict[NodeId, list[Link]] = {}
        self._handlers: dict[type[Message], Handler] = {}
        self._link_watchers: list[Callable[[Hello, bool], None]] = []
        self._tasks: TaskGroup | None = None

    @property
    def peers(self) -> list[Hello]:
        """What each linked process said of itself."""
        return [links[-1].peer for links in self._links.values() if links]

    def handle(self, kind: type[Message], handler: Handler) -> None:
        """Set the handler of one type of message.

        Parameters
        ----------
        kind : type
            The message's class.
        handler : callable
            Takes the sender's id and the message.
        """
        self._handlers[kind] = handler

    def watch_links(self, watcher: Callable[[Hello, bool], None]) -> None:
        """Call `watcher` with the peer and True (False) as links open (close)."""
        self._link_watchers.append(watcher)

    def is_linked(self, node: NodeId) -> bool:
        """Say whether there is an open link to `node`, or it is this process."""
        return node == self._hello.node or bool(self._links.get(node))

    def send(self, node: NodeId, message: Message) -> bool:
        """Queue a one-way message.

        Parameters
        ----------
        node : NodeId
            The receiver.
        message : Message
            The message.

        Returns
        -------
        bool
            False if there is no link that can take it.
        """
        links = self._links.get(node)
        return bool(links) and links[-1].send(Envelope(EnvelopeKind.SEND, 0, message))

    async def request(
        self, node: NodeId, message: Message, timeout_s: float
    ) -> Message:
        """Send a request to `node` and return its reply; see `Link.request`.

        A request to this process itself is handled without a link.
        """
        if node == self._hello.node:
            return await self._handle_own(message, timeout_s)
        links = self._links.get(node)
        if not links:
            raise UnavailableError(ErrorKind.NOT_READY, f"no link to {node}")
        return await links[-1].request(message, timeout_s)

    async def _handle_own(self, message: Message, timeout_s: float) -> Message:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise UnavailableError(ErrorKind.NOT_READY, "no handler here")
        reply = handler(self._hello.node, message)
        if not isinstance(reply, Awaitable):
            return reply
        with anyio.move_on_after(timeout_s):
            return await reply
        raise UnavailableError(ErrorKind.NOT_READY, "no reply in time")

    async def listen(self, address: str, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Accept links until cancelled.

        Parameters
        ----------
        address : str
            ``IP:PORT`` to bind.
        task_status : anyio.abc.TaskStatus
            Told once the port is bound.
        """
        host, port = split_address(address)
        async with (
            anyio.create_task_group() as self._tasks,
            serve(
                self._accept,
                host,
                port,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_TIMEOUT_S,
                ssl=_server_tls(self._tls),
            ),
        ):
            task_status.started()
            await anyio.sleep_forever()

    async def dial(self, address: str) -> None:
        """Keep a link to `address`, opening it again whenever it ends.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of another process's mesh.
        """
        scheme = "wss" if self._tls else "ws"
        delay_s = REDIAL_MIN_S
        while True:
            try:
                async with connect(
                    f"{scheme}://{address}/",
                    additional_headers={"Authorization": f"Bearer {self._key}"},
                    compression=None,
                    max_size=MAX_FRAME_BYTES,
                    open_timeout=OPEN_TIMEOUT_S,
                    ping_interval=PING_INTERVAL_S,
                    ping_timeout=PING_TIMEOUT_S,
                    close_timeout=OPEN_TIMEOUT_S,
                    ssl=_client_tls(self._tls),
                    proxy=None,
                ) as connection:
                    delay_s = REDIAL_MIN_S
                    await connection.send(self._greeting())
                    await self._serve_link(connection, dialled=True)
            except (OSError, WebSocketException, CranberryfieldError) as error:
                logger.debug("link failed", address=address, error=str(error))
            await anyio.sleep(delay_s)
            delay_s = min(delay_s * 2, REDIAL_MAX_S)

    async def _accept(self, connection) -> None:
        given = connection.request.headers.get("Authorization", "")
        if not compare_digest(given.encode(), f"Bearer {self._key}".encode()):
            logger.warning("link refused: wrong mesh key")
            await connection.close(1008, "wrong mesh key")
            return
        try:
            await connection.send(self._greeting())
            await self._serve_link(connection, dialled=False)
        except (CranberryfieldError, WebSocketException) as error:
            logger.warning("link ended", error=str(error))

    def _greeting(self) -> bytes:
        return encode_frame((Envelope(EnvelopeKind.SEND, 0, self._hello),))

    async def _serve_link(self, connection, dialled: bool) -> None:
        with anyio.fail_after(OPEN_TIMEOUT_S):
            first = decode_frame(await connection.recv())
        peer = first[0].message if first else None
        if not isinstance(peer, Hello) or peer.group != self._hello.group:
            raise ProtocolError(ErrorKind.PROTOCOL, "not a member of this group")
        if peer.node == self._hello.node:
            await anyio.sleep_forever()
        link = Link(connection, peer)
        self._links.setdefault(peer.node, []).append(link)
        self._tell_watchers(peer, True)
        logger.info("link open", peer=peer.node, dialled=dialled)
        try:
            await link.run(self._on_envelope)
        finally:
            self._links[peer.node].remove(link)
            if not self._links[peer.node]:
                del self._links[peer.node]
            self._tell_watchers(peer, False)
            logger.info("link closed", peer=peer.node)

    def _tell_watchers(self, peer: Hello, is_open: bool) -> None:
        for watcher in self._link_watchers:
            watcher(peer, is_open)

    def _on_envelope(self, link: Link, envelope: Envelope) -> None:
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            logger.warning("no handler", message=type(envelope.message).__name__)
            return
        if envelope.kind is EnvelopeKind.REQUEST:
            self._tasks.start_soon(self._answer, link, envelope, handler)
            return
        handler(link.peer.node, envelope.message)

    async def _answer(self, link: Link, envelope: Envelope, handler: Handler) -> None:
        try:
            reply = handler(link.peer.node, envelope.message)
            if isinstance(reply, Awaitable):
                reply = await reply
        except CranberryfieldError as error:
            reply = Failure(error.kind.value, error.detail)
        except Exception:
            logger.exception("handler failed", message=type(envelope.message).__name__)
            reply = Failure(ErrorKind.INTERNAL.value, "the handler failed")
        if reply is not None:
            link.send(Envelope(EnvelopeKind.REPLY, envelope.call, reply))


def _server_tls(files: TlsFiles | None) -> ssl.SSLContext | None:
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.private_key)
    context.load_verify_locations(files.authority)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_tls(files: TlsFiles | None) -> ssl.SSLContext | None:
    if files is None:
        return None
    context = ssl.create_default_context(cafile=files.authority)
    context.load_cert_chain(files.certificate, files.private_key)
    return context
