"""Runs one accepted request to its end, over as many attempts as it takes."""

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
from cranberryfield.core.ids import UpstreamId
from cranberryfield.core.messages.claims import ClaimState, ClaimView
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.settings import ServiceKind
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.dispatch import Dispatcher
from cranberryfield.entry.membership import (
    KnownUpstream,
)
from cranberryfield.entry.requests.claims import ClaimKeeper, HeldClaim
from cranberryfield.entry.requests.lifecycle import (
    AttemptEnd,
    AttemptResult,
    Finish,
    GiveUp,
    after_attempt,
)
from cranberryfield.entry.requests.records import (
    Outcome,
    RequestRecord,
    RequestState,
    answer_digest,
    end_of_answer,
    end_of_error,
)
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.requests.section import RecordsSection
from cranberryfield.entry.requests.sharing import JoinedAs, RecordSharing
from cranberryfield.entry.routing import AttemptObserver, Chooser, DispatchSection

__all__ = ["RequestRunner"]

logger = structlog.get_logger(__name__)


class RequestRunner:
    """What all requests of this node share.

    Parameters
    ----------
    choose : Chooser
        Chooses the upstream of each attempt.
    dispatched : DispatchSection
        This node's own runs; owned by the runner.
    gate : AdmissionGate
        Admits requests.
    dispatcher : Dispatcher
        Talks to upstreams.
    claims : ClaimKeeper
        Claims of non-idempotent requests.
    sharing : RecordSharing
        Joins requests with a key over all entry hosts.
    records : RecordsSection
        Records of requests; told of their ends.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time.
    observe : AttemptObserver
        Told how each attempt ended.
    """

    def __init__(
        self,
        choose: Chooser,
        dispatched: DispatchSection,
        gate: AdmissionGate,
        dispatcher: Dispatcher,
        claims: ClaimKeeper,
        sharing: RecordSharing,
        records: RecordsSection,
        metrics: Metrics,
        clock: Clock,
        observe: AttemptObserver,
    ):
        self._choose = choose
        self._dispatched = dispatched
        self._gate = gate
        self._dispatcher = dispatcher
        self._claims = claims
        self._sharing = sharing
        self._records = records
        self._metrics = metrics
        self._clock = clock
        self._observe = observe

    async def run(self, record: RequestRecord) -> None:
        """Run a request and put its end into the record.

        Parameters
        ----------
        record : RequestRecord
            The request's record; changed in place.
        """
        started = self._clock()
        try:
            await self._run_to_end(record)
        except CranberryfieldError as error:
            record.fail(self._clock(), error)
        except Exception:
            logger.exception("request failed", run=record.run)
            fault = error_of_kind(ErrorKind.INTERNAL, "the request met a fault")
            record.fail(self._clock(), fault)
        self._note_end(record, started)

    async def _run_to_end(self, record: RequestRecord) -> None:
        request = record.request
        if not request.idempotent:
            await self._run_once(record)
        elif request.has_caller_key:
            await self._run_shared(record)
        else:
            await self._run_for_caller(record)

    async def _run_for_caller(self, record: RequestRecord) -> None:
        """Run a request that cannot be asked for again, while its caller waits."""
        with anyio.CancelScope() as scope:
            record.on_lost = scope.cancel
            if record.is_lost:
                scope.cancel()
            outcome = await self._run_admitted(record)
            record.finish(self._clock(), outcome)
            return
        raise UnavailableError(ErrorKind.CALLER_GONE, "the caller has gone")

    async def _run_shared(self, record: RequestRecord) -> None:
        """Run a request unless another host does, and go on if that one dies."""
        while record.state is RequestState.RUNNING:
            joined = await self._sharing.join(record)
            if joined is JoinedAs.FOLLOWER:
                await self._sharing.wait_followed(record)
            elif joined is JoinedAs.RUNNER:
                await self._run_kept(record)

    async def _run_kept(self, record: RequestRecord) -> None:
        with anyio.CancelScope() as scope:
            record.on_lost = scope.cancel
            try:
                outcome = await self._run_admitted(record)
                end = end_of_answer(outcome)
            except CranberryfieldError as error:
                end = end_of_error(error)
            await self._sharing.keeper.end(record, end)
            if not record.is_lost:
                record.take_end(self._clock(), end)
                return
        self._metrics.count("taken_by_other_host")
        record.drop_uncommitted()

    async def _run_admitted(self, record: RequestRecord) -> Outcome | None:
        async with self._gate.enter(record.request):
            return await self._run_attempts(record, None)

    async def _run_once(self, record: RequestRecord) -> None:
        """Run a non-idempotent request under a claim."""
        admitted = False
        try:
            async with self._gate.enter(record.request):
                admitted = True
                await self._run_claimed(record)
        except CranberryfieldError as error:
            if admitted:
                raise
            checked = await self._claims.checked_refusal(record.request, error)
            raise checked from error

    def _note_end(self, record: RequestRecord, started: float) -> None:
        request = record.request
        labels = {"workspace": request.workspace, "priority": request.priority}
        self._metrics.observe("request", self._clock() - started, **labels)
        ending = record.state.value
        if record.state is RequestState.FAILED:
            ending = f"refused_{record.error.kind.value}"
        self._metrics.count(ending, **labels)
        self._records.note_end(record, self._clock())

    async def _run_claimed(self, record: RequestRecord) -> None:
        request = record.request
        claim = await self._claims.open(request)
        if isinstance(claim, ClaimView):
            record.restore(self._clock(), await self._kept_answer(request, claim))
            return
        try:
            outcome = await self._run_attempts(record, claim)
        except CranberryfieldError as error:
            unknown = error.was_run is not WasRun.NO
            state = ClaimState.UNKNOWN if unknown else ClaimState.RELEASED
            await self._claims.close(request, claim, state)
            raise
        except BaseException:
            with anyio.CancelScope(shield=True):
                await self._claims.close(request, claim, ClaimState.UNKNOWN)
            raise
        kept = outcome or record.as_outcome()
        await self._claims.close(request, claim, ClaimState.ANSWERED, kept)
        record.finish(self._clock(), outcome)
        if len(kept.body) > request.settings.kept_answer_bytes:
            self._sharing.keeper.hand_out(record)

    async def _kept_answer(self, request: Request, view: ClaimView) -> Outcome:
        if view.answer is not None:
            return Outcome(view.status, view.content_type, view.answer)
        copy = await self._sharing.find(request.workspace, request.key)
        if copy is not None and copy.end is not None:
            record = RequestRecord(request)
            record.adopt(copy, copy.epoch)
            record.take_end(self._clock(), copy.end)
            outcome = record.as_outcome()
            if answer_digest(outcome) == view.answer_digest:
                return outcome
        raise UnavailableError(
            ErrorKind.ANSWER_TOO_LARGE, "the request has run; its answer is not kept"
        )

    async def _run_attempts(
        self, record: RequestRecord, claim: HeldClaim | None
    ) -> Outcome | None:
        request = record.request
        tried: set[UpstreamId] = set()
        ran_before = False
        attempts = 0
        while True:
            upstream = self._choose(request, frozenset(tried), ran_before)
            tried.add(upstream.record.upstream)
            end, outcome = await self._start_attempt(record, claim, upstream)
            self._observe(upstream, end)
            attempts += 1
            ran_before = ran_before or end.result is AttemptResult.BROKEN
            step = after_attempt(
                end,
                idempotent=request.idempotent,
                attempts=attempts,
                ran_before=ran_before,
                late=self._clock() >= request.deadline,
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

    async def _start_attempt(
        self, record: RequestRecord, claim: HeldClaim | None, upstream: KnownUpstream
    ) -> tuple[AttemptEnd, Outcome | None]:
        if claim is not None:
            may_start = await self._claims.record_dispatch(
                record.request, claim, upstream
            )
            if not may_start:
                return AttemptEnd(AttemptResult.NOT_RUN, "too late to start"), None
        return await self._attempt(record, upstream)

    async def _attempt(
        self, record: RequestRecord, upstream: KnownUpstream
    ) -> tuple[AttemptEnd, Outcome | None]:
        name = upstream.record.upstream
        in_flight = self._dispatched.in_flight
        in_flight[name] = in_flight.get(name, 0) + 1
        try:
            if record.request.settings.kind is ServiceKind.PLAIN:
                return await self._dispatcher.call_service(record, upstream)
            return await self._dispatcher.run_completion(record, upstream), None
        finally:
            in_flight[name] -= 1
            if not in_flight[name]:
                del in_flight[name]
