"""Recovery of a replica and its applied state from the data folder."""

from dataclasses import dataclass
from pathlib import Path
from random import Random

import msgspec

from cranberryfield.control.consensus import Replica, ReplicaLog
from cranberryfield.control.consensus.replica import ConsensusTiming
from cranberryfield.control.machine import ControlState
from cranberryfield.control.storage import (
    DataFolder,
    Journal,
    LoadedLog,
    SnapshotHeader,
    SnapshotStore,
)
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import NodeId

__all__ = ["StoredReplica", "decode_state", "encode_state", "recover_replica"]


#: Bounds of the random time from a start to the first election, in seconds: links to
#: the other replicas open within the first of them.
MIN_LINK_TIME_S = 0.15
MAX_LINK_TIME_S = 0.45


@dataclass(slots=True)
class StoredReplica:
    """A recovered replica, its applied state and its open files."""

    folder: DataFolder
    journal: Journal
    snapshots: SnapshotStore
    replica: Replica
    state: ControlState

    def close(self) -> None:
        """Close the files and unlock the folder."""
        self.journal.close()
        self.folder.close()


def encode_state(state: ControlState) -> bytes:
    """Encode an applied state for a snapshot.

    Notes
    -----
    Encoding blocks the event loop. MessagePack is used because msgspec encodes
    it directly; CBOR needs a conversion to plain objects and takes several
    times as long.
    """
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> ControlState:
    """Decode a snapshot's state; empty data gives an empty state."""
    if not data:
        return ControlState()
    try:
        return msgspec.msgpack.decode(data, type=ControlState)
    except msgspec.DecodeError as error:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"the snapshot cannot be decoded: {error}"
        ) from error


def recover_replica(
    path: Path,
    group: str,
    node: NodeId,
    rng: Random,
    now: float,
    started_at: float | None = None,
) -> StoredReplica:
    """Open a data folder and recover its replica.

    Parameters
    ----------
    path : pathlib.Path
        The data folder; created if it is missing.
    group : str
        Name of the installation.
    node : NodeId
        Name of this process.
    rng : random.Random
        Random generator for election timeouts.
    now : float
        Monotonic time in seconds.
    started_at : float, optional
        Monotonic time in seconds by which the earlier process on this folder had
        ended; `now` by default. It must not be later than `now`.

    Returns
    -------
    StoredReplica
        The replica and its files. The replica grants no vote within the
        shortest election timeout after `started_at`, because the earlier process
        may have acknowledged a heartbeat just before it ended.

    Raises
    ------
    StorageError
        If the folder cannot be opened, or its contents are invalid.
    """
    folder = DataFolder.open(path, group, node)
    try:
        snapshots, state = SnapshotStore.open(path)
        journal, loaded = Journal.open(path)
        log = _rebuild_log(loaded, snapshots.header, journal)
        timing = ConsensusTiming()
        contact_at = now if started_at is None else started_at
        timeout_s = rng.uniform(timing.election_min_s, timing.election_max_s)
        # No vote counts before the links to other replicas are open.
        linked_at = now + rng.uniform(MIN_LINK_TIME_S, MAX_LINK_TIME_S)
        replica = Replica(
            folder.replica,
            rng,
            timing,
            loaded.term,
            loaded.voted_for,
            log,
            snapshots.header.last_index,
            last_leader_contact_at=contact_at,
            deadline=max(contact_at + timeout_s, linked_at),
        )
        return StoredReplica(folder, journal, snapshots, replica, decode_state(state))
    except StorageError:
        folder.close()
        raise


def _rebuild_log(
    loaded: LoadedLog, header: SnapshotHeader, journal: Journal
) -> ReplicaLog:
    entries = loaded.entries
    if not header.last_index:
        _check_no_gap(0, entries)
        return ReplicaLog(base_members=loaded.members, entries=entries)
    if entries and not _matches_snapshot(header, entries):
        # The process ended after it had written an installed snapshot, but
        # before it had recorded that the older entries are invalid.
        journal.queue_reset(header.last_index)
        journal.sync()
        entries = []
    entries = [entry for entry in entries if entry.index > header.last_index]
    _check_no_gap(header.last_index, entries)
    return ReplicaLog(header.last_index, header.last_term, header.members, entries)


def _matches_snapshot(header: SnapshotHeader, entries: list) -> bool:
    if entries[-1].index < header.last_index:
        return False
    position = header.last_index - entries[0].index
    return position < 0 or entries[position].term == header.last_term


def _check_no_gap(last_index: int, entries: list) -> None:
    if entries and entries[0].index != last_index + 1:
        raise StorageError(
            ErrorKind.CORRUPT_DATA,
            f"the log has no entries between {last_index} and {entries[0].index}",
        )
