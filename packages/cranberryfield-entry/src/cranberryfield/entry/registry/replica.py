"""Replicates the registry of upstreams on a relay host."""

from collections.abc import Callable
from random import Random

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.membership import (
    AskUpstreams,
    UpstreamRecord,
    UpstreamUpdate,
)
from cranberryfield.core.numbers import MAX_INTEGER
from cranberryfield.entry.registry.record_checks import usable_records
from cranberryfield.entry.registry.table import (
    RegistryTable,
    accept_record,
    forget_unknown,
    mark_leaving,
    record_heard,
)

__all__ = ["RegistryReplica"]

MS_PER_S = 1000
#: Interval between two digest comparisons with a control host, in seconds.
COMPARE_INTERVAL_S = 0.5
ASK_TIMEOUT_S = 0.4

logger = structlog.get_logger(__name__)


class RegistryReplica:
    """Replica of the table of the control hosts.

    Parameters
    ----------
    table : RegistryTable
        Owned by this object.
    mesh : Mesh
        Links to other processes.
    names : ControlHostNames
        Names of the control hosts.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Selects the control host to compare with.
    """

    def __init__(
        self,
        table: RegistryTable,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
        rng: Random,
    ):
        self._table = table
        self._mesh = mesh
        self._names = names
        self._clock = clock
        self._rng = rng
        self._watchers: list[Callable[[UpstreamRecord], None]] = []
        mesh.handle(UpstreamUpdate, self._on_update)

    def watch(self, watcher: Callable[[UpstreamRecord], None]) -> None:
        """Call `watcher` with each changed record."""
        self._watchers.append(watcher)

    def record_leaving(self, record: UpstreamRecord) -> None:
        """Record that an upstream has said itself that it leaves.

        No later announcement of the same process makes it active again. Control
        hosts are told, and they tell the other hosts; the comparison of digests
        repeats that until they know.

        Parameters
        ----------
        record : UpstreamRecord
            Record of the process that has said so.
        """
        now = self._clock()
        entry = self._table.entries.get(record.upstream)
        if entry is None or entry.record.incarnation != record.incarnation:
            return
        leaving = mark_leaving(self._table, record.upstream, record.incarnation, now)
        if leaving is None:
            return
        logger.info(
            "upstream says that it leaves",
            upstream=record.upstream,
            incarnation=record.incarnation,
        )
        for watcher in self._watchers:
            watcher(leaving)
        linked = self._linked_control_hosts()
        if linked:
            self._mesh.send(self._rng.choice(linked), UpstreamUpdate((leaving,), (0,)))

    def _linked_control_hosts(self) -> list[NodeId]:
        return [one for one in self._names.known() if self._mesh.is_linked(one)]

    async def run(self) -> None:
        """Compare digests periodically until cancelled."""
        while True:
            await self._compare_digests()
            await anyio.sleep(COMPARE_INTERVAL_S)

    async def _compare_digests(self) -> None:
        linked = self._linked_control_hosts()
        if not linked:
            return
        node = self._rng.choice(linked)
        request = AskUpstreams(self._table.digest)
        try:
            update = await self._mesh.request(node, request, ASK_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.debug(
                "digest comparison with control host failed",
                host=node,
                detail=error.detail,
            )
            return
        self._on_update(node, update)
        if update.records:
            self._tell_leaving(node, update)
            known = {record.upstream for record in update.records}
            for upstream in forget_unknown(self._table, known, self._clock()):
                logger.info("upstream forgotten", upstream=upstream)
        else:
            silent = {
                one: min(ms, MAX_INTEGER) / MS_PER_S
                for one, ms in update.silent_ms.items()
            }
            record_heard(self._table, silent, self._clock())

    def _tell_leaving(self, node: NodeId, update: UpstreamUpdate) -> None:
        """Tell a control host of upstreams that leave and that it takes for active."""
        entries = self._table.entries
        unknown = [
            entries[one.upstream].record
            for one in update.records
            if not one.leaving
            and one.upstream in entries
            and entries[one.upstream].record.leaving
            and entries[one.upstream].record.incarnation == one.incarnation
        ]
        if unknown:
            ages_ms = (0,) * len(unknown)
            self._mesh.send(node, UpstreamUpdate(tuple(unknown), ages_ms))

    def _on_update(self, sender: NodeId, update: UpstreamUpdate) -> None:
        now = self._clock()
        for record, heard_at in usable_records(sender, update, now):
            if not accept_record(self._table, record, heard_at):
                continue
            logger.info(
                "upstream known",
                upstream=record.upstream,
                service=record.service,
                incarnation=record.incarnation,
                software_version=record.software_version,
                leaving=record.leaving,
                told_by=sender,
                age_ms=round((now - heard_at) * MS_PER_S),
            )
            for watcher in self._watchers:
                watcher(record)
