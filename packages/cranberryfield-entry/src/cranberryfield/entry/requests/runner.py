"""Runs one accepted request to its end, over as many attempts as it takes."""

from uuid import uuid4

import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CallerError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
    error_of_kind,
)
from cranberryfield.core.ids import NodeId, UpstreamId
from cranberryfield.core.messages.commands import (
    ClaimState,
    ClaimView,
    CloseClaim,
    OpenClaim,
    RecordDispatch,
)
from cranberryfield.core.metrics import Metrics
from cranberryfield.core.proposals import Proposer
from cranberryfield.core.settings import ServiceKind
from cranberryfield.entry.admission import AdmissionGate
from cranberryfield.entry.dispatch import Dispatcher
from cranberryfield.entry.membership import (
    KnownUpstream,
)
from cranberryfield.entry.requests.lifecycle import (
    AttemptEnd,
    AttemptResult,
    Finish,
    GiveUp,
    after_attempt,
)
from cranberryfield.entry.requests.records import Outcome, RequestRecord, RequestState
from cranberryfield.entry.requests.request import Request
from cranberryfield.entry.routing import AttemptObserver, Chooser, DispatchSection

__all__ = ["RequestRunner"]

CLAIM_TIMEOUT_S = 3.0

logger = structlog.get_logger(__name__)


class _HeldClaim:
    """A claim that this node holds."""

    def __init__(self, token: str, attempt: int):
        self.token = token
        self.attempt = attempt


class RequestRunner:
    """What all requests of this node share.

    Parameters
    ----------
    node : NodeId
        This process.
    choose : Chooser
        Chooses the upstream of each attempt.
    dispatched : DispatchSection
        This node's own runs; owned by the runner.
    gate : AdmissionGate
        Admits requests.
    dispatcher : Dispatcher
        Talks to upstreams.
    proposer : Proposer
        Puts claims through the replicated log.
    metrics : Metrics
        Counters and histograms.
    clock : Clock
        Monotonic time.
    observe : AttemptObserver
        Told how each attempt ended.
    """

    def __init__(
        self,
        node: NodeId,
        choose: Chooser,
        dispatched: DispatchSection,
        gate: AdmissionGate,
        dispatcher: Dispatcher,
        proposer: Proposer,
        metrics: Metrics,
        clock: Clock,
        observe: AttemptObserver,
    ):
        self._node = node
        self._choose = choose
        self._dispatched = dispatched
        self._gate = gate
        self._dispatcher = dispatcher
        self._proposer = proposer
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
        request = record.request
        started = self._clock()
        try:
            async with self._gate.enter(request):
                if request.idempotent:
                    await self._run_attempts(record, None)
                else:
                    await self._run_claimed(record)
        except CranberryfieldError as error:
            record.fail(self._clock(), error)
        except Exception:
            logger.exception("request failed", run=request.run)
            fault = error_of_kind(ErrorKind.INTERNAL, "the request met a fault")
            record.fail(self._clock(), fault)
        self._note_end(record, started)

    def _note_end(self, record: RequestRecord, started: float) -> None:
        request = record.request
        labels = {"workspace": request.workspace, "priority": request.priority}
        self._metrics.observe("request", self._clock() - started, **labels)
        ending = record.state.value
        if record.state is RequestState.FAILED:
            ending = f"refused_{record.error.kind.value}"
        self._metrics.count(ending, **labels)

    async def _run_claimed(self, record: RequestRecord) -> None:
        request = record.request
        claim = await self._open_claim(record)
        if claim is None:
            return
        try:
            await self._run_attempts(record, claim)
        except CranberryfieldError as error:
            unknown = error.was_run is not WasRun.NO
            state = ClaimState.UNKNOWN if unknown else ClaimState.RELEASED
            await self._close_claim(request, claim, state, None)
            raise

    async def _open_claim(self, record: RequestRecord) -> _HeldClaim | None:
        request = record.request
        token = uuid4().hex
        view = await self._proposer.propose(
            OpenClaim(
                request.workspace, request.key, request.digest, self._node, token
            ),
            CLAIM_TIMEOUT_S,
        )
        if view.granted:
            return _HeldClaim(token, view.attempt)
        if not view.same_body:
            raise CallerError(
                ErrorKind.KEY_REUSED, "the key stands for another request"
            )
        if view.state is ClaimState.ANSWERED:
            kept = Outcome(view.status, view.content_type, view.answer)
            record.restore(self._clock(), kept)
            return None
        if view.state is ClaimState.UNKNOWN:
            raise UnavailableError(
                ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt may have run"
            )
        raise UnavailableError(
            ErrorKind.KEY_BUSY,
            f"the request is being run from {view.node}",
            retry_after_s=1.0,
        )

    async def _run_attempts(
        self, record: RequestRecord, claim: _HeldClaim | None
    ) -> None:
        request = record.request
        tried: set[UpstreamId] = set()
        ran_before = False
        attempts = 0
        while True:
            upstream = self._choose(request, frozenset(tried), ran_before)
            tried.add(upstream.record.upstream)
            if claim is not None:
                await self._record_dispatch(request, claim, upstream)
            end, outcome = await self._attempt(record, upstream)
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
                run=request.run,
                upstream=upstream.record.upstream,
                result=end.result.value,
                detail=end.detail,
            )
            if isinstance(step, GiveUp):
                raise error_of_kind(
                    step.kind, step.detail, was_run=step.was_run, retry_after_s=1.0
                )
            if isinstance(step, Finish):
                if claim is not None:
                    kept = outcome or record.as_outcome()
                    await self._close_claim(request, claim, ClaimState.ANSWERED, kept)
                record.finish(self._clock(), outcome)
                return
            if claim is not None:
                await self._close_claim(request, claim, ClaimState.RELEASED, None)
                claim = await self._open_claim(record)
                if claim is None:
                    return

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

    async def _record_dispatch(
        self, request: Request, claim: _HeldClaim, upstream: KnownUpstream
    ) -> None:
        view = await self._proposer.propose(
            RecordDispatch(
                request.workspace,
                request.key,
                claim.attempt,
                claim.token,
                upstream.record.upstream,
                upstream.record.incarnation,
            ),
            CLAIM_TIMEOUT_S,
        )
        if not isinstance(view, ClaimView) or not view.granted:
            raise UnavailableError(
                ErrorKind.KEY_BUSY, "another node took the request", retry_after_s=1.0
            )

    async def _close_claim(
        self,
        request: Request,
        claim: _HeldClaim,
        state: ClaimState,
        outcome: Outcome | None,
    ) -> None:
        command = CloseClaim(
            request.workspace, request.key, claim.attempt, claim.token, state
        )
        if outcome is not None:
            command = CloseClaim(
                request.workspace,
                request.key,
                claim.attempt,
                claim.token,
                state,
                outcome.status,
                outcome.content_type,
                outcome.body,
            )
        try:
            await self._proposer.propose(command, CLAIM_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.warning("claim not closed", run=request.run, error=error.detail)
