"""Sending of orders to engines, and confirmation that they were applied."""

import anyio
import httpx
import msgspec
import structlog
from anyio.abc import TaskGroup

from cranberryfield.control.consensus import ReplicaRole
from cranberryfield.control.consensus.replication import leader_lease_until
from cranberryfield.control.orders.issue import ORDER_TIMEOUT_S, Issue, due_orders
from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.codec import encode_message
from cranberryfield.core.messages.orders import ConfirmOrder

__all__ = ["OrderIssuer"]

POLL_S = 0.05
IDLE_POLL_S = 0.2
RETRY_S = 0.5

logger = structlog.get_logger(__name__)


class OrderBody(msgspec.Struct):
    """JSON body of an order: sent with POST, and listed by GET ``/orders``."""

    order_id: str
    fencing: int
    action: str
    name: str


class OrderIssuer:
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
            await anyio.sleep(IDLE_POLL_S)
        async with (
            httpx.AsyncClient(timeout=ORDER_TIMEOUT_S, trust_env=False) as http,
            anyio.create_task_group() as tasks,
        ):
            while True:
                if self._section.replica.role is ReplicaRole.LEADER:
                    self._issue_due(http, tasks)
                await anyio.sleep(POLL_S if self._in_flight else IDLE_POLL_S)

    def _issue_due(self, http: httpx.AsyncClient, tasks: TaskGroup) -> None:
        replica = self._section.replica
        due = due_orders(
            self._section.state.orders,
            frozenset(self._in_flight),
            replica.leader_since,
            leader_lease_until(replica),
            replica.timing.election_max_s,
            self._clock(),
        )
        for issue in due:
            self._in_flight.add(issue.upstream)
            tasks.start_soon(self._carry_out, http, issue, replica.term)

    async def _carry_out(
        self, http: httpx.AsyncClient, issue: Issue, term: int
    ) -> None:
        try:
            with anyio.move_on_after(ORDER_TIMEOUT_S):
                await self._send(http, issue, term)
            if await self._is_applied(http, issue):
                command = ConfirmOrder(issue.upstream, issue.order.order_id)
                await self._propose(encode_message(command))
            else:
                await anyio.sleep(RETRY_S)
        finally:
            self._in_flight.discard(issue.upstream)

    async def _send(self, http: httpx.AsyncClient, issue: Issue, term: int) -> None:
        order = issue.order
        body = OrderBody(order.order_id, term, order.action.value, order.name)
        url = f"http://{issue.address}/orders"
        try:
            response = await http.post(url, content=msgspec.json.encode(body))
        except httpx.HTTPError as error:
            logger.debug(
                "sending an order failed", upstream=issue.upstream, error=repr(error)
            )
            return
        if not response.is_success:
            logger.warning(
                "engine refused an order",
                upstream=issue.upstream,
                order=order.order_id,
                status=response.status_code,
            )

    async def _is_applied(self, http: httpx.AsyncClient, issue: Issue) -> bool:
        try:
            response = await http.get(f"http://{issue.address}/orders")
            seen = msgspec.json.decode(response.content, type=list[OrderBody])
        except (httpx.HTTPError, msgspec.DecodeError):
            return False
        return issue.order.order_id in {order.order_id for order in seen}
