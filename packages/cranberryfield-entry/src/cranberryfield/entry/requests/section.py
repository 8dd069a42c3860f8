"""The records of one entry host, in bounded memory."""

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
    """Section of the blackboard: the records of requests received here.

    Attributes
    ----------
    records : dict
        The records by workspace and key.
    used_bytes : int
        Their size together, in bytes.
    """

    records: dict[RecordName, RequestRecord] = field(default_factory=dict)
    used_bytes: int = 0
    _ended: OrderedDict[RecordName, float] = field(default_factory=OrderedDict)

    def open(self, request: Request, now: float) -> tuple[RequestRecord, bool]:
        """Return the request's record, a new one if there is none.

        Parameters
        ----------
        request : Request
            The request.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        record : RequestRecord
            Its record.
        is_new : bool
            Whether the request has to be run.

        Raises
        ------
        CallerError
            Of kind ``key_reused`` if the key stands for another body.
        UnavailableError
            Of kind ``records_full`` if there is no memory for one more.
        """
        name = (request.workspace, request.key)
        known = self.records.get(name)
        if known is not None:
            if known.request.digest != request.digest:
                raise CallerError(
                    ErrorKind.KEY_REUSED, "the key stands for another request"
                )
            if not _may_run_again(known):
                return known, False
        record = RequestRecord(request)
        self._make_room(request, record.size_bytes, now)
        if known is not None:
            self._continue(record, known)
        self.add(name, record)
        return record, True

    def add(self, name: RecordName, record: RequestRecord) -> None:
        """Add a record in the place of the one with the same name."""
        self.remove(name)
        self.records[name] = record
        self.used_bytes += record.size_bytes
        record.on_growth = self._grow

    def remove(self, name: RecordName) -> None:
        """Forget a record."""
        record = self.records.pop(name, None)
        self._ended.pop(name, None)
        if record is not None:
            record.on_growth = lambda size: None
            self.used_bytes -= record.size_bytes

    def note_end(self, record: RequestRecord, now: float) -> None:
        """Keep an ended record for its retention time, or not at all.

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

    def _continue(self, record: RequestRecord, known: RequestRecord) -> None:
        if known.request.idempotent and known.events:
            known.drop_uncommitted()
            record.adopt(known.to_copy(record.runner or "", False), known.epoch + 1)

    def _grow(self, size: int) -> None:
        self.used_bytes += size

    def _make_room(self, request: Request, size: int, now: float) -> None:
        limit = request.settings.record_memory_bytes
        while self._ended:
            name, keep_until = next(iter(self._ended.items()))
            if now < keep_until and self.used_bytes + size <= limit:
                return
            self.remove(name)
        if self.used_bytes + size > limit:
            raise UnavailableError(
                ErrorKind.RECORDS_FULL,
                "no memory for one more request record",
                was_run=WasRun.UNKNOWN if request.has_caller_key else WasRun.NO,
                retry_after_s=1.0,
            )


def _may_run_again(record: RequestRecord) -> bool:
    if record.state is RequestState.MOVED:
        return True
    if record.state is not RequestState.FAILED:
        return False
    # What stands under a non-idempotent key is for the log to say, and an
    # answer that is no longer kept may be asked for again from its start.
    if not record.request.idempotent or record.error.kind is ErrorKind.KEY_EXPIRED:
        return True
    return record.error.response.retry
