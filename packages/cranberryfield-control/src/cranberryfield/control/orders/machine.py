"""State machine that replicates the orders to engines."""

import msgspec

from cranberryfield.core.errors import ErrorKind
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.messages.orders import (
    ConfirmOrder,
    OrderAction,
    OrderPlaced,
    PlaceOrder,
)

__all__ = ["EngineOrders", "OrdersState", "PendingOrder", "apply_order_command"]

MAX_PENDING_PER_ENGINE = 64
RETAINED_REQUESTS = 1_000


class PendingOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order that is not confirmed yet."""

    order_id: str
    action: OrderAction
    name: str


class EngineOrders(msgspec.Struct, array_like=True):
    """The orders of one engine.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the engine.
    checks_fencing : bool
        Whether the engine refuses outdated fencing tokens.
    placed : int
        Number of orders placed so far; the last order has it in its id.
    pending : list of PendingOrder
        Unconfirmed orders, oldest first.
    """

    address: str
    checks_fencing: bool
    placed: int = 0
    pending: list[PendingOrder] = msgspec.field(default_factory=list)


class OrdersState(msgspec.Struct, array_like=True):
    """Orders by engine, and the order ids of the latest requests by request id."""

    engines: dict[UpstreamId, EngineOrders] = msgspec.field(default_factory=dict)
    requests: dict[str, str] = msgspec.field(default_factory=dict)


def apply_order_command(
    state: OrdersState, command: PlaceOrder | ConfirmOrder
) -> OrderPlaced | Refused | ConfirmOrder:
    """Apply one committed command to the orders.

    Parameters
    ----------
    state : OrdersState
        Changed in place.
    command : PlaceOrder or ConfirmOrder
        The command. Applying a resend again has no further effect.

    Returns
    -------
    OrderPlaced, Refused or ConfirmOrder
        The id of the order, the reason for a refusal, or the confirmation.

    Examples
    --------
    >>> state = OrdersState()
    >>> order = PlaceOrder("r", "e1", "127.0.0.1:1", OrderAction.LOAD_MODEL, "m")
    >>> apply_order_command(state, order).order_id
    'e1-1'
    >>> apply_order_command(state, order).order_id
    'e1-1'
    >>> done = apply_order_command(state, ConfirmOrder("e1", "e1-1"))
    >>> state.engines["e1"].pending
    []
    """
    if isinstance(command, ConfirmOrder):
        _confirm_order(state, command)
        return command
    return _place_order(state, command)


def _place_order(state: OrdersState, command: PlaceOrder) -> OrderPlaced | Refused:
    known = state.requests.get(command.request_id)
    if known is not None:
        return OrderPlaced(known)
    engine = state.engines.setdefault(
        command.upstream, EngineOrders(command.address, command.checks_fencing)
    )
    if len(engine.pending) >= MAX_PENDING_PER_ENGINE:
        return Refused(
            ErrorKind.QUEUE_FULL.value, f"too many orders wait for {command.upstream}"
        )
    engine.address = command.address
    engine.checks_fencing = command.checks_fencing
    engine.placed += 1
    order_id = f"{command.upstream}-{engine.placed}"
    engine.pending.append(PendingOrder(order_id, command.action, command.name))
    state.requests[command.request_id] = order_id
    if len(state.requests) > RETAINED_REQUESTS:
        del state.requests[next(iter(state.requests))]
    return OrderPlaced(order_id)


def _confirm_order(state: OrdersState, command: ConfirmOrder) -> None:
    engine = state.engines.get(command.upstream)
    if engine is not None:
        engine.pending = [
            order for order in engine.pending if order.order_id != command.order_id
        ]
