"""Runs the attempts of a request until the caller has a response."""

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
from cranberryfield.core.http1.message import remove_hop_by_hop
from cranberryfield.core.ids import DataCentre, NodeId
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.quarantine import digest_prompt_parts
from cranberryfield.entry.quota import QuotaClient
from cranberryfield.entry.registry import RegistryTable, record_reply
from cranberryfield.entry.relay.attempt_judgements import (
    judge_cancelled,
    judge_result,
)
from cranberryfield.entry.relay.attempt_results import (
    SERVER_ERRORS,
    RelayAttemptOutcome,
    RelayAttemptResult,
    StreamProgress,
)
from cranberryfield.entry.relay.attempts import (
    UpstreamTransport,
    call_upstream,
    stream_upstream,
)
from cranberryfield.entry.relay.crash_detection import CrashDetector, ObservedRun
from cranberryfield.entry.relay.demand import (
    DemandSection,
    record_arrival,
    record_end,
    record_prefill,
    record_stream,
)
from cranberryfield.entry.relay.loads import (
    InFlightAttempt,
    LoadSection,
    record_failure,
    record_success,
)
from cranberryfield.entry.relay.quarantine import RelayQuarantine
from cranberryfield.entry.relay.request import RelayRequest, uncached_prompt_tokens
from cranberryfield.entry.relay.request_state import (
    RelayRequestState,
    log_outcome,
    metric_labels,
    record_outcome_metrics,
)
from cranberryfield.entry.relay.retry_rules import (
    may_follow,
    may_rerun,
    may_try_another,
)
from cranberryfield.entry.relay.stream_continuation import EventSequence
from cranberryfield.entry.relay.stream_origins import find_resumed_origin, may_go_on
from cranberryfield.entry.relay.unavailability import unavailable_error
from cranberryfield.entry.relay.upstream_chooser import RelayUpstreamChooser
from cranberryfield.entry.relay.upstream_limits import UpstreamLimiter
from cranberryfield.entry.relay.upstream_statements import UpstreamStatements
from cranberryfield.entry.relay.usage import UsageSection, record_run_start
from cranberryfield.entry.relay.windowed_retry_budget import (
    WindowedRetryBudget,
    credit_request,
    has_windowed_retry,
    spend_windowed_retry,
)
from cranberryfield.entry.rollouts import Judgement, RolloutSection, RolloutTraffic
from cranberryfield.entry.slots.client import SlotClient
from cranberryfield.entry.streams import StreamDirectory, StreamOrigin

__all__ = ["Relay"]

MS_PER_S = 1000
#: Attempts per request, including those that reach no upstream.
MAX_TOTAL_ATTEMPTS = 6

#: Sends an error response to the caller.
SendError = Callable[[Exchange, CranberryfieldError], Awaitable[None]]


