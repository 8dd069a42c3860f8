"""Announcements that upstreams send over HTTP."""

from typing import Annotated

import msgspec

from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.ids import (
    DataCentre,
    Incarnation,
    NodeId,
    ServiceName,
    UpstreamId,
)
from cranberryfield.core.messages.membership import (
    LoadReport,
    Renewal,
    UpstreamRecord,
)
from cranberryfield.entry.membership.upstreams import (
    KnownUpstream,
    UpstreamsSection,
    has_lease,
    merge_renewal,
    merge_upstream,
)

__all__ = [
    "AcceptedAnnouncement",
    "Announcement",
    "LeaseView",
    "LeaveRequest",
    "accept_announcement",
    "accept_leave",
]

#: Longest lease granted. It bounds how long a partitioned entry host keeps using
#: an upstream that it no longer hears from.
MAX_LEASE_MS = 2000

Identifier = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
IpEndpoint = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
LeaseMs = Annotated[int, msgspec.Meta(ge=100, le=60_000)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class AnnouncedLoad(msgspec.Struct, frozen=True):
    """Load in an announcement; see `LoadReport`."""

    running: NonNegativeInt = 0
    queued: NonNegativeInt = 0
    prefill_tokens: NonNegativeInt = 0


class Announcement(msgspec.Struct, frozen=True):
    """Body of ``POST /upstreams/announce``."""

    id: Identifier
    incarnation: NonNegativeInt
    service: Identifier
    data_centre: Identifier
    address: IpEndpoint
    lease_ms: LeaseMs
    sequence: NonNegativeInt = 0
    machine_class: Identifier = "standard"
    capabilities: tuple[Identifier, ...] = ()
    capacity: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1
    load: AnnouncedLoad = AnnouncedLoad()


class LeaveRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /upstreams/leave``.

    Attributes
    ----------
    deadline_ms : int
        Time from the request until the upstream stops, in milliseconds.
    """

    id: Identifier
    incarnation: NonNegativeInt
    deadline_ms: NonNegativeInt = 0


class LeaseView(msgspec.Struct):
    """Response to an announcement: the granted lease duration."""

    lease_ms: int


class AcceptedAnnouncement(msgspec.Struct, frozen=True):
    """Result of an accepted announcement.

    Attributes
    ----------
    lease_ms : int
        Duration of the granted lease, in milliseconds.
    renewal : Renewal
        Renewal to send to all hosts that follow the upstream.
    record : UpstreamRecord or None
        Record to gossip to all hosts; None if only the load changed.
    """

    lease_ms: int
    renewal: Renewal
    record: UpstreamRecord | None


def accept_announcement(
    section: UpstreamsSection,
    announcement: Announcement,
    own: NodeId,
    live_homes: frozenset[NodeId],
    now: float,
) -> AcceptedAnnouncement:
    """Apply an upstream's announcement to the table.

    The entry host that receives an upstream's first announcement becomes its
    home. Another host takes over when the home is not alive, the lease has
    expired, or the host receives two consecutive announcements.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams, modified in place.
    announcement : Announcement
        The announcement.
    own : NodeId
        This node.
    live_homes : frozenset of NodeId
        Entry hosts considered alive.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    AcceptedAnnouncement
        Granted lease and the updates to send to other hosts.

    Raises
    ------
    CallerError
        Of kind ``stale_incarnation`` if a higher incarnation is known or this
        incarnation has already announced that it is leaving.
    """
    known = section.upstreams.get(UpstreamId(announcement.id))
    if known is not None:
        _reject_stale(known.record, announcement.incarnation)
        if known.record.leaving and known.record.incarnation == (
            announcement.incarnation
        ):
            raise CallerError(
                ErrorKind.STALE_INCARNATION,
                f"{announcement.id} has already announced that it is leaving",
            )
    record = _record_from(announcement, own, LoadReport(*_load_fields(announcement)))
    report = announcement.sequence
    changed: UpstreamRecord | None = record
    if known is not None and known.record.incarnation == announcement.incarnation:
        report = max(report, known.report + 1)
        home = known.record.home
        if not _becomes_home(known, own, live_homes, report, now):
            record = msgspec.structs.replace(record, home=home)
        changed = _next_version(known.record, record)
    if changed is not None:
        merge_upstream(section, changed, now)
    renewal = Renewal(
        record.upstream, record.incarnation, max(report, 1), record.load, 0
    )
    merge_renewal(section, renewal, now)
    section.upstreams[record.upstream].reported_directly = True
    return AcceptedAnnouncement(record.lease_ms, renewal, changed)


def _load_fields(announcement: Announcement) -> tuple[int, int, int]:
    load = announcement.load
    return (load.running, load.queued, load.prefill_tokens)


def _record_from(
    announcement: Announcement, home: NodeId, load: LoadReport
) -> UpstreamRecord:
    return UpstreamRecord(
        UpstreamId(announcement.id),
        Incarnation(announcement.incarnation),
        0,
        ServiceName(announcement.service),
        DataCentre(announcement.data_centre),
        announcement.address,
        announcement.machine_class,
        announcement.capabilities,
        announcement.capacity,
        min(announcement.lease_ms, MAX_LEASE_MS),
        False,
        load,
        home,
    )


def _becomes_home(
    known: KnownUpstream,
    own: NodeId,
    live_homes: frozenset[NodeId],
    report: int,
    now: float,
) -> bool:
    home = known.record.home
    if home == own or home not in live_homes or not has_lease(known, now):
        return True
    return known.reported_directly and report == known.report + 1


def _next_version(
    known: UpstreamRecord, record: UpstreamRecord
) -> UpstreamRecord | None:
    is_unchanged = msgspec.structs.replace(
        known, sequence=record.sequence, load=record.load
    ) == msgspec.structs.replace(record)
    if is_unchanged:
        return None
    return msgspec.structs.replace(record, sequence=known.sequence + 1)


def accept_leave(
    section: UpstreamsSection, leave: LeaveRequest, own: NodeId, now: float
) -> UpstreamRecord:
    """Mark an upstream as leaving at its own request.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams, modified in place.
    leave : LeaveRequest
        The request.
    own : NodeId
        This node.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamRecord
        Record to gossip. For an upstream unknown to this node, a tombstone
        that takes precedence over any later record of the same incarnation.

    Raises
    ------
    CallerError
        Of kind ``stale_incarnation`` if a higher incarnation is known.
    """
    known = section.upstreams.get(UpstreamId(leave.id))
    if known is None:
        record = _departure_record(leave, own)
    else:
        _reject_stale(known.record, leave.incarnation)
        record = msgspec.structs.replace(
            known.record,
            incarnation=Incarnation(leave.incarnation),
            sequence=known.record.sequence + 1,
            leaving=True,
            leave_ms=leave.deadline_ms,
        )
    merge_upstream(section, record, now)
    return record


def _departure_record(leave: LeaveRequest, own: NodeId) -> UpstreamRecord:
    return UpstreamRecord(
        UpstreamId(leave.id),
        Incarnation(leave.incarnation),
        0,
        ServiceName(""),
        DataCentre(""),
        "",
        "",
        (),
        1,
        0,
        leaving=True,
        home=own,
    )


def _reject_stale(known: UpstreamRecord, incarnation: int) -> None:
    if incarnation < known.incarnation:
        raise CallerError(
            ErrorKind.STALE_INCARNATION,
            f"{known.upstream} has incarnation {known.incarnation}, "
            f"higher than {incarnation}",
        )
