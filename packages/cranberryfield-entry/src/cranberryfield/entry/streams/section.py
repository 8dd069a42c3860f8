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
    """Origin of a stream.

    Attributes
    ----------
    origin : StreamOrigin
        Service and software version.
    until : float
        Monotonic time in seconds until which the stream may be taken up.
    attempt : int
        How often the version had changed by the attempt that this is known from.
    """

    origin: StreamOrigin
    until: float
    attempt: int = 0


@dataclass(slots=True)
class StreamOriginSection:
    """Section of the blackboard: origins by digest of the request, oldest first."""

    origins: OrderedDict[bytes, KnownOrigin] = field(default_factory=OrderedDict)


def record_origin(
    section: StreamOriginSection,
    request: bytes,
    origin: StreamOrigin,
    until: float,
    attempt: int = 0,
) -> None:
    """Record what a stream is sent to; the last attempt before its first event holds.

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
    attempt : int
        How often the version had changed by this attempt. A lower one than that of
        the known record is late, and is ignored.
    """
    known = section.origins.pop(request, None)
    if known is not None and known.attempt > attempt:
        section.origins[request] = known
        return
    section.origins[request] = KnownOrigin(origin, until, attempt)
    while len(section.origins) > MAX_ORIGINS:
        section.origins.popitem(last=False)


def find_origin(section: StreamOriginSection, request: bytes) -> StreamOrigin | None:
    """Return what began the stream of a request; None if it is not known."""
    known = section.origins.get(request)
    return known.origin if known is not None else None


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
    found: StreamOrigin | None,
    service: ServiceName,
    versions: Iterable[str],
    is_complete: bool,
    has_majority: bool = True,
) -> StreamOrigin | None:
    """Return what began a stream that a caller takes up again.

    Parameters
    ----------
    found : StreamOrigin or None
        What is known of it.
    service : ServiceName
        Service that the route of the request has now.
    versions : iterable of str
        Software versions that have served it for as long as a stream may be taken up.
    is_complete : bool
        Whether no other version can have served it in that time.
    has_majority : bool
        Whether a majority of the control hosts has answered. Others may not know of a
        later attempt, or that upstreams state versions now.

    Returns
    -------
    StreamOrigin or None
        None if it is not certain, or if the route leads to another service now, so
        that the stream must not go on. A stream of which nothing is known can only
        have begun at the one version that there was. Where upstreams state no
        versions, they are taken for one version.

    Examples
    --------
    >>> begun = StreamOrigin("drafts", "v1")
    >>> resumed_origin(begun, "drafts", {"v1", "v2"}, False) == begun
    True
    >>> resumed_origin(begun, "other", {"v1"}, True) is None
    True
    >>> resumed_origin(None, "drafts", {"v1"}, True) == begun
    True
    >>> resumed_origin(None, "drafts", {"v1"}, False) is None
    True
    >>> resumed_origin(None, "drafts", {"v1", "v2"}, True) is None
    True
    >>> resumed_origin(None, "drafts", {""}, False) == StreamOrigin("drafts", "")
    True
    >>> resumed_origin(begun, "drafts", {"v1"}, True, has_majority=False) is None
    True
    """
    if not has_majority:
        return None
    if found is not None:
        return found if found.service == service else None
    versions = set(versions)
    if versions == {""} or (len(versions) == 1 and is_complete):
        return StreamOrigin(service, versions.pop())
    return None
