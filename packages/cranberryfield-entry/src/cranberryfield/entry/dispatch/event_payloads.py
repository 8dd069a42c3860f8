"""Extracts payloads from a server-sent event stream without decoding their JSON."""

__all__ = ["DONE_PAYLOAD", "EventPayloadParser"]

DONE_PAYLOAD = b"[DONE]"
_SEPARATOR = b"\n\n"
_DATA = b"data:"


class EventPayloadParser:
    r"""Buffers chunks of a stream and returns the payloads of complete events.

    Examples
    --------
    >>> parser = EventPayloadParser()
    >>> parser.feed(b"data: 1\n\nda")
    [b'1']
    >>> parser.feed(b"ta: 2\n\n")
    [b'2']
    """

    def __init__(self):
        self._partial = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Add a chunk of the stream.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the stream.

        Returns
        -------
        list of bytes
            Payloads of the events that the chunk completes.
        """
        *events, self._partial = (self._partial + chunk).split(_SEPARATOR)
        return [
            line[len(_DATA) :].strip()
            for event in events
            for line in event.split(b"\n")
            if line.startswith(_DATA)
        ]
