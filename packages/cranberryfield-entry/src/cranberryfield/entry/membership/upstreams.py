"""Table of upstreams and the rules for merging two views of it."""

from dataclasses import dataclass, field

import msgspec
import xxhash

from cranberryfield.core.ids import NodeId, ServiceName, UpstreamId
from cranberryfield.core.messages.membership import Renewal, UpstreamRecord
from cranberryfield.entry.membership.stability import (
    STABLE,
    Stability,
    after_return,
    is_suppressed,
)

__all__ = [
    "FORGET_UPSTREAM_AFTER_S",
    "KnownUpstream",
    "UpstreamsSection",
    "expire_upstreams",
    "forget_upstreams",
    "has_lease",
    "leased_upstreams",
    "merge_renewal",
    "merge_upstream",
    "preferred_upstreams",
]

MS_PER_S = 1000
#: Time without reports after which an upstream's home ends its lease on all
#: entry hosts, in seconds.
EXPIRE_AFTER_S = 10.0
#: Time after which upstreams that are gone are removed, in seconds.
FORGET_UPSTREAM_AFTER_S = 600.0


@dataclass(slots=True)
class KnownUpstream:
    """Upstream as known to this node.

    Attributes
    ----------
    record : UpstreamRecord
        Latest announcement, with the latest reported load.
    heard_at : float
        Monotonic time in seconds of the latest contact with the upstream
        itself, by this node or by the node that relayed the announcement.
    report : int
        Number of the latest load report.
    reported_directly : bool
        Whether the upstream sent that report directly to this node.
    stability : Stability
        Recent failures and returns.
    id_hash : int
        Hash of the upstream's id, for choices that are the same on all nodes.
    """

    record: UpstreamRecord
    heard_at: float
    report: int = 0
    reported_directly: bool = False
    stability: Stability = STABLE

    id_hash: int = field(init=False)

    def __post_init__(self):
        self.id_hash = xxhash.xxh64_intdigest(self.record.upstream.encode())

    def lease_ends_at(self) -> float:
        """Return the monotonic time in seconds at which the lease expires."""
        return self.heard_at + self.record.lease_ms / MS_PER_S


@dataclass(slots=True)
class UpstreamsSection:
    """Blackboard section: all known upstreams.

    Attributes
    ----------
    upstreams : dict
        Known upstreams by id.
    followed : dict
        For each service, the upstreams whose renewals this node receives.
    """

    upstreams: dict[UpstreamId, KnownUpstream] = field(default_factory=dict)
    followed: dict[ServiceName, tuple[UpstreamId, ...]] = field(default_factory=dict)


def _version_key(record: UpstreamRecord) -> tuple[int, bool, int, str]:
    return (record.incarnation, record.leaving, record.sequence, record.home)


def has_lease(known: KnownUpstream, now: float) -> bool:
    """Return whether an upstream has an unexpired lease and is not leaving."""
    return not known.record.leaving and now < known.lease_ends_at()


def merge_upstream(
    section: UpstreamsSection, record: UpstreamRecord, heard_at: float
) -> bool:
    """Merge an announcement if it is newer than the known one.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams, modified in place.
    record : UpstreamRecord
        The announcement. Within an incarnation, leaving takes precedence.
    heard_at : float
        Monotonic time in seconds of the contact with the upstream itself.

    Returns
    -------
    bool
        Whether the record was newer and must be gossiped.
    """
    known = section.upstreams.get(record.upstream)
    if known is None:
        section.upstreams[record.upstream] = KnownUpstream(record, heard_at)
        return True
    if _version_key(known.record) >= _version_key(record):
        if _version_key(known.record) == _version_key(record):
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
    """Apply a lease renewal.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams, modified in place.
    renewal : Renewal
        Ignored if the upstream is unknown or leaving, the incarnation differs,
        or the report is not newer.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    bool
        Whether the renewal was applied.
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
    known.reported_directly = False
    known.heard_at = max(known.heard_at, heard_at)
    known.record = msgspec.structs.replace(known.record, load=renewal.load)
    return True


def expire_upstreams(
    section: UpstreamsSection, home: NodeId, now: float
) -> list[UpstreamRecord]:
    """End the leases of upstreams that no longer report to this home host.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams, modified in place.
    home : NodeId
        This node.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of UpstreamRecord
        Changed records to gossip.
    """
    expired = []
    for known in section.upstreams.values():
        record = known.record
        if (
            record.home == home
            and record.lease_ms
            and not record.leaving
            and now >= known.heard_at + EXPIRE_AFTER_S
        ):
            known.record = msgspec.structs.replace(
                record, sequence=record.sequence + 1, lease_ms=0
            )
            expired.append(known.record)
    return expired


def forget_upstreams(
    section: UpstreamsSection, live_homes: frozenset[NodeId], now: float
) -> list[UpstreamId]:
    """Remove upstreams that have long been gone.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams, modified in place.
    live_homes : frozenset of NodeId
        Entry hosts considered alive. Upstreams with a lease and a live home
        are retained, since this node may not receive their renewals.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of UpstreamId
        Removed upstreams.
    """
    gone = [
        upstream
        for upstream, known in section.upstreams.items()
        if now >= known.heard_at + FORGET_UPSTREAM_AFTER_S
        and (
            known.record.leaving
            or not known.record.lease_ms
            or known.record.home not in live_homes
        )
    ]
    for upstream in gone:
        del section.upstreams[upstream]
    return gone


def leased_upstreams(
    section: UpstreamsSection, service: ServiceName, now: float
) -> list[KnownUpstream]:
    """Return the upstreams of a service that have a valid lease.

    Parameters
    ----------
    section : UpstreamsSection
        Table of upstreams.
    service : ServiceName
        The service.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of KnownUpstream
        Upstreams with an unexpired lease that are not leaving: the followed
        ones if any qualify, otherwise all.
    """
    upstreams = section.upstreams
    followed = section.followed.get(service, ())
    leased = []
    for known in map(upstreams.get, followed):
        if known is None or known.record.leaving:
            continue
        if now < known.heard_at + known.record.lease_ms / MS_PER_S:
            leased.append(known)
    if leased:
        return leased
    return [
        known
        for known in upstreams.values()
        if known.record.service == service and has_lease(known, now)
    ]


def preferred_upstreams(leased: list[KnownUpstream], now: float) -> list[KnownUpstream]:
    """Exclude suppressed upstreams unless all of them are suppressed.

    Parameters
    ----------
    leased : list of KnownUpstream
        Upstreams with a valid lease.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    list of KnownUpstream
        Upstreams without recent failures or flapping, or all of `leased` if
        there are none.
    """
    preferred = [
        one
        for one in leased
        if one.stability is STABLE or not is_suppressed(one.stability, now)
    ]
    return preferred or leased
