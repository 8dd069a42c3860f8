"""Messages on which software version began a stream."""

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = ["AskStreamOrigin", "StreamOriginMark", "StreamOrigins"]


class StreamOriginMark(NestedRecord):
    """What began the stream of a request.

    Attributes
    ----------
    request : bytes
        Digest of the request's id.
    service : ServiceName
        Service that answers it.
    software_version : str
        Software version of the upstream.
    keep_ms : int
        Time for which the caller may take the stream up again, in milliseconds.
    """

    request: bytes
    service: ServiceName
    software_version: str
    keep_ms: int


class StreamOrigins(Message):
    """Streams that have begun, or the answer to `AskStreamOrigin`.

    Attributes
    ----------
    origins : tuple of StreamOriginMark
        The streams; in an answer one, or none if it is not known.
    """

    origins: tuple[StreamOriginMark, ...] = ()


class AskStreamOrigin(Message):
    """Asks a control host what began the stream of a request.

    Attributes
    ----------
    request : bytes
        Digest of the request's id.
    """

    request: bytes
