"""Commands of the replicated log that manage orders to engines."""

from enum import Enum

from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.base import Message

__all__ = ["ConfirmOrder", "OrderAction", "OrderPlaced", "PlaceOrder"]


class OrderAction(Enum):
    """Actions that an engine can be ordered to carry out."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class PlaceOrder(Message):
    """Appends an order to one engine's queue, which is processed in order.

    Attributes
    ----------
    request_id : str
        A command resent with the same id returns the first result.
    upstream : UpstreamId
        The engine.
    address : str
        Its ``IP:PORT``.
    action : OrderAction
        Action to carry out.
    name : str
        Model, adapter, version or role that the action applies to.
    checks_fencing : bool
        Whether the engine refuses orders that carry an outdated fencing token.
    """

    request_id: str
    upstream: UpstreamId
    address: str
    action: OrderAction
    name: str
    checks_fencing: bool = False


class OrderPlaced(Message):
    """Result of a `PlaceOrder`, with the id of the order on the engine."""

    order_id: str


class ConfirmOrder(Message):
    """Records that an engine was observed to have carried out an order."""

    upstream: UpstreamId
    order_id: str
