"""Sending of orders to engines, and confirmation that they were applied."""

from typing import TYPE_CHECKING

import anyio
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

if TYPE_CHECKING:
    from cranberryfield.control.orders.delivery import OrderClient

__all__ = ["OrderSender"]

POLL_INTERVAL_S = 0.05
IDLE_POLL_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.5

logger = structlog.get_logger(__name__)


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
        # Not before the first engine, as it would delay the start of every host.
        from cranberryfield.control.orders.delivery import open_order_client

        async with open_order_client() as client, anyio.create_task_group() as tasks:
            while True:
                if self._section.replica.role is ReplicaRole.LEADER:
                    self._send_due_orders(client, tasks)
                await anyio.sleep(
                    POLL_INTERVAL_S if self._in_flight else IDLE_POLL_INTERVAL_S
                )

    def _send_due_orders(self, client: "OrderClient", tasks: TaskGroup) -> None:
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
            tasks.start_soon(self._deliver_order, client, due_order, replica.term)

    async def _deliver_order(
        self, client: "OrderClient", due_order: DueOrder, term: int
    ) -> None:
        try:
            with anyio.move_on_after(ORDER_TIMEOUT_S):
                await client.post(due_order, term)
            if await client.is_applied(due_order):
                command = ConfirmOrder(due_order.upstream, due_order.order.order_id)
                await self._propose(encode_message(command))
            else:
                await anyio.sleep(RETRY_DELAY_S)
        except Exception:
            # It is due again as long as it is not confirmed.
            logger.exception("order failed", upstream=due_order.upstream)
            await anyio.sleep(RETRY_DELAY_S)
        finally:
            self._in_flight.discard(due_order.upstream)
