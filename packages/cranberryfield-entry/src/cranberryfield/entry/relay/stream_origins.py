"""Which upstreams may go on with a stream, by what began it."""

from collections.abc import Iterable
from random import Random

import structlog

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

MS_PER_S = 1000

#: Bounds of the time after which control hosts may be asked again, in seconds.
UNANSWERED_RETRY_S = (0.3, 0.7)

logger = structlog.get_logger(__name__)


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
    service = request.service
    longest_s = request.route.timeout_ms / MS_PER_S
    versions = known_versions(table, service)
    # This host may not know yet that upstreams state versions.
    answer = await directory.find(request.first_request or "", service, longest_s)
    found, evidence = answer.origin, answer.evidence
    origin = None
    if not answer.is_contradicted:
        origin = resumed_origin(
            found,
            service,
            versions | evidence.versions,
            evidence.is_complete,
            evidence.has_majority or evidence.is_alone,
        )
    may_learn = False
    if origin is None and found is not None and evidence.has_majority:
        detail = f"the stream was begun by {found.service}, which the route has left"
    elif origin is None:
        detail = "the software version that began the stream is not known"
        logger.info(
            "origin of a stream not known",
            first_request=request.first_request,
            versions=sorted(versions | evidence.versions),
            has_majority=evidence.has_majority,
            is_complete=evidence.is_complete,
            is_contradicted=answer.is_contradicted,
        )
        # Control hosts that have not answered, or told of no upstream yet, may do so
        # soon; else coming back is no use.
        is_only = len(versions | evidence.versions) == 1
        may_learn = not versions or (
            not evidence.has_majority and bool(is_only or request.first_request)
        )
    elif origin.software_version in evidence.in_service - versions:
        detail = "upstreams of the version that began the stream are not known yet"
        may_learn = True
    else:
        return origin
    raise UnavailableError(
        ErrorKind.NO_UPSTREAM,
        detail,
        was_run=WasRun.NO,
        retry_after_s=rng.uniform(*UNANSWERED_RETRY_S) if may_learn else None,
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
