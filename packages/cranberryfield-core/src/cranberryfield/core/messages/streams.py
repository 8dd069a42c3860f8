"""Messages on which software version began a stream."""

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = ["AskStreamOrigin", "ServedVersion", "StreamOriginMark", "StreamOrigins"]


class StreamOriginMark(NestedRecord):
    """What began the stream of a request.

    Attributes
    ----------
    request : bytes
        Digest of the request's id; empty if the sender only says that the version
        is in service.
    service : ServiceName
        Service that answers it.
    software_version : str
        Software version of the upstream.
    keep_ms : int
        Time for which the caller may take the stream up again, in milliseconds.
        Without a request, the time since the version was last in service.
    attempt : int
        How often the version had changed by this attempt. Of two marks of a stream
        the higher one holds.
    """

    request: bytes
    service: ServiceName
    software_version: str
    keep_ms: int
    attempt: int = 0


class ServedVersion(NestedRecord):
    """A software version that may have begun streams of a service.

    Attributes
    ----------
    software_version : str
        Software version of upstreams.
    age_ms : int
        Time since it was last in service, in milliseconds.
    is_in_service : bool
        Whether upstreams of it serve now.
    """

    software_version: str
    age_ms: int
    is_in_service: bool = False


class StreamOrigins(Message):
    """Streams that have begun, or the answer to `AskStreamOrigin`.

    Attributes
    ----------
    origins : tuple of StreamOriginMark
        The streams; in an answer one, or none if it is not known.
    versions : tuple of ServedVersion
        In an answer, the versions of the service that was asked for.
    reach_ms : int
        In an answer, the time before now for which these are complete, in
        milliseconds; negative if the sender does not say.
    control_hosts : int
        In an answer, the number of control hosts that the sender knows.
    """

    origins: tuple[StreamOriginMark, ...] = ()
    versions: tuple[ServedVersion, ...] = ()
    reach_ms: int = -1
    control_hosts: int = 0


class AskStreamOrigin(Message):
    """Asks a control host what began the stream of a request.

    Attributes
    ----------
    request : bytes
        Digest of the request's id.
    service : ServiceName
        Service whose versions are asked for; empty for none.
    """

    request: bytes
    service: ServiceName = ServiceName("")
