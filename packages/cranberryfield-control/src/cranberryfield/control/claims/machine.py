"""State machine that replicates the claims of non-idempotent requests."""

from cranberryfield.control.claims.expired import has_capacity, is_expired
from cranberryfield.control.claims.table import (
    Claim,
    ClaimTable,
    HolderLease,
    apply_timeouts,
    sweep_claims,
)
from cranberryfield.core.errors import ErrorKind
from cranberryfield.core.ids import NodeId
from cranberryfield.core.messages.claims import (
    AdvanceClock,
    ClaimState,
    ClaimView,
    CloseClaim,
    FindClaim,
    HolderRenewed,
    OpenClaim,
    RecordDispatch,
    RenewHolder,
)
from cranberryfield.core.messages.commands import Refused
from cranberryfield.core.settings import EffectiveSettings

__all__ = ["ClaimCommand", "apply_claim_command"]

ClaimCommand = (
    AdvanceClock | CloseClaim | FindClaim | OpenClaim | RecordDispatch | RenewHolder
)

#: States in which a claim may be closed, by the closing state. A late answer is
#: recorded even after callers were told that the outcome is unknown.
_CLOSABLE_STATES = {
    ClaimState.ANSWERED: (ClaimState.DISPATCHED, ClaimState.UNKNOWN),
    ClaimState.UNKNOWN: (ClaimState.CLAIMED, ClaimState.DISPATCHED),
    ClaimState.RELEASED: (ClaimState.CLAIMED, ClaimState.DISPATCHED),
}


def apply_claim_command(
    table: ClaimTable, command: ClaimCommand, settings: EffectiveSettings
) -> ClaimView | HolderRenewed | AdvanceClock | Refused:
    """Apply one committed command to the table of claims.

    Parameters
    ----------
    table : ClaimTable
        Changed in place.
    command : ClaimCommand
        The command. Applying a resend again has no further effect.
    settings : EffectiveSettings
        Effective settings of the system level, with the leases and limits.

    Returns
    -------
    ClaimView, HolderRenewed, AdvanceClock or Refused
        The claim after the command, or the reason for a refusal.
    """
    match command:
        case AdvanceClock(elapsed_ms):
            table.now_ms += max(0, elapsed_ms)
            return command
        case RenewHolder(node, session):
            _renew_holder(table, node, session, settings)
            return HolderRenewed()
        case OpenClaim():
            return _open(table, command, settings)
    claim = apply_timeouts(table, command.workspace, command.key)
    if claim is None:
        return _refuse_unknown(table, command)
    if isinstance(command, FindClaim):
        return _claim_view(table, claim, granted=False)
    if claim.attempt != command.attempt or claim.token != command.token:
        return _claim_view(table, claim, granted=False)
    if isinstance(command, RecordDispatch):
        return _record_dispatch(table, claim, command)
    return _close(table, claim, command, settings)


def _renew_holder(
    table: ClaimTable, node: NodeId, session: str, settings: EffectiveSettings
) -> None:
    lease_ends_ms = table.now_ms + settings.claim_holder_lease_ms
    table.holders[node] = HolderLease(session, lease_ends_ms)


def _refuse_unknown(table: ClaimTable, command: ClaimCommand) -> Refused:
    if is_expired(table.expired, command.workspace, command.key):
        return _refuse_expired()
    return Refused(ErrorKind.UNKNOWN_REQUEST.value, "there is no such claim")


def _refuse_expired() -> Refused:
    return Refused(
        ErrorKind.KEY_EXPIRED.value, "the outcome under this key is no longer kept"
    )


