"""How an attempt on an upstream ended, and what its caller has got of the response."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum

from cranberryfield.core.http1 import Response, ResponseHead
from cranberryfield.entry.relay.request import ResponseMetadata
from cranberryfield.entry.relay.stream_continuation import EventSequence

__all__ = [
    "SERVER_ERRORS",
    "SUCCESS_STATUSES",
    "RelayAttemptOutcome",
    "RelayAttemptResult",
    "StreamProgress",
]

SUCCESS_STATUSES = range(200, 300)
#: Statuses of upstream failures that may be temporary.
SERVER_ERRORS = range(500, 600)


class RelayAttemptOutcome(Enum):
    """How an attempt ended."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    ANSWERED = "answered"
    STREAMED = "streamed"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class RelayAttemptResult:
    """Result of one attempt.

    Attributes
    ----------
    outcome : RelayAttemptOutcome
        How the attempt ended.
    detail : str
        Explanation for the log.
    response : Response or None
        The complete response, if the attempt ended as ``ANSWERED``.
    metadata : ResponseMetadata or None
        Metadata from the response headers.
    connection_lost : bool
        Whether the connection ended during the attempt.
    had_answered : bool
        Whether the upstream had begun its answer before that.
    """

    outcome: RelayAttemptOutcome
    detail: str = ""
    response: Response | None = None
    metadata: ResponseMetadata | None = None
    connection_lost: bool = False
    had_answered: bool = False


@dataclass(slots=True)
class StreamProgress:
    """Part of a streamed response that has been sent to the caller.

    Attributes
    ----------
    send_head : callable
        Sends the response head; called once, before the first event.
    send_events : callable
        Sends complete events.
    may_keep : callable
        Returns whether a number of bytes of a response may be kept until it is whole.
    head : ResponseHead or None
        Head that was sent; None if none was.
    is_stream : bool
        Whether events follow that head. Else it is a body that is passed on as it
        arrives, with which no other answer can go on.
    sequence : EventSequence
        Ids of the events that the caller has, of this answer or of an earlier one.
    events_sent : int
        Events sent.
    last_sent_at : float or None
        Monotonic time in seconds at which events were last sent.
    longest_pause_s : float
        Longest time between two sends, in seconds.
    """

    send_head: Callable[[ResponseHead], Awaitable[None]]
    send_events: Callable[[bytes], Awaitable[None]]
    may_keep: Callable[[int], bool] = lambda size: True
    head: ResponseHead | None = None
    is_stream: bool = False
    sequence: EventSequence = field(default_factory=EventSequence)
    events_sent: int = 0
    last_sent_at: float | None = None
    longest_pause_s: float = 0.0

    @property
    def is_head_sent(self) -> bool:
        """Whether the response has begun."""
        return self.head is not None

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event that the caller has; None if it has none."""
        return self.sequence.last_id

    def record_sent(self, count: int, now: float) -> None:
        """Count sent events and update the longest pause."""
        self.events_sent += count
        if self.last_sent_at is not None:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_sent_at)
        self.last_sent_at = now
