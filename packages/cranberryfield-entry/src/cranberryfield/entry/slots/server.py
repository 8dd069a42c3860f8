"""Owner of shared slots on the leader of the control group."""

from collections.abc import Callable
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.ids import NodeId, ServiceName
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.messages.slots import SlotReplies, SlotReport
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.slots.owner import (
    Replies,
    SlotOwnerSection,
    advance_slots,
    receive_report,
    start_term,
)
from cranberryfield.entry.slots.service_slots import SlotCounts, total_slots
from cranberryfield.entry.slots.waiting_line import WaitingOrder, rank_then_slack

__all__ = ["SlotServer"]

#: Interval at which leases and waits are looked at, in seconds.
TICK_S = 0.05
LOG_INTERVAL_S = 5.0
MS_PER_S = 1000

logger = structlog.get_logger(__name__)


class SlotServer:
    """Lends slots while this host leads.

    Parameters
    ----------
    section : SlotOwnerSection
        Owned by this object.
    table : RegistryTable
        Announced upstreams.
    mesh : Mesh
        Links to other processes.
    leading_term : callable
        Returns the term in which this host leads; None if it does not.
    leader_since : callable
        Returns the monotonic time in seconds at which it last began to.
    clock : Clock
        Monotonic time that counts suspensions.
    rng : random.Random
        Spreads the retry times of refused callers.
    order : callable
        Order of waiting within a workspace.
    """

    def __init__(
        self,
        section: SlotOwnerSection,
        table: RegistryTable,
        mesh: Mesh,
        leading_term: Callable[[], int | None],
        leader_since: Callable[[], float],
        clock: Clock,
        rng: Random,
        order: WaitingOrder = rank_then_slack,
    ):
        self._section = section
        self._table = table
        self._mesh = mesh
        self._leading_term = leading_term
        self._leader_since = leader_since
        self._clock = clock
        self._rng = rng
        self._order = order
        self._records: dict[ServiceName, list[UpstreamRecord]] = {}
        self._records_digest: int | None = None
        mesh.handle(SlotReport, self._on_report)

    async def run(self) -> None:
        """End leases and waits, and log what was lent, until cancelled."""
        log_at = self._clock() + LOG_INTERVAL_S
        while True:
            await anyio.sleep(TICK_S)
            if not self._leads():
                continue
            self._send(
                advance_slots(
                    self._section,
                    self._upstreams,
                    self._clock(),
                    self._rng,
                    self._order,
                )
            )
            if self._clock() >= log_at:
                log_at = self._clock() + LOG_INTERVAL_S
                self._log_counts()

    def _leads(self) -> bool:
        """Return whether this host owns the slots; start anew in a new term."""
        term = self._leading_term()
        if term is None:
            return False
        if term != self._section.term:
            start_term(self._section, term, self._leader_since())
            logger.info(
                "owner of shared slots begins",
                term=term,
                lends_in_ms=round(
                    MS_PER_S * max(0.0, self._section.lends_from - self._clock())
                ),
            )
        return True

    def _on_report(self, sender: NodeId, report: SlotReport) -> None:
        if not self._leads():
            self._mesh.send(sender, SlotReplies(0))
            return
        self._send(
            receive_report(
                self._section,
                sender,
                report,
                self._upstreams,
                self._clock(),
                self._rng,
                self._order,
            )
        )

    def _send(self, replies: Replies) -> None:
        for node, reply in replies.items():
            self._mesh.send(node, reply)

    def _upstreams(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the upstreams of a service, looked up once for each change."""
        if self._table.digest != self._records_digest:
            self._records_digest = self._table.digest
            self._records.clear()
        records = self._records.get(service)
        if records is None:
            records = self._table.active_upstreams(service)
            self._records[service] = records
        return records

    def _log_counts(self) -> None:
        now = self._clock()
        for name, service in self._section.services.items():
            counts, service.counts = service.counts, SlotCounts()
            if counts == service.counts:
                continue
            logger.info(
                "slots shared",
                service=name,
                slots=total_slots(service, self._upstreams(name), now),
                held=len(service.held),
                waiting=service.line.size,
                granted=counts.granted,
                refused=counts.refused,
                expired=counts.expired,
                refused_by_upstreams=counts.refused_by_upstreams,
                longest_wait_ms=round(MS_PER_S * counts.longest_wait_s),
                hold_ms=round(MS_PER_S * service.hold_s, 1),
            )
