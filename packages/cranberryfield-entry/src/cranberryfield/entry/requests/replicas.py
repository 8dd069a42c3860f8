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
REPLICA_OVERHEAD_BYTES = 512
#: Number of least recently used replicas examined to free memory.
MAX_EVICTION_SCAN = 64


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
    size_bytes: int = REPLICA_OVERHEAD_BYTES
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


def replica_to_copy(replica: RecordReplica, granted: bool) -> RecordCopy:
    """Return a replica as a message for another host."""
    return RecordCopy(
        granted,
        True,
        replica.digest,
        replica.run,
        replica.epoch,
        replica.runner,
        replica.starts,
        tuple(replica.events),
        replica.end,
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
    replica = section.records.get(name)
    if replica is not None:
        return replica_to_copy(replica, granted=False)
    if not _free_memory(section, REPLICA_OVERHEAD_BYTES, limit_bytes):
        return RecordCopy(False)
    replica = RecordReplica(
        message.digest, message.run, 0, message.node, updated_at=now
    )
    section.records[name] = replica
    section.used_bytes += replica.size_bytes
    return RecordCopy(True)


def find_replica(section: ReplicasSection, message: FindRecord) -> RecordCopy:
    """Answer a `FindRecord`."""
    replica = section.records.get((message.workspace, message.key))
    return (
        RecordCopy(False)
        if replica is None
        else replica_to_copy(replica, granted=False)
    )


def take_over_replica(
    section: ReplicasSection, message: TakeRecord, now: float
) -> RecordCopy:
    """Answer a `TakeRecord`; granted if its epoch is higher than the current one."""
    replica = section.records.get((message.workspace, message.key))
    if replica is None:
        return RecordCopy(False)
    is_same_request = replica.digest == message.digest and replica.run == message.run
    if not is_same_request or message.epoch <= replica.epoch:
        is_resent = (replica.epoch, replica.runner) == (message.epoch, message.node)
        return replica_to_copy(replica, granted=is_same_request and is_resent)
    replica.epoch = message.epoch
    replica.runner = message.node
    replica.end = None
    replica.updated_at = now
    return replica_to_copy(replica, granted=True)


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
    replica = section.records.get(name)
    is_other_run = replica is not None and replica.run != item.run
    if replica is not None and (
        item.epoch < replica.epoch or is_other_run and replica.end is None
    ):
        return RUNNER_SUPERSEDED
    if replica is None or is_other_run:
        if item.offset:
            return EVENTS_MISSING
        replica = RecordReplica(item.digest, item.run, item.epoch, item.runner)
        _replace(section, name, replica)
    if item.offset > len(replica.events):
        return EVENTS_MISSING
    added_bytes = sum(len(event) for event in item.events)
    if not _free_memory(section, added_bytes, limit_bytes, retained=name):
        return OUT_OF_MEMORY
    _remove_events_from_offset(section, replica, item)
    replica.epoch, replica.runner, replica.starts = item.epoch, item.runner, item.starts
    replica.end = item.end
    replica.updated_at = now
    size = added_bytes + (len(item.end.body) if item.end else 0)
    replica.events.extend(item.events)
    replica.size_bytes += size
    section.used_bytes += size
    section.records.move_to_end(name)
    return len(replica.events)


def _remove_events_from_offset(
    section: ReplicasSection, replica: RecordReplica, item: ProgressItem
) -> None:
    """Remove events after the item's offset: resent ones or an earlier runner's."""
    removed = replica.events[item.offset :]
    size = sum(len(event) for event in removed)
    if replica.end is not None:
        size += len(replica.end.body)
    del replica.events[item.offset :]
    replica.size_bytes -= size
    section.used_bytes -= size


def _replace(
    section: ReplicasSection,
    name: tuple[WorkspaceId, RequestKey],
    replica: RecordReplica,
) -> None:
    remove_replica(section, name)
    section.records[name] = replica
    section.used_bytes += replica.size_bytes


def remove_replica(
    section: ReplicasSection, name: tuple[WorkspaceId, RequestKey]
) -> None:
    """Remove a replica."""
    replica = section.records.pop(name, None)
    if replica is not None:
        section.used_bytes -= replica.size_bytes


def _free_memory(
    section: ReplicasSection,
    size: int,
    limit_bytes: int,
    retained: tuple[WorkspaceId, RequestKey] | None = None,
) -> bool:
    """Evict ended replicas, least recently used first; return whether `size` fits."""
    if section.used_bytes + size <= limit_bytes:
        return True
    candidates = list(islice(section.records.items(), MAX_EVICTION_SCAN))
    for name, replica in candidates:
        if replica.end is not None and name != retained:
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
    for name, replica in list(section.records.items()):
        if replica.updated_at + retention_s < now:
            remove_replica(section, name)
