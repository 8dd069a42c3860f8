"""Persistent storage of a replica: data folder, log segments and snapshot."""

from cranberryfield.control.storage.data_folder import DataFolder, is_folder_in_use
from cranberryfield.control.storage.journal import Journal, LoadedLog
from cranberryfield.control.storage.snapshots import SnapshotHeader, SnapshotStore

__all__ = [
    "DataFolder",
    "Journal",
    "LoadedLog",
    "SnapshotHeader",
    "SnapshotStore",
    "is_folder_in_use",
]
