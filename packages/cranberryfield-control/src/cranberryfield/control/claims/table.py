"""The table of claims and how time changes it."""

import msgspec

from cranberryfield.control.claims.expired import ExpiredKeys, add_expired
from cranberryfield.core.ids import (
    Incarnation,
    NodeId,
    RequestKey,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.claims import ClaimState

__all__ = ["Claim", "ClaimTable", "Holder", "remove_claim", "settle_claim", "sweep"]

SWEEP_INTERVAL_MS = 30_000
#: Claims that one command settles, so that no single one takes long.
SWEEP_CLAIMS = 16


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
    node, session : str
        The claimer and its start.
    token : str
        The claimer's token for this attempt.
    retention_ms : int
        How long the outcome is kept, in milliseconds.
    expires_at_ms : int
        Log time at which the state ends: a claim may be taken over, the
        outcome of a run becomes unknown, or an outcome is forgotten.
    dispatch : int
        Number of dispatches recorded in this attempt.
    upstream, incarnation
        Where it was dispatched last.
    status, content_type, answer, answer_digest
        The outcome, once ANSWERED; `answer` is None if it is not kept here.
    """

    digest: bytes
    state: ClaimState
    attempt: int
    node: NodeId
    session: str
    token: str
    retention_ms: int
    expires_at_ms: int
    dispatch: int = 0
    upstream: UpstreamId | None = None
    incarnation: Incarnation | None = None
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None
    answer_digest: bytes = b""


class Holder(msgspec.Struct, array_like=True):
    """A process that holds claims, alive until `expires_at_ms` of log time."""

    session: str
    expires_at_ms: int


class ClaimTable(msgspec.Struct, array_like=True):
    """All claims, by workspace and key.

    Attributes
    ----------
    claims : dict
        The claims.
    count : int
        Their number.
    answer_bytes : int
        Size of the kept answers together, in bytes.
    now_ms : int
        The log's clock, in milliseconds.
    next_sweep_ms : int
        Log time of the next pass over all claims.
    to_sweep : list
        Names of the claims that the present pass has still to settle.
    holders : dict
        Processes that hold claims.
    expired : ExpiredKeys
        Keys that may not be used again.
    """

    claims: dict[WorkspaceId, dict[RequestKey, Claim]] = msgspec.field(
        default_factory=dict
    )
    count: int = 0
    answer_bytes: int = 0
    now_ms: int = 0
    next_sweep_ms: int = 0
    to_sweep: list[tuple[WorkspaceId, RequestKey]] = msgspec.field(default_factory=list)
    holders: dict[NodeId, Holder] = msgspec.field(default_factory=dict)
    expired: ExpiredKeys = msgspec.field(default_factory=ExpiredKeys)


def settle_claim(
    table: ClaimTable, workspace: WorkspaceId, key: RequestKey
) -> Claim | None:
    """Apply the passing of time to one claim.

    Parameters
    ----------
    table : ClaimTable
        Changed in place.
    workspace, key : str
        Name of the request.

    Returns
    -------
    Claim or None
        The claim as it stands now; None if there is none any more.
    """
    claim = table.claims.get(workspace, {}).get(key)
    if claim is None:
        return None
    if claim.state is ClaimState.DISPATCHED and _is_over(table, claim):
        claim.state = ClaimState.UNKNOWN
        claim.expires_at_ms = table.now_ms + claim.retention_ms
    if claim.state is ClaimState.CLAIMED and _is_over(table, claim):
        claim.state = ClaimState.RELEASED
        claim.expires_at_ms = table.now_ms + claim.retention_ms
    if claim.state in (ClaimState.CLAIMED, ClaimState.DISPATCHED):
        return claim
    if table.now_ms < claim.expires_at_ms:
        return claim
    if claim.state is not ClaimState.RELEASED:
        add_expired(table.expired, workspace, key)
    remove_claim(table, workspace, key)
    return None


def _is_over(table: ClaimTable, claim: Claim) -> bool:
    holder = table.holders.get(claim.node)
    is_gone = (
        holder is None
        or holder.session != claim.session
        or holder.expires_at_ms <= table.now_ms
    )
    return is_gone or claim.expires_at_ms <= table.now_ms


def remove_claim(table: ClaimTable, workspace: WorkspaceId, key: RequestKey) -> None:
    """Forget a claim."""
    keys = table.claims[workspace]
    claim = keys.pop(key)
    if not keys:
        del table.claims[workspace]
    table.count -= 1
    table.answer_bytes -= len(claim.answer or b"")


def sweep(table: ClaimTable) -> None:
    """Apply the passing of time to a few claims; over many calls, to all.

    Parameters
    ----------
    table : ClaimTable
        Changed in place. A pass over all claims begins every 30 s of log time.
    """
    if not table.to_sweep and table.now_ms >= table.next_sweep_ms:
        table.next_sweep_ms = table.now_ms + SWEEP_INTERVAL_MS
        _begin_sweep(table)
    for _ in range(min(SWEEP_CLAIMS, len(table.to_sweep))):
        settle_claim(table, *table.to_sweep.pop())


def _begin_sweep(table: ClaimTable) -> None:
    table.to_sweep = [
        (workspace, key) for workspace, keys in table.claims.items() for key in keys
    ]
    gone = [
        node
        for node, holder in table.holders.items()
        if holder.expires_at_ms <= table.now_ms
    ]
    for node in gone:
        del table.holders[node]
