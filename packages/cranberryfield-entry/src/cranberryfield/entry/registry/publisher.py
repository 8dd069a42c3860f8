"""Receives announcements on a control host and publishes them to all hosts."""

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.ids import NodeId, UpstreamId
from cranberryfield.core.loop_monitor import timed_step
from cranberryfield.core.mesh import ControlHostNames, Mesh
from cranberryfield.core.messages.links import Hello
from cranberryfield.core.messages.membership import (
    AskUpstreams,
    UpstreamRecord,
    UpstreamUpdate,
)
from cranberryfield.entry.registry.confirmation import LeavingConfirmer
from cranberryfield.entry.registry.record_checks import (
    find_record_fault,
    usable_records,
)
from cranberryfield.entry.registry.table import (
    RegistryTable,
    accept_record,
    find_silent,
    forget_silent,
    mark_leaving,
)

__all__ = ["RegistryPublisher"]

MS_PER_S = 1000
#: Time for which changes are collected into one update, in seconds.
BATCH_DELAY_S = 0.02
FORGET_INTERVAL_S = 5.0
#: Interval at which control hosts report renewed upstreams to each other, in seconds.
RENEWAL_INTERVAL_S = 0.5
CONTROL_ROLE = "control"

logger = structlog.get_logger(__name__)


class RegistryPublisher:
    """Registry of upstreams on a control host.

    Publishes each change to all linked hosts. Replicas also compare digests
    periodically, which repairs updates lost with a link.

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
    """

    def __init__(
        self,
        table: RegistryTable,
        mesh: Mesh,
        names: ControlHostNames,
        clock: Clock,
    ):
        self._table = table
        self._mesh = mesh
        self._clock = clock
        self._changed: set[UpstreamId] = set()
        self._renewed: set[UpstreamId] = set()
        self._wake = anyio.Event()
        self._confirmer = LeavingConfirmer(table, mesh, names)
        mesh.handle(UpstreamUpdate, self._on_update)
        mesh.handle(AskUpstreams, self._on_ask_upstreams)
        mesh.watch_links(self._on_link)

    async def announce(self, record: UpstreamRecord) -> None:
        """Record an announcement received by this host and publish changes.

        Raises
        ------
        CallerError
            Of kind ``bad_request`` if the record names no upstream to use.
        UnavailableError
            Of kind ``not_ready`` if the upstream leaves and too few other control
            hosts are known to have heard of it.
        """
        fault = find_record_fault(record)
        if fault is not None:
            detail = f"the announcement of {record.upstream} cannot be used: {fault}"
            raise CallerError(ErrorKind.BAD_REQUEST, detail)
        self._renewed.add(record.upstream)
        if accept_record(self._table, record, self._clock()):
            logger.info(
                "upstream announced",
                upstream=record.upstream,
                service=record.service,
                incarnation=record.incarnation,
                software_version=record.software_version,
                sequence=record.sequence,
                leaving=record.leaving,
            )
            if record.leaving:
                self._publish({record.upstream})
            else:
                self._enqueue_change(record.upstream)
        if record.leaving:
            await self._confirm_leaving(record.upstream)

    async def depart(self, upstream: UpstreamId, incarnation: int | None) -> None:
        """Record that an upstream is leaving and publish it.

        Raises
        ------
        UnavailableError
            Of kind ``not_ready`` if too few other control hosts are known to have
            heard of it.
        """
        if upstream not in self._table.entries:
            # This host may have started just now.
            for sender, update in await self._confirmer.find(upstream):
                self._on_update(sender, update)
        record = mark_leaving(self._table, upstream, incarnation, self._clock())
        if record is not None:
            logger.info("upstream departed", upstream=upstream)
            self._publish({upstream})
        await self._confirm_leaving(upstream)

    async def _confirm_leaving(self, upstream: UpstreamId) -> None:
        """Wait until an upstream's departure outlasts the loss of this host."""
        entry = self._table.entries.get(upstream)
        if entry is not None and entry.record.leaving:
            await self._confirmer.confirm(entry.record)

    def _enqueue_change(self, upstream: UpstreamId) -> None:
        self._changed.add(upstream)
        self._wake.set()

    async def run(self) -> None:
        """Publish changes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._publish_loop)
            tasks.start_soon(self._forget_loop)
            tasks.start_soon(self._renewal_loop)

    async def _publish_loop(self) -> None:
        while True:
            await self._wake.wait()
            await anyio.sleep(BATCH_DELAY_S)
            self._wake = anyio.Event()
            changed, self._changed = self._changed, set()
            self._publish(changed)

    def _publish(self, upstreams: set[UpstreamId]) -> None:
        update = self._make_update(upstreams)
        for peer in self._mesh.peers:
            self._mesh.send(peer.node, update)

    async def _forget_loop(self) -> None:
        while True:
            await anyio.sleep(FORGET_INTERVAL_S)
            for upstream in forget_silent(self._table, self._clock()):
                logger.info("upstream forgotten", upstream=upstream)
            self._confirmer.forget_unknown()

    async def _renewal_loop(self) -> None:
        """Report upstreams that announced themselves here to other control hosts."""
        while True:
            await anyio.sleep(RENEWAL_INTERVAL_S)
            renewed, self._renewed = self._renewed, set()
            if not renewed:
                continue
            update = self._make_update(renewed)
            for node in self._control_hosts():
                self._mesh.send(node, update)

    def _control_hosts(self) -> list[NodeId]:
        """Return the linked control hosts."""
        return [peer.node for peer in self._mesh.peers if CONTROL_ROLE in peer.roles]

    def _make_update(self, upstreams: set[UpstreamId]) -> UpstreamUpdate:
        now = self._clock()
        entries = self._table.entries
        with timed_step("update of the registry"):
            found = [entries[one] for one in sorted(upstreams) if one in entries]
            return UpstreamUpdate(
                tuple(entry.record for entry in found),
                tuple(int((now - entry.heard_at) * MS_PER_S) for entry in found),
            )

    def _on_update(self, sender: NodeId, update: UpstreamUpdate) -> None:
        now = self._clock()
        is_from_relay = sender not in self._control_hosts()
        for record, heard_at in usable_records(sender, update, now):
            is_new = accept_record(self._table, record, heard_at)
            # A control host publishes what it has heard to all hosts itself.
            if is_new and is_from_relay:
                logger.info(
                    "upstream leaves, as a relay was told",
                    upstream=record.upstream,
                    incarnation=record.incarnation,
                    told_by=sender,
                )
                self._enqueue_change(record.upstream)

    def _on_ask_upstreams(
        self, sender: NodeId, message: AskUpstreams
    ) -> UpstreamUpdate:
        if message.digest == self._table.digest:
            silent = find_silent(self._table, self._clock())
            silent_ms = {one: int(age_s * MS_PER_S) for one, age_s in silent.items()}
            return UpstreamUpdate((), (), silent_ms)
        asked = set(message.upstreams)
        if asked and asked <= self._table.entries.keys():
            return self._make_update(asked)
        return self._make_update(set(self._table.entries))

    def _on_link(self, peer: Hello, is_open: bool) -> None:
        if is_open and self._table.entries:
            self._mesh.send(peer.node, self._make_update(set(self._table.entries)))
