"""Lock and identity of the data folder."""

import fcntl
import secrets
from pathlib import Path

import cbor2

from cranberryfield.control.storage.durable_files import replace_file_atomically
from cranberryfield.control.storage.segments import create_log
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import NodeId, ReplicaId
from cranberryfield.core.messages.consensus import REPLICA_ID_SEPARATOR

__all__ = ["DataFolder", "is_folder_in_use"]

IDENTITY_FILE = "identity"
LOCK_FILE = "lock"
REPLICA_ID_RANDOM_BYTES = 4


class DataFolder:
    """Exclusively locked data folder of one node of one group.

    Parameters
    ----------
    path : pathlib.Path
        The folder.
    lock : file object
        The lock file, open and locked.
    replica : ReplicaId
        The replica whose state is stored in the folder.
    """

    def __init__(self, path: Path, lock, replica: ReplicaId):
        self._path = path
        self._lock = lock
        self._replica = replica

    @property
    def path(self) -> Path:
        """Path of the folder."""
        return self._path

    @property
    def replica(self) -> ReplicaId:
        """The replica whose state is stored in the folder."""
        return self._replica

    @classmethod
    def open(cls, path: Path, group: str, node: NodeId) -> "DataFolder":
        """Lock the folder and check its identity, or create it in a new folder.

        Parameters
        ----------
        path : pathlib.Path
            The folder; created if it does not exist.
        group : str
            Name of the installation that the group belongs to.
        node : NodeId
            Node identifier of this process.

        Returns
        -------
        DataFolder
            The locked folder. A new folder gets a new replica id, so that
            votes and acknowledgements stored in another folder of the same node
            are never attributed to it.

        Raises
        ------
        StorageError
            Of kind ``data_in_use`` if another process has locked the folder,
            ``foreign_data`` if it belongs to another node or group, or
            ``corrupt_data`` if it contains a log but no identity.
        """
        path.mkdir(parents=True, exist_ok=True)
        lock = open(path / LOCK_FILE, "ab")  # noqa: SIM115 - held until close
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            lock.close()
            raise StorageError(
                ErrorKind.DATA_IN_USE, f"{path}: another process holds the folder"
            ) from error
        try:
            replica = _read_identity(path, group, node)
        except StorageError:
            lock.close()
            raise
        return cls(path, lock, replica)

    def close(self) -> None:
        """Release the lock."""
        self._lock.close()


def is_folder_in_use(path: Path) -> bool:
    """Return whether another process has locked a data folder.

    Parameters
    ----------
    path : pathlib.Path
        The folder, which may not exist; its contents are not changed.

    Returns
    -------
    bool
        Whether the folder is locked now.
    """
    try:
        lock = open(path / LOCK_FILE, "rb")  # noqa: SIM115 - closed below
    except OSError:
        return False
    with lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
    return False


def _read_identity(path: Path, group: str, node: NodeId) -> ReplicaId:
    file = path / IDENTITY_FILE
    if not file.exists():
        # The identity is written last: a folder with an identity has a log.
        create_log(path)
        replica = ReplicaId(
            f"{node}{REPLICA_ID_SEPARATOR}{secrets.token_hex(REPLICA_ID_RANDOM_BYTES)}"
        )
        replace_file_atomically(file, cbor2.dumps([group, replica]))
        return replica
    try:
        found_group, replica = cbor2.loads(file.read_bytes())
        found_node = replica.partition(REPLICA_ID_SEPARATOR)[0]
    except (cbor2.CBORError, ValueError, TypeError, AttributeError) as error:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"{file}: cannot decode the identity file"
        ) from error
    if (found_group, found_node) != (group, node):
        raise StorageError(
            ErrorKind.FOREIGN_DATA,
            f"{path}: belongs to group {found_group!r}, node {found_node!r}, "
            f"not to group {group!r}, node {node!r}",
        )
    return replica
