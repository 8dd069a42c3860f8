"""Splits a server-sent event stream at the borders of its events."""

from dataclasses import dataclass

__all__ = ["EventCutter", "WholeEvents"]

_SEPARATOR = b"\n\n"
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class WholeEvents:
    """Events that are complete, as they came, and the id of the last one."""

    data: bytes
    last_id: str | None
    count: int


class EventCutter:
    r"""Holds back an event until it is whole.

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
        """Whether a part of an event is held back."""
        return bool(self._rest.strip())

    def feed(self, chunk: bytes) -> WholeEvents:
        """Add what came next; return the events that are whole by it."""
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
