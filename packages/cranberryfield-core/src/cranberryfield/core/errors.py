"""Exception classes, the closed list of error kinds and their responses.

Every error that leaves a process has an `ErrorKind`. The table
`ERROR_RESPONSES` gives, for each kind, the HTTP status, whether the request may
have run, whether the response carries ``Retry-After``, and the exit code of the
operators' client.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "ERROR_RESPONSES",
    "CallerError",
    "ConfigError",
    "ControlError",
    "CranberryfieldError",
    "ErrorKind",
    "ErrorResponse",
    "InternalError",
    "ProtocolError",
    "StorageError",
    "UnavailableError",
    "WasRun",
    "error_of_kind",
    "find_cranberryfield_error",
]


class WasRun(Enum):
    """Whether any upstream ran a request that failed or was refused."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Closed list of the reasons for errors that leave a process."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_REQUEST = "unknown_request"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_BUSY = "key_busy"
    REQUEST_CRASHES_UPSTREAMS = "request_crashes_upstreams"
    OVER_LIMIT = "over_limit"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CALLER_GONE = "caller_gone"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_TOO_LARGE = "answer_too_large"
    RECORDS_FULL = "records_full"
    NOT_READY = "not_ready"
    DRAINED = "drained"
    STALE_INCARNATION = "stale_incarnation"
    NO_QUORUM = "no_quorum"
    UNKNOWN_PATH = "unknown_path"
    INVALID_SETTING = "invalid_setting"
    STALE_REVISION = "stale_revision"
    CONFLICT = "conflict"
    FOREIGN_DATA = "foreign_data"
    DATA_IN_USE = "data_in_use"
    CORRUPT_DATA = "corrupt_data"
    INVALID_CONFIG = "invalid_config"
    ADDRESS_UNAVAILABLE = "address_unavailable"
    PROTOCOL = "protocol"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """HTTP response and exit code for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    was_run : WasRun
        Default for errors that are raised without a `WasRun`.
    retry : bool
        Whether the response carries ``Retry-After``.
    exit_code : int
        Exit code of the operators' client.
    """

    status: int
    was_run: WasRun
    retry: bool
    exit_code: int


_NO = WasRun.NO
_UNKNOWN = WasRun.UNKNOWN

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _NO, False, 2),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NO, False, 2),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, _NO, False, 3),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, _NO, False, 4),
    ErrorKind.UNKNOWN_REQUEST: ErrorResponse(404, _NO, False, 4),
    ErrorKind.KEY_REQUIRED: ErrorResponse(400, _NO, False, 2),
    ErrorKind.KEY_REUSED: ErrorResponse(422, _NO, False, 5),
    ErrorKind.KEY_EXPIRED: ErrorResponse(410, _UNKNOWN, False, 5),
    ErrorKind.KEY_BUSY: ErrorResponse(409, _UNKNOWN, True, 6),
    ErrorKind.REQUEST_CRASHES_UPSTREAMS: ErrorResponse(422, WasRun.YES, False, 5),
    ErrorKind.OVER_LIMIT: ErrorResponse(429, _NO, True, 6),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, _NO, True, 6),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNKNOWN, True, 6),
    ErrorKind.CALLER_GONE: ErrorResponse(499, _UNKNOWN, False, 7),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, _NO, True, 6),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, _UNKNOWN, True, 6),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(409, _UNKNOWN, False, 7),
    ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(502, WasRun.YES, False, 7),
    ErrorKind.RECORDS_FULL: ErrorResponse(503, _NO, True, 6),
    ErrorKind.NOT_READY: ErrorResponse(503, _NO, True, 6),
    ErrorKind.DRAINED: ErrorResponse(503, _NO, True, 6),
    ErrorKind.STALE_INCARNATION: ErrorResponse(409, _NO, False, 5),
    ErrorKind.NO_QUORUM: ErrorResponse(503, _NO, True, 6),
    ErrorKind.UNKNOWN_PATH: ErrorResponse(404, _NO, False, 4),
    ErrorKind.INVALID_SETTING: ErrorResponse(422, _NO, False, 8),
    ErrorKind.STALE_REVISION: ErrorResponse(409, _NO, False, 9),
    ErrorKind.CONFLICT: ErrorResponse(409, _NO, False, 9),
    ErrorKind.FOREIGN_DATA: ErrorResponse(500, _NO, False, 10),
    ErrorKind.DATA_IN_USE: ErrorResponse(500, _NO, False, 10),
    ErrorKind.CORRUPT_DATA: ErrorResponse(500, _NO, False, 11),
    ErrorKind.INVALID_CONFIG: ErrorResponse(500, _NO, False, 2),
    ErrorKind.ADDRESS_UNAVAILABLE: ErrorResponse(500, _NO, False, 13),
    ErrorKind.PROTOCOL: ErrorResponse(502, _UNKNOWN, True, 12),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN, True, 1),
}


