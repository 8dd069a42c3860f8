"""Applies claim commands to the table of claims."""

import msgspec

from cranberryfield.core.errors import ErrorKind
from cranberryfield.core.ids import (
    Incarnation,
    NodeId,
    RequestKey,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.commands import (
    ClaimState,
    ClaimView,
    CloseClaim,
    OpenClaim,
    RecordDispatch,
    Refused,
)

__all__ = ["Claim", "ClaimTable", "apply_claim_command"]

MAX_CLAIMS = 100_000

#: States from which a new attempt may start, since nothing has run.
_NOT_RUN = (ClaimState.CLAIMED, ClaimState.RELEASED)


class Claim(msgspec.Struct, array_like=True):
    """One non-idempotent request.

    Attributes
    ----------
    digest : bytes
        Digest of the body.
    state : ClaimState
        Where the request stands.
    attempt : int
        Counts the claimers; a command of an older attempt has no effect.
    node : NodeId
        The claimer.
    token : str
        The claimer's token for this attempt.
    upstream, incarnation
        Where it was dispatched.
    status, content_type, answer
        The kept answer, once ANSWERED.
    """

    digest: bytes
    state: ClaimState
    attempt: int
    node: NodeId
    token: str
    upstream: UpstreamId | None = None
    incarnation: Incarnation | None = None
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


class ClaimTable(msgspec.Struct, array_like=True):
    """All claims, by workspace and key."""

    claims: dict[WorkspaceId, dict[RequestKey, Claim]] = msgspec.field(
        default_factory=dict
    )
    count: int = 0


def apply_claim_command(
    table: ClaimTable, command: OpenClaim | RecordDispatch | CloseClaim
) -> ClaimView | Refused:
    """Apply one committed command.

    Parameters
    ----------
    table : ClaimTable
        Changed in place.
    command : OpenClaim, RecordDispatch or CloseClaim
        The command; a resend has no further effect.

    Returns
    -------
    ClaimView or Refused
        The claim after the command.
    """
    if isinstance(command, OpenClaim):
        return _open(table, command)
    claim = table.claims.get(command.workspace, {}).get(command.key)
    if claim is None:
        return Refused(ErrorKind.UNKNOWN_REQUEST.value, "there is no such claim")
    if claim.attempt != command.attempt or claim.token != command.token:
        return _view(claim, granted=False)
    if isinstance(command, RecordDispatch):
        return _record_dispatch(claim, command)
    return _close(claim, command)


def _open(table: ClaimTable, command: OpenClaim) -> ClaimView | Refused:
    keys = table.claims.setdefault(command.workspace, {})
    claim = keys.get(command.key)
    if claim is None:
        if table.count >= MAX_CLAIMS:
            return Refused(ErrorKind.RECORDS_FULL.value, "the table of claims is full")
        claim = Claim(
            command.digest, ClaimState.CLAIMED, 1, command.node, command.token
        )
        keys[command.key] = claim
        table.count += 1
        return _view(claim, granted=True)
    same_body = claim.digest == command.digest
    if not same_body:
        return _view(claim, granted=False, same_body=False)
    if claim.token == command.token:
        return _view(claim, granted=claim.state is ClaimState.CLAIMED)
    free = claim.state is ClaimState.RELEASED
    if claim.state in _NOT_RUN and (free or command.take_over):
        claim.state = ClaimState.CLAIMED
        claim.attempt += 1
        claim.node = command.node
        claim.token = command.token
        return _view(claim, granted=True)
    return _view(claim, granted=False)


def _record_dispatch(claim: Claim, command: RecordDispatch) -> ClaimView:
    same = (claim.upstream, claim.incarnation) == (
        command.upstream,
        command.incarnation,
    )
    if claim.state is ClaimState.DISPATCHED and same:
        return _view(claim, granted=True)
    if claim.state is not ClaimState.CLAIMED:
        return _view(claim, granted=False)
    claim.state = ClaimState.DISPATCHED
    claim.upstream = command.upstream
    claim.incarnation = command.incarnation
    return _view(claim, granted=True)


def _close(claim: Claim, command: CloseClaim) -> ClaimView:
    if claim.state is command.state:
        return _view(claim, granted=True)
    if claim.state not in (ClaimState.CLAIMED, ClaimState.DISPATCHED):
        return _view(claim, granted=False)
    claim.state = command.state
    claim.status = command.status
    claim.content_type = command.content_type
    claim.answer = command.answer
    return _view(claim, granted=True)


def _view(claim: Claim, granted: bool, same_body: bool = True) -> ClaimView:
    return ClaimView(
        granted,
        claim.state,
        claim.attempt,
        claim.node,
        same_body,
        claim.status,
        claim.content_type,
        claim.answer,
    )
