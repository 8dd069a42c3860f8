"""Replicas of records that other hosts run, and the replies to queries of them."""

from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import islice

from cranberryfield.core.ids import NodeId, RequestKey, RunId, WorkspaceId
from cranberryfield.core.messages.requests import (
    EpochStart,
    FindRecord,
    OpenRecord,
    ProgressItem,
    RecordCopy,
    RecordEnd,
    TakeRecord,
)

__all__ = [
    "NOT_KNOWN",
    "NO_MEMORY",
    "TAKEN",
    "HeldRecord",
    "HeldRecords",
    "copy_of",
    "drop_expired",
    "find_held",
    "open_held",
    "remove_held",
    "take_held",
    "take_progress",
]

#: Special lengths in `ProgressTaken`.
NOT_KNOWN = -1
TAKEN = -2
NO_MEMORY = -3
HELD_OVERHEAD_BYTES = 512
#: Number of least recently used replicas examined to free memory.
MAX_SCANNED = 64


@dataclass(slots=True)
class HeldRecord:
    """Replica of a record that another host runs; see `RecordCopy`."""

    digest: bytes
    run: RunId
    epoch: int
    runner: NodeId
    starts: tuple[EpochStart, ...] = ()
    events: list[bytes] = field(default_factory=list)
    end: RecordEnd | None = None
    size_bytes: int = HELD_OVERHEAD_BYTES
    touched_at: float = 0.0


@dataclass(slots=True)
class HeldRecords:
    """Section of the blackboard: replicas on this host, most recently used last.

    Attributes
    ----------
    records : OrderedDict
        Replicas by workspace and key.
    used_bytes : int
        Total size of the replicas, in bytes.
    """

    records: OrderedDict[tuple[WorkspaceId, RequestKey], HeldRecord] = field(
        default_factory=OrderedDict
    )
    used_bytes: int = 0


def copy_of(held: HeldRecord, granted: bool) -> RecordCopy:
    """Return a replica as a message for another host."""
    return RecordCopy(
        granted,
        True,
        held.digest,
        held.run,
        held.epoch,
        held.runner,
        held.starts,
        tuple(held.events),
        held.end,
    )


def open_held(
    section: HeldRecords, message: OpenRecord, now: float, limit_bytes: int
) -> RecordCopy:
    """Answer an `OpenRecord`.

    Parameters
    ----------
    section : HeldRecords
        Changed in place.
    message : OpenRecord
        The query.
    now : float
        Monotonic time in seconds.
    limit_bytes : int
        Memory limit for replicas, in bytes.

    Returns
    -------
    RecordCopy
        Granted and not known for a new record; neither granted nor known if
        there is no memory.
    """
    name = (message.workspace, message.key)
    held = section.records.get(name)
    if held is not None:
        return copy_of(held, granted=False)
    if not _make_room(section, HELD_OVERHEAD_BYTES, limit_bytes):
        return RecordCopy(False)
    held = HeldRecord(message.digest, message.run, 0, message.node, touched_at=now)
    section.records[name] = held
    section.used_bytes += held.size_bytes
    return RecordCopy(True)


def find_held(section: HeldRecords, message: FindRecord) -> RecordCopy:
    """Answer a `FindRecord`."""
    held = section.records.get((message.workspace, message.key))
    return RecordCopy(False) if held is None else copy_of(held, granted=False)


def take_held(section: HeldRecords, message: TakeRecord, now: float) -> RecordCopy:
    """Answer a `TakeRecord`; granted if its epoch is higher than the current one."""
    held = section.records.get((message.workspace, message.key))
    if held is None:
        return RecordCopy(False)
    same = held.digest == message.digest and held.run == message.run
    if not same or message.epoch <= held.epoch:
        is_resent = (held.epoch, held.runner) == (message.epoch, message.node)
        return copy_of(held, granted=same and is_resent)
    held.epoch = message.epoch
    held.runner = message.node
    held.end = None
    held.touched_at = now
    return copy_of(held, granted=True)


def take_progress(
    section: HeldRecords, item: ProgressItem, now: float, limit_bytes: int
) -> int:
    """Apply replicated progress to a record.

    Parameters
    ----------
    section : HeldRecords
        Changed in place.
    item : ProgressItem
        Progress of the record; applying it again has no effect.
    now : float
        Monotonic time in seconds.
    limit_bytes : int
        Memory limit for replicas, in bytes.

    Returns
    -------
    int
        See `ProgressTaken`.
    """
    name = (item.workspace, item.key)
    held = section.records.get(name)
    is_other = held is not None and held.run != item.run
    if held is not None and (item.epoch < held.epoch or is_other and held.end is None):
        return TAKEN
    if held is None or is_other:
        if item.offset:
            return NOT_KNOWN
        held = HeldRecord(item.digest, item.run, item.epoch, item.runner)
        _replace(section, name, held)
    if item.offset > len(held.events):
        return NOT_KNOWN
    added = sum(len(event) for event in item.events)
    if not _make_room(section, added, limit_bytes, keep=name):
        return NO_MEMORY
    _truncate(section, held, item)
    held.epoch, held.runner, held.starts = item.epoch, item.runner, item.starts
    held.end = item.end
    held.touched_at = now
    size = added + (len(item.end.body) if item.end else 0)
    held.events.extend(item.events)
    held.size_bytes += size
    section.used_bytes += size
    section.records.move_to_end(name)
    return len(held.events)


def _truncate(section: HeldRecords, held: HeldRecord, item: ProgressItem) -> None:
    """Remove events after the item's offset: resent ones or an earlier runner's."""
    removed = held.events[item.offset :]
    size = sum(len(event) for event in removed)
    if held.end is not None:
        size += len(held.end.body)
    del held.events[item.offset :]
    held.size_bytes -= size
    section.used_bytes -= size


def _replace(
    section: HeldRecords, name: tuple[WorkspaceId, RequestKey], held: HeldRecord
) -> None:
    remove_held(section, name)
    section.records[name] = held
    section.used_bytes += held.size_bytes


def remove_held(section: HeldRecords, name: tuple[WorkspaceId, RequestKey]) -> None:
    """Remove a replica."""
    held = section.records.pop(name, None)
    if held is not None:
        section.used_bytes -= held.size_bytes


def _make_room(
    section: HeldRecords,
    size: int,
    limit_bytes: int,
    keep: tuple[WorkspaceId, RequestKey] | None = None,
) -> bool:
    """Evict ended replicas, least recently used first; return whether `size` fits."""
    if section.used_bytes + size <= limit_bytes:
        return True
    oldest = list(islice(section.records.items(), MAX_SCANNED))
    for name, held in oldest:
        if held.end is not None and name != keep:
            remove_held(section, name)
        if section.used_bytes + size <= limit_bytes:
            return True
    return False


def drop_expired(section: HeldRecords, now: float, retention_s: float) -> None:
    """Remove replicas that were not updated within the retention time.

    Parameters
    ----------
    section : HeldRecords
        Changed in place.
    now, retention_s : float
        Monotonic time and retention, in seconds.
    """
    for name, held in list(section.records.items()):
        if held.touched_at + retention_s < now:
            remove_held(section, name)
