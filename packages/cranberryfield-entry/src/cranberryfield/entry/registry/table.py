"""Table of announced upstreams and the rules for merging announcements."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from cranberryfield.core.ids import (
    Incarnation,
    ServiceName,
    UpstreamId,
    UpstreamProcess,
)
from cranberryfield.core.messages.membership import UpstreamRecord

__all__ = [
    "RegistryEntry",
    "RegistryTable",
    "accept_record",
    "doubtful_among",
    "find_silent",
    "forget_silent",
    "forget_unknown",
    "mark_leaving",
    "record_heard",
    "record_reply",
]

#: Time after the last announcement at which an upstream is forgotten, in seconds;
#: long enough that a delayed message does not add it again.
FORGET_AFTER_S = 120.0
#: Age of the last announcement from which control hosts tell it to relays, in seconds.
SILENCE_TOLD_S = 2.0


@dataclass(slots=True)
class RegistryEntry:
    """Latest known state of an upstream.

    Attributes
    ----------
    record : UpstreamRecord
        Newest announcement.
    heard_at : float
        Monotonic time in seconds of the last announcement.
    replied_at : float
        Monotonic time in seconds of the last reply to this host.
    """

    record: UpstreamRecord
    heard_at: float
    replied_at: float = float("-inf")


@dataclass(slots=True)
class RegistryTable:
    """Section of the blackboard: all announced upstreams.

    Attributes
    ----------
    entries : dict
        Known upstreams by id.
    newest_at : dict
        By address, the highest incarnation announced there.
    latest_heard_at : float
        Monotonic time in seconds of the latest announcement of any upstream that
        this host has heard of.
    replaced_at : dict
        By upstream, the monotonic time in seconds at which another process was found
        at its address.
    max_silence_s : float
        Time without an announcement after which an upstream is doubtful, in seconds.
    """

    entries: dict[UpstreamId, RegistryEntry] = field(default_factory=dict)
    newest_at: dict[str, Incarnation] = field(default_factory=dict)
    latest_heard_at: float = float("-inf")
    replaced_at: dict[UpstreamId, float] = field(default_factory=dict)
    max_silence_s: float = 5.0
    _digests: dict[UpstreamId, int] = field(default_factory=dict)
    _digest: int = 0

    @property
    def digest(self) -> int:
        """Hash of the records that ignores sequences and order.

        Examples
        --------
        >>> RegistryTable().digest
        0
        """
        return self._digest

    def active_upstreams(self, service: ServiceName) -> list[UpstreamRecord]:
        """Return the upstreams of a service that are not leaving.

        An upstream whose address another one has taken since is gone.
        """
        return [
            entry.record
            for entry in self.entries.values()
            if entry.record.service == service
            and not entry.record.leaving
            and entry.record.incarnation >= self.newest_at.get(entry.record.address, 0)
        ]

    def active_at(self, address: str) -> UpstreamRecord | None:
        """Return the upstream at an address, unless it is leaving."""
        for entry in self.entries.values():
            record = entry.record
            is_newest = record.incarnation >= self.newest_at.get(address, 0)
            if record.address == address and is_newest and not record.leaving:
                return record
        return None

    def is_known(self, process: UpstreamProcess) -> bool:
        """Return whether an upstream process is in the table."""
        upstream, incarnation = process
        entry = self.entries.get(upstream)
        return entry is not None and entry.record.incarnation == incarnation

    def set_entry(self, entry: RegistryEntry) -> None:
        """Add or replace the entry of an upstream."""
        record = entry.record
        # First, as an entry must not be stored with the digest of another record.
        digest = _digest_record(record)
        self.entries[record.upstream] = entry
        self._replace_digest(record.upstream, digest)
        known = self.newest_at.get(record.address, record.incarnation)
        self.newest_at[record.address] = max(known, record.incarnation)
        self.latest_heard_at = max(self.latest_heard_at, entry.heard_at)

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream."""
        record = self.entries.pop(upstream).record
        self.replaced_at.pop(upstream, None)
        self._replace_digest(upstream, 0)
        if self.newest_at.get(record.address) == record.incarnation:
            del self.newest_at[record.address]

    def _replace_digest(self, upstream: UpstreamId, digest: int) -> None:
        """Replace the part of an upstream in the digest; 0 to remove it."""
        self._digest ^= self._digests.pop(upstream, 0) ^ digest
        if digest:
            self._digests[upstream] = digest


def _digest_record(record: UpstreamRecord) -> int:
    encoded = msgspec.msgpack.encode(_without_sequence(record))
    return xxhash.xxh64_intdigest(encoded)


def _without_sequence(record: UpstreamRecord) -> UpstreamRecord:
    """Return a record without its sequence, which each announcement changes."""
    return msgspec.structs.replace(record, sequence=0)


