"""Log compaction: snapshots of the applied state bound the size of the log."""

import anyio
import structlog

from cranberryfield.control.consensus import SnapshotSaved
from cranberryfield.control.recovery import StoredReplica, encode_state
from cranberryfield.control.storage import SnapshotHeader
from cranberryfield.core.ids import LogIndex

__all__ = ["Compactor"]

CHECK_INTERVAL_S = 0.5
#: Applied entries since the last snapshot after which a new one is written.
SNAPSHOT_ENTRIES = 8_000
#: Log segments on disk at which a snapshot is written even with fewer entries.
SNAPSHOT_SEGMENTS = 4
#: Bounds of the entries retained in memory for replicas that lag a little.
RETAINED_ENTRIES = 1_000
RETAINED_BYTES = 8 << 20

logger = structlog.get_logger(__name__)


class Compactor:
    """Writes a snapshot when the log has grown enough since the last one.

    Parameters
    ----------
    section : ControlSection
        The replica and its applied state, read-only.
    stored : StoredReplica
        Open files of the data folder.
    submit : callable
        Queues an event for the replica.
    """

    def __init__(self, section, stored: StoredReplica, submit):
        self._section = section
        self._stored = stored
        self._submit = submit

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            if self._is_due():
                try:
                    await self._write_snapshot()
                except OSError as error:
                    logger.warning(
                        "cannot write a snapshot or compact the log", why=str(error)
                    )
            await anyio.sleep(CHECK_INTERVAL_S)

    def _is_due(self) -> bool:
        new_entries = (
            self._section.applied_index - self._stored.snapshots.header.last_index
        )
        segments = self._stored.journal.segments
        return new_entries >= SNAPSHOT_ENTRIES or (
            new_entries > 0 and segments >= SNAPSHOT_SEGMENTS
        )

    async def _write_snapshot(self) -> None:
        index = self._section.applied_index
        log = self._section.replica.log
        state = encode_state(self._section.state)
        header = SnapshotHeader(
            index, log.term_at(index), log.members_at(index), len(state)
        )
        await self._stored.snapshots.write(header, state)
        self._stored.journal.remove_segments_up_to(index)
        logger.info("snapshot written", index=index, bytes=len(state))
        self._submit(SnapshotSaved(self._compaction_index(index)))

    def _compaction_index(self, index: LogIndex) -> LogIndex:
        """Return the index up to which entries are dropped from memory."""
        log = self._section.replica.log
        retained_bytes = 0
        first = index
        while index - first < RETAINED_ENTRIES and first > log.base_index:
            retained_bytes += len(log.slice(first, first)[0].command)
            if retained_bytes > RETAINED_BYTES:
                break
            first = LogIndex(first - 1)
        return first
