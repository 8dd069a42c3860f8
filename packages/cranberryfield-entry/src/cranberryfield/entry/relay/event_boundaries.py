"""Splits a server-sent event stream at event boundaries, keeping its bytes."""

from dataclasses import dataclass

__all__ = ["CompleteEvents", "EventBoundaryBuffer"]

#: Size of an incomplete event from which the stream is invalid, in bytes.
MAX_EVENT_BYTES = 1 << 19
_SEPARATOR = b"\n\n"
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """Unmodified bytes of complete events, ids of the first and last, and a count.

    Attributes
    ----------
    data : bytes
        The events.
    first_id : str or None
        Id of the first event; None if it has none.
    last_id : str or None
        Id of the last event that has one.
    count : int
        Number of events.
    """

    data: bytes
    first_id: str | None
    last_id: str | None
    count: int


class EventBoundaryBuffer:
    r"""Buffers an event until it is complete.

    Examples
    --------
    >>> buffer = EventBoundaryBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    CompleteEvents(data=b'id: 1\ndata: a\n\n', first_id='1', last_id='1', count=1)
    >>> buffer.has_partial_event
    True
    """

    def __init__(self):
        self._partial = bytearray()

    @property
    def is_overfull(self) -> bool:
        """Whether the buffered event is larger than `MAX_EVENT_BYTES`."""
        return len(self._partial) > MAX_EVENT_BYTES

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, chunk: bytes) -> CompleteEvents:
        """Add a chunk of the stream; return the events that it completes."""
        # A separator may begin with the last byte of the previous chunk.
        start = max(0, len(self._partial) - len(_SEPARATOR) + 1)
        self._partial += chunk
        end = self._partial.rfind(_SEPARATOR, start)
        if end < 0:
            return CompleteEvents(b"", None, None, 0)
        end += len(_SEPARATOR)
        complete_events = bytes(self._partial[:end])
        del self._partial[:end]
        return CompleteEvents(
            complete_events,
            _last_id(complete_events.partition(_SEPARATOR)[0]),
            _last_id(complete_events),
            complete_events.count(_SEPARATOR),
        )


def _last_id(events: bytes) -> str | None:
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None
