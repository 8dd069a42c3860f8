"""Sending of orders to engines, and confirmation that they were applied."""

import anyio
import httpx
import msgspec
import structlog
from anyio.abc import TaskGroup

from cranberryfield.control.consensus import ReplicaRole
from cranberryfield.control.consensus.leader_replication import leader_lease_expiry
from cranberryfield.control.orders.scheduling import (
    ORDER_TIMEOUT_S,
    DueOrder,
    due_orders,
)
from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.orders import ConfirmOrder

__all__ = ["OrderSender"]

POLL_INTERVAL_S = 0.05
IDLE_POLL_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.5

logger = structlog.get_logger(__name__)


class OrderBody(msgspec.Struct):
    """JSON body of an order: sent with POST, and listed by GET ``/orders``."""

    order_id: str
    fencing: int
    action: str
    name: str


class OrderSender:
    """Sends the committed orders to engines while this replica is the leader.

    Parameters
    ----------
    section : ControlSection
        The replica and its applied state, read-only.
    propose : callable
        Proposes an encoded command and returns its result.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, section, propose, clock: Clock):
        self._section = section
        self._propose = propose
        self._clock = clock
        self._in_flight: set[UpstreamId] = set()

    async def run(self) -> None:
        """Send orders that are due until cancelled."""
        while not self._section.state.orders.engines:
            await anyio.sleep(IDLE_POLL_INTERVAL_S)
        async with (
            httpx.AsyncClient(timeout=ORDER_TIMEOUT_S, trust_env=False) as http,
            anyio.create_task_group() as tasks,
        ):
            while True:
                if self._section.replica.role is ReplicaRole.LEADER:
                    self._send_due_orders(http, tasks)
                await anyio.sleep(
                    POLL_INTERVAL_S if self._in_flight else IDLE_POLL_INTERVAL_S
                )

    def _send_due_orders(self, http: httpx.AsyncClient, tasks: TaskGroup) -> None:
        replica = self._section.replica
        due = due_orders(
            self._section.state.orders,
            frozenset(self._in_flight),
            replica.leader_since,
            leader_lease_expiry(replica),
            replica.timing.election_max_s,
            self._clock(),
        )
        for due_order in due:
            self._in_flight.add(due_order.upstream)
            tasks.start_soon(self._deliver_order, http, due_order, replica.term)

    async def _deliver_order(
        self, http: httpx.AsyncClient, due_order: DueOrder, term: int
    ) -> None:
        try:
            with anyio.move_on_after(ORDER_TIMEOUT_S):
                await self._post_order(http, due_order, term)
            if await self._is_applied(http, due_order):
                command = ConfirmOrder(due_order.upstream, due_order.order.order_id)
                await self._propose(encode_message(command))
            else:
                await anyio.sleep(RETRY_DELAY_S)
        finally:
            self._in_flight.discard(due_order.upstream)

    async def _post_order(
        self, http: httpx.AsyncClient, due_order: DueOrder, term: int
    ) -> None:
        order = due_order.order
        body = OrderBody(order.order_id, term, order.action.value, order.name)
        url = f"http://{due_order.address}/orders"
        try:
            response = await http.post(url, content=msgspec.json.encode(body))
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

    async def _is_applied(self, http: httpx.AsyncClient, due_order: DueOrder) -> bool:
        try:
            response = await http.get(f"http://{due_order.address}/orders")
            applied_orders = msgspec.json.decode(response.content, type=list[OrderBody])
        except (httpx.HTTPError, msgspec.DecodeError):
            return False
        return due_order.order.order_id in {order.order_id for order in applied_orders}
