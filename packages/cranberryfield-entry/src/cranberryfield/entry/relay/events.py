"""Splits a server-sent event stream at event boundaries, keeping its bytes."""

from dataclasses import dataclass

__all__ = ["EventCutter", "WholeEvents"]

_SEPARATOR = b"\n\n"
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class WholeEvents:
    """Unmodified bytes of complete events, the id of the last one, and a count."""

    data: bytes
    last_id: str | None
    count: int


class EventCutter:
    r"""Buffers an event until it is complete.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    WholeEvents(data=b'id: 1\ndata: a\n\n', last_id='1', count=1)
    >>> cutter.has_rest
    True
    """

    def __init__(self):
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._rest.strip())

    def feed(self, chunk: bytes) -> WholeEvents:
        """Add a chunk of the stream; return the events that it completes."""
        data = self._rest + chunk
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._rest = data
            return WholeEvents(b"", None, 0)
        end += len(_SEPARATOR)
        whole, self._rest = data[:end], data[end:]
        return WholeEvents(whole, _last_id(whole), whole.count(_SEPARATOR))


def _last_id(events: bytes) -> str | None:
    for line in reversed(events.split(b"\n")):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return None
