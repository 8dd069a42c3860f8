"""Messages by which entry hosts replicate the records of requests."""

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
    """Start of an epoch: its runner continues after event number `start`."""

    epoch: int
    start: int


class RecordEnd(NestedRecord):
    """Outcome of a request.

    Attributes
    ----------
    kind : str or None
        Value of the `ErrorKind`; None for a complete answer.
    detail, was_run, retry_after_s
        Attributes of the error.
    status, content_type, body
        The answer, if it is not a sequence of events.
    """

    kind: str | None
    detail: str = ""
    was_run: str = "yes"
    retry_after_s: float | None = None
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class OpenRecord(Message):
    """Opens a record at a holder; makes the sender its runner if it is new."""

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    run: RunId
    node: NodeId


class FindRecord(Message):
    """Requests a copy of a record from a holder without changing the record."""

    workspace: WorkspaceId
    key: RequestKey


class TakeRecord(Message):
    """Makes `node` the runner from `epoch` on; earlier runners are refused."""

    workspace: WorkspaceId
    key: RequestKey
    digest: bytes
    run: RunId
    epoch: int
    node: NodeId


class FollowRecord(Message):
    """Requests a copy of a record and its later progress from the record's runner."""

    workspace: WorkspaceId
    key: RequestKey
    run: RunId


class RecordCopy(Message):
    """Reply to `OpenRecord`, `FindRecord`, `TakeRecord` and `FollowRecord`.

    Attributes
    ----------
    granted : bool
        Whether the requesting host is now the runner, or follows it.
    is_known : bool
        Whether the record existed before; if not, the remaining fields have no
        meaning.
    digest, run, epoch, runner
        Digest of the request body, the run, the current epoch and its runner.
    starts : tuple of EpochStart
        Start of each epoch.
    events : tuple of bytes
        Payloads of the events so far.
    end : RecordEnd or None
        Outcome of the request, if it has ended.
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
        The upstream process that crashed.
    fingerprints : tuple of bytes
        Fingerprints of the requests.
    age_ms : int
        Time since the sender detected the crash, in milliseconds.
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
        Fingerprint of the request.
    reservation_ms : int
        Time for which no other suspected request may run on the upstream, in
        milliseconds.
    """

    upstream: UpstreamId
    fingerprint: bytes
    reservation_ms: int


class PlaceTaken(Message):
    """Reply to a `TakePlace`."""

    granted: bool


class LeavePlace(Message):
    """Allows other suspected requests to run on an upstream again."""

    upstream: UpstreamId
    fingerprint: bytes


class HandOver(Message):
    """Asks another host to continue a request because the sender is leaving.

    Attributes
    ----------
    workspace, key, service, method, path, content_type, body, digest, priority
        The request.
    run : RunId
        The run to continue.
    deadline_ms : int
        Remaining time for the answer, in milliseconds.
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
    """Progress of one record.

    Attributes
    ----------
    workspace, key, digest, run, epoch, runner
        The record.
    starts : tuple of EpochStart
        Start of each epoch.
    offset : int
        Number of events before `events`.
    events : tuple of bytes
        Payloads of the new events.
    end : RecordEnd or None
        Outcome of the request, if it has ended.
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
    """Progress of all records of one runner since its previous message."""

    items: tuple[ProgressItem, ...]


class ProgressTaken(Message):
    """Reply to a `RecordProgress`, with the number of events stored per item.

    Attributes
    ----------
    lengths : tuple of int
        For each item, the number of events that the holder stores. -1 if it
        lacks the events before the item's offset, -2 if another host is the
        runner, -3 if there is not enough memory.
    """

    lengths: tuple[int, ...]
