"""Queues requests until an admission slot is free."""

from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

import anyio

from cranberryfield.core.clock import Clock, monotonic_clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import ServiceName
from cranberryfield.entry.admission.queue import (
    QueueState,
    Ticket,
    admit_next,
    enqueue,
    release,
    remove_ticket,
)
from cranberryfield.entry.admission.slots import UNLIMITED_SLOTS
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries.retry_after import jittered_retry_after_s

__all__ = ["AdmissionGate", "SlotCounter"]

#: Interval between two slot counts while requests wait, in seconds.
RECOUNT_INTERVAL_S = 0.05
RUN_TIME_SMOOTHING = 0.05
#: Minimum retry delay for a drained workspace or service, in seconds.
DRAINED_RETRY_S = 15.0

#: Returns the number of requests of a service that may run concurrently.
SlotCounter = Callable[[ServiceName], int]


#: Raises `UnavailableError` if a request exceeds a limit shared by all hosts.
LimitCheck = Callable[[Request], Awaitable[None]]


async def _no_limit(request: Request) -> None:
    return


def _unlimited_slots(service: ServiceName) -> int:
    return UNLIMITED_SLOTS


class _PendingAdmission:
    """Admission state of one waiting request."""

    def __init__(self, ticket: Ticket):
        self.ticket = ticket
        self.decided = anyio.Event()
        self.admitted = False


class AdmissionGate:
    """Per-service admission queues of this host.

    Parameters
    ----------
    count_slots : SlotCounter
        Returns the number of requests of a service that may run concurrently.
    clock : Clock
        Monotonic time.
    rng : random.Random, optional
        Seeded generator for the jitter of retry delays.
    check_limit : LimitCheck
        Refuses requests that exceed a limit shared by all hosts.
    """

    def __init__(
        self,
        count_slots: SlotCounter = _unlimited_slots,
        clock: Clock = monotonic_clock,
        rng: Random | None = None,
        check_limit: LimitCheck = _no_limit,
    ):
        self._count_slots = count_slots
        self._clock = clock
        self._rng = rng or Random(0)
        self._check_limit = check_limit
        self._queues: dict[ServiceName, QueueState] = defaultdict(QueueState)
        self._pending: dict[Ticket, _PendingAdmission] = {}
        self._mean_run_s: dict[ServiceName, float] = {}

    @asynccontextmanager
    async def acquire_slot(self, request: Request) -> AsyncIterator[None]:
        """Acquire an admission slot and retain it while the request runs.

        Parameters
        ----------
        request : Request
            Request to admit; its settings contain the limits.

        Yields
        ------
        None
            Once the slot has been acquired.

        Raises
        ------
        UnavailableError
            Of kind ``drained`` if the workspace or the service is drained,
            ``over_limit`` if a shared limit is exceeded, ``queue_full`` if the
            queue is full, or ``deadline_exceeded`` if no slot became free before
            the deadline. The request has not run in any of these cases.
        """
        if request.settings.drained:
            raise UnavailableError(
                ErrorKind.DRAINED,
                f"{request.workspace} at {request.service} is drained; no new requests",
                retry_after_s=jittered_retry_after_s(DRAINED_RETRY_S, self._rng),
            )
        await self._check_limit(request)
        pending = _PendingAdmission(_make_ticket(request))
        queue = self._queues[request.service]
        refused = enqueue(queue, pending.ticket, request.settings.queue_limit)
        self._pending[pending.ticket] = pending
        self._admit(request.service)
        if refused is not None and not self._pending[refused].admitted:
            self._pending[refused].decided.set()
        try:
            await self._wait(request, pending)
            started = self._clock()
            yield
            self._record_run_time(request.service, self._clock() - started)
        finally:
            del self._pending[pending.ticket]
            if pending.admitted:
                release(queue, pending.ticket)
            else:
                remove_ticket(queue, pending.ticket)
            self._admit(request.service)
            if not queue.waiting and not queue.running:
                self._queues.pop(request.service, None)

    async def _wait(self, request: Request, pending: _PendingAdmission) -> None:
        while not pending.decided.is_set() and self._clock() < request.deadline:
            left_s = request.deadline - self._clock()
            # The interval grows with the queue, so that all waiting requests together
            # count the slots once per RECOUNT_INTERVAL_S.
            count = self._queues[request.service].count_waiting()
            recount_s = RECOUNT_INTERVAL_S * max(1, count)
            with anyio.move_on_after(min(recount_s, left_s)):
                await pending.decided.wait()
            if not pending.decided.is_set():
                self._admit(request.service)
        if pending.admitted:
            return
        if pending.decided.is_set():
            raise UnavailableError(
                ErrorKind.QUEUE_FULL,
                f"the admission queue of {request.service} is full",
                was_run=WasRun.NO,
                retry_after_s=self._retry_after_s(request.service),
            )
        raise UnavailableError(
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before an admission slot became free",
            was_run=WasRun.NO,
            retry_after_s=self._retry_after_s(request.service),
        )

    def _admit(self, service: ServiceName) -> None:
        queue = self._queues[service]
        if not queue.waiting:
            return
        slots = self._count_slots(service)
        while (ticket := admit_next(queue, slots)) is not None:
            pending = self._pending[ticket]
            pending.admitted = True
            pending.decided.set()

    def _record_run_time(self, service: ServiceName, run_s: float) -> None:
        mean_s = self._mean_run_s.get(service, run_s)
        self._mean_run_s[service] = mean_s + RUN_TIME_SMOOTHING * (run_s - mean_s)

    def _retry_after_s(self, service: ServiceName) -> float:
        queue = self._queues[service]
        run_s = self._mean_run_s.get(service, 0.0)
        running = max(1, queue.count_running())
        backlog_s = run_s * queue.count_waiting() / running
        return jittered_retry_after_s(backlog_s, self._rng)


def _make_ticket(request: Request) -> Ticket:
    settings = request.settings
    classes = settings.priority_classes
    known = request.priority in classes
    return Ticket(
        request.workspace,
        request.service,
        classes.index(request.priority) if known else len(classes),
        request.deadline,
        settings.share,
        settings.concurrency_limit,
    )
