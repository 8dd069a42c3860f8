"""Accepted connections of peers that have not shown the shared key yet."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hmac import compare_digest

from cranberryfield.core.admission import (
    AdmittedConnection,
    ConnectionTable,
    ShedReason,
)
from cranberryfield.core.mesh.link import MeteredServerConnection

__all__ = ["GatedServerConnection", "HandshakeGate"]

#: Bytes that a peer may send before it has shown the key. A handshake has some 300.
MAX_HANDSHAKE_BYTES = 16_384
#: Connections without the key, for a process that is given no limit.
DEFAULT_MAX_HANDSHAKES = 512


@dataclass(slots=True)
class HandshakeGate:
    """Bound on the connections of peers that have not shown the key.

    Attributes
    ----------
    table : ConnectionTable
        These connections.
    on_shed : callable
        Called when one of them is closed for what it sends, or for another one.
    """

    table: ConnectionTable = field(
        default_factory=lambda: ConnectionTable(DEFAULT_MAX_HANDSHAKES)
    )
    on_shed: Callable[[ShedReason], None] = lambda reason: None


class GatedServerConnection(MeteredServerConnection):
    """Accepted WebSocket connection that is closed if it does not show the key soon.

    Parameters
    ----------
    *arguments, **options
        As for the connection of the library.
    gate : HandshakeGate
        Bound on such connections.
    """

    def __init__(self, *arguments, gate: HandshakeGate, **options):
        super().__init__(*arguments, **options)
        self._gate = gate
        self._has_key = False
        self._admitted = AdmittedConnection(self._shed)

    def check_key(self, key: str) -> bool:
        """Return whether the request of the handshake has the shared key."""
        given = self.request.headers.get("Authorization", "")
        self._has_key = compare_digest(given.encode(), f"Bearer {key}".encode())
        if self._has_key:
            self._gate.table.remove(self._admitted)
        return self._has_key

    def connection_made(self, transport) -> None:
        """Count the connection as one without the key."""
        super().connection_made(transport)
        self._gate.table.admit(self._admitted)
        self._gate.table.mark_waiting(self._admitted)

    def data_received(self, data: bytes) -> None:
        """Close the connection if it sends much without the key."""
        received_bytes = self.raw_bytes_received + len(data)
        if not self._has_key and received_bytes > MAX_HANDSHAKE_BYTES:
            self._gate.table.remove(self._admitted)
            self._shed()
            return
        super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Count the connection no more."""
        self._gate.table.remove(self._admitted)
        super().connection_lost(error)

    def _shed(self) -> None:
        self._gate.on_shed(ShedReason.CONNECTION_CLOSED)
        self.transport.abort()
