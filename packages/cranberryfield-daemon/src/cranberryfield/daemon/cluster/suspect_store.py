"""Keeps the quarantine of a control host on its disk, for a loss of all power."""

from pathlib import Path

import anyio
import structlog

from cranberryfield.control.storage.durable_files import replace_file_atomically
from cranberryfield.control.storage.records import encode_record, scan_records
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.quarantine import SuspectReport
from cranberryfield.entry.quarantine import QuarantineSection
from cranberryfield.entry.quarantine.reports import (
    digest_suspects,
    make_full_report,
    merge_report,
)

__all__ = ["SuspectStore"]

FILE_NAME = "suspects"
#: Shortest interval between two writes, in seconds.
WRITE_INTERVAL_S = 0.5

logger = structlog.get_logger(__name__)


class SuspectStore:
    """File with the crashes that a control host knows.

    Hosts tell each other of crashes, so that one that restarts learns them again; the
    file is for the case that all restart at once.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    section : QuarantineSection
        Crashes known to this host.
    clock : Clock
        Monotonic time.
    wall_clock : Clock
        Time of day in seconds, which goes on while the host is down.
    """

    def __init__(
        self,
        folder: Path,
        section: QuarantineSection,
        clock: Clock,
        wall_clock: Clock,
    ):
        self._file = folder / FILE_NAME
        self._section = section
        self._clock = clock
        self._wall_clock = wall_clock
        self._stored_digest = 0

    def load(self) -> None:
        """Add the stored crashes to the section; they are older by the time since."""
        try:
            data = self._file.read_bytes()
            stored_at = self._file.stat().st_mtime
        except FileNotFoundError:
            return
        scanned = scan_records(data)
        try:
            report = decode_message(scanned.payloads[0])
        except (IndexError, CranberryfieldError) as error:
            logger.warning("cannot read the stored suspects", why=str(error))
            return
        if isinstance(report, SuspectReport):
            stored_s = max(0.0, self._wall_clock() - stored_at)
            merge_report(self._section, report, self._clock() - stored_s)
        self._stored_digest = digest_suspects(self._section)

    async def run(self) -> None:
        """Store the crashes when they have changed, until cancelled."""
        while True:
            await anyio.sleep(WRITE_INTERVAL_S)
            self.store_changes()

    def store_changes(self) -> None:
        """Store the crashes if they have changed since the last time."""
        digest = digest_suspects(self._section)
        if digest == self._stored_digest:
            return
        report = make_full_report(self._section, self._clock())
        try:
            replace_file_atomically(self._file, encode_record(encode_message(report)))
        except OSError as error:
            logger.warning("cannot store the suspects", why=str(error))
            return
        self._stored_digest = digest
