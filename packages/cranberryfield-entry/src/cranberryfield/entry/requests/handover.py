"""Handover of running requests to other entry hosts on reclaim."""

from collections.abc import Awaitable, Callable

import anyio
import structlog
from anyio.abc import TaskGroup

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import NodeId
from cranberryfield.core.mesh import Mesh
from cranberryfield.core.messages.requests import HandedOver, HandOver
from cranberryfield.core.settings import effective_settings
from cranberryfield.core.settings.follow import SettingsSection
from cranberryfield.entry.requests.record_coordinator import RecordCoordinator
from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.records_section import RecordsSection
from cranberryfield.entry.requests.request import Request

__all__ = ["HandoverManager"]

REQUEST_TIMEOUT_S = 1.0
#: Time in seconds for another host to take over a request it has accepted.
TAKEOVER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.01
MS_PER_S = 1000

logger = structlog.get_logger(__name__)


class HandoverManager:
    """Hands over requests to other hosts and accepts theirs.

    Parameters
    ----------
    mesh : Mesh
        Links to other hosts.
    settings : SettingsSection
        Current settings.
    records : RecordsSection
        Records of this host.
    coordinator : RecordCoordinator
        Coordinates records among entry hosts.
    run : callable
        Runs a record to its end.
    address_of : callable
        Returns the address of a host for callers.
    tasks : anyio.abc.TaskGroup
        Task group for accepted requests.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        mesh: Mesh,
        settings: SettingsSection,
        records: RecordsSection,
        coordinator: RecordCoordinator,
        run: Callable[[RequestRecord], Awaitable[None]],
        address_of: Callable[[NodeId], str],
        tasks: TaskGroup,
        clock: Clock,
    ):
        self._mesh = mesh
        self._settings = settings
        self._records = records
        self._coordinator = coordinator
        self._run = run
        self._address_of = address_of
        self._tasks = tasks
        self._clock = clock
        mesh.handle(HandOver, self._on_hand_over)

    async def hand_over_all(self) -> None:
        """Hand over every request that another host can continue."""
        self._coordinator.is_leaving = True
        async with anyio.create_task_group() as tasks:
            for record in self._running_records():
                if record.request.idempotent and record.request.has_caller_key:
                    tasks.start_soon(self._hand_over, record)

    def fail_remaining(self) -> None:
        """Fail requests that were neither handed over nor finished.

        Their `was_run` is ``unknown``, because they may have run.
        """
        for record in self._running_records():
            kind = ErrorKind.NOT_READY
            if not record.request.idempotent:
                kind = ErrorKind.OUTCOME_UNKNOWN
            error = UnavailableError(
                kind, "the entry host was reclaimed", was_run=WasRun.UNKNOWN
            )
            record.fail(self._clock(), error)

    def _running_records(self) -> list[RequestRecord]:
        return [
            record
            for record in self._records.records.values()
            if record.state is RequestState.RUNNING
        ]

    async def _hand_over(self, record: RequestRecord) -> None:
        if record.runner is not None:
            record.successor_address = self._address_of(record.runner)
            record.mark_lost()
            return
        for node in self._coordinator.choose_peers(record):
            if await self._hand_over_to(node, record):
                logger.info("request handed over", run=record.run, to=node)
                return

    async def _hand_over_to(self, node: NodeId, record: RequestRecord) -> bool:
        record.successor_address = self._address_of(node)
        message = _make_message(record, self._clock())
        try:
            reply = await self._mesh.request(node, message, REQUEST_TIMEOUT_S)
        except CranberryfieldError:
            reply = HandedOver(False)
        with anyio.move_on_after(TAKEOVER_TIMEOUT_S):
            while reply.granted and record.state is RequestState.RUNNING:
                await anyio.sleep(POLL_INTERVAL_S)
        if record.state is not RequestState.RUNNING:
            return True
        record.successor_address = None
        return False

    def _on_hand_over(self, sender: NodeId, message: HandOver) -> HandedOver:
        if self._coordinator.is_leaving:
            return HandedOver(False)
        now = self._clock()
        try:
            record, is_new = self._records.open(self._make_request(message, now), now)
        except CranberryfieldError as error:
            logger.warning("handover refused", sender=sender, error=error.detail)
            return HandedOver(False)
        if is_new:
            record.is_partly_delivered = True
            self._tasks.start_soon(self._run, record)
        elif record.runner == sender:
            record.mark_lost()
        return HandedOver(True)

    def _make_request(self, message: HandOver, now: float) -> Request:
        settings = effective_settings(
            self._settings.tree, message.workspace, message.service
        )
        return Request(
            workspace=message.workspace,
            service=message.service,
            key=message.key,
            has_caller_key=True,
            run=message.run,
            idempotent=True,
            method=message.method,
            path=message.path,
            content_type=message.content_type,
            body=message.body,
            digest=message.digest,
            priority=message.priority,
            deadline=now + message.deadline_ms / MS_PER_S,
            settings=settings,
        )


def _make_message(record: RequestRecord, now: float) -> HandOver:
    request = record.request
    return HandOver(
        request.workspace,
        request.key,
        request.service,
        request.method,
        request.path,
        request.content_type,
        request.body,
        request.digest,
        record.run,
        request.priority,
        max(0, int((request.deadline - now) * MS_PER_S)),
    )