class CranberryfieldError(Exception):
    """Base class of all errors that this project raises on purpose.

    Parameters
    ----------
    kind : ErrorKind
        Reason for the error.
    detail : str
        Human-readable explanation in one sentence.
    was_run : WasRun, optional
        Overrides the default for the kind in `ERROR_RESPONSES`.
    retry_after_s : float, optional
        Time after which a retry may succeed, in seconds.

    Examples
    --------
    >>> error = CranberryfieldError(ErrorKind.QUEUE_FULL, "64 requests are queued")
    >>> error.response.status, error.was_run.value
    (503, 'no')
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        was_run: WasRun | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.was_run = was_run or ERROR_RESPONSES[kind].was_run
        self.retry_after_s = retry_after_s

    @property
    def response(self) -> ErrorResponse:
        """The response to errors of this kind, from `ERROR_RESPONSES`."""
        return ERROR_RESPONSES[self.kind]


class CallerError(CranberryfieldError):
    """The request is invalid; resending it unchanged cannot succeed."""


class UnavailableError(CranberryfieldError):
    """The request is valid but cannot be served now."""


class ControlError(CranberryfieldError):
    """A change of the control state was refused."""


class StorageError(CranberryfieldError):
    """The data folder cannot be used."""


class ConfigError(CranberryfieldError):
    """The configuration is invalid or cannot be used on this host."""


class ProtocolError(CranberryfieldError):
    """Another process sent a message that cannot be decoded or handled."""


class InternalError(CranberryfieldError):
    """Unexpected failure inside this program."""


_ERROR_CLASSES: dict[ErrorKind, type[CranberryfieldError]] = {
    ErrorKind.BAD_REQUEST: CallerError,
    ErrorKind.BODY_TOO_LARGE: CallerError,
    ErrorKind.UNAUTHENTICATED: CallerError,
    ErrorKind.UNKNOWN_SERVICE: CallerError,
    ErrorKind.UNKNOWN_REQUEST: CallerError,
    ErrorKind.KEY_REQUIRED: CallerError,
    ErrorKind.KEY_REUSED: CallerError,
    ErrorKind.KEY_EXPIRED: CallerError,
    ErrorKind.REQUEST_CRASHES_UPSTREAMS: CallerError,
    ErrorKind.STALE_INCARNATION: CallerError,
    ErrorKind.UNKNOWN_PATH: ControlError,
    ErrorKind.INVALID_SETTING: ControlError,
    ErrorKind.STALE_REVISION: ControlError,
    ErrorKind.CONFLICT: ControlError,
    ErrorKind.NO_QUORUM: ControlError,
    ErrorKind.FOREIGN_DATA: StorageError,
    ErrorKind.DATA_IN_USE: StorageError,
    ErrorKind.CORRUPT_DATA: StorageError,
    ErrorKind.INVALID_CONFIG: ConfigError,
    ErrorKind.ADDRESS_UNAVAILABLE: ConfigError,
    ErrorKind.PROTOCOL: ProtocolError,
    ErrorKind.INTERNAL: InternalError,
}


def error_of_kind(
    kind: ErrorKind,
    detail: str,
    *,
    was_run: WasRun | None = None,
    retry_after_s: float | None = None,
) -> CranberryfieldError:
    """Create an error of the class that belongs to `kind`.

    Parameters
    ----------
    kind : ErrorKind
        Reason for the error.
    detail : str
        Human-readable explanation in one sentence.
    was_run : WasRun, optional
        Overrides the default for the kind in `ERROR_RESPONSES`.
    retry_after_s : float, optional
        Time after which a retry may succeed, in seconds.

    Returns
    -------
    CranberryfieldError
        Instance of the subclass for `kind`.

    Examples
    --------
    >>> type(error_of_kind(ErrorKind.KEY_REUSED, "another body")).__name__
    'CallerError'
    """
    error_class = _ERROR_CLASSES.get(kind, UnavailableError)
    return error_class(kind, detail, was_run=was_run, retry_after_s=retry_after_s)


def find_cranberryfield_error(error: BaseException) -> CranberryfieldError | None:
    """Return the first `CranberryfieldError` in a group of exceptions.

    Parameters
    ----------
    error : BaseException
        An exception, or the `ExceptionGroup` that a task group raises.

    Returns
    -------
    CranberryfieldError or None
        The error itself or the first one in the group; None if there is none.

    Examples
    --------
    >>> inner = CranberryfieldError(ErrorKind.NO_QUORUM, "one of three answers")
    >>> group = ExceptionGroup("tasks", [ValueError(), inner])
    >>> find_cranberryfield_error(group) is inner
    True
    """
    if isinstance(error, CranberryfieldError):
        return error
    for inner in getattr(error, "exceptions", ()):
        found = find_cranberryfield_error(inner)
        if found is not None:
            return found
    return None
