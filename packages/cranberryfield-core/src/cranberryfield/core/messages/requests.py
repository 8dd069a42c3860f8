"""Messages about the records of requests, between entry hosts."""

from cranberryfield.core.ids import (
    Incarnation,
    NodeId,
    RequestKey,
    RunId,
    ServiceName,
    UpstreamId,
    WorkspaceId,
)
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "CrashNoted",
    "EpochStart",
    "FindRecord",
    "FollowRecord",
    "HandOver",
    "HandedOver",
    "LeavePlace",
    "OpenRecord",
    "PlaceTaken",
    "ProgressItem",
    "ProgressTaken",
    "RecordCopy",
    "RecordEnd",
    "RecordProgress",
    "TakePlace",
    "TakeRecord",
]


class EpochStart(NestedRecord):
    """The runner of `epoch` went on after the event numbered `start`."""

    epoch: int
    start: int


class RecordEnd(NestedRecord):
    """How a request ended.

    Attributes
    ----------
    kind : str or None
        Value of the `ErrorKind`; None for a whole answer.
    detail, was_run, retry_after_s
        As in the refusal.
    status, content_type, body
        The outcome, if it is not a sequence of events.
    """

    kind: str | None
    detail: str = ""
    was_run: str = "yes"
    retry_after_s: float | None = None
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class OpenRecord(Message):
    """Asks a holder for a record; makes the sender its runner if it is new."""

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    run: RunId
    node: NodeId


class FindRecord(Message):
    """Asks a holder for a copy of a record, without any change."""

    workspace: WorkspaceId
    key: RequestKey


class TakeRecord(Message):
    """Makes `node` the runner from `epoch` on; earlier ones are refused."""

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    run: RunId
    epoch: int
    node: NodeId


class FollowRecord(Message):
    """Asks a record's runner for a copy and for all that follows."""

    workspace: WorkspaceId
    key: RequestKey
    run: RunId


class RecordCopy(Message):
    """Reply to the messages above.

    Attributes
    ----------
    granted : bool
        Whether the sender is the runner now, or follows it.
    is_known : bool
        Whether there was a record before; if not, the rest says nothing.
    digest, run, epoch, runner
        The record's body, its run and who runs it since which epoch.
    starts : tuple of EpochStart
        Where each epoch went on.
    events : tuple of bytes
        Payloads of the events so far.
    end : RecordEnd or None
        How the request ended, if it has.
    """

    granted: bool
    is_known: bool = False
    digest: bytes = b""
    run: RunId = RunId("")
    epoch: int = 0
    runner: NodeId = NodeId("")
    starts: tuple[EpochStart, ...] = ()
    events: tuple[bytes, ...] = ()
    end: RecordEnd | None = None


class CrashNoted(Message):
    """Requests that were in flight when an upstream crashed.

    Attributes
    ----------
    upstream, incarnation
        What crashed.
    fingerprints : tuple of bytes
        The requests.
    age_ms : int
        How long ago the sender noticed, in milliseconds.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    fingerprints: tuple[bytes, ...]
    age_ms: int = 0


class TakePlace(Message):
    """Asks whether a suspected request may run on an upstream.

    Attributes
    ----------
    upstream : UpstreamId
        The upstream.
    fingerprint : bytes
        The request.
    keep_ms : int
        For how long other suspects are to stay away, in milliseconds.
    """

    upstream: UpstreamId
    fingerprint: bytes
    keep_ms: int


class PlaceTaken(Message):
    """Reply to a `TakePlace`."""

    granted: bool


class LeavePlace(Message):
    """Says that other suspects may run on an upstream again."""

    upstream: UpstreamId
    fingerprint: bytes


class HandOver(Message):
    """Asks another host to go on with a request, as the sender is leaving.

    Attributes
    ----------
    workspace, key, service, method, path, content_type, body, digest, priority
        The request.
    run : RunId
        The run to go on with.
    deadline_ms : int
        Time left for the answer, in milliseconds.
    """

    workspace: WorkspaceId
    key: RequestKey
    service: ServiceName
    method: str
    path: str
    content_type: str
    body: bytes
    digest: bytes
    run: RunId
    priority: str
    deadline_ms: int


class HandedOver(Message):
    """Reply to a `HandOver`."""

    granted: bool


class ProgressItem(NestedRecord):
    """What one record has gained.

    Attributes
    ----------
    workspace, key, digest, run, epoch, runner
        The record.
    starts : tuple of EpochStart
        Where each epoch went on.
    offset : int
        Number of events before `events`.
    events : tuple of bytes
        Payloads of the new events.
    end : RecordEnd or None
        How the request ended, if it has.
    """

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    run: RunId
    epoch: int
    runner: NodeId
    starts: tuple[EpochStart, ...]
    offset: int
    events: tuple[bytes, ...]
    end: RecordEnd | None = None


class RecordProgress(Message):
    """What all records of one runner have gained since the last message."""

    items: tuple[ProgressItem, ...]


class ProgressTaken(Message):
    """Reply to a `RecordProgress`: for each item, how much is held now.

    Attributes
    ----------
    lengths : tuple of int
        Numbers of events; -1 where the record is not known up to the item's
        offset, -2 where another runner has taken it, -3 where there is no
        memory for it.
    """

    lengths: tuple[int, ...]
