"""Commands of the replicated log and their results."""

from enum import Enum

from cranberryfield.core.ids import (
    ChangeId,
    Incarnation,
    NodeId,
    RequestKey,
    Revision,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.base import Message, NestedRecord
from cranberryfield.core.settings.schema import SettingValue
from cranberryfield.core.settings.tree import LevelState

__all__ = [
    "AdoptSettings",
    "ChangeSettings",
    "ClaimState",
    "ClaimView",
    "CloseClaim",
    "LevelEdit",
    "Noop",
    "OpenClaim",
    "ProposalRedirected",
    "Propose",
    "RecordDispatch",
    "RecordHosts",
    "Refused",
    "SettingsAccepted",
]


class Noop(Message):
    """First entry of a new leader; commits all before it."""


class LevelEdit(NestedRecord):
    """What a change does to one level.

    Attributes
    ----------
    level : str
        Name of the level.
    expected_revision : int or None
        Revision the level must have; 0 for a level that must not exist; None
        for any.
    set_values : dict
        Values to set.
    unset : tuple of str
        Values to remove.
    """

    level: str
    expected_revision: int | None
    set_values: dict[str, SettingValue]
    unset: tuple[str, ...] = ()


class ChangeSettings(Message):
    """Changes one or more levels together, or nothing.

    Attributes
    ----------
    change_id : ChangeId
        A resend under the same id gets the first result.
    author : str
        Who asked, for the history.
    edits : tuple of LevelEdit
        The changes.
    """

    change_id: ChangeId
    author: str
    edits: tuple[LevelEdit, ...]


class SettingsAccepted(Message):
    """Result of a `ChangeSettings` that took effect."""

    revision: Revision


class AdoptSettings(Message):
    """Takes over a tree that the nodes have and a replaced group lost.

    Attributes
    ----------
    revision : Revision
        Revision of the tree; without effect unless higher than the group's.
    levels : dict
        The whole tree.
    """

    revision: Revision
    levels: dict[str, LevelState]


class RecordHosts(Message):
    """Notes which entry hosts must have every settings change.

    Attributes
    ----------
    added, removed : tuple of NodeId
        Hosts that began to follow, and hosts that are gone for good.
    """

    added: tuple[NodeId, ...]
    removed: tuple[NodeId, ...] = ()


class ClaimState(Enum):
    """States of a non-idempotent request's claim."""

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


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
    token : str
        Unique to this try, so that a resent command is recognised.
    take_over : bool
        Whether a claim that has not been dispatched may be taken from its
        holder.
    """

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    node: NodeId
    token: str
    take_over: bool = False


class RecordDispatch(Message):
    """Moves a claim to DISPATCHED; the run may start once this is committed."""

    workspace: WorkspaceId
    key: RequestKey
    attempt: int
    token: str
    upstream: UpstreamId
    incarnation: Incarnation


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
        The kept answer.
    """

    workspace: WorkspaceId
    key: RequestKey
    attempt: int
    token: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


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
    status, content_type, answer
        The kept answer, once ANSWERED.
    """

    granted: bool
    state: ClaimState
    attempt: int
    node: NodeId
    same_body: bool = True
    status: int = 0
    content_type: str = ""
    answer: bytes = b""


class Refused(Message):
    """Result of a command that changed nothing.

    Attributes
    ----------
    kind : str
        Value of the `ErrorKind`.
    detail : str
        One sentence for a person.
    """

    kind: str
    detail: str


class Propose(Message):
    """Asks a control host to put a command through the log."""

    command: bytes


class ProposalRedirected(Message):
    """The asked control host is not the leader; `leader` is, if known."""

    leader: NodeId | None
