"""Write-ahead log on disk: votes and entries, synced before acknowledgement."""

import os
from dataclasses import dataclass, field
from pathlib import Path

import cbor2
import msgspec
import structlog

from cranberryfield.control.storage.records import encode_record
from cranberryfield.control.storage.segments import (
    Manifest,
    open_segment,
    read_segments,
    remove_unlisted_segments,
    segment_path,
)
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import LogIndex, ReplicaId, Term
from cranberryfield.core.messages.consensus import LogEntry, Members

__all__ = ["Journal", "LoadedLog"]

SEGMENT_BYTES = 4 << 20

logger = structlog.get_logger(__name__)


class _VoteRecord(msgspec.Struct, array_like=True, tag="v"):
    term: Term
    voted_for: ReplicaId | None


class _MembersRecord(msgspec.Struct, array_like=True, tag="m"):
    members: Members


class _EntryRecord(msgspec.Struct, array_like=True, tag="e"):
    entry: LogEntry


class _ResetRecord(msgspec.Struct, array_like=True, tag="r"):
    """Marker: a snapshot up to `index` replaced all earlier entries."""

    index: LogIndex


#: Tags of the record types below.
RECORD_TAGS = ("v", "m", "e", "r")

_Record = _VoteRecord | _MembersRecord | _EntryRecord | _ResetRecord


@dataclass(slots=True)
class LoadedLog:
    """Contents of the log as read from disk at startup.

    Attributes
    ----------
    term, voted_for
        Last saved term and vote.
    members : Members
        Initial members of the group, if still on disk.
    entries : list of LogEntry
        Log entries without gaps, starting at any index.
    """

    term: Term = Term(0)
    voted_for: ReplicaId | None = None
    members: Members = Members()  # noqa: RUF009 - immutable
    entries: list[LogEntry] = field(default_factory=list)


