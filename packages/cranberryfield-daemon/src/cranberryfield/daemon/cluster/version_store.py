"""Keeps the software versions that a control host knows on its disk."""

from pathlib import Path

import anyio
import anyio.to_thread
import structlog

from cranberryfield.control.storage.durable_files import replace_file_atomically
from cranberryfield.control.storage.records import encode_record, scan_records
from cranberryfield.core.clock import Clock
from cranberryfield.core.errors import CranberryfieldError
from cranberryfield.core.messages.codec import decode_message, encode_message
from cranberryfield.core.messages.streams import StreamOriginMark, StreamOrigins
from cranberryfield.entry.streams import ServedVersionSection
from cranberryfield.entry.streams.served_versions import note_version

__all__ = ["VersionStore"]

FILE_NAME = "versions"
MS_PER_S = 1000
#: Interval at which versions that were forgotten are looked for, and a failed write is
#: tried again, in seconds.
CHECK_INTERVAL_S = 5.0

logger = structlog.get_logger(__name__)


class VersionStore:
    """File with the software versions of each service that were in service.

    It is read when all control hosts have restarted. Without it, a version that has
    begun streams and has left since would be unknown. Stored versions count as in
    service at the start, which is never too early. The time of day only serves to tell
    for how long the versions have been complete, after this host had lost its disk.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder.
    section : ServedVersionSection
        Versions known to this host.
    clock : Clock
        Monotonic time.
    wall_clock : Clock
        Time of day in seconds, which goes on while the host is down.
    """

    def __init__(
        self,
        folder: Path,
        section: ServedVersionSection,
        clock: Clock,
        wall_clock: Clock,
    ):
        self._file = folder / FILE_NAME
        self._section = section
        self._clock = clock
        self._wall_clock = wall_clock
        self._stored: frozenset[tuple[str, str]] | None = None
        self._changed = anyio.Event()

    def load(self) -> None:
        """Add the stored versions to the section.

        They are complete for as long as the file says, or if the folder holds the data
        of a build that did not write the file. In an empty folder they are complete
        since now, as the disk may have been lost.
        """
        now = self._clock()
        self._section.complete_since = now
        try:
            data = self._file.read_bytes()
            stored_at = self._file.stat().st_mtime
        except FileNotFoundError:
            folder = self._file.parent
            if folder.is_dir() and any(folder.iterdir()):
                self._section.complete_since = float("-inf")
            return
        try:
            message = decode_message(scan_records(data).payloads[0])
        except (IndexError, CranberryfieldError) as error:
            logger.warning("cannot read the stored versions", why=str(error))
            return
        if not isinstance(message, StreamOrigins):
            logger.warning("cannot read the stored versions", why="another message")
            return
        for mark in message.origins:
            note_version(self._section, mark.service, mark.software_version, now)
        stored_s = max(0.0, self._wall_clock() - stored_at)
        self._section.complete_since = now - stored_s - message.reach_ms / MS_PER_S
        self._stored = self._known()

    def on_change(self) -> None:
        """Store the versions soon."""
        self._changed.set()

    async def run(self) -> None:
        """Store the versions when they have changed, until cancelled."""
        while True:
            await self.store_changes()
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._changed.wait()
            self._changed = anyio.Event()

    async def store_changes(self) -> None:
        """Store the versions if they have changed since the last time."""
        known = self._known()
        if known == self._stored:
            return
        marks = (StreamOriginMark(b"", *one, 0) for one in sorted(known))
        reach_ms = int(self._section.reach_s(self._clock()) * MS_PER_S)
        message = StreamOrigins(tuple(marks), reach_ms=reach_ms)
        record = encode_record(encode_message(message))
        try:
            # A sync may take longer than a step may hold the loop.
            await anyio.to_thread.run_sync(replace_file_atomically, self._file, record)
        except OSError as error:
            logger.warning("cannot store the versions", why=str(error))
            return
        self._stored = known

    def _known(self) -> frozenset[tuple[str, str]]:
        return frozenset(
            (service, version)
            for service, versions in self._section.last_served.items()
            for version in versions
        )
