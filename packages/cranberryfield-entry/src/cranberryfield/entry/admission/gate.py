"""Queues requests until a concurrency slot is free."""

from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

import anyio

from cranberryfield.core.clock import Clock, monotonic_clock
from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.ids import ServiceName
from cranberryfield.entry.admission.places import UNLIMITED_PLACES
from cranberryfield.entry.admission.queue import (
    QueueState,
    Ticket,
    admit_next,
    drop_ticket,
    enqueue,
    release,
)
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.retries.spread import spread_retry_after_s

__all__ = ["AdmissionGate", "Places"]

#: Interval between two slot counts while requests wait, in seconds.
RECOUNT_S = 0.05
RATE_SMOOTHING = 0.05
#: Minimum retry delay for a drained workspace or service, in seconds.
DRAINED_S = 15.0

#: Returns the number of requests of a service that may run concurrently.
Places = Callable[[ServiceName], int]


#: Raises `UnavailableError` if a request exceeds a limit shared by all hosts.
LimitCheck = Callable[[Request], Awaitable[None]]


async def _no_limit(request: Request) -> None:
    return


def _unlimited(service: ServiceName) -> int:
    return UNLIMITED_PLACES


class _Waiting:
    """Admission state of one waiting request."""

    def __init__(self, ticket: Ticket):
        self.ticket = ticket
        self.decided = anyio.Event()
        self.admitted = False


class AdmissionGate:
    """Per-service admission queues of this host.

    Parameters
    ----------
    places : Places
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
        places: Places = _unlimited,
        clock: Clock = monotonic_clock,
        rng: Random | None = None,
        check_limit: LimitCheck = _no_limit,
    ):
        self._places = places
        self._clock = clock
        self._rng = rng or Random(0)
        self._check_limit = check_limit
        self._queues: dict[ServiceName, QueueState] = defaultdict(QueueState)
        self._waiting: dict[Ticket, _Waiting] = {}
        self._run_s: dict[ServiceName, float] = {}

    @asynccontextmanager
    async def enter(self, request: Request) -> AsyncIterator[None]:
        """Acquire a concurrency slot and retain it while the request runs.

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
                retry_after_s=spread_retry_after_s(DRAINED_S, self._rng),
            )
        await self._check_limit(request)
        waiting = _Waiting(_ticket(request))
        queue = self._queues[request.service]
        refused = enqueue(queue, waiting.ticket, request.settings.queue_limit)
        self._waiting[waiting.ticket] = waiting
        self._admit(request.service)
        if refused is not None and not self._waiting[refused].admitted:
            self._waiting[refused].decided.set()
        try:
            await self._wait(request, waiting)
            started = self._clock()
            yield
            self._note_run(request.service, self._clock() - started)
        finally:
            del self._waiting[waiting.ticket]
            if waiting.admitted:
                release(queue, waiting.ticket)
            else:
                drop_ticket(queue, waiting.ticket)
            self._admit(request.service)
            if not queue.waiting and not queue.running:
                self._queues.pop(request.service, None)

    async def _wait(self, request: Request, waiting: _Waiting) -> None:
        while not waiting.decided.is_set() and self._clock() < request.deadline:
            left_s = request.deadline - self._clock()
            # The interval grows with the queue, so that all waiting requests together
            # count the slots once per RECOUNT_S.
            count = self._queues[request.service].count_waiting()
            recount_s = RECOUNT_S * max(1, count)
            with anyio.move_on_after(min(recount_s, left_s)):
                await waiting.decided.wait()
            if not waiting.decided.is_set():
                self._admit(request.service)
        if waiting.admitted:
            return
        if waiting.decided.is_set():
            raise UnavailableError(
                ErrorKind.QUEUE_FULL,
                f"the admission queue of {request.service} is full",
                was_run=WasRun.NO,
                retry_after_s=self._retry_after_s(request.service),
            )
        raise UnavailableError(
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before a concurrency slot became free",
            was_run=WasRun.NO,
            retry_after_s=self._retry_after_s(request.service),
        )

    def _admit(self, service: ServiceName) -> None:
        queue = self._queues[service]
        if not queue.waiting:
            return
        places = self._places(service)
        while (ticket := admit_next(queue, places)) is not None:
            waiting = self._waiting[ticket]
            waiting.admitted = True
            waiting.decided.set()

    def _note_run(self, service: ServiceName, taken_s: float) -> None:
        before = self._run_s.get(service, taken_s)
        self._run_s[service] = before + RATE_SMOOTHING * (taken_s - before)

    def _retry_after_s(self, service: ServiceName) -> float:
        queue = self._queues[service]
        run_s = self._run_s.get(service, 0.0)
        places = max(1, queue.count_running())
        backlog_s = run_s * queue.count_waiting() / places
        return spread_retry_after_s(backlog_s, self._rng)


def _ticket(request: Request) -> Ticket:
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
