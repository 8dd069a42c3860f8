"""Writes that last: a file or a name is there after a crash once it is synced."""

import os
from pathlib import Path

__all__ = ["sync_folder", "write_synced"]


def write_synced(file: Path, data: bytes) -> None:
    """Replace a file, so that a crash leaves the old content or the new.

    Parameters
    ----------
    file : pathlib.Path
        The file.
    data : bytes
        Its new content.
    """
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
