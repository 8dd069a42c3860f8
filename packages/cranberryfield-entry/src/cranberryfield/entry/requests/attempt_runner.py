"""Execution of requests on upstreams, with retries and moves."""

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import error_of_kind
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.settings import ServiceKind
from cranberryfield.entry.dispatch import Dispatcher
from cranberryfield.entry.requests.attempts import Attempt, AttemptMonitor
from cranberryfield.entry.requests.claims import ClaimManager, GrantedClaim
from cranberryfield.entry.requests.move_policy import MoveCause
from cranberryfield.entry.requests.quarantine_coordinator import QuarantineCoordinator
from cranberryfield.entry.requests.records import Outcome, RequestRecord
from cranberryfield.entry.requests.retry_policy import (
    AttemptEnd,
    AttemptResult,
    Finish,
    GiveUp,
    decide_next_step,
)
from cranberryfield.entry.routing import AttemptObserver, DispatchSection

__all__ = ["AttemptRunner"]

#: Wait in seconds for crash reports of other hosts.
CRASH_REPORT_WAIT_S = 0.2

logger = structlog.get_logger(__name__)


class AttemptRunner:
    """Runs requests on upstreams, with one or more attempts each.

    Parameters
    ----------
    quarantine : QuarantineCoordinator
        Chooses upstreams and records the requests in flight in crashes.
    dispatched : DispatchSection
        Runs in flight from this host; owned by this object.
    dispatcher : Dispatcher
        Sends requests to upstreams.
    claims : ClaimManager
        Claims of non-idempotent requests.
    monitor : AttemptMonitor
        Watches attempts for silence and reclaims.
    metrics : Metrics
        Counters.
    clock : Clock
        Monotonic time.
    observe : AttemptObserver
        Called with the end of each attempt.
    """

    def __init__(
        self,
        quarantine: QuarantineCoordinator,
        dispatched: DispatchSection,
        dispatcher: Dispatcher,
        claims: ClaimManager,
        monitor: AttemptMonitor,
        metrics: Metrics,
        clock: Clock,
        observe: AttemptObserver,
    ):
        self._quarantine = quarantine
        self._dispatched = dispatched
        self._dispatcher = dispatcher
        self._claims = claims
        self._monitor = monitor
        self._metrics = metrics
        self._clock = clock
        self._observe = observe

    async def run(
        self, record: RequestRecord, claim: GrantedClaim | None
    ) -> Outcome | None:
        """Run a request until its answer is complete.

        Parameters
        ----------
        record : RequestRecord
            Record of the request; receives the events of the answer.
        claim : GrantedClaim or None
            Claim on the request; None for an idempotent one.

        Returns
        -------
        Outcome or None
            Answer of a plain service; None for a completion.

        Raises
        ------
        CranberryfieldError
            If the request fails; `was_run` covers these attempts only.
        """
        request = record.request
        tried: set[UpstreamId] = set()
        ran_before = bool(record.events)
        cause = MoveCause.HOST_LOST
        attempts = 0
        attempt = None
        while True:
            upstream = attempt.move_target if attempt else None
            if upstream is None:
                upstream = await self._quarantine.choose(
                    request, frozenset(tried), ran_before
                )
            tried.add(upstream.record.upstream)
            attempt = Attempt(record, upstream, self._clock(), attempt)
            self._count_recomputed(attempt, cause)
            end, outcome = await self._run_attempt(attempt, claim)
            is_moved = end.result is AttemptResult.MOVED and attempt.events_received
            attempts += not is_moved
            ran_before = ran_before or end.result is not AttemptResult.NOT_RUN
            cause = attempt.move_cause or MoveCause.BROKEN
            step = decide_next_step(
                end,
                idempotent=request.idempotent,
                attempts=attempts,
                ran_before=ran_before,
                deadline_passed=self._clock() >= request.deadline,
            )
            logger.info(
                "attempt ended",
                run=record.run,
                upstream=upstream.record.upstream,
                result=end.result.value,
                detail=end.detail,
            )
            if isinstance(step, GiveUp):
                raise error_of_kind(
                    step.kind, step.detail, was_run=step.was_run, retry_after_s=1.0
                )
            if isinstance(step, Finish):
                return outcome

    def _count_recomputed(self, attempt: Attempt, cause: MoveCause) -> None:
        """Count the tokens of the answer that the upstream must process again."""
        tokens = len(attempt.record.events)
        if tokens and not attempt.has_kv_cache:
            self._metrics.count(f"recomputed_tokens_{cause.value}", tokens)

    async def _run_attempt(
        self, attempt: Attempt, claim: GrantedClaim | None
    ) -> tuple[AttemptEnd, Outcome | None]:
        request = attempt.record.request
        if claim is not None:
            may_start = await self._claims.record_dispatch(
                request, claim, attempt.upstream
            )
            if not may_start:
                return AttemptEnd(AttemptResult.NOT_RUN, "too late to start"), None
        with self._quarantine.release_after(request, attempt.upstream):
            end, outcome = await self._run_monitored(attempt)
        self._observe(attempt.upstream, end)
        is_model = request.settings.kind is ServiceKind.MODEL
        if end.result is AttemptResult.BROKEN and is_model:
            await self._check_crash(attempt)
        if end.result is AttemptResult.FINISHED and is_model:
            self._quarantine.report_completion(request)
        return end, outcome

    async def _check_crash(self, attempt: Attempt) -> None:
        noticed_at = self._clock()
        if not await self._dispatcher.has_crashed(attempt.upstream):
            return
        if not attempt.has_answer_started:
            # The upstream may have crashed before this attempt; hosts with
            # requests in flight there report it.
            await anyio.sleep(CRASH_REPORT_WAIT_S)
            known_at = self._quarantine.crashed_at(attempt.upstream)
            if known_at is not None and known_at <= attempt.started_at:
                return
        self._quarantine.report_crash(
            attempt.record.request, attempt.upstream, noticed_at
        )

    async def _run_monitored(
        self, attempt: Attempt
    ) -> tuple[AttemptEnd, Outcome | None]:
        name = attempt.upstream.record.upstream
        self._change_in_flight(name, 1)
        self._monitor.add(attempt)
        end, outcome = AttemptEnd(AttemptResult.BROKEN, "the stream is silent"), None
        try:
            with attempt.cancel_scope:
                end, outcome = await self._dispatch(attempt)
        finally:
            self._monitor.remove(attempt)
            self._change_in_flight(name, -1)
        if attempt.move_cause is not None:
            await attempt.move_decided.wait()
        is_over = end.result is AttemptResult.FINISHED
        if attempt.move_cause and attempt.record.request.idempotent and not is_over:
            end = AttemptEnd(AttemptResult.MOVED, attempt.move_cause.value)
        return end, outcome

    async def _dispatch(self, attempt: Attempt) -> tuple[AttemptEnd, Outcome | None]:
        record = attempt.record
        if record.request.settings.kind is ServiceKind.PLAIN:
            return await self._dispatcher.call_service(record, attempt.upstream)
        return await self._dispatcher.run_completion(attempt), None

    def _change_in_flight(self, name: UpstreamId, change: int) -> None:
        in_flight = self._dispatched.in_flight
        in_flight[name] = in_flight.get(name, 0) + change
        if not in_flight[name]:
            del in_flight[name]
