"""Splits a server-sent event stream at event boundaries, keeping its bytes."""

from dataclasses import dataclass

__all__ = ["CompleteEvents", "EventBoundaryBuffer"]

_SEPARATOR = b"\n\n"
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """Unmodified bytes of complete events, the id of the last one, and a count."""

    data: bytes
    last_id: str | None
    count: int


class EventBoundaryBuffer:
    r"""Buffers an event until it is complete.

    Examples
    --------
    >>> buffer = EventBoundaryBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    CompleteEvents(data=b'id: 1\ndata: a\n\n', last_id='1', count=1)
    >>> buffer.has_partial_event
    True
    """

    def __init__(self):
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, chunk: bytes) -> CompleteEvents:
        """Add a chunk of the stream; return the events that it completes."""
        data = self._partial + chunk
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._partial = data
            return CompleteEvents(b"", None, 0)
        end += len(_SEPARATOR)
        complete_events, self._partial = data[:end], data[end:]
        return CompleteEvents(
            complete_events,
            _last_id(complete_events),
            complete_events.count(_SEPARATOR),
        )


def _last_id(events: bytes) -> str | None:
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None
