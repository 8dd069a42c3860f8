"""Table of claims, and the transitions of claims at timeouts."""

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

__all__ = [
    "Claim",
    "ClaimTable",
    "HolderLease",
    "apply_timeouts",
    "remove_claim",
    "sweep_claims",
]

SWEEP_INTERVAL_MS = 30_000
#: Claims that one command checks; bounds the time of each command.
SWEEP_CLAIMS = 16


class Claim(msgspec.Struct, array_like=True):
    """Claim of one non-idempotent request.

    Attributes
    ----------
    digest : bytes
        Digest of the request body.
    state : ClaimState
        State of the request.
    attempt : int
        Number of times that the request was claimed. A command of an older
        attempt has no effect.
    node, session : str
        Node and session of the process that holds the claim. A restart begins
        a new session.
    token : str
        Token of the holder for this attempt.
    retention_ms : int
        Time for which the outcome is retained, in milliseconds.
    expires_at_ms : int
        Log time at which the state times out: an undispatched claim is
        released, the outcome of a dispatched request becomes unknown, or an
        outcome is removed.
    dispatch : int
        Number of dispatches recorded in this attempt.
    upstream, incarnation
        Upstream of the last dispatch, and its incarnation.
    status, content_type, answer, answer_digest
        The response, in state ANSWERED. `answer` is None if it did not fit
        into the memory for answers.
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


class HolderLease(msgspec.Struct, array_like=True):
    """Lease of a process that holds claims, until `expires_at_ms` of log time."""

    session: str
    expires_at_ms: int


class ClaimTable(msgspec.Struct, array_like=True):
    """All claims, by workspace and key.

    Attributes
    ----------
    claims : dict
        The claims.
    count : int
        Number of claims.
    answer_bytes : int
        Total size of the stored answers, in bytes.
    now_ms : int
        The log's clock, in milliseconds.
    next_sweep_ms : int
        Log time at which the next sweep over all claims starts.
    to_sweep : list
        Claims that the current sweep has yet to check.
    holders : dict
        Leases of the processes that hold claims.
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
    holders: dict[NodeId, HolderLease] = msgspec.field(default_factory=dict)
    expired: ExpiredKeys = msgspec.field(default_factory=ExpiredKeys)


def apply_timeouts(
    table: ClaimTable, workspace: WorkspaceId, key: RequestKey
) -> Claim | None:
    """Apply to one claim the timeouts that have passed.

    Parameters
    ----------
    table : ClaimTable
        Changed in place.
    workspace, key : str
        Workspace and key of the request.

    Returns
    -------
    Claim or None
        The updated claim; None if there is none, or if it was removed.
    """
    claim = table.claims.get(workspace, {}).get(key)
    if claim is None:
        return None
    if claim.state is ClaimState.DISPATCHED and _has_timed_out(table, claim):
        claim.state = ClaimState.UNKNOWN
        claim.expires_at_ms = table.now_ms + claim.retention_ms
    if claim.state is ClaimState.CLAIMED and _has_timed_out(table, claim):
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


def _has_timed_out(table: ClaimTable, claim: Claim) -> bool:
    holder = table.holders.get(claim.node)
    is_holder_lost = (
        holder is None
        or holder.session != claim.session
        or holder.expires_at_ms <= table.now_ms
    )
    return is_holder_lost or claim.expires_at_ms <= table.now_ms


def remove_claim(table: ClaimTable, workspace: WorkspaceId, key: RequestKey) -> None:
    """Remove a claim from the table."""
    keys = table.claims[workspace]
    claim = keys.pop(key)
    if not keys:
        del table.claims[workspace]
    table.count -= 1
    table.answer_bytes -= len(claim.answer or b"")


def sweep_claims(table: ClaimTable) -> None:
    """Apply timeouts to a few claims; repeated calls cover the whole table.

    Parameters
    ----------
    table : ClaimTable
        Changed in place. A sweep starts every `SWEEP_INTERVAL_MS` of log time.
    """
    if not table.to_sweep and table.now_ms >= table.next_sweep_ms:
        table.next_sweep_ms = table.now_ms + SWEEP_INTERVAL_MS
        _start_sweep(table)
    for _ in range(min(SWEEP_CLAIMS, len(table.to_sweep))):
        apply_timeouts(table, *table.to_sweep.pop())


def _start_sweep(table: ClaimTable) -> None:
    table.to_sweep = [
        (workspace, key) for workspace, keys in table.claims.items() for key in keys
    ]
    expired_nodes = [
        node
        for node, holder in table.holders.items()
        if holder.expires_at_ms <= table.now_ms
    ]
    for node in expired_nodes:
        del table.holders[node]
