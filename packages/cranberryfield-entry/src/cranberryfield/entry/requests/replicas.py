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
    "EVENTS_MISSING",
    "OUT_OF_MEMORY",
    "RUNNER_SUPERSEDED",
    "RecordReplica",
    "ReplicasSection",
    "apply_replica_progress",
    "find_replica",
    "open_replica",
    "remove_expired",
    "remove_replica",
    "replica_to_copy",
    "take_over_replica",
]

#: Special lengths in `ProgressTaken`.
EVENTS_MISSING = -1
RUNNER_SUPERSEDED = -2
OUT_OF_MEMORY = -3
HELD_OVERHEAD_BYTES = 512
#: Number of least recently used replicas examined to free memory.
MAX_SCANNED = 64


@dataclass(slots=True)
class RecordReplica:
    """Replica of a record that another host runs; see `RecordCopy`."""

    digest: bytes
    run: RunId
    epoch: int
    runner: NodeId
    starts: tuple[EpochStart, ...] = ()
    events: list[bytes] = field(default_factory=list)
    end: RecordEnd | None = None
    size_bytes: int = HELD_OVERHEAD_BYTES
    updated_at: float = 0.0


@dataclass(slots=True)
class ReplicasSection:
    """Section of the blackboard: replicas on this host, most recently used last.

    Attributes
    ----------
    records : OrderedDict
        Replicas by workspace and key.
    used_bytes : int
        Total size of the replicas, in bytes.
    """

    records: OrderedDict[tuple[WorkspaceId, RequestKey], RecordReplica] = field(
        default_factory=OrderedDict
    )
    used_bytes: int = 0


def replica_to_copy(held: RecordReplica, granted: bool) -> RecordCopy:
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


def open_replica(
    section: ReplicasSection, message: OpenRecord, now: float, limit_bytes: int
) -> RecordCopy:
    """Answer an `OpenRecord`.

    Parameters
    ----------
    section : ReplicasSection
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
        return replica_to_copy(held, granted=False)
    if not _make_room(section, HELD_OVERHEAD_BYTES, limit_bytes):
        return RecordCopy(False)
    held = RecordReplica(message.digest, message.run, 0, message.node, updated_at=now)
    section.records[name] = held
    section.used_bytes += held.size_bytes
    return RecordCopy(True)


def find_replica(section: ReplicasSection, message: FindRecord) -> RecordCopy:
    """Answer a `FindRecord`."""
    held = section.records.get((message.workspace, message.key))
    return RecordCopy(False) if held is None else replica_to_copy(held, granted=False)


def take_over_replica(
    section: ReplicasSection, message: TakeRecord, now: float
) -> RecordCopy:
    """Answer a `TakeRecord`; granted if its epoch is higher than the current one."""
    held = section.records.get((message.workspace, message.key))
    if held is None:
        return RecordCopy(False)
    same = held.digest == message.digest and held.run == message.run
    if not same or message.epoch <= held.epoch:
        is_resent = (held.epoch, held.runner) == (message.epoch, message.node)
        return replica_to_copy(held, granted=same and is_resent)
    held.epoch = message.epoch
    held.runner = message.node
    held.end = None
    held.updated_at = now
    return replica_to_copy(held, granted=True)


def apply_replica_progress(
    section: ReplicasSection, item: ProgressItem, now: float, limit_bytes: int
) -> int:
    """Apply replicated progress to a record.

    Parameters
    ----------
    section : ReplicasSection
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
        return RUNNER_SUPERSEDED
    if held is None or is_other:
        if item.offset:
            return EVENTS_MISSING
        held = RecordReplica(item.digest, item.run, item.epoch, item.runner)
        _replace(section, name, held)
    if item.offset > len(held.events):
        return EVENTS_MISSING
    added = sum(len(event) for event in item.events)
    if not _make_room(section, added, limit_bytes, keep=name):
        return OUT_OF_MEMORY
    _truncate(section, held, item)
    held.epoch, held.runner, held.starts = item.epoch, item.runner, item.starts
    held.end = item.end
    held.updated_at = now
    size = added + (len(item.end.body) if item.end else 0)
    held.events.extend(item.events)
    held.size_bytes += size
    section.used_bytes += size
    section.records.move_to_end(name)
    return len(held.events)


def _truncate(
    section: ReplicasSection, held: RecordReplica, item: ProgressItem
) -> None:
    """Remove events after the item's offset: resent ones or an earlier runner's."""
    removed = held.events[item.offset :]
    size = sum(len(event) for event in removed)
    if held.end is not None:
        size += len(held.end.body)
    del held.events[item.offset :]
    held.size_bytes -= size
    section.used_bytes -= size


def _replace(
    section: ReplicasSection, name: tuple[WorkspaceId, RequestKey], held: RecordReplica
) -> None:
    remove_replica(section, name)
    section.records[name] = held
    section.used_bytes += held.size_bytes


def remove_replica(
    section: ReplicasSection, name: tuple[WorkspaceId, RequestKey]
) -> None:
    """Remove a replica."""
    held = section.records.pop(name, None)
    if held is not None:
        section.used_bytes -= held.size_bytes


def _make_room(
    section: ReplicasSection,
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
            remove_replica(section, name)
        if section.used_bytes + size <= limit_bytes:
            return True
    return False


def remove_expired(section: ReplicasSection, now: float, retention_s: float) -> None:
    """Remove replicas that were not updated within the retention time.

    Parameters
    ----------
    section : ReplicasSection
        Changed in place.
    now, retention_s : float
        Monotonic time and retention, in seconds.
    """
    for name, held in list(section.records.items()):
        if held.updated_at + retention_s < now:
            remove_replica(section, name)
