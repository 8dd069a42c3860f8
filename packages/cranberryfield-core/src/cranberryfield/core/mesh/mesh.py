"""Links of one process: listening, dialling and dispatch of messages."""

from collections.abc import Callable
from functools import partial

import anyio
import structlog
from anyio.abc import TaskGroup
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import WebSocketException
from websockets.http11 import Request, Response

from cranberryfield.core.clock import monotonic_clock
from cranberryfield.core.config.daemon import TlsFiles, split_address
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    ProtocolError,
    UnavailableError,
)
from cranberryfield.core.features import FeatureLevel
from cranberryfield.core.ids import NodeId
from cranberryfield.core.listening import ACCEPTED_AT_ONCE, ListeningSocket
from cranberryfield.core.log_throttle import LogThrottle
from cranberryfield.core.mesh.dispatch import Handler, MessageDispatcher
from cranberryfield.core.mesh.handshakes import GatedServerConnection, HandshakeGate
from cranberryfield.core.mesh.link import Link, MeteredClientConnection
from cranberryfield.core.mesh.tls import client_tls, server_tls
from cranberryfield.core.mesh.tunnels import (
    TUNNEL_PATH,
    TunnelHandler,
    TunnelStream,
    open_tunnel,
    serve_tunnel,
)
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import (
    MAX_FRAME_BYTES,
    Envelope,
    EnvelopeKind,
    decode_frame,
    encode_frame,
)
from cranberryfield.core.messages.links import Hello

__all__ = ["Handler", "Mesh"]

#: Pings of the process that has dialled; it opens another link if they fail.
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
#: Pings of the other process, which only has to forget links that are gone.
ACCEPTED_PING_INTERVAL_S = 5.0
ACCEPTED_PING_TIMEOUT_S = 5.0
OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
REDIAL_MIN_S = 0.1
REDIAL_MAX_S = 2.0
#: Idle time after which a link that was opened on demand is closed, in seconds.
IDLE_TIMEOUT_S = 15.0
#: The same for a link to a process to which a newer link is open, in seconds.
REPLACED_IDLE_TIMEOUT_S = 2.0
IDLE_POLL_S = 1.0
#: Maximum number of messages queued for a peer while its link is being opened.
MAX_QUEUED_PER_OPENING_LINK = 1000
OPENING_POLL_S = 0.01
UNAUTHORIZED = 401

logger = structlog.get_logger(__name__)


