"""Messages by which entry hosts share the state of upstreams and entry hosts."""

from enum import IntEnum

from cranberryfield.core.ids import (
    DataCentre,
    Incarnation,
    NodeId,
    ServiceName,
    UpstreamId,
    UpstreamProcess,
)
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = [
    "AskUpstreams",
    "BucketDigests",
    "BucketVersions",
    "FollowUpstreams",
    "ItemVersion",
    "LoadReport",
    "PeerRecord",
    "PeerState",
    "PeerUpdate",
    "Renewal",
    "RenewalUpdate",
    "UpstreamRecord",
    "UpstreamUpdate",
]


class LoadReport(NestedRecord):
    """Load as reported by an upstream.

    Attributes
    ----------
    running, queued : int
        Requests in progress and waiting.
    prefill_tokens : int
        Prompt tokens waiting to be processed.
    """

    running: int = 0
    queued: int = 0
    prefill_tokens: int = 0


class UpstreamRecord(NestedRecord):
    """One upstream's announcement.

    Versioned by (incarnation, leaving, sequence, home): within an incarnation a
    record with `leaving` set takes precedence. Lease renewals do not change the
    version.

    Attributes
    ----------
    home : NodeId
        Entry host to which the upstream sends its announcements.
    leave_ms : int
        Time between the notice and the end of a leaving upstream, in
        milliseconds.
    software_version : str
        Version of the upstream's software, not of its weights; empty if not given.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    sequence: int
    service: ServiceName
    data_centre: DataCentre
    address: str
    machine_class: str
    capabilities: tuple[str, ...]
    capacity: int
    lease_ms: int
    leaving: bool = False
    load: LoadReport = LoadReport()
    home: NodeId = NodeId("")
    leave_ms: int = 0
    software_version: str = ""

    @property
    def process(self) -> UpstreamProcess:
        """Id and incarnation, which tell starts under the same id apart."""
        return self.upstream, self.incarnation


class UpstreamUpdate(Message):
    """Announcements that the sender has newly received.

    Attributes
    ----------
    records : tuple of UpstreamRecord
        The announcements.
    ages_ms : tuple of int
        For each, time since the upstream itself was heard from, in
        milliseconds.
    silent_ms : dict
        In a reply without records, the same time for the upstreams that have been
        silent for a while.
    """

    records: tuple[UpstreamRecord, ...]
    ages_ms: tuple[int, ...]
    silent_ms: dict[UpstreamId, int] = {}


class AskUpstreams(Message):
    """Requests the table of upstreams if its digest differs from `digest`.

    Attributes
    ----------
    digest : int
        Digest of the sender's table.
    upstreams : tuple of UpstreamId
        Only these are wanted; empty for all.
    """

    digest: int
    upstreams: tuple[UpstreamId, ...] = ()


class Renewal(NestedRecord):
    """Lease renewal of an upstream; `report` is the number of its load report."""

    upstream: UpstreamId
    incarnation: Incarnation
    report: int
    load: LoadReport
    age_ms: int


class RenewalUpdate(Message):
    """Lease renewals, sent by the upstreams' home to the hosts that follow it."""

    renewals: tuple[Renewal, ...]


class FollowUpstreams(Message):
    """Subscribes to the renewals of upstreams whose home is the receiver.

    The list replaces the sender's previous one; an empty list unsubscribes.
    """

    upstreams: tuple[UpstreamId, ...]


class PeerState(IntEnum):
    """State of an entry host; of equal versions the higher value wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


class PeerRecord(NestedRecord):
    """Membership record of one entry host.

    Versioned by (incarnation, left, sequence, state). The host itself raises
    `sequence` to refute that it is suspected or dead.

    Attributes
    ----------
    mesh, callers : str
        Its addresses for other processes and for callers, ``IP:PORT``.
    """

    node: NodeId
    incarnation: Incarnation
    sequence: int
    state: PeerState
    data_centre: DataCentre
    mesh: str
    callers: str


class PeerUpdate(Message):
    """Membership records that the sender has newly received."""

    records: tuple[PeerRecord, ...]


class BucketDigests(Message):
    """Digests of the buckets of the sender's table of hosts and upstreams."""

    digests: tuple[int, ...]


class ItemVersion(NestedRecord):
    """Id of a host (``p:ID``) or upstream (``u:ID``) and a hash of its version."""

    item: str
    version: int


class BucketVersions(Message):
    """Item versions in buckets that differ; requests the newer items in return."""

    buckets: tuple[int, ...]
    versions: tuple[ItemVersion, ...]
