"""Bounds on what all connections of a process hold together.

Which connection yields is decided here: the one that has kept this process waiting for
longest, or that holds most while it does so. A request that has been read whole is
never given up for another one.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "AdmittedConnection",
    "BudgetExceededError",
    "ByteBudget",
    "ByteHolding",
    "ConnectionTable",
    "ShedReason",
]


class ShedReason(Enum):
    """What a limit on all connections has cost a caller."""

    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_CLOSED = "connection_closed"
    REQUEST_REFUSED = "request_refused"
    RESPONSE_DROPPED = "response_dropped"


class BudgetExceededError(Exception):
    """Raised if bytes cannot be held within the budget."""


@dataclass(slots=True, eq=False)
class ByteHolding:
    """Bytes that one connection holds.

    Attributes
    ----------
    budget : ByteBudget
        The budget that they count towards.
    evict : callable, optional
        Makes the connection give up its bytes; set while it waits for its peer.
    """

    budget: "ByteBudget"
    evict: Callable[[], None] | None = None
    _size: int = 0
    _is_evicted: bool = False

    @property
    def size(self) -> int:
        """Number of bytes."""
        return self._size

    def resize(self, size: int) -> None:
        """Change the number of bytes.

        Raises
        ------
        BudgetExceededError
            If they are too many, or the holding was evicted.
        """
        self.budget.resize(self, size)


class ByteBudget:
    """Number of bytes that all connections may hold together.

    A holding that is alone is never refused: limits on single requests apply to it.

    Parameters
    ----------
    max_bytes : int
        The number.

    Examples
    --------
    >>> budget = ByteBudget(100)
    >>> first, second = ByteHolding(budget), ByteHolding(budget)
    >>> first.resize(90)
    >>> try:
    ...     second.resize(20)
    ... except BudgetExceededError:
    ...     print("refused")
    refused
    >>> first.evict = lambda: print("evicted")
    >>> second.resize(20)
    evicted
    >>> budget.held_bytes
    20
    """

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._holdings: dict[ByteHolding, None] = {}

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are held."""
        return self._held_bytes

    def resize(self, holding: ByteHolding, size: int) -> None:
        """Change the size of a holding; see `ByteHolding.resize`."""
        if holding._is_evicted and size:
            raise BudgetExceededError(f"{self._max_bytes} bytes")
        growth = size - holding._size
        while (
            growth > 0
            and self._held_bytes + growth > self._max_bytes
            and self._held_bytes > holding._size
        ):
            largest = self._find_evictable(holding, size)
            if largest is None:
                raise BudgetExceededError(f"{self._max_bytes} bytes")
            self._set(largest, 0)
            largest._is_evicted = True
            largest.evict()
        self._set(holding, size)

    def _find_evictable(self, holding: ByteHolding, size: int) -> ByteHolding | None:
        """Return the largest other holding that can be evicted, of `size` at least.

        Of several the oldest, so that many small ones do not lock others out.
        """
        evictable = (
            one
            for one in self._holdings
            if one is not holding and one.evict is not None and one._size >= size
        )
        return max(evictable, key=lambda one: one._size, default=None)

    def _set(self, holding: ByteHolding, size: int) -> None:
        self._held_bytes += size - holding._size
        holding._size = size
        if size:
            self._holdings[holding] = None
        else:
            self._holdings.pop(holding, None)


@dataclass(slots=True, eq=False)
class AdmittedConnection:
    """An open connection.

    Attributes
    ----------
    evict : callable
        Closes the connection.
    """

    evict: Callable[[], None]


@dataclass(slots=True)
class ConnectionTable:
    """Open connections of one listener.

    Attributes
    ----------
    max_connections : int
        Number of connections that may be open.

    Examples
    --------
    >>> table = ConnectionTable(1)
    >>> idle = AdmittedConnection(lambda: print("closed"))
    >>> table.admit(idle)
    True
    >>> table.mark_waiting(idle)
    >>> busy = AdmittedConnection(lambda: print("closed"))
    >>> table.admit(busy)
    closed
    True
    >>> table.admit(AdmittedConnection(lambda: None))
    False
    """

    max_connections: int
    _open: set[AdmittedConnection] = field(default_factory=set)
    #: Those that wait for their peer, the one that does so for longest first.
    _waiting: dict[AdmittedConnection, None] = field(default_factory=dict)

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def admit(self, connection: AdmittedConnection) -> bool:
        """Add a connection, in the place of one that waits if there are too many.

        Returns
        -------
        bool
            False if all others are in use.
        """
        if len(self._open) >= self.max_connections:
            longest = next(iter(self._waiting), None)
            if longest is None:
                return False
            self.remove(longest)
            longest.evict()
        self._open.add(connection)
        return True

    def remove(self, connection: AdmittedConnection) -> None:
        """Remove a connection that is closed; without effect on others."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)

    def mark_waiting(self, connection: AdmittedConnection) -> None:
        """Record that a connection waits for its peer from now on."""
        self._waiting.pop(connection, None)
        if connection in self._open:
            self._waiting[connection] = None

    def mark_working(self, connection: AdmittedConnection) -> None:
        """Record that a connection has a request that is being handled."""
        self._waiting.pop(connection, None)
