"""In-memory records of requests and their answers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

import anyio

from cranberryfield.core.errors import (
    CranberryfieldError,
    ErrorKind,
    WasRun,
    error_of_kind,
)
from cranberryfield.core.ids import NodeId, RunId
from cranberryfield.core.messages.requests import (
    EpochStart,
    ProgressItem,
    RecordCopy,
    RecordEnd,
)
from cranberryfield.entry.requests.request import Request

__all__ = [
    "EVENT_STREAM",
    "Outcome",
    "RequestRecord",
    "RequestState",
    "answer_digest",
    "error_from_end",
    "error_to_end",
    "outcome_to_end",
]

ANSWER_DIGEST_BYTES = 16
RECORD_OVERHEAD_BYTES = 512
EVENT_STREAM = "text/event-stream"
RUN_PREFIX_LENGTH = 8


class RequestState(Enum):
    """State of a request; ``MOVED`` means that it continues on another host."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


def answer_digest(outcome: Outcome) -> bytes:
    """Return a 16-byte digest that identifies a stored answer."""
    hasher = blake2b(digest_size=ANSWER_DIGEST_BYTES)
    hasher.update(f"{outcome.status} {outcome.content_type}\n".encode())
    hasher.update(outcome.body)
    return hasher.digest()


def _ignore_event(*_) -> None:
    pass