def _open(
    table: ClaimTable, command: OpenClaim, settings: EffectiveSettings
) -> ClaimView | Refused:
    sweep_claims(table)
    _renew_holder(table, command.node, command.session, settings)
    claim = apply_timeouts(table, command.workspace, command.key)
    if claim is None:
        return _open_new(table, command, settings)
    if claim.digest != command.digest:
        return _claim_view(table, claim, granted=False, same_body=False)
    if claim.token == command.token:
        return _claim_view(table, claim, granted=claim.state is ClaimState.CLAIMED)
    if claim.state is not ClaimState.RELEASED:
        return _claim_view(table, claim, granted=False)
    claim.state = ClaimState.CLAIMED
    claim.attempt += 1
    claim.dispatch = 0
    claim.node = command.node
    claim.session = command.session
    claim.token = command.token
    claim.retention_ms = command.retention_ms
    claim.expires_at_ms = table.now_ms + settings.claim_lease_ms
    return _claim_view(table, claim, granted=True)


def _open_new(
    table: ClaimTable, command: OpenClaim, settings: EffectiveSettings
) -> ClaimView | Refused:
    if is_expired(table.expired, command.workspace, command.key):
        return _refuse_expired()
    if table.count >= settings.claim_limit:
        return Refused(ErrorKind.RECORDS_FULL.value, "the table of claims is full")
    capacity = settings.expired_key_limit - table.count
    if not has_capacity(table.expired, command.key, capacity):
        return Refused(
            ErrorKind.RECORDS_FULL.value,
            "no more keys can be remembered; a UUID of version 7 needs no memory",
        )
    claim = Claim(
        command.digest,
        ClaimState.CLAIMED,
        1,
        command.node,
        command.session,
        command.token,
        command.retention_ms,
        table.now_ms + settings.claim_lease_ms,
    )
    table.claims.setdefault(command.workspace, {})[command.key] = claim
    table.count += 1
    return _claim_view(table, claim, granted=True)


def _record_dispatch(
    table: ClaimTable, claim: Claim, command: RecordDispatch
) -> ClaimView:
    if claim.state is ClaimState.DISPATCHED and claim.dispatch == command.dispatch:
        is_same_upstream = (claim.upstream, claim.incarnation) == (
            command.upstream,
            command.incarnation,
        )
        return _claim_view(table, claim, granted=is_same_upstream)
    is_open = claim.state in (ClaimState.CLAIMED, ClaimState.DISPATCHED)
    if not is_open or command.dispatch != claim.dispatch + 1:
        return _claim_view(table, claim, granted=False)
    claim.state = ClaimState.DISPATCHED
    claim.dispatch = command.dispatch
    claim.upstream = command.upstream
    claim.incarnation = command.incarnation
    claim.expires_at_ms = table.now_ms + command.run_ms
    return _claim_view(table, claim, granted=True)


def _close(
    table: ClaimTable, claim: Claim, command: CloseClaim, settings: EffectiveSettings
) -> ClaimView:
    if claim.state is command.state:
        return _claim_view(table, claim, granted=True)
    if claim.state not in _CLOSABLE_STATES[command.state]:
        return _claim_view(table, claim, granted=False)
    claim.state = command.state
    claim.expires_at_ms = table.now_ms + claim.retention_ms
    if command.state is ClaimState.ANSWERED:
        _store_answer(table, claim, command, settings)
    return _claim_view(table, claim, granted=True)


def _store_answer(
    table: ClaimTable, claim: Claim, command: CloseClaim, settings: EffectiveSettings
) -> None:
    claim.status = command.status
    claim.content_type = command.content_type
    claim.answer_digest = command.answer_digest
    size = len(command.answer or b"")
    if table.answer_bytes + size <= settings.claim_memory_bytes:
        claim.answer = command.answer
        table.answer_bytes += size


def _claim_view(
    table: ClaimTable, claim: Claim, granted: bool, same_body: bool = True
) -> ClaimView:
    return ClaimView(
        granted,
        claim.state,
        claim.attempt,
        claim.node,
        same_body,
        max(0, claim.expires_at_ms - table.now_ms),
        claim.status,
        claim.content_type,
        claim.answer,
        claim.answer_digest,
    )
