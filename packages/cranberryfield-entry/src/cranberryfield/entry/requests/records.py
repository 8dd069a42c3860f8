"""Records of requests: the answer so far, and who waits for more of it."""

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
    "end_of_answer",
    "end_of_error",
    "error_of_end",
]

ANSWER_DIGEST_BYTES = 16
RECORD_OVERHEAD_BYTES = 512
EVENT_STREAM = "text/event-stream"
RUN_TAG_LENGTH = 8


class RequestState(Enum):
    """Where a request stands; ``MOVED`` runs on at another host."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    MOVED = "moved"


@dataclass(frozen=True, slots=True)
class Outcome:
    """A whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


def answer_digest(outcome: Outcome) -> bytes:
    """Return the digest by which a kept answer is recognised, 16 bytes."""
    hasher = blake2b(digest_size=ANSWER_DIGEST_BYTES)
    hasher.update(f"{outcome.status} {outcome.content_type}\n".encode())
    hasher.update(outcome.body)
    return hasher.digest()


def _do_nothing(*_) -> None:
    pass


class RequestRecord:
    """The answer to one request, as far as it is known.

    Parameters
    ----------
    request : Request
        The request.

    Notes
    -----
    Events are given to callers once they are committed: at once for a request
    that no other host can take up, otherwise when another host has them too.
    Each runner of the request has an epoch, higher than that of the one
    before, and goes on after some event; events that the one before had more
    are not part of the answer.
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
        #: Host that runs the request; None for this one.
        self.runner: NodeId | None = None
        #: Whether other hosts' questions are answered from this record.
        self.is_joined = False
        #: Address of the host to which callers are sent when it takes over.
        self.moving_to: str | None = None
        #: Whether another host has taken the request, or its runner is gone,
        #: and what is to be told of it.
        self.is_lost = False
        self.on_lost: Callable[[], None] = _do_nothing
        #: Told of new events of a shared record; None commits them at once.
        self.on_progress: Callable[[RequestRecord], None] | None = None
        #: Told by how many bytes the record has grown.
        self.on_growth: Callable[[int], None] = _do_nothing
        #: Whether a caller has a part of the answer, so that it must not be
        #: begun anew.
        self.is_resumed = False
        #: Callers that wait for the answer now.
        self.callers = 0

    @property
    def request(self) -> Request:
        """The request."""
        return self._request

    @property
    def state(self) -> RequestState:
        """Where the request stands."""
        return self._state

    @property
    def run(self) -> RunId:
        """Name of the run on upstreams."""
        return self._run

    @property
    def epoch(self) -> int:
        """Number of the present runner."""
        return self._epoch

    @property
    def starts(self) -> tuple[EpochStart, ...]:
        """Where each runner after the first went on."""
        return self._starts

    @property
    def tag(self) -> str:
        """What tells this run's and epoch's events from others' in their ids."""
        return f"{self._run[:RUN_TAG_LENGTH]}.{self._epoch}"

    @property
    def events(self) -> list[bytes]:
        """Payloads of the events so far; event n is at n - 1."""
        return self._events

    @property
    def committed(self) -> int:
        """Number of events that callers may be given."""
        return self._committed

    @property
    def outcome(self) -> Outcome | None:
        """The whole answer of a plain service, once there is one."""
        return self._outcome

    @property
    def error(self) -> CranberryfieldError | None:
        """Why the request failed, if it did."""
        return self._error

    @property
    def ended_at(self) -> float | None:
        """Monotonic time in seconds of the end; None while running."""
        return self._ended_at

    @property
    def size_bytes(self) -> int:
        """Roughly how much memory the record takes, in bytes."""
        return self._size_bytes

    def continues(self, number: int, epoch: int) -> bool:
        """Say whether an event given out in an epoch is part of the answer.

        Parameters
        ----------
        number : int
            The event's number.
        epoch : int
            Epoch in which it was given out.
        """
        if epoch > self._epoch:
            return False
        return all(one.start >= number for one in self._starts if one.epoch > epoch)

    def add_events(self, payloads: list[bytes]) -> None:
        """Add events and wake all who wait for them, now or once committed."""
        self._events.extend(payloads)
        self._grow(sum(map(len, payloads)))
        if self.on_progress is None:
            self._committed = len(self._events)
            self._notify()
        else:
            self.on_progress(self)

    def commit(self, length: int) -> None:
        """Let callers have the first `length` events."""
        if length > self._committed:
            self._committed = min(length, len(self._events))
            self._notify()

    def adopt(self, copy: RecordCopy, epoch: int) -> None:
        """Go on from another host's copy, as the runner of `epoch`.

        Parameters
        ----------
        copy : RecordCopy
            The copy.
        epoch : int
            The epoch; above the copy's for a new runner.
        """
        self.replace_events(0, copy.events)
        self._run = copy.run
        self._starts = copy.starts
        if epoch > copy.epoch:
            self._starts += (EpochStart(epoch, len(copy.events)),)
        self._epoch = epoch
        self._committed = len(self._events)
        self._notify()

    def take_progress(self, item: ProgressItem) -> None:
        """Add what the runner sent, which its copies elsewhere have too."""
        self.replace_events(item.offset, item.events)
        self._epoch = item.epoch
        self._starts = item.starts
        self._committed = len(self._events)
        self._notify()

    def replace_events(self, offset: int, events: tuple[bytes, ...]) -> None:
        """Put events in the place of all those after the first `offset`."""
        self._grow(-sum(map(len, self._events[offset:])))
        del self._events[offset:]
        self._committed = min(self._committed, offset)
        self._events.extend(events)
        self._grow(sum(map(len, events)))

    def drop_uncommitted(self) -> None:
        """Forget events that no caller has been given."""
        self.replace_events(self._committed, ())

    def lose(self) -> None:
        """Say that another host has taken the request, or its runner is gone."""
        self.is_lost = True
        self.on_lost()
        self._notify()

    def to_copy(self, node: NodeId, granted: bool) -> RecordCopy:
        """Return a copy of the committed part, as another host is sent it."""
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
        """Return how the request ended, as another host is told."""
        if self._error is not None:
            return end_of_error(self._error)
        return end_of_answer(self._outcome)

    def take_end(self, now: float, end: RecordEnd) -> None:
        """End as another host says."""
        self._committed = len(self._events)
        if end.kind is not None:
            self.fail(now, error_of_end(end))
        elif end.status:
            self.finish(now, Outcome(end.status, end.content_type, end.body))
        else:
            self.finish(now)

    def finish(self, now: float, outcome: Outcome | None = None) -> None:
        """Mark the answer as whole."""
        self._state = RequestState.ANSWERED
        self._outcome = outcome
        if outcome is not None:
            self._grow(len(outcome.body))
        self._ended_at = now
        self._notify()

    def fail(self, now: float, error: CranberryfieldError) -> None:
        """Mark the request as failed for good."""
        self._state = RequestState.FAILED
        self._error = error
        self._ended_at = now
        self._notify()

    def move(self, now: float) -> None:
        """Leave the request to the host at `moving_to`."""
        self._state = RequestState.MOVED
        self._ended_at = now
        self._notify()

    def as_outcome(self) -> Outcome:
        """Return the whole answer in the form in which it can be restored."""
        if self._outcome is not None:
            return self._outcome
        return Outcome(200, EVENT_STREAM, b"\n".join(self._events))

    def restore(self, now: float, outcome: Outcome) -> None:
        """Finish with an answer that was kept by `as_outcome` elsewhere."""
        if outcome.content_type != EVENT_STREAM:
            self.finish(now, outcome)
            return
        self.add_events(outcome.body.split(b"\n") if outcome.body else [])
        self.finish(now)

    async def wait_change(self) -> None:
        """Wait until something is added or the request ends."""
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


def end_of_error(error: CranberryfieldError) -> RecordEnd:
    """Return what other hosts are told of a refusal."""
    return RecordEnd(
        error.kind.value, error.detail, error.was_run.value, error.retry_after_s
    )


def end_of_answer(outcome: Outcome | None) -> RecordEnd:
    """Return what other hosts are told of the end of a whole answer."""
    if outcome is None:
        return RecordEnd(None)
    return RecordEnd(
        None,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
    )


def error_of_end(end: RecordEnd) -> CranberryfieldError:
    """Build the refusal with which a request ended on another host."""
    return error_of_kind(
        ErrorKind(end.kind),
        end.detail,
        was_run=WasRun(end.was_run),
        retry_after_s=end.retry_after_s,
    )
