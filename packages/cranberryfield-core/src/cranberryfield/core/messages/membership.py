"""Messages about upstreams and entry hosts, between entry hosts."""

from enum import IntEnum

from cranberryfield.core.ids import (
    DataCentre,
    Incarnation,
    NodeId,
    ServiceName,
    UpstreamId,
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
    """What an upstream said of its load.

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

    Versioned by (incarnation, leaving, sequence, home): within an incarnation
    leaving wins. Renewals of the lease leave the version as it is.

    Attributes
    ----------
    home : NodeId
        Entry host at which the upstream announces itself.
    leave_ms : int
        For one that leaves, time from its notice to its end, in milliseconds.
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


class UpstreamUpdate(Message):
    """Announcements that the sender has newly heard of.

    Attributes
    ----------
    records : tuple of UpstreamRecord
        The announcements.
    ages_ms : tuple of int
        For each, how long ago the upstream itself was heard, in milliseconds.
    """

    records: tuple[UpstreamRecord, ...]
    ages_ms: tuple[int, ...]


class AskUpstreams(Message):
    """Asks for the table of upstreams if its digest is another one."""

    digest: int


class Renewal(NestedRecord):
    """An upstream renewed its lease; `report` numbers its reports of load."""

    upstream: UpstreamId
    incarnation: Incarnation
    report: int
    load: LoadReport
    age_ms: int


class RenewalUpdate(Message):
    """Renewals, from an upstream's home to the hosts that follow it."""

    renewals: tuple[Renewal, ...]


class FollowUpstreams(Message):
    """Names all upstreams at home here whose renewals the sender wants."""

    upstreams: tuple[UpstreamId, ...]


class PeerState(IntEnum):
    """What is known of an entry host; of equal versions the higher wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


class PeerRecord(NestedRecord):
    """One entry host.

    Versioned by (incarnation, left, sequence, state). The host itself raises
    `sequence` to refute that it is suspected or dead.

    Attributes
    ----------
    mesh, callers : str
        Its addresses, ``IP:PORT``.
    """

    node: NodeId
    incarnation: Incarnation
    sequence: int
    state: PeerState
    data_centre: DataCentre
    mesh: str
    callers: str


class PeerUpdate(Message):
    """Entry hosts of which the sender has newly heard."""

    records: tuple[PeerRecord, ...]


class BucketDigests(Message):
    """Digest of each bucket of the sender's table of hosts and upstreams."""

    digests: tuple[int, ...]


class ItemVersion(NestedRecord):
    """A host (``p:ID``) or upstream (``u:ID``) and a hash of its version."""

    item: str
    version: int


class BucketVersions(Message):
    """What the sender knows in buckets that differ; asks for what is newer."""

    buckets: tuple[int, ...]
    versions: tuple[ItemVersion, ...]