def accept_record(
    table: RegistryTable, record: UpstreamRecord, heard_at: float
) -> bool:
    """Merge an announcement into the table if it is newer than the known one.

    Parameters
    ----------
    table : RegistryTable
        Changed in place.
    record : UpstreamRecord
        Announcement. A higher incarnation replaces a lower one; within an
        incarnation ``leaving`` takes precedence, then the higher sequence.
    heard_at : float
        Monotonic time in seconds of the announcement.

    Returns
    -------
    bool
        Whether the change must be published to other hosts.
    """
    entry = table.entries.get(record.upstream)
    if entry is None:
        table.set_entry(RegistryEntry(record, heard_at))
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
    table.set_entry(RegistryEntry(record, max(entry.heard_at, heard_at)))
    return _without_sequence(record) != _without_sequence(known)


def mark_leaving(
    table: RegistryTable, upstream: UpstreamId, incarnation: int | None, now: float
) -> UpstreamRecord | None:
    """Mark an upstream as leaving.

    Parameters
    ----------
    table : RegistryTable
        Changed in place.
    upstream : UpstreamId
        The upstream.
    incarnation : int or None
        Incarnation that is leaving; None for the known one.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    UpstreamRecord or None
        Record to publish to other hosts; None if nothing changed.
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
    table.set_entry(RegistryEntry(record, now))
    return record


def forget_silent(table: RegistryTable, now: float) -> list[UpstreamId]:
    """Remove upstreams without recent announcements; return their ids."""
    removed = [
        upstream
        for upstream, entry in table.entries.items()
        if now - entry.heard_at > FORGET_AFTER_S
    ]
    for upstream in removed:
        table.remove(upstream)
    return removed


def forget_unknown(
    table: RegistryTable, known: set[UpstreamId], now: float
) -> list[UpstreamId]:
    """Remove upstreams that a control host does not know; return their ids.

    Recently announced upstreams remain, since their announcements may not have
    reached that host yet.
    """
    removed = [
        upstream
        for upstream, entry in table.entries.items()
        if upstream not in known and now - entry.heard_at > FORGET_AFTER_S
    ]
    for upstream in removed:
        table.remove(upstream)
    return removed


def find_silent(table: RegistryTable, now: float) -> dict[UpstreamId, float]:
    """Return the time since the last announcement of silent upstreams, in seconds.

    Those that are leaving are not among them, as no request goes there.
    """
    return {
        upstream: now - entry.heard_at
        for upstream, entry in table.entries.items()
        if now - entry.heard_at > SILENCE_TOLD_S and not entry.record.leaving
    }


def record_heard(
    table: RegistryTable, silent: Mapping[UpstreamId, float], now: float
) -> None:
    """Record what a control host with the same table has heard of its upstreams.

    Parameters
    ----------
    table : RegistryTable
        Changed in place.
    silent : mapping
        By silent upstream, the time since its last announcement in seconds; the
        others have announced themselves within `SILENCE_TOLD_S`.
    now : float
        Monotonic time in seconds.
    """
    for upstream, entry in table.entries.items():
        heard_at = now - silent.get(upstream, SILENCE_TOLD_S)
        entry.heard_at = max(entry.heard_at, heard_at)
        table.latest_heard_at = max(table.latest_heard_at, entry.heard_at)


def record_reply(table: RegistryTable, upstream: UpstreamId, now: float) -> None:
    """Record that an upstream has replied to this host, which shows that it lives.

    It says nothing of the silence of others: the host may be cut off from the control
    hosts.
    """
    entry = table.entries.get(upstream)
    if entry is not None:
        entry.replied_at = now


def doubtful_among(
    table: RegistryTable, candidates: Iterable[UpstreamRecord]
) -> frozenset[UpstreamId]:
    """Return the upstreams that are probably gone.

    Those have been silent for long while others were heard of, or another process was
    found at their address and they were not heard of since. A host that hears of no
    upstream for a while doubts none for that.

    Parameters
    ----------
    table : RegistryTable
        Announced upstreams.
    candidates : iterable of UpstreamRecord
        Upstreams to check.

    Examples
    --------
    >>> table = RegistryTable(latest_heard_at=20.0)
    >>> records = [
    ...     UpstreamRecord(one, 1, 1, "s", "d", "", "", (), 1, 0) for one in "abc"
    ... ]
    >>> for record, heard_at in zip(records, (19.0, 10.0, 19.0)):
    ...     table.set_entry(RegistryEntry(record, heard_at))
    >>> table.replaced_at["c"] = 19.5
    >>> sorted(doubtful_among(table, records))
    ['b', 'c']
    """
    oldest_heard_at = table.latest_heard_at - table.max_silence_s
    doubtful = []
    for one in candidates:
        entry = table.entries.get(one.upstream)
        if entry is None:
            continue
        heard_at = entry.heard_at
        if entry.replied_at > heard_at:
            heard_at = entry.replied_at
        is_silent = heard_at < oldest_heard_at
        replaced_at = table.replaced_at.get(one.upstream)
        if is_silent or (replaced_at is not None and heard_at <= replaced_at):
            doubtful.append(one.upstream)
    return frozenset(doubtful)
