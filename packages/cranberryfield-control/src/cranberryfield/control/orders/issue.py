"""Decides which orders the leader may send now."""

from dataclasses import dataclass

from cranberryfield.control.orders.machine import OrdersState, PlacedOrder
from cranberryfield.core.ids import UpstreamId

__all__ = ["ORDER_TIMEOUT_S", "Issue", "due_orders"]

#: Longest time for one attempt at an order, in seconds. A leader begins none
#: that its lease does not cover.
ORDER_TIMEOUT_S = 0.3


@dataclass(frozen=True, slots=True)
class Issue:
    """An order to be sent to an engine."""

    upstream: UpstreamId
    address: str
    order: PlacedOrder


def due_orders(
    state: OrdersState,
    in_flight: frozenset[UpstreamId],
    leads_since: float,
    lease_until: float,
    longest_lease_s: float,
    now: float,
) -> list[Issue]:
    """Return the orders to send now, at most one for each engine.

    Parameters
    ----------
    state : OrdersState
        The committed orders.
    in_flight : frozenset of UpstreamId
        Engines that an attempt is under way for.
    leads_since, lease_until : float
        When this replica became leader, and until when no other can be, in
        monotonic seconds.
    longest_lease_s : float
        Longest time for which a predecessor's lease can still hold, in seconds.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of Issue
        Always the oldest order that is not confirmed.

    Notes
    -----
    Only committed orders are sent, and an order is sent only once all before it
    were seen carried out. So a deposed leader can send nothing late that its
    successor has not made sure of first: it arrives as a repetition, which has
    no effect under its id, also on an engine that ignores fencing numbers.
    """
    if now + ORDER_TIMEOUT_S > lease_until:
        return []
    found = []
    for upstream, engine in state.engines.items():
        if not engine.waiting or upstream in in_flight:
            continue
        if not engine.checks_fencing and now < leads_since + longest_lease_s:
            continue
        found.append(Issue(upstream, engine.address, engine.waiting[0]))
    return found
