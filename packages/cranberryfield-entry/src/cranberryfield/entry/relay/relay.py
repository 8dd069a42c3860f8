"""Carries one request through its attempts to its answer."""

from collections.abc import Awaitable, Callable
from random import Random

import anyio

from cranberryfield.core.clock import Clock
from cranberryfield.core.deployment import RouteKind
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.http1 import Exchange, Response, ResponseHead
from cranberryfield.core.http1.message import end_to_end
from cranberryfield.core.ids import DataCentre
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.quota import QuotaClient
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.relay.attempts import (
    AttemptEnd,
    AttemptResult,
    StreamProgress,
    Upstreams,
    call_upstream,
    stream_upstream,
)
from cranberryfield.entry.relay.budget import RetryBudget, note_request, take_retry
from cranberryfield.entry.relay.choose import RelayModel, choose_relay_upstream
from cranberryfield.entry.relay.course import Course, count_end, labels_of, log_end
from cranberryfield.entry.relay.demand import (
    DemandSection,
    note_asked,
    note_ended,
    note_prefill,
    note_streamed,
)
from cranberryfield.entry.relay.loads import (
    InFlight,
    LoadSection,
    note_failure,
    note_success,
)
from cranberryfield.entry.relay.request import RelayRequest, prefill_left
from cranberryfield.entry.relay.usage import UsageSection, note_start

__all__ = ["Relay"]

MS_PER_S = 1000
#: Upstreams of which one request may try to reach in all.
MAX_TRIES = 6
#: Shortest and longest time to come back that a refused caller is told, seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 0.4
#: Statuses by which an upstream says that it failed, and that may pass.
SERVER_ERRORS = range(500, 600)

#: Answers a request with an error.
Refuse = Callable[[Exchange, CranberryfieldError], Awaitable[None]]


