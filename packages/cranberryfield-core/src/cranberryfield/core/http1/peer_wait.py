"""What a connection holds while it waits for its peer."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from cranberryfield.core.admission import (
    AdmittedConnection,
    BudgetExceededError,
    ByteBudget,
    ByteHolding,
    ConnectionTable,
    ShedReason,
)

__all__ = ["PeerWait"]


class PeerWait:
    """Tells the table and the budget whether a connection waits for its peer.

    Parameters
    ----------
    budget : ByteBudget
        Bytes that all connections may hold.
    table : ConnectionTable
        Connections of the listener.
    on_shed : callable
        Called when a limit on all connections costs this one something.
    """

    def __init__(
        self,
        budget: ByteBudget,
        table: ConnectionTable,
        on_shed: Callable[[ShedReason], None],
    ):
        self._table = table
        self._on_shed = on_shed
        self._scope: anyio.CancelScope | None = None
        self._request_bytes = 0
        self.holding = ByteHolding(budget)
        self.admitted = AdmittedConnection(
            lambda: self._evict(ShedReason.CONNECTION_CLOSED)
        )
        self.evicted_for: ShedReason | None = None

    def for_request(self, scope: anyio.CancelScope) -> None:
        """Wait for bytes of a request from now on."""
        self._scope = scope
        self.holding.evict = self._evict_request
        self._table.mark_waiting(self.admitted)

    def record_progress(self) -> None:
        """Record that the peer has sent or taken something."""
        self._table.mark_waiting(self.admitted)

    def hold_request(self, size: int) -> None:
        """Hold a number of bytes of the present request."""
        self._request_bytes = size
        if size != self.holding.size:
            self.holding.resize(size)

    def hold_beside_request(self, size: int) -> None:
        """Hold a number of bytes beside those of the present request."""
        self.holding.resize(self._request_bytes + size)

    def end(self) -> None:
        """Wait no more, as a request has been read whole."""
        self.holding.evict = None
        self._table.mark_working(self.admitted)

    @contextmanager
    def for_response(self, size: int, scope: anyio.CancelScope) -> Iterator[None]:
        """Wait until the peer has taken bytes of a response."""
        self._scope = scope
        self.holding.evict = self._evict_response
        self._table.mark_waiting(self.admitted)
        try:
            self.holding.resize(self._request_bytes + size)
        except BudgetExceededError:
            self._evict_response()
        try:
            yield
        finally:
            if self.evicted_for is None:
                self.holding.resize(self._request_bytes)
            self.end()

    def close(self) -> None:
        """Give up what the connection holds."""
        self.holding.resize(0)
        self._table.remove(self.admitted)

    def _evict_request(self) -> None:
        self._evict(ShedReason.REQUEST_REFUSED)

    def _evict_response(self) -> None:
        self._evict(ShedReason.RESPONSE_DROPPED)

    def _evict(self, reason: ShedReason) -> None:
        if self.evicted_for is None:
            self.evicted_for = reason
            self._on_shed(reason)
        if self._scope is not None:
            self._scope.cancel()
