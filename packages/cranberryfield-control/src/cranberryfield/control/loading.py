"""Rebuilds a replica from its data folder."""

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

__all__ = ["StoredReplica", "decode_state", "encode_state", "load_replica"]


@dataclass(slots=True)
class StoredReplica:
    """A replica and the open files that hold it."""

    folder: DataFolder
    journal: Journal
    snapshots: SnapshotStore
    replica: Replica
    state: ControlState

    def close(self) -> None:
        """Close the files and release the folder."""
        self.journal.close()
        self.folder.close()


def encode_state(state: ControlState) -> bytes:
    """Encode the applied state for a snapshot.

    Notes
    -----
    MessagePack by msgspec: CBOR needs a detour through plain objects that
    takes several times as long, and the loop stands still meanwhile.
    """
    return msgspec.msgpack.encode(state)


def decode_state(data: bytes) -> ControlState:
    """Decode what `encode_state` made; an empty state from nothing."""
    if not data:
        return ControlState()
    try:
        return msgspec.msgpack.decode(data, type=ControlState)
    except msgspec.DecodeError as error:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"the snapshot cannot be read: {error}"
        ) from error


def load_replica(
    path: Path, group: str, node: NodeId, rng: Random, now: float
) -> StoredReplica:
    """Open a data folder and rebuild the replica that it holds.

    Parameters
    ----------
    path : pathlib.Path
        The data folder; made if it is missing.
    group : str
        The installation.
    node : NodeId
        This process.
    rng : random.Random
        Generator of election times.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    StoredReplica
        The replica and its files. It grants no vote within the shortest
        election time, for it may have acknowledged a heartbeat just before
        it stopped.

    Raises
    ------
    StorageError
        If the folder cannot be used.
    """
    folder = DataFolder.open(path, group, node)
    try:
        snapshots, state = SnapshotStore.open(path)
        journal, loaded = Journal.open(path)
        log = _rebuild_log(loaded, snapshots.header, journal)
        timing = ConsensusTiming()
        replica = Replica(
            folder.replica,
            rng,
            timing,
            loaded.term,
            loaded.voted_for,
            log,
            snapshots.header.last_index,
            last_leader_contact_at=now,
            deadline=now + rng.uniform(timing.election_min_s, timing.election_max_s),
        )
        return StoredReplica(folder, journal, snapshots, replica, decode_state(state))
    except StorageError:
        folder.close()
        raise


def _rebuild_log(
    loaded: LoadedLog, head: SnapshotHeader, journal: Journal
) -> ReplicaLog:
    entries = loaded.entries
    if not head.last_index:
        _refuse_gap(0, entries)
        return ReplicaLog(base_members=loaded.members, entries=entries)
    if entries and not _agrees_with(head, entries):
        # A snapshot was installed, and the process ended before it had written
        # that the entries are void.
        journal.queue_reset(head.last_index)
        journal.sync()
        entries = []
    entries = [entry for entry in entries if entry.index > head.last_index]
    _refuse_gap(head.last_index, entries)
    return ReplicaLog(head.last_index, head.last_term, head.members, entries)


def _agrees_with(head: SnapshotHeader, entries: list) -> bool:
    if entries[-1].index < head.last_index:
        return False
    place = head.last_index - entries[0].index
    return place < 0 or entries[place].term == head.last_term


def _refuse_gap(last_index: int, entries: list) -> None:
    if entries and entries[0].index != last_index + 1:
        raise StorageError(
            ErrorKind.CORRUPT_DATA,
            f"the log has no entry between {last_index} and {entries[0].index}",
        )
