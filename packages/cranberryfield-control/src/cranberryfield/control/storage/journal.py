"""The log file: votes and entries, synced before they are acknowledged."""

import os
from dataclasses import dataclass, field
from pathlib import Path

import cbor2
import msgspec
import structlog

from cranberryfield.control.storage.folder import sync_folder
from cranberryfield.control.storage.records import encode_record, scan_records
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import LogIndex, NodeId, Term
from cranberryfield.core.messages.consensus import LogEntry

__all__ = ["Journal", "LoadedLog"]

LOG_FILE = "log"

logger = structlog.get_logger(__name__)


class _VoteRecord(msgspec.Struct, array_like=True, tag="v"):
    term: Term
    voted_for: NodeId | None


class _EntryRecord(msgspec.Struct, array_like=True, tag="e"):
    index: LogIndex
    term: Term
    command: bytes


@dataclass(slots=True)
class LoadedLog:
    """What the file held at the start.

    Attributes
    ----------
    term, voted_for
        The last vote.
    entries : list of LogEntry
        The log.
    """

    term: Term = Term(0)
    voted_for: NodeId | None = None
    entries: list[LogEntry] = field(default_factory=list)


class Journal:
    """Appends records to the log file.

    Parameters
    ----------
    stream : file object
        Open for appending, unbuffered.
    """

    def __init__(self, stream):
        self._stream = stream
        self._waiting: list[bytes] = []

    @classmethod
    def open(cls, folder: Path) -> tuple["Journal", LoadedLog]:
        """Open the log file and read what it holds.

        Parameters
        ----------
        folder : pathlib.Path
            The data folder.

        Returns
        -------
        journal : Journal
            Ready to append.
        loaded : LoadedLog
            What was read; a torn tail has been cut.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if a damaged record is followed by a valid
            one, so that cutting would lose what was synced.
        """
        file = folder / LOG_FILE
        data = file.read_bytes() if file.exists() else b""
        scanned = scan_records(data)
        stream = open(file, "ab", buffering=0)  # noqa: SIM115 - held until close
        if scanned.damage is not None:
            if not scanned.damage.is_tail:
                stream.close()
                raise StorageError(
                    ErrorKind.CORRUPT_DATA,
                    f"{file}: damaged at byte {scanned.damage.offset}, "
                    "with valid records after it",
                )
            logger.warning("torn tail cut", file=str(file), at=scanned.damage.offset)
            stream.truncate(scanned.damage.offset)
            os.fsync(stream.fileno())
        sync_folder(folder)
        return cls(stream), _replay(scanned.payloads)

    def save_vote(self, term: Term, voted_for: NodeId | None) -> None:
        """Add a vote to what the next `sync` writes."""
        self._add(_VoteRecord(term, voted_for))

    def save_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries to what the next `sync` writes.

        Parameters
        ----------
        entries : tuple of LogEntry
            Replace those that the log holds from the first one's index on.
        """
        for entry in entries:
            self._add(_EntryRecord(entry.index, entry.term, entry.command))

    def _add(self, record: msgspec.Struct) -> None:
        plain = msgspec.to_builtins(record, builtin_types=(bytes,))
        self._waiting.append(encode_record(cbor2.dumps(plain)))

    def sync(self) -> None:
        """Write all that was added and sync it to the disk."""
        if not self._waiting:
            return
        data = b"".join(self._waiting)
        self._waiting.clear()
        written = 0
        while written < len(data):
            written += self._stream.write(data[written:])
        os.fdatasync(self._stream.fileno())

    def close(self) -> None:
        """Close the file."""
        self._stream.close()


def _replay(payloads: list[bytes]) -> LoadedLog:
    loaded = LoadedLog()
    for payload in payloads:
        record = msgspec.convert(
            cbor2.loads(payload),
            _VoteRecord | _EntryRecord,
            builtin_types=(bytes,),
        )
        if isinstance(record, _VoteRecord):
            loaded.term = record.term
            loaded.voted_for = record.voted_for
            continue
        del loaded.entries[record.index - 1 :]
        loaded.entries.append(LogEntry(record.index, record.term, record.command))
    return loaded
