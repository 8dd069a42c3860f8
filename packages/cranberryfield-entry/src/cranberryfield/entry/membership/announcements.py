"""What upstreams say of themselves over HTTP."""

from typing import Annotated

import msgspec

from cranberryfield.core.errors import CallerError, ErrorKind
from cranberryfield.core.ids import (
    DataCentre,
    Incarnation,
    ServiceName,
    UpstreamId,
)
from cranberryfield.core.messages.membership import LoadReport, UpstreamRecord
from cranberryfield.entry.membership.section import UpstreamsSection, merge_record

__all__ = ["Announcement", "Leave", "accept_announcement", "accept_leave"]

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
IpAddress = Annotated[
    str, msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
LeaseMs = Annotated[int, msgspec.Meta(ge=100, le=60_000)]
Counter = Annotated[int, msgspec.Meta(ge=0)]


class Load(msgspec.Struct, frozen=True):
    """Load as an upstream reports it; see `LoadReport`."""

    running: Counter = 0
    queued: Counter = 0
    prefill_tokens: Counter = 0


class Announcement(msgspec.Struct, frozen=True):
    """Body of ``POST /upstreams/announce``."""

    id: Name
    incarnation: Counter
    service: Name
    data_centre: Name
    address: IpAddress
    lease_ms: LeaseMs
    sequence: Counter = 0
    machine_class: Name = "standard"
    capabilities: tuple[Name, ...] = ()
    capacity: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1
    load: Load = Load()


class Leave(msgspec.Struct, frozen=True):
    """Body of ``POST /upstreams/leave``; `deadline_ms` counts from now."""

    id: Name
    incarnation: Counter
    deadline_ms: Counter = 0


def accept_announcement(
    section: UpstreamsSection, announcement: Announcement, now: float
) -> UpstreamRecord:
    """Take in what an upstream says of itself.

    Parameters
    ----------
    section : UpstreamsSection
        Changed in place.
    announcement : Announcement
        What it says.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamRecord
        What is to be passed on to other hosts.

    Raises
    ------
    CallerError
        Of kind ``stale_incarnation`` if a higher incarnation is known, or this
        one has announced that it leaves.
    """
    known = section.upstreams.get(UpstreamId(announcement.id))
    sequence = announcement.sequence
    if known is not None:
        _refuse_stale(known.record, announcement.incarnation)
        if known.record.leaving and known.record.incarnation == (
            announcement.incarnation
        ):
            raise CallerError(
                ErrorKind.STALE_INCARNATION,
                f"{announcement.id} has announced that it leaves",
            )
        if known.record.incarnation == announcement.incarnation:
            sequence = max(sequence, known.record.sequence + 1)
    load = announcement.load
    record = UpstreamRecord(
        UpstreamId(announcement.id),
        Incarnation(announcement.incarnation),
        sequence,
        ServiceName(announcement.service),
        DataCentre(announcement.data_centre),
        announcement.address,
        announcement.machine_class,
        announcement.capabilities,
        announcement.capacity,
        announcement.lease_ms,
        False,
        LoadReport(load.running, load.queued, load.prefill_tokens),
    )
    merge_record(section, record, now)
    return record


def accept_leave(
    section: UpstreamsSection, leave: Leave, now: float
) -> UpstreamRecord | None:
    """Take an upstream out of use at its own word.

    Parameters
    ----------
    section : UpstreamsSection
        Changed in place.
    leave : Leave
        What it says.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamRecord or None
        What is to be passed on; None for an upstream not known here.

    Raises
    ------
    CallerError
        Of kind ``stale_incarnation`` if a higher incarnation is known.
    """
    known = section.upstreams.get(UpstreamId(leave.id))
    if known is None:
        return None
    _refuse_stale(known.record, leave.incarnation)
    record = msgspec.structs.replace(
        known.record,
        incarnation=Incarnation(leave.incarnation),
        sequence=known.record.sequence + 1,
        leaving=True,
    )
    merge_record(section, record, now)
    return record


def _refuse_stale(known: UpstreamRecord, incarnation: int) -> None:
    if incarnation < known.incarnation:
        raise CallerError(
            ErrorKind.STALE_INCARNATION,
            f"{known.upstream} has incarnation {known.incarnation}, "
            f"higher than {incarnation}",
        )
