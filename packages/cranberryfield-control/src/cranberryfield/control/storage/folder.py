"""The data folder's identity and its lock."""

import fcntl
import os
from pathlib import Path

import cbor2

from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import NodeId

__all__ = ["DataFolder", "sync_folder"]

IDENTITY_FILE = "identity"
LOCK_FILE = "lock"


class DataFolder:
    """An exclusively held folder that belongs to one node of one group.

    Parameters
    ----------
    path : pathlib.Path
        The folder.
    lock : file object
        Open and locked.
    """

    def __init__(self, path: Path, lock):
        self._path = path
        self._lock = lock

    @property
    def path(self) -> Path:
        """The folder."""
        return self._path

    @classmethod
    def open(cls, path: Path, group: str, node: NodeId) -> "DataFolder":
        """Lock the folder and check, or write, its identity.

        Parameters
        ----------
        path : pathlib.Path
            The folder; made if it is missing.
        group : str
            The installation.
        node : NodeId
            This process.

        Returns
        -------
        DataFolder
            The locked folder.

        Raises
        ------
        StorageError
            Of kind ``data_in_use`` if another process holds the folder, or
            ``foreign_data`` if it belongs to another node or group.
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
            _check_identity(path, group, node)
        except StorageError:
            lock.close()
            raise
        return cls(path, lock)

    def close(self) -> None:
        """Release the lock."""
        self._lock.close()


def _check_identity(path: Path, group: str, node: NodeId) -> None:
    file = path / IDENTITY_FILE
    if not file.exists():
        _write_synced(file, cbor2.dumps([group, node]))
        return
    try:
        found = cbor2.loads(file.read_bytes())
    except (cbor2.CBORError, ValueError) as error:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"{file}: the identity cannot be read"
        ) from error
    if found != [group, node]:
        raise StorageError(
            ErrorKind.FOREIGN_DATA,
            f"{path}: belongs to {found}, not to group {group!r}, node {node!r}",
        )


def _write_synced(file: Path, data: bytes) -> None:
    temporary = file.with_suffix(".new")
    with open(temporary, "wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(temporary, file)
    sync_folder(file.parent)


def sync_folder(path: Path) -> None:
    """Sync a folder, so that a new name in it lasts.

    Parameters
    ----------
    path : pathlib.Path
        The folder.
    """
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
