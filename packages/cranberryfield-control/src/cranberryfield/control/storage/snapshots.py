"""Snapshot on disk: the applied state up to one entry of the log."""

import os
from pathlib import Path

import anyio
import cbor2
import msgspec

from cranberryfield.control.storage.durable_files import sync_folder
from cranberryfield.control.storage.records import (
    RECORD_HEADER_BYTES,
    encode_record,
    scan_records,
)
from cranberryfield.core.errors import ErrorKind, StorageError
from cranberryfield.core.ids import LogIndex, Term
from cranberryfield.core.messages.consensus import Members

__all__ = ["SnapshotHeader", "SnapshotStore"]

SNAPSHOT_FILE = "snapshot"
CHUNK_BYTES = 256 * 1024


class SnapshotHeader(msgspec.Struct, frozen=True, array_like=True):
    """Header of a snapshot.

    Attributes
    ----------
    last_index, last_term
        Index and term of the last entry covered by the snapshot.
    members : Members
        Group members as of that entry.
    size : int
        Size of the encoded state, in bytes.
    """

    last_index: LogIndex = LogIndex(0)
    last_term: Term = Term(0)
    members: Members = Members()
    size: int = 0


class SnapshotStore:
    """Store for the single snapshot of a data folder.

    A snapshot is written in chunks to a temporary file, which is renamed once it
    is complete. Each chunk is synced before the event loop runs other tasks.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    header : SnapshotHeader
        Header of the stored snapshot.
    """

    def __init__(self, folder: Path, header: SnapshotHeader):
        self._folder = folder
        self._header = header
        self._lock = anyio.Lock()

    @property
    def header(self) -> SnapshotHeader:
        """Header of the stored snapshot; its index is 0 if there is none."""
        return self._header

    @classmethod
    def open(cls, folder: Path) -> tuple["SnapshotStore", bytes]:
        """Open the store and read the stored snapshot.

        Parameters
        ----------
        folder : pathlib.Path
            The data folder.

        Returns
        -------
        store : SnapshotStore
            The store.
        state : bytes
            The encoded state; empty if there is no snapshot.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if the snapshot is damaged.
        """
        for leftover in folder.glob(f"{SNAPSHOT_FILE}.*"):
            leftover.unlink()
        file = folder / SNAPSHOT_FILE
        if not file.exists():
            return cls(folder, SnapshotHeader()), b""
        header, chunks = _read_snapshot(file)
        return cls(folder, header), b"".join(chunks)

    async def write(self, header: SnapshotHeader, state: bytes) -> None:
        """Store a snapshot, unless the stored one is at least as recent.

        Parameters
        ----------
        header : SnapshotHeader
            Header of the snapshot.
        state : bytes
            The encoded state.
        """
        async with self._lock:
            if header.last_index <= self._header.last_index:
                return
            temporary = self._folder / f"{SNAPSHOT_FILE}.new"
            with open(temporary, "wb", buffering=0) as stream:
                stream.write(_encode_header(header))
                for offset in range(0, len(state), CHUNK_BYTES):
                    chunk = state[offset : offset + CHUNK_BYTES]
                    stream.write(encode_record(chunk))
                    os.fdatasync(stream.fileno())
                    await anyio.sleep(0)
                os.fsync(stream.fileno())
            os.replace(temporary, self._folder / SNAPSHOT_FILE)
            sync_folder(self._folder)
            self._header = header

    def read_chunk(self, offset: int) -> bytes:
        """Return the chunk that begins at `offset` bytes of the state.

        Parameters
        ----------
        offset : int
            Number of bytes already received; a multiple of the chunk size.

        Returns
        -------
        bytes
            The chunk; empty at the end of the state or if the offset is not a
            multiple of the chunk size.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if the chunk is damaged.
        """
        number, rest = divmod(offset, CHUNK_BYTES)
        if rest or offset >= self._header.size:
            return b""
        first = len(_encode_header(self._header))
        with open(self._folder / SNAPSHOT_FILE, "rb") as stream:
            stream.seek(first + number * (RECORD_HEADER_BYTES + CHUNK_BYTES))
            record = stream.read(RECORD_HEADER_BYTES + CHUNK_BYTES)
        size = min(CHUNK_BYTES, self._header.size - offset)
        scanned = scan_records(record[: RECORD_HEADER_BYTES + size])
        if scanned.damage is not None or not scanned.payloads:
            raise StorageError(
                ErrorKind.CORRUPT_DATA,
                f"{SNAPSHOT_FILE}: damaged chunk at state offset {offset}",
            )
        return scanned.payloads[0]


def _encode_header(header: SnapshotHeader) -> bytes:
    return encode_record(cbor2.dumps(msgspec.to_builtins(header)))


def _read_snapshot(file: Path) -> tuple[SnapshotHeader, list[bytes]]:
    scanned = scan_records(file.read_bytes())
    if scanned.damage is not None or not scanned.payloads:
        raise StorageError(ErrorKind.CORRUPT_DATA, f"{file}: the snapshot is damaged")
    header_payload, *chunks = scanned.payloads
    header = msgspec.convert(cbor2.loads(header_payload), SnapshotHeader)
    if sum(map(len, chunks)) != header.size:
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"{file}: the snapshot is incomplete"
        )
    return header, chunks
