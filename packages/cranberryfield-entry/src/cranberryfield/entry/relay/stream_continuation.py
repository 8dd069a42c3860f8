"""Whether an answer goes on with a stream that its caller has a part of."""

from dataclasses import dataclass

from cranberryfield.core.http1 import ResponseHead, find_header
from cranberryfield.core.numbers import parse_count
from cranberryfield.entry.relay.event_boundaries import CompleteEvents

__all__ = ["EventSequence", "find_foreign_bytes", "find_head_fault"]

EVENT_STREAM = "text/event-stream"
#: Number of equal differences of ids after which the next one is expected to be equal.
MIN_STEPS = 2
#: End of the head of a response. Events are separated by two newlines, and no line of
#: one ends otherwise.
_HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class EventSequence:
    """Ids of the events that a caller has received.

    Attributes
    ----------
    last_id : str or None
        Id of the last event; None before the first one.
    step : int or None
        Difference of the ids of two events in turn; None if it is not known, 0 if it
        varies.
    steps : int
        Number of times that it was found.
    """

    last_id: str | None = None
    step: int | None = None
    steps: int = 0

    def find_fault(self, events: CompleteEvents) -> str | None:
        """Return why the first events of a run do not follow the last one.

        Examples
        --------
        >>> sequence = EventSequence()
        >>> sequence.record(CompleteEvents(b"", "1", "3", 3))
        >>> sequence.find_fault(CompleteEvents(b"", "4", "4", 1))
        >>> sequence.find_fault(CompleteEvents(b"", "3", "4", 2))
        'event 3 does not follow event 3'
        >>> sequence.find_fault(CompleteEvents(b"", "5", "5", 1))
        'event 5 does not follow event 3'
        >>> sequence.find_fault(CompleteEvents(b"", None, "5", 1))
        'event without an id does not follow event 3'
        """
        if self.last_id is None:
            return None
        if events.first_id is None:
            return f"event without an id does not follow event {self.last_id}"
        last, first = parse_count(self.last_id), parse_count(events.first_id)
        if last is None or first is None:
            follows = events.first_id != self.last_id
        elif self.step and self.steps >= MIN_STEPS:
            follows = first == last + self.step
        else:
            follows = first > last
        if follows:
            return None
        return f"event {events.first_id[:20]} does not follow event {self.last_id}"

    def record(self, events: CompleteEvents) -> None:
        """Record events that are sent to the caller."""
        if events.last_id is None:
            self.step = 0
            return
        if events.first_id is not None and self.step != 0:
            before = self.last_id if self.last_id is not None else events.first_id
            count = events.count - (self.last_id is None)
            step = _step(before, events.last_id, count)
            if step is not None:
                self.step = step if self.step in (None, step) else 0
                self.steps += count
        self.last_id = events.last_id


def _step(before: str, last: str, count: int) -> int | None:
    """Return the difference of two ids in turn, 0 if it varies, None if unknown."""
    first_number, last_number = parse_count(before), parse_count(last)
    if first_number is None or last_number is None or last_number < first_number:
        return 0
    if not count:
        return None
    step, rest = divmod(last_number - first_number, count)
    return 0 if rest else step


def find_head_fault(begun: ResponseHead | None, head: ResponseHead) -> str | None:
    """Return why the head of an answer is not that of the rest of a stream.

    Parameters
    ----------
    begun : ResponseHead or None
        Head that the caller has received with the beginning; None if it has received
        that in another answer.
    head : ResponseHead
        Head of the answer, with a status of success.

    Examples
    --------
    >>> stream = ResponseHead(200, [(b"Content-Type", b"text/event-stream")])
    >>> text = ResponseHead(200, [(b"Content-Type", b"text/plain; charset=utf-8")])
    >>> find_head_fault(stream, stream)
    >>> find_head_fault(stream, text)
    'text/plain instead of the rest of the stream'
    >>> find_head_fault(None, text)
    'text/plain instead of the rest of the stream'
    """
    kind = _media_type(head)
    expected = EVENT_STREAM if begun is None else _media_type(begun)
    if kind is not None and expected is not None and kind != expected:
        return f"{kind} instead of the rest of the stream"
    coding = find_header(head.headers, b"content-encoding")
    if begun is not None and coding != find_header(begun.headers, b"content-encoding"):
        return "another content coding than the beginning of the stream"
    return None


def _media_type(head: ResponseHead) -> str | None:
    value = find_header(head.headers, b"content-type")
    return value.partition(";")[0].strip().lower() if value is not None else None


def find_foreign_bytes(events: CompleteEvents) -> str | None:
    """Return why bytes of a stream are not events.

    An upstream whose answer has no length may write the head of another one into it.
    """
    if _HEAD_END in events.data:
        return "the head of another answer within the stream"
    return None
