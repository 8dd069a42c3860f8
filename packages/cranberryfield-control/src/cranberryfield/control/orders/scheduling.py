"""Selection of the committed orders that the leader may send now."""

from dataclasses import dataclass

from cranberryfield.control.orders.machine import OrdersState, PendingOrder
from cranberryfield.core.ids import UpstreamId

__all__ = ["ORDER_TIMEOUT_S", "DueOrder", "due_orders"]

#: Timeout of one attempt to send an order, in seconds. A leader starts an attempt
#: only if its lease covers the whole timeout.
ORDER_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class DueOrder:
    """An order that is due, and the engine to send it to."""

    upstream: UpstreamId
    address: str
    order: PendingOrder


def due_orders(
    state: OrdersState,
    in_flight: frozenset[UpstreamId],
    leader_since: float,
    lease_until: float,
    max_lease_s: float,
    now: float,
) -> list[DueOrder]:
    """Return the orders to send now, at most one for each engine.

    Parameters
    ----------
    state : OrdersState
        The committed orders.
    in_flight : frozenset of UpstreamId
        Engines to which an order is being sent.
    leader_since, lease_until : float
        Time at which this replica became leader, and the end of its leader
        lease, in monotonic seconds.
    max_lease_s : float
        Longest time for which the lease of an earlier leader can last, in
        seconds.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of DueOrder
        The oldest unconfirmed order of each engine that may be sent now.

    Notes
    -----
    Only committed orders are sent, and each only after all earlier orders to the
    engine are confirmed. An order that a deposed leader sends late is therefore
    either the one its successor sends, or already applied. It arrives as a
    duplicate, which has no effect because of its id, even on an engine that
    ignores fencing tokens.
    """
    if now + ORDER_TIMEOUT_S > lease_until:
        return []
    due = []
    for upstream, engine in state.engines.items():
        if not engine.pending or upstream in in_flight:
            continue
        if not engine.checks_fencing and now < leader_since + max_lease_s:
            continue
        due.append(DueOrder(upstream, engine.address, engine.pending[0]))
    return due
