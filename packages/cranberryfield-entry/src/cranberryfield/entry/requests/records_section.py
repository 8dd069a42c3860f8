"""Store of the request records of one entry host, bounded in memory."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cranberryfield.core.errors import (
    CallerError,
    ErrorKind,
    UnavailableError,
    WasRun,
)
from cranberryfield.core.ids import RequestKey, WorkspaceId
from cranberryfield.entry.requests.records import RequestRecord, RequestState
from cranberryfield.entry.requests.request import Request

__all__ = ["RecordName", "RecordsSection"]

RecordName = tuple[WorkspaceId, RequestKey]


@dataclass(slots=True)
class RecordsSection:
    """Section of the blackboard: records of requests received by this host.

    Attributes
    ----------
    records : dict
        Records by workspace and key.
    used_bytes : int
        Total size of the records, in bytes.
    """

    records: dict[RecordName, RequestRecord] = field(default_factory=dict)
    used_bytes: int = 0
    _ended: OrderedDict[RecordName, float] = field(default_factory=OrderedDict)

    def open(self, request: Request, now: float) -> tuple[RequestRecord, bool]:
        """Return the record of a request, creating one if needed.

        Parameters
        ----------
        request : Request
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        record : RequestRecord
            Record of the request.
        is_new : bool
            Whether the request has to be run.

        Raises
        ------
        CallerError
            Of kind ``key_reused`` if the key was used for another request.
        UnavailableError
            Of kind ``records_full`` if the memory limit is reached.
        """
        name = (request.workspace, request.key)
        existing = self.records.get(name)
        if existing is not None:
            if existing.request.digest != request.digest:
                raise CallerError(
                    ErrorKind.KEY_REUSED,
                    "the key was already used for a different request",
                )
            if not _may_run_again(existing):
                return existing, False
        record = RequestRecord(request)
        self._free_memory(request, record.size_bytes, now)
        if existing is not None:
            self._copy_committed(record, existing)
        self.add(name, record)
        return record, True

    def add(self, name: RecordName, record: RequestRecord) -> None:
        """Add a record, replacing one with the same name."""
        self.remove(name)
        self.records[name] = record
        self.used_bytes += record.size_bytes
        record.on_growth = self._add_used_bytes

    def remove(self, name: RecordName) -> None:
        """Remove a record."""
        record = self.records.pop(name, None)
        self._ended.pop(name, None)
        if record is not None:
            record.on_growth = lambda size: None
            self.used_bytes -= record.size_bytes

    def schedule_removal(self, record: RequestRecord, now: float) -> None:
        """Schedule an ended record for removal, or remove it if it has no caller key.

        Parameters
        ----------
        record : RequestRecord
            A record that has ended.
        now : float
            Monotonic time in seconds.
        """
        request = record.request
        name = (request.workspace, request.key)
        if self.records.get(name) is not record:
            return
        if not request.has_caller_key:
            self.remove(name)
            return
        self._ended[name] = now + request.settings.retention_ms / 1000

    def _copy_committed(self, record: RequestRecord, existing: RequestRecord) -> None:
        if existing.request.idempotent and existing.events:
            existing.discard_uncommitted()
            record.replace_with_copy(
                existing.to_copy(record.runner or "", False), existing.epoch + 1
            )

    def _add_used_bytes(self, size: int) -> None:
        self.used_bytes += size

    def _free_memory(self, request: Request, size: int, now: float) -> None:
        limit = request.settings.record_memory_bytes
        while self._ended:
            name, expires_at = next(iter(self._ended.items()))
            if now < expires_at and self.used_bytes + size <= limit:
                return
            self.remove(name)
        if self.used_bytes + size > limit:
            raise UnavailableError(
                ErrorKind.RECORDS_FULL,
                "memory limit for request records reached",
                was_run=WasRun.UNKNOWN if request.has_caller_key else WasRun.NO,
                retry_after_s=1.0,
            )


def _may_run_again(record: RequestRecord) -> bool:
    if record.state is RequestState.MOVED:
        return True
    if record.state is not RequestState.FAILED:
        return False
    # For a non-idempotent key the replicated log decides. A request whose answer
    # has expired may be run again from the start.
    if not record.request.idempotent or record.error.kind is ErrorKind.KEY_EXPIRED:
        return True
    return record.error.response.retry
