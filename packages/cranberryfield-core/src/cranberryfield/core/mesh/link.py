"""Open connection to another process, for messages and requests."""

from collections import Counter
from itertools import count

import anyio
import cbor2
import structlog
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    error_of_kind,
)
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import (
    Envelope,
    EnvelopeKind,
    SkippedContent,
    SkipReason,
    decode_frame,
    encode_frame,
)
from cranberryfield.core.messages.links import Failure, Hello

__all__ = ["Link", "MeteredClientConnection", "MeteredServerConnection"]

MAX_QUEUED_ENVELOPES = 10_000
MAX_BATCH_ENVELOPES = 500
CLOSE_TIMEOUT_S = 1.0
#: Number of requests without a reply, and without any bytes received meanwhile,
#: after which the link is aborted before its pings time out. Bytes received
#: during an unanswered request, also of an unfinished frame, reset the number.
MAX_UNANSWERED_REQUESTS = 2
#: Each of the first frames of a link and then one in so many is searched for unknown
#: fields. Searching each frame would add 8 % to the time of its decoding.
FIELD_CHECK_FRAMES = 32
#: Maximum number of kinds of skipped content that are counted and logged for a link.
MAX_SKIPPED_KINDS = 100

logger = structlog.get_logger(__name__)


class _ReceiveMeter:
    """Counts the bytes that arrive, also those of frames that are not complete."""

    raw_bytes_received = 0

    def data_received(self, data: bytes) -> None:
        self.raw_bytes_received += len(data)
        super().data_received(data)


class MeteredClientConnection(_ReceiveMeter, ClientConnection):
    """Dialled WebSocket connection that counts received bytes."""


class MeteredServerConnection(_ReceiveMeter, ServerConnection):
    """Accepted WebSocket connection that counts received bytes."""


class _PendingRequest:
    """A request whose reply is pending."""

    def __init__(self):
        self.done = anyio.Event()
        self.reply: Message | None = None


