"""Commands of the replicated log about orders to engines, and their results."""

from enum import Enum

from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.base import Message

__all__ = ["ConfirmOrder", "OrderAction", "OrderPlaced", "PlaceOrder"]


class OrderAction(Enum):
    """What an engine can be ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class PlaceOrder(Message):
    """Adds an order to those of one engine; they are carried out in order.

    Attributes
    ----------
    request_id : str
        A resend under the same id gets the first result.
    upstream : UpstreamId
        The engine.
    address : str
        Its ``IP:PORT``.
    action : OrderAction
        What it is to do.
    name : str
        The model, adapter, version or role.
    checks_fencing : bool
        Whether the engine refuses orders that carry an old fencing number.
    """

    request_id: str
    upstream: UpstreamId
    address: str
    action: OrderAction
    name: str
    checks_fencing: bool = False


class OrderPlaced(Message):
    """Result of a `PlaceOrder`: the order's id on the engine."""

    order_id: str


class ConfirmOrder(Message):
    """Notes that an engine was seen to have carried out an order."""

    upstream: UpstreamId
    order_id: str
