"""Commands of the replicated log that manage claims, and their results."""

from enum import Enum

from cranberryfield.core.ids import (
    Incarnation,
    NodeId,
    RequestKey,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.base import Message

__all__ = [
    "AdvanceClock",
    "ClaimState",
    "ClaimView",
    "CloseClaim",
    "FindClaim",
    "HolderRenewed",
    "OpenClaim",
    "RecordDispatch",
    "RenewHolder",
]


class ClaimState(Enum):
    """States of a non-idempotent request's claim."""

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


class AdvanceClock(Message):
    """Advances the log's clock; the leader prepends it to each batch.

    Attributes
    ----------
    elapsed_ms : int
        Milliseconds since the leader's previous `AdvanceClock`, by its
        monotonic clock.
    """

    elapsed_ms: int


class OpenClaim(Message):
    """Claims the right to run a non-idempotent request once.

    Attributes
    ----------
    workspace, key : str
        Identity of the request.
    digest : bytes
        Digest of the request body.
    node : NodeId
        Node that makes the claim.
    session : str
        Id of the claiming process, generated at each of its starts.
    token : str
        Unique id of this command, by which a resend is recognised.
    retention_ms : int
        Time for which the outcome is retained after the end, in milliseconds.
    """

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    node: NodeId
    session: str
    token: str
    retention_ms: int


class RecordDispatch(Message):
    """Moves a claim to DISPATCHED; the run may start once this is committed.

    Attributes
    ----------
    attempt, token
        Attempt number and token of the granted claim.
    dispatch : int
        Number of this dispatch within the attempt, from 1. A higher number
        states that the previous dispatch is proven not to have run.
    upstream, incarnation
        Upstream process on which the run is to start.
    run_ms : int
        Time in milliseconds after which the outcome counts as unknown.
    """

    workspace: WorkspaceId
    key: RequestKey
    attempt: int
    token: str
    dispatch: int
    upstream: UpstreamId
    incarnation: Incarnation
    run_ms: int


class CloseClaim(Message):
    """Records the end of an attempt.

    Attributes
    ----------
    state : ClaimState
        ANSWERED, UNKNOWN or RELEASED.
    status : int
        HTTP status of the answer.
    content_type : str
        Media type of the answer.
    answer : bytes
        The answer, if it is small enough to be stored in the log.
    answer_digest : bytes
        Digest of the answer, whether stored or not.
    """

    workspace: WorkspaceId
    key: RequestKey
    attempt: int
    token: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None
    answer_digest: bytes = b""


class FindClaim(Message):
    """Reads the state of a claim after all preceding commands."""

    workspace: WorkspaceId
    key: RequestKey


class RenewHolder(Message):
    """Renews the lease of a process that holds claims."""

    node: NodeId
    session: str


class HolderRenewed(Message):
    """Result of a `RenewHolder`."""


class ClaimView(Message):
    """Result of a claim command.

    Attributes
    ----------
    granted : bool
        Whether the command took effect for its sender.
    state : ClaimState
        The claim's state after the command.
    attempt : int
        The claim's attempt number.
    node : NodeId
        The claim's holder.
    same_body : bool
        Whether the sender's body digest equals the claim's.
    wait_ms : int
        Longest time in milliseconds until the state changes if the holder
        sends no further command.
    status, content_type, answer, answer_digest
        The outcome, once ANSWERED; `answer` is None if it is not stored.
    """

    granted: bool
    state: ClaimState
    attempt: int
    node: NodeId
    same_body: bool = True
    wait_ms: int = 0
    status: int = 0
    content_type: str = ""
    answer: bytes | None = None
    answer_digest: bytes = b""