class Link:
    """Sends and receives envelopes over one WebSocket connection.

    Parameters
    ----------
    connection : MeteredClientConnection or MeteredServerConnection
        Open connection.
    peer : Hello
        Greeting of the other process.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Payload transferred so far, in bytes.
    envelopes : int
        Envelopes transferred so far in both directions.
    skipped : collections.Counter
        Number of received messages that this process has skipped, or has read without
        unknown fields, by `SkipReason` and name of the message. Unknown fields are
        searched for in some frames only.
    close_reason : str
        Why the link was closed; empty while it is open.
    """

    def __init__(self, connection, peer: Hello):
        self._connection = connection
        self._peer = peer
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._request_numbers = count(1)
        self._outgoing_sender, self._outgoing_receiver = (
            anyio.create_memory_object_stream[Envelope](MAX_QUEUED_ENVELOPES)
        )
        self._open = True
        self._unanswered_requests = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.envelopes = 0
        self.skipped: Counter[tuple[SkipReason, str]] = Counter()
        self.close_reason = ""
        self._frames_received = 0

    @property
    def peer(self) -> Hello:
        """Greeting of the other process."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Whether the link is neither closed nor aborted."""
        return self._open

    def send(self, envelope: Envelope) -> bool:
        """Enqueue an envelope; return False if the link is closed or its queue full."""
        if not self._open:
            return False
        try:
            self._outgoing_sender.send_nowait(envelope)
        except anyio.WouldBlock:
            return False
        return True

    async def request(self, message: Message, timeout_s: float) -> Message:
        """Send a request and wait for the reply.

        Parameters
        ----------
        message : Message
            The request.
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        Message
            The reply.

        Raises
        ------
        CranberryfieldError
            Of the kind that the other process returned, or ``not_ready`` if the
            link failed or no reply arrived in time.
        """
        number = next(self._request_numbers)
        pending = self._pending_requests[number] = _PendingRequest()
        received = self._connection.raw_bytes_received
        try:
            if not self.send(Envelope(EnvelopeKind.REQUEST, number, message)):
                raise UnavailableError(
                    ErrorKind.NOT_READY, "the link is closed or its send queue is full"
                )
            with anyio.move_on_after(timeout_s):
                await pending.done.wait()
        finally:
            del self._pending_requests[number]
        if pending.reply is None:
            self._count_unanswered_request(received)
            raise UnavailableError(
                ErrorKind.NOT_READY, f"no reply from {self._peer.node}"
            )
        if isinstance(pending.reply, Failure):
            raise error_of_kind(_error_kind(pending.reply.kind), pending.reply.detail)
        return pending.reply

    def _count_unanswered_request(self, received_before: int) -> None:
        """Count a request without a reply; abort the link if it no longer responds."""
        if self._connection.raw_bytes_received > received_before:
            self._unanswered_requests = 0
            return
        self._unanswered_requests += 1
        if self._unanswered_requests >= MAX_UNANSWERED_REQUESTS and self._open:
            self._open = False
            self.close_reason = "no bytes received during unanswered requests"
            logger.warning(
                "link aborted",
                peer=self._peer.node,
                reason=self.close_reason,
                unanswered=self._unanswered_requests,
            )
            self._connection.transport.abort()

    async def run(self, on_envelope) -> None:
        """Send and receive envelopes until the connection ends.

        Parameters
        ----------
        on_envelope : callable
            Called with this link and each received envelope that is not a
            reply.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                await self._read(on_envelope)
                tasks.cancel_scope.cancel()
        finally:
            self._close()

    def _close(self) -> None:
        self._open = False
        self.close_reason = self.close_reason or "this process closed it"
        self._outgoing_sender.close()
        self._outgoing_receiver.close()
        for pending in self._pending_requests.values():
            pending.done.set()

    async def _read(self, on_envelope) -> None:
        try:
            while True:
                data = await self._connection.recv()
                self.bytes_received += len(data)
                for envelope in self._decode(data):
                    self.envelopes += 1
                    if envelope.kind is EnvelopeKind.REPLY:
                        self._deliver_reply(envelope.call, envelope.message)
                    else:
                        on_envelope(self, envelope)
        except ConnectionClosed as error:
            self.close_reason = self.close_reason or f"connection ended: {error}"
        except CranberryfieldError as error:
            self.close_reason = self.close_reason or error.detail

    def _decode(self, data: bytes) -> tuple[Envelope, ...]:
        number = self._frames_received
        self._frames_received += 1
        checks_fields = number < FIELD_CHECK_FRAMES or number % FIELD_CHECK_FRAMES == 0
        return decode_frame(data, self._skip, checks_fields)

    def _skip(self, content: SkippedContent) -> None:
        """Count content that this build does not understand; answer a request."""
        self.count_skipped(content.reason, content.message)
        if content.reason is SkipReason.UNKNOWN_FIELDS:
            return
        detail = f"{content.reason.value} {content.message}"
        failure = Failure(ErrorKind.PROTOCOL.value, detail)
        if content.kind == EnvelopeKind.REQUEST:
            self.send(Envelope(EnvelopeKind.REPLY, content.call, failure))
        elif content.kind == EnvelopeKind.REPLY:
            self._deliver_reply(content.call, failure)

    def count_skipped(self, reason: SkipReason, message: str) -> None:
        """Count a message that was skipped; log the first of each kind."""
        key = reason, message
        if key not in self.skipped:
            if len(self.skipped) >= MAX_SKIPPED_KINDS:
                key = reason, "(others)"
            if key not in self.skipped:
                logger.warning(
                    "message skipped",
                    peer=self._peer.node,
                    message=key[1],
                    reason=reason.value,
                    peer_level=self._peer.feature_level,
                )
        self.skipped[key] += 1

    def _deliver_reply(self, call: int, message: Message) -> None:
        pending = self._pending_requests.get(call)
        if pending is not None:
            pending.reply = message
            pending.done.set()

    async def _write(self) -> None:
        try:
            async for first in self._outgoing_receiver:
                batch = [first]
                while len(batch) < MAX_BATCH_ENVELOPES:
                    try:
                        batch.append(self._outgoing_receiver.receive_nowait())
                    except anyio.WouldBlock:
                        break
                frame = self._encode(batch)
                self.bytes_sent += len(frame)
                self.envelopes += len(batch)
                await self._connection.send(frame)
        except (ConnectionClosed, anyio.EndOfStream):
            await self._connection.close()

    def _encode(self, batch: list[Envelope]) -> bytes:
        """Encode a batch, without the envelopes that cannot be encoded."""
        try:
            return encode_frame(tuple(batch))
        except (TypeError, ValueError, ArithmeticError, cbor2.CBORError):
            encodable = [one for one in batch if self._is_encodable(one)]
            return encode_frame(tuple(encodable))

    def _is_encodable(self, envelope: Envelope) -> bool:
        try:
            encode_frame((envelope,))
        except (TypeError, ValueError, ArithmeticError, cbor2.CBORError):
            logger.exception(
                "message cannot be encoded",
                peer=self._peer.node,
                message=type(envelope.message).__name__,
            )
            return False
        return True

    async def close(self, reason: str) -> None:
        """Close the connection; `reason` is for the log."""
        self._open = False
        self.close_reason = self.close_reason or reason
        with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
            await self._connection.close()


def _error_kind(value: str) -> ErrorKind:
    """Return the kind of an error; a kind of a later build counts as internal."""
    try:
        return ErrorKind(value)
    except ValueError:
        return ErrorKind.INTERNAL
