"""The table of upstreams and how two views of it are merged."""

from dataclasses import dataclass, field

import msgspec
import xxhash

from cranberryfield.core.ids import NodeId, ServiceName, UpstreamId
from cranberryfield.core.messages.membership import Renewal, UpstreamRecord
from cranberryfield.entry.membership.stability import (
    STEADY,
    Stability,
    after_return,
    is_suppressed,
)

__all__ = [
    "FORGET_UPSTREAM_S",
    "KnownUpstream",
    "UpstreamsSection",
    "expire_upstreams",
    "forget_upstreams",
    "fresh_upstreams",
    "has_lease",
    "merge_record",
    "merge_renewal",
    "usable_upstreams",
]

MS_PER_S = 1000
#: The home of an upstream that has been silent for this time says so to all.
EXPIRE_S = 10.0
#: Upstreams that are gone are forgotten after this time, in seconds.
FORGET_UPSTREAM_S = 600.0


@dataclass(slots=True)
class KnownUpstream:
    """One upstream as this node knows it.

    Attributes
    ----------
    record : UpstreamRecord
        Its latest announcement, with the latest load heard.
    heard_at : float
        Monotonic time in seconds at which the upstream itself was heard, by
        this node or by the one that passed the announcement on.
    report : int
        Number of its latest report of load.
    heard_here : bool
        Whether that report came to this node from the upstream itself.
    stability : Stability
        How often it has gone and returned of late.
    affinity : int
        Hash of its id, for choices that are the same on all nodes.
    """

    record: UpstreamRecord
    heard_at: float
    report: int = 0
    heard_here: bool = False
    stability: Stability = STEADY

    affinity: int = field(init=False)

    def __post_init__(self):
        self.affinity = xxhash.xxh64_intdigest(self.record.upstream.encode())

    def lease_ends_at(self) -> float:
        """Return the monotonic time in seconds at which the lease runs out."""
        return self.heard_at + self.record.lease_ms / MS_PER_S


@dataclass(slots=True)
class UpstreamsSection:
    """Section of the blackboard: every upstream heard of.

    Attributes
    ----------
    upstreams : dict
        All of them.
    followed : dict
        Those of each service whose renewals this node receives.
    """

    upstreams: dict[UpstreamId, KnownUpstream] = field(default_factory=dict)
    followed: dict[ServiceName, tuple[UpstreamId, ...]] = field(default_factory=dict)


def _version(record: UpstreamRecord) -> tuple[int, bool, int, str]:
    return (record.incarnation, record.leaving, record.sequence, record.home)


def has_lease(known: KnownUpstream, now: float) -> bool:
    """Say whether an upstream is not leaving and its lease has not run out."""
    return not known.record.leaving and now < known.lease_ends_at()


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
    if known is None:
        section.upstreams[record.upstream] = KnownUpstream(record, heard_at)
        return True
    if _version(known.record) >= _version(record):
        if _version(known.record) == _version(record):
            known.heard_at = max(known.heard_at, heard_at)
        return False
    if record.incarnation == known.record.incarnation:
        if not record.leaving:
            heard_at = max(heard_at, known.heard_at)
        known.record, known.heard_at = record, heard_at
        return True
    known.stability = after_return(known.stability, heard_at)
    known.record, known.heard_at, known.report = record, heard_at, 0
    return True


def merge_renewal(section: UpstreamsSection, renewal: Renewal, now: float) -> bool:
    """Take in a renewed lease.

    Parameters
    ----------
    section : UpstreamsSection
        Changed in place.
    renewal : Renewal
        Ignored for an unknown upstream, another incarnation, one that is
        leaving, or a report that is not newer.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether it was newer.
    """
    known = section.upstreams.get(renewal.upstream)
    if (
        known is None
        or known.record.leaving
        or known.record.incarnation != renewal.incarnation
        or renewal.report <= known.report
    ):
        return False
    heard_at = now - renewal.age_ms / MS_PER_S
    if known.report and not has_lease(known, heard_at):
        known.stability = after_return(known.stability, now)
    known.report = renewal.report
    known.heard_here = False
    known.heard_at = max(known.heard_at, heard_at)
    known.record = msgspec.structs.replace(known.record, load=renewal.load)
    return True


def expire_upstreams(
    section: UpstreamsSection, home: NodeId, now: float
) -> list[UpstreamRecord]:
    """End the leases of upstreams at home here that have long been silent.

    Parameters
    ----------
    section : UpstreamsSection
        Changed in place.
    home : NodeId
        This node.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of UpstreamRecord
        What is to be passed on.
    """
    expired = []
    for known in section.upstreams.values():
        record = known.record
        if (
            record.home == home
            and record.lease_ms
            and not record.leaving
            and now >= known.heard_at + EXPIRE_S
        ):
            known.record = msgspec.structs.replace(
                record, sequence=record.sequence + 1, lease_ms=0
            )
            expired.append(known.record)
    return expired


def forget_upstreams(
    section: UpstreamsSection, live_homes: frozenset[NodeId], now: float
) -> list[UpstreamId]:
    """Drop upstreams that have been gone for long; return their ids.

    Parameters
    ----------
    section : UpstreamsSection
        Changed in place.
    live_homes : frozenset of NodeId
        Entry hosts held to be alive. What is at home there and has a lease
        is kept, since this node may not follow its renewals.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of UpstreamId
        What was dropped.
    """
    gone = [
        upstream
        for upstream, known in section.upstreams.items()
        if now >= known.heard_at + FORGET_UPSTREAM_S
        and (
            known.record.leaving
            or not known.record.lease_ms
            or known.record.home not in live_homes
        )
    ]
    for upstream in gone:
        del section.upstreams[upstream]
    return gone


def fresh_upstreams(
    section: UpstreamsSection, service: ServiceName, now: float
) -> list[KnownUpstream]:
    """Return the upstreams of a service that have a lease.

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
        Those with a lease that has not run out and that are not leaving, of
        the followed ones if any of them is left.
    """
    upstreams = section.upstreams
    followed = section.followed.get(service, ())
    fresh = []
    for known in map(upstreams.get, followed):
        if known is None or known.record.leaving:
            continue
        if now < known.heard_at + known.record.lease_ms / MS_PER_S:
            fresh.append(known)
    if fresh:
        return fresh
    return [
        known
        for known in upstreams.values()
        if known.record.service == service and has_lease(known, now)
    ]


def usable_upstreams(fresh: list[KnownUpstream], now: float) -> list[KnownUpstream]:
    """Leave out upstreams that failed lately or come and go, if others remain.

    Parameters
    ----------
    fresh : list of KnownUpstream
        Upstreams with a lease.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of KnownUpstream
        All of `fresh` if there is no better one among them.
    """
    steady = [
        one
        for one in fresh
        if one.stability is STEADY or not is_suppressed(one.stability, now)
    ]
    return steady or fresh