class Journal:
    """Writer of the log, which appends records to segment files.

    When the last segment is full, the journal starts a new one.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    manifest : Manifest
        Numbers of the existing segments.
    stream : file object
        The last segment, open for unbuffered appending.
    last_indexes : dict
        Highest entry index in each segment, by segment number.
    vote : _VoteRecord
        Last saved term and vote.
    segment_bytes : int
        Size at which a segment is full, in bytes.
    """

    def __init__(
        self,
        folder: Path,
        manifest: Manifest,
        stream,
        last_indexes: dict[int, int],
        vote: _VoteRecord,
        segment_bytes: int,
    ):
        self._folder = folder
        self._manifest = manifest
        self._stream = stream
        self._last_indexes = last_indexes
        self._last_vote = vote
        self._segment_bytes = segment_bytes
        self._synced_size = stream.seek(0, os.SEEK_END)
        self._pending: list[list] = []

    @classmethod
    def open(
        cls, folder: Path, segment_bytes: int = SEGMENT_BYTES
    ) -> tuple["Journal", LoadedLog]:
        """Open the log of a data folder and read its contents.

        Parameters
        ----------
        folder : pathlib.Path
            The data folder.
        segment_bytes : int
            Size at which a segment is full, in bytes.

        Returns
        -------
        journal : Journal
            The journal, ready to append.
        loaded : LoadedLog
            Contents of the log. An incomplete write at the end is truncated.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if synced data is damaged or missing.
        """
        manifest = Manifest.load(folder)
        if manifest is None:
            raise StorageError(
                ErrorKind.CORRUPT_DATA, f"{folder}: no log manifest found"
            )
        remove_unlisted_segments(folder, manifest)
        segments = read_segments(folder, manifest)
        loaded = LoadedLog()
        last_indexes = {}
        for number, payloads in enumerate(segments, manifest.first):
            last_indexes[number] = _replay(payloads, loaded)
        stream = open_segment(folder, manifest.last)
        vote = _VoteRecord(loaded.term, loaded.voted_for)
        journal = cls(folder, manifest, stream, last_indexes, vote, segment_bytes)
        return journal, loaded

    @property
    def segments(self) -> int:
        """Number of segments on disk."""
        return self._manifest.last - self._manifest.first + 1

    def queue_vote(self, term: Term, voted_for: ReplicaId | None) -> None:
        """Queue a vote to be written by the next `sync`."""
        self._last_vote = _VoteRecord(term, voted_for)
        self._enqueue(self._last_vote)

    def queue_members(self, members: Members) -> None:
        """Queue the initial members to be written by the next `sync`."""
        self._enqueue(_MembersRecord(members))

    def queue_reset(self, index: LogIndex) -> None:
        """Queue a marker that a snapshot up to `index` replaced all entries."""
        self._enqueue(_ResetRecord(index))
        self._update_last_index(index)

    def queue_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Queue entries to be written by the next `sync`.

        Parameters
        ----------
        entries : tuple of LogEntry
            Entries to write; they replace all existing entries from the index of
            the first one on.
        """
        for entry in entries:
            self._enqueue(_EntryRecord(entry))
        self._update_last_index(entries[-1].index)

    def _update_last_index(self, index: LogIndex) -> None:
        number = self._manifest.last
        self._last_indexes[number] = max(self._last_indexes[number], index)

    def _enqueue(self, record: msgspec.Struct) -> None:
        self._pending.append(msgspec.to_builtins(record, builtin_types=(bytes,)))

    def sync(self) -> None:
        """Write all queued records as one batch and sync it to disk.

        A batch has one checksum. After a loss of power the disk may have stored any
        part of it, and then none of its records is valid.

        Raises
        ------
        OSError
            If the write or the sync fails. The records stay queued and the file
            is truncated to its previous size, so `sync` can be retried.
        """
        if not self._pending:
            return
        is_single = len(self._pending) == 1
        data = encode_record(
            cbor2.dumps(self._pending[0] if is_single else self._pending)
        )
        try:
            self._append(data)
        except OSError:
            self._truncate_failed_write()
            raise
        self._pending.clear()
        self._synced_size += len(data)
        if self._synced_size >= self._segment_bytes:
            try:
                self._start_segment()
            except OSError as error:
                # Continue in the current segment; a later sync tries again.
                logger.warning(
                    "cannot start a new log segment; continuing with the current one",
                    why=str(error),
                )

    def _append(self, data: bytes) -> None:
        written = 0
        while written < len(data):
            written += self._stream.write(data[written:])
        os.fdatasync(self._stream.fileno())

    def _truncate_failed_write(self) -> None:
        """Truncate the segment to its last synced record after a failed write."""
        self._stream.seek(self._synced_size)
        try:
            self._stream.truncate(self._synced_size)
        except OSError as error:
            # The rest is overwritten by a later write, or truncated at startup.
            logger.warning(
                "cannot truncate the log after a failed write", why=str(error)
            )

    def _start_segment(self) -> None:
        number = self._manifest.last + 1
        stream = open_segment(self._folder, number)
        Manifest(self._manifest.first, number).save(self._folder)
        self._stream.close()
        self._manifest = Manifest(self._manifest.first, number)
        self._stream = stream
        self._synced_size = 0
        self._last_indexes[number] = 0
        # Earlier segments may be removed, so each starts with the last vote.
        self._enqueue(self._last_vote)
        self.sync()

    def remove_segments_up_to(self, index: LogIndex) -> None:
        """Remove leading segments that contain no entry after `index`.

        Parameters
        ----------
        index : LogIndex
            Last index covered by a synced snapshot.
        """
        first = self._manifest.first
        while first < self._manifest.last and self._last_indexes[first] <= index:
            first += 1
        if first == self._manifest.first:
            return
        dropped = range(self._manifest.first, first)
        self._manifest = Manifest(first, self._manifest.last)
        self._manifest.save(self._folder)
        for number in dropped:
            segment_path(self._folder, number).unlink()
            del self._last_indexes[number]

    def close(self) -> None:
        """Close the last segment."""
        self._stream.close()


def _replay(payloads: list[bytes], loaded: LoadedLog) -> int:
    """Apply the records of one segment to `loaded`; return the highest index."""
    last_index = 0
    for record in (one for payload in payloads for one in _decode_batch(payload)):
        match record:
            case _VoteRecord(term, voted_for):
                loaded.term = term
                loaded.voted_for = voted_for
            case _MembersRecord(members):
                loaded.members = members
            case _ResetRecord(index):
                loaded.entries.clear()
                last_index = max(last_index, index)
            case _EntryRecord(entry):
                _replay_entry(entry, loaded.entries)
                last_index = max(last_index, entry.index)
    return last_index


def _decode_batch(payload: bytes) -> list[msgspec.Struct]:
    try:
        content = cbor2.loads(payload)
        # A single record is written as an array that begins with its tag.
        is_single = isinstance(content, list) and content and content[0] in RECORD_TAGS
        return msgspec.convert(
            [content] if is_single else content, list[_Record], builtin_types=(bytes,)
        )
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"cannot decode a log record: {error}"
        ) from error


def _replay_entry(entry: LogEntry, entries: list[LogEntry]) -> None:
    if entries and entry.index <= entries[-1].index:
        del entries[max(0, entry.index - entries[0].index) :]
    if entries and entry.index != entries[-1].index + 1:
        raise StorageError(
            ErrorKind.CORRUPT_DATA,
            f"gap in the log: entry {entries[-1].index} is followed by {entry.index}",
        )
    entries.append(entry)
