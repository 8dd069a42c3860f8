"""Messages about upstreams, between entry hosts."""

from cranberryfield.core.ids import DataCentre, Incarnation, ServiceName, UpstreamId
from cranberryfield.core.messages.base import Message, NestedRecord

__all__ = ["LoadReport", "UpstreamRecord", "UpstreamUpdate"]


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
    """One upstream's announcement, versioned by (incarnation, sequence)."""

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
