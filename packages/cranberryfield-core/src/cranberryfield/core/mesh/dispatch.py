"""Dispatch of received messages to their handlers."""

from collections.abc import Awaitable, Callable

import anyio
import structlog
from anyio.abc import TaskGroup

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh.link import Link
from cranberryfield.core.messages.base import Message
from cranberryfield.core.messages.codec import Envelope, EnvelopeKind, SkipReason
from cranberryfield.core.messages.links import Failure

__all__ = ["Handler", "MessageDispatcher"]

#: Handles one message from a node; returns a reply, an awaitable reply or None.
Handler = Callable[[NodeId, Message], Message | None | Awaitable[Message | None]]

logger = structlog.get_logger(__name__)


class MessageDispatcher:
    """Handlers of messages, one for each type.

    Parameters
    ----------
    own_node : NodeId
        Id of this process, the sender of requests to itself.
    """

    def __init__(self, own_node: NodeId):
        self._own_node = own_node
        self._handlers: dict[type[Message], Handler] = {}

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        """Register the handler of one type of message."""
        self._handlers[message_type] = handler

    async def handle_locally(self, message: Message, timeout_s: float) -> Message:
        """Return the reply of this process to a request of its own."""
        handler = self._handlers.get(type(message))
        if handler is None:
            raise UnavailableError(
                ErrorKind.NOT_READY, "no handler for the request on this process"
            )
        reply = handler(self._own_node, message)
        if not isinstance(reply, Awaitable):
            return reply
        with anyio.move_on_after(timeout_s):
            return await reply
        raise UnavailableError(
            ErrorKind.NOT_READY, "the local handler did not reply in time"
        )

    def dispatch(self, link: Link, envelope: Envelope, tasks: TaskGroup) -> None:
        """Handle a received envelope that is not a reply.

        Parameters
        ----------
        link : Link
            The link that it came on; replies are sent on it.
        envelope : Envelope
            The envelope.
        tasks : anyio.abc.TaskGroup
            Runs handlers that have to wait.
        """
        handler = self._handlers.get(type(envelope.message))
        if handler is None:
            _refuse_unhandled(link, envelope)
            return
        if envelope.kind is EnvelopeKind.REQUEST:
            self._handle_request(link, envelope, handler, tasks)
            return
        try:
            handler(link.peer.node, envelope.message)
        except Exception:
            logger.exception("handler failed", message=type(envelope.message).__name__)

    def _handle_request(
        self, link: Link, envelope: Envelope, handler: Handler, tasks: TaskGroup
    ) -> None:
        """Reply to a request; in a task only if the handler has to wait."""
        try:
            reply = handler(link.peer.node, envelope.message)
        except Exception as error:
            reply = _failure(error, envelope.message)
        if isinstance(reply, Awaitable):
            tasks.start_soon(_reply_later, link, envelope, reply)
        elif reply is not None:
            link.send(Envelope(EnvelopeKind.REPLY, envelope.call, reply))


def _refuse_unhandled(link: Link, envelope: Envelope) -> None:
    name = type(envelope.message).__name__
    link.count_skipped(SkipReason.NO_HANDLER, name)
    if envelope.kind is EnvelopeKind.REQUEST:
        failure = Failure(
            ErrorKind.NOT_READY.value, f"no handler for {name} on this process"
        )
        link.send(Envelope(EnvelopeKind.REPLY, envelope.call, failure))


async def _reply_later(
    link: Link, envelope: Envelope, pending: Awaitable[Message | None]
) -> None:
    try:
        reply = await pending
    except Exception as error:
        reply = _failure(error, envelope.message)
    if reply is not None:
        link.send(Envelope(EnvelopeKind.REPLY, envelope.call, reply))


def _failure(error: Exception, request: Message) -> Failure:
    """Return the reply to a request whose handler has failed."""
    if isinstance(error, CranberryfieldError):
        return Failure(error.kind.value, error.detail)
    logger.error("handler failed", message=type(request).__name__, exc_info=error)
    return Failure(ErrorKind.INTERNAL.value, "the handler failed")
