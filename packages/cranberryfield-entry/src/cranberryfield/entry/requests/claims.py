"""Claims of an entry host on non-idempotent requests."""

from collections import deque
from dataclasses import dataclass
from uuid import uuid4

import anyio
import structlog

from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import (
    CallerError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import NodeId, RequestKey, WorkspaceId
from cranberryfield.core.messages.claims import (
    ClaimState,
    ClaimView,
    CloseClaim,
    FindClaim,
    OpenClaim,
    RecordDispatch,
    RenewHolder,
)
from cranberryfield.core.proposals import Proposer
from cranberryfield.entry.membership import KnownUpstream
from cranberryfield.entry.requests.records import Outcome, answer_digest
from cranberryfield.entry.requests.refusals import mark_run_unknown
from cranberryfield.entry.requests.request import Request

__all__ = ["ClaimManager", "GrantedClaim"]

CLAIM_TIMEOUT_S = 3.0
FIND_TIMEOUT_S = 1.0
RENEW_INTERVAL_S = 1.0
#: Maximum time from requesting a dispatch to starting it, in seconds.
START_TIMEOUT_S = 2.0
#: Time in milliseconds after its deadline for which a run's end is awaited.
RUN_GRACE_MS = 5_000
MS_PER_S = 1000
#: Error kinds that a resend of the command cannot change.
_FINAL_ERRORS = frozenset(
    {ErrorKind.UNKNOWN_REQUEST, ErrorKind.KEY_EXPIRED, ErrorKind.RECORDS_FULL}
)

logger = structlog.get_logger(__name__)


@dataclass(slots=True)
class GrantedClaim:
    """A claim granted to this process.

    Attributes
    ----------
    token : str
        Unique identifier of the grant.
    attempt : int
        Attempt number of the claim.
    dispatch_count : int
        Number of dispatches requested so far.
    """

    token: str
    attempt: int
    dispatch_count: int = 0


class ClaimManager:
    """Opens, renews and closes claims through the replicated log.

    Parameters
    ----------
    node : NodeId
        This process.
    proposer : Proposer
        Submits commands to the replicated log.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, node: NodeId, proposer: Proposer, clock: Clock):
        self._node = node
        self._proposer = proposer
        self._clock = clock
        self._session = uuid4().hex
        self._open_count = 0
        self._pending_closes: deque[tuple[float, CloseClaim]] = deque()

    @property
    def pending_closes(self) -> int:
        """Number of closes not yet recorded in the log."""
        return len(self._pending_closes)

    async def open(self, request: Request) -> GrantedClaim | ClaimView:
        """Claim the right to run a request.

        Parameters
        ----------
        request : Request
            A non-idempotent request.

        Returns
        -------
        GrantedClaim or ClaimView
            The granted claim, which proves that nothing has run under the key;
            otherwise the view of an earlier claim with the stored answer.

        Raises
        ------
        CranberryfieldError
            If there is neither; `was_run` covers all runs under the key.
        """
        token = uuid4().hex
        command = OpenClaim(
            request.workspace,
            request.key,
            request.digest,
            self._node,
            self._session,
            token,
            request.settings.retention_ms,
        )
        try:
            view = await self._proposer.propose(command, CLAIM_TIMEOUT_S)
        except CranberryfieldError as error:
            if error.kind is ErrorKind.RECORDS_FULL:
                # The log itself replied: no claim exists under the key.
                raise
            raise mark_run_unknown(error) from error
        if view.granted:
            self._open_count += 1
            return GrantedClaim(token, view.attempt)
        if view.state is ClaimState.ANSWERED and view.same_body:
            return view
        raise refusal_from_claim(view)

    async def record_dispatch(
        self, request: Request, claim: GrantedClaim, upstream: KnownUpstream
    ) -> bool:
        """Record the upstream on which a run is about to start.

        Parameters
        ----------
        request : Request
            The request.
        claim : GrantedClaim
            Claim on the request; every earlier dispatch under it must be proved
            not to have run.
        upstream : KnownUpstream
            Upstream on which the run is to start.

        Returns
        -------
        bool
            Whether the run may start now; False if the deadline or the time
            limit for the start has passed.

        Raises
        ------
        UnavailableError
            If the dispatch was not recorded; the run must not start then.
        """
        asked_at = self._clock()
        claim.dispatch_count += 1
        remaining_ms = max(0, int((request.deadline - asked_at) * MS_PER_S))
        command = RecordDispatch(
            request.workspace,
            request.key,
            claim.attempt,
            claim.token,
            claim.dispatch_count,
            upstream.record.upstream,
            upstream.record.incarnation,
            remaining_ms + RUN_GRACE_MS,
        )
        view = await self._proposer.propose(command, CLAIM_TIMEOUT_S)
        if not view.granted:
            raise UnavailableError(
                ErrorKind.KEY_BUSY,
                "the claim on the request no longer permits a run",
                retry_after_s=1.0,
            )
        return self._clock() < min(request.deadline, asked_at + START_TIMEOUT_S)

    async def close(
        self,
        request: Request,
        claim: GrantedClaim,
        state: ClaimState,
        outcome: Outcome | None = None,
    ) -> None:
        """Record the end of an attempt, now or as soon as there is a quorum.

        Parameters
        ----------
        request : Request
            The request.
        claim : GrantedClaim
            Claim on the request; invalid afterwards.
        state : ClaimState
            ANSWERED, UNKNOWN or RELEASED.
        outcome : Outcome, optional
            The answer.
        """
        command = _close_command(request, claim, state, outcome)
        expires_at = self._clock() + request.settings.retention_ms / MS_PER_S
        if await self._try_close(command):
            self._open_count -= 1
        else:
            self._pending_closes.append((expires_at, command))

    async def find(self, workspace: WorkspaceId, key: RequestKey) -> ClaimView:
        """Look up a claim.

        Parameters
        ----------
        workspace, key : str
            Workspace and key of the request.

        Returns
        -------
        ClaimView
            The claim.

        Raises
        ------
        CranberryfieldError
            Of kind ``unknown_request``, ``key_expired`` or ``no_quorum``.
        """
        return await self._proposer.propose(FindClaim(workspace, key), FIND_TIMEOUT_S)

    async def verify_refusal(
        self, request: Request, error: CranberryfieldError
    ) -> CranberryfieldError:
        """Correct `was_run` of an error raised before the claim was opened.

        Parameters
        ----------
        request : Request
            A non-idempotent request.
        error : CranberryfieldError
            Error on this host, which reports that the request was not run.

        Returns
        -------
        CranberryfieldError
            The same error, with ``unknown`` unless the log shows that no other
            host has run the request either.
        """
        if error.was_run is not WasRun.NO:
            return error
        try:
            view = await self.find(request.workspace, request.key)
        except CranberryfieldError as failure:
            if failure.kind is ErrorKind.UNKNOWN_REQUEST:
                return error
            return mark_run_unknown(error)
        return error if view.state is ClaimState.RELEASED else mark_run_unknown(error)

    async def run(self) -> None:
        """Renew the claim lease and retry unrecorded closes until cancelled."""
        while True:
            await anyio.sleep(RENEW_INTERVAL_S)
            if self._open_count:
                await self._renew()
            await self._retry_closes()

    async def _renew(self) -> None:
        command = RenewHolder(self._node, self._session)
        try:
            await self._proposer.propose(command, RENEW_INTERVAL_S)
        except CranberryfieldError as error:
            logger.warning("claim lease not renewed", error=error.detail)

    async def _retry_closes(self) -> None:
        for _ in range(len(self._pending_closes)):
            expires_at, command = self._pending_closes[0]
            if self._clock() < expires_at and not await self._try_close(command):
                return
            self._pending_closes.popleft()
            self._open_count -= 1

    async def _try_close(self, command: CloseClaim) -> bool:
        try:
            await self._proposer.propose(command, CLAIM_TIMEOUT_S)
        except CranberryfieldError as error:
            logger.warning("claim not closed", key=command.key, error=error.detail)
            return error.kind in _FINAL_ERRORS
        return True


def _close_command(
    request: Request, claim: GrantedClaim, state: ClaimState, outcome: Outcome | None
) -> CloseClaim:
    name = (request.workspace, request.key, claim.attempt, claim.token, state)
    if outcome is None:
        return CloseClaim(*name)
    is_small = len(outcome.body) <= request.settings.kept_answer_bytes
    return CloseClaim(
        *name,
        outcome.status,
        outcome.content_type,
        outcome.body if is_small else None,
        answer_digest(outcome),
    )


def refusal_from_claim(view: ClaimView) -> CranberryfieldError:
    """Return the error for a claim that was not granted and has no answer.

    Parameters
    ----------
    view : ClaimView
        A claim that was not granted.

    Returns
    -------
    CranberryfieldError
        Of kind ``key_reused``, ``outcome_unknown`` or ``key_busy``.

    Examples
    --------
    >>> view = ClaimView(False, ClaimState.UNKNOWN, 1, "entry-1")
    >>> refusal_from_claim(view).kind.value
    'outcome_unknown'
    """
    if not view.same_body:
        return CallerError(
            ErrorKind.KEY_REUSED, "the key was already used for a different request"
        )
    if view.state is ClaimState.UNKNOWN:
        return UnavailableError(
            ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt may have run the request"
        )
    return UnavailableError(
        ErrorKind.KEY_BUSY,
        f"the request is already being run by entry host {view.node}",
        retry_after_s=1.0,
    )
