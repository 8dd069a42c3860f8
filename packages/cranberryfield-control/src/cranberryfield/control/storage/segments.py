"""Segment files of the log, and the manifest that lists them."""

import os
from dataclasses import dataclass
from pathlib import Path

import cbor2
import structlog

from cranberryfield.control.storage.durable_files import (
    replace_file_atomically,
    sync_folder,
)
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
    "remove_unlisted_segments",
    "segment_path",
]

MANIFEST_FILE = "manifest"
FIRST_SEGMENT = 1

logger = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Manifest:
    """Numbers of the first and last log segment."""

    first: int
    last: int

    def save(self, folder: Path) -> None:
        """Write the manifest to `folder` and sync it to disk."""
        payload = cbor2.dumps([self.first, self.last])
        replace_file_atomically(folder / MANIFEST_FILE, encode_record(payload))

    @classmethod
    def load(cls, folder: Path) -> "Manifest | None":
        """Read the manifest of `folder`; None in a new folder.

        Raises
        ------
        StorageError
            Of kind ``corrupt_data`` if the manifest is damaged.
        """
        file = folder / MANIFEST_FILE
        if not file.exists():
            return None
        scanned = scan_records(file.read_bytes())
        if scanned.damage is not None or len(scanned.payloads) != 1:
            raise StorageError(
                ErrorKind.CORRUPT_DATA, f"{file}: the log manifest is damaged"
            )
        return cls(*cbor2.loads(scanned.payloads[0]))


def create_log(folder: Path) -> None:
    """Create an empty log, or reuse one that a crash left without an identity.

    Parameters
    ----------
    folder : pathlib.Path
        A data folder without an identity.

    Raises
    ------
    StorageError
        Of kind ``corrupt_data`` if the existing log is not empty.
    """
    manifest = Manifest(FIRST_SEGMENT, FIRST_SEGMENT)
    found = Manifest.load(folder)
    first = segment_path(folder, FIRST_SEGMENT)
    if found not in (None, manifest) or (first.exists() and first.stat().st_size):
        raise StorageError(
            ErrorKind.CORRUPT_DATA, f"{folder}: contains a log but no identity file"
        )
    open_segment(folder, FIRST_SEGMENT).close()
    manifest.save(folder)


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment file."""
    return folder / f"log-{number:08d}"


def open_segment(folder: Path, number: int):
    """Open a segment for unbuffered appending, and sync its name to disk."""
    stream = open(segment_path(folder, number), "ab", buffering=0)  # noqa: SIM115
    sync_folder(folder)
    return stream


def remove_unlisted_segments(folder: Path, manifest: Manifest) -> None:
    """Remove segments outside the manifest, which a crash can leave behind."""
    for file in folder.glob("log-*"):
        number = int(file.name.removeprefix("log-"))
        if not manifest.first <= number <= manifest.last:
            file.unlink()


def read_segments(folder: Path, manifest: Manifest) -> list[list[bytes]]:
    """Read the records of all segments and truncate a torn write at the end.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    manifest : Manifest
        The segments to read.

    Returns
    -------
    list of list of bytes
        Record payloads, one list for each segment.

    Raises
    ------
    StorageError
        Of kind ``corrupt_data`` if a segment is missing, or if a damaged record
        is followed by a valid one or is not in the last segment. Truncating
        would then lose synced records.
    """
    segments = []
    for number in range(manifest.first, manifest.last + 1):
        file = segment_path(folder, number)
        if not file.exists():
            raise StorageError(
                ErrorKind.CORRUPT_DATA, f"{file}: log segment is missing"
            )
        scanned = scan_records(file.read_bytes())
        if scanned.damage is not None:
            if number != manifest.last or not scanned.damage.is_tail:
                raise StorageError(
                    ErrorKind.CORRUPT_DATA,
                    f"{file}: damaged at byte {scanned.damage.offset}, "
                    "before the end of the log",
                )
            _truncate(file, scanned.damage.offset)
        segments.append(scanned.payloads)
    return segments


def _truncate(file: Path, offset: int) -> None:
    logger.warning(
        "incomplete write at the end of the log truncated",
        file=str(file),
        offset=offset,
    )
    with open(file, "r+b") as stream:
        stream.truncate(offset)
        os.fsync(stream.fileno())
