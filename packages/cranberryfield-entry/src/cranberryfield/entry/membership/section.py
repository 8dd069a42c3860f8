"""The table of upstreams and how two views of it are merged."""

from dataclasses import dataclass, field

from cranberryfield.core.ids import ServiceName, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = [
    "KnownUpstream",
    "UpstreamsSection",
    "fresh_upstreams",
    "merge_record",
]

MS_PER_S = 1000


@dataclass(slots=True)
class KnownUpstream:
    """One upstream as this node knows it.

    Attributes
    ----------
    record : UpstreamRecord
        Its latest announcement.
    heard_at : float
        Monotonic time in seconds at which the upstream itself was heard, by
        this node or by the one that passed the announcement on.
    """

    record: UpstreamRecord
    heard_at: float

    def lease_ends_at(self) -> float:
        """Return the monotonic time in seconds at which the lease runs out."""
        return self.heard_at + self.record.lease_ms / MS_PER_S


@dataclass(slots=True)
class UpstreamsSection:
    """Section of the blackboard: every upstream heard of."""

    upstreams: dict[UpstreamId, KnownUpstream] = field(default_factory=dict)


def _version(record: UpstreamRecord) -> tuple[int, bool, int]:
    return (record.incarnation, record.leaving, record.sequence)


def merge_record(
    section: UpstreamsSection, record: UpstreamRecord, heard_at: float
) -> bool:
    """Take in an announcement if it is newer than the one known.

    Parameters
    ----------
    section : UpstreamsSection
        Changed in place.
    record : UpstreamRecord
        The announcement. Within an incarnation, leaving wins.
    heard_at : float
        Monotonic time in seconds at which the upstream itself was heard.

    Returns
    -------
    bool
        Whether anything changed, so that it should be passed on.
    """
    known = section.upstreams.get(record.upstream)
    if known is not None and _version(known.record) >= _version(record):
        return False
    section.upstreams[record.upstream] = KnownUpstream(record, heard_at)
    return True


def fresh_upstreams(
    section: UpstreamsSection, service: ServiceName, now: float
) -> list[KnownUpstream]:
    """Return the upstreams of a service that may be given new work.

    Parameters
    ----------
    section : UpstreamsSection
        The table.
    service : ServiceName
        The service.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of KnownUpstream
        Those with a lease that has not run out and that are not leaving.
    """
    return [
        known
        for known in section.upstreams.values()
        if known.record.service == service
        and not known.record.leaving
        and now < known.lease_ends_at()
    ]