class RequestRecord:
    """State of one request and the part of its answer received so far.

    Parameters
    ----------
    request : Request
        The request.

    Notes
    -----
    Events are sent to callers once they are committed: at once for a request
    that no other host can take over, otherwise when another host has them too.
    Each runner of the request has an epoch, higher than that of its
    predecessor, and continues after some event; any later events of the
    predecessor are not part of the answer.
    """

    def __init__(self, request: Request):
        self._request = request
        self._state = RequestState.RUNNING
        self._run = request.run
        self._epoch = 0
        self._starts: tuple[EpochStart, ...] = ()
        self._events: list[bytes] = []
        self._committed = 0
        self._outcome: Outcome | None = None
        self._error: CranberryfieldError | None = None
        self._changed: anyio.Event | None = None
        self._ended_at: float | None = None
        self._size_bytes = RECORD_OVERHEAD_BYTES + len(request.body)
        #: Host that runs the request; None if it is this one.
        self.runner: NodeId | None = None
        #: Whether queries of other hosts are answered from this record.
        self.is_coordinated = False
        #: Address of the host that takes over; callers are redirected to it.
        self.successor_address: str | None = None
        #: Whether another host has taken over the request, or its host is gone.
        self.is_lost = False
        #: Called when `is_lost` becomes true.
        self.on_lost: Callable[[], None] = _ignore_event
        #: Called on new events of a replicated record; None commits them at once.
        self.on_progress: Callable[[RequestRecord], None] | None = None
        #: Called with the change of the record's size in bytes.
        self.on_growth: Callable[[int], None] = _ignore_event
        #: Whether a caller may have part of the answer, so that the request
        #: must not restart from the beginning.
        self.is_partly_delivered = False
        #: Number of callers waiting for the answer.
        self.callers = 0

    @property
    def request(self) -> Request:
        """Request that the record belongs to."""
        return self._request

    @property
    def state(self) -> RequestState:
        """State of the request."""
        return self._state

    @property
    def run(self) -> RunId:
        """Identifier of the run on upstreams."""
        return self._run

    @property
    def epoch(self) -> int:
        """Epoch of the current runner."""
        return self._epoch

    @property
    def starts(self) -> tuple[EpochStart, ...]:
        """Epoch of each runner after the first and the event it continued after."""
        return self._starts

    @property
    def event_tag(self) -> str:
        """Tag of the run and epoch in event ids."""
        return f"{self._run[:RUN_PREFIX_LENGTH]}.{self._epoch}"

    @property
    def events(self) -> list[bytes]:
        """Payloads of the events so far; event n is at index n - 1."""
        return self._events

    @property
    def committed(self) -> int:
        """Number of events that may be sent to callers."""
        return self._committed

    @property
    def outcome(self) -> Outcome | None:
        """Complete answer of a plain service, or None."""
        return self._outcome

    @property
    def error(self) -> CranberryfieldError | None:
        """Error with which the request failed, or None."""
        return self._error

    @property
    def ended_at(self) -> float | None:
        """Monotonic time in seconds of the end; None while running."""
        return self._ended_at

    @property
    def size_bytes(self) -> int:
        """Approximate memory use of the record, in bytes."""
        return self._size_bytes

    def contains_event(self, number: int, epoch: int) -> bool:
        """Return whether an event sent in an earlier epoch is part of the answer.

        Parameters
        ----------
        number : int
            Number of the event.
        epoch : int
            Epoch in which it was sent.
        """
        if epoch > self._epoch:
            return False
        return all(one.start >= number for one in self._starts if one.epoch > epoch)

    def add_events(self, payloads: list[bytes]) -> None:
        """Append events; waiters are woken once the events are committed."""
        self._events.extend(payloads)
        self._grow(sum(map(len, payloads)))
        if self.on_progress is None:
            self._committed = len(self._events)
            self._notify()
        else:
            self.on_progress(self)

    def commit(self, length: int) -> None:
        """Allow the first `length` events to be sent to callers."""
        if length > self._committed:
            self._committed = min(length, len(self._events))
            self._notify()

    def replace_with_copy(self, copy: RecordCopy, epoch: int) -> None:
        """Replace the contents by another host's copy, as runner of `epoch`.

        Parameters
        ----------
        copy : RecordCopy
            Copy from another host.
        epoch : int
            Epoch to continue in; higher than the copy's for a new runner.
        """
        self.replace_events(0, copy.events)
        self._run = copy.run
        self._starts = copy.starts
        if epoch > copy.epoch:
            self._starts += (EpochStart(epoch, len(copy.events)),)
        self._epoch = epoch
        self._committed = len(self._events)
        self._notify()

    def apply_progress(self, item: ProgressItem) -> None:
        """Apply progress that the runner has replicated."""
        self.replace_events(item.offset, item.events)
        self._epoch = item.epoch
        self._starts = item.starts
        self._committed = len(self._events)
        self._notify()

    def replace_events(self, offset: int, events: tuple[bytes, ...]) -> None:
        """Replace all events after the first `offset`."""
        self._grow(-sum(map(len, self._events[offset:])))
        del self._events[offset:]
        self._committed = min(self._committed, offset)
        self._events.extend(events)
        self._grow(sum(map(len, events)))

    def discard_uncommitted(self) -> None:
        """Remove events that have not been committed."""
        self.replace_events(self._committed, ())

    def mark_lost(self) -> None:
        """Mark the record as taken over by another host, or its runner as gone."""
        self.is_lost = True
        self.on_lost()
        self._notify()

    def to_copy(self, node: NodeId, granted: bool) -> RecordCopy:
        """Return the committed part as a message for another host."""
        return RecordCopy(
            granted,
            True,
            self._request.digest,
            self._run,
            self._epoch,
            self.runner or node,
            self._starts,
            tuple(self._events[: self._committed]),
            self.to_end() if self._state is not RequestState.RUNNING else None,
        )

    def to_end(self) -> RecordEnd:
        """Return the end of the request as a message for other hosts."""
        if self._error is not None:
            return error_to_end(self._error)
        return outcome_to_end(self._outcome)

    def apply_end(self, now: float, end: RecordEnd) -> None:
        """End the request as another host reported."""
        self._committed = len(self._events)
        if end.kind is not None:
            self.fail(now, error_from_end(end))
        elif end.status:
            self.finish(now, Outcome(end.status, end.content_type, end.body))
        else:
            self.finish(now)

    def finish(self, now: float, outcome: Outcome | None = None) -> None:
        """Mark the answer as complete."""
        self._state = RequestState.ANSWERED
        self._outcome = outcome
        if outcome is not None:
            self._grow(len(outcome.body))
        self._ended_at = now
        self._notify()

    def fail(self, now: float, error: CranberryfieldError) -> None:
        """Mark the request as failed."""
        self._state = RequestState.FAILED
        self._error = error
        self._ended_at = now
        self._notify()

    def mark_moved(self, now: float) -> None:
        """Mark the request as moved to the host at `successor_address`."""
        self._state = RequestState.MOVED
        self._ended_at = now
        self._notify()

    def to_outcome(self) -> Outcome:
        """Return the complete answer in the form that `restore` accepts."""
        if self._outcome is not None:
            return self._outcome
        return Outcome(200, EVENT_STREAM, b"\n".join(self._events))

    def restore(self, now: float, outcome: Outcome) -> None:
        """Finish with an answer from `to_outcome`, possibly of another host."""
        if outcome.content_type != EVENT_STREAM:
            self.finish(now, outcome)
            return
        self.add_events(outcome.body.split(b"\n") if outcome.body else [])
        self.finish(now)

    async def wait_for_change(self) -> None:
        """Wait until events are committed or the state changes."""
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    def _grow(self, size: int) -> None:
        self._size_bytes += size
        self.on_growth(size)

    def _notify(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None


def error_to_end(error: CranberryfieldError) -> RecordEnd:
    """Return a `RecordEnd` for an error."""
    return RecordEnd(
        error.kind.value, error.detail, error.was_run.value, error.retry_after_s
    )


def outcome_to_end(outcome: Outcome | None) -> RecordEnd:
    """Return a `RecordEnd` for a complete answer."""
    if outcome is None:
        return RecordEnd(None)
    return RecordEnd(
        None,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
    )


def error_from_end(end: RecordEnd) -> CranberryfieldError:
    """Return the error with which a request ended on another host."""
    return error_of_kind(
        ErrorKind(end.kind),
        end.detail,
        was_run=WasRun(end.was_run),
        retry_after_s=end.retry_after_s,
    )