class Mesh:
    """Links to other processes and handlers of the messages they send.

    Parameters
    ----------
    hello : Hello
        Greeting that this process sends on each link.
    key : str
        Shared key of the mesh.
    tls : TlsFiles, optional
        Files for mutual TLS.
    gate : HandshakeGate, optional
        Bound on connections of peers that have not shown the key yet.
    """

    def __init__(
        self,
        hello: Hello,
        key: str,
        tls: TlsFiles | None = None,
        gate: HandshakeGate | None = None,
    ):
        self._hello = hello
        self._key = key
        self._tls = tls
        self._gate = gate or HandshakeGate()
        self._throttle = LogThrottle(monotonic_clock)
        self._links: dict[NodeId, list[Link]] = {}
        self._dispatcher = MessageDispatcher(hello.node)
        self._link_watchers: list[Callable[[Hello, bool], None]] = []
        self._tasks: TaskGroup | None = None
        self._addresses: dict[NodeId, str] = {}
        self._persistent_links: dict[NodeId, anyio.CancelScope] = {}
        self._queued_while_opening: dict[NodeId, list[Envelope]] = {}
        self._closed_bytes = (0, 0)
        self._closed_skipped = 0
        self._tunnel_handler: TunnelHandler | None = None

    @property
    def hello(self) -> Hello:
        """Greeting that this process sends on each link."""
        return self._hello

    @property
    def peers(self) -> list[Hello]:
        """Greetings of all linked processes."""
        return [links[-1].peer for links in self._links.values() if links]

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler of one type of message.

        Parameters
        ----------
        message_type : type
            Class of the message.
        handler : callable
            Called with the sender's id and the message.
        """
        self._dispatcher.handle(message_type, handler)

    def handle_tunnels(self, handler: TunnelHandler) -> None:
        """Register the function that connects tunnels of other processes."""
        self._tunnel_handler = handler

    async def open_tunnel(self, peer_address: str, address: str) -> TunnelStream:
        """Connect to an upstream through the process at a mesh address.

        Raises
        ------
        TunnelError
            If the upstream cannot be reached through that process.
        """
        return await open_tunnel(peer_address, self._key, self._tls, address)

    def watch_links(self, watcher: Callable[[Hello, bool], None]) -> None:
        """Call `watcher` when a link opens or closes.

        It receives the greeting of the peer and whether the link is open.
        """
        self._link_watchers.append(watcher)

    @property
    def persistent_peers(self) -> frozenset[NodeId]:
        """Peers to which this process keeps a link open."""
        return frozenset(self._persistent_links)

    @property
    def traffic_bytes(self) -> tuple[int, int]:
        """Payload bytes sent and received on all links so far."""
        links = [link for links in self._links.values() for link in links]
        return (
            self._closed_bytes[0] + sum(link.bytes_sent for link in links),
            self._closed_bytes[1] + sum(link.bytes_received for link in links),
        )

    @property
    def skipped_messages(self) -> int:
        """Number of messages that this process has skipped on all links so far.

        See `Link.skipped`.
        """
        links = [link for links in self._links.values() for link in links]
        return self._closed_skipped + sum(link.skipped.total() for link in links)

    def supports(self, node: NodeId, level: FeatureLevel) -> bool:
        """Return whether `node` is linked and understands a feature level.

        Its newest link counts. This process understands its own level.
        """
        feature_level = self.feature_level_of(node)
        return feature_level is not None and feature_level >= level

    def feature_level_of(self, node: NodeId) -> int | None:
        """Return the level that `node` understands; None if it is not linked."""
        if node == self._hello.node:
            return self._hello.feature_level
        links = self._links.get(node)
        return links[-1].peer.feature_level if links else None

    def is_linked(self, node: NodeId) -> bool:
        """Return whether `node` is linked or is this process."""
        return node == self._hello.node or bool(self._links.get(node))

    def learn_address(self, node: NodeId, address: str) -> None:
        """Record the mesh address of a peer, for links to it.

        A link that is kept open to its former address is closed.
        """
        if (
            self._addresses.get(node, address) != address
            and node in self._persistent_links
        ):
            self._persistent_links.pop(node).cancel()
        self._addresses[node] = address

    def forget_address(self, node: NodeId) -> None:
        """Remove the address of a peer, so that no more links to it are opened."""
        self._addresses.pop(node, None)

    def set_persistent_peers(self, nodes: frozenset[NodeId]) -> None:
        """Keep links open to exactly these peers; close those kept to others."""
        if self._tasks is None:
            return
        for node in self._persistent_links.keys() - nodes:
            self._persistent_links.pop(node).cancel()
        for node in nodes - self._persistent_links.keys():
            if node in self._addresses:
                scope = self._persistent_links[node] = anyio.CancelScope()
                self._tasks.start_soon(self._dial_until_cancelled, node, scope)

    def dial_once(self, address: str) -> None:
        """Dial an address once; the link is closed again when idle."""
        if self._tasks is not None:
            self._tasks.start_soon(self._connect_once, None, address)

    def send(self, node: NodeId, message: Message) -> bool:
        """Enqueue a one-way message; a link is opened if there is none.

        Parameters
        ----------
        node : NodeId
            The receiver.
        message : Message
            The message.

        Returns
        -------
        bool
            False if the queue is full, or there is neither a link nor an
            address to dial. True does not guarantee delivery.
        """
        envelope = Envelope(EnvelopeKind.SEND, 0, message)
        links = self._links.get(node)
        if links:
            return links[-1].send(envelope)
        if not self._start_opening(node):
            return False
        queued = self._queued_while_opening[node]
        if len(queued) >= MAX_QUEUED_PER_OPENING_LINK:
            return False
        queued.append(envelope)
        return True

    async def request(
        self, node: NodeId, message: Message, timeout_s: float
    ) -> Message:
        """Send a request to `node` and return its reply.

        A link is opened if there is none and the address is known; the time
        for that counts towards `timeout_s`. A request to this process itself is
        handled without a link. See `Link.request` for the errors.
        """
        if node == self._hello.node:
            return await self._dispatcher.handle_locally(message, timeout_s)
        deadline = anyio.current_time() + timeout_s
        if not self._links.get(node):
            await self._wait_until_opened(node, timeout_s)
        links = self._links.get(node)
        if not links:
            raise UnavailableError(ErrorKind.NOT_READY, f"no link to {node}")
        remaining_s = max(0.0, deadline - anyio.current_time())
        return await links[-1].request(message, remaining_s)

    async def _wait_until_opened(self, node: NodeId, timeout_s: float) -> None:
        if not self._start_opening(node):
            return
        with anyio.move_on_after(timeout_s):
            while node in self._queued_while_opening:
                await anyio.sleep(OPENING_POLL_S)

    def _start_opening(self, node: NodeId) -> bool:
        if node in self._queued_while_opening:
            return True
        address = self._addresses.get(node)
        if address is None or self._tasks is None or node == self._hello.node:
            return False
        self._queued_while_opening[node] = []
        self._tasks.start_soon(self._connect_once, node, address)
        return True

    async def _connect_once(self, node: NodeId | None, address: str) -> None:
        try:
            await self._connect(address, closes_when_idle=True)
        except (OSError, WebSocketException, CranberryfieldError) as error:
            logger.debug("outgoing link failed", address=address, error=str(error))
        except Exception:
            logger.exception("outgoing link failed", address=address)
        finally:
            if node is not None:
                self._queued_while_opening.pop(node, None)

    async def _dial_until_cancelled(
        self, node: NodeId, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await self.dial(self._addresses[node])

    async def listen(self, address: str, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Accept links until cancelled.

        Parameters
        ----------
        address : str
            ``IP:PORT`` to bind.
        task_status : anyio.abc.TaskStatus
            Notified once the port is bound.
        """
        host, port = split_address(address)
        async with (
            anyio.create_task_group() as self._tasks,
            serve(
                self._accept,
                sock=ListeningSocket(host, port),
                backlog=ACCEPTED_AT_ONCE,
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=ACCEPTED_PING_INTERVAL_S,
                ping_timeout=ACCEPTED_PING_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                create_connection=partial(GatedServerConnection, gate=self._gate),
                process_request=self._check_key,
                ssl=server_tls(self._tls),
            ),
        ):
            task_status.started()
            await anyio.sleep_forever()

    async def dial(self, address: str) -> None:
        """Keep a link to `address` open, redialling with backoff when it ends.

        Parameters
        ----------
        address : str
            Mesh address of another process, ``IP:PORT``.
        """
        delay_s = REDIAL_MIN_S
        while True:
            try:
                await self._connect(address, closes_when_idle=False)
                delay_s = REDIAL_MIN_S
            except (OSError, WebSocketException, CranberryfieldError) as error:
                logger.debug("outgoing link failed", address=address, error=str(error))
            except Exception:
                # One message must not end the process; the next link may work.
                logger.exception("outgoing link failed", address=address)
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
            create_connection=MeteredClientConnection,
            ssl=client_tls(self._tls),
            proxy=None,
        ) as connection:
            await connection.send(self._encode_greeting())
            await self._serve_link(connection, True, closes_when_idle)

    def _check_key(
        self, connection: GatedServerConnection, request: Request
    ) -> Response | None:
        """Refuse a handshake without the key, before any frame is read."""
        if connection.check_key(self._key):
            return None
        self._throttle.warn("link refused: wrong mesh key")
        return connection.respond(UNAUTHORIZED, "wrong mesh key\n")

    async def _accept(self, connection: GatedServerConnection) -> None:
        try:
            if connection.request.path == TUNNEL_PATH:
                await serve_tunnel(connection, self._tunnel_handler)
                return
            await connection.send(self._encode_greeting())
            await self._serve_link(connection, False, False)
        except (CranberryfieldError, WebSocketException) as error:
            logger.warning("incoming link failed", error=str(error))

    def _encode_greeting(self) -> bytes:
        return encode_frame((Envelope(EnvelopeKind.SEND, 0, self._hello),))

    async def _serve_link(
        self, connection, dialled: bool, closes_when_idle: bool
    ) -> None:
        try:
            with anyio.fail_after(OPEN_TIMEOUT_S):
                first = decode_frame(await connection.recv())
        except TimeoutError as error:
            raise ProtocolError(
                ErrorKind.PROTOCOL, "no greeting arrived in time"
            ) from error
        peer = first[0].message if first else None
        if not isinstance(peer, Hello) or peer.group != self._hello.group:
            raise ProtocolError(
                ErrorKind.PROTOCOL,
                "the first message is not a greeting from a process of this group",
            )
        if peer.node == self._hello.node:
            if closes_when_idle:
                return
            await anyio.sleep_forever()
        link = Link(connection, peer)
        self._links.setdefault(peer.node, []).append(link)
        for envelope in self._queued_while_opening.pop(peer.node, ()):
            link.send(envelope)
        self._notify_link_watchers(peer, True)
        logger.info(
            "link open",
            peer=peer.node,
            dialled=dialled,
            feature_level=peer.feature_level,
        )
        try:
            async with anyio.create_task_group() as tasks:
                if closes_when_idle:
                    tasks.start_soon(self._close_when_idle, link)
                await link.run(self._dispatch)
                tasks.cancel_scope.cancel()
        finally:
            self._remove_link(link)

    async def _close_when_idle(self, link: Link) -> None:
        """Close a link when it has been idle, or another one has replaced it."""
        seen_envelopes = -1
        idle_s = 0.0
        while idle_s < self._idle_timeout_s(link):
            await anyio.sleep(IDLE_POLL_S)
            idle_s = idle_s + IDLE_POLL_S if link.envelopes == seen_envelopes else 0.0
            seen_envelopes = link.envelopes
        await link.close("idle")

    def _idle_timeout_s(self, link: Link) -> float:
        is_replaced = self._links[link.peer.node][-1] is not link
        return REPLACED_IDLE_TIMEOUT_S if is_replaced else IDLE_TIMEOUT_S

    def _remove_link(self, link: Link) -> None:
        node = link.peer.node
        self._closed_bytes = (
            self._closed_bytes[0] + link.bytes_sent,
            self._closed_bytes[1] + link.bytes_received,
        )
        skipped = link.skipped.total()
        self._closed_skipped += skipped
        self._links[node].remove(link)
        if not self._links[node]:
            del self._links[node]
        self._notify_link_watchers(link.peer, False)
        logger.info("link closed", peer=node, reason=link.close_reason, skipped=skipped)

    def _notify_link_watchers(self, peer: Hello, is_open: bool) -> None:
        for watcher in self._link_watchers:
            try:
                watcher(peer, is_open)
            except Exception:
                # The other watchers must know too, and the link stays.
                logger.exception("watcher of links failed", peer=peer.node)

    def _dispatch(self, link: Link, envelope: Envelope) -> None:
        self._dispatcher.dispatch(link, envelope, self._tasks)
