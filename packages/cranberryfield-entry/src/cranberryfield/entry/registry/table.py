"""The table of announced upstreams and how views of it are merged."""

from dataclasses import dataclass, field

import msgspec
import xxhash

from cranberryfield.core.ids import ServiceName, UpstreamId
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = [
    "UpstreamEntry",
    "UpstreamTable",
    "accept_record",
    "depart",
    "digest_table",
    "forget_silent",
    "forget_unknown",
]

#: Upstreams that have left or fallen silent are forgotten after this time, in
#: seconds; long enough that no late message brings one back.
FORGET_S = 120.0


@dataclass(slots=True)
class UpstreamEntry:
    """One upstream as this host knows it.

    Attributes
    ----------
    record : UpstreamRecord
        Its newest announcement.
    heard_at : float
        Monotonic time in seconds at which it was last heard of.
    """

    record: UpstreamRecord
    heard_at: float


@dataclass(slots=True)
class UpstreamTable:
    """Section of the blackboard: every upstream heard of."""

    entries: dict[UpstreamId, UpstreamEntry] = field(default_factory=dict)

    def of_service(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the upstreams of a service that are not leaving."""
        return [
            entry.record
            for entry in self.entries.values()
            if entry.record.service == service and not entry.record.leaving
        ]


def _essence(record: UpstreamRecord) -> UpstreamRecord:
    """Leave out what changes with each announcement."""
    return msgspec.structs.replace(record, sequence=0)


def accept_record(
    table: UpstreamTable, record: UpstreamRecord, heard_at: float
) -> bool:
    """Take in what an upstream said, if it is newer than what is known.

    Parameters
    ----------
    table : UpstreamTable
        Changed in place.
    record : UpstreamRecord
        The announcement. A higher incarnation replaces a lower one; within an
        incarnation leaving wins, then the higher sequence.
    heard_at : float
        Monotonic time in seconds at which it was said.

    Returns
    -------
    bool
        Whether other hosts should hear of it.
    """
    entry = table.entries.get(record.upstream)
    if entry is None:
        table.entries[record.upstream] = UpstreamEntry(record, heard_at)
        return True
    known = entry.record
    if record.incarnation < known.incarnation:
        return False
    if record.incarnation == known.incarnation:
        if known.leaving and not record.leaving:
            return False
        if known.leaving == record.leaving and record.sequence <= known.sequence:
            entry.heard_at = max(entry.heard_at, heard_at)
            return False
    entry.record = record
    entry.heard_at = max(entry.heard_at, heard_at)
    return _essence(record) != _essence(known)


def depart(
    table: UpstreamTable, upstream: UpstreamId, incarnation: int | None, now: float
) -> UpstreamRecord | None:
    """Note that an upstream has taken itself out of use.

    Parameters
    ----------
    table : UpstreamTable
        Changed in place.
    upstream : UpstreamId
        The upstream.
    incarnation : int or None
        Which of its starts said so; None for the one that is known.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamRecord or None
        What other hosts should hear of; None if it changes nothing.
    """
    entry = table.entries.get(upstream)
    if entry is None:
        return None
    known = entry.record
    if known.leaving or (incarnation or known.incarnation) < known.incarnation:
        return None
    record = msgspec.structs.replace(
        known, leaving=True, incarnation=incarnation or known.incarnation
    )
    table.entries[upstream] = UpstreamEntry(record, now)
    return record


def forget_silent(table: UpstreamTable, now: float) -> list[UpstreamId]:
    """Drop upstreams that have long been silent; return their ids."""
    gone = [
        upstream
        for upstream, entry in table.entries.items()
        if now - entry.heard_at > FORGET_S
    ]
    for upstream in gone:
        del table.entries[upstream]
    return gone


def forget_unknown(
    table: UpstreamTable, known: set[UpstreamId], now: float
) -> list[UpstreamId]:
    """Drop what a control host does not know (any more); return the ids.

    What was heard of lately is kept: that host may not have heard of it yet.
    """
    gone = [
        upstream
        for upstream, entry in table.entries.items()
        if upstream not in known and now - entry.heard_at > FORGET_S
    ]
    for upstream in gone:
        del table.entries[upstream]
    return gone


def digest_table(table: UpstreamTable) -> int:
    """Return a number that differs if what matters in two tables differs.

    Examples
    --------
    >>> digest_table(UpstreamTable()) == digest_table(UpstreamTable())
    True
    """
    total = 0
    for entry in table.entries.values():
        encoded = msgspec.msgpack.encode(_essence(entry.record))
        total ^= xxhash.xxh64_intdigest(encoded)
    return total
