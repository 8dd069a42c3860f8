"""The log on disk: votes and entries, synced before they are acknowledged."""

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
    remove_unlisted,
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
    """A snapshot up to `index` replaced all entries before this record."""

    index: LogIndex


_Record = _VoteRecord | _MembersRecord | _EntryRecord | _ResetRecord


@dataclass(slots=True)
class LoadedLog:
    """What the log held at the start.

    Attributes
    ----------
    term, voted_for
        The last vote.
    members : Members
        The members with which the group began, if still on disk.
    entries : list of LogEntry
        The entries, without gaps; the first may have any index.
    """

    term: Term = Term(0)
    voted_for: ReplicaId | None = None
    members: Members = Members()  # noqa: RUF009 - immutable
    entries: list[LogEntry] = field(default_factory=list)


class Journal:
    """Appends records to the last segment and begins a new one when it is full.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    manifest : Manifest
        The segments.
    stream : file object
        The last segment, open for appending, unbuffered.
    last_indexes : dict
        For each segment, the highest index of an entry in it.
    vote : tuple
        The last term and vote.
    segment_bytes : int
        Size in bytes at which a segment is full.
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
        self._vote = vote
        self._segment_bytes = segment_bytes
        self._size = stream.seek(0, os.SEEK_END)
        self._waiting: list[bytes] = []

    @classmethod
    def open(
        cls, folder: Path, segment_bytes: int = SEGMENT_BYTES
    ) -> tuple["Journal", LoadedLog]:
        """Open the log and read what it holds.

        Parameters
        ----------
        folder : pathlib.Path
            The data folder.
        segment_bytes : int
            Size in bytes at which a segment is full.

        Returns
        -------
        journal : Journal
            Ready to append.
        loaded : LoadedLog
            What was read; a torn tail has been cut.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if anything synced is damaged or missing.
        """
        manifest = Manifest.load(folder)
        if manifest is None:
            raise StorageError(ErrorKind.CORRUPT_DATA, f"{folder}: holds no log")
        remove_unlisted(folder, manifest)
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

    def save_vote(self, term: Term, voted_for: ReplicaId | None) -> None:
        """Add a vote to what the next `sync` writes."""
        self._vote = _VoteRecord(term, voted_for)
        self._add(self._vote)

    def save_members(self, members: Members) -> None:
        """Add the first members to what the next `sync` writes."""
        self._add(_MembersRecord(members))

    def save_reset(self, index: LogIndex) -> None:
        """Add to what `sync` writes that a snapshot replaced all entries."""
        self._add(_ResetRecord(index))
        self._note_index(index)

    def save_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Add entries to what the next `sync` writes.

        Parameters
        ----------
        entries : tuple of LogEntry
            Replace those that the log holds from the first one's index on.
        """
        for entry in entries:
            self._add(_EntryRecord(entry))
        self._note_index(entries[-1].index)

    def _note_index(self, index: LogIndex) -> None:
        number = self._manifest.last
        self._last_indexes[number] = max(self._last_indexes[number], index)

    def _add(self, record: msgspec.Struct) -> None:
        plain = msgspec.to_builtins(record, builtin_types=(bytes,))
        self._waiting.append(encode_record(cbor2.dumps(plain)))

    def sync(self) -> None:
        """Write all that was added and sync it to the disk.

        Raises
        ------
        OSError
            If the disk refuses it. What was added is kept and the file is as
            long as before, so that `sync` may be called again.
        """
        if not self._waiting:
            return
        data = b"".join(self._waiting)
        self._waiting = [data]
        try:
            self._append(data)
        except OSError:
            self._cut_back()
            raise
        self._waiting.clear()
        self._size += len(data)
        if self._size >= self._segment_bytes:
            try:
                self._begin_segment()
            except OSError as error:
                # The present segment grows on, until a later sync.
                logger.warning("no new segment of the log", why=str(error))

    def _append(self, data: bytes) -> None:
        written = 0
        while written < len(data):
            written += self._stream.write(data[written:])
        os.fdatasync(self._stream.fileno())

    def _cut_back(self) -> None:
        """Remove what a failed write has left behind the last synced record."""
        self._stream.seek(self._size)
        try:
            self._stream.truncate(self._size)
        except OSError as error:
            # What is left is written over, or cut as a torn tail at a start.
            logger.warning("the log was not cut back", why=str(error))

    def _begin_segment(self) -> None:
        number = self._manifest.last + 1
        stream = open_segment(self._folder, number)
        Manifest(self._manifest.first, number).save(self._folder)
        self._stream.close()
        self._manifest = Manifest(self._manifest.first, number)
        self._stream = stream
        self._size = 0
        self._last_indexes[number] = 0
        # Earlier segments may be dropped, so each begins with the last vote.
        self._add(self._vote)
        self.sync()

    def drop_up_to(self, index: LogIndex) -> None:
        """Remove the first segments that hold no entry after `index`.

        Parameters
        ----------
        index : LogIndex
            Covered by a snapshot that is synced.
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
    """Apply one segment's records; return its highest index."""
    last_index = 0
    for payload in payloads:
        match _decode(payload):
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


def _decode(payload: bytes) -> msgspec.Struct:
    try:
        return msgspec.convert(cbor2.loads(payload), _Record, builtin_types=(bytes,))
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"a record of the log cannot be read: {error}"
        ) from error


def _replay_entry(entry: LogEntry, entries: list[LogEntry]) -> None:
    if entries and entry.index <= entries[-1].index:
        del entries[max(0, entry.index - entries[0].index) :]
    if entries and entry.index != entries[-1].index + 1:
        raise StorageError(
            ErrorKind.CORRUPT_DATA,
            f"the log has no entry between {entries[-1].index} and {entry.index}",
        )
    entries.append(entry)