class Relay:
    """Sends requests to upstreams and their answers to callers.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    loads : LoadSection
        Their load, owned by this object.
    demand : DemandSection
        What callers ask for, owned by this object.
    quota : QuotaClient
        Admits requests within their workspaces' quotas.
    budget : RetryBudget
        Retries left, owned by this object.
    usage : UsageSection
        Requests that began to run, owned by this object.
    upstreams : Upstreams
        Connections.
    refuse : callable
        Answers with an error.
    metrics : Metrics
        Counters and histograms.
    data_centre : DataCentre
        Where this host runs.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Spreads the times at which refused callers return.
    """

    def __init__(
        self,
        table: RegistryTable,
        loads: LoadSection,
        demand: DemandSection,
        quota: QuotaClient,
        budget: RetryBudget,
        usage: UsageSection,
        upstreams: Upstreams,
        refuse: Refuse,
        metrics: Metrics,
        data_centre: DataCentre,
        clock: Clock,
        rng: Random,
    ):
        self._table = table
        self._loads = loads
        self._demand = demand
        self._quota = quota
        self._budget = budget
        self._usage = usage
        self._upstreams = upstreams
        self._refuse = refuse
        self._metrics = metrics
        self._data_centre = data_centre
        self._clock = clock
        self._rng = rng
        self._model = RelayModel()

    async def handle(self, request: RelayRequest, exchange: Exchange) -> None:
        """Answer a request, or refuse it.

        Parameters
        ----------
        request : RelayRequest
            The request.
        exchange : Exchange
            Where its answer goes. If the caller leaves, the task is cancelled
            and with it whatever an upstream does for the request.
        """
        note_request(self._budget, request.service, request.arrived_at)
        course = Course()
        note_asked(self._demand, request.service, request.arrived_at)
        outcome = "caller left"
        left_s = request.deadline - self._clock()
        try:
            with anyio.fail_after(max(0.0, left_s)):
                outcome = await self._run(request, exchange, course)
        except TimeoutError:
            outcome = "deadline passed"
            await self._end_late(exchange, course)
        except CranberryfieldError as error:
            outcome = f"refused: {error.kind.value}: {error.detail}"
            await self._refuse_or_break(exchange, error)
        finally:
            note_ended(self._demand, request.service, self._clock())
            if not (course.may_have_run or course.is_pending):
                self._quota.refund(course.charged, request.quota_cost)
            now = self._clock()
            log_end(request, course, outcome, now)
            count_end(self._metrics, request, outcome, now)

    async def _run(
        self, request: RelayRequest, exchange: Exchange, course: Course
    ) -> str:
        if request.workspace is not None:
            await self._quota.admit(request.workspace, request.quota_cost)
            course.charged = request.workspace
        course.admitted_at = self._clock()
        is_stream = request.route.kind is RouteKind.STREAM
        progress = _progress(exchange)
        for _ in range(MAX_TRIES):
            record = self._choose(request, course)
            course.log.append(f"{record.upstream}: begun")
            result = await self._attempt(
                request, record, progress if is_stream else None, course
            )
            course.log[-1] = f"{record.upstream}: {result.end.value} {result.detail}"
            if result.end is AttemptEnd.STREAMED:
                self._note_pause(request, progress)
                await exchange.finish()
                return "streamed"
            if result.end is AttemptEnd.ANSWERED:
                if not self._may_run_again(request, result, course):
                    await _deliver(exchange, result.response)
                    return f"answered {result.response.status}"
                course.fallback = result.response
            elif not self._goes_on(request, result, course):
                break
        if course.fallback is not None and not exchange.has_started:
            await _deliver(exchange, course.fallback)
            return f"answered {course.fallback.status}"
        raise self._failure(course)

    def _note_pause(self, request: RelayRequest, progress: StreamProgress) -> None:
        target_ms = request.route.pause_target_ms
        pause_ms = progress.longest_pause_s * MS_PER_S
        has_paused = target_ms is not None and pause_ms > target_ms
        note_streamed(self._demand, request.service, has_paused, self._clock())

    def _choose(self, request: RelayRequest, course: Course) -> UpstreamRecord:
        now = self._clock()
        record = choose_relay_upstream(
            self._table.active_upstreams(request.service),
            self._loads,
            request,
            frozenset(course.tried),
            self._data_centre,
            now,
            self._model,
        )
        if record is None:
            if not course.tried:
                unread = request.prompt_tokens
                note_prefill(self._demand, request.service, unread, now)
            raise self._failure(course)
        if course.sent and not take_retry(self._budget, request.service, now):
            raise self._failure(course)
        return record

    def _failure(self, course: Course) -> CranberryfieldError:
        retry_after_s = self._rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
        if course.may_have_run:
            return UnavailableError(
                ErrorKind.UPSTREAM_FAILED,
                "no upstream gave a whole answer",
                was_run=WasRun.UNKNOWN,
                retry_after_s=retry_after_s,
            )
        return UnavailableError(
            ErrorKind.NO_UPSTREAM,
            "no upstream of the service takes the request now",
            was_run=WasRun.NO,
            retry_after_s=retry_after_s,
        )

    async def _attempt(
        self,
        request: RelayRequest,
        record: UpstreamRecord,
        progress: StreamProgress | None,
        course: Course,
    ) -> AttemptResult:
        load = self._loads.of(record.upstream)
        unread = prefill_left(request, load.parts)
        flight = InFlight(unread, request.prompt_tokens + request.output_tokens)
        note_prefill(self._demand, request.service, unread, self._clock())
        course.is_pending = True
        load.own[request.id] = flight
        load.note_parts(tuple(part.id for part in request.prompt))

        def note_first() -> None:
            flight.prefill_tokens = 0
            note_start(self._usage, request)
            if course.first_at is None:
                course.first_at = self._clock()
                waited_s = course.first_at - request.arrived_at
                self._metrics.observe("first_event", waited_s, **labels_of(request))

        try:
            if progress is None:
                result = await call_upstream(self._upstreams, request, record)
            else:
                result = await stream_upstream(
                    self._upstreams, request, record, progress, note_first
                )
        finally:
            load.own.pop(request.id, None)
        course.is_pending = False
        self._note(request, record, result, course)
        return result

    def _note(
        self,
        request: RelayRequest,
        record: UpstreamRecord,
        result: AttemptResult,
        course: Course,
    ) -> None:
        """Learn from an attempt about the upstream and the request."""
        course.tried.add(record.upstream)
        load = self._loads.of(record.upstream)
        now = self._clock()
        match result.end:
            case AttemptEnd.NOT_SENT:
                note_failure(load, now, is_certain=True)
            case AttemptEnd.MISDIRECTED:
                note_failure(load, now, is_certain=True)
                course.sent += 1
            case AttemptEnd.NOT_RUN:
                course.sent += 1
            case AttemptEnd.BROKEN:
                note_failure(load, now, is_certain=False)
                course.sent += 1
                course.runs += 1
                course.may_have_run = True
            case AttemptEnd.ANSWERED:
                course.sent += 1
                course.runs += 1
                course.may_have_run = True
                if result.response.status in SERVER_ERRORS:
                    note_failure(load, now, is_certain=False)
                else:
                    note_success(load)
                if request.route.kind is not RouteKind.STREAM:
                    note_start(self._usage, request)
            case AttemptEnd.STREAMED:
                course.sent += 1
                course.runs += 1
                course.may_have_run = True
                note_success(load)

    def _may_run_again(
        self, request: RelayRequest, result: AttemptResult, course: Course
    ) -> bool:
        """Say whether a whole answer may be replaced by a better one."""
        return (
            result.response.status in SERVER_ERRORS
            and request.route.is_idempotent
            and course.runs < request.route.max_attempts
        )

    def _goes_on(
        self, request: RelayRequest, result: AttemptResult, course: Course
    ) -> bool:
        """Say whether another upstream may be tried after an attempt failed."""
        if result.end is AttemptEnd.BROKEN:
            return (
                request.route.is_idempotent and course.runs < request.route.max_attempts
            )
        return course.sent <= max(1, request.route.max_attempts)

    async def _end_late(self, exchange: Exchange, course: Course) -> None:
        if course.may_have_run or course.is_pending:
            kind, was_run = ErrorKind.DEADLINE_EXCEEDED, WasRun.UNKNOWN
        else:
            kind, was_run = ErrorKind.NO_UPSTREAM, WasRun.NO
        detail = "the time for the request has passed"
        error = UnavailableError(kind, detail, was_run=was_run)
        await self._refuse_or_break(exchange, error)

    async def _refuse_or_break(
        self, exchange: Exchange, error: CranberryfieldError
    ) -> None:
        if exchange.has_started:
            exchange.break_off()
            return
        await self._refuse(exchange, error)


def _progress(exchange: Exchange) -> StreamProgress:
    async def send_head(head: ResponseHead) -> None:
        await exchange.start(head.status, end_to_end(head.headers))

    return StreamProgress(send_head, exchange.send)


async def _deliver(exchange: Exchange, response: Response) -> None:
    headers = end_to_end(response.headers)
    await exchange.answer(response.status, headers, response.body)
