"""Writes responses to callers that may be slow to read them."""

import math

import anyio
from anyio.lowlevel import (
    cancel_shielded_checkpoint,
    checkpoint,
    checkpoint_if_cancelled,
)

from cranberryfield.core.admission import BudgetExceededError
from cranberryfield.core.http1.peer_wait import PeerWait
from cranberryfield.core.http1.streams import AcceptedStream

__all__ = ["WRITE_BYTES", "ResponseWriter"]

#: Timeout for one write of `WRITE_BYTES` to a caller that does not read, in seconds.
WRITE_TIMEOUT_S = 10.0
WRITE_BYTES = 65_536


class ResponseWriter:
    """Writes the response to one request; bounds how long its caller may not read.

    Parameters
    ----------
    stream : AcceptedStream
        The connection.
    waiting : PeerWait
        Told when the caller has to read before more can be written.
    scope : anyio.CancelScope
        Scope in which the handler runs. It is cancelled if the caller does not take
        a part of the response for `WRITE_TIMEOUT_S`.
    """

    def __init__(
        self, stream: AcceptedStream, waiting: PeerWait, scope: anyio.CancelScope
    ):
        self._stream = stream
        self._waiting = waiting
        self._scope = scope

    def may_keep(self, size: int) -> bool:
        """Hold bytes of a response until it is written; return whether they may be."""
        try:
            self._waiting.hold_beside_request(size)
        except BudgetExceededError:
            return False
        return True

    async def write_through(self, data: bytes) -> None:
        """Write data although the deadline of the request may pass meanwhile.

        Once the head of a response has been made no other can follow, so that the
        connection would be closed without an answer.
        """
        if self._stream.send_now(data):
            await cancel_shielded_checkpoint()
            return
        with anyio.CancelScope(shield=True) as scope:
            await self._flush(scope)
        if scope.cancelled_caught:
            self._scope.cancel()
            await checkpoint()

    async def write(self, data: bytes) -> None:
        """Write a part of a response."""
        await checkpoint_if_cancelled()
        if self._stream.send_now(data):
            await cancel_shielded_checkpoint()
        else:
            await self._flush(self._scope)
            self._scope.deadline = math.inf

    async def _flush(self, scope: anyio.CancelScope) -> None:
        with self._waiting.for_response(self._stream.unsent_bytes, scope):
            while self._stream.unsent_bytes:
                scope.deadline = anyio.current_time() + WRITE_TIMEOUT_S
                await self._stream.flush(WRITE_BYTES)
                self._waiting.record_progress()
