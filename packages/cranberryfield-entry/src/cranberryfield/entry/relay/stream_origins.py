"""Which upstreams may go on with a stream, by what began it."""

from collections.abc import Iterable
from random import Random

from cranberryfield.core.errors import ErrorKind, UnavailableError, WasRun
from cranberryfield.core.messages.membership import UpstreamRecord
from cranberryfield.entry.registry import RegistryTable
from cranberryfield.entry.relay.request import RelayRequest
from cranberryfield.entry.streams import (
    StreamDirectory,
    StreamOrigin,
    known_versions,
    resumed_origin,
)

__all__ = ["find_resumed_origin", "may_go_on"]

#: Bounds of the time after which control hosts may be asked again, in seconds.
UNANSWERED_RETRY_S = (0.3, 0.7)


async def find_resumed_origin(
    directory: StreamDirectory,
    table: RegistryTable,
    request: RelayRequest,
    rng: Random,
) -> StreamOrigin:
    """Return what began the stream that a caller takes up again.

    Parameters
    ----------
    directory : StreamDirectory
        Knows, or asks others, what began it.
    table : RegistryTable
        Announced upstreams.
    request : RelayRequest
        The request, with the id of the last event that its caller received.
    rng : random.Random
        Spreads the refused callers.

    Raises
    ------
    UnavailableError
        Of kind ``no_upstream`` if the stream must not go on, since it is not known
        what began it, or since the route leads to another service now.
    """
    found, was_answered = None, True
    if request.first_request:
        answer = await directory.find(request.first_request)
        found, was_answered = answer.origin, answer.was_answered
    versions = known_versions(table, request.service)
    origin = resumed_origin(found, request.service, versions)
    if origin is not None:
        return origin
    if found is not None:
        detail = f"the stream was begun by {found.service}, which the route has left"
    else:
        detail = "the software version that began the stream is not known"
    # Control hosts that have not answered, or told of no upstream yet, may do so soon;
    # else coming back is no use.
    is_final = was_answered and bool(versions)
    raise UnavailableError(
        ErrorKind.NO_UPSTREAM,
        detail,
        was_run=WasRun.NO,
        retry_after_s=None if is_final else rng.uniform(*UNANSWERED_RETRY_S),
    )


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
