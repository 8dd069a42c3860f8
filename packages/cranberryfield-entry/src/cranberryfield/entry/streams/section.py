"""Known origins of streams, and what follows from them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName
from cranberryfield.entry.registry import RegistryTable

__all__ = [
    "KnownOrigin",
    "StreamOrigin",
    "StreamOriginSection",
    "find_origin",
    "forget_ended",
    "known_versions",
    "origins_of_service",
    "record_origin",
    "resumed_origin",
]

#: Maximum number of streams whose origin is kept; the oldest make room.
MAX_ORIGINS = 50_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream; the events of another version do not fit to its own."""

    service: ServiceName
    software_version: str


@dataclass(frozen=True, slots=True)
class KnownOrigin:
    """Origin of a stream, and until when it may be taken up, monotonic, in seconds."""

    origin: StreamOrigin
    until: float


@dataclass(slots=True)
class StreamOriginSection:
    """Section of the blackboard: origins by digest of the request, oldest first."""

    origins: OrderedDict[bytes, KnownOrigin] = field(default_factory=OrderedDict)


def record_origin(
    section: StreamOriginSection, request: bytes, origin: StreamOrigin, until: float
) -> None:
    """Record what a stream is sent to; the last record before its first event holds.

    Parameters
    ----------
    section : StreamOriginSection
        Changed in place.
    request : bytes
        Digest of the request's id.
    origin : StreamOrigin
        Service and software version of the upstream.
    until : float
        Monotonic time in seconds until which the stream may be taken up.
    """
    section.origins.pop(request, None)
    section.origins[request] = KnownOrigin(origin, until)
    while len(section.origins) > MAX_ORIGINS:
        section.origins.popitem(last=False)


def find_origin(section: StreamOriginSection, request: bytes) -> StreamOrigin | None:
    """Return what began the stream of a request; None if it is not known."""
    known = section.origins.get(request)
    return known.origin if known is not None else None


def origins_of_service(
    section: StreamOriginSection, service: ServiceName, now: float
) -> dict[bytes, KnownOrigin]:
    """Return the streams of a service that may still be taken up."""
    return {
        request: known
        for request, known in section.origins.items()
        if known.origin.service == service and known.until > now
    }


def forget_ended(section: StreamOriginSection, now: float) -> None:
    """Remove streams that may not be taken up any more.

    One that is recorded later and ends sooner stays until those before it have ended.
    """
    while section.origins:
        request, known = next(iter(section.origins.items()))
        if known.until > now:
            return
        del section.origins[request]


def known_versions(table: RegistryTable, service: ServiceName) -> frozenset[str]:
    """Return the software versions of a service's upstreams, also of those leaving.

    Upstreams that have left are among them for a while, as their streams may still
    be taken up.
    """
    return frozenset(
        entry.record.software_version
        for entry in table.entries.values()
        if entry.record.service == service
    )


def resumed_origin(
    found: StreamOrigin | None, service: ServiceName, versions: Iterable[str]
) -> StreamOrigin | None:
    """Return what began a stream that a caller takes up again.

    Parameters
    ----------
    found : StreamOrigin or None
        What is known of it.
    service : ServiceName
        Service that the route of the request has now.
    versions : iterable of str
        Software versions of the upstreams of that service.

    Returns
    -------
    StreamOrigin or None
        None if it is not certain, or if the route leads to another service now, so
        that the stream must not go on. A stream of which nothing is known can only
        have begun at the one version that there is.

    Examples
    --------
    >>> begun = StreamOrigin("drafts", "v1")
    >>> resumed_origin(begun, "drafts", {"v1", "v2"}) == begun
    True
    >>> resumed_origin(begun, "other", {"v1"}) is None
    True
    >>> resumed_origin(None, "drafts", {"v1"}) == begun
    True
    >>> resumed_origin(None, "drafts", {"v1", "v2"}) is None
    True
    """
    if found is not None:
        return found if found.service == service else None
    versions = set(versions)
    return StreamOrigin(service, versions.pop()) if len(versions) == 1 else None
