"""HTTP calls by which orders are sent to engines and confirmed."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx
import msgspec
import structlog

from cranberryfield.control.orders.scheduling import ORDER_TIMEOUT_S, DueOrder

__all__ = ["OrderBody", "OrderClient", "open_order_client"]

logger = structlog.get_logger(__name__)


class OrderBody(msgspec.Struct):
    """JSON body of an order: sent with POST, and listed by GET ``/orders``."""

    order_id: str
    fencing: int
    action: str
    name: str


class OrderClient:
    """Client of the engines' interface for orders.

    Parameters
    ----------
    http : httpx.AsyncClient
        The HTTP client.
    """

    def __init__(self, http: httpx.AsyncClient):
        self._http = http

    async def post(self, due_order: DueOrder, term: int) -> None:
        """Send an order; a failure is logged."""
        order = due_order.order
        body = OrderBody(order.order_id, term, order.action.value, order.name)
        url = f"http://{due_order.address}/orders"
        try:
            response = await self._http.post(url, content=msgspec.json.encode(body))
        except httpx.HTTPError as error:
            logger.debug(
                "sending an order failed",
                upstream=due_order.upstream,
                error=repr(error),
            )
            return
        if not response.is_success:
            logger.warning(
                "engine did not accept an order",
                upstream=due_order.upstream,
                order=order.order_id,
                status=response.status_code,
            )

    async def is_applied(self, due_order: DueOrder) -> bool:
        """Return whether the engine lists an order as applied."""
        try:
            response = await self._http.get(f"http://{due_order.address}/orders")
            applied_orders = msgspec.json.decode(response.content, type=list[OrderBody])
        except (httpx.HTTPError, msgspec.DecodeError):
            return False
        return due_order.order.order_id in {order.order_id for order in applied_orders}


@asynccontextmanager
async def open_order_client() -> AsyncIterator[OrderClient]:
    """Open a client; it is closed on exit."""
    async with httpx.AsyncClient(timeout=ORDER_TIMEOUT_S, trust_env=False) as http:
        yield OrderClient(http)
