"""All links of one process: listening, dialling, and handing messages over."""

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
from cranberryfield.core.mesh.tls import client_tls, server_tls
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
CLOSE_TIMEOUT_S = 0.5
REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 2.0
#: A link opened for a message is closed after this time without any, in seconds.
IDLE_S = 15.0
IDLE_POLL_S = 1.0
#: Messages kept for a peer while the link to it is being opened.
MAX_WAITING_FOR_LINK = 1000
OPENING_POLL_S = 0.01

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
        self._addresses: dict[NodeId, str] = {}
        self._standing: dict[NodeId, anyio.CancelScope] = {}
        self._opening: dict[NodeId, list[Envelope]] = {}
        self._closed_bytes = (0, 0)

    @property
    def hello(self) -> Hello:
        """What this process says of itself."""
        return self._hello

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

    @property
    def standing(self) -> frozenset[NodeId]:
        """Peers to which a link is kept open from this side."""
        return frozenset(self._standing)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Payload bytes sent and received on all links so far."""
        links = [link for links in self._links.values() for link in links]
        return (
            self._closed_bytes[0] + sum(link.bytes_sent for link in links),
            self._closed_bytes[1] + sum(link.bytes_received for link in links),
        )

    def is_linked(self, node: NodeId) -> bool:
        """Say whether there is an open link to `node`, or it is this process."""
        return node == self._hello.node or bool(self._links.get(node))

    def learn_address(self, node: NodeId, address: str) -> None:
        """Remember the mesh address of a peer, for links opened on demand."""
        if self._addresses.get(node, address) != address and node in self._standing:
            self._standing.pop(node).cancel()
        self._addresses[node] = address

    def forget_address(self, node: NodeId) -> None:
        """Open no more links to a peer on demand."""
        self._addresses.pop(node, None)

    def keep_standing(self, nodes: frozenset[NodeId]) -> None:
        """Keep links open to exactly these peers, from this side."""
        if self._tasks is None:
            return
        for node in self._standing.keys() - nodes:
            self._standing.pop(node).cancel()
        for node in nodes - self._standing.keys():
            if node in self._addresses:
                scope = self._standing[node] = anyio.CancelScope()
                self._tasks.start_soon(self._dial_standing, node, scope)

    def probe(self, address: str) -> None:
        """Open a link to an address once; it is closed again when idle."""
        if self._tasks is not None:
            self._tasks.start_soon(self._open_once, None, address)

    def send(self, node: NodeId, message: Message) -> bool:
        """Queue a one-way message, for which a link is opened if need be.

        Parameters
        ----------
        node : NodeId
            The receiver.
        message : Message
            The message.

        Returns
        -------
        bool
            False if there is no link that can take it, nor an address to open
            one to. True is no promise of delivery.
        """
        envelope = Envelope(EnvelopeKind.SEND, 0, message)
        links = self._links.get(node)
        if links:
            return links[-1].send(envelope)
        if not self._start_opening(node):
            return False
        waiting = self._opening[node]
        if len(waiting) >= MAX_WAITING_FOR_LINK:
            return False
        waiting.append(envelope)
        return True

    async def request(
        self, node: NodeId, message: Message, timeout_s: float
    ) -> Message:
        """Send a request to `node` and return its reply.

        A link is opened if there is none and the address is known; the time
        for that counts towards `timeout_s`. A request to this process itself
        is handled without a link. See `Link.request`.
        """
        if node == self._hello.node:
            return await self._handle_own(message, timeout_s)
        deadline = anyio.current_time() + timeout_s
        if not self._links.get(node):
            await self._wait_opened(node, timeout_s)
        links = self._links.get(node)
        if not links:
            raise UnavailableError(ErrorKind.NOT_READY, f"no link to {node}")
        left_s = max(0.0, deadline - anyio.current_time())
        return await links[-1].request(message, left_s)

    async def _wait_opened(self, node: NodeId, timeout_s: float) -> None:
        if not self._start_opening(node):
            return
        with anyio.move_on_after(timeout_s):
            while node in self._opening:
                await anyio.sleep(OPENING_POLL_S)

    def _start_opening(self, node: NodeId) -> bool:
        if node in self._opening:
            return True
        address = self._addresses.get(node)
        if address is None or self._tasks is None or node == self._hello.node:
            return False
        self._opening[node] = []
        self._tasks.start_soon(self._open_once, node, address)
        return True

    async def _open_once(self, node: NodeId | None, address: str) -> None:
        try:
            await self._connect(address, closes_when_idle=True)
        except (OSError, WebSocketException, CranberryfieldError) as error:
            logger.debug("link failed", address=address, error=str(error))
        finally:
            if node is not None:
                self._opening.pop(node, None)

    async def _dial_standing(self, node: NodeId, scope: anyio.CancelScope) -> None:
        with scope:
            await self.dial(self._addresses[node])

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
                close_timeout=CLOSE_TIMEOUT_S,
                ssl=server_tls(self._tls),
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
        delay_s = REDIAL_MIN_S
        while True:
            try:
                await self._connect(address, closes_when_idle=False)
                delay_s = REDIAL_MIN_S
            except (OSError, WebSocketException, CranberryfieldError) as error:
                logger.debug("link failed", address=address, error=str(error))
            await anyio.sleep(delay_s)
            delay_s = min(delay_s * 2, REDIAL_MAX_S)

    async def _connect(self, address: str, closes_when_idle: bool) -> None:
        scheme = "wss" if self._tls else "ws"
        async with connect(
            f"{scheme}://{address}/",
            additional_headers={"Authorization": f"Bearer {self._key}"},
            compression=None,
            max_size=MAX_FRAME_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            ssl=client_tls(self._tls),
            proxy=None,
        ) as connection:
            await connection.send(self._greeting())
            await self._serve_link(connection, True, closes_when_idle)

    async def _accept(self, connection) -> None:
        given = connection.request.headers.get("Authorization", "")
        if not compare_digest(given.encode(), f"Bearer {self._key}".encode()):
            logger.warning("link refused: wrong mesh key")
            await connection.close(1008, "wrong mesh key")
            return
        try:
            await connection.send(self._greeting())
            await self._serve_link(connection, False, False)
        except (CranberryfieldError, WebSocketException) as error:
            logger.warning("link ended", error=str(error))

    def _greeting(self) -> bytes:
        return encode_frame((Envelope(EnvelopeKind.SEND, 0, self._hello),))

    async def _serve_link(
        self, connection, dialled: bool, closes_when_idle: bool
    ) -> None:
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                first = decode_frame(await connection.recv())
        except TimeoutError as error:
            raise ProtocolError(ErrorKind.PROTOCOL, "no greeting came") from error
        peer = first[0].message if first else None
        if not isinstance(peer, Hello) or peer.group != self._hello.group:
            raise ProtocolError(ErrorKind.PROTOCOL, "not a member of this group")
        if peer.node == self._hello.node:
            if closes_when_idle:
                return
            await anyio.sleep_forever()
        link = Link(connection, peer)
        self._links.setdefault(peer.node, []).append(link)
        for envelope in self._opening.pop(peer.node, ()):
            link.send(envelope)
        self._tell_watchers(peer, True)
        logger.info("link open", peer=peer.node, dialled=dialled)
        try:
            async with anyio.create_task_group() as tasks:
                if closes_when_idle:
                    tasks.start_soon(self._close_when_idle, link)
                await link.run(self._on_envelope)
                tasks.cancel_scope.cancel()
        finally:
            self._remove_link(link)

    async def _close_when_idle(self, link: Link) -> None:
        seen = -1
        idle_s = 0.0
        while idle_s < IDLE_S:
            await anyio.sleep(IDLE_POLL_S)
            idle_s = idle_s + IDLE_POLL_S if link.envelopes == seen else 0.0
            seen = link.envelopes
        await link.close()

    def _remove_link(self, link: Link) -> None:
        node = link.peer.node
        self._closed_bytes = (
            self._closed_bytes[0] + link.bytes_sent,
            self._closed_bytes[1] + link.bytes_received,
        )
        self._links[node].remove(link)
        if not self._links[node]:
            del self._links[node]
        self._tell_watchers(link.peer, False)
        logger.info("link closed", peer=node)

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
        try:
            handler(link.peer.node, envelope.message)
        except Exception:
            logger.exception("handler failed", message=type(envelope.message).__name__)

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
