"""The data folder: identity, lock and the synced log file."""

from cranberryfield.control.storage.folder import DataFolder
from cranberryfield.control.storage.journal import Journal, LoadedLog

__all__ = ["DataFolder", "Journal", "LoadedLog"]
