"""Execution of accepted requests, from admission to the recorded end."""

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
    error_of_kind,
)
from cranberryfield.core.messages.claims import ClaimState, ClaimView
from cranberryfield.core.metrics import Metrics
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.requests.attempt_runner import AttemptRunner
from cranberryfield.entry.requests.claims import ClaimManager
from cranberryfield.entry.requests.record_coordinator import (
    JoinResult,
    RecordCoordinator,
)
from cranberryfield.entry.requests.records import (
    Outcome,
    RequestRecord,
    RequestState,
    answer_digest,
    error_to_end,
    outcome_to_end,
)
from cranberryfield.entry.requests.records_section import RecordsSection
from cranberryfield.entry.requests.refusals import refusal_across_hosts
from cranberryfield.entry.requests.request import Request

__all__ = ["RequestRunner"]

logger = structlog.get_logger(__name__)


class RequestRunner:
    """Runs accepted requests and records how they end.

    Parameters
    ----------
    attempts : AttemptRunner
        Runs requests on upstreams.
    gate : AdmissionGate
        Admits requests.
    claims : ClaimManager
        Claims of non-idempotent requests.
    coordinator : RecordCoordinator
        Coordinates requests with a key among entry hosts.
    records : RecordsSection
        Records of requests; notified when they end.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        attempts: AttemptRunner,
        gate: AdmissionGate,
        claims: ClaimManager,
        coordinator: RecordCoordinator,
        records: RecordsSection,
        metrics: Metrics,
        clock: Clock,
    ):
        self._attempts = attempts
        self._gate = gate
        self._claims = claims
        self._coordinator = coordinator
        self._records = records
        self._metrics = metrics
        self._clock = clock

    async def run(self, record: RequestRecord) -> None:
        """Run a request and store its end in the record.

        Parameters
        ----------
        record : RequestRecord
            Record of the request; changed in place.
        """
        started = self._clock()
        try:
            await self._run_to_end(record)
        except CranberryfieldError as error:
            if record.request.idempotent:
                error = refusal_across_hosts(record.request, error)
            record.fail(self._clock(), error)
        except Exception:
            logger.exception("request failed", run=record.run)
            internal_error = error_of_kind(
                ErrorKind.INTERNAL, "internal error while running the request"
            )
            record.fail(self._clock(), internal_error)
        self._record_end(record, started)

    async def _run_to_end(self, record: RequestRecord) -> None:
        request = record.request
        if not request.idempotent:
            await self._run_non_idempotent(record)
        elif request.has_caller_key:
            await self._run_coordinated(record)
        else:
            await self._run_for_caller(record)

    async def _run_for_caller(self, record: RequestRecord) -> None:
        """Run a request without a caller key; cancel it when its caller disconnects."""
        with anyio.CancelScope() as scope:
            record.on_lost = scope.cancel
            if record.is_lost:
                scope.cancel()
            outcome = await self._run_admitted(record)
            record.finish(self._clock(), outcome)
            return
        raise UnavailableError(ErrorKind.CALLER_GONE, "the caller disconnected")

    async def _run_coordinated(self, record: RequestRecord) -> None:
        """Run a request, or follow its runner and take over if that is lost."""
        while record.state is RequestState.RUNNING:
            joined = await self._coordinator.join(record)
            if joined is JoinResult.FOLLOWER:
                await self._coordinator.wait_for_runner(record)
                self._move_if_leaving(record)
            elif joined is JoinResult.RUNNER:
                await self._run_replicated(record)

    async def _run_replicated(self, record: RequestRecord) -> None:
        with anyio.CancelScope() as scope:
            record.on_lost = scope.cancel
            try:
                outcome = await self._run_admitted(record)
                end = outcome_to_end(outcome)
            except CranberryfieldError as error:
                end = error_to_end(refusal_across_hosts(record.request, error))
            await self._coordinator.replicator.replicate_end(record, end)
            if not record.is_lost:
                record.apply_end(self._clock(), end)
                return
        self._metrics.count("taken_by_other_host")
        record.discard_uncommitted()
        self._move_if_leaving(record)

    def _move_if_leaving(self, record: RequestRecord) -> None:
        if (
            record.state is RequestState.RUNNING
            and record.successor_address is not None
        ):
            record.mark_moved(self._clock())

    async def _run_admitted(self, record: RequestRecord) -> Outcome | None:
        async with self._gate.acquire_slot(record.request):
            return await self._attempts.run(record, None)

    async def _run_non_idempotent(self, record: RequestRecord) -> None:
        """Run a non-idempotent request under a claim."""
        admitted = False
        try:
            async with self._gate.acquire_slot(record.request):
                admitted = True
                await self._run_claimed(record)
        except CranberryfieldError as error:
            if admitted:
                raise
            checked = await self._claims.verify_refusal(record.request, error)
            raise checked from error

    def _record_end(self, record: RequestRecord, started: float) -> None:
        request = record.request
        labels = {"workspace": request.workspace, "priority": request.priority}
        self._metrics.observe("request", self._clock() - started, **labels)
        result = record.state.value
        if record.state is RequestState.FAILED:
            result = f"refused_{record.error.kind.value}"
        self._metrics.count(result, **labels)
        self._records.schedule_removal(record, self._clock())

    async def _run_claimed(self, record: RequestRecord) -> None:
        request = record.request
        claim = await self._claims.open(request)
        if isinstance(claim, ClaimView):
            record.restore(self._clock(), await self._stored_answer(request, claim))
            return
        try:
            outcome = await self._attempts.run(record, claim)
        except CranberryfieldError as error:
            unknown = error.was_run is not WasRun.NO
            state = ClaimState.UNKNOWN if unknown else ClaimState.RELEASED
            await self._claims.close(request, claim, state)
            raise
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._claims.close(request, claim, ClaimState.UNKNOWN)
            raise
        answer = outcome or record.to_outcome()
        await self._claims.close(request, claim, ClaimState.ANSWERED, answer)
        record.finish(self._clock(), outcome)
        if len(answer.body) > request.settings.kept_answer_bytes:
            self._coordinator.replicator.replicate_ended(record)

    async def _stored_answer(self, request: Request, view: ClaimView) -> Outcome:
        if view.answer is not None:
            return Outcome(view.status, view.content_type, view.answer)
        copy = await self._coordinator.find(request.workspace, request.key)
        if copy is not None and copy.end is not None:
            record = RequestRecord(request)
            record.replace_with_copy(copy, copy.epoch)
            record.apply_end(self._clock(), copy.end)
            outcome = record.to_outcome()
            if answer_digest(outcome) == view.answer_digest:
                return outcome
        raise UnavailableError(
            ErrorKind.ANSWER_TOO_LARGE,
            "the request has run; its answer is not available",
        )
