"""The service and software version that began a stream, and who may go on with it."""

from collections.abc import Iterable
from dataclasses import dataclass

from cranberryfield.core.ids import ServiceName
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = ["StreamOrigin", "may_go_on"]


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream; the events of another version do not fit to its own."""

    service: ServiceName
    software_version: str


def may_go_on(
    origin: StreamOrigin | None, candidates: Iterable[UpstreamRecord]
) -> list[UpstreamRecord]:
    """Return the upstreams at which a stream may begin or go on.

    Parameters
    ----------
    origin : StreamOrigin or None
        What began the stream; None if it has not begun.
    candidates : iterable of UpstreamRecord
        Upstreams of the service of the request.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> candidates = [
    ...     SimpleNamespace(service="s", software_version=one) for one in ("v1", "v2")
    ... ]
    >>> [len(may_go_on(one, candidates)) for one in (None, StreamOrigin("s", "v2"))]
    [2, 1]
    """
    return [
        record
        for record in candidates
        if origin is None
        or (
            record.service == origin.service
            and record.software_version == origin.software_version
        )
    ]
