"""Records of requests: the answer so far, and who waits for more of it."""

from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b

import anyio

from cranberryfield.core.errors import (
    CallerError,
    CranberryfieldError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import RequestKey, WorkspaceId
from cranberryfield.entry.requests.request import Request

__all__ = [
    "Outcome",
    "RecordsSection",
    "RequestRecord",
    "RequestState",
    "answer_digest",
]

ANSWER_DIGEST_BYTES = 16
RECORD_OVERHEAD_BYTES = 512
EVENT_STREAM = "text/event-stream"


class RequestState(Enum):
    """Where a request stands."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"


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


class RequestRecord:
    """The answer to one request, as far as it is known.

    Parameters
    ----------
    request : Request
        The request.
    """

    def __init__(self, request: Request):
        self._request = request
        self._state = RequestState.RUNNING
        self._events: list[bytes] = []
        self._outcome: Outcome | None = None
        self._error: CranberryfieldError | None = None
        self._changed = anyio.Event()
        self._ended_at: float | None = None

    @property
    def request(self) -> Request:
        """The request."""
        return self._request

    @property
    def state(self) -> RequestState:
        """Where the request stands."""
        return self._state

    @property
    def events(self) -> list[bytes]:
        """Payloads of the answer's events so far; event n is at n - 1."""
        return self._events

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

    def size_bytes(self) -> int:
        """Return roughly how much memory the record takes, in bytes."""
        answer = len(self._outcome.body) if self._outcome else 0
        events = sum(len(event) for event in self._events)
        return RECORD_OVERHEAD_BYTES + len(self._request.body) + answer + events

    def add_events(self, payloads: list[bytes]) -> None:
        """Add events and wake all who wait for them."""
        self._events.extend(payloads)
        self._notify()

    def finish(self, now: float, outcome: Outcome | None = None) -> None:
        """Mark the answer as whole."""
        self._state = RequestState.ANSWERED
        self._outcome = outcome
        self._ended_at = now
        self._notify()

    def fail(self, now: float, error: CranberryfieldError) -> None:
        """Mark the request as failed for good."""
        self._state = RequestState.FAILED
        self._error = error
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
        self._events = outcome.body.split(b"\n") if outcome.body else []
        self.finish(now)

    async def wait_change(self) -> None:
        """Wait until something is added or the request ends."""
        await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


RecordName = tuple[WorkspaceId, RequestKey]


@dataclass(slots=True)
class RecordsSection:
    """Section of the blackboard: the records held by this node."""

    records: dict[RecordName, RequestRecord] = field(default_factory=dict)

    def open(self, request: Request, now: float) -> tuple[RequestRecord, bool]:
        """Return the request's record, a new one if there is none.

        Parameters
        ----------
        request : Request
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        record : RequestRecord
            Its record.
        is_new : bool
            Whether the request has to be run.

        Raises
        ------
        CallerError
            Of kind ``key_reused`` if the key stands for another body.
        UnavailableError
            Of kind ``records_full`` if there is no memory for one more.
        """
        name = (request.workspace, request.key)
        known = self.records.get(name)
        if known is not None:
            if known.request.digest != request.digest:
                raise CallerError(
                    ErrorKind.KEY_REUSED, "the key stands for another request"
                )
            if not _may_run_again(known):
                return known, False
        self._make_room(request, now)
        record = self.records[name] = RequestRecord(request)
        return record, True

    def _make_room(self, request: Request, now: float) -> None:
        retention_s = request.settings.retention_ms / 1000
        expired = [
            name
            for name, record in self.records.items()
            if record.ended_at is not None and record.ended_at + retention_s < now
        ]
        for name in expired:
            del self.records[name]
        used = sum(record.size_bytes() for record in self.records.values())
        if used + len(request.body) > request.settings.record_memory_bytes:
            raise UnavailableError(
                ErrorKind.RECORDS_FULL,
                "no memory for one more request record",
                was_run=WasRun.UNKNOWN if request.has_caller_key else WasRun.NO,
                retry_after_s=1.0,
            )


def _may_run_again(record: RequestRecord) -> bool:
    if record.state is not RequestState.FAILED:
        return False
    # What stands under a non-idempotent key is for the log to say.
    return record.error.answer.retry or not record.request.idempotent
