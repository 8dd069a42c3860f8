"""Commands of the replicated log about claims, and their results."""

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
    """Moves the log's clock on; the leader puts it before each batch.

    Attributes
    ----------
    elapsed_ms : int
        Milliseconds since the leader's last one, by its monotonic clock.
    """

    elapsed_ms: int


class OpenClaim(Message):
    """Claims the right to run a non-idempotent request once.

    Attributes
    ----------
    workspace, key : str
        Name of the request.
    digest : bytes
        Digest of the body.
    node : NodeId
        The claimer.
    session : str
        Made anew at each start of the claimer's process.
    token : str
        Unique to this try, so that a resent command is recognised.
    retention_ms : int
        How long the outcome is kept after the end, in milliseconds.
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
        As granted.
    dispatch : int
        Counts the dispatches of this attempt, from 1. The next number says
        that the dispatch before it is proved not to have run.
    upstream, incarnation
        Where the run is to start.
    run_ms : int
        Time in milliseconds after which the outcome is unknown.
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
        The answer, if it is small enough to be kept in the log.
    answer_digest : bytes
        Digest of the answer, kept or not.
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
    """Asks for a claim as it stands after all commands before this one."""

    workspace: WorkspaceId
    key: RequestKey


class RenewHolder(Message):
    """Says that a process that holds claims is alive."""

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
        Whether the sender's digest is the claim's.
    wait_ms : int
        Milliseconds after which the state changes at the latest, if the
        holder does nothing more.
    status, content_type, answer, answer_digest
        The outcome, once ANSWERED; `answer` is None if it is not kept here.
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
