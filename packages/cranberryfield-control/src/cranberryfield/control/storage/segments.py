"""The files that the log is cut into, and the manifest that lists them."""

import os
from dataclasses import dataclass
from pathlib import Path

import cbor2
import structlog

from cranberryfield.control.storage.files import sync_folder, write_synced
from cranberryfield.control.storage.records import (
    encode_record,
    scan_records,
)
from cranberryfield.core.errors import ErrorKind, StorageError

__all__ = [
    "Manifest",
    "create_log",
    "open_segment",
    "read_segments",
    "remove_unlisted",
    "segment_path",
]

MANIFEST_FILE = "manifest"
FIRST_SEGMENT = 1

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Manifest:
    """Numbers of the first and the last segment."""

    first: int
    last: int

    def save(self, folder: Path) -> None:
        """Write the manifest and sync it."""
        payload = cbor2.dumps([self.first, self.last])
        write_synced(folder / MANIFEST_FILE, encode_record(payload))

    @classmethod
    def load(cls, folder: Path) -> "Manifest | None":
        """Read the manifest; None in a new folder.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if it cannot be read.
        """
        file = folder / MANIFEST_FILE
        if not file.exists():
            return None
        scanned = scan_records(file.read_bytes())
        if scanned.damage is not None or len(scanned.payloads) != 1:
            raise StorageError(
                ErrorKind.CORRUPT_DATA, f"{file}: the manifest cannot be read"
            )
        return cls(*cbor2.loads(scanned.payloads[0]))


def create_log(folder: Path) -> None:
    """Make an empty log, or keep one that a crash left without an identity.

    Parameters
    ----------
    folder : pathlib.Path
        A data folder without an identity.

    Raises
    ------
    StorageError
        Of kind ``corrupt_data`` if the log holds anything.
    """
    manifest = Manifest(FIRST_SEGMENT, FIRST_SEGMENT)
    found = Manifest.load(folder)
    first = segment_path(folder, FIRST_SEGMENT)
    if found not in (None, manifest) or (first.exists() and first.stat().st_size):
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"{folder}: holds a log but no identity"
        )
    open_segment(folder, FIRST_SEGMENT).close()
    manifest.save(folder)


def segment_path(folder: Path, number: int) -> Path:
    """Return the file of a segment."""
    return folder / f"log-{number:08d}"


def open_segment(folder: Path, number: int):
    """Open a segment for appending, unbuffered, and make its name last."""
    stream = open(segment_path(folder, number), "ab", buffering=0)  # noqa: SIM115
    sync_folder(folder)
    return stream


def remove_unlisted(folder: Path, manifest: Manifest) -> None:
    """Remove segments that a crash left between a change and its manifest."""
    for file in folder.glob("log-*"):
        number = int(file.name.removeprefix("log-"))
        if not manifest.first <= number <= manifest.last:
            file.unlink()


def read_segments(folder: Path, manifest: Manifest) -> list[list[bytes]]:
    """Read all records, one list for each segment, and cut a torn tail.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    manifest : Manifest
        Which segments there are.

    Returns
    -------
    list of list of bytes
        Payloads of the records.

    Raises
    ------
    StorageError
        Of kind ``corrupt_data`` if a segment is missing, or a damaged record
        is followed by a valid one or stands in any segment but the last, so
        that cutting would lose what was synced.
    """
    segments = []
    for number in range(manifest.first, manifest.last + 1):
        file = segment_path(folder, number)
        if not file.exists():
            raise StorageError(ErrorKind.CORRUPT_DATA, f"{file}: missing")
        scanned = scan_records(file.read_bytes())
        if scanned.damage is not None:
            if number != manifest.last or not scanned.damage.is_tail:
                raise StorageError(
                    ErrorKind.CORRUPT_DATA,
                    f"{file}: damaged at byte {scanned.damage.offset}, "
                    "with valid records after it",
                )
            _cut(file, scanned.damage.offset)
        segments.append(scanned.payloads)
    return segments


def _cut(file: Path, offset: int) -> None:
    logger.warning("torn tail cut", file=str(file), at=offset)
    with open(file, "r+b") as stream:
        stream.truncate(offset)
        os.fsync(stream.fileno())