class Relay:
    """Forwards requests to upstreams and their responses to callers.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    loads : LoadSection
        Their load, owned by this object.
    demand : DemandSection
        Demand for each service, owned by this object.
    quota : QuotaClient
        Admits requests within their workspaces' quotas.
    budget : WindowedRetryBudget
        Retries left, owned by this object.
    usage : UsageSection
        Counts of started runs, owned by this object.
    quarantine : RelayQuarantine
        Refuses requests that crash upstreams.
    detector : CrashDetector
        Notices crashes of upstreams.
    limiter : UpstreamLimiter
        Keeps attempts within the limits that upstreams state.
    statements : UpstreamStatements
        Applies what upstreams say of themselves.
    streams : StreamDirectory
        Knows what began the streams that callers take up again.
    transport : UpstreamTransport
        Transport to the upstreams.
    send_error : callable
        Sends an error response to the caller.
    metrics : Metrics
        Counters and histograms.
    data_centre : DataCentre
        Data centre of this host.
    host : NodeId
        This host.
    host_count : callable
        Returns the number of relays.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Adds jitter to the retry delays of refused callers.
    rollouts : RolloutTraffic, optional
        Restricts attempts to the versions that they may use, and counts them; not
        given if the deployment has no rollouts.
    slots : SlotClient, optional
        Takes slots of services that relays share.
    """

    def __init__(
        self,
        table: RegistryTable,
        loads: LoadSection,
        demand: DemandSection,
        quota: QuotaClient,
        budget: WindowedRetryBudget,
        usage: UsageSection,
        quarantine: RelayQuarantine,
        detector: CrashDetector,
        limiter: UpstreamLimiter,
        statements: UpstreamStatements,
        streams: StreamDirectory,
        transport: UpstreamTransport,
        send_error: SendError,
        metrics: Metrics,
        data_centre: DataCentre,
        host: NodeId,
        host_count: Callable[[], int],
        clock: Clock,
        rng: Random,
        rollouts: RolloutTraffic | None = None,
        slots: SlotClient | None = None,
    ):
        self._table = table
        self._loads = loads
        self._demand = demand
        self._quota = quota
        self._budget = budget
        self._usage = usage
        self._quarantine = quarantine
        self._detector = detector
        self._limiter = limiter
        self._statements = statements
        self._streams = streams
        self._transport = transport
        self._send_error = send_error
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._host_count = host_count
        self._rollouts = rollouts or RolloutTraffic(
            RolloutSection(), table, metrics, clock, rng
        )
        self._chooser = RelayUpstreamChooser(
            table,
            loads,
            quarantine,
            limiter,
            statements.pauses,
            statements.brittle,
            host,
            host_count,
            data_centre,
            clock,
            self._rollouts,
            slots,
        )

    async def run(self) -> None:
        """Look for crashed upstreams and forget old statements, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._detector.run)
            tasks.start_soon(self._limiter.run)
            tasks.start_soon(self._statements.run)
            tasks.start_soon(self._streams.run)

    async def handle(self, request: RelayRequest, exchange: Exchange) -> None:
        """Relay a request and send its response, or an error.

        Parameters
        ----------
        request : RelayRequest
            The request.
        exchange : Exchange
            Receives the response. If the caller disconnects, the task is
            cancelled and with it the attempt on the upstream.
        """
        credit_request(self._budget, request.service, request.arrived_at)
        state = RelayRequestState(
            request.fingerprint,
            digest_prompt_parts(
                request.service, (part.id for part in request.prompt_parts)
            ),
        )
        record_arrival(self._demand, request.service, request.arrived_at)
        self._rollouts.record_arrival(request.service)
        outcome = "caller left"
        time_left_s = request.deadline - self._clock()
        try:
            with anyio.fail_after(max(0.0, time_left_s)):
                outcome = await self._run_attempts(request, exchange, state)
        except TimeoutError:
            outcome = "deadline passed"
            await self._end_after_deadline(exchange, state)
        except CranberryfieldError as error:
            outcome = f"refused: {error.kind.value}: {error.detail}"
            await self._refuse_or_abort(exchange, error)
        finally:
            self._chooser.release(request)
            record_end(self._demand, request.service, self._clock())
            if not (state.may_have_run or state.has_pending_attempt):
                self._quota.refund(state.charged_workspace, request.quota_cost)
            now = self._clock()
            log_outcome(request, state, outcome, now)
            record_outcome_metrics(self._metrics, request, outcome, now)

    async def _run_attempts(
        self, request: RelayRequest, exchange: Exchange, state: RelayRequestState
    ) -> str:
        self._refuse_if_quarantined(state)
        is_stream = request.route.kind is RouteKind.STREAM
        if is_stream and request.last_event_id is not None:
            state.origin = await find_resumed_origin(
                self._streams, self._table, request, self._rng
            )
        if request.workspace is not None:
            await self._quota.admit(
                request.workspace, request.quota_cost, request.route.rank
            )
            state.charged_workspace = request.workspace
        state.admitted_at = self._clock()
        progress = _stream_progress(exchange, request.last_event_id)
        for _ in range(MAX_TOTAL_ATTEMPTS):
            record = await self._select_upstream(request, state)
            if record is None:
                break
            state.attempt_log.append(f"{record.upstream}: begun")
            result = await self._run_attempt(request, record, progress, state)
            state.attempt_log[-1] = (
                f"{record.upstream}: {result.outcome.value} {result.detail}"
            )
            if result.outcome is RelayAttemptOutcome.STREAMED:
                if progress.events_sent:
                    self._record_pauses(request, progress)
                await exchange.finish()
                return "streamed"
            if result.outcome is RelayAttemptOutcome.ANSWERED:
                if not may_rerun(request.route, result, state):
                    await _send_response(exchange, result.response)
                    return f"answered {result.response.status}"
                state.fallback_response = result.response
            else:
                # No other answer goes on with a body that is passed on as it arrives.
                may_go_on = progress.is_stream or not exchange.response_started
                if not (may_go_on and may_try_another(request.route, result, state)):
                    break
        if state.fallback_response is not None and not exchange.response_started:
            await _send_response(exchange, state.fallback_response)
            return f"answered {state.fallback_response.status}"
        self._refuse_if_quarantined(state)
        raise unavailable_error(
            request.service,
            self._upstreams_for(request, state),
            state,
            self._limiter,
            self._statements.pauses,
            self._clock(),
            self._rng,
        )

    def _upstreams_for(
        self, request: RelayRequest, state: RelayRequestState
    ) -> list[UpstreamRecord]:
        """Return the upstreams that may run a request now or later."""
        return self._rollouts.without_rolled_back(
            request.service,
            may_go_on(state.origin, self._table.active_upstreams(request.service)),
        )

    def _record_pauses(self, request: RelayRequest, progress: StreamProgress) -> None:
        target_ms = request.route.pause_target_ms
        pause_ms = progress.longest_pause_s * MS_PER_S
        exceeded_target = target_ms is not None and pause_ms > target_ms
        record_stream(self._demand, request.service, exceeded_target, self._clock())

    async def _select_upstream(
        self, request: RelayRequest, state: RelayRequestState
    ) -> UpstreamRecord | None:
        """Return the upstream of the next attempt; None if there may be none."""
        record = await self._chooser.choose(request, state)
        while record is not None and not await self._may_begin_at(
            record, request, state
        ):
            state.tried_processes.add(record.process)
            self._give_back(record, request, state)
            record = await self._chooser.choose(request, state)
        if record is None:
            if not state.tried_processes:
                tokens_to_prefill = request.prompt_tokens
                record_prefill(
                    self._demand, request.service, tokens_to_prefill, self._clock()
                )
            return None
        # It may have been quarantined while it waited.
        may_run = not self._quarantine.is_quarantined(state)
        if may_run and state.sent_attempts:
            may_run = spend_windowed_retry(self._budget, request.service, self._clock())
        if not may_run:
            self._give_back(record, request, state)
            return None
        return record

    def _give_back(
        self, record: UpstreamRecord, request: RelayRequest, state: RelayRequestState
    ) -> None:
        """Give up an upstream that was chosen, before anything is sent there."""
        self._quarantine.release(state.fingerprint, record.upstream)
        self._limiter.put_back(record)
        self._chooser.release(request)

    async def _may_begin_at(
        self, record: UpstreamRecord, request: RelayRequest, state: RelayRequestState
    ) -> bool:
        """Record where a stream begins, if it does; return whether it may."""
        if not request.route.resumable or state.origin is not None:
            return True
        origin = StreamOrigin(record.service, record.software_version)
        if not await self._streams.may_begin(origin):
            return False
        # Before the run, so that it is known when the caller has the first event.
        self._streams.record(request.id, origin, request.deadline)
        return await self._streams.may_change(request.id)

    def _refuse_if_quarantined(self, state: RelayRequestState) -> None:
        was_run = WasRun.YES if state.may_have_run else WasRun.NO
        error = self._quarantine.refusal(state, was_run)
        if error is not None:
            raise error

    async def _run_attempt(
        self,
        request: RelayRequest,
        record: UpstreamRecord,
        progress: StreamProgress,
        state: RelayRequestState,
    ) -> RelayAttemptResult:
        load = self._loads.load_of(record.upstream)
        tokens_to_prefill = uncached_prompt_tokens(request, load.prompt_parts)
        attempt = InFlightAttempt(
            tokens_to_prefill, request.prompt_tokens + request.output_tokens
        )
        record_prefill(self._demand, request.service, tokens_to_prefill, self._clock())
        state.has_pending_attempt = True
        load.own_attempts[request.id] = attempt
        load.record_prompt_parts(tuple(part.id for part in request.prompt_parts))

        started_at = self._clock()
        run = ObservedRun(state.fingerprint, state.prompt_parts, record, started_at)
        rollout_run = self._rollouts.begin(record, request.route.name)
        judgement = Judgement.UNJUDGED

        def on_events() -> None:
            is_first = run.answered_at is None
            self._detector.observe_events(run)
            if not is_first:
                return
            attempt.prefill_tokens = 0
            self._rollouts.record_answer(rollout_run)
            if state.origin is None:
                state.origin = StreamOrigin(record.service, record.software_version)
            record_run_start(self._usage, request)
            if state.first_event_at is None:
                state.first_event_at = self._clock()
                waited_s = state.first_event_at - request.arrived_at
                self._metrics.observe("first_event", waited_s, **metric_labels(request))

        candidates = self._upstreams_for(request, state)
        has_alternative = may_follow(
            request.route, record, candidates, state
        ) and has_windowed_retry(self._budget, request.service, started_at)
        result = None
        try:
            if request.route.kind is not RouteKind.STREAM:
                result = await call_upstream(
                    self._transport, request, record, progress, has_alternative
                )
            else:
                result = await stream_upstream(
                    self._transport,
                    request,
                    record,
                    progress,
                    on_events,
                    has_alternative,
                )
            judgement = judge_result(result)
        except anyio.get_cancelled_exc_class():
            self._detector.abandon(run)
            judgement = judge_cancelled(
                request.route,
                request.arrived_at,
                started_at,
                request.deadline,
                self._clock(),
            )
            raise
        finally:
            self._rollouts.end(rollout_run, judgement)
            load.own_attempts.pop(request.id, None)
            self._quarantine.release(state.fingerprint, record.upstream)
            was_refused = (
                result is not None and result.outcome is RelayAttemptOutcome.NOT_RUN
            )
            self._chooser.release(request, was_refused)
        has_crashed = await self._detector.examine(run, result)
        state.has_pending_attempt = False
        self._record_result(request, record, result, has_crashed, state)
        return result

    def _record_result(
        self,
        request: RelayRequest,
        record: UpstreamRecord,
        result: RelayAttemptResult,
        has_crashed: bool,
        state: RelayRequestState,
    ) -> None:
        """Update the upstream's health and the request's state after an attempt."""
        state.tried_processes.add(record.process)
        load = self._loads.load_of(record.upstream)
        now = self._clock()
        match result.outcome:
            case RelayAttemptOutcome.NOT_SENT:
                record_failure(load, now, is_down=True)
            case RelayAttemptOutcome.MISDIRECTED:
                record_failure(load, now, is_down=True)
                self._table.replaced_at[record.upstream] = now
                state.sent_attempts += 1
            case RelayAttemptOutcome.NOT_RUN:
                record_reply(self._table, record.upstream, now)
                self._statements.on_refusal(record, self._host_count())
                state.sent_attempts += 1
                state.refusals += 1
            case RelayAttemptOutcome.BROKEN:
                record_failure(load, now, is_down=has_crashed)
                state.sent_attempts += 1
                # Upstreams that crash do not count towards the route's limit.
                if has_crashed:
                    state.lost_runs += 1
                else:
                    state.possible_runs += 1
                state.may_have_run = True
            case RelayAttemptOutcome.ANSWERED:
                record_reply(self._table, record.upstream, now)
                state.sent_attempts += 1
                state.possible_runs += 1
                state.may_have_run = True
                # An upstream that asks for a pause is full, not at fault.
                is_full = result.metadata.pause_s is not None
                if result.response.status in SERVER_ERRORS and not is_full:
                    record_failure(load, now, is_down=False)
                else:
                    record_success(load)
                if request.route.kind is not RouteKind.STREAM:
                    record_run_start(self._usage, request)
            case RelayAttemptOutcome.STREAMED:
                state.sent_attempts += 1
                state.possible_runs += 1
                state.may_have_run = True
                record_reply(self._table, record.upstream, now)
                record_success(load)
                if request.route.kind is not RouteKind.STREAM:
                    record_run_start(self._usage, request)

    async def _end_after_deadline(
        self, exchange: Exchange, state: RelayRequestState
    ) -> None:
        if state.may_have_run or state.has_pending_attempt:
            kind, was_run = ErrorKind.DEADLINE_EXCEEDED, WasRun.UNKNOWN
        else:
            kind, was_run = ErrorKind.NO_UPSTREAM, WasRun.NO
        detail = "the deadline of the request has passed"
        error = UnavailableError(kind, detail, was_run=was_run)
        await self._refuse_or_abort(exchange, error)

    async def _refuse_or_abort(
        self, exchange: Exchange, error: CranberryfieldError
    ) -> None:
        if exchange.response_started:
            exchange.abort()
            return
        await self._send_error(exchange, error)


def _stream_progress(exchange: Exchange, last_event_id: str | None) -> StreamProgress:
    async def send_head(head: ResponseHead) -> None:
        await exchange.start(head.status, remove_hop_by_hop(head.headers))

    sequence = EventSequence(last_event_id)
    return StreamProgress(
        send_head, exchange.send, exchange.may_keep, sequence=sequence
    )


async def _send_response(exchange: Exchange, response: Response) -> None:
    headers = remove_hop_by_hop(response.headers)
    await exchange.respond(response.status, headers, response.body)
