"""Durable file operations: what is synced survives a crash."""

import os
from pathlib import Path

__all__ = ["replace_file_atomically", "sync_folder"]


def replace_file_atomically(file: Path, data: bytes) -> None:
    """Replace a file atomically: a crash leaves the old or the new content.

    Parameters
    ----------
    file : pathlib.Path
        The file to replace.
    data : bytes
        New content of the file.
    """
    temporary = file.with_suffix(".new")
    with open(temporary, "wb") as stream:
        stream.write(data)
        stream.flush()
        os.fsync(stream.fileno())
    os.replace(temporary, file)
    sync_folder(file.parent)


def sync_folder(path: Path) -> None:
    """Sync a folder, so that new file names in it survive a crash.

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
